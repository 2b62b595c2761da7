"""Host leases: one row for each host, renewed by it and judged by others on their own clocks.

All roles of a host depend on its one lease, so a renewal costs one write however many endpoints
the host controls. No clocks are compared: a holder counts from before it sent the renewal, and
another host counts from when it first saw the row's version. In a new era of the store a row may be
older than the last one written, or missing, so nothing is concluded from that before a lease would
have had to be renewed.
"""

from dataclasses import dataclass

from peridotdock.clients.platform import Platform, Row, Transaction, commit_and_resolve
from peridotdock.clients.versions import ABSENT, FIRST_ERA
from peridotdock.clock import Clock
from peridotdock.errors import Failure, Kind, failed

KEY_PREFIX = "hosts/"
# Other hosts treat a lease as lapsed after this multiple of its time without a new version.
LAPSE_FACTOR = 1.5


@dataclass(frozen=True)
class SeenLease:
    """A version of a lease row and when this host first saw it (monotonic seconds)."""

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
        """Tell whether the lease is valid for at least ``margin`` more seconds."""
        return self._clock.monotonic() + margin < self._until

    async def renew(self, platform: Platform) -> Failure | None:
        """Renew the lease, counted from before the request is sent; return a failure, or None."""
        began = self._clock.monotonic()
        if self._version is None:
            rows = await platform.read([KEY_PREFIX + self._host])
            if failed(rows):
                return rows
            row = rows.get(KEY_PREFIX + self._host)
            self._version = row.version if row else ABSENT
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
        """Delete the lease row, so that others need not wait for it to lapse."""
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
        self._era = FIRST_ERA
        self._restored_at = float("-inf")
        self.loaded = False

    def update(self, rows: dict[str, Row], era: int = FIRST_ERA) -> None:
        """Apply the result of a scan of all lease rows in an era of the store."""
        now = self._clock.monotonic()
        if era != self._era:
            self._restored_at = now
        self._era = era
        seen = {}
        for key, row in rows.items():
            old = self._seen.get(key)
            same = old is not None and old.version == row.version
            seen[key] = old if same else SeenLease(row.value["incarnation"], row.version, now)
        self._seen = seen
        self.loaded = True

    def count_valid(self) -> int:
        """Return the number of leases that have not lapsed."""
        now = self._clock.monotonic()
        return sum(1 for lease in self._seen.values() if now - lease.first_seen_at <= self._lapse)

    def seconds_after_lost(self, era: int) -> float:
        """Return for how long no lease can be valid whose row the platform may have lost.

        ``era`` is the platform's present era, which the last scan may not have seen. The result is
        negative before, and infinite if the platform was never restored.
        """
        now = self._clock.monotonic()
        return now - (self._restored_at if era == self._era else now) - self._lapse

    def prove_lapsed(self, incarnation: str) -> dict[str, int] | None:
        """Return the check that an incarnation's lease has lapsed, or None while it has not.

        The check goes into the transaction that takes over. Failure guarded against: the holder
        renews between this read and that write; its row then has another version, or exists
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
        if self.seconds_after_lost(self._era) <= 0:
            return None
        # The row is of another incarnation of the same host, or missing: this one has ended.
        return {KEY_PREFIX + host: lease.version} if lease else {KEY_PREFIX + host: ABSENT}
