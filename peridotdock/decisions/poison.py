"""Finds requests that crash endpoints, by what was running on each when it ended.

Load pattern: one request ends every endpoint that starts it, within a tenth of a second. Its caller
repeats it every second or two, several attempts at a time, at any host. Up to sixty other requests
are on each endpoint when it ends; some of them are retried and are on the next one, too.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

# Ended endpoints from which a request is blamed. Two may be a coincidence: a request from a failed
# endpoint is sent to another, which may fail as well. At each end an engine loses all that it holds
# and every stream on it, so the bound is as low as certainty allows.
MIN_CRASHES = 3


@dataclass(frozen=True, slots=True)
class Verdict:
    """Requests that must not be sent; ``doubtful`` are those of them that may be harmless."""

    blocked: frozenset[str]
    doubtful: frozenset[str]


def find_poison(crashes: Iterable[frozenset[str]]) -> Verdict:
    """Return the requests that explain why endpoints ended.

    ``crashes`` has for each ended endpoint the requests that it had just started. The request with
    the most ended endpoints is blamed for these, which then count against no other request.
    Requests with equally many are blocked together; they are doubtful if no endpoint had just one
    of them. One more ended endpoint, or an answer, tells them apart.
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
