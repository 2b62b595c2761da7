"""What the host that orders engines knows of each: orders accepted, models held or coming."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from peridotdock.averages import MovingAverage
from peridotdock.clients.engines import Action, EngineOrder, EngineState
from peridotdock.decisions.draft import EngineView
from peridotdock.deployment import EngineSpec
from peridotdock.relay.fleet import load_seconds
from peridotdock.relay.requests import EndpointEntry
from peridotdock.schema.messages import EngineNews

# Seconds beyond its usual time after which a load that does not show is looked for in a report, and
# after an unload: reports are 0.2 s old, and entries come a second later.
LOAD_SLACK_SECONDS = 0.25
UNLOAD_SLACK_SECONDS = 0.25
# Seconds after an order for which the other hosts go by the word of the one that gave it: an
# engine's heartbeat comes every second or so, and the store's feed is read with pauses.
UPDATE_SECONDS = 3.0
# Seconds for which a model that was loaded is not unloaded to make room for a further copy.
SETTLING_SECONDS = 10.0
# Seconds over which the tokens that wait at an engine are averaged.
PRESSURE_SECONDS = 2.0
# Seconds after an order for which a report may be older than the order.
REPORT_LAG_SECONDS = 0.8


NO_REQUESTS: Mapping[str, int] = MappingProxyType({})


@dataclass
class EngineRecord:
    """One start of an engine. ``loading`` has when each load should be done, in monotonic seconds.

    ``dropping`` has when each unload was accepted. ``freeing`` are adapters, as MODEL/NAME, that go
    when the requests that use them have ended.

    ``born`` tells the start: the entry may still be that of the one before, where the engine can't
    reach the store. ``seq`` counts the orders it accepted, as far as is known. ``unknown`` is set
    until the first report. ``unsure`` is set while the count is not known: at first, and after an
    order that got no answer. The engine's report tells; one that can't be had because nothing is
    there sets ``down``.
    """

    entry: EndpointEntry
    started_ms: int = 0
    seq: int = 0
    models: dict[str, set[str]] = field(default_factory=dict)
    loading: dict[str, float] = field(default_factory=dict)
    dropping: dict[str, float] = field(default_factory=dict)
    freeing: set[str] = field(default_factory=set)
    needs_report: bool = True
    unreported: bool = True
    unreachable: bool = False
    loaded_at: dict[str, float] = field(default_factory=dict)
    pressure: MovingAverage = field(default_factory=lambda: MovingAverage(PRESSURE_SECONDS))
    ordered_at: float = float("-inf")
    in_flight: bool = False
    paused_until: float = 0.0

    def __post_init__(self) -> None:
        self.started_ms = self.started_ms or self.entry.started_ms

    def restore(self, update: EngineNews, at: float, now: float) -> None:
        """Take in what the holder before said of its orders, at a time, as far as it may go on.

        Failure guarded against: a new holder doesn't know of a load that is under way, as it shows
        in no report, and loads the model on another engine too.
        """
        if update.born != self.started_ms:
            return
        done = {model: at + seconds for model, seconds in update.coming.items()}
        self.loading |= {model: when for model, when in done.items() if when > now}
        self.dropping |= dict.fromkeys(update.dropping, at)

    def update_entry(self, entry: EndpointEntry) -> None:
        """Take in the engine's entry: where it tells something else, a report is needed.

        Failure guarded against: the store was away, so the entry is older than an order carried
        out meanwhile, and a load planned by it would overfill the engine. Entries only say that
        something changed; what an engine holds is taken from its reports and its answers.
        """
        if entry is self.entry:
            return
        self.entry = entry
        if entry.started_ms != self.started_ms:
            return
        for name in [name for name in self.loading if name in entry.models]:
            del self.loading[name]
            self.models[name] = set(entry.models[name].adapters)
        for name in [name for name in self.dropping if name not in entry.models]:
            del self.dropping[name]
            self.models.pop(name, None)
        listed = {name: set(model.adapters) for name, model in entry.models.items()}
        if listed != self.models:
            self.needs_report = True

    def apply_report(self, report: EngineState, now: float) -> None:
        """Take in a report; one that shows no work under way ends what was thought to be.

        Soon after an order, a report with fewer orders than were accepted is older than that. Later
        the report is right: an engine that says it carries an order out may not count it again.
        A report of another start tells nothing of this one.
        """
        if report.started_ms != self.started_ms and report.started_ms and self.started_ms:
            return
        if report.seq < self.seq and now - self.ordered_at < REPORT_LAG_SECONDS:
            return
        self.unreported = False
        # Busy with an order of another host: what that loads shows only when it is done.
        self.needs_report = report.busy and not (self.loading or self.dropping)
        self.seq = report.seq
        self.models = {name: set(m.adapters) for name, m in report.models.items()}
        there = {f"{name}/{adapter}" for name, m in self.models.items() for adapter in m}
        self.freeing &= there
        for item in report.pending_adapters:
            model, _, adapter = item.partition("/")
            self.models.setdefault(model, set()).add(adapter)
        if report.busy:
            return
        self.loading = {name: at for name, at in self.loading.items() if at > now}
        self.dropping.clear()

    def order_accepted(self, order: EngineOrder, ready_at: float, now: float) -> None:
        """Take in that the engine accepted an order; a load is done at ``ready_at``."""
        self.seq = order.expected + 1
        self.ordered_at = now
        self.apply_order(order, ready_at, now)

    def apply_order(self, order: EngineOrder, ready_at: float, now: float) -> None:
        """Take in what an order changes."""
        if order.adapter:
            adapters = self.models.setdefault(order.model, set())
            loads = order.action is Action.LOAD
            adapters.add(order.adapter) if loads else adapters.discard(order.adapter)
        elif order.action is Action.LOAD:
            self.loading[order.model] = ready_at
            self.loaded_at[order.model] = ready_at
        else:
            self.dropping[order.model] = now

    def report_due(self, now: float) -> bool:
        """Tell whether a report is needed to know where the engine stands."""
        late = any(at + LOAD_SLACK_SECONDS < now for at in self.loading.values())
        late = late or any(at + UNLOAD_SLACK_SECONDS < now for at in self.dropping.values())
        return (
            (self.needs_report or late or bool(self.freeing))
            and now >= self.paused_until
            and not self.in_flight
        )

    def view(
        self,
        now: float,
        unanswered: frozenset[str] = frozenset(),
        running: Mapping[str, int] = NO_REQUESTS,
    ) -> EngineView:
        """Return the engine as plans see it.

        ``late`` is what it may load by lost orders yet, ``running`` the requests there by item.
        """
        models = {name: frozenset(adapters) for name, adapters in self.models.items()}
        models |= {name: frozenset() for name in self.loading if name not in models}
        return EngineView(
            key=self.entry.endpoint_id,
            domain=self.entry.domain,
            models=models,
            loading=frozenset(self.loading),
            unloading=frozenset(self.dropping),
            in_memory=self.entry.in_memory,
            on_disk=self.entry.on_disk,
            busy=bool(self.loading or self.needs_report) or now < self.paused_until,
            queued_tokens=self.pressure.value,
            freeing_adapter=bool(self.freeing),
            unanswered=unanswered,
            running=running,
            recently_loaded=frozenset(
                name for name, at in self.loaded_at.items() if now - at < SETTLING_SECONDS
            ),
        )

    def has_update(self, now: float) -> bool:
        """Tell whether the engine's entry does not show all that its orders changed.

        News goes to all hosts with each order; of what an engine's entry shows they need none, and
        until its first report nothing is known of what it holds.
        """
        if self.unreported:
            return False
        if (
            self.loading
            or self.dropping
            or self.freeing
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
            items=[item for item in items if item not in self.freeing],
            dropping=sorted(self.dropping),
            coming={name: round(max(0.0, at - now), 2) for name, at in self.loading.items()},
            born=self.started_ms,
        )


def order_seconds(entry: EndpointEntry, spec: EngineSpec, order: EngineOrder) -> float:
    """Return how long an engine takes to carry out an order for a model, by what it has at hand."""
    model = spec.models.get(order.model)
    if model is None or order.adapter or order.action is Action.UNLOAD:
        return 0.0
    return load_seconds(entry, model)
