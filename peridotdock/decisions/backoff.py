"""How long a request that every endpoint refused waits until it is sent to one of them again.

Load pattern: a burst fills the few endpoints of a service for some ten milliseconds. Sent again at
once, a request is refused again at once: three arrivals within four milliseconds, each of which
counts against what all hosts may repeat, and its caller is told to come back though it has seconds
left. A place is free when a request that runs there has ended.
"""

from collections.abc import Callable

# Seconds of the first wait, about as long as a plain service's request; each further one is twice
# as long.
FIRST_BACKOFF_SECONDS = 0.04
# Most of the time left that one wait may take: the answer must still come in time.
MAX_BACKOFF_SHARE = 0.25


def backoff_seconds(refusals: int, left: float, draw: Callable[[], float]) -> float:
    """Return the seconds to wait after so many refusals.

    ``left`` are the seconds in which the answer must come; ``draw`` gives a number from 0 to 1.
    Half to one and a half times the wait, so that those that were refused together don't come back
    together.
    """
    longest = max(0.0, left) * MAX_BACKOFF_SHARE
    return min(longest, FIRST_BACKOFF_SECONDS * 2 ** (refusals - 1)) * (0.5 + draw())
