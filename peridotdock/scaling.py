"""Chooses copies to add: those that reduce queueing most, while that is worth a move."""

from collections.abc import Mapping
from dataclasses import dataclass

from peridotdock.drafts import (
    Draft,
    allowed_engines,
    base_accelerators,
    find_accelerators,
    find_victims,
)
from peridotdock.items import Item
from peridotdock.manifest import Accepted

# Load above which :func:`queue_cost` is continued linearly, as the formula diverges at 1.
LINEAR_COST_LOAD = 0.9
# Candidates that are compared: engines by load, items for each of them, and target engines.
MAX_HOT_ENGINES = 8
MAX_HOT_ITEMS = 6
MAX_COOL_ENGINES = 8
MAX_ADDITIONS_PER_PLAN = 2


def queue_cost(load: float) -> float:
    """Return the mean number of waiting requests at a load, linear above ``LINEAR_COST_LOAD``."""
    if load <= LINEAR_COST_LOAD:
        return load * load / (1 - load)
    slope = (2 * LINEAR_COST_LOAD - LINEAR_COST_LOAD * LINEAR_COST_LOAD) / (
        1 - LINEAR_COST_LOAD
    ) ** 2
    return LINEAR_COST_LOAD * LINEAR_COST_LOAD / (1 - LINEAR_COST_LOAD) + slope * (
        load - LINEAR_COST_LOAD
    )


def spread_load(draft: Draft, demand: Mapping[str, float]) -> dict[str, float]:
    """Return the load of each live engine if copies share each item's demand equally."""
    loads = {name: 0.0 for name, engine in draft.engines.items() if engine.alive}
    for key, rate in demand.items():
        holders = draft.holders(key)
        for name in holders:
            loads[name] += rate / len(holders)
    return loads


def add_replicas(draft: Draft, demand: Mapping[str, float]) -> None:
    """Add the copies that reduce queueing most, while the gain exceeds the price of a move."""
    deployment = draft.accepted.manifest.deployment
    for _ in range(MAX_ADDITIONS_PER_PLAN):
        if draft.loading >= deployment.parallel_loads:
            return
        best = find_addition(draft, demand)
        if best is None or best.gain <= deployment.move_price:
            return
        spot = find_accelerators(draft.free[best.engine], best.item, best.accelerators)
        if spot is not None:
            draft.load(best.item, best.engine, spot, f"gain {best.gain:.2f}")
            continue
        victims = find_victims(draft, best.item, best.engine, demand) or []
        for victim in victims:
            draft.unload(victim, best.engine, f"room for {best.item.key}")
        return


@dataclass(frozen=True)
class ReplicaAddition:
    """A copy that could be added; ``gain`` is the reduction in waiting requests."""

    item: Item
    engine: str
    accelerators: tuple[int, ...] | None
    gain: float


def find_addition(draft: Draft, demand: Mapping[str, float]) -> ReplicaAddition | None:
    """Return the best copy to add: an item of a heavily loaded engine on a lightly loaded one."""
    loads = spread_load(draft, demand)
    family = demand_with_adapters(draft.accepted, demand)
    ranked = sorted(loads, key=lambda name: loads[name], reverse=True)
    best: ReplicaAddition | None = None
    for hot in ranked[:MAX_HOT_ENGINES]:
        for item in hot_items(draft, hot, family):
            for cool in allowed_additions(draft, item, loads):
                gain = addition_gain(draft, item, cool, loads, family)
                if best is None or gain > best.gain:
                    best = ReplicaAddition(item, cool, base_accelerators(draft, item, cool), gain)
    return best


def demand_with_adapters(accepted: Accepted, demand: Mapping[str, float]) -> dict[str, float]:
    """Return the demand by item, with the demand for adapters also counted for their base.

    An adapter can only be loaded next to its base, so a copy of the base has to be added first.
    """
    total = dict(demand)
    for item in accepted.items.values():
        if item.is_adapter and item.key in demand:
            total[item.base] = total.get(item.base, 0.0) + demand[item.key]
    return total


def hot_items(draft: Draft, engine: str, family: Mapping[str, float]) -> list[Item]:
    """Return the items that contribute most to an engine's load."""
    keys = [key for key, found in draft.copies.items() if engine in found and family.get(key)]
    keys = [key for key in keys if key in draft.accepted.by_key]
    keys.sort(key=lambda key: family[key] / max(1, len(draft.holders(key))), reverse=True)
    return [draft.accepted.by_key[key] for key in keys[:MAX_HOT_ITEMS]]


def allowed_additions(draft: Draft, item: Item, loads: Mapping[str, float]) -> list[str]:
    """Return the least loaded engines that could hold one more copy.

    They have free memory for it, or extra copies that can be unloaded.
    """
    names = sorted(allowed_engines(draft, item), key=lambda name: loads.get(name, 0.0))
    fits = []
    for name in names:
        if find_victims(draft, item, name, {}) is not None:
            fits.append(name)
        if len(fits) == MAX_COOL_ENGINES:
            break
    return fits


def addition_gain(
    draft: Draft,
    item: Item,
    cool: str,
    loads: Mapping[str, float],
    demand: Mapping[str, float],
) -> float:
    """Return the reduction in queueing by one more copy, less the increase by its victims."""
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
