"""What a plan is made of: engines and demand as the host that orders knows them, and its steps."""

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass, field
from functools import cached_property

from peridotdock.clients.engines import Action
from peridotdock.deployment import EngineSpec

# Engine seconds asked for in a second, below which a model counts as idle: a single long prompt
# fades below this within a minute.
IDLE_DEMAND = 0.02


@dataclass(frozen=True, slots=True)
class EngineView:
    """One engine as the host that orders it knows it.

    ``models`` are those that take up memory, with their adapters; of them, ``loading`` ones can't
    serve yet and ``dropping`` ones no more: their room can be ordered for what it is made for, as
    the engine refuses a load until it is free. ``freeing`` tells that an adapter's place will be
    free when the requests that use it have ended. ``busy`` engines carry out an order and refuse
    others. ``ahead`` are prompt tokens that wait there, over some seconds; ``settling`` models were
    loaded a moment ago. ``late`` are models, and adapters as MODEL/NAME, that it may load yet by
    orders that got no answer: they take room, and serve nobody. ``running`` are requests there, by
    model without its adapters and by adapter as MODEL/NAME.
    """

    key: str
    domain: str
    models: Mapping[str, frozenset[str]]
    loading: frozenset[str]
    unloading: frozenset[str]
    in_memory: frozenset[str]
    on_disk: frozenset[str]
    busy: bool
    queued_tokens: float
    freeing_adapter: bool = False
    recently_loaded: frozenset[str] = frozenset()
    unanswered: frozenset[str] = frozenset()
    running: Mapping[str, int] = field(default_factory=dict)

    def running_requests(self, model: str) -> int:
        """Return how many requests for a model and its adapters run there."""
        prefix = f"{model}/"
        return sum(
            count
            for item, count in self.running.items()
            if item == model or item.startswith(prefix)
        )

    def retained_items(self) -> Set[str]:
        """Return what takes room for longer: models held and not dropped, and late ones."""
        held = self.models.keys() - self.unloading
        return held | self.unanswered if self.unanswered else held

    def has_cached_weights(self, model: str) -> bool:
        """Tell whether the engine can load a model without the weight store."""
        return model in self.in_memory or model in self.on_disk


@dataclass(frozen=True, slots=True)
class Demand:
    """What is asked of one item: requests that wait for it now, and engine seconds a second.

    ``rate`` holds a peak for half a minute, so that a copy lasts from one rare request to the
    next. ``recent`` is that of the last seconds: what moved away shows there at once. Without a
    word of its own it is the rate. ``queued`` are prompt tokens that are held back from the
    engines that have it, over some seconds.
    """

    waiting: int = 0
    peak_rate: float = 0.0
    recent_rate: float | None = None
    withheld_tokens: int = 0

    @property
    def current_rate(self) -> float:
        """Return the engine seconds a second asked for now."""
        return self.peak_rate if self.recent_rate is None else self.recent_rate


@dataclass(frozen=True, slots=True)
class Step:
    """One order to give next.

    ``room_for`` is the model that an unload makes room for; ``running`` are the requests that run
    there for what is ordered, as far as was known.
    """

    engine: str
    action: Action
    model: str
    adapter: str = ""
    reason: str = ""
    evicted_for: str = ""
    running: int = 0


NO_DEMAND = Demand()


