"""Which adapters engines load and unload.

Load pattern: half of the short requests name one of dozens of adapters, and an engine has places
for a few. A load takes milliseconds; a place is freed only when the requests that use it have
ended.
"""

from peridotdock.clients.engines import Action
from peridotdock.decisions.copies import SPARE_COPY_DEMAND
from peridotdock.decisions.draft import Draft, EngineView, Step, rate_of

# Adapter places of an engine that are not filled without need, so that the next adapter asked for
# needs no unload first.
KEPT_PLACES = 1


def place_adapters(draft: Draft) -> None:
    """Load the adapters that are asked for, on an engine that holds their model."""
    for item, found in sorted(draft.demand.items(), key=lambda row: -row[1].waiting):
        model, _, adapter = item.partition("/")
        if adapter and found.waiting and not held_ready(draft, model, adapter):
            place_adapter(draft, model, adapter)


def fill_places(draft: Draft) -> None:
    """Load adapters that nobody waits for into places that are free, for models in demand.

    A first request then finds its adapter even while no host orders engines or while the engine
    is busy with a model, which keeps adapters out for as long as that takes.
    """
    for model in draft.spec.models.values():
        if rate_of(draft, model.name) < SPARE_COPY_DEMAND:
            continue
        for number in range(1, model.adapters + 1):
            adapter = f"a{number}"
            if held_ready(draft, model.name, adapter):
                continue
            free = [
                engine
                for engine in open_bases(draft, model.name)
                if count_adapters(engine) < draft.spec.adapter_slots - KEPT_PLACES
            ]
            if not free:
                break
            engine = min(free, key=lambda e: (count_adapters(e), e.key))
            draft.add(Step(engine.key, Action.LOAD, model.name, adapter, "free place"))


def held_ready(draft: Draft, model: str, adapter: str) -> bool:
    """Tell whether some engine can serve an adapter."""
    return (model, adapter) in draft.ready_adapters


def open_bases(draft: Draft, model: str) -> list[EngineView]:
    """Return the engines that hold a model and take an order for one of its adapters now."""
    rows = draft.ready(model)
    return [e for e in rows if not (e.busy or e.dropping or e.key in draft.taken)]


def place_adapter(draft: Draft, model: str, adapter: str) -> None:
    """Order an adapter's load where a place is free, or the unload that frees one."""
    bases = open_bases(draft, model)
    if not bases:
        return
    places = draft.spec.adapter_slots
    engine = min(bases, key=lambda e: (count_adapters(e) >= places, e.ahead, e.key))
    if count_adapters(engine) < places:
        draft.add(Step(engine.key, Action.LOAD, model, adapter, "asked for"))
        return
    found = [(engine, least_wanted_adapter(draft, engine)) for engine in bases]
    options = [(e, victim) for e, victim in found if victim is not None and not e.freeing]
    if options:
        engine, victim = min(
            options, key=lambda row: (adapter_worth(draft, *row), row[0].ahead, row[0].key)
        )
        draft.add(Step(engine.key, Action.UNLOAD, *victim, f"for {model}/{adapter}"))


def count_adapters(engine: EngineView) -> int:
    """Return how many adapter places are taken, or may be by an order that arrives late."""
    count = sum(map(len, engine.models.values()))
    if engine.late:
        held = {f"{model}/{name}" for model, names in engine.models.items() for name in names}
        count += sum("/" in item for item in engine.late - held)
    return count


def least_wanted_adapter(draft: Draft, engine: EngineView) -> tuple[str, str] | None:
    """Return the adapter on an engine that is asked for least and not waited for."""
    held = [(model, name) for model, names in engine.models.items() for name in names]
    idle = [row for row in held if not draft.asked("/".join(row)).waiting]
    return min(idle, key=lambda row: adapter_worth(draft, engine, row), default=None)


def adapter_worth(
    draft: Draft, engine: EngineView, row: tuple[str, str]
) -> tuple[bool, float, float, tuple[str, str]]:
    """Return what to rank adapters by: those without requests first, then the least asked for.

    An adapter in use goes only when its requests have ended, and keeps its place until then.
    """
    item = "/".join(row)
    found = draft.asked(item)
    return engine.running.get(item, 0) > 0, found.current, found.rate, row
