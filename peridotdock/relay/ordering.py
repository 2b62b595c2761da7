"""Ordering engines: plans carried out one order at a time on each engine, by the lease's holder."""

import asyncio
from collections.abc import Callable, Collection, Coroutine, Mapping
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
from peridotdock.decisions.draft import Demand, Step
from peridotdock.decisions.loads import LoadRation
from peridotdock.decisions.placing import make_plan
from peridotdock.deployment import Deployment, EngineSpec, Service
from peridotdock.errors import Failure, Kind, failed
from peridotdock.relay.asks import EndpointEntry
from peridotdock.relay.book import EndpointBook
from peridotdock.relay.late import LateOrders
from peridotdock.relay.leadership import Leadership
from peridotdock.relay.settings import Bounds
from peridotdock.relay.wards import Ward, order_seconds
from peridotdock.schema.messages import EngineNews

# Seconds after which an adapter that was ordered can serve: its load takes five to ten
# milliseconds, and a request that comes sooner is refused.
ADAPTER_SECONDS = 0.012
# Seconds that an engine gets no order after it refused one: its report is as old as that.
REFUSED_PAUSE = 0.35
# Seconds after an accepted unload at which the load that it makes room for is tried. The first try
# is often refused as too soon and the next accepted; a report would tell of the end 0.2 s late.
SWAP_SECONDS = 0.03
# Least and longest pause, in seconds, before such a load is tried again while requests still run.
SWAP_AGAIN_SECONDS = (0.1, 0.5)
# Seconds for which an engine that was emptied for a model is kept for it.
PROMISE_SECONDS = 8.0
# Seconds that a new holder waits for the first report of each engine, at most.
LOOK_SECONDS = 1.0
# Seconds of demand after which placement goes by it alone: every busy model is asked for by then.
SETTLED_SECONDS = 8.0
# Answers that say that an order is not carried out, now or later.
NOT_DONE = frozenset(
    {OrderAnswer.BUSY, OrderAnswer.REFUSED, OrderAnswer.FENCED, OrderAnswer.ANOTHER}
)


@dataclass(frozen=True, slots=True)
class Promise:
    """The model that an engine was emptied for, and until when it is kept for it."""

    model: str
    until: float


