"""How many repeats a host may send to a service: its part of what all hosts may send together.

Load pattern: a service in trouble fails many requests at once; repeats of all hosts would add to
its load just then. The bound holds over any window and over all hosts, so each host counts only
what it saw itself and takes a part of the fixed number that can't add up to more than the whole.
"""

from collections import deque

# Share of the window's requests that is left unused: requests and repeats of one moment are
# counted at the endpoint some milliseconds apart.
USABLE_SHARE = 0.9
# The fixed number is divided among so many hosts at least: one that has just started knows of few.
MIN_HOSTS = 8


class RetryBudget:
    """Repeats that this host may still send to one service. Times are monotonic seconds.

    A host that has started again, at ``began``, has forgotten what it sent before. For one window
    it leaves the fixed number alone, so that hosts that start again together keep the bound.
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
        """Take a repeat; false when there is none left. ``hosts`` share the fixed number."""
        if not self.available(now, hosts):
            return False
        self._retries.append(now)
        return True

    def available(self, now: float, hosts: int) -> bool:
        """Tell whether there is a repeat left."""
        self._trim(now)
        extra = self._extra if now >= self._extra_from else 0.0
        allowed = self._share * len(self._requests) + extra / max(MIN_HOSTS, hosts)
        return len(self._retries) + 1 <= allowed * USABLE_SHARE

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window:
                times.popleft()
