"""Permits for requests to endpoints that have announced a limit: one bucket each, for all hosts.

Load pattern: an overloaded endpoint announces a limit of about one request per second while several
times as many arrive for its items, over dozens of hosts that each receive one occasionally. A
host's share of the limit is less than one request, and the requests that hosts send before they
receive each other's counts exceed the limit. One host therefore counts for all, and each request
needs its permit.
"""

from collections.abc import Callable, Container
from dataclasses import dataclass

from peridotdock.blocklist import EndpointStart
from peridotdock.limits import Bucket

# Longest time ahead for which a permit is reserved. A new bucket starts in debt by as much: the
# previous hub may have reserved the permits of that time.
MAX_ADVANCE_SECONDS = 1.0
# Seconds of its limit that an endpoint may get at once; one request at least.
BURST_SECONDS = 0.5
# Requests per second that any endpoint gets: only an answer shows that its limit has ended.
MIN_RATE = 0.2
# Shortest time after which a caller may retry, and the largest share by which it is prolonged, so
# that callers that were rejected together do not retry together.
MIN_RETRY_SECONDS = 0.2
RETRY_SPREAD = 1.0


@dataclass(frozen=True, slots=True)
class Permit:
    """Decision on one request: it may be sent after ``wait`` seconds.

    Where it is not ``given``, no permit is free for that long.
    """

    given: bool
    wait: float


NO_WAIT = Permit(True, 0.0)


def retry_after(wait: float, draw: Callable[[], float]) -> float:
    """Return when a caller without a permit may retry; ``draw`` returns a number from 0 to 1."""
    return max(MIN_RETRY_SECONDS, wait) * (1 + RETRY_SPREAD * draw())


def permit_interval(limit: float) -> float:
    """Return the seconds between two permits; 0 if ``limit`` (requests per second) is infinite."""
    return 1 / max(MIN_RATE, limit)


class Permits:
    """The buckets of all endpoints that have announced a limit. Limits are requests per second."""

    def __init__(self) -> None:
        self._buckets: dict[EndpointStart, Bucket] = {}

    def wait(self, start: EndpointStart, limit: float, now: float) -> float:
        """Return the seconds until there is a permit that is not reserved yet."""
        rate = max(MIN_RATE, limit)
        bucket = self._buckets.get(start)
        if bucket is None:
            bucket = self._buckets[start] = Bucket(-MAX_ADVANCE_SECONDS * rate, now)
        bucket.fill(rate, max(1.0, BURST_SECONDS * rate), now)
        return max(0.0, (1.0 - bucket.level) / rate)

    def spend(self, start: EndpointStart, limit: float, now: float) -> None:
        """Use a permit, also one that is free only later."""
        self.wait(start, limit, now)
        self._buckets[start].level -= 1.0

    def take(self, start: EndpointStart, limit: float, max_wait: float, now: float) -> Permit:
        """Give a request the next permit if that is free within ``max_wait`` seconds."""
        wait = self.wait(start, limit, now)
        given = wait <= min(max_wait, MAX_ADVANCE_SECONDS)
        if given:
            self.spend(start, limit, now)
        return Permit(given, wait)

    def prune(self, current: Container[EndpointStart]) -> None:
        """Remove the buckets of endpoints that are not among the ``current`` ones."""
        self._buckets = {start: row for start, row in self._buckets.items() if start in current}