class Orderer:
    """Carries out plans while this host holds the lease."""

    def __init__(
        self,
        ctx: Context,
        book: EndpointBook,
        engines: Engines,
        leadership: Leadership,
        bounds: Bounds,
    ):
        self._ctx = ctx
        self._book = book
        self._engines = engines
        self._leadership = leadership
        self._bounds = bounds
        self._rations: dict[str, LoadRation] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._promises: dict[str, Promise] = {}
        self._late = LateOrders()
        self._term = 0
        self._began = 0.0
        self._demand_since: float | None = None
        self.wards: dict[str, Ward] = {}
        self.changed = asyncio.Event()
        self.heard_loads: Callable[[int], Mapping[str, list[float]] | None] = lambda term: None

    def round(
        self, deployment: Deployment, demand: Mapping[str, Demand], down: Collection[str]
    ) -> None:
        """Bring the wards up to the entries, plan, and begin what is due.

        ``down`` are endpoints that some host could not connect to, or that refused a request for
        what they were said to hold: a look tells what is so.
        """
        if not self._leadership.may_order():
            return
        if self._term != self._leadership.term:
            self._take_over(deployment)
        self._follow_entries()
        for key in self.wards.keys() & set(down):
            self.wards[key].unsure = True
        for service in deployment.services.values():
            if service.engine is not None:
                self._plan(service, service.engine, demand)

    def _take_over(self, deployment: Deployment) -> None:
        """Begin anew: nothing is known of what the holder before had under way."""
        self._term = self._leadership.term
        self._began = self._ctx.clock.monotonic()
        self._demand_since = None
        self.wards.clear()
        self._promises.clear()
        self._rations.clear()
        heard = self.heard_loads(self._term - 1)
        for service in deployment.services.values():
            if service.engine is not None and self._term > 1:
                ages = None if heard is None else heard.get(service.name, [])
                self._ration(service).assume_used(self._ctx.clock.monotonic(), ages)
        left = {name: row.left(self._ctx.clock.monotonic()) for name, row in self._rations.items()}
        self._ctx.timeline.add(
            "orders_begin",
            detail=f"term {self._term}, loads heard of {heard}, loads left {left}",
        )

    def _ration(self, service: Service) -> LoadRation:
        found = self._rations.get(service.name)
        if found is None:
            bounds = self._bounds
            found = LoadRation(
                service.engine.loads_per_second, bounds.loads_window, bounds.loads_over
            )
            self._rations[service.name] = found
        return found

    def loads(self) -> dict[str, tuple[float, ...]]:
        """Return when each load that counts was begun, by service."""
        now = self._ctx.clock.monotonic()
        return {name: begun for name, row in self._rations.items() if (begun := row.begun(now))}

    def _follow_entries(self) -> None:
        states = self._book.states
        self.wards = {key: ward for key, ward in self.wards.items() if key in states}
        for key, state in states.items():
            ward = self.wards.get(key)
            if ward is None or state.entry.born not in (ward.born, ward.entry.born):
                ward = self._begin(state.entry)
            ward.take_entry(state.entry)

    def _begin(self, entry: EndpointEntry, born: int = 0) -> Ward:
        """Begin anew with an engine: it is new, or has started again under its id."""
        ward = self.wards[entry.incarnation] = Ward(entry, born)
        self._promises.pop(entry.incarnation, None)
        return ward

    def _plan(self, service: Service, spec: EngineSpec, demand: Mapping[str, Demand]) -> None:
        now = self._ctx.clock.monotonic()
        wards = [
            ward
            for ward in self.wards.values()
            if ward.entry.service == service.name and not ward.entry.leaving
        ]
        for ward in wards:
            if ward.overdue(now):
                self._spawn(self._look(ward))
        wards = [ward for ward in wards if not ward.down]
        if any(ward.unknown for ward in wards) and now < self._began + LOOK_SECONDS:
            # Failure guarded against: a new holder has read some reports and not others, takes
            # models on the others for held nowhere, and spends the ration on second copies.
            return
        for ward in wards:
            ward.press(self._ahead(ward, now), now)
        views = [ward.view(now, self.late_items(ward)) for ward in wards]
        held_back = {
            ward.entry.incarnation
            for ward in wards
            if ward.in_flight
            or ward.unsure
            or (now < ward.quiet_until and not ward.freeing and not ward.loading)
        }
        ration = self._ration(service)
        promised = self._promised(now)
        settled = self._settled(demand, now)
        for step in make_plan(spec, views, demand, ration.left(now), promised, held_back, settled):
            if step.room_for:
                self._promises[step.engine] = Promise(step.room_for, now + PROMISE_SECONDS)
            ward = self.wards[step.engine]
            ward.in_flight = True
            self._spawn(self._carry_out(ward, service, spec, step))

    def _settled(self, demand: Mapping[str, Demand], now: float) -> bool:
        """Tell whether demand has been known for long enough to place by it alone."""
        if not any(found.rate for found in demand.values()):
            self._demand_since = None
        elif self._demand_since is None:
            self._demand_since = now
        return self._demand_since is not None and now - self._demand_since > SETTLED_SECONDS

    def _promised(self, now: float) -> dict[str, str]:
        """Return the promises that are open: not kept yet, and not too old."""
        self._promises = {
            key: promise
            for key, promise in self._promises.items()
            if key in self.wards and promise.until > now
            if promise.model not in {*self.wards[key].loading, *self.wards[key].models}
        }
        return {key: promise.model for key, promise in self._promises.items()}

    def _ahead(self, ward: Ward, now: float) -> float:
        state = self._book.states.get(ward.entry.incarnation)
        return float(state.load(now)[1]) if state else 0.0

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _look(self, ward: Ward) -> None:
        """Read an engine's report, to learn where it stands."""
        ward.in_flight = True
        try:
            report = await self._engines.report(ward.entry)
            now = self._ctx.clock.monotonic()
            ward.down = failed(report) and report.kind is Kind.ENDPOINT_UNREACHABLE
            if not failed(report):
                ward = self._started_again(ward, report)
                ward.take_report(report, now)
            # Another look before a report can have changed would only load the engine.
            waits = ward.unsure or ward.loading or ward.dropping or ward.freeing
            ward.quiet_until = now + REFUSED_PAUSE if waits else 0.0
        finally:
            ward.in_flight = False
            self.changed.set()

    def _started_again(self, ward: Ward, report: EngineState) -> Ward:
        """Return the ward that a report is of: a new one where the engine has started again.

        An engine that can't reach the store shows a new start in its report alone.
        """
        key = ward.entry.incarnation
        if not 0 < ward.born < report.born or self.wards.get(key) is not ward:
            return ward
        return self._begin(ward.entry, report.born)

    async def _carry_out(self, ward: Ward, service: Service, spec: EngineSpec, step: Step) -> None:
        """Give one order and take in what came of it."""
        order = EngineOrder(
            step.action, step.model, step.adapter, ward.seq, self._ctx.cfg.host_id, self._term
        )
        seconds = order_seconds(ward.entry, spec, order)
        model = spec.models.get(step.model)
        begun = self._ctx.clock.monotonic()
        loads = step.action is Action.LOAD and not step.adapter
        if loads and model and seconds >= model.load:
            self._ration(service).begin(begun)
        try:
            if not self._leadership.may_order():
                self._ration(service).take_back(begun)
                return
            self._leadership.ordered()
            outcome = await self._give(ward, order)
            if outcome in NOT_DONE:
                self._ration(service).take_back(begun)
            # Logged before the pauses that follow some answers, so that the line has its time.
            self._note(ward, step, order, outcome)
            await self._settle(ward, order, outcome, seconds)
        finally:
            ward.in_flight = False
            self.changed.set()

    async def _give(self, ward: Ward, order: EngineOrder) -> OrderAnswer | Failure:
        """Send an order; one without an answer may reach a later start of the engine."""
        key = ward.entry.incarnation
        self._late.sent(key, ward.born, order, self._ctx.clock.monotonic())
        outcome = await self._engines.order(ward.entry, order)
        if not failed(outcome) or outcome.kind is Kind.ENDPOINT_UNREACHABLE:
            self._late.answered(key, order)
        return outcome

    def late_items(self, ward: Ward) -> frozenset[str]:
        """Return what an engine may load yet by orders that were sent to a start before."""
        now = self._ctx.clock.monotonic()
        return self._late.items(ward.entry.incarnation, ward.born, ward.seq, now)

    async def _settle(
        self, ward: Ward, order: EngineOrder, outcome: OrderAnswer | Failure, seconds: float
    ) -> None:
        now = self._ctx.clock.monotonic()
        if failed(outcome):
            # It may be carried out yet, seconds from now. Whatever order the engine accepts first
            # makes it void, as it expects the number of orders accepted until now; so the next one
            # needs no wait, and is refused if this one was carried out after all.
            ward.unsure = outcome.kind is Kind.ENDPOINT_UNREACHABLE
        elif outcome is OrderAnswer.ACCEPTED and order.adapter and order.action is Action.UNLOAD:
            # Requests still use the adapter: it goes when they have ended, and takes its place
            # until then. Whether the order was counted shows in a report.
            ward.freeing.add(f"{order.model}/{order.adapter}")
            ward.unsure = True
            ward.ordered_at = now
            ward.quiet_until = now + REFUSED_PAUSE
        elif outcome is OrderAnswer.ACCEPTED:
            ward.accepted(order, now + seconds, now)
            if order.adapter:
                await self._ctx.clock.sleep(ADAPTER_SECONDS)
            elif order.action is Action.UNLOAD:
                await self._ctx.clock.sleep(SWAP_SECONDS)
        elif outcome is OrderAnswer.BUSY and ward.dropping:
            # Requests still use the model that makes room: the load waits for their end.
            least, most = SWAP_AGAIN_SECONDS
            age = now - min(ward.dropping.values())
            await self._ctx.clock.sleep(min(most, max(least, age / 2)))
        elif outcome is OrderAnswer.HOLDS_ALREADY and order.adapter:
            # An adapter that nobody uses is unloaded at once, and that counts as an order.
            ward.accepted(order, now, now)
            ward.unsure = order.action is Action.LOAD
        elif outcome is OrderAnswer.HOLDS_ALREADY:
            ward.unsure = True
        else:
            ward.unsure = True
            ward.quiet_until = now + REFUSED_PAUSE

    def _note(
        self, ward: Ward, step: Step, order: EngineOrder, outcome: OrderAnswer | Failure
    ) -> None:
        word = f"unanswered: {outcome.reason}" if failed(outcome) else outcome.value
        self._ctx.metrics.orders.labels(order.action.value, word.partition(":")[0]).inc()
        item = f"{order.model}/{order.adapter}" if order.adapter else order.model
        self._ctx.timeline.add(
            "order_given",
            endpoint=ward.entry.incarnation,
            item=item,
            detail=f"{order.action} {step.reason}, expected {order.expected}: {word}",
        )

    async def stop(self) -> None:
        """End what is under way; an order that was sent may be carried out all the same."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def news(self) -> list[EngineNews]:
        """Return what the engines' entries may not show yet."""
        now = self._ctx.clock.monotonic()
        return [ward.news(now) for ward in self.wards.values() if ward.has_news(now)]
