"""Plans what engines load and unload next, by the demand of callers.

Load pattern: demand moves to other models within seconds, rare models are requested suddenly, and
an engine that held the only copy of a model is lost, while a load takes seconds and loads from the
weight store are rate limited. Models that requests wait for are therefore loaded first, on the
engine that has cached weights. A last copy in demand is never evicted for a second copy of another
model. A further copy is loaded only where it fits or where what it evicts is not in demand.
"""

from collections.abc import Iterable, Mapping

from peridotdock.clients.engines import Action
from peridotdock.decisions.adapters import place_adapters, preload_adapters
from peridotdock.decisions.copies import (
    all_models_held,
    is_overloaded,
    utilization_of,
    wanted_copies,
)
from peridotdock.decisions.draft import (
    IDLE_DEMAND,
    Demand,
    Draft,
    EngineView,
    Step,
    current_demand,
    model_demand,
    peak_demand,
    sum_by_model,
)
from peridotdock.decisions.eviction import EvictionLevel, eviction_cost, find_victims
from peridotdock.deployment import EngineSpec, Model

# Delay that an engine's utilization counts for when an engine is chosen: at a utilization of one,
# requests wait for about this long.
UTILIZATION_DELAY_SECONDS = 1.0
# Delay that a queued prompt token counts for when an engine is chosen: about three times its
# prefill time, as the demand that queued it continues.
TOKEN_DELAY_SECONDS = 0.0001


def make_plan(
    spec: EngineSpec,
    engines: Iterable[EngineView],
    demand: Mapping[str, Demand],
    loads_left: int,
    reserved: Mapping[str, str],
    excluded: Iterable[str] = (),
    demand_known: bool = True,
    stream_seconds: float = 0.0,
    running_known: bool = True,
) -> list[Step]:
    """Return the orders to send next, at most one for each engine.

    ``loads_left`` loads from the weight store may begin now. ``reserved`` maps engines to the model
    that memory was freed for and that they do not hold yet. ``excluded`` engines get no order.

    ``demand_known`` is set once some seconds of demand are known, ``running_known`` once all hosts
    had time to report what runs where. ``stream_seconds`` is how long a request runs.
    """
    rows = {engine.key: engine for engine in engines}
    by_model = sum_by_model(demand)
    ordered = set(excluded)
    draft = Draft(
        spec,
        rows,
        demand,
        loads_left,
        reserved,
        by_model,
        demand_known,
        running_known,
        stream_seconds,
        ordered_engines=ordered,
    )
    place_adapters(draft)
    place_models(draft)
    preload_adapters(draft)
    return draft.steps


def place_models(draft: Draft) -> None:
    """Load models in demand that no engine holds, then spare and further copies."""
    ranked = sorted(
        draft.spec.models.values(),
        key=lambda model: (
            -model_demand(draft, model.name).waiting,
            -peak_demand(draft, model.name),
        ),
    )
    for model in ranked:
        found = model_demand(draft, model.name)
        if draft.holders(model.name):
            continue
        if found.waiting:
            load_for_waiting(draft, model)
        elif found.peak_rate > IDLE_DEMAND:
            load_on_best_engine(draft, model, EvictionLevel.SURPLUS, "asked for")
    for model in sorted(ranked, key=lambda model: -current_demand(draft, model.name)):
        too_few = len(draft.holders(model.name)) < wanted_copies(draft, model.name)
        if too_few and (all_models_held(draft) or is_overloaded(draft, model.name)):
            load_on_best_engine(draft, model, EvictionLevel.SURPLUS, "further copy")
    for model in ranked:
        if not draft.holders(model.name):
            level = EvictionLevel.SURPLUS if draft.demand_known else EvictionLevel.NOTHING
            load_on_best_engine(draft, model, level, "held nowhere")


def load_for_waiting(draft: Draft, model: Model) -> None:
    """Load a model that requests wait for; a copy in use is evicted for it only as a last resort.

    Failure guarded against: the engine with the idle copies is carrying out an order, so a copy in
    use is unloaded on another engine, which takes no order for seconds until its last stream has
    ended. While idle copies can be evicted later, a copy in use is evicted only if more requests
    wait than run on it.
    """
    if load_on_best_engine(draft, model, EvictionLevel.IDLE, "asked for"):
        return
    engines = draft.engines.values()
    soon = any(
        find_victims(draft, engine, model, EvictionLevel.IDLE) is not None for engine in engines
    )
    waiting = model_demand(draft, model.name).waiting
    load_on_best_engine(draft, model, EvictionLevel.USED, "asked for", waiting if soon else None)


def load_on_best_engine(
    draft: Draft, model: Model, level: EvictionLevel, reason: str, fewer_than: int | None = None
) -> bool:
    """Order a load on the best engine, or an unload that frees memory for it.

    Fewer than ``fewer_than`` requests may run on the evicted copies; None sets no bound. Return
    whether an engine was found, also when no load from the weight store may begin now.
    """
    options = []
    for engine in eligible_engines(draft, model.name):
        victims = find_victims(draft, engine, model, level)
        if victims is None:
            continue
        if fewer_than is not None and sum(map(engine.running_requests, victims)) >= fewer_than:
            continue
        options.append(
            (load_seconds(engine, model), eviction_cost(draft, engine, victims), engine, victims)
        )
    if not options:
        return False
    seconds, _, engine, victims = min(
        options,
        key=lambda row: (row[1] > 0, row[0] + row[1] + expected_delay(draft, row[2]), row[2].key),
    )
    if victims:
        reason = f"for {model.name}"
        running = engine.running_requests(victims[0])
        draft.add(Step(engine.key, Action.UNLOAD, victims[0], "", reason, model.name, running))
        return True
    if seconds >= model.load_seconds:
        if draft.loads_left <= 0:
            return True
        draft.loads_left -= 1
    draft.add(Step(engine.key, Action.LOAD, model.name, "", reason))
    return True


def expected_delay(draft: Draft, engine: EngineView) -> float:
    """Return about how many seconds a request would wait on an engine."""
    return (
        engine.queued_tokens * TOKEN_DELAY_SECONDS
        + utilization_of(draft, engine) * UTILIZATION_DELAY_SECONDS
    )


def eligible_engines(draft: Draft, model: str) -> list[EngineView]:
    """Return the engines that may load a model or free memory for it now.

    While an engine is reserved for the model, others count only if the model fits without an
    unload.
    """
    kept = model in draft.reserved.values()
    size = draft.spec.models[model].weights_mb
    rows = [
        engine
        for key, engine in draft.engines.items()
        if draft.reserved.get(key, model) == model
        if not kept or key in draft.reserved or draft.free_mb[key] >= size
    ]
    return [
        e
        for e in rows
        if not (e.busy or e.key in draft.ordered_engines or model in e.models)
        and (not e.unloading or draft.reserved.get(e.key) == model)
    ]


def load_seconds(engine: EngineView, model: Model) -> float:
    """Return how long an engine takes to load a model."""
    if model.name in engine.in_memory:
        return model.memory_load_seconds
    return model.disk_load_seconds if model.name in engine.on_disk else model.load_seconds
