"""Which adapters engines load and unload.

Load pattern: half of the short requests name one of dozens of adapters, and an engine has slots for
a few. A load takes milliseconds; a slot becomes free only when the requests that use it have ended.
"""

from peridotdock.clients.engines import Action
from peridotdock.decisions.copies import SPARE_COPY_DEMAND
from peridotdock.decisions.draft import Draft, EngineView, Step, count_adapters, peak_demand
from peridotdock.decisions.eviction import EvictionLevel, rank_victims

# Adapter slots of an engine that preloading leaves free, so that the next adapter requested can be
# loaded without an unload first.
SPARE_ADAPTER_SLOTS = 1


def place_adapters(draft: Draft) -> None:
    """Load the adapters that requests wait for, on an engine that holds their model."""
    for item, found in sorted(draft.demand.items(), key=lambda row: -row[1].waiting):
        model, _, adapter = item.partition("/")
        if adapter and found.waiting and not adapter_ready(draft, model, adapter):
            place_adapter(draft, model, adapter)


def preload_adapters(draft: Draft) -> None:
    """Load adapters that no request waits for into free slots, for models in demand.

    A first request then finds its adapter even while no host orders engines, or while the engine is
    busy with the load of a model, during which it loads no adapters.
    """
    for model in draft.spec.models.values():
        if peak_demand(draft, model.name) < SPARE_COPY_DEMAND:
            continue
        for number in range(1, model.adapters + 1):
            adapter = f"a{number}"
            if adapter_ready(draft, model.name, adapter):
                continue
            free = [
                engine
                for engine in engines_for_adapter(draft, model.name)
                if count_adapters(engine) < draft.spec.adapter_slots - SPARE_ADAPTER_SLOTS
                and draft.fits_adapter(engine)
            ]
            if not free:
                break
            engine = min(free, key=lambda e: (count_adapters(e), e.key))
            draft.add(Step(engine.key, Action.LOAD, model.name, adapter, "free slot"))


def adapter_ready(draft: Draft, model: str, adapter: str) -> bool:
    """Return whether some engine can serve an adapter."""
    return (model, adapter) in draft.ready_adapters


def engines_for_adapter(draft: Draft, model: str) -> list[EngineView]:
    """Return the engines that hold a model and can take an order for one of its adapters now."""
    rows = draft.ready(model)
    return [e for e in rows if not (e.busy or e.unloading or e.key in draft.ordered_engines)]


def place_adapter(draft: Draft, model: str, adapter: str) -> None:
    """Order an adapter's load where a slot is free, or else the unload that frees one."""
    holders = engines_for_adapter(draft, model)
    if not holders:
        return
    slots = draft.spec.adapter_slots
    free = [engine for engine in holders if count_adapters(engine) < slots]
    fitting = [engine for engine in free if draft.fits_adapter(engine)]
    if fitting:
        engine = min(fitting, key=lambda e: (e.queued_tokens, e.key))
        draft.add(Step(engine.key, Action.LOAD, model, adapter, "requested"))
        return
    if any(free_adapter_memory(draft, engine, model, adapter) for engine in free):
        return
    found = [(engine, least_wanted_adapter(draft, engine)) for engine in holders]
    options = [(e, victim) for e, victim in found if victim is not None and not e.freeing_adapter]
    if options:
        engine, victim = min(
            options,
            key=lambda row: (adapter_eviction_key(draft, *row), row[0].queued_tokens, row[0].key),
        )
        draft.add(Step(engine.key, Action.UNLOAD, *victim, f"for {model}/{adapter}"))


def free_adapter_memory(draft: Draft, engine: EngineView, model: str, adapter: str) -> bool:
    """Order the unload of a model where an adapter's slot is free and its memory is not.

    Failure guarded against: a new configuration has larger adapters, or the engine holds a model
    that it names no longer, and no adapter fits beside the models for as long as they stay.
    """
    if model not in draft.spec.models or not draft.running_known:
        return False
    for level in (EvictionLevel.IDLE, EvictionLevel.USED):
        victims = [name for name in rank_victims(draft, engine, model, level) if name != model]
        if victims and draft.fits_adapter(engine, victims):
            reason = f"for {model}/{adapter}"
            running = engine.running_requests(victims[0])
            draft.add(Step(engine.key, Action.UNLOAD, victims[0], "", reason, running=running))
            return True
    return False


def least_wanted_adapter(draft: Draft, engine: EngineView) -> tuple[str, str] | None:
    """Return the adapter on an engine that has the least demand and that no request waits for."""
    held = [(model, name) for model, names in engine.models.items() for name in names]
    idle = [row for row in held if not draft.demand_for("/".join(row)).waiting]
    return min(idle, key=lambda row: adapter_eviction_key(draft, engine, row), default=None)


def adapter_eviction_key(
    draft: Draft, engine: EngineView, row: tuple[str, str]
) -> tuple[bool, float, float, tuple[str, str]]:
    """Return the sort key of adapters to evict: those without running requests, then least demand.

    An adapter in use keeps its slot until its requests have ended.
    """
    item = "/".join(row)
    found = draft.demand_for(item)
    return engine.running.get(item, 0) > 0, found.current_rate, found.peak_rate, row
