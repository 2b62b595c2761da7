"""Input and state of a plan: engines and demand as the planning host knows them, and the steps."""

import math
from collections.abc import Collection, Mapping, Sequence, Set
from dataclasses import dataclass, field
from functools import cached_property

from peridotdock.clients.engines import Action
from peridotdock.deployment import EngineSpec, ModelSize

# Demand in engine seconds per second below which a model counts as idle: that of a single long
# prompt decays below this within a minute.
IDLE_DEMAND = 0.02
# Size of a model that no known configuration has named: nothing fits beside it.
UNKNOWN_SIZE = ModelSize(math.inf, 0.0)


@dataclass(frozen=True, slots=True)
class EngineView:
    """One engine as the host that orders it knows it.

    ``models`` are the models that occupy memory, with their adapters. Of them, ``loading`` ones
    cannot serve yet and ``unloading`` ones no longer can. The memory of an unloading model can be
    ordered for the model it is freed for, as the engine refuses the load until it is free.
    ``freeing_adapter`` is set when an adapter's slot becomes free as soon as the requests that use
    it have ended.

    ``busy`` engines carry out an order and refuse others. ``queued_tokens`` are prompt tokens that
    wait there, averaged over some seconds. ``recently_loaded`` models were loaded a moment ago.
    ``unanswered`` are models, and adapters as MODEL/NAME, that the engine may still load by orders
    that got no answer: they occupy memory and serve no requests. ``running`` counts the requests
    there, by model without its adapters and by adapter as MODEL/NAME. ``sizes`` are the sizes of
    models there, where they may differ from those of the newest configuration.
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
    sizes: Mapping[str, ModelSize] = field(default_factory=dict)

    def running_requests(self, model: str) -> int:
        """Return how many requests for a model and its adapters run there."""
        prefix = f"{model}/"
        return sum(
            count
            for item, count in self.running.items()
            if item == model or item.startswith(prefix)
        )

    def retained_items(self) -> Set[str]:
        """Return what keeps occupying memory: models that stay loaded, and unanswered loads."""
        held = self.models.keys() - self.unloading
        return held | self.unanswered if self.unanswered else held

    def has_cached_weights(self, model: str) -> bool:
        """Return whether the engine can load a model without the weight store."""
        return model in self.in_memory or model in self.on_disk


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand for one item: requests that wait for it now, and engine seconds per second.

    ``peak_rate`` holds a peak for half a minute, so that a copy is kept from one rare request to
    the next. ``recent_rate`` covers the last seconds, so that demand that moved away shows at once;
    None means that it equals the peak. ``withheld_tokens`` are prompt tokens that are held back
    from the engines that hold the item, averaged over some seconds.
    """

    waiting: int = 0
    peak_rate: float = 0.0
    recent_rate: float | None = None
    withheld_tokens: int = 0

    @property
    def current_rate(self) -> float:
        """Current demand in engine seconds per second."""
        return self.peak_rate if self.recent_rate is None else self.recent_rate


