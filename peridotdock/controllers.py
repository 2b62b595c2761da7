"""The controller of an engine: the only host that orders loads and unloads on it.

Each round reads the engine's item list, updates the ledger from it, applies the plan's moves,
writes the row, and only then sends orders. While the platform is down no new order is sent, and
requests are served as before.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from peridotdock import ledger as ledgers
from peridotdock.clients.endpoint import HttpEndpoints, Order, Report
from peridotdock.clients.platform import Platform, Row, Transaction, commit_and_resolve
from peridotdock.clients.versions import ABSENT, era_of
from peridotdock.context import Context
from peridotdock.drafts import Move
from peridotdock.errors import Failure, Kind, failed
from peridotdock.items import Item, name_of
from peridotdock.leases import HostLease, LeaseTable
from peridotdock.ledger import Ledger, Reservation, State
from peridotdock.manifest import Accepted
from peridotdock.schema.manifest import Endpoint

ORDER_TIMEOUT_SECONDS = 120.0
# An order is sent again after this long if the engine's report does not show its effect.
RESEND_SECONDS = 3.0
# The lease must stay valid for at least this long when an order is sent.
SEND_MARGIN_SECONDS = 0.5
# Time between the commit of an unload and its order, in which hosts stop routing to the item.
DRAIN_SECONDS = 1.0
# Interval of the rounds for an engine without pending work.
IDLE_CHECK_SECONDS = 3.0
ACTIONS = {State.LOADING: "load", State.UNLOADING: "unload"}


@dataclass
class SentOrder:
    """An order in flight: its number, when it was sent, and the task that awaits its answer."""

    order: int
    sent_at: float
    task: asyncio.Task[None]


@dataclass
class EngineRecord:
    """A controller's in-memory state of one engine; durable state is in the ledger row.

    Before ``loads_from`` no load is reserved: a load whose reservation the store has lost with an
    earlier controller's row may still arrive.
    """

    endpoint: Endpoint
    ledger: Ledger
    version: int
    sent_orders: dict[str, SentOrder] = field(default_factory=dict)
    answered: dict[str, int] = field(default_factory=dict)
    quarantined_since: dict[str, float] = field(default_factory=dict)
    resend: set[str] = field(default_factory=set)
    draining_since: dict[str, float] = field(default_factory=dict)
    checked_at: float = float("-inf")
    loads_from: float = float("-inf")


class Controller:
    """Controls the engines whose ledger rows name this host."""

    def __init__(
        self,
        ctx: Context,
        platform: Platform,
        endpoints: HttpEndpoints,
        lease: HostLease,
        lease_table: LeaseTable,
    ):
        self._ctx = ctx
        self._platform = platform
        self._endpoints = endpoints
        self._lease = lease
        self._lease_table = lease_table
        self.records: dict[str, EngineRecord] = {}
        self.rows: dict[str, Row] = {}
        self.moves: dict[str, list[Move]] = {}
        self.on_answer: Callable[[], None] = lambda: None

    def read_rows(self, rows: dict[str, Row]) -> None:
        """Store the result of a scan of all ledger rows."""
        self.rows = {key.removeprefix(ledgers.KEY_PREFIX): row for key, row in rows.items()}

    async def reconcile(self, endpoint: Endpoint, chosen: bool, accepted: Accepted) -> None:
        """Run one round for an engine, or take it over if this host is to control it.

        ``chosen`` tells whether rendezvous hashing assigns the engine to this host.
        """
        record = self.records.get(endpoint.id)
        if record is None:
            if chosen or self._owns_row(endpoint):
                await self._take_over(endpoint)
            return
        record.endpoint = endpoint
        if not self._lease.valid():
            self._drop(record, "lease lapsed")
            return
        if record.ledger.era != self._platform.era.current:
            await self._write_again(record)
            return
        if self._has_work(record):
            record.checked_at = self._ctx.clock.monotonic()
            await self._sync(record, accepted)

    def _has_work(self, record: EngineRecord) -> bool:
        """Tell whether a round is due: work is pending, or the last check is too long ago."""
        if record.endpoint.id in self.moves or record.resend:
            return True
        if any(row.state is not State.HELD for row in record.ledger.reservations):
            return True
        return self._ctx.clock.monotonic() - record.checked_at >= IDLE_CHECK_SECONDS

    def _owns_row(self, endpoint: Endpoint) -> bool:
        """Tell whether the row still names this incarnation.

        Failure guarded against: an outage makes a controller drop its engines, a new host is chosen
        meanwhile, and then the old host's lease is valid again. The new host waits for that lease
        to lapse, which it never does; without this check the engine would stay uncontrolled.
        """
        row = self.rows.get(endpoint.id)
        return row is not None and row.value["controller"] == self._ctx.incarnation

    def _drop(self, record: EngineRecord, why: str) -> None:
        del self.records[record.endpoint.id]
        for sent_order in record.sent_orders.values():
            sent_order.task.cancel()
        self._ctx.timeline.add("controller_left", endpoint=record.endpoint.id, detail=why)

    def drop_all(self, why: str) -> None:
        """Stop controlling all engines."""
        for record in list(self.records.values()):
            self._drop(record, why)

    async def _take_over(self, endpoint: Endpoint) -> None:
        """Become controller if there is none or the previous one's lease has lapsed.

        Failure guarded against: a restored platform has lost the row of a controller, whose load
        order reaches the engine after the bytes were given to another item.
        """
        if not self._lease.valid(SEND_MARGIN_SECONDS):
            return
        row = self.rows.get(endpoint.id)
        old = ledgers.read_ledger(row.value) if row else Ledger(endpoint.id)
        checks = {ledgers.row_key(endpoint.id): row.version if row else ABSENT}
        if old.controller and old.controller != self._ctx.incarnation:
            lapsed = self._lease_table.prove_lapsed(old.controller)
            if lapsed is None:
                return
            checks |= lapsed
        era = self._platform.era.current
        after_lost = self._lease_table.seconds_after_lost(era)
        if row is None and after_lost <= 0:
            return
        current = ledgers.enter_era(old, era)
        new = ledgers.take_over(current, self._ctx.incarnation)
        outcome = await self._write(endpoint.id, new, checks)
        if failed(outcome) or era_of(outcome) != era:
            # A row that was written into another era than it was checked in is judged once more.
            return
        record = self.records[endpoint.id] = EngineRecord(endpoint, new, outcome)
        if old.era != era:
            since = after_lost if row is None else 0.0
            record.loads_from = self._ctx.clock.monotonic() + self._ctx.cfg.lateness_seconds - since
        self._ctx.timeline.add(
            "controller_took_over", endpoint=endpoint.id, detail=f"term {new.term}"
        )

    async def _write(self, name: str, ledger: Ledger, checks: dict[str, int]) -> int | Failure:
        tx = Transaction(checks, {ledgers.row_key(name): ledger.to_value()})
        outcome = await commit_and_resolve(self._platform, tx)
        return outcome if failed(outcome) else outcome.version

    async def _sync(self, record: EngineRecord, accepted: Accepted) -> None:
        report = await self._endpoints.report(record.endpoint.url, 0)
        if failed(report):
            return
        checks = {ledgers.row_key(record.endpoint.id): record.version}
        new = ledgers.observe(record.ledger, report)
        new = self._release_unloaded(record, new, report)
        new = self._renumber(record, new, report)
        new, copy_checks = self._apply_moves(record, new, accepted)
        checks |= copy_checks
        if new != record.ledger and not await self._save(record, new, checks):
            return
        self._send_all(record, report)

    async def _save(self, record: EngineRecord, new: Ledger, checks: dict[str, int]) -> bool:
        outcome = await self._write(record.endpoint.id, new, checks)
        if not failed(outcome):
            record.ledger, record.version = new, outcome
            return True
        if record.ledger.era != self._platform.era.current:
            await self._write_again(record)
        elif outcome.kind is Kind.CONFLICT and len(checks) == 1:
            self._drop(record, "another controller wrote the row")
        elif outcome.kind is not Kind.PLATFORM_DOWN:
            # The outcome is unknown, or the row of another copy changed: reload before going on.
            await self._reload(record)
        return False

    async def _write_again(self, record: EngineRecord) -> None:
        """Write the ledger to a store that has returned from an older copy.

        The copy may show another controller, or lack orders that the engine has carried out. While
        this host's lease is valid no other host can have taken over since, unless it did so in the
        new era.
        """
        era, key = self._platform.era.current, ledgers.row_key(record.endpoint.id)
        rows = await self._platform.read([key])
        if failed(rows) or not self._lease.valid():
            return
        row = rows.get(key)
        if row is not None and ledgers.read_ledger(row.value).era == era:
            await self._reload(record)
            return
        new = ledgers.enter_era(record.ledger, era)
        version = row.version if row else ABSENT
        outcome = await self._write(record.endpoint.id, new, {key: version})
        if not failed(outcome):
            record.ledger, record.version = new, outcome
            self._note("ledger_written_again", record, "", f"era {era}")

    async def _reload(self, record: EngineRecord) -> None:
        key = ledgers.row_key(record.endpoint.id)
        rows = await self._platform.read([key])
        if failed(rows) or key not in rows:
            self._drop(record, "row could not be read again")
            return
        found = ledgers.read_ledger(rows[key].value)
        if found.controller != self._ctx.incarnation:
            self._drop(record, "another controller took over")
            return
        record.ledger, record.version = found, rows[key].version

    def _release_unloaded(self, record: EngineRecord, ledger: Ledger, report: Report) -> Ledger:
        """Move unloaded items towards release, as far as there is evidence that they are gone.

        Failure guarded against: a load order sent earlier arrives after the unload, when the
        bytes have been given to another item; the accelerator is then over-committed. An engine
        that fences has answered the unload's number and rejects every older order. For an engine
        that ignores numbers the bytes stay reserved for ``lateness_seconds``, the longest delay of
        an order, and the item list is read again.
        """
        now = self._ctx.clock.monotonic()
        for row in ledger.reservations:
            gone = row.item not in report.items
            if row.state is State.UNLOADING and gone and record.answered.get(row.item) == row.order:
                ledger = ledgers.set_state(ledger, row.item, State.QUARANTINE)
                record.quarantined_since[row.item] = now
            elif row.state is State.QUARANTINE and gone:
                since = record.quarantined_since.setdefault(row.item, now)
                wait_seconds = 0.0 if record.endpoint.fencing else self._ctx.cfg.lateness_seconds
                if now - since >= wait_seconds:
                    freed = ledgers.release(ledger, row.item, report)
                    ledger = ledger if failed(freed) else freed
                    self._note("released", record, row.item)
        return ledger

    def _renumber(self, record: EngineRecord, ledger: Ledger, report: Report) -> Ledger:
        """Renumber orders that were fenced, or answered without a lasting effect."""
        for row in ledger.reservations:
            if row.state not in ACTIONS:
                continue
            on_engine = row.item in report.items
            ineffective = record.answered.get(row.item) == row.order and on_engine == (
                row.state is State.UNLOADING
            )
            if row.item in record.resend or ineffective or row.order == 0:
                ledger = ledgers.renumber(ledger, row.item, row.state)
        record.resend.clear()
        return ledger

    def _apply_moves(
        self, record: EngineRecord, ledger: Ledger, accepted: Accepted
    ) -> tuple[Ledger, dict[str, int]]:
        """Apply the plan's moves that the ledger allows; return it with the checks to commit."""
        checks: dict[str, int] = {}
        capacity = [row.bytes for row in record.endpoint.accelerators]
        for move in self.moves.get(record.endpoint.id, []):
            if move.action == "load":
                if self._ctx.clock.monotonic() < record.loads_from:
                    continue
                item = accepted.by_key.get(move.item)
                if item is None:
                    continue
                changed = ledgers.reserve(ledger, capacity, item.key, item.bytes, move.places)
                proof: dict[str, int] | None = {}
            else:
                changed = ledgers.begin_unload(ledger, move.item)
                proof = self.prove_other_copy(move.item, record.endpoint.id, accepted)
            if failed(changed) or proof is None:
                continue
            ledger = changed
            checks |= proof
            self._note(f"{move.action}_reserved", record, move.item, move.reason)
        return ledger, checks

    def prove_other_copy(
        self, item: str, endpoint: str, accepted: Accepted
    ) -> dict[str, int] | None:
        """Return the checks under which an unload leaves enough ready copies, or None.

        Failure guarded against: two controllers each unload one of the last two copies, since each
        sees the other's. The unload commits only if the version of the other engine's row is still
        the one that holds the copy, so one of the two commits fails.
        """
        checks: dict[str, int] = {}
        for key in (item, *self._dependents(endpoint, item)):
            found = self._prove_one(key, endpoint, accepted)
            if found is None:
                return None
            checks |= found
        return checks

    def _dependents(self, endpoint: str, base: str) -> list[str]:
        """Return the adapters on an engine that use its copy of ``base``."""
        rows = self.records[endpoint].ledger.reservations if endpoint in self.records else ()
        return [row.item for row in rows if row.item.endswith(f"~{base}")]

    def _prove_one(self, item: str, endpoint: str, accepted: Accepted) -> dict[str, int] | None:
        current = accepted.items.get(name_of(item))
        if current is None:
            return {}
        same = current.key == item
        needed = current.copies if same else 1
        if not same and self._own_held(endpoint, current.key):
            needed -= 1
        checks: dict[str, int] = {}
        for other, row in self.rows.items():
            if other == endpoint or other not in accepted.engines or needed <= 0:
                continue
            if holds(ledgers.read_ledger(row.value), current):
                checks[ledgers.row_key(other)] = row.version
                needed -= 1
        return None if needed > 0 else checks

    def _own_held(self, endpoint: str, key: str) -> bool:
        record = self.records.get(endpoint)
        row = record.ledger.find(key) if record else None
        return row is not None and row.state is State.HELD

    def _send_all(self, record: EngineRecord, report: Report) -> None:
        """Send every due order: new ones, and those whose effect the report does not show."""
        now = self._ctx.clock.monotonic()
        for row in record.ledger.reservations:
            action = ACTIONS.get(row.state)
            if action is None or not self._due(record, row, report, now):
                continue
            if not self._lease.valid(SEND_MARGIN_SECONDS):
                return
            order = Order(row.order, action, row.item, row.bytes, row.places)
            task = asyncio.create_task(self._send(record, order))
            record.sent_orders[row.item] = SentOrder(row.order, now, task)

    def _due(self, record: EngineRecord, row: Reservation, report: Report, now: float) -> bool:
        sent_order = record.sent_orders.get(row.item)
        if sent_order is None or sent_order.order != row.order:
            # Hosts stop routing to an item once they receive the ledger that shows its unload.
            since = record.draining_since.setdefault(row.item, now)
            return row.state is not State.UNLOADING or now - since >= DRAIN_SECONDS
        held = report.items.get(row.item)
        shows = held is not None if row.state is State.LOADING else False
        return not shows and now - sent_order.sent_at >= RESEND_SECONDS

    async def _send(self, record: EngineRecord, order: Order) -> None:
        """Send one order; its bytes are reserved already, so a late arrival is safe."""
        outcome = await self._endpoints.order(record.endpoint.url, order, ORDER_TIMEOUT_SECONDS)
        label = "done" if outcome is None else outcome.kind.value
        self._ctx.metrics.orders.labels(order.action, label).inc()
        self._note(f"{order.action}_{label}", record, order.item, f"order {order.number}")
        self.on_answer()
        if outcome is None:
            record.answered[order.item] = order.number
            record.draining_since.pop(order.item, None)
        elif outcome.kind is Kind.FENCED:
            record.resend.add(order.item)

    def _note(self, name: str, record: EngineRecord, item: str, detail: str = "") -> None:
        self._ctx.timeline.add(name, endpoint=record.endpoint.id, item=item, detail=detail)


def holds(ledger: Ledger, item: Item) -> bool:
    """Tell whether the ledger shows an item as ready; an adapter also needs its base."""
    wanted = (item.key, item.base) if item.is_adapter else (item.key,)
    rows = [ledger.find(key) for key in wanted]
    return all(row is not None and row.state is State.HELD for row in rows)
