"""Budget for the retries of one host to a service: its part of what all hosts may send together.

Load pattern: a failing service fails many requests at once, and the retries of all hosts would
add to its load at that moment. The bound holds over any window and over all hosts. Each host counts
only its own requests and uses a part of the fixed number, so that the parts never add up to more
than the whole.
"""

from collections import deque

# Share of the bound that is used: requests and retries of the same moment are counted at the
# endpoint some milliseconds apart.
USABLE_SHARE = 0.9
# The fixed number is divided by at least this many hosts: one that has just started knows few
# others.
MIN_HOSTS = 8


class SharedRetryBudget:
    """Retries that this host may still send to one service. Times are monotonic seconds.

    A restarted host has lost its count of what it sent before. For one window after its start, at
    ``started``, it does not use the fixed number, so that hosts that restart together keep the
    bound.
    """

    def __init__(self, share: float, extra: float, window: float, started: float = float("-inf")):
        self._extra_from = started + window
        self._share = share
        self._extra = extra
        self._window = window
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a request that a caller sent."""
        self._requests.append(now)
        self._trim(now)

    def take(self, now: float, hosts: int) -> bool:
        """Use one retry of the budget; return False when none is left.

        ``hosts`` is the number of hosts that share the fixed number.
        """
        if not self.available(now, hosts):
            return False
        self._retries.append(now)
        return True

    def available(self, now: float, hosts: int) -> bool:
        """Return whether a retry is left."""
        self._trim(now)
        extra = self._extra if now >= self._extra_from else 0.0
        allowed = self._share * len(self._requests) + extra / max(MIN_HOSTS, hosts)
        return len(self._retries) + 1 <= allowed * USABLE_SHARE

    def describe(self) -> str:
        """Return what the budget has counted, for the log."""
        return f"{len(self._retries)} retries, {len(self._requests)} requests counted"

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()
