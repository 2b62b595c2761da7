"""Which copies to add: those that take most queueing away, while that is worth a move."""

from collections.abc import Mapping
from dataclasses import dataclass

from peridotdock.drafts import (
    Draft,
    allowed_engines,
    base_places,
    find_places,
    find_victims,
)
from peridotdock.items import Item
from peridotdock.manifest import Accepted

BUSY = 0.9
HOT_ENGINES = 8
HOT_ITEMS = 6
COOL_ENGINES = 8
MAX_GROWTH_PER_PLAN = 2


def queue_cost(load: float) -> float:
    """Return the mean number of requests that wait at a load, straight beyond :data:`BUSY`."""
    if load <= BUSY:
        return load * load / (1 - load)
    slope = (2 * BUSY - BUSY * BUSY) / (1 - BUSY) ** 2
    return BUSY * BUSY / (1 - BUSY) + slope * (load - BUSY)


def spread_load(draft: Draft, demand: Mapping[str, float]) -> dict[str, float]:
    """Return the load of each live engine if each item's demand were shared by its copies."""
    loads = {name: 0.0 for name, engine in draft.engines.items() if engine.alive}
    for key, rate in demand.items():
        holders = draft.holders(key)
        for name in holders:
            loads[name] += rate / len(holders)
    return loads


def grow_copies(draft: Draft, demand: Mapping[str, float]) -> None:
    """Add the copies that take most queueing away, while they are worth the price of a move."""
    deployment = draft.accepted.manifest.deployment
    for _ in range(MAX_GROWTH_PER_PLAN):
        if draft.loading >= deployment.parallel_loads:
            return
        best = find_growth(draft, demand)
        if best is None or best.gain <= deployment.move_price:
            return
        spot = find_places(draft.free[best.engine], best.item, best.places)
        if spot is not None:
            draft.load(best.item, best.engine, spot, f"gain {best.gain:.2f}")
            continue
        victims = find_victims(draft, best.item, best.engine, demand) or []
        for victim in victims:
            draft.unload(victim, best.engine, f"room for {best.item.key}")
        return


@dataclass(frozen=True)
class Growth:
    """A copy that could be added, and the queueing it would take away."""

    item: Item
    engine: str
    places: tuple[int, ...] | None
    gain: float


def find_growth(draft: Draft, demand: Mapping[str, float]) -> Growth | None:
    """Return the best copy to add: an item of a hot engine on a cool one."""
    loads = spread_load(draft, demand)
    family = family_demand(draft.accepted, demand)
    ranked = sorted(loads, key=lambda name: loads[name], reverse=True)
    best: Growth | None = None
    for hot in ranked[:HOT_ENGINES]:
        for item in hot_items(draft, hot, family):
            for cool in allowed_growth(draft, item, loads):
                gain = growth_gain(draft, item, cool, loads, family)
                if best is None or gain > best.gain:
                    best = Growth(item, cool, base_places(draft, item, cool), gain)
    return best


def family_demand(accepted: Accepted, demand: Mapping[str, float]) -> dict[str, float]:
    """Return the demand by item, with that for adapters counted for their base too.

    An adapter can only go where its base is, so the base has to grow first, on their behalf.
    """
    total = dict(demand)
    for item in accepted.items.values():
        if item.is_adapter and item.key in demand:
            total[item.base] = total.get(item.base, 0.0) + demand[item.key]
    return total


def hot_items(draft: Draft, engine: str, family: Mapping[str, float]) -> list[Item]:
    """Return the items that load an engine most."""
    keys = [key for key, found in draft.copies.items() if engine in found and family.get(key)]
    keys = [key for key in keys if key in draft.accepted.by_key]
    keys.sort(key=lambda key: family[key] / max(1, len(draft.holders(key))), reverse=True)
    return [draft.accepted.by_key[key] for key in keys[:HOT_ITEMS]]


def allowed_growth(draft: Draft, item: Item, loads: Mapping[str, float]) -> list[str]:
    """Return the coolest engines that could take one more copy, with room or with extras."""
    names = sorted(allowed_engines(draft, item), key=lambda name: loads.get(name, 0.0))
    fits = []
    for name in names:
        if find_victims(draft, item, name, {}) is not None:
            fits.append(name)
        if len(fits) == COOL_ENGINES:
            break
    return fits


def growth_gain(
    draft: Draft,
    item: Item,
    cool: str,
    loads: Mapping[str, float],
    demand: Mapping[str, float],
) -> float:
    """Return the queueing that one more copy takes away, less what its victims bring back."""
    holders = draft.holders(item.key)
    rate = demand.get(item.key, 0.0)
    if not holders or not rate:
        return 0.0
    after = dict(loads)
    for name in holders:
        after[name] -= rate / len(holders) - rate / (len(holders) + 1)
    after[cool] += rate / (len(holders) + 1)
    touched = {*holders, cool}
    for victim in find_victims(draft, item, cool, demand) or []:
        others = [name for name in draft.holders(victim) if name != cool]
        lost = demand.get(victim, 0.0) / (len(others) + 1)
        after[cool] -= lost
        for name in others:
            after[name] += lost / len(others)
        touched.update(others)
    before = sum(queue_cost(loads[name]) for name in touched)
    return before - sum(queue_cost(max(0.0, after[name])) for name in touched)
