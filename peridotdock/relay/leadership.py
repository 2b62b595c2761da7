"""Elects the one host that orders engines: a lease in the store, with a term that only increases.

One lease for all engines costs one write a second over all hosts. A standby host measures the lease
by its own clock, from when it first saw the row's version, or by the store's clock. The holder
counts from before it sent the renewal, so the hosts' own clocks are not compared. A holder that
loses contact with the store notifies the other hosts, so that they need not wait for a lease that
has already ended.

A store that returns from an older copy may have lost a holder's row, or show that of an earlier
holder. So a row holds the era in which it was written. One of an earlier era proves nothing about
who holds the lease: its holder or another one may act until it would have had to renew.
"""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import asdict, dataclass, field, replace
from typing import Any, TypeVar

import msgspec

from peridotdock.clients.http import DEAD_PEER_SECONDS
from peridotdock.clients.platform import Platform, Row, Transaction, commit_and_resolve
from peridotdock.clients.store_time import StoreTime
from peridotdock.clients.versions import ABSENT, era_of, number_of
from peridotdock.context import Context
from peridotdock.errors import Failure, Kind, failed
from peridotdock.ranges import (
    ROW_ERRORS,
    ClockSeconds,
    Counter,
    HandoverSeconds,
    HostCount,
    Name,
    check_text,
)
from peridotdock.relay.clocks import UptimeClock

LEASE_KEY = "leader"
# Seconds without a renewal after which the lease has lapsed for standby hosts.
LEASE_LAPSE_SECONDS = 2.0
# Maximum seconds for an order to reach its engine, over a new connection and a slow link.
MAX_ORDER_TRANSIT_SECONDS = 0.4
# Seconds after sending during which the network may deliver an order that has no answer: the kernel
# then gives its connection up.
UNANSWERED_ORDER_SECONDS = DEAD_PEER_SECONDS
# Seconds after a renewal during which the holder may act.
HOLDER_ACT_SECONDS = LEASE_LAPSE_SECONDS - MAX_ORDER_TRANSIT_SECONDS
# Timeout of one call in seconds; a store sixty times slower than usual answers within a quarter of
# it.
STORE_CALL_SECONDS = 0.6
# Terms of one era of the store. A new era begins above all terms of the one before, as some of them
# may have been lost with their rows.
TERMS_PER_ERA = 1_000_000
NEVER = float("-inf")
T = TypeVar("T")
# Holder of a lease whose row can't be decoded; no incarnation of a host is called so.
UNKNOWN_HOLDER = "unknown"


class HandoverRow(msgspec.Struct, frozen=True):
    """A handover as it is stored in the lease's row."""

    wait: HandoverSeconds
    engines: dict[str, HandoverSeconds]


class LeaseRow(msgspec.Struct, frozen=True):
    """The lease's row; ``acts_until`` is when its holder stops, by the store's clock."""

    term: Counter
    holder: Name
    era: Counter = 0
    machine: Name = ""
    hosts: HostCount = 0
    acts_until: ClockSeconds | None = None
    handover: HandoverRow | None = None
    inherited: HandoverRow | None = None


@dataclass(frozen=True, slots=True)
class Handover:
    """Seconds for which a new holder sends no orders: to any engine, and to some for longer."""

    wait: float = 0.0
    engines: Mapping[str, float] = field(default_factory=dict)

    def remaining_after(self, seconds: float) -> "Handover":
        """Return what remains of the waits some seconds later."""
        engines = {engine: wait - seconds for engine, wait in self.engines.items()}
        left = {engine: wait for engine, wait in engines.items() if wait > 0}
        return Handover(max(0.0, self.wait - seconds), left)


@dataclass(frozen=True, slots=True)
class Resignation:
    """A holder's notice that it sends no more orders under ``term``, and when it was received."""

    term: int
    handover: Handover
    received_at: float


