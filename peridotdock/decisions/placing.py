"""What engines should load and unload next, by what callers ask for. Pure functions.

Load pattern: demand moves to other models within seconds, rare models are asked for at once, and
an engine that held the only copy of a model is lost, while a load takes seconds and loads from
the weight store are rationed. So what requests wait for goes first, on the engine that has the
weights at hand; a last copy that is asked for is never dropped to make room for a second one; and
a further copy is loaded only where it fits or where what makes room is not asked for.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from peridotdock.clients.engines import Action
from peridotdock.deployment import EngineSpec, Model

# Engine seconds asked for in a second, below which a model counts as idle: a long prompt asks for
# 0.1 at once and fades below this within fifty seconds.
IDLE_DEMAND = 0.02
# What a last copy is worth beyond its demand: when it must come from the weight store again, and
# when its engine has the weights at hand and is back with it within about a second.
LAST_COPY_WORTH = 1.0
WARM_COPY_WORTH = 0.2
# Prompt tokens that wait at every holder of a model, over some seconds, from which a further copy
# may take the room of an idle one: about half a second of an engine's time, what callers allow.
# Without a bound copies went round between engines, 23 loads on a calm day in place of 5.
CROWDED_TOKENS = 15000.0
# Engine seconds a second asked of each holder of a model, from which the same holds: above, a burst
# of a quarter makes requests wait, and a copy that comes then is seconds late.
CROWDED_LOAD = 0.8
# Seconds of delay that an engine's load counts for when an engine is chosen: at a load of one,
# requests wait for about this long.
LOAD_SECONDS = 1.0
# Seconds that a prompt token waiting at an engine counts for when an engine is chosen: about three
# times what reading it takes, as the load that made it wait goes on.
TOKEN_SECONDS = 0.0001
# Adapter places of an engine that are not filled without need, so that the next adapter asked for
# needs no unload first.
KEPT_PLACES = 1
# Engine seconds asked for in a second, above which an adapter is in use: a prompt of 800 tokens
# asks for 0.007 at once and fades below this within six seconds, about as long as its answer takes.
ADAPTER_DEMAND = 0.001
# Engine seconds asked for in a second, from which a model should survive the loss of an engine.
# Rare models, of which each takes about 0.03, come back from memory or disk within a second.
SPARE_COPY_DEMAND = 0.12
# What a copy in use is worth beyond its demand: its unload takes as long as its longest stream.
USED_COPY_WORTH = 1.5
# Copies of a model that stay before its demand is known.
UNTOUCHED_COPIES = 2
# How many times as much as of a model in use must be asked of another that takes its last copy: a
# change of places costs both some seconds.
OUTWEIGHS = 2.0
# Weight of the peak of late in a copy's worth, beside the demand of now: what fell silent may come
# back, but goes before what is asked for.
REMEMBERED_SHARE = 0.1
# Engine seconds a second that one copy serves before a further one is worth a load. An engine
# reads prompts at most of the time when it is full; half leaves room for a burst of twice that.
COPY_DEMAND = 0.45


@dataclass(frozen=True, slots=True)
class EngineView:
    """One engine as the host that orders it knows it.

    ``models`` are those that take up memory, with their adapters; of them, ``loading`` ones can't
    serve yet and ``dropping`` ones no more: their room can be ordered for what it is made for, as
    the engine refuses a load until it is free. ``freeing`` tells that an adapter's place will be
    free when the requests that use it have ended. ``busy`` engines carry out an order and refuse
    others. ``ahead`` are prompt tokens that wait there, over some seconds; ``settling`` models were
    loaded
    a moment ago.
    """

    key: str
    domain: str
    models: Mapping[str, frozenset[str]]
    loading: frozenset[str]
    dropping: frozenset[str]
    in_memory: frozenset[str]
    on_disk: frozenset[str]
    busy: bool
    ahead: float
    freeing: bool = False
    settling: frozenset[str] = frozenset()

    def at_hand(self, model: str) -> bool:
        """Tell whether the engine can load a model without the weight store."""
        return model in self.in_memory or model in self.on_disk


@dataclass(frozen=True, slots=True)
class Demand:
    """What is asked of one item: requests that wait for it now, and engine seconds a second.

    ``rate`` holds a peak for half a minute, so that a copy lasts from one rare request to the
    next. ``recent`` is that of the last seconds: what moved away shows there at once. Without a
    word of its own it is the rate.
    """

    waiting: int = 0
    rate: float = 0.0
    recent: float | None = None

    @property
    def current(self) -> float:
        """Return the engine seconds a second asked for now."""
        return self.rate if self.recent is None else self.recent


@dataclass(frozen=True, slots=True)
class Step:
    """One order to give next; ``room_for`` is the model that an unload makes room for."""

    engine: str
    action: Action
    model: str
    adapter: str = ""
    reason: str = ""
    room_for: str = ""


NONE = Demand()


@dataclass
class Draft:
    """The plan while it is made. ``taken`` engines have a step already: each plan gives one.

    ``promised`` has the model that each engine was last emptied for. Failure guarded against: an
    engine that unloads is busy, so the next plan makes room on another one too, and what was made
    free is filled with something else; models then went round between engines without an end.
    """

    spec: EngineSpec
    engines: dict[str, EngineView]
    demand: Mapping[str, Demand]
    loads_left: int
    promised: Mapping[str, str]
    by_model: Mapping[str, Demand]
    settled: bool
    steps: list[Step] = field(default_factory=list)
    taken: set[str] = field(default_factory=set)

    def asked(self, item: str) -> Demand:
        """Return the demand for an item."""
        return self.demand.get(item, NONE)

    def holders(self, model: str) -> list[EngineView]:
        """Return the engines that hold a model or are loading it."""
        return [
            engine
            for engine in self.engines.values()
            if model in engine.models and model not in engine.dropping
        ]

    def ready(self, model: str) -> list[EngineView]:
        """Return the engines on which a model can serve."""
        return [engine for engine in self.holders(model) if model not in engine.loading]

    def add(self, step: Step) -> None:
        """Add a step."""
        self.taken.add(step.engine)
        self.steps.append(step)


def make_plan(
    spec: EngineSpec,
    engines: Iterable[EngineView],
    demand: Mapping[str, Demand],
    loads_left: int,
    promised: Mapping[str, str],
    held_back: Iterable[str] = (),
    settled: bool = True,
) -> list[Step]:
    """Return the orders to give next, one an engine at most.

    ``loads_left`` loads from the store may begin now. ``promised`` is the model that each engine
    was emptied for and does not hold yet. ``held_back`` engines get no order. ``settled`` tells
    that some seconds of demand are known.
    """
    rows = {engine.key: engine for engine in engines}
    by_model = sum_by_model(demand)
    taken = set(held_back)
    draft = Draft(spec, rows, demand, loads_left, promised, by_model, settled, taken=taken)
    place_adapters(draft)
    place_models(draft)
    fill_places(draft)
    return draft.steps


def place_models(draft: Draft) -> None:
    """Load what nobody holds and is asked for, then spare and further copies."""
    ranked = sorted(
        draft.spec.models.values(),
        key=lambda model: (-model_demand(draft, model.name).waiting, -rate_of(draft, model.name)),
    )
    for model in ranked:
        found = model_demand(draft, model.name)
        if not draft.holders(model.name) and (found.waiting or found.rate > IDLE_DEMAND):
            load_somewhere(draft, model, last_copies=found.waiting > 0, reason="asked for")
    for model in sorted(ranked, key=lambda model: -current_of(draft, model.name)):
        missing = len(draft.holders(model.name)) < wanted_copies(draft, model.name)
        if missing and (all_held(draft) or crowded(draft, model.name)):
            load_somewhere(draft, model, last_copies=False, reason="further copy")
    for model in ranked:
        if not draft.holders(model.name):
            load_somewhere(draft, model, last_copies=False, reason="held nowhere")


def all_held(draft: Draft) -> bool:
    """Tell whether every model is held somewhere: before that, room is not for further copies."""
    return all(draft.holders(name) for name in draft.spec.models)


def crowded(draft: Draft, model: str) -> bool:
    """Tell whether a model has too little of its engines' time wherever it is held.

    Load pattern: two models become busy on one engine, as demand moves, while the others rest on
    copies of models that nobody asks for. No further copy is called for while one is coming.
    """
    holders = draft.holders(model)
    if not holders or len(holders) > len(draft.ready(model)):
        return False
    if min(engine.ahead for engine in holders) >= CROWDED_TOKENS:
        return True
    return min(load_of(draft, engine) for engine in holders) >= CROWDED_LOAD


def load_of(draft: Draft, engine: EngineView) -> float:
    """Return the engine seconds a second asked of an engine, each model's over all copies."""
    names = engine.models.keys() - engine.dropping
    return sum(current_of(draft, name) / max(1, len(draft.holders(name))) for name in names)


