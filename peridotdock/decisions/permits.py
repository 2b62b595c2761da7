"""Permits for requests to endpoints that have named a limit: one bucket for each, for all hosts.

Load pattern: an endpoint in need names a limit of about one request a second while several times as
many come for what it holds, over dozens of hosts that each see one now and then. A host's share of
the limit is less than a request, and what hosts send before they hear of each other is more than
the limit allows. So one host counts for all, and each request needs its word.
"""

from collections.abc import Callable, Container
from dataclasses import dataclass

from peridotdock.blocklist import EndpointStart
from peridotdock.limits import Bucket

# Seconds ahead for which a permit is promised at most. A new bucket is in debt by as much: the host
# that counted before may have promised what comes in that time.
MAX_ADVANCE_SECONDS = 1.0
# Seconds of its limit that an endpoint may get at once; one request at least.
BURST_SECONDS = 0.5
# Requests a second that any endpoint gets: only an answer tells that its limit has ended.
MIN_RATE = 0.2
# Shortest time, in seconds, after which a caller may come back, and the most by which that is
# prolonged: those that were turned away together don't come back together.
MIN_RETRY_SECONDS = 0.2
RETRY_SPREAD = 1.0


@dataclass(frozen=True, slots=True)
class Permit:
    """A word on one request: it may be sent after ``wait`` seconds, or where it is not ``given``,
    there is no permit for so long.
    """

    given: bool
    wait: float


NO_WAIT = Permit(True, 0.0)


def retry_after(wait: float, draw: Callable[[], float]) -> float:
    """Return when a caller without a permit may come back; ``draw`` gives a number from 0 to 1."""
    return max(MIN_RETRY_SECONDS, wait) * (1 + RETRY_SPREAD * draw())


def permit_interval(limit: float) -> float:
    """Return the seconds between two permits at a limit, 0 where there is none."""
    return 1 / max(MIN_RATE, limit)


class Permits:
    """The buckets of all endpoints that have named a limit. Limits are requests a second."""

    def __init__(self) -> None:
        self._buckets: dict[EndpointStart, Bucket] = {}

    def wait(self, start: EndpointStart, limit: float, now: float) -> float:
        """Return the seconds until there is a permit that nobody was promised."""
        rate = max(MIN_RATE, limit)
        bucket = self._buckets.get(start)
        if bucket is None:
            bucket = self._buckets[start] = Bucket(-MAX_ADVANCE_SECONDS * rate, now)
        bucket.fill(rate, max(1.0, BURST_SECONDS * rate), now)
        return max(0.0, (1.0 - bucket.level) / rate)

    def spend(self, start: EndpointStart, limit: float, now: float) -> None:
        """Take a permit, also one that comes only later."""
        self.wait(start, limit, now)
        self._buckets[start].level -= 1.0

    def take(self, start: EndpointStart, limit: float, max_wait: float, now: float) -> Permit:
        """Give a request the next permit, where that comes while the request ``stays``."""
        wait = self.wait(start, limit, now)
        given = wait <= min(max_wait, MAX_ADVANCE_SECONDS)
        if given:
            self.spend(start, limit, now)
        return Permit(given, wait)

    def prune(self, current: Container[EndpointStart]) -> None:
        """Forget the endpoints that are not among the ``living``."""
        self._buckets = {start: row for start, row in self._buckets.items() if start in current}
