"""Carries out plans on the lease holder, one order at a time on each engine."""

import asyncio
import math
from collections.abc import Awaitable, Callable, Collection, Coroutine, Mapping
from dataclasses import dataclass
from typing import Any

from peridotdock.clients.engines import (
    Action,
    EngineOrder,
    Engines,
    EngineState,
    OrderAnswer,
)
from peridotdock.context import Context
from peridotdock.decisions.draft import Demand, EngineView, Step
from peridotdock.decisions.loads import LoadRateLimiter
from peridotdock.decisions.permits import NO_WAIT, Permit
from peridotdock.decisions.placing import make_plan
from peridotdock.deployment import Deployment, EngineSpec, ModelSize, Service
from peridotdock.errors import Failure, Kind, failed
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.leadership import Leadership
from peridotdock.relay.model_sizes import ModelSizes, decode_sizes, encode_sizes
from peridotdock.relay.records import NO_REQUESTS, EngineRecord, order_seconds
from peridotdock.relay.requests import EndpointEntry
from peridotdock.relay.settings import Bounds
from peridotdock.relay.unanswered_orders import UnansweredOrders
from peridotdock.schema.messages import EngineNews

# Seconds after which an ordered adapter can serve: its load takes five to ten milliseconds, and an
# earlier request is refused.
ADAPTER_LOAD_SECONDS = 0.012
# Seconds without orders to an engine that refused one: its next report may be that old.
REFUSED_PAUSE_SECONDS = 0.35
# Seconds after an accepted unload until the load that needs its capacity is sent. The first attempt
# is often refused as too early and the next accepted; a report would show the end 0.2 s late.
SWAP_DELAY_SECONDS = 0.03
# Minimum and maximum pause, in seconds, before this load is retried while requests still run.
SWAP_RETRY_SECONDS = (0.1, 0.5)
# Seconds for which an engine that was emptied for a model remains reserved for it.
RESERVATION_SECONDS = 8.0
# Maximum seconds that a new holder waits for the first report of each engine.
FIRST_REPORTS_SECONDS = 1.0
# Seconds of known demand after which placement relies on it alone: every busy model has been
# requested by then.
DEMAND_KNOWN_SECONDS = 8.0
# Seconds after which all hosts' facts on running requests and demand have arrived.
HOST_FACTS_SECONDS = 1.0
# Seconds between two reports of an engine that hosts publish as unreachable while the lease holder
# reads its reports.
DOWN_REPORT_SECONDS = 1.0
# Seconds for which a new holder hands on all sizes that it has inherited: the engines that it has
# not heard of by then have lost their entries.
INHERITED_SIZES_SECONDS = 30.0
# Answers that mean that an order is not carried out, now or later.
REJECTED = frozenset(
    {OrderAnswer.BUSY, OrderAnswer.REFUSED, OrderAnswer.FENCED, OrderAnswer.WRONG_ENGINE}
)


# Requests a permit for a call to the endpoint with an id.
RequestPermit = Callable[[str], Awaitable[Permit]]


async def permit_always(key: str) -> Permit:
    """Permit every call."""
    return NO_WAIT


@dataclass(frozen=True, slots=True)
class Reservation:
    """The model that an engine was emptied for, and the time until which it is reserved for it."""

    model: str
    until: float