def model_demand(draft: Draft, model: str) -> Demand:
    """Return the demand for a model with all its adapters."""
    return draft.by_model.get(model, NONE)


def sum_by_model(demand: Mapping[str, Demand]) -> dict[str, Demand]:
    """Return the demand for each model, its adapters' included."""
    found: dict[str, Demand] = {}
    for item, row in demand.items():
        model = item.partition("/")[0]
        old = found.get(model, Demand(0, 0.0, 0.0))
        found[model] = Demand(
            old.waiting + row.waiting, old.rate + row.rate, old.current + row.current
        )
    return found


def current_of(draft: Draft, model: str) -> float:
    """Return the engine seconds a second asked of a model now."""
    return model_demand(draft, model).current


def rate_of(draft: Draft, model: str) -> float:
    """Return the engine seconds a second asked of a model, at its peak of late."""
    return model_demand(draft, model).rate


def wanted_copies(draft: Draft, model: str) -> int:
    """Return how many copies a model should have, by its demand and by its adapters' places."""
    rate = current_of(draft, model)
    if rate < SPARE_COPY_DEMAND:
        return 1
    adapters = sum(
        1
        for item, found in draft.demand.items()
        if item.startswith(f"{model}/") and found.current > ADAPTER_DEMAND
    )
    by_places = -(-adapters // max(1, draft.spec.adapter_places))
    return max(2, 1 + int(rate / COPY_DEMAND), by_places)


def load_somewhere(
    draft: Draft, model: Model, last_copies: bool, reason: str, evict: bool = True
) -> None:
    """Order a load on the best engine, or an unload that makes room for it.

    ``last_copies`` tells whether the last copy of a model that nobody waits for may go, ``evict``
    whether any copy may.
    """
    options = []
    for engine in open_engines(draft, model.name):
        victims = find_victims(draft, engine, model, last_copies)
        if victims is None or (victims and not evict):
            continue
        options.append(
            (load_seconds(engine, model), cost_of(draft, engine, victims), engine, victims)
        )
    if not options:
        return
    seconds, _, engine, victims = min(
        options,
        key=lambda row: (row[1] > 0, row[0] + row[1] + pressure_on(draft, row[2]), row[2].key),
    )
    if victims:
        reason = f"for {model.name}"
        draft.add(Step(engine.key, Action.UNLOAD, victims[0], "", reason, model.name))
        return
    if seconds >= model.load:
        if draft.loads_left <= 0:
            return
        draft.loads_left -= 1
    draft.add(Step(engine.key, Action.LOAD, model.name, "", reason))


def pressure_on(draft: Draft, engine: EngineView) -> float:
    """Return the seconds that a request would wait on an engine, about."""
    return engine.ahead * TOKEN_SECONDS + load_of(draft, engine) * LOAD_SECONDS


def open_engines(draft: Draft, model: str) -> list[EngineView]:
    """Return the engines that may load a model or make room for it now."""
    if model in draft.promised.values():
        rows = [engine for key, engine in draft.engines.items() if draft.promised.get(key) == model]
    else:
        rows = [engine for key, engine in draft.engines.items() if key not in draft.promised]
    return [
        e
        for e in rows
        if not (e.busy or e.key in draft.taken or model in e.models)
        and (not e.dropping or draft.promised.get(e.key) == model)
    ]


def load_seconds(engine: EngineView, model: Model) -> float:
    """Return how long an engine takes to load a model."""
    if model.name in engine.in_memory:
        return model.from_memory
    return model.from_disk if model.name in engine.on_disk else model.load


def room_on(draft: Draft, engine: EngineView) -> float:
    """Return the megabytes left for models; room for every adapter place is always kept.

    An adapter's load then never needs a look at the models, and one on its way that nobody knows
    of can't overfill the engine.
    """
    models = draft.spec.models
    largest = max((model.adapter_mb for model in models.values()), default=0.0)
    staying = engine.models.keys() - engine.dropping
    held = sum(models[name].weights_mb for name in staying if name in models)
    return draft.spec.weights_mb - draft.spec.adapter_places * largest - held


def find_victims(
    draft: Draft, engine: EngineView, model: Model, last_copies: bool
) -> Sequence[str] | None:
    """Return the models to unload so that another fits, least wanted first; None if none may go."""
    missing = model.weights_mb - room_on(draft, engine)
    if missing <= 0:
        return ()
    if engine.dropping:
        return None
    victims = []
    allowed = [n for n in engine.models if may_go(draft, engine, n, model.name, last_copies)]
    for name in sorted(allowed, key=lambda name: value_of(draft, engine, name)):
        spec = draft.spec.models.get(name)
        victims.append(name)
        missing -= spec.weights_mb if spec else 0.0
        if missing <= 0:
            return victims
    return None


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


def in_use(draft: Draft, model: str) -> bool:
    """Tell whether requests for a model are likely to run now."""
    return current_of(draft, model) >= IDLE_DEMAND


def outweighs(draft: Draft, wanted: str, name: str) -> bool:
    """Tell whether a model in use may lose a copy to another that requests wait for."""
    if len(draft.holders(name)) > 1:
        return True
    return current_of(draft, wanted) > OUTWEIGHS * current_of(draft, name)


def kept_copies(draft: Draft, model: str) -> int:
    """Return how many copies of a model stay while nothing waits for their room.

    Failure guarded against: in the first second of traffic a busy model has not been asked for yet,
    its copies go for models that nobody asks for, and it is gone for seven seconds. Until some
    seconds of demand are known, the platform's own placement tells what will be busy: models that
    it has put on several engines keep two copies.
    """
    wanted = wanted_copies(draft, model)
    return wanted if draft.settled else max(wanted, UNTOUCHED_COPIES)


def value_of(draft: Draft, engine: EngineView, name: str) -> float:
    """Return what a copy is worth: its demand, shared by all copies, and being the last one."""
    copies = len(draft.holders(name))
    last = WARM_COPY_WORTH if engine.at_hand(name) else LAST_COPY_WORTH
    found = model_demand(draft, name)
    kept = found.current + REMEMBERED_SHARE * found.rate
    used = USED_COPY_WORTH if in_use(draft, name) else 0.0
    return kept / max(1, copies) + used + (last if copies < 2 else 0.0)


def cost_of(draft: Draft, engine: EngineView, victims: Sequence[str]) -> float:
    """Return what making room costs, to be weighed against seconds of loading."""
    return sum(0.1 + 10.0 * value_of(draft, engine, name) for name in victims)


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
                if count_adapters(engine) < draft.spec.adapter_places - KEPT_PLACES
            ]
            if not free:
                break
            engine = min(free, key=lambda e: (count_adapters(e), e.key))
            draft.add(Step(engine.key, Action.LOAD, model.name, adapter, "free place"))


