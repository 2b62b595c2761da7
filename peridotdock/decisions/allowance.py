"""How many repeats a host may send to a service: its part of what all hosts may send together.

Load pattern: a service in trouble fails many requests at once; repeats of all hosts would add to
its load just then. The bound holds over any window and over all hosts, so each host counts only
what it saw itself and takes a part of the fixed number that can't add up to more than the whole.
"""

from collections import deque

# Share of the window's requests that is left unused: requests and repeats of one moment are
# counted at the endpoint some milliseconds apart.
HEADROOM = 0.9
# The fixed number is divided among so many hosts at least: one that has just started knows of few.
FEWEST_HOSTS = 8


class RetryAllowance:
    """Repeats that this host may still send to one service. Times are monotonic seconds.

    A host that has started again, at ``began``, has forgotten what it sent before. For one window
    it leaves the fixed number alone, so that hosts that start again together keep the bound.
    """

    def __init__(self, share: float, extra: float, window: float, began: float = float("-inf")):
        self._extra_from = began + window
        self._share = share
        self._extra = extra
        self._window = window
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a request that a caller sent."""
        self._requests.append(now)
        self._trim(now)

    def take(self, now: float, hosts: int) -> bool:
        """Take a repeat; false when there is none left. ``hosts`` share the fixed number."""
        if not self.has_left(now, hosts):
            return False
        self._repeats.append(now)
        return True

    def has_left(self, now: float, hosts: int) -> bool:
        """Tell whether there is a repeat left."""
        self._trim(now)
        extra = self._extra if now >= self._extra_from else 0.0
        allowed = self._share * len(self._requests) + extra / max(FEWEST_HOSTS, hosts)
        return len(self._repeats) + 1 <= allowed * HEADROOM

    def _trim(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window:
                times.popleft()
