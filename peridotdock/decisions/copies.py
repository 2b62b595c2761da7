"""How many copies of a model there should be, and whether those there are have too much to do.

Load pattern: demand moves to other models within seconds; two models become busy on one engine
while others rest on copies that nobody asks for. Copies follow the demand of the last seconds.
"""

from peridotdock.decisions.draft import Draft, EngineView, current_demand, model_demand

# When a model is crowded at every holder, so that a further copy may take the room of an idle one:
# prompt tokens that wait there, over some seconds, or engine seconds asked of it in a second. Both
# grow with the seconds that a load takes, as it pays later.
OVERLOADED_TOKENS = 6000.0
OVERLOADED_TOKENS_PER_LOAD_SECOND = 1500.0
OVERLOADED_UTILIZATION = 0.5
OVERLOADED_UTILIZATION_PER_LOAD_SECOND = 0.05
# Engine seconds asked for in a second, above which an adapter is in use: a single prompt fades
# below this in about the time that its answer takes.
ADAPTER_DEMAND = 0.001
# Engine seconds asked for in a second, from which a model should survive the loss of an engine.
# Rare models come back from memory or disk.
SPARE_COPY_DEMAND = 0.12
# Copies of a model that stay before its demand is known.
INITIAL_COPIES = 2
# Engine seconds a second that one copy serves before a further one is worth a load. An engine
# reads prompts at most of the time when it is full; half leaves room for a burst of twice that.
COPY_DEMAND = 0.45


def all_models_held(draft: Draft) -> bool:
    """Tell whether every model is held somewhere: before that, room is not for further copies."""
    return all(draft.holders(name) for name in draft.spec.models)


def is_overloaded(draft: Draft, model: str) -> bool:
    """Tell whether a model has too little of its engines' time wherever it is held.

    Load pattern: two models become busy on one engine, as demand moves, while the others rest on
    copies of models that nobody asks for. No further copy is called for while one is coming.
    """
    if model not in draft.overloaded:
        draft.overloaded[model] = compute_overloaded(draft, model)
    return draft.overloaded[model]


def compute_overloaded(draft: Draft, model: str) -> bool:
    """Look whether a model has too little of its engines' time wherever it is held."""
    holders = draft.holders(model)
    if not holders or len(holders) > len(draft.ready(model)):
        return False
    seconds = draft.spec.models[model].load
    tokens = OVERLOADED_TOKENS + OVERLOADED_TOKENS_PER_LOAD_SECOND * seconds
    queued = model_demand(draft, model).withheld_tokens / len(holders)
    if queued + min(engine.queued_tokens for engine in holders) >= tokens:
        return True
    most = OVERLOADED_UTILIZATION + OVERLOADED_UTILIZATION_PER_LOAD_SECOND * seconds
    return min(utilization_of(draft, engine) for engine in holders) >= most


def utilization_of(draft: Draft, engine: EngineView) -> float:
    """Return the engine seconds a second asked of an engine, each model's over all copies."""
    return draft.utilization[engine.key]


def wanted_copies(draft: Draft, model: str) -> int:
    """Return how many copies a model should have, by its demand and by its adapters' places."""
    rate = current_demand(draft, model)
    if rate < SPARE_COPY_DEMAND:
        return 1
    adapters = sum(1 for asked in draft.adapter_demand.get(model, ()) if asked > ADAPTER_DEMAND)
    by_adapter_slots = -(-adapters // max(1, draft.spec.adapter_places))
    return max(2, 1 + int(rate / COPY_DEMAND), by_adapter_slots)


def kept_copies(draft: Draft, model: str) -> int:
    """Return how many copies of a model stay while nothing waits for their room.

    Failure guarded against: in the first second of traffic a busy model has not been asked for yet,
    its copies go for models that nobody asks for, and it is gone for seven seconds. Until some
    seconds of demand are known, the platform's own placement tells what will be busy: models that
    it has put on several engines keep two copies.
    """
    wanted = wanted_copies(draft, model)
    return wanted if draft.demand_known else max(wanted, INITIAL_COPIES)