@dataclass
class Draft:
    """The plan while it is made. ``taken`` engines have a step already: each plan gives one.

    ``promised`` has the model that each engine was last emptied for. Failure guarded against: an
    engine that unloads is busy, so the next plan makes room on another one too, and what was made
    free is filled with something else; models then went round between engines without an end.

    ``heard`` tells that what runs on engines is known. ``stream`` is how many seconds a request
    runs on an engine, on average.

    ``crowded``, ``worth`` and ``victims`` have what was found of models, of copies by engine and
    model, and of what may make room on an engine for a model that is crowded or not.
    """

    spec: EngineSpec
    engines: dict[str, EngineView]
    demand: Mapping[str, Demand]
    loads_left: int
    reserved: Mapping[str, str]
    by_model: Mapping[str, Demand]
    demand_known: bool
    running_known: bool = True
    stream_seconds: float = 0.0
    steps: list[Step] = field(default_factory=list)
    ordered_engines: set[str] = field(default_factory=set)
    overloaded: dict[str, bool] = field(default_factory=dict)
    copy_values: dict[tuple[str, str], float] = field(default_factory=dict)
    victims: dict[tuple[str, int, bool], Sequence[str]] = field(default_factory=dict)

    def demand_for(self, item: str) -> Demand:
        """Return the demand for an item."""
        return self.demand.get(item, NO_DEMAND)

    @cached_property
    def _holders(self) -> dict[str, list[EngineView]]:
        """The engines that hold or load each model.

        What engines hold stays the same while a plan is made, so it is looked for once.
        """
        found: dict[str, list[EngineView]] = {}
        for engine in self.engines.values():
            for model in engine.models.keys() - engine.unloading:
                found.setdefault(model, []).append(engine)
        return found

    @cached_property
    def _ready(self) -> dict[str, list[EngineView]]:
        """The engines on which each model can serve."""
        return {
            model: [engine for engine in engines if model not in engine.loading]
            for model, engines in self._holders.items()
        }

    @cached_property
    def ready_adapters(self) -> frozenset[tuple[str, str]]:
        """All adapters that can serve somewhere, with their models."""
        return frozenset(
            (model, adapter)
            for model, engines in self._ready.items()
            for engine in engines
            for adapter in engine.models[model]
        )

    @cached_property
    def adapter_demand(self) -> dict[str, list[float]]:
        """The engine seconds a second asked now of each adapter, by its model."""
        found: dict[str, list[float]] = {}
        for item, row in self.demand.items():
            model, _, adapter = item.partition("/")
            if adapter:
                found.setdefault(model, []).append(row.current_rate)
        return found

    @cached_property
    def free_mb(self) -> dict[str, float]:
        """The megabytes left for models on each engine.

        Room for every adapter place is always kept: an adapter's load then never needs a look at
        the models, and one on its way that nobody knows of can't overfill the engine. So is that
        of a model whose load may arrive late.
        """
        sizes = {name: model.weights_mb for name, model in self.spec.models.items()}
        largest = max((model.adapter_mb for model in self.spec.models.values()), default=0.0)
        room = self.spec.weights_mb - self.spec.adapter_places * largest
        return {
            key: room - sum(sizes.get(name, 0.0) for name in engine.retained_items())
            for key, engine in self.engines.items()
        }

    @cached_property
    def utilization(self) -> dict[str, float]:
        """The engine seconds a second asked of each engine, each model's over all its copies."""
        found = dict.fromkeys(self.engines, 0.0)
        for model, engines in self._holders.items():
            share = current_demand(self, model) / len(engines)
            for engine in engines:
                found[engine.key] += share
        return found

    def holders(self, model: str) -> Sequence[EngineView]:
        """Return the engines that hold a model or are loading it."""
        return self._holders.get(model, ())

    def ready(self, model: str) -> Sequence[EngineView]:
        """Return the engines on which a model can serve."""
        return self._ready.get(model, ())

    def add(self, step: Step) -> None:
        """Add a step."""
        self.ordered_engines.add(step.engine)
        self.steps.append(step)
        if step.action is Action.UNLOAD and not step.adapter:
            self._remove_copy(step)

    def _remove_copy(self, step: Step) -> None:
        """Take a copy for gone, so that the same plan drops no more copies than may go.

        Failure guarded against: each of four engines makes room by a copy of the same model, as it
        has three others, and one plan unloads nearly all of them.
        """
        for rows in (self._holders, self._ready):
            rows[step.model] = [e for e in rows.get(step.model, ()) if e.key != step.engine]
        self.copy_values.clear()
        self.victims.clear()
        self.overloaded.clear()


def model_demand(draft: Draft, model: str) -> Demand:
    """Return the demand for a model with all its adapters."""
    return draft.by_model.get(model, NO_DEMAND)


def sum_by_model(demand: Mapping[str, Demand]) -> dict[str, Demand]:
    """Return the demand for each model, its adapters' included."""
    found: dict[str, list[Demand]] = {}
    for item, row in demand.items():
        found.setdefault(item.partition("/")[0], []).append(row)
    return {
        model: Demand(
            sum(row.waiting for row in rows),
            sum(row.peak_rate for row in rows),
            sum(row.current_rate for row in rows),
            sum(row.withheld_tokens for row in rows),
        )
        for model, rows in found.items()
    }


def current_demand(draft: Draft, model: str) -> float:
    """Return the engine seconds a second asked of a model now."""
    return model_demand(draft, model).current_rate


def peak_demand(draft: Draft, model: str) -> float:
    """Return the engine seconds a second asked of a model, at its peak of late."""
    return model_demand(draft, model).peak_rate


def in_use(draft: Draft, model: str) -> bool:
    """Tell whether requests for a model are likely to run now."""
    return current_demand(draft, model) >= IDLE_DEMAND
