"""Which copies of models are evicted from an engine to free memory for another model.

Load pattern: engines are full, and a model that requests wait for needs memory that another one
occupies. Idle copies are evicted first and the last copy of a model in demand last; copies in use
are evicted only for requests that wait.
"""

import math
from collections.abc import Sequence
from enum import IntEnum

from peridotdock.decisions.copies import is_overloaded, kept_copies
from peridotdock.decisions.draft import Draft, EngineView, current_demand, in_use, model_demand
from peridotdock.deployment import Model

# Value of a last copy beyond its demand: when it would have to come from the weight store again,
# and when its engine has cached weights and can load it again within about a second.
LAST_COPY_VALUE = 1.0
CACHED_LAST_COPY_VALUE = 0.2
# Value of a copy in use beyond its demand: its unload takes as long as its longest stream.
USED_COPY_VALUE = 1.5
# Value of a copy beyond its demand, before that is known, when the platform or the previous planner
# has put its model on several engines, which means that requests for it are expected.
SPREAD_COPY_VALUE = 2.0
# How many times the demand of a model in use another must have to evict its last copy: swapping
# them costs both models some seconds.
OUTWEIGH_FACTOR = 2.0
# Weight of the recent peak in a copy's value, beside the current demand: a model without requests
# may be requested again, but is evicted before one in demand.
PEAK_WEIGHT = 0.1


class EvictionLevel(IntEnum):
    """What may be evicted for a model; each level adds to what the previous one allows."""

    NOTHING = 0
    SURPLUS = 1
    IDLE = 2
    USED = 3


def find_victims(
    draft: Draft, engine: EngineView, model: Model, level: EvictionLevel
) -> Sequence[str] | None:
    """Return the models to unload so that another fits, least valuable first; None if none will do.

    Failure guarded against: all hosts were killed, and a tenth of a second later the new planner
    evicts models for the first requests that wait. The next requests are for these models, which it
    cannot know yet, and each unload waits for such requests to end.
    """
    needed = 0.0 if model.name in engine.unanswered else model.weights_mb
    if draft.free_mb[engine.key] >= needed:
        return ()
    if engine.unloading or level is EvictionLevel.NOTHING or not draft.running_known:
        return None
    victims = []
    for name in rank_victims(draft, engine, model.name, level):
        victims.append(name)
        if draft.free_mb_without(engine, victims) >= needed:
            return victims
    return None


def rank_victims(
    draft: Draft, engine: EngineView, wanted: str, level: EvictionLevel
) -> Sequence[str]:
    """Return the models on an engine that may be evicted, least valuable first.

    Which copies in use may be evicted depends on the model that is wanted. For other copies it
    depends only on the level and on whether that model is overloaded, so a few cached results serve
    nearly all models.
    """
    if level is EvictionLevel.USED:
        return compute_victims(draft, engine, wanted, level)
    key = engine.key, level, is_overloaded(draft, wanted)
    if key not in draft.victims:
        draft.victims[key] = compute_victims(draft, engine, wanted, level)
    return draft.victims[key]


def compute_victims(
    draft: Draft, engine: EngineView, wanted: str, level: EvictionLevel
) -> Sequence[str]:
    """Compute which models on an engine may be evicted, least valuable first."""
    allowed = [n for n in engine.models if may_evict(draft, engine, n, wanted, level)]
    return sorted(
        allowed, key=lambda name: (name in draft.spec.models, copy_value(draft, engine, name))
    )


def may_evict(
    draft: Draft, engine: EngineView, name: str, wanted: str, level: EvictionLevel
) -> bool:
    """Return whether a copy may be evicted: no request waits for it and its engine can spare it.

    Failure guarded against: a copy in use is unloaded, its engine takes no order for five seconds
    until the last of its streams has ended, and meanwhile the model is requested again. A copy in
    use is therefore evicted only for requests that wait and find no other memory.

    A model that the newest configuration does not name any more is spared only while it is used.
    """
    used = in_use(draft, name) or engine.running_requests(name) > 0
    if name in engine.loading:
        return False
    if name not in draft.spec.models:
        return not used or level is EvictionLevel.USED
    if model_demand(draft, name).waiting:
        return False
    if level is EvictionLevel.USED:
        return not used or outweighs(draft, wanted, name)
    if used:
        return False
    if level is EvictionLevel.IDLE:
        return True
    if name in engine.recently_loaded:
        return False
    if len(draft.holders(name)) > kept_copies(draft, name):
        return True
    return is_overloaded(draft, wanted) and engine.has_cached_weights(name)


def outweighs(draft: Draft, wanted: str, name: str) -> bool:
    """Return whether a model in use may lose a copy to another model that requests wait for."""
    copies = len(draft.holders(name))
    if copies > kept_copies(draft, name):
        return True
    return current_demand(draft, wanted) > OUTWEIGH_FACTOR * current_demand(draft, name) / max(
        1, copies
    )


def copy_value(draft: Draft, engine: EngineView, name: str) -> float:
    """Return the value of a copy: its share of the demand, and what being the last copy adds."""
    key = engine.key, name
    if key not in draft.copy_values:
        draft.copy_values[key] = compute_copy_value(draft, engine, name)
    return draft.copy_values[key]


def compute_copy_value(draft: Draft, engine: EngineView, name: str) -> float:
    """Compute :func:`copy_value` without the cache of the draft."""
    copies = len(draft.holders(name))
    last = CACHED_LAST_COPY_VALUE if engine.has_cached_weights(name) else LAST_COPY_VALUE
    found = model_demand(draft, name)
    kept = found.current_rate + PEAK_WEIGHT * found.peak_rate
    used = USED_COPY_VALUE if in_use(draft, name) else 0.0
    expected = SPREAD_COPY_VALUE if copies > 1 and not draft.demand_known else 0.0
    return kept / max(1, copies) + used + expected + (last if copies < 2 else 0.0)


def eviction_cost(draft: Draft, engine: EngineView, victims: Sequence[str]) -> float:
    """Return the cost of evicting copies, comparable to seconds of loading."""
    empty = max((unload_wait_seconds(draft, engine, name) for name in victims), default=0.0)
    return empty + sum(0.1 + 10.0 * copy_value(draft, engine, name) for name in victims)


def unload_wait_seconds(draft: Draft, engine: EngineView, name: str) -> float:
    """Return how long an unload would wait for running requests: the longest one decides."""
    running = engine.running_requests(name)
    return draft.stream_seconds * (0.5 + math.log(running)) if running else 0.0
