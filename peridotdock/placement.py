"""Placement: which loads and unloads to do next. Pure functions over frozen views.

The floor goes first: each model and adapter has its copies, in different failure domains where
that can be. What memory is left goes where it takes most queueing away, if that is worth more
than the deployment's price of a move. An extra copy is not removed for being idle, only to make
room for something better, since each needless unload is a move that may have to be undone.
"""

from collections.abc import Iterable, Mapping

from peridotdock.drafts import (
    Draft,
    EngineView,
    Plan,
    allowed_engines,
    base_accelerators,
    find_accelerators,
    find_copies,
    find_victims,
    make_draft,
)
from peridotdock.items import Item, name_of
from peridotdock.ledger import COPY_STATES, State
from peridotdock.manifest import Accepted
from peridotdock.scaling import add_replicas


def make_plan(
    accepted: Accepted,
    engines: Iterable[EngineView],
    demand: Mapping[str, float],
    allow_additions: bool = True,
) -> Plan:
    """Return what to do next."""
    draft = make_draft(accepted, engines)
    unmet = fill_floor(draft, demand)
    unload_retired(draft)
    if allow_additions and not unmet:
        add_replicas(draft, demand)
    return Plan(tuple(draft.moves), tuple(unmet))


def fill_floor(draft: Draft, demand: Mapping[str, float]) -> list[str]:
    """Load what is below its floor, lost and wanted items first; return what stays below."""
    unmet = []
    for item in sorted(draft.accepted.items.values(), key=lambda i: floor_rank(i, demand)):
        short = item.copies - len(find_copies(draft, item))
        if short > 0:
            unmet.append(item.key)
            add_floor_copy(draft, item, demand)
    return unmet


def floor_rank(item: Item, demand: Mapping[str, float]) -> tuple[bool, float, int, str]:
    """Order the floor: bases before adapters, wanted ones first, large ones first."""
    return item.is_adapter, -demand.get(item.key, 0.0), -item.bytes * item.span, item.key


def add_floor_copy(draft: Draft, item: Item, demand: Mapping[str, float]) -> None:
    """Load one copy of an item, or make room for one."""
    if draft.loading >= draft.accepted.manifest.deployment.parallel_loads:
        return
    spot = find_spot(draft, item)
    if spot is not None:
        draft.load(item, *spot, "floor")
        return
    free_capacity(draft, item, demand)


def find_spot(draft: Draft, item: Item) -> tuple[str, tuple[int, ...]] | None:
    """Return the best engine and accelerators with room for an item, or None."""
    best = None
    taken = {draft.engines[name].domain for name in find_copies(draft, item)}
    for name in allowed_engines(draft, item):
        accelerators = find_accelerators(
            draft.free[name], item, base_accelerators(draft, item, name)
        )
        if accelerators is None:
            continue
        left = sum(draft.free[name]) - item.bytes * item.span
        rank = (draft.engines[name].domain not in taken, left, name)
        if best is None or rank > best[0]:
            best = (rank, name, accelerators)
    return (best[1], best[2]) if best else None


def free_capacity(draft: Draft, item: Item, demand: Mapping[str, float]) -> bool:
    """Unload the least wanted extra copies on the engine where fewest must go."""
    best: tuple[tuple[float, int], str, list[str]] | None = None
    for name in allowed_engines(draft, item):
        victims = find_victims(draft, item, name, demand)
        if victims is None:
            continue
        rank = (sum(demand.get(victim, 0.0) for victim in victims), len(victims))
        if best is None or rank < best[0]:
            best = (rank, name, victims)
    if best is None:
        return False
    for victim in best[2]:
        draft.unload(victim, best[1], f"room for {item.key}")
    return True


def unload_retired(draft: Draft) -> None:
    """Unload what the manifest no longer names, once what replaces it is ready."""
    for key in list(draft.copies):
        if key in draft.accepted.by_key:
            continue
        successor = draft.accepted.items.get(name_of(key))
        ready = frozenset({State.HELD})
        if successor is not None and not draft.holders(successor.key, ready):
            continue
        for engine, copy in list(draft.copies[key].items()):
            if copy.state not in COPY_STATES or has_adapters(draft, key, engine):
                continue
            if draft.engines[engine].alive:
                draft.unload(key, engine, "not in the manifest")


def has_adapters(draft: Draft, base: str, engine: str) -> bool:
    """Tell whether an engine still has adapters that stand on ``base`` there."""
    return any(
        key.endswith(f"~{base}") and found[engine].state in COPY_STATES
        for key, found in draft.copies.items()
        if engine in found
    )


def find_floor_errors(accepted: Accepted) -> list[str]:
    """Return why the floor of a manifest cannot fit, with the sums; nothing when it can."""
    engines = [
        EngineView(name, row.domain, tuple(a.bytes for a in row.accelerators), True)
        for name, row in accepted.engines.items()
    ]
    draft = make_draft(accepted, engines)
    errors = []
    for item in sorted(accepted.items.values(), key=lambda i: floor_rank(i, {})):
        for _ in range(item.copies):
            spot = find_spot(draft, item)
            if spot is None:
                errors.append(f"{item.name}: no engine has room for {item.bytes} x {item.span}")
                break
            draft.load(item, *spot, "floor")
    if not errors:
        return []
    need = sum(item.bytes * item.span * item.copies for item in accepted.items.values())
    have = sum(sum(engine.capacity) for engine in engines)
    return [f"$: the floor needs {need} bytes of {have}", *errors]
