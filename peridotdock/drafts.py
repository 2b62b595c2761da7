"""The draft of a plan: the engines' state, free memory, and where an item could be loaded."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from peridotdock.items import Item
from peridotdock.ledger import COPY_STATES, State
from peridotdock.manifest import Accepted


@dataclass(frozen=True)
class Copy:
    """One reservation in the planner's view; ``bytes`` count on each of ``accelerators``."""

    item: str
    state: State
    bytes: int
    accelerators: tuple[int, ...]


@dataclass(frozen=True)
class EngineView:
    """One engine: bytes of each accelerator, reservations, and whether it can be used."""

    name: str
    domain: str
    capacity: tuple[int, ...]
    alive: bool
    copies: tuple[Copy, ...] = ()


@dataclass(frozen=True)
class Move:
    """A load or unload of an item on an endpoint, with its reason."""

    action: str
    endpoint: str
    item: str
    places: tuple[int, ...] = ()
    reason: str = ""


@dataclass(frozen=True)
class Plan:
    """The next moves, most urgent first; ``unmet`` names items below their floor."""

    moves: tuple[Move, ...]
    unmet: tuple[str, ...] = ()


@dataclass
class Draft:
    """The state in which a plan is computed: free bytes and copies after the moves so far.

    ``free`` has the bytes of each accelerator by engine, ``copies`` the copies by item key and
    engine, and ``loading`` counts the loads in progress on live engines.
    """

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

    def load(self, item: Item, engine: str, accelerators: tuple[int, ...], reason: str) -> None:
        """Add a load to the plan."""
        self.copies.setdefault(item.key, {})[engine] = Copy(
            item.key, State.LOADING, item.bytes, accelerators
        )
        for index in accelerators:
            self.free[engine][index] -= item.bytes
        self.loading += 1
        self.moves.append(Move("load", engine, item.key, accelerators, reason))

    def unload(self, item: str, engine: str, reason: str) -> None:
        """Add an unload to the plan; its bytes stay reserved until it is done."""
        copy = self.copies[item][engine]
        self.copies[item][engine] = Copy(item, State.UNLOADING, copy.bytes, copy.accelerators)
        self.moves.append(Move("unload", engine, item, copy.accelerators, reason))


def make_draft(accepted: Accepted, engines: Iterable[EngineView]) -> Draft:
    """Return a draft without moves."""
    by_name = {engine.name: engine for engine in engines}
    free = {name: list(engine.capacity) for name, engine in by_name.items()}
    copies: dict[str, dict[str, Copy]] = {}
    loading = 0
    for name, engine in by_name.items():
        for copy in engine.copies:
            copies.setdefault(copy.item, {})[name] = copy
            loading += engine.alive and copy.state is State.LOADING
            for index in copy.accelerators:
                if index < len(free[name]):
                    free[name][index] -= copy.bytes
    return Draft(accepted, by_name, free, copies, loading=loading)


def find_copies(draft: Draft, item: Item) -> list[str]:
    """Return the live engines that have the item and, for an adapter, also its base."""
    holders = draft.holders(item.key)
    if not item.is_adapter:
        return holders
    return [name for name in holders if name in draft.holders(item.base)]


def allowed_engines(draft: Draft, item: Item) -> list[str]:
    """Return the live engines that could load the item: for an adapter, those with its base."""
    names = draft.holders(item.base) if item.is_adapter else list(draft.engines)
    present = draft.copies.get(item.key, {})
    return [name for name in names if draft.engines[name].alive and name not in present]


def base_accelerators(draft: Draft, item: Item, engine: str) -> tuple[int, ...] | None:
    """Return the accelerators of an adapter's base, which it must use; None for a model."""
    return draft.copies[item.base][engine].accelerators if item.is_adapter else None


def find_accelerators(
    free: Sequence[int], item: Item, wanted: tuple[int, ...] | None
) -> tuple[int, ...] | None:
    """Return accelerators with enough free bytes, or None.

    These are the ``wanted`` ones if given, else those with the most free bytes.
    """
    if wanted is not None:
        return wanted if all(free[index] >= item.bytes for index in wanted) else None
    order = sorted(range(len(free)), key=lambda index: free[index], reverse=True)[: item.span]
    if len(order) < item.span or free[order[-1]] < item.bytes:
        return None
    return tuple(sorted(order))


def find_victims(
    draft: Draft, item: Item, engine: str, demand: Mapping[str, float]
) -> list[str] | None:
    """Return the extra copies to unload so that the item fits on an engine, or None.

    The list is empty if it fits once the unloads in progress are done.
    """
    free = list(draft.free[engine])
    wanted = base_accelerators(draft, item, engine)
    on_engine = [c for copies in draft.copies.values() if (c := copies.get(engine))]
    for copy in on_engine:
        if copy.state not in COPY_STATES:
            add_free_bytes(free, copy)
    victims: list[str] = []
    extras = [c for c in on_engine if c.state is State.HELD and is_removable(draft, c.item, engine)]
    extras = [c for c in extras if c.item != item.base]
    for copy in sorted(extras, key=lambda c: (demand.get(c.item, 0.0), c.bytes)):
        if find_accelerators(free, item, wanted) is not None:
            break
        add_free_bytes(free, copy)
        victims.append(copy.item)
    return victims if find_accelerators(free, item, wanted) is not None else None


def add_free_bytes(free: list[int], copy: Copy) -> None:
    """Add a copy's bytes to ``free``, the free bytes of each accelerator."""
    for index in copy.accelerators:
        if index < len(free):
            free[index] += copy.bytes


def is_removable(draft: Draft, key: str, engine: str) -> bool:
    """Tell whether a copy may be unloaded.

    Enough other copies must be ready, and no adapter may need this one as its base.
    """
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