class Leadership:
    """This host's view of the lease, in seconds of a clock that keeps running during suspension.

    ``order_gap`` is the minimum time between the arrival of one host's order and an order of
    another host to the same engine. ``address`` is this host's address, which shows whether the
    holder in the row was an earlier process of this host; ``holder_address`` is the one in the row
    when it was last read. ``count_hosts`` returns the number of hosts, which the holder writes into
    the row; ``host_count`` is the one that was read. ``make_sizes`` returns the sizes of models for
    the row, and ``on_sizes`` gets those that were read.
    """

    def __init__(
        self,
        ctx: Context,
        store: Platform,
        order_gap: float,
        clock: UptimeClock,
        address: str = "",
        suspect: Callable[[], None] = lambda: None,
        store_time: StoreTime | None = None,
    ):
        self._ctx = ctx
        self._address = address
        self._store = store
        self._suspect = suspect
        self._lease_gap = order_gap
        self._order_gap = order_gap + MAX_ORDER_TRANSIT_SECONDS
        self._clock = clock
        self._store_time = store_time or StoreTime(clock.seconds)
        self._seen_version: int | None = None
        self._seen_at = 0.0
        self._lapses_at = 0.0
        self._version = ABSENT
        self._odd_version = ABSENT
        self._era: int | None = None
        self._era_seen_at = 0.0
        self.on_renewed: Callable[[int, int], None] = lambda term, version: None
        self.on_resigned: Callable[[int, Handover], None] = lambda term, handover: None
        self._held_until = NEVER
        self._orders_from = 0.0
        self._engines_from: dict[str, float] = {}
        self._successor_from = 0.0
        self._ordered_at: dict[str, float] = {}
        self._unanswered: dict[str, tuple[float, ...]] = {}
        self._unheard_all_until = NEVER
        self._unheard: set[str] = set()
        self._heard: set[str] = set()
        self._resignation: Resignation | None = None
        self.term = 0
        self.resigned_term = 0
        self.holder_address = ""
        self.make_sizes: Callable[[], Mapping[str, Any]] = dict
        self.on_sizes: Callable[[Any], None] = lambda raw: None
        self.count_hosts: Callable[[], int] = lambda: 0
        self.host_count = 0

    def holds(self) -> bool:
        """Return whether this host holds the lease now."""
        return self.term > 0 and self._clock.seconds() < self._held_until

    def may_order(self, engine: str = "") -> bool:
        """Return whether this host may order ``engine`` now, or any engine not ordered lately.

        Failure guarded against: the holder is suspended, another host takes over, and the first
        resumes and continues to order. The clock keeps running during suspension and is read right
        before each order. A new holder waits until the last order of the previous one is old
        enough.
        """
        opens = max(self._orders_from, self._engines_from.get(engine, NEVER))
        return self.holds() and self._clock.seconds() >= opens

    def record_order(self, engine: str) -> float:
        """Record that an order is sent to an engine now; return the time for its answer."""
        now = self._clock.seconds()
        lately = {name: at for name, at in self._ordered_at.items() if now - at < self._order_gap}
        self._ordered_at = lately | {engine: now}
        self._unanswered[engine] = (*self._unanswered.get(engine, ()), now)
        self._drop_ended(now)
        return now

    def record_answer(self, engine: str, sent_at: float) -> None:
        """Record that an order was answered, or never sent: it does not arrive any more."""
        left = tuple(at for at in self._unanswered.get(engine, ()) if at != sent_at)
        self._unanswered[engine] = left
        self._drop_ended(self._clock.seconds())

    def _drop_ended(self, now: float) -> None:
        """Remove the orders that can't arrive any more."""
        since = now - UNANSWERED_ORDER_SECONDS - self._order_gap
        kept = {key: tuple(t for t in at if t > since) for key, at in self._unanswered.items()}
        self._unanswered = {key: at for key, at in kept.items() if at}

    def _arrives_by(self, engine: str) -> float:
        """Return when the last of this host's orders to an engine has arrived, without transit."""
        unanswered = (at + UNANSWERED_ORDER_SECONDS for at in self._unanswered.get(engine, ()))
        return max(self._ordered_at.get(engine, NEVER), *unanswered, NEVER)

    def record_report(self, engine: str) -> None:
        """Record that an engine has answered a call of this host.

        Failure guarded against: an engine is silent, the holder stops or is lost, and the engine
        then goes on with an order that it had received. The next holder counted the gap from when
        that order was sent. What an engine had received before it answered is carried out by now.
        """
        now = self._clock.seconds()
        if engine in self._heard or not self.term:
            return
        self._heard.add(engine)
        if engine in self._unheard or now < self._unheard_all_until:
            at = now + self._lease_gap
            self._engines_from[engine] = max(at, self._engines_from.get(engine, NEVER))

    def inherited_handover(self) -> Handover:
        """Return what remains of the waits for the orders of previous holders."""
        return Handover(self._orders_from, self._engines_from).remaining_after(
            self._clock.seconds()
        )

    def handover(self) -> Handover:
        """Return how long another host must wait that takes the lease now.

        Failure guarded against: a holder that has just taken over resigns, and the next holder
        orders an engine soon after an order of the holder before both.
        """
        inherited = self._engines_from
        own = {
            engine: max(self._arrives_by(engine) + self._order_gap, inherited.get(engine, NEVER))
            for engine in self._ordered_at.keys() | self._unanswered.keys()
        }
        wait = max(self._orders_from, self._successor_from)
        return Handover(wait, inherited | own).remaining_after(self._clock.seconds())

    def receive_resignation(self, term: int, handover: Handover) -> None:
        """Store another holder's resignation."""
        if self._resignation is None or term > self._resignation.term:
            self._resignation = Resignation(term, handover, self._clock.seconds())

    def receive_renewal(self, term: int, version: int) -> None:
        """Apply the holder's notice that it has just renewed the lease.

        The notice is sent after the renewal, so the lease is never assumed to lapse too early.
        """
        if self.term == 0:
            self._seen_version, self._seen_at = version, self._clock.seconds()
            self._lapses_at = self._seen_at + LEASE_LAPSE_SECONDS

    def lapses_in(self) -> float | None:
        """Return the seconds until another host's lease lapses without renewal, None if unknown."""
        if self._seen_version is None or self.term:
            return None
        return self._lapses_at - self._clock.seconds()

    def observe_era(self) -> None:
        """Record when this host first saw the store's present era."""
        era = self._store.era.current
        if era != self._era:
            self._era, self._era_seen_at = era, self._clock.seconds()

    def _is_of_copy(self, row: Row | None) -> bool:
        """Return whether a row may be older than the last one that was written."""
        if row is None:
            return self._store.era.rows_may_be_lost
        return row.value.get("era", 0) != self._era

    def _check_row(self, row: Row | None) -> Row | None:
        """Return the lease's row; one of an unknown holder in place of one that is odd.

        Failure guarded against: another writer leaves an odd row. Hosts that compute with it raise
        at each step, and no host orders engines any more. Its holder may still act, so the lease
        lapses as one that is no longer renewed. Each term has cost a write of the row, so the
        number of the row's version is above all terms of its era.
        """
        try:
            if row is not None:
                found = msgspec.convert(row.value, LeaseRow)
                check_text(found.holder + found.machine)
            return row
        except ROW_ERRORS as exc:
            if row.version != self._odd_version:
                detail = f"{LEASE_KEY}: {type(exc).__name__}: {exc}"
                self._ctx.timeline.add("rows_refused", "ERROR", detail=detail)
            self._odd_version = row.version
        era = era_of(row.version)
        term = max(self.resigned_term, self.term, era * TERMS_PER_ERA + number_of(row.version))
        return Row({"era": era, "holder": UNKNOWN_HOLDER, "term": term}, row.version)

    async def _with_timeout(self, work: Awaitable[T]) -> T | Failure:
        """Wait for a call of the store, no longer than the lease allows.

        After a timeout, the next call uses no kept connection: all of them may be dead.
        """
        try:
            async with asyncio.timeout(STORE_CALL_SECONDS):
                return await work
        except TimeoutError:
            self._suspect()
            return Failure(Kind.OUTCOME_UNKNOWN, "no answer in time")

    async def step(self) -> None:
        """Renew the lease, or take it when it has lapsed or its holder has resigned."""
        if self.term == 0:
            await self._try_acquire()
        elif not self.holds():
            self._lose_lease("not renewed in time")
        else:
            await self._renew()

    async def _renew(self) -> None:
        """Renew the lease; retry a lost call at once, as the next step would be too late."""
        if await self._renew_once():
            return
        rows = await self._with_timeout(self._store.read([LEASE_KEY]))
        if failed(rows):
            return
        self.observe_era()
        row = self._check_row(rows.get(LEASE_KEY))
        if self._is_of_copy(row):
            # While this host's lease is valid, no other host can have taken it in the era before.
            self._version = row.version if row else ABSENT
        elif row is None:
            return
        elif row.value.get("holder") != self._ctx.incarnation:
            self._lose_lease("another host took over")
            return
        else:
            self._version = row.version
        if self.holds():
            await self._renew_once()

    async def _renew_once(self) -> bool:
        began = self._clock.seconds()
        outcome = await self._with_timeout(self._write(self._version, self.term))
        if failed(outcome):
            return False
        self._version = outcome
        self._held_until = began + HOLDER_ACT_SECONDS
        self.on_renewed(self.term, outcome)
        return True

    def _lose_lease(self, why: str) -> None:
        self._ctx.timeline.add("lease_lost", "WARNING", detail=f"term {self.term}: {why}")
        self._resign()
        self._held_until = NEVER
        self._seen_version = None

    def _resign(self) -> None:
        self.resigned_term, self.term = self.term, 0
        self.on_resigned(self.resigned_term, self.handover())

    async def _try_acquire(self) -> None:
        rows = await self._with_timeout(self._store.read([LEASE_KEY]))
        if failed(rows):
            return
        self.observe_era()
        row = self._check_row(rows.get(LEASE_KEY))
        version = row.version if row else ABSENT
        now = self._clock.seconds()
        self._unheard_all_until = NEVER
        self.holder_address = row.value.get("machine", "") if row else ""
        self.host_count = read_count(row)
        if version != self._seen_version:
            self._seen_version, self._seen_at = version, now
        wait = self._wait_after(row, now)
        if wait is None:
            return
        term = self._next_term(row)
        self.on_sizes(row.value.get("sizes") if row else None)
        # Set before the row is written, as the row includes the remaining waits.
        self._orders_from = now + wait.wait
        self._engines_from = {engine: now + more for engine, more in wait.engines.items()}
        self._expect_silence(wait)
        outcome = await self._with_timeout(self._write(version, term))
        if failed(outcome):
            return
        self.term, self._version = term, outcome
        self._held_until = now + HOLDER_ACT_SECONDS
        self.on_renewed(term, outcome)
        rest = f", {len(wait.engines)} engines later" if wait.engines else ""
        self._ctx.timeline.add(
            "lease_taken", detail=f"term {term}, orders in {wait.wait:.1f} s{rest}"
        )

    def _expect_silence(self, wait: Handover) -> None:
        """Find the engines that may have received an order without having carried it out."""
        self._heard = set()
        self._unheard = {engine for engine, more in wait.engines.items() if more > self._order_gap}

    def _next_term(self, row: Row | None) -> int:
        """Return a term above all those that were ever used, also those lost with their rows."""
        newest = int(row.value["term"]) if row else 0
        return max(newest, (self._era or 0) * TERMS_PER_ERA) + 1

    def _wait_after(self, row: Row | None, now: float) -> Handover | None:
        """Return how long to wait with orders, or None while another host holds the lease."""
        if self._is_of_copy(row):
            return self._wait_for_lost_holder(row, now)
        if row is None:
            return Handover()
        notice = self._resignation
        if notice is not None and notice.term == row.value["term"]:
            return notice.handover.remaining_after(now - notice.received_at)
        if not row.value["holder"]:
            return read_handover(row, "handover", self._order_gap)
        if self._address and row.value.get("machine") == self._address:
            # The holder was this host's previous process, which has ended, for example when all
            # hosts were killed at once. For engines it is the same holder, so neither the lapse nor
            # the gap applies. The orders of the previous process are unknown, so a succeeding host
            # waits as after any order.
            self._successor_from = now + UNANSWERED_ORDER_SECONDS + self._order_gap
            return read_handover(row, "inherited", self._order_gap)
        return self._wait_after_lapse(row, now)

    def _wait_after_lapse(self, row: Row, now: float) -> Handover | None:
        """Return how long to wait for a lost holder, and for its unanswered orders in the row."""
        past = self._seconds_since_acting(row, now)
        wait = self._wait_since(past, now)
        if wait is None:
            return None
        told = read_handover(row, "handover", self._order_gap)
        return replace(wait, engines=told.remaining_after(past + HOLDER_ACT_SECONDS).engines)

    def _wait_for_lost_holder(self, row: Row | None, now: float) -> Handover | None:
        """Return how long to wait for a holder whose row the store may have lost.

        It renewed the lease before the store was restored, at the latest.
        """
        past = now - self._era_seen_at - HOLDER_ACT_SECONDS
        if row is not None:
            past = min(past, self._seconds_since_acting(row, now))
        return self._wait_since(past, now)

    def _wait_since(self, past: float, now: float) -> Handover | None:
        """Return how long to wait ``past`` seconds after a holder's last possible order."""
        left = LEASE_LAPSE_SECONDS - HOLDER_ACT_SECONDS - past
        if left > 0:
            self._lapses_at = now + left
            return None
        last = self._clock.seconds() - past
        self._unheard_all_until = last + UNANSWERED_ORDER_SECONDS
        self._successor_from = self._unheard_all_until + self._order_gap
        return Handover(self._order_gap).remaining_after(past)

    def _seconds_since_acting(self, row: Row, now: float) -> float:
        """Return the minimum seconds since the holder in the row could have sent its last order.

        The store's clock is used where the row's last change was not received. Failure guarded
        against: a holder renews and is lost before it can send its notice, and the lease looks new
        when another host reads it seconds later.
        """
        seen = now - self._seen_at - HOLDER_ACT_SECONDS
        acts_until, at_least = row.value.get("acts_until"), self._store_time.earliest()
        if not isinstance(acts_until, float) or at_least is None:
            return seen
        return max(seen, at_least - acts_until)

    async def _write(self, version: int, term: int, holder: str | None = None) -> int | Failure:
        at_most = self._store_time.latest()
        era = self._era or 0
        value = {
            "era": era,
            "holder": self._ctx.incarnation if holder is None else holder,
            "machine": self._address,
            "term": term,
            "hosts": self.count_hosts(),
            "acts_until": None if at_most is None else at_most + HOLDER_ACT_SECONDS,
            "sizes": self.make_sizes(),
            "handover": asdict(self.handover()),
            "inherited": asdict(self.inherited_handover()),
        }
        tx = Transaction({LEASE_KEY: version}, {LEASE_KEY: value})
        outcome = await commit_and_resolve(self._store, tx)
        if failed(outcome):
            return outcome
        if era_of(outcome.version) != era:
            return Failure(Kind.CONFLICT, "the store was restored")
        return outcome.version

    async def release(self) -> None:
        """Free the lease, so that other hosts need not wait for it to lapse."""
        if self.term == 0:
            return
        term = self.term
        # The notice is sent before the row is freed, so that the next holder knows the latest
        # loads.
        self._resign()
        outcome = await self._with_timeout(self._write(self._version, term, holder=""))
        detail = f"term {term}" if not failed(outcome) else f"term {term}: {outcome.reason}"
        self._ctx.timeline.add("lease_freed", detail=detail)


def read_count(row: Row | None) -> int:
    """Return the number of hosts that the holder of a lease knew, 0 where the row has none."""
    found = row.value.get("hosts") if row else None
    return found if isinstance(found, int) and not isinstance(found, bool) else 0


def read_handover(row: Row, name: str, gap: float) -> Handover:
    """Return the waits stored in a lease's row; the full gap where they can't be read."""
    try:
        found = row.value[name]
        engines = {engine: float(wait) for engine, wait in found["engines"].items()}
        return Handover(float(found["wait"]), engines)
    except (AttributeError, KeyError, TypeError, ValueError):
        return Handover(gap)
