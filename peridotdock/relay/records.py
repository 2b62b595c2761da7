"""The lease holder's record of each engine: accepted orders, models held, loading or unloading."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from peridotdock.averages import MovingAverage
from peridotdock.clients.engines import Action, EngineOrder, EngineState
from peridotdock.decisions.draft import EngineView
from peridotdock.deployment import EngineSpec, ModelSize
from peridotdock.relay.fleet import load_seconds
from peridotdock.relay.model_sizes import ModelSizes
from peridotdock.relay.requests import EndpointEntry
from peridotdock.schema.messages import EngineNews

# Seconds beyond its usual time after which a report is read for a load that does not show, and the
# same after an unload: reports are 0.2 s old, and entries follow a second later.
LOAD_SLACK_SECONDS = 0.25
UNLOAD_SLACK_SECONDS = 0.25
# Seconds after an order during which other hosts use the update of the host that sent it: an
# engine's heartbeat is written about every second, and the store's feed is read with pauses.
UPDATE_SECONDS = 3.0
# Seconds for which a newly loaded model is not unloaded to free capacity for an additional copy.
SETTLING_SECONDS = 10.0
# Seconds over which the pending tokens of an engine are averaged.
PRESSURE_SECONDS = 2.0
# Seconds after an order during which a report may be older than the order.
REPORT_LAG_SECONDS = 0.8


NO_REQUESTS: Mapping[str, int] = MappingProxyType({})
NO_SIZES: Mapping[str, ModelSize] = MappingProxyType({})


@dataclass
class EngineRecord:
    """One start of an engine, as the lease holder knows it. Times are monotonic seconds.

    ``loading`` maps models to when their load should finish, ``unloading`` to when their unload was
    accepted. ``freeing_adapters`` are adapters, as MODEL/NAME, that are unloaded once the requests
    that use them have ended.

    ``started_ms`` identifies the start: the entry may still be that of the previous start, where
    the engine can't reach the store. ``seq`` counts the accepted orders, as far as known.
    ``unreported`` is set until the first report. ``needs_report`` is set while the count is
    unknown: at first, and after an order without an answer. The engine's report resolves it;
    ``unreachable`` is set when the report can't be read because nothing listens there.

    ``sizes`` are the largest sizes that models have had since they were loaded there: a new
    configuration changes nothing in an engine's memory.
    """

    entry: EndpointEntry
    started_ms: int = 0
    seq: int = 0
    models: dict[str, set[str]] = field(default_factory=dict)
    loading: dict[str, float] = field(default_factory=dict)
    unloading: dict[str, float] = field(default_factory=dict)
    freeing_adapters: set[str] = field(default_factory=set)
    needs_report: bool = True
    unreported: bool = True
    unreachable: bool = False
    sizes: dict[str, ModelSize] = field(default_factory=dict)
    loaded_at: dict[str, float] = field(default_factory=dict)
    pressure: MovingAverage = field(default_factory=lambda: MovingAverage(PRESSURE_SECONDS))
    ordered_at: float = float("-inf")
    in_flight: bool = False
    paused_until: float = 0.0

    def __post_init__(self) -> None:
        self.started_ms = self.started_ms or self.entry.started_ms

    def restore(self, update: EngineNews, at: float, now: float) -> None:
        """Apply an update of the previous holder, where its orders may still be running.

        Failure guarded against: a new holder doesn't know of a load in progress, as no report shows
        it, and loads the model on another engine too.
        """
        if update.born != self.started_ms:
            return
        done = {model: at + seconds for model, seconds in update.coming.items()}
        self.loading |= {model: when for model, when in done.items() if when > now}
        self.unloading |= dict.fromkeys(update.dropping, at)

    def update_entry(self, entry: EndpointEntry) -> None:
        """Apply the engine's entry; where it differs from the record, a report is needed.

        Failure guarded against: the store was unavailable, so the entry is older than an order
        carried out meanwhile, and a load planned by the entry would exceed the engine's capacity.
        Entries only signal that something changed; what an engine holds is taken from its reports
        and its answers.
        """
        if entry is self.entry:
            return
        self.entry = entry
        if entry.started_ms != self.started_ms:
            return
        for name in [name for name in self.loading if name in entry.models]:
            del self.loading[name]
            self.models[name] = set(entry.models[name].adapters)
        for name in [name for name in self.unloading if name not in entry.models]:
            del self.unloading[name]
            self.models.pop(name, None)
        listed = {name: set(model.adapters) for name, model in entry.models.items()}
        if listed != self.models:
            self.needs_report = True

    def apply_report(self, report: EngineState, now: float) -> None:
        """Apply a report; one that shows no work in progress ends the assumed work.

        Soon after an order, a report that counts fewer orders than were accepted is older than the
        order. Later the report is right: an engine that answers that it carries an order out may
        not count it again. A report of another start does not apply to this one.
        """
        if report.started_ms != self.started_ms and report.started_ms and self.started_ms:
            return
        if report.seq < self.seq and now - self.ordered_at < REPORT_LAG_SECONDS:
            return
        self.unreported = False
        # Busy with an order of another host: its effect only shows when it is done.
        self.needs_report = report.busy and not (self.loading or self.unloading)
        self.seq = report.seq
        self.models = {name: set(m.adapters) for name, m in report.models.items()}
        there = {f"{name}/{adapter}" for name, m in self.models.items() for adapter in m}
        self.freeing_adapters &= there
        for item in report.pending_adapters:
            model, _, adapter = item.partition("/")
            self.models.setdefault(model, set()).add(adapter)
        if report.busy:
            return
        self.loading = {name: at for name, at in self.loading.items() if at > now}
        self.unloading.clear()

    def order_accepted(self, order: EngineOrder, ready_at: float, now: float) -> None:
        """Record that the engine accepted an order; a load is done at ``ready_at``."""
        self.seq = order.expected + 1
        self.ordered_at = now
        self.apply_order(order, ready_at, now)

    def apply_order(self, order: EngineOrder, ready_at: float, now: float) -> None:
        """Apply the changes that an order makes."""
        if order.adapter:
            adapters = self.models.setdefault(order.model, set())
            loads = order.action is Action.LOAD
            adapters.add(order.adapter) if loads else adapters.discard(order.adapter)
        elif order.action is Action.LOAD:
            self.loading[order.model] = ready_at
            self.loaded_at[order.model] = ready_at
        else:
            self.unloading[order.model] = now

    def follow_sizes(self, known: ModelSizes) -> None:
        """Record the sizes of what the engine holds, so that they outlive the configuration."""
        for name in {*self.models, *self.loading}:
            size = self.sizes.get(name) or known.held(name)
            if size is not None:
                self.sizes[name] = size.largest(known.newest.get(name, size))

    def held_sizes(self) -> dict[str, ModelSize]:
        """Return the known sizes of what the engine holds."""
        return {name: self.sizes[name] for name in {*self.models, *self.loading} & {*self.sizes}}

    def order_sent(self, order: EngineOrder, spec: EngineSpec) -> None:
        """Record the size of a model that is ordered; without an answer it may be there or not."""
        model = spec.models.get(order.model)
        if model is not None and order.action is Action.LOAD:
            self.sizes[order.model] = model.size.largest(self.sizes.get(order.model, model.size))

    def report_due(self, now: float) -> bool:
        """Return whether a report is needed to know the engine's state."""
        overdue = any(at + LOAD_SLACK_SECONDS < now for at in self.loading.values())
        overdue = overdue or any(at + UNLOAD_SLACK_SECONDS < now for at in self.unloading.values())
        return (
            (self.needs_report or overdue or bool(self.freeing_adapters))
            and now >= self.paused_until
            and not self.in_flight
        )

    def view(
        self,
        now: float,
        unanswered: frozenset[str] = frozenset(),
        running: Mapping[str, int] = NO_REQUESTS,
        unanswered_sizes: Mapping[str, ModelSize] = NO_SIZES,
    ) -> EngineView:
        """Return the engine as plans see it.

        ``unanswered`` are the items that it may still load by lost orders, ``unanswered_sizes`` the
        sizes of their models, and ``running`` the requests there by item.
        """
        models = {name: frozenset(adapters) for name, adapters in self.models.items()}
        models |= {name: frozenset() for name in self.loading if name not in models}
        return EngineView(
            key=self.entry.endpoint_id,
            domain=self.entry.domain,
            models=models,
            loading=frozenset(self.loading),
            unloading=frozenset(self.unloading),
            in_memory=self.entry.in_memory,
            on_disk=self.entry.on_disk,
            busy=bool(self.loading or self.needs_report) or now < self.paused_until,
            queued_tokens=self.pressure.value,
            freeing_adapter=bool(self.freeing_adapters),
            unanswered=unanswered,
            running=running,
            sizes={**unanswered_sizes, **self.sizes},
            recently_loaded=frozenset(
                name for name, at in self.loaded_at.items() if now - at < SETTLING_SECONDS
            ),
        )

    def has_update(self, now: float) -> bool:
        """Return whether the engine's entry lacks some of the changes of its orders.

        Updates go to all hosts with each order; none is needed for what the engine's entry shows,
        and what it holds is unknown until its first report.
        """
        if self.unreported:
            return False
        if (
            self.loading
            or self.unloading
            or self.freeing_adapters
            or self.entry.started_ms != self.started_ms
        ):
            return True
        listed = {name: set(model.adapters) for name, model in self.entry.models.items()}
        return listed != self.models and now - self.ordered_at <= UPDATE_SECONDS

    def make_update(self, now: float) -> EngineNews:
        """Return what other hosts should know before the engine's entry shows it."""
        items = [name for name in self.models if name not in self.loading]
        items += [f"{name}/{a}" for name, adapters in self.models.items() for a in adapters]
        return EngineNews(
            endpoint=self.entry.endpoint_id,
            items=[item for item in items if item not in self.freeing_adapters],
            dropping=sorted(self.unloading),
            coming={name: round(max(0.0, at - now), 2) for name, at in self.loading.items()},
            born=self.started_ms,
        )


def order_seconds(entry: EndpointEntry, spec: EngineSpec, order: EngineOrder) -> float:
    """Return how long an engine takes for an order, given the model's cached weights."""
    model = spec.models.get(order.model)
    if model is None or order.adapter or order.action is Action.UNLOAD:
        return 0.0
    return load_seconds(entry, model)