class Orderer:
    """Carries out plans while this host holds the lease."""

    def __init__(
        self,
        ctx: Context,
        fleet: RelayFleet,
        engines: Engines,
        leadership: Leadership,
        bounds: Bounds,
    ):
        self._ctx = ctx
        self._fleet = fleet
        self._engines = engines
        self._leadership = leadership
        self._bounds = bounds
        self._load_limiters: dict[str, LoadRateLimiter] = {}
        self._sizes: dict[str, ModelSizes] = {}
        self._specs: dict[str, EngineSpec] = {}
        self._inherited_sizes: dict[str, dict[str, ModelSize]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._reservations: dict[str, Reservation] = {}
        self._unanswered = UnansweredOrders()
        self._down_report_at: dict[str, float] = {}
        self._term = 0
        self._began = 0.0
        self._demand_since: float | None = None
        self.records: dict[str, EngineRecord] = {}
        self.changed = asyncio.Event()
        self.request_permit: RequestPermit = permit_always
        self.on_lost: Callable[[str], None] = lambda key: None
        self.find_holder_loads: Callable[[int], Mapping[str, list[float]] | None] = (
            lambda term: None
        )

    def plan_orders(
        self,
        deployment: Deployment,
        demand: Mapping[str, Demand],
        down: Collection[str],
        running: Mapping[str, Mapping[str, int]],
    ) -> None:
        """Update the records from the entries, plan, and start the orders that are due.

        ``down`` are endpoints that some host could not connect to, or that refused a request for an
        item that they were listed with: reading their report shows their state.
        """
        self.follow_deployment(deployment)
        if not self._leadership.holds():
            return
        if self._term != self._leadership.term:
            self._take_over(deployment)
        self._follow_entries()
        self._request_reports(self.records.keys() & set(down))
        for service in deployment.services.values():
            if service.engine is not None:
                self._plan(service, service.engine, demand, running)

    def follow_deployment(self, deployment: Deployment) -> None:
        """Apply the newest configuration: sizes of models, also while another host orders."""
        self._specs = {
            service.name: service.engine
            for service in deployment.services.values()
            if service.engine is not None
        }
        for name, spec in self._specs.items():
            self._sizes.setdefault(name, ModelSizes()).follow(spec)

    def learn_sizes(self, raw: Any) -> None:
        """Record the sizes in the lease's row, which may be older than this host."""
        self._inherited_sizes = {}
        for service, name, size in decode_sizes(raw):
            self._inherited_sizes.setdefault(service, {})[name] = size
        for service in {*self._sizes, *self._inherited_sizes}:
            sizes = self._inherited_sizes.get(service, {})
            self._sizes.setdefault(service, ModelSizes()).inherit(sizes)

    def make_sizes(self) -> dict[str, Any]:
        """Return the sizes of all held models for the lease's row.

        Failure guarded against: a configuration gives a held model another size, and a host that
        knows that configuration alone fills the engine by it.
        """
        taken_over = self._term == self._leadership.term
        settled = taken_over and self._ctx.clock.monotonic() - self._began > INHERITED_SIZES_SECONDS
        found = {} if settled else {name: dict(row) for name, row in self._inherited_sizes.items()}
        for record in self.records.values():
            rows = found.setdefault(record.entry.service, {})
            for name, size in record.held_sizes().items():
                rows[name] = size.largest(rows.get(name, size))
        return encode_sizes(found)

    def _take_over(self, deployment: Deployment) -> None:
        """Reset all state: what the previous holder had in progress is unknown."""
        self._term = self._leadership.term
        self._began = self._ctx.clock.monotonic()
        self._demand_since = None
        self.records.clear()
        self._reservations.clear()
        self._load_limiters.clear()
        holder_loads = self.find_holder_loads(self._term - 1)
        for service in deployment.services.values():
            if service.engine is not None and self._term > 1:
                ages = None if holder_loads is None else holder_loads.get(service.name, [])
                self._load_limiter(service).take_over(self._ctx.clock.monotonic(), ages)
        left = {
            name: row.available(self._ctx.clock.monotonic())
            for name, row in self._load_limiters.items()
        }
        self._ctx.timeline.add(
            "orders_begin",
            detail=f"term {self._term}, load ages of the previous holder {holder_loads}, "
            f"loads left {left}",
        )

    def _request_reports(self, down: Collection[str]) -> None:
        """Read the reports of engines that hosts publish as down, at once and then at intervals.

        Failure guarded against: a host has lost its links to all engines and publishes them as
        down. Each report showed that the engine lives, and was read again at once; meanwhile the
        engine got no order, and callers of other hosts waited in vain for an adapter.
        """
        now = self._ctx.clock.monotonic()
        last = self._down_report_at
        due = {key for key in down if now - last.get(key, -math.inf) >= DOWN_REPORT_SECONDS}
        for key in due:
            self.records[key].needs_report = True
        self._down_report_at = {key: now if key in due else last[key] for key in down}

    def _load_limiter(self, service: Service) -> LoadRateLimiter:
        found = self._load_limiters.get(service.name)
        if found is None:
            bounds = self._bounds
            found = LoadRateLimiter(
                service.engine.loads_per_second, bounds.loads_window, bounds.loads_over
            )
            self._load_limiters[service.name] = found
        found.set_rate(self._specs[service.name].loads_per_second)
        return found

    def recent_loads(self) -> dict[str, tuple[float, ...]]:
        """Return the start times of all loads that count against the rate limit, by service."""
        now = self._ctx.clock.monotonic()
        return {
            name: begun
            for name, row in self._load_limiters.items()
            if (begun := row.start_times(now))
        }

    def _follow_entries(self) -> None:
        states = self._fleet.states
        self.records = {key: record for key, record in self.records.items() if key in states}
        for key, state in states.items():
            record = self.records.get(key)
            if record is None or state.entry.started_ms not in (
                record.started_ms,
                record.entry.started_ms,
            ):
                record = self._new_record(state.entry)
            record.update_entry(state.entry)

    def _new_record(self, entry: EndpointEntry, started_ms: int = 0) -> EngineRecord:
        """Create a record of an engine that is new or has restarted under its id."""
        record = self.records[entry.endpoint_id] = EngineRecord(entry, started_ms)
        state = self._fleet.states.get(entry.endpoint_id)
        if state is not None and state.last_update is not None:
            record.restore(
                state.last_update.update, state.last_update.received_at, self._ctx.clock.monotonic()
            )
        self._reservations.pop(entry.endpoint_id, None)
        return record

    def _plan(
        self,
        service: Service,
        spec: EngineSpec,
        demand: Mapping[str, Demand],
        running: Mapping[str, Mapping[str, int]],
    ) -> None:
        now = self._ctx.clock.monotonic()
        records = [
            record
            for record in self.records.values()
            if record.entry.service == service.name and not self._is_leaving(record)
        ]
        for record in records:
            if record.report_due(now):
                self._spawn(self._read_report(record))
        records = [record for record in records if not record.unreachable]
        if (
            any(record.unreported for record in records)
            and now < self._began + FIRST_REPORTS_SECONDS
        ):
            # Failure guarded against: a new holder has read the reports of some engines only,
            # assumes that models on the others are held nowhere, and spends the rate limit on
            # additional copies.
            return
        for record in records:
            record.pressure.update(self._pending_tokens(record, now), now)
            record.follow_sizes(self._sizes[service.name])
        views = [
            self._view(record, running.get(record.entry.endpoint_id, NO_REQUESTS), now)
            for record in records
        ]
        excluded = {
            record.entry.endpoint_id
            for record in records
            if record.in_flight
            or record.needs_report
            or not self._leadership.may_order(record.entry.endpoint_id)
            or (now < record.paused_until and not record.freeing_adapters and not record.loading)
        }
        limiter = self._load_limiter(service)
        reserved = self._open_reservations(now)
        demand_known = self._demand_known(demand, now)
        stream_seconds = self._fleet.estimate_work(service.name, None).service_seconds
        running_known = self._running_known(now)
        for step in make_plan(
            spec,
            views,
            demand,
            limiter.available(now),
            reserved,
            excluded,
            demand_known,
            stream_seconds,
            running_known,
        ):
            if step.evicted_for:
                self._reservations[step.engine] = Reservation(
                    step.evicted_for, now + RESERVATION_SECONDS
                )
            record = self.records[step.engine]
            record.in_flight = True
            self._spawn(self._execute(record, service, spec, step))

    def _view(self, record: EngineRecord, running: Mapping[str, int], now: float) -> EngineView:
        """Return an engine as plans see it."""
        unanswered = self.unanswered_items(record)
        known = self._sizes[record.entry.service]
        sizes = {item: size for item in unanswered if (size := known.largest(item)) is not None}
        return record.view(now, unanswered, running, sizes)

    def _is_leaving(self, record: EngineRecord) -> bool:
        """Return whether an engine drains: nothing is loaded there, and its copies don't count."""
        state = self._fleet.states.get(record.entry.endpoint_id)
        return record.entry.draining or (state is not None and state.leaving)

    def _demand_known(self, demand: Mapping[str, Demand], now: float) -> bool:
        """Return whether demand has been known for long enough to place models by it alone."""
        if not any(found.peak_rate for found in demand.values()):
            self._demand_since = None
        elif self._demand_since is None:
            self._demand_since = now
        return self._demand_since is not None and now - self._demand_since > DEMAND_KNOWN_SECONDS

    def _running_known(self, now: float) -> bool:
        """Return whether all hosts have had the time to report what runs where."""
        since = self._began if self._demand_since is None else self._demand_since
        return now - max(since, self._began) >= HOST_FACTS_SECONDS

    def _open_reservations(self, now: float) -> dict[str, str]:
        """Return the open reservations: neither fulfilled nor expired."""
        self._reservations = {
            key: reservation
            for key, reservation in self._reservations.items()
            if key in self.records and reservation.until > now
            if reservation.model not in {*self.records[key].loading, *self.records[key].models}
        }
        return {key: reservation.model for key, reservation in self._reservations.items()}

    def _pending_tokens(self, record: EngineRecord, now: float) -> float:
        state = self._fleet.states.get(record.entry.endpoint_id)
        return float(state.load(now)[1]) if state else 0.0

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _read_report(self, record: EngineRecord) -> None:
        """Read an engine's report to learn its state."""
        record.in_flight = True
        try:
            if not await self._permitted(record):
                return
            report = await self._engines.report(record.entry)
            now = self._ctx.clock.monotonic()
            self._log_report(record, report)
            record.unreachable = failed(report) and report.kind is Kind.ENDPOINT_UNREACHABLE
            if failed(report):
                self.on_lost(record.entry.endpoint_id)
            if not failed(report):
                self._leadership.record_report(record.entry.endpoint_id)
                record = self._check_restart(record, report)
                record.apply_report(report, now)
            # Reading it again before it can have changed would only load the engine.
            waits = (
                record.needs_report or record.loading or record.unloading or record.freeing_adapters
            )
            record.paused_until = now + REFUSED_PAUSE_SECONDS if waits else 0.0
        finally:
            record.in_flight = False
            self.changed.set()

    async def _permitted(self, record: EngineRecord) -> bool:
        """Return whether an engine may be called now; otherwise pause it until its limit allows."""
        permit = await self.request_permit(record.entry.endpoint_id)
        if not permit.given:
            record.paused_until = self._ctx.clock.monotonic() + permit.wait
        return permit.given

    def _log_report(self, record: EngineRecord, report: EngineState | Failure) -> None:
        """Count and log that an engine's report was requested."""
        result = f"{report.kind}: {report.reason}" if failed(report) else f"seq {report.seq}"
        self._ctx.metrics.reports.labels("failed" if failed(report) else "read").inc()
        self._ctx.timeline.add("report_read", endpoint=record.entry.endpoint_id, detail=result)

    def _check_restart(self, record: EngineRecord, report: EngineState) -> EngineRecord:
        """Return the record for a report: a new record where the engine has restarted.

        The restart of an engine that can't reach the store shows in its report alone.
        """
        key = record.entry.endpoint_id
        if not 0 < record.started_ms < report.started_ms or self.records.get(key) is not record:
            return record
        return self._new_record(record.entry, report.started_ms)

    async def _execute(
        self, record: EngineRecord, service: Service, spec: EngineSpec, step: Step
    ) -> None:
        """Send one order and apply its outcome."""
        order = EngineOrder(
            step.action, step.model, step.adapter, record.seq, self._ctx.cfg.host_id, self._term
        )
        seconds = order_seconds(record.entry, spec, order)
        model = spec.models.get(step.model)
        begun = self._ctx.clock.monotonic()
        loads = step.action is Action.LOAD and not step.adapter
        if loads and model and seconds >= model.load_seconds:
            self._load_limiter(service).record(begun)
        try:
            engine = record.entry.endpoint_id
            if (
                not await self._permitted(record)
                or not self._leadership.may_order(engine)
                or self._specs.get(service.name) is not spec
            ):
                # A plan is not carried out once a newer configuration has come.
                self._undo_load(service, begun)
                return
            sent_at = self._leadership.record_order(engine)
            record.order_sent(order, spec)
            outcome = await self._send_order(record, order)
            if not failed(outcome) or outcome.kind is Kind.ENDPOINT_UNREACHABLE:
                self._leadership.record_answer(engine, sent_at)
            if outcome in REJECTED:
                self._undo_load(service, begun)
            elif outcome is OrderAnswer.ACCEPTED and loads and model:
                record.sizes[step.model] = model.size
            # Logged before the pauses that follow some answers, so that the log line has the right
            # time.
            self._log_order(record, step, order, outcome)
            await self._apply_outcome(record, order, outcome, seconds)
        finally:
            record.in_flight = False
            self.changed.set()

    def _undo_load(self, service: Service, begun: float) -> None:
        """Remove a load that its engine has not begun from the count."""
        found = self._load_limiters.get(service.name)
        if found is not None:
            found.undo(begun)

    async def _send_order(self, record: EngineRecord, order: EngineOrder) -> OrderAnswer | Failure:
        """Send an order; one without an answer may reach a later start of the engine."""
        key = record.entry.endpoint_id
        self._unanswered.add(key, record.started_ms, order, self._ctx.clock.monotonic())
        outcome = await self._engines.order(record.entry, order)
        if not failed(outcome) or outcome.kind is Kind.ENDPOINT_UNREACHABLE:
            self._unanswered.discard(key, order)
        return outcome

    def unanswered_items(self, record: EngineRecord) -> frozenset[str]:
        """Return what an engine may still load by orders that were sent to an earlier start."""
        now = self._ctx.clock.monotonic()
        return self._unanswered.possible_items(
            record.entry.endpoint_id, record.started_ms, record.seq, now
        )

    async def _apply_outcome(
        self,
        record: EngineRecord,
        order: EngineOrder,
        outcome: OrderAnswer | Failure,
        seconds: float,
    ) -> None:
        now = self._ctx.clock.monotonic()
        if failed(outcome):
            # It may still be carried out, seconds from now. The next order that the engine accepts
            # invalidates it, as it expects the number of orders accepted until now; so the next
            # order needs no wait, and is refused if this one was carried out after all.
            record.needs_report = outcome.kind is Kind.ENDPOINT_UNREACHABLE
        elif outcome is OrderAnswer.ACCEPTED and order.adapter and order.action is Action.UNLOAD:
            # Requests still use the adapter: it is unloaded when they have ended, and takes up its
            # slot until then. A report shows whether the order was counted.
            record.freeing_adapters.add(f"{order.model}/{order.adapter}")
            record.needs_report = True
            record.ordered_at = now
            record.paused_until = now + REFUSED_PAUSE_SECONDS
        elif outcome is OrderAnswer.ACCEPTED:
            record.order_accepted(order, now + seconds, now)
            if order.adapter:
                await self._ctx.clock.sleep(ADAPTER_LOAD_SECONDS)
            elif order.action is Action.UNLOAD:
                await self._ctx.clock.sleep(SWAP_DELAY_SECONDS)
        elif outcome is OrderAnswer.BUSY and record.unloading:
            # Requests still use the model to be unloaded: the load waits until they end.
            least, most = SWAP_RETRY_SECONDS
            age = now - min(record.unloading.values())
            await self._ctx.clock.sleep(min(most, max(least, age / 2)))
        elif outcome is OrderAnswer.HOLDS_ALREADY and order.adapter:
            # An unused adapter is unloaded at once, and that counts as an order.
            record.order_accepted(order, now, now)
            record.needs_report = order.action is Action.LOAD
        elif outcome is OrderAnswer.HOLDS_ALREADY:
            record.needs_report = True
        else:
            record.needs_report = True
            record.paused_until = now + REFUSED_PAUSE_SECONDS

    def _log_order(
        self, record: EngineRecord, step: Step, order: EngineOrder, outcome: OrderAnswer | Failure
    ) -> None:
        result = f"unanswered: {outcome.reason}" if failed(outcome) else outcome.value
        self._ctx.metrics.orders.labels(order.action.value, result.partition(":")[0]).inc()
        item = f"{order.model}/{order.adapter}" if order.adapter else order.model
        self._ctx.timeline.add(
            "order_given",
            endpoint=record.entry.endpoint_id,
            item=item,
            detail=f"{order.action} {step.reason}, {step.running} running, "
            f"expected {order.expected}: {result}",
        )

    async def stop(self) -> None:
        """Cancel the work in progress; an order that was sent may still be carried out."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def make_updates(self) -> list[EngineNews]:
        """Return the changes that the engines' entries may not show yet."""
        now = self._ctx.clock.monotonic()
        return [
            record.make_update(now) for record in self.records.values() if record.has_update(now)
        ]
