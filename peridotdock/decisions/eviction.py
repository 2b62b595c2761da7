"""Which copies of models make room on an engine for another.

Load pattern: engines are full, and what requests wait for needs the room of something else. Idle
copies go first, the last copy of what is asked for last, and what is in use only for requests that
wait.
"""

from collections.abc import Sequence

from peridotdock.decisions.copies import crowded, kept_copies
from peridotdock.decisions.draft import Draft, EngineView, current_of, in_use, model_demand
from peridotdock.deployment import Model

# What a last copy is worth beyond its demand: when it must come from the weight store again, and
# when its engine has the weights at hand and is back with it within about a second.
LAST_COPY_WORTH = 1.0
WARM_COPY_WORTH = 0.2
# What a copy in use is worth beyond its demand: its unload takes as long as its longest stream.
USED_COPY_WORTH = 1.5
# How many times as much as of a model in use must be asked of another that takes its last copy: a
# change of places costs both some seconds.
OUTWEIGHS = 2.0
# Weight of the peak of late in a copy's worth, beside the demand of now: what fell silent may come
# back, but goes before what is asked for.
REMEMBERED_SHARE = 0.1


def find_victims(
    draft: Draft, engine: EngineView, model: Model, last_copies: bool
) -> Sequence[str] | None:
    """Return the models to unload so that another fits, least wanted first; None if none may go."""
    needed = 0.0 if model.name in engine.late else model.weights_mb
    missing = needed - draft.rooms[engine.key]
    if missing <= 0:
        return ()
    if engine.dropping:
        return None
    victims = []
    for name in rank_victims(draft, engine, model.name, last_copies):
        spec = draft.spec.models.get(name)
        victims.append(name)
        missing -= spec.weights_mb if spec else 0.0
        if missing <= 0:
            return victims
    return None


def rank_victims(draft: Draft, engine: EngineView, wanted: str, last_copies: bool) -> Sequence[str]:
    """Return the models on an engine that may make room, least wanted first.

    Which last copies may go depends on the model that is wanted; which others may go, only on
    whether that one is crowded. So at 74 models, half of them held nowhere, the same two answers
    serve for nearly all.
    """
    if last_copies:
        return sort_victims(draft, engine, wanted, last_copies)
    place = engine.key, crowded(draft, wanted)
    if place not in draft.victims:
        draft.victims[place] = sort_victims(draft, engine, wanted, last_copies)
    return draft.victims[place]


def sort_victims(draft: Draft, engine: EngineView, wanted: str, last_copies: bool) -> Sequence[str]:
    """Work out which models on an engine may make room, least wanted first."""
    allowed = [n for n in engine.models if may_go(draft, engine, n, wanted, last_copies)]
    return sorted(allowed, key=lambda name: value_of(draft, engine, name))


def may_go(draft: Draft, engine: EngineView, name: str, wanted: str, last_copies: bool) -> bool:
    """Tell whether a copy may make room: it is not waited for, and not needed where it is.

    Failure guarded against: a copy in use is unloaded, the engine takes no order until the last of
    its streams has ended, for five seconds, and the model is asked for again meanwhile. So a copy
    in use goes only for requests that wait and find no other room.
    """
    found = model_demand(draft, name)
    if name in engine.loading or found.waiting:
        return False
    if last_copies:
        return not in_use(draft, name) or outweighs(draft, wanted, name)
    if in_use(draft, name) or name in engine.settling:
        return False
    if len(draft.holders(name)) > kept_copies(draft, name):
        return True
    return crowded(draft, wanted) and engine.at_hand(name)


def outweighs(draft: Draft, wanted: str, name: str) -> bool:
    """Tell whether a model in use may lose a copy to another that requests wait for."""
    if len(draft.holders(name)) > 1:
        return True
    return current_of(draft, wanted) > OUTWEIGHS * current_of(draft, name)


def value_of(draft: Draft, engine: EngineView, name: str) -> float:
    """Return what a copy is worth: its demand, shared by all copies, and being the last one."""
    place = engine.key, name
    if place not in draft.worth:
        draft.worth[place] = find_value(draft, engine, name)
    return draft.worth[place]


def find_value(draft: Draft, engine: EngineView, name: str) -> float:
    """Work out what a copy is worth."""
    copies = len(draft.holders(name))
    last = WARM_COPY_WORTH if engine.at_hand(name) else LAST_COPY_WORTH
    found = model_demand(draft, name)
    kept = found.current + REMEMBERED_SHARE * found.rate
    used = USED_COPY_WORTH if in_use(draft, name) else 0.0
    return kept / max(1, copies) + used + (last if copies < 2 else 0.0)


def cost_of(draft: Draft, engine: EngineView, victims: Sequence[str]) -> float:
    """Return what making room costs, to be weighed against seconds of loading."""
    return sum(0.1 + 10.0 * value_of(draft, engine, name) for name in victims)
