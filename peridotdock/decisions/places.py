"""Places at endpoints that fail under refused requests: one for each slot, over all hosts.

Load pattern: an endpoint says that it fails once it has to refuse more than a few requests in a
second. Each of dozens of hosts sees a free slot, their requests arrive together, and those beyond
the slots are refused. The endpoint fails, its requests go to the next one, and that one fails too.
One host therefore counts what is there for all of them.
"""

from collections import deque
from collections.abc import Callable, Container

from peridotdock.blocklist import EndpointStart

# Seconds after which a place is free again that its host has not given back: longer than streams
# last.
HOLD_SECONDS = 20.0
# Shortest time after which a host asks for a place again, and by how much it is prolonged at most,
# so that hosts that were denied together do not ask together.
MIN_RETRY_SECONDS = 0.01
RETRY_SPREAD = 1.0


class Places:
    """The places taken at each endpoint, by host. Times are monotonic seconds."""

    def __init__(self) -> None:
        self._taken: dict[EndpointStart, dict[str, deque[float]]] = {}

    def taken(self, start: EndpointStart) -> int:
        """Return how many places hosts have not given back."""
        return sum(map(len, self._taken.get(start, {}).values()))

    def is_free(self, start: EndpointStart, slots: int, reported: int) -> bool:
        """Return whether an endpoint has a place.

        ``reported`` are the requests there as hosts report them, also those without a place.
        """
        return max(self.taken(start), reported) < max(1, slots)

    def take(self, start: EndpointStart, host: str, slots: int, reported: int, now: float) -> bool:
        """Give a host a place if there is one."""
        free = self.is_free(start, slots, reported)
        if free:
            self.add(start, host, now)
        return free

    def add(self, start: EndpointStart, host: str, now: float) -> None:
        """Count a request that a host sends in any case."""
        self._taken.setdefault(start, {}).setdefault(host, deque()).append(now)

    def give_back(self, start: EndpointStart, host: str) -> None:
        """Free the oldest place of a host; one that it doesn't have is ignored."""
        rows = self._taken.get(start, {}).get(host)
        if rows:
            rows.popleft()

    def prune(self, current: Container[EndpointStart], hosts: Container[str], now: float) -> None:
        """Free the places of other endpoints, of hosts that are gone, and those that were lost."""
        self._taken = {start: rows for start, rows in self._taken.items() if start in current}
        for rows in self._taken.values():
            for host in [host for host in rows if host not in hosts]:
                del rows[host]
            for times in rows.values():
                while times and times[0] < now - HOLD_SECONDS:
                    times.popleft()


def retry_seconds(service_seconds: float, slots: int, draw: Callable[[], float]) -> float:
    """Return when to ask for a place again: about when the next of the slots becomes free.

    ``draw`` returns a number from 0 to 1.
    """
    seconds = max(MIN_RETRY_SECONDS, service_seconds / max(1, slots))
    return seconds * (1 + RETRY_SPREAD * draw())
