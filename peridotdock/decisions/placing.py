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

# Engine seconds asked for in a second, from which a model should survive the loss of an engine:
# below a hundredth, a lost copy costs less than the load of the second.
SPARE_COPY_DEMAND = 0.01
# Engine seconds a second that one copy serves before a further one is worth a load. An engine
# reads prompts at most of the time when it is full; half leaves room for a burst of twice that.
COPY_DEMAND = 0.45


@dataclass(frozen=True, slots=True)
class EngineView:
    """One engine as the host that orders it knows it.

    ``models`` are those that take up memory, with their adapters; of them, ``loading`` ones can't
    serve yet and ``dropping`` ones no more. ``busy`` engines take no order for a model now.
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


@dataclass(frozen=True, slots=True)
class Demand:
    """What is asked of one item: requests that wait for it now, and engine seconds a second."""

    waiting: int = 0
    rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Step:
    """One order to give next."""

    engine: str
    action: Action
    model: str
    adapter: str = ""
    reason: str = ""


NONE = Demand()


@dataclass
class Draft:
    """The plan while it is made. ``taken`` engines have a step already: each plan gives one."""

    spec: EngineSpec
    engines: dict[str, EngineView]
    demand: Mapping[str, Demand]
    loads_left: int
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
    held_back: Iterable[str] = (),
) -> list[Step]:
    """Return the orders to give next, one an engine at most.

    ``loads_left`` loads from the store may begin now. ``held_back`` engines get no order.
    """
    rows = {engine.key: engine for engine in engines}
    draft = Draft(spec, rows, demand, loads_left, taken=set(held_back))
    place_adapters(draft)
    place_models(draft)
    return draft.steps


def place_models(draft: Draft) -> None:
    """Load what nobody holds and is asked for, then spare and further copies."""
    ranked = sorted(
        draft.spec.models.values(),
        key=lambda model: (-model_demand(draft, model.name).waiting, -rate_of(draft, model.name)),
    )
    for model in ranked:
        found = model_demand(draft, model.name)
        if not draft.holders(model.name) and (found.waiting or found.rate > 0):
            load_somewhere(draft, model, last_copies=found.waiting > 0, reason="asked for")
    for model in ranked:
        if not draft.holders(model.name):
            load_somewhere(draft, model, last_copies=False, reason="held nowhere")
    for model in ranked:
        if len(draft.holders(model.name)) < wanted_copies(draft, model.name):
            load_somewhere(draft, model, last_copies=False, reason="further copy")


def model_demand(draft: Draft, model: str) -> Demand:
    """Return the demand for a model with all its adapters."""
    waiting, rate = 0, 0.0
    for item, found in draft.demand.items():
        if item.partition("/")[0] == model:
            waiting += found.waiting
            rate += found.rate
    return Demand(waiting, rate)


def rate_of(draft: Draft, model: str) -> float:
    """Return the engine seconds a second asked of a model."""
    return model_demand(draft, model).rate


def wanted_copies(draft: Draft, model: str) -> int:
    """Return how many copies a model should have, by its demand and by its adapters' places."""
    rate = rate_of(draft, model)
    if rate < SPARE_COPY_DEMAND:
        return 1
    adapters = sum(1 for item in draft.demand if item.startswith(f"{model}/"))
    by_places = -(-adapters // max(1, draft.spec.adapter_places))
    return max(2, 1 + int(rate / COPY_DEMAND), by_places)


def load_somewhere(draft: Draft, model: Model, last_copies: bool, reason: str) -> None:
    """Order a load on the best engine, or an unload that makes room for it.

    ``last_copies`` tells whether the last copy of a model that is not asked for now may go.
    """
    options = []
    for engine in draft.engines.values():
        if engine.busy or engine.key in draft.taken or model.name in engine.models:
            continue
        victims = find_victims(draft, engine, model, last_copies)
        if victims is None:
            continue
        options.append((load_seconds(engine, model), cost_of(draft, victims), engine, victims))
    if not options:
        return
    seconds, _, engine, victims = min(
        options, key=lambda row: (row[1] > 0, row[0] + row[1], row[2].ahead, row[2].key)
    )
    if victims:
        draft.add(Step(engine.key, Action.UNLOAD, victims[0], "", f"for {model.name}"))
        return
    if seconds >= model.load:
        if draft.loads_left <= 0:
            return
        draft.loads_left -= 1
    draft.add(Step(engine.key, Action.LOAD, model.name, "", reason))


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
    held = sum(models[name].weights_mb for name in engine.models if name in models)
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
    allowed = [name for name in engine.models if may_go(draft, name, model.name, last_copies)]
    for name in sorted(allowed, key=lambda name: value_of(draft, name)):
        spec = draft.spec.models.get(name)
        victims.append(name)
        missing -= spec.weights_mb if spec else 0.0
        if missing <= 0:
            return victims
    return None


def may_go(draft: Draft, name: str, wanted: str, last_copies: bool) -> bool:
    """Tell whether a copy may make room: it is not waited for, and not needed where it is."""
    found = model_demand(draft, name)
    copies = len(draft.holders(name))
    if copies > 1:
        spare = copies > wanted_copies(draft, name)
        return spare or rate_of(draft, name) < rate_of(draft, wanted) / 2 or last_copies
    return last_copies and not found.waiting


def value_of(draft: Draft, name: str) -> float:
    """Return what a copy is worth: its demand, shared by all copies; last copies come last."""
    copies = len(draft.holders(name))
    return rate_of(draft, name) / max(1, copies) + (1.0 if copies < 2 else 0.0)


def cost_of(draft: Draft, victims: Sequence[str]) -> float:
    """Return what making room costs, to be weighed against seconds of loading."""
    return sum(0.1 + 10.0 * value_of(draft, name) for name in victims)


def place_adapters(draft: Draft) -> None:
    """Load the adapters that are asked for, on an engine that holds their model."""
    for item, found in sorted(draft.demand.items(), key=lambda row: -row[1].waiting):
        model, _, adapter = item.partition("/")
        if not adapter or not found.waiting:
            continue
        bases = draft.ready(model)
        if any(adapter in engine.models[model] for engine in bases):
            continue
        place_adapter(draft, [e for e in bases if e.key not in draft.taken], model, adapter)


def place_adapter(draft: Draft, bases: Sequence[EngineView], model: str, adapter: str) -> None:
    """Order an adapter's load where a place is free, or the unload that frees one."""
    if not bases:
        return
    places = draft.spec.adapter_places
    engine = min(bases, key=lambda e: (count_adapters(e) >= places, e.ahead, e.key))
    if count_adapters(engine) < places:
        draft.add(Step(engine.key, Action.LOAD, model, adapter, "asked for"))
        return
    victim = least_wanted_adapter(draft, engine)
    if victim is not None:
        draft.add(Step(engine.key, Action.UNLOAD, *victim, f"for {model}/{adapter}"))


def count_adapters(engine: EngineView) -> int:
    """Return how many adapter places are taken."""
    return sum(len(adapters) for adapters in engine.models.values())


def least_wanted_adapter(draft: Draft, engine: EngineView) -> tuple[str, str] | None:
    """Return the adapter on an engine that is asked for least and not waited for."""
    held = [(model, name) for model, names in engine.models.items() for name in names]
    idle = [row for row in held if not draft.asked("/".join(row)).waiting]
    return min(idle, key=lambda row: (draft.asked("/".join(row)).rate, row), default=None)
