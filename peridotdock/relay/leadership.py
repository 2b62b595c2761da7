"""Which one host orders engines: a lease in the store, with a number that only grows.

One lease for all engines costs one write a second over all hosts. A host that stands by judges the
lease by its own clock, from when it first saw the row's version, and a host that holds it counts
from before it sent the renewal, so no clocks are compared.
"""

from peridotdock.clients.platform import Platform, Transaction, commit_surely
from peridotdock.context import Context
from peridotdock.errors import Failure, Kind, failed
from peridotdock.relay.clocks import UptimeClock

LEASE_KEY = "leader"
# Seconds between two renewals. The holder acts for LEASE_SHARE of the lease after a renewal, so
# two renewals may be lost before it stops.
RENEW_SECONDS = 0.9
# Share of the lease for which its holder acts; the rest covers the way of an order to its engine.
LEASE_SHARE = 0.8


class Leadership:
    """This host's view of the lease. Times are seconds of a clock that runs in a suspension."""

    def __init__(self, ctx: Context, store: Platform, lease: float, clock: UptimeClock):
        self._ctx = ctx
        self._store = store
        self._lease = lease
        self._clock = clock
        self._seen_version: int | None = None
        self._seen_at = 0.0
        self._version = 0
        self._until = float("-inf")
        self._orders_from = float("inf")
        self.term = 0

    def holds(self) -> bool:
        """Tell whether this host holds the lease now."""
        return self.term > 0 and self._clock.seconds() < self._until

    def may_order(self) -> bool:
        """Tell whether this host may order engines now.

        Failure guarded against: the holder is suspended, another host takes over, and the first
        wakes and goes on. The clock runs in a suspension, and it is read right before each order.
        A new holder waits until the last order of the one before it is a whole lease old.
        """
        now = self._clock.seconds()
        return self.term > 0 and self._orders_from <= now < self._until

    async def step(self) -> None:
        """Renew the lease, or take it when its holder has let it lapse."""
        if self.term > 0:
            await self._renew()
        else:
            await self._try()

    async def _renew(self) -> None:
        began = self._clock.seconds()
        outcome = await self._write(self._version, self.term)
        if failed(outcome):
            if began >= self._until:
                self._lose(outcome)
            else:
                await self._reread()
            return
        self._version = outcome
        self._until = began + self._lease * LEASE_SHARE

    async def _reread(self) -> None:
        """Find out whether a renewal that failed took effect after all."""
        rows = await self._store.read([LEASE_KEY])
        if failed(rows) or LEASE_KEY not in rows:
            return
        row = rows[LEASE_KEY]
        if row.value.get("holder") == self._ctx.incarnation:
            self._version = row.version
        else:
            self._lose(Failure(Kind.CONFLICT, "another host took over"))

    def _lose(self, why: Failure) -> None:
        self._ctx.timeline.add("lease_lost", "WARNING", detail=f"term {self.term}: {why.reason}")
        self.term = 0
        self._until = float("-inf")
        self._seen_version = None

    async def _try(self) -> None:
        rows = await self._store.read([LEASE_KEY])
        if failed(rows):
            return
        row = rows.get(LEASE_KEY)
        version = row.version if row else 0
        now = self._clock.seconds()
        if version != self._seen_version:
            self._seen_version, self._seen_at = version, now
        free = row is None or not row.value.get("holder")
        if not free and now - self._seen_at < self._lease:
            return
        term = int(row.value.get("term", 0)) + 1 if row else 1
        outcome = await self._write(version, term)
        if failed(outcome):
            return
        self.term, self._version = term, outcome
        self._until = now + self._lease * LEASE_SHARE
        # The one before may have sent an order as late as its lease allowed.
        self._orders_from = now if row is None else now + self._lease
        self._ctx.timeline.add("lease_taken", detail=f"term {term}")

    async def _write(self, version: int, term: int) -> int | Failure:
        value = {"holder": self._ctx.incarnation, "term": term}
        outcome = await commit_surely(
            self._store, Transaction({LEASE_KEY: version}, {LEASE_KEY: value})
        )
        return outcome if failed(outcome) else outcome.version

    async def give_up(self) -> None:
        """Free the lease, so that others need not wait for it to lapse."""
        if self.term == 0:
            return
        term, self.term = self.term, 0
        value = {"holder": "", "term": term}
        tx = Transaction({LEASE_KEY: self._version}, {LEASE_KEY: value})
        outcome = await commit_surely(self._store, tx)
        detail = f"term {term}" if not failed(outcome) else f"term {term}: {outcome.reason}"
        self._ctx.timeline.add("lease_freed", detail=detail)
