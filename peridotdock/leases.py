"""Host leases: one row for each host, renewed by it, judged by others on their own clocks.

All roles of a host hang on its one lease, so renewing costs one write, however many endpoints
the host is controller of. No clocks are compared: a holder counts its time from before it sent the
renewal, and another host counts from when it first saw the row's version.
"""

from dataclasses import dataclass

from peridotdock.clients.platform import Platform, Row, Transaction, commit_and_resolve
from peridotdock.clock import Clock
from peridotdock.errors import Failure, Kind, failed

KEY_PREFIX = "hosts/"
LAPSE_FACTOR = 1.5
NO_ROW_VERSION = 0


@dataclass(frozen=True)
class SeenLease:
    """A version of a lease row and when it was first seen here (monotonic seconds)."""

    incarnation: str
    version: int
    first_seen_at: float


class HostLease:
    """This host's own lease."""

    def __init__(self, host: str, incarnation: str, seconds: float, clock: Clock):
        self._host = host
        self._incarnation = incarnation
        self._seconds = seconds
        self._clock = clock
        self._version: int | None = None
        self._until = float("-inf")

    def valid(self, margin: float = 0.0) -> bool:
        """Tell whether this host may act on its roles for ``margin`` seconds more."""
        return self._clock.monotonic() + margin < self._until

    async def renew(self, platform: Platform) -> Failure | None:
        """Renew the lease; the time counts from before the request is sent."""
        began = self._clock.monotonic()
        if self._version is None:
            rows = await platform.read([KEY_PREFIX + self._host])
            if failed(rows):
                return rows
            row = rows.get(KEY_PREFIX + self._host)
            self._version = row.version if row else NO_ROW_VERSION
        key = KEY_PREFIX + self._host
        value = {"incarnation": self._incarnation, "renewed": began}
        outcome = await commit_and_resolve(
            platform, Transaction({key: self._version}, {key: value})
        )
        if failed(outcome):
            self._version = None
            return outcome
        self._version = outcome.version
        self._until = began + self._seconds
        return None

    async def release(self, platform: Platform) -> Failure | None:
        """End the lease, so that others need not wait for it to lapse."""
        self._until = float("-inf")
        if self._version is None:
            return Failure(Kind.CONFLICT, "no lease")
        key = KEY_PREFIX + self._host
        outcome = await commit_and_resolve(platform, Transaction({key: self._version}, {key: None}))
        self._version = None
        return outcome if failed(outcome) else None


class LeaseTable:
    """The leases of all hosts, as this host has seen them."""

    def __init__(self, seconds: float, clock: Clock):
        self._lapse = seconds * LAPSE_FACTOR
        self._clock = clock
        self._seen: dict[str, SeenLease] = {}
        self.loaded = False

    def update(self, rows: dict[str, Row]) -> None:
        """Take in a scan of all lease rows."""
        now = self._clock.monotonic()
        seen = {}
        for key, row in rows.items():
            old = self._seen.get(key)
            same = old is not None and old.version == row.version
            seen[key] = old if same else SeenLease(row.value["incarnation"], row.version, now)
        self._seen = seen
        self.loaded = True

    def count_valid(self) -> int:
        """Return how many leases have not lapsed."""
        now = self._clock.monotonic()
        return sum(1 for lease in self._seen.values() if now - lease.first_seen_at <= self._lapse)

    def prove_lapsed(self, incarnation: str) -> dict[str, int] | None:
        """Return the check that proves a life's lease lapsed, or None while it has not.

        The check goes into the transaction that takes over. Failure guarded against: the holder
        renews between our look and our write; its row then has another version, or is there
        again, and the transaction fails.
        """
        if not self.loaded:
            return None
        now = self._clock.monotonic()
        for key, lease in self._seen.items():
            if lease.incarnation != incarnation:
                continue
            return {key: lease.version} if now - lease.first_seen_at > self._lapse else None
        host = incarnation.rsplit("-", 1)[0]
        lease = self._seen.get(KEY_PREFIX + host)
        # A row of another life of the same host, or no row at all: this life is over.
        return {KEY_PREFIX + host: lease.version} if lease else {KEY_PREFIX + host: NO_ROW_VERSION}
