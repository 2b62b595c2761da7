"""Placement: which loads and unloads to do next. Pure functions over frozen views.

The floor goes first: each model and adapter has its copies, in different failure domains where
that can be. What memory is left goes where it takes most queueing away, if that is worth more
than the deployment's price of a move. An extra copy is not removed for being idle, only to make
room for something better, since each needless unload is a move that may have to be undone.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from peridotdock.items import Item, name_of
from peridotdock.ledger import COPY_STATES, State
from peridotdock.manifest import Accepted

BUSY = 0.9
HOT_ENGINES = 8
HOT_ITEMS = 6
COOL_ENGINES = 8
MAX_GROWTH_PER_PLAN = 2


@dataclass(frozen=True)
class Copy:
    """One reservation, as the planner sees it."""

    item: str
    state: State
    bytes: int
    places: tuple[int, ...]


@dataclass(frozen=True)
class EngineView:
    """One engine: its accelerators' bytes, its reservations, and whether it can be used."""

    name: str
    domain: str
    capacity: tuple[int, ...]
    alive: bool
    copies: tuple[Copy, ...] = ()


@dataclass(frozen=True)
class Move:
    """A load or unload of an item on an endpoint, and why it is worth it."""

    action: str
    endpoint: str
    item: str
    places: tuple[int, ...] = ()
    reason: str = ""


@dataclass(frozen=True)
class Plan:
    """What to do next, most urgent first; ``unmet`` names items below their floor."""

    moves: tuple[Move, ...]
    unmet: tuple[str, ...] = ()


@dataclass
class Draft:
    """The state that a plan is worked out on: free bytes and copies after the moves so far."""

    accepted: Accepted
    engines: dict[str, EngineView]
    free: dict[str, list[int]]
    copies: dict[str, dict[str, Copy]]
    moves: list[Move] = field(default_factory=list)
    loading: int = 0

    def holders(self, item: str, states: frozenset[State] = COPY_STATES) -> list[str]:
        """Return the live engines with a copy of ``item`` in one of ``states``."""
        found = self.copies.get(item, {})
        return [n for n, copy in found.items() if copy.state in states and self.engines[n].alive]

    def load(self, item: Item, engine: str, places: tuple[int, ...], reason: str) -> None:
        """Add a load to the plan."""
        self.copies.setdefault(item.key, {})[engine] = Copy(
            item.key, State.LOADING, item.bytes, places
        )
        for place in places:
            self.free[engine][place] -= item.bytes
        self.loading += 1
        self.moves.append(Move("load", engine, item.key, places, reason))

    def unload(self, item: str, engine: str, reason: str) -> None:
        """Add an unload to the plan; its bytes are not free before it is done."""
        copy = self.copies[item][engine]
        self.copies[item][engine] = Copy(item, State.UNLOADING, copy.bytes, copy.places)
        self.moves.append(Move("unload", engine, item, copy.places, reason))


def make_draft(accepted: Accepted, engines: Iterable[EngineView]) -> Draft:
    """Return the draft of a plan in which nothing is moved yet."""
    by_name = {engine.name: engine for engine in engines}
    free = {name: list(engine.capacity) for name, engine in by_name.items()}
    copies: dict[str, dict[str, Copy]] = {}
    loading = 0
    for name, engine in by_name.items():
        for copy in engine.copies:
            copies.setdefault(copy.item, {})[name] = copy
            loading += engine.alive and copy.state is State.LOADING
            for place in copy.places:
                if place < len(free[name]):
                    free[name][place] -= copy.bytes
    return Draft(accepted, by_name, free, copies, loading=loading)


def make_plan(
    accepted: Accepted,
    engines: Iterable[EngineView],
    demand: Mapping[str, float],
    grow: bool = True,
) -> Plan:
    """Return what to do next."""
    draft = make_draft(accepted, engines)
    unmet = fill_floor(draft, demand)
    retire(draft)
    if grow and not unmet:
        grow_copies(draft, demand)
    return Plan(tuple(draft.moves), tuple(unmet))


def fill_floor(draft: Draft, demand: Mapping[str, float]) -> list[str]:
    """Load what is below its floor, lost and wanted items first; return what stays below."""
    unmet = []
    for item in sorted(draft.accepted.items.values(), key=lambda i: floor_rank(i, demand)):
        short = item.copies - len(find_copies(draft, item))
        if short > 0:
            unmet.append(item.key)
            fill_one(draft, item, demand)
    return unmet


