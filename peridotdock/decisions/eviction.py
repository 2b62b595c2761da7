"""Which copies of models make room on an engine for another.

Load pattern: engines are full, and what requests wait for needs the room of something else. Idle
copies go first, the last copy of what is asked for last, and what is in use only for requests that
wait.
"""

import math
from collections.abc import Sequence
from enum import IntEnum

from peridotdock.decisions.copies import is_overloaded, kept_copies
from peridotdock.decisions.draft import Draft, EngineView, current_demand, in_use, model_demand
from peridotdock.deployment import Model

# What a last copy is worth beyond its demand: when it must come from the weight store again, and
# when its engine has the weights at hand and is back with it within about a second.
LAST_COPY_VALUE = 1.0
CACHED_LAST_COPY_VALUE = 0.2
# What a copy in use is worth beyond its demand: its unload takes as long as its longest stream.
USED_COPY_VALUE = 1.5
# What a copy is worth beyond its demand, before that is known, when the platform or the host that
# ordered before has put its model on several engines: it will be asked for.
SPREAD_COPY_VALUE = 2.0
# How many times as much as of a model in use must be asked of another that takes its last copy: a
# change of places costs both some seconds.
OUTWEIGH_FACTOR = 2.0
# Weight of the peak of late in a copy's worth, beside the demand of now: what fell silent may come
# back, but goes before what is asked for.
PEAK_WEIGHT = 0.1


class EvictionLevel(IntEnum):
    """What may make room for a model: each claim beside what the one before it allows."""

    NOTHING = 0
    SURPLUS = 1
    IDLE = 2
    USED = 3


def find_victims(
    draft: Draft, engine: EngineView, model: Model, level: EvictionLevel
) -> Sequence[str] | None:
    """Return the models to unload so that another fits, least wanted first; None if none may go.

    Failure guarded against: all hosts were killed, and a tenth of a second later the one that
    orders makes room for the first requests by the models that the next ones are for. It has not
    heard of those, and each unload waits for them to end.
    """
    needed = 0.0 if model.name in engine.unanswered else model.weights_mb
    missing = needed - draft.free_mb[engine.key]
    if missing <= 0:
        return ()
    if engine.unloading or level is EvictionLevel.NOTHING or not draft.running_known:
        return None
    victims = []
    for name in rank_victims(draft, engine, model.name, level):
        spec = draft.spec.models.get(name)
        victims.append(name)
        missing -= spec.weights_mb if spec else 0.0
        if missing <= 0:
            return victims
    return None


def rank_victims(
    draft: Draft, engine: EngineView, wanted: str, level: EvictionLevel
) -> Sequence[str]:
    """Return the models on an engine that may make room, least wanted first.

    Which copies in use may go depends on the model that is wanted; which others may go, only on the
    claim and on whether that one is crowded. So the same few answers serve for nearly all models.
    """
    if level is EvictionLevel.USED:
        return compute_victims(draft, engine, wanted, level)
    place = engine.key, level, is_overloaded(draft, wanted)
    if place not in draft.victims:
        draft.victims[place] = compute_victims(draft, engine, wanted, level)
    return draft.victims[place]


def compute_victims(
    draft: Draft, engine: EngineView, wanted: str, level: EvictionLevel
) -> Sequence[str]:
    """Work out which models on an engine may make room, least wanted first."""
    allowed = [n for n in engine.models if may_evict(draft, engine, n, wanted, level)]
    return sorted(allowed, key=lambda name: copy_value(draft, engine, name))


def may_evict(
    draft: Draft, engine: EngineView, name: str, wanted: str, level: EvictionLevel
) -> bool:
    """Tell whether a copy may make room: it is not waited for, and not needed where it is.

    Failure guarded against: a copy in use is unloaded, the engine takes no order until the last of
    its streams has ended, for five seconds, and the model is asked for again meanwhile. So a copy
    in use goes only for requests that wait and find no other room.
    """
    if name in engine.loading or model_demand(draft, name).waiting:
        return False
    used = in_use(draft, name) or engine.running_requests(name) > 0
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
    """Tell whether a model in use may lose a copy to another that requests wait for."""
    copies = len(draft.holders(name))
    if copies > kept_copies(draft, name):
        return True
    return current_demand(draft, wanted) > OUTWEIGH_FACTOR * current_demand(draft, name) / max(
        1, copies
    )


def copy_value(draft: Draft, engine: EngineView, name: str) -> float:
    """Return what a copy is worth: its demand, shared by all copies, and being the last one."""
    place = engine.key, name
    if place not in draft.copy_values:
        draft.copy_values[place] = compute_copy_value(draft, engine, name)
    return draft.copy_values[place]


def compute_copy_value(draft: Draft, engine: EngineView, name: str) -> float:
    """Work out what a copy is worth."""
    copies = len(draft.holders(name))
    last = CACHED_LAST_COPY_VALUE if engine.has_cached_weights(name) else LAST_COPY_VALUE
    found = model_demand(draft, name)
    kept = found.current_rate + PEAK_WEIGHT * found.peak_rate
    used = USED_COPY_VALUE if in_use(draft, name) else 0.0
    expected = SPREAD_COPY_VALUE if copies > 1 and not draft.demand_known else 0.0
    return kept / max(1, copies) + used + expected + (last if copies < 2 else 0.0)


def eviction_cost(draft: Draft, engine: EngineView, victims: Sequence[str]) -> float:
    """Return what making room costs, to be weighed against seconds of loading."""
    empty = max((unload_wait_seconds(draft, engine, name) for name in victims), default=0.0)
    return empty + sum(0.1 + 10.0 * copy_value(draft, engine, name) for name in victims)


def unload_wait_seconds(draft: Draft, engine: EngineView, name: str) -> float:
    """Return how long an unload would wait for the requests that run: the longest ends it."""
    running = engine.running_requests(name)
    return draft.stream_seconds * (0.5 + math.log(running)) if running else 0.0
