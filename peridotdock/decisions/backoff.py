"""Delay before a request that every endpoint refused is sent again.

Load pattern: a burst fills the few endpoints of a service for some ten milliseconds. A request that
is sent again at once is refused again at once: three arrivals within four milliseconds, each of
which counts against the retry budget of all hosts, and its caller is rejected with seconds of its
deadline left. A slot becomes free when a running request ends.
"""

from collections.abc import Callable

# First delay, about the duration of a plain service's request; each further delay is twice as long.
FIRST_BACKOFF_SECONDS = 0.04
# Largest share of the remaining time that one delay may take, so that the answer is still in time.
MAX_BACKOFF_SHARE = 0.25


def backoff_seconds(refusals: int, left: float, draw: Callable[[], float]) -> float:
    """Return the delay in seconds after a number of refusals.

    ``left`` are the seconds until the deadline; ``draw`` returns a number from 0 to 1. The delay is
    spread from half to one and a half times its length, so that requests that were refused together
    are not sent again together.
    """
    longest = max(0.0, left) * MAX_BACKOFF_SHARE
    return min(longest, FIRST_BACKOFF_SECONDS * 2 ** (refusals - 1)) * (0.5 + draw())