@dataclass(frozen=True, slots=True)
class Step:
    """One order to send next.

    ``evicted_for`` is the model that an unload frees memory for; ``running`` is the known number of
    requests that run there for the ordered item.
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
    """The state of a plan while it is made.

    ``ordered_engines`` have a step of this plan already or may get none: each gets at most one.

    ``reserved`` maps each engine to the model that it was last emptied for. Failure guarded
    against: an engine that unloads is busy, so the next plan frees memory on another engine as
    well, and the freed memory is filled with another model; models then move between engines
    without end.

    ``running_known`` is set when the requests that run on engines are known. ``stream_seconds`` is
    how long a request runs on an engine on average.

    ``overloaded``, ``copy_values``, ``victims`` and ``freed_mb`` cache results: by model, by engine
    and model, by engine, eviction level and whether the model to load is overloaded, and by engine
    and models unloaded.
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
    freed_mb: dict[tuple[str, tuple[str, ...]], float] = field(default_factory=dict)

    def demand_for(self, item: str) -> Demand:
        """Return the demand for an item."""
        return self.demand.get(item, NO_DEMAND)

    @cached_property
    def _holders(self) -> dict[str, list[EngineView]]:
        """The engines that hold or load each model.

        Computed once, as what engines hold does not change while a plan is made.
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
        """All adapters that can serve somewhere, as (model, adapter)."""
        return frozenset(
            (model, adapter)
            for model, engines in self._ready.items()
            for engine in engines
            for adapter in engine.models[model]
        )

    @cached_property
    def adapter_demand(self) -> dict[str, list[float]]:
        """The current demand for each adapter in engine seconds per second, by its model."""
        found: dict[str, list[float]] = {}
        for item, row in self.demand.items():
            model, _, adapter = item.partition("/")
            if adapter:
                found.setdefault(model, []).append(row.current_rate)
        return found

    @cached_property
    def free_mb(self) -> dict[str, float]:
        """The free memory for models on each engine, in megabytes.

        Memory for every adapter slot is always kept free: the load of an adapter then never depends
        on the models, and a load under way that is not known cannot overfill the engine. The same
        holds for models whose load is unanswered. A new configuration may leave less than nothing.
        """
        return {key: self.free_mb_without(engine, ()) for key, engine in self.engines.items()}

    @cached_property
    def _named_sizes(self) -> dict[str, ModelSize]:
        """The sizes of the models that the newest configuration names."""
        return {name: model.size for name, model in self.spec.models.items()}

    @cached_property
    def _largest_adapter_mb(self) -> float:
        return max((size.adapter_mb for size in self._named_sizes.values()), default=0.0)

    def free_mb_without(self, engine: EngineView, victims: Collection[str]) -> float:
        """Return the free memory for models on an engine once some of its models are unloaded."""
        key = engine.key, tuple(victims)
        if key not in self.freed_mb:
            self.freed_mb[key] = self._free_mb(engine, victims, self.spec.adapter_slots)
        return self.freed_mb[key]

    def fits_adapter(self, engine: EngineView, victims: Collection[str] = ()) -> bool:
        """Return whether an engine has memory for one more adapter, once models are unloaded."""
        if not victims and self.free_mb[engine.key] >= 0:
            return True
        return self._free_mb(engine, victims, 1 + count_adapters(engine)) >= 0

    def _free_mb(self, engine: EngineView, victims: Collection[str], adapters: int) -> float:
        """Return the free memory beside at least some adapters, and at least those there."""
        items = engine.retained_items() - set(victims)
        sizes = [self.size_of(engine, item) for item in items if "/" not in item]
        largest = max([self._largest_adapter_mb, *(size.adapter_mb for size in sizes)])
        slots = max(adapters, count_adapters(engine))
        return self.spec.weights_mb - slots * largest - sum(size.weights_mb for size in sizes)

    def size_of(self, engine: EngineView, model: str) -> ModelSize:
        """Return what a model occupies on an engine that holds it, or may hold it."""
        return engine.sizes.get(model) or self._named_sizes.get(model, UNKNOWN_SIZE)

    @cached_property
    def utilization(self) -> dict[str, float]:
        """The demand on each engine in engine seconds per second.

        The demand for a model is divided evenly among its copies.
        """
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
        """Add a step, and remove the copy that it unloads."""
        self.ordered_engines.add(step.engine)
        self.steps.append(step)
        if step.action is Action.UNLOAD and not step.adapter:
            self._remove_copy(step)

    def _remove_copy(self, step: Step) -> None:
        """Count a copy as gone, so that the same plan unloads no more copies than allowed.

        Failure guarded against: each of four engines evicts its copy of the same model, as it sees
        three others, and one plan unloads nearly all of them.
        """
        for rows in (self._holders, self._ready):
            rows[step.model] = [e for e in rows.get(step.model, ()) if e.key != step.engine]
        self.copy_values.clear()
        self.victims.clear()
        self.overloaded.clear()


def count_adapters(engine: EngineView) -> int:
    """Return how many adapter slots are occupied, or may be by an unanswered order."""
    count = sum(map(len, engine.models.values()))
    if engine.unanswered:
        held = {f"{model}/{name}" for model, names in engine.models.items() for name in names}
        count += sum("/" in item for item in engine.unanswered - held)
    return count


def model_demand(draft: Draft, model: str) -> Demand:
    """Return the demand for a model with all its adapters."""
    return draft.by_model.get(model, NO_DEMAND)


def sum_by_model(demand: Mapping[str, Demand]) -> dict[str, Demand]:
    """Return the demand for each model, with that of its adapters."""
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
    """Return the current demand for a model in engine seconds per second."""
    return model_demand(draft, model).current_rate


def peak_demand(draft: Draft, model: str) -> float:
    """Return the recent peak of the demand for a model in engine seconds per second."""
    return model_demand(draft, model).peak_rate


def in_use(draft: Draft, model: str) -> bool:
    """Return whether requests for a model are likely to run now."""
    return current_demand(draft, model) >= IDLE_DEMAND