def held_ready(draft: Draft, model: str, adapter: str) -> bool:
    """Tell whether some engine can serve an adapter."""
    return any(adapter in engine.models[model] for engine in draft.ready(model))


def open_bases(draft: Draft, model: str) -> list[EngineView]:
    """Return the engines that hold a model and take an order for one of its adapters now."""
    rows = draft.ready(model)
    return [e for e in rows if not (e.busy or e.dropping or e.key in draft.taken)]


def place_adapter(draft: Draft, model: str, adapter: str) -> None:
    """Order an adapter's load where a place is free, or the unload that frees one."""
    bases = open_bases(draft, model)
    if not bases:
        return
    places = draft.spec.adapter_places
    engine = min(bases, key=lambda e: (count_adapters(e) >= places, e.ahead, e.key))
    if count_adapters(engine) < places:
        draft.add(Step(engine.key, Action.LOAD, model, adapter, "asked for"))
        return
    victim = least_wanted_adapter(draft, engine)
    if victim is not None and not engine.freeing:
        draft.add(Step(engine.key, Action.UNLOAD, *victim, f"for {model}/{adapter}"))


def count_adapters(engine: EngineView) -> int:
    """Return how many adapter places are taken."""
    return sum(len(adapters) for adapters in engine.models.values())


def least_wanted_adapter(draft: Draft, engine: EngineView) -> tuple[str, str] | None:
    """Return the adapter on an engine that is asked for least and not waited for."""
    held = [(model, name) for model, names in engine.models.items() for name in names]
    idle = [row for row in held if not draft.asked("/".join(row)).waiting]
    return min(idle, key=lambda row: adapter_worth(draft, row), default=None)


def adapter_worth(draft: Draft, row: tuple[str, str]) -> tuple[float, float, tuple[str, str]]:
    """Return what to rank adapters by: one that was asked for long ago has no requests any more.

    An adapter in use goes only when its requests have ended, and keeps its place until then.
    """
    found = draft.asked("/".join(row))
    return found.current, found.rate, row
