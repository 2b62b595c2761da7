"""How many copies of a model there should be, and whether the existing ones are overloaded.

Load pattern: demand moves to other models within seconds; two models become busy on one engine
while other engines hold only copies without requests. The number of copies follows the demand of
the last seconds.
"""

from peridotdock.decisions.draft import Draft, EngineView, current_demand, model_demand

# A model is overloaded, so that a further copy may evict an idle model, when every holder has so
# many queued prompt tokens, averaged over some seconds, or so much demand in engine seconds per
# second. Both bounds grow with the load time of the model, as a slower load pays off later.
OVERLOADED_TOKENS = 6000.0
OVERLOADED_TOKENS_PER_LOAD_SECOND = 1500.0
OVERLOADED_UTILIZATION = 0.5
OVERLOADED_UTILIZATION_PER_LOAD_SECOND = 0.05
# Demand in engine seconds per second above which an adapter is in use: that of a single prompt
# decays below this in about the time that its answer takes.
ADAPTER_DEMAND = 0.001
# Demand in engine seconds per second from which a model should survive the loss of an engine. Rarer
# models are loaded again from memory or disk.
SPARE_COPY_DEMAND = 0.12
# Copies of a model that are kept before its demand is known.
INITIAL_COPIES = 2
# Demand in engine seconds per second that one copy serves before a further copy is worth a load. A
# full engine spends most of its time on prefill; half leaves capacity for a burst of twice the
# demand.
COPY_DEMAND = 0.45


def all_models_held(draft: Draft) -> bool:
    """Return whether every model is held somewhere; until then no memory goes to further copies."""
    return all(draft.holders(name) for name in draft.spec.models)


def is_overloaded(draft: Draft, model: str) -> bool:
    """Return whether a model gets too little engine time wherever it is held.

    Load pattern: demand moves and two models become busy on one engine, while other engines hold
    only copies of models without requests. A model is not overloaded while a further copy is being
    loaded.
    """
    if model not in draft.overloaded:
        draft.overloaded[model] = compute_overloaded(draft, model)
    return draft.overloaded[model]


def compute_overloaded(draft: Draft, model: str) -> bool:
    """Compute :func:`is_overloaded` without the cache of the draft."""
    holders = draft.holders(model)
    if not holders or len(holders) > len(draft.ready(model)):
        return False
    seconds = draft.spec.models[model].load_seconds
    tokens = OVERLOADED_TOKENS + OVERLOADED_TOKENS_PER_LOAD_SECOND * seconds
    queued = model_demand(draft, model).withheld_tokens / len(holders)
    if queued + min(engine.queued_tokens for engine in holders) >= tokens:
        return True
    most = OVERLOADED_UTILIZATION + OVERLOADED_UTILIZATION_PER_LOAD_SECOND * seconds
    return min(utilization_of(draft, engine) for engine in holders) >= most


def utilization_of(draft: Draft, engine: EngineView) -> float:
    """Return the demand on an engine in engine seconds per second.

    The demand for a model is divided evenly among its copies.
    """
    return draft.utilization[engine.key]


def wanted_copies(draft: Draft, model: str) -> int:
    """Return how many copies a model should have, by its demand and its adapters' slots."""
    rate = current_demand(draft, model)
    if rate < SPARE_COPY_DEMAND:
        return 1
    adapters = sum(
        1 for adapter_rate in draft.adapter_demand.get(model, ()) if adapter_rate > ADAPTER_DEMAND
    )
    by_adapter_slots = -(-adapters // max(1, draft.spec.adapter_slots))
    return max(2, 1 + int(rate / COPY_DEMAND), by_adapter_slots)


def kept_copies(draft: Draft, model: str) -> int:
    """Return how many copies of a model are kept while no request waits for their memory.

    Failure guarded against: in the first second of traffic a busy model has not been requested yet,
    its copies are evicted for models without requests, and it is gone for seven seconds. Until some
    seconds of demand are known, the platform's own placement indicates what will be busy: models
    that it has put on several engines keep two copies.
    """
    wanted = wanted_copies(draft, model)
    return wanted if draft.demand_known else max(wanted, INITIAL_COPIES)
