"""Which requests end the endpoints that run them, judged by what was at each when it ended.

Load pattern: one request ends every endpoint that begins it, within a tenth of a second. Its caller
repeats it every second or two, several attempts at a time, at any host. Up to sixty other requests
are on each endpoint when it ends; some of them are sent again and are at the next one, too.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

# Ends of endpoints from which on a request is to blame. Two may be chance: a request that was at an
# endpoint that failed is sent to another, which may fail as well. At each end an engine loses all
# it holds and every stream on it, so no more are waited for than it takes to be sure.
MIN_CRASHES = 3


@dataclass(frozen=True, slots=True)
class Verdict:
    """Which requests must not be sent; ``doubtful`` are those among them that may be innocent."""

    blocked: frozenset[str]
    doubtful: frozenset[str]


def find_poison(crashes: Iterable[frozenset[str]]) -> Verdict:
    """Return the requests that explain why endpoints ended.

    ``ends`` gives for each endpoint that ended the requests that it had just begun. The request at
    the most ends is to blame for these, and they speak against no other. Requests that were at
    equally many are blocked together, and are in doubt where no end has just one of them: one more
    end, or an answer, tells them apart.
    """
    unexplained = list(crashes)
    blocked: set[str] = set()
    doubtful: set[str] = set()
    while True:
        counts = Counter(content for end in unexplained for content in end)
        most = max(counts.values(), default=0)
        if most < MIN_CRASHES:
            return Verdict(frozenset(blocked), frozenset(doubtful))
        blamed = {content for content, count in counts.items() if count == most}
        alone = [end & blamed for end in unexplained if len(end & blamed) == 1]
        blocked |= blamed
        doubtful |= blamed.difference(*alone)
        unexplained = [end for end in unexplained if not end & blamed]