def floor_rank(item: Item, demand: Mapping[str, float]) -> tuple[bool, float, int, str]:
    """Order the floor: bases before adapters, wanted ones first, large ones first."""
    return item.is_adapter, -demand.get(item.key, 0.0), -item.bytes * item.span, item.key


def find_copies(draft: Draft, item: Item) -> list[str]:
    """Return the live engines that have the item, for an adapter with its base beside it."""
    holders = draft.holders(item.key)
    if not item.is_adapter:
        return holders
    return [name for name in holders if name in draft.holders(item.base)]


def fill_one(draft: Draft, item: Item, demand: Mapping[str, float]) -> None:
    """Load one copy of an item, or make room for one."""
    if draft.loading >= draft.accepted.manifest.deployment.parallel_loads:
        return
    spot = find_spot(draft, item)
    if spot is not None:
        draft.load(item, *spot, "floor")
        return
    make_room(draft, item, demand)


def find_spot(draft: Draft, item: Item) -> tuple[str, tuple[int, ...]] | None:
    """Return the best engine and accelerators with room for an item, or None."""
    best = None
    taken = {draft.engines[name].domain for name in find_copies(draft, item)}
    for name in allowed_engines(draft, item):
        places = find_places(draft.free[name], item, base_places(draft, item, name))
        if places is None:
            continue
        left = sum(draft.free[name]) - item.bytes * item.span
        rank = (draft.engines[name].domain not in taken, left, name)
        if best is None or rank > best[0]:
            best = (rank, name, places)
    return (best[1], best[2]) if best else None


def allowed_engines(draft: Draft, item: Item) -> list[str]:
    """Return the live engines that could take the item: an adapter goes where its base is."""
    names = draft.holders(item.base) if item.is_adapter else list(draft.engines)
    present = draft.copies.get(item.key, {})
    return [name for name in names if draft.engines[name].alive and name not in present]


def base_places(draft: Draft, item: Item, engine: str) -> tuple[int, ...] | None:
    """Return the accelerators an adapter must take, which are those of its base."""
    return draft.copies[item.base][engine].places if item.is_adapter else None


def find_places(
    free: Sequence[int], item: Item, wanted: tuple[int, ...] | None
) -> tuple[int, ...] | None:
    """Return accelerators with room: the wanted ones, or those with most free."""
    if wanted is not None:
        return wanted if all(free[place] >= item.bytes for place in wanted) else None
    order = sorted(range(len(free)), key=lambda place: free[place], reverse=True)[: item.span]
    if len(order) < item.span or free[order[-1]] < item.bytes:
        return None
    return tuple(sorted(order))


def make_room(draft: Draft, item: Item, demand: Mapping[str, float]) -> bool:
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


def find_victims(
    draft: Draft, item: Item, engine: str, demand: Mapping[str, float]
) -> list[str] | None:
    """Return extra copies whose unloading makes room on an engine; none when room is coming."""
    free = list(draft.free[engine])
    wanted = base_places(draft, item, engine)
    coming = [c for copies in draft.copies.values() if (c := copies.get(engine))]
    for copy in coming:
        if copy.state not in COPY_STATES:
            add_back(free, copy)
    victims: list[str] = []
    extras = [c for c in coming if c.state is State.HELD and is_extra(draft, c.item, engine)]
    extras = [c for c in extras if c.item != item.base]
    for copy in sorted(extras, key=lambda c: (demand.get(c.item, 0.0), c.bytes)):
        if find_places(free, item, wanted) is not None:
            break
        add_back(free, copy)
        victims.append(copy.item)
    return victims if find_places(free, item, wanted) is not None else None


def add_back(free: list[int], copy: Copy) -> None:
    """Count a copy's bytes as free."""
    for place in copy.places:
        if place < len(free):
            free[place] += copy.bytes


def is_extra(draft: Draft, key: str, engine: str) -> bool:
    """Tell whether a copy can go: enough others are ready, and no adapter needs it as its base."""
    item = draft.accepted.by_key.get(key)
    if item is None:
        return False
    others = [n for n in draft.holders(key, frozenset({State.HELD})) if n != engine]
    if len(others) < item.copies:
        return False
    return all(
        len([n for n in find_copies(draft, adapter) if n != engine]) >= adapter.copies
        for adapter in draft.accepted.items.values()
        if adapter.base == key and engine in draft.copies.get(adapter.key, {})
    )


def retire(draft: Draft) -> None:
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
