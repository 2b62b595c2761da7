"""What hosts tell each other: who lives, work on endpoints, what is waited for, orders given."""

import asyncio
from collections.abc import Callable, Collection, Mapping

from peridotdock.board import Board, Slot
from peridotdock.context import Context
from peridotdock.decisions.placing import Demand
from peridotdock.demand import Demand as DemandMeter
from peridotdock.fleet import pack, unpack
from peridotdock.membership import Membership
from peridotdock.mesh import Mesh
from peridotdock.relay.book import EndpointBook, PeerLoad
from peridotdock.relay.settings import HostSettings
from peridotdock.rendezvous import choose
from peridotdock.schema.messages import (
    DemandFact,
    EngineNews,
    HostFact,
    OrdersFact,
    WantsFact,
    WorkFact,
)

# Seconds after which another host's word on demand no longer counts.
DEMAND_SECONDS = 6.0
# Seconds for which a peak of demand is held: a rare model is asked for every ten seconds or so, and
# its copy should last through several such gaps.
PEAK_SECONDS = 30.0
# Least change of a demand that is told, as a share of what was told last.
DEMAND_STEP = 0.25


class Peers:
    """This host's links to the others."""

    def __init__(self, ctx: Context, settings: HostSettings, book: EndpointBook, give_body):
        self._ctx = ctx
        self._settings = settings
        self._book = book
        self.board = Board(settings.host, ctx.epoch, ctx.clock)
        self.mesh = Mesh(ctx, self.board, give_body, self._choose_hub)
        own = HostFact(
            settings.host,
            ctx.incarnation,
            settings.domain,
            str(settings.listen.callers),
            str(settings.listen.peers),
            "starting",
            0,
        )
        self.membership = Membership(self.board, own, ctx.clock)
        self.meter = DemandMeter(PEAK_SECONDS)
        self.waiting: dict[str, int] = {}
        self.wanted = asyncio.Event()
        self._told_loads: dict[str, tuple[float, ...]] = {}
        self.on_resigned: Callable[[int, float], None] = lambda term, quiet: None
        self.on_term: Callable[[int], None] = lambda term: None
        self.board.listen(self._changed)

    async def start(self) -> None:
        """Open the links."""
        await self.mesh.start()
        self.membership.become("starting")
        self.link()

    def link(self) -> None:
        """Link to the hub, and to the seeds while no host is linked.

        All hosts link to one, which passes facts on: two frames a host and turn in place of one to
        and from every other. With nine hosts that halves the frames, with 83 it is a fortieth.
        """
        members = self.membership.members()
        found = {n: m.fact.peer for n, m in members.items() if m.fact.state != "gone"}
        found.pop(self._settings.host, None)
        self.mesh.connect_to(found)
        for seed in self._settings.seeds:
            self.meet(str(seed))
        if self._hub(found) in self.mesh.peers():
            self.mesh.keep_only(self._hub(found))

    def meet(self, address: str) -> None:
        """Link to the host at an address, unless a live host is known there.

        Failure guarded against: hosts that start together find different seeds, and groups of them
        with a hub each never hear of each other. They show as several hubs; each group but one sees
        no host that orders engines. So seeds that nobody has heard of are tried again, and a host
        that hears of no holder of the lease meets the one whose address is in the lease's row.
        """
        rows = self.membership.members().values()
        if not any(row.alive and row.fact.peer == address for row in rows):
            self.mesh.connect_to_seed(address)

    def _hub(self, others: Collection[str]) -> str:
        """Return the host that all others link to, as seen from here."""
        members = self.membership.members()
        able = [
            name
            for name in others
            if name in members and members[name].alive and not self.mesh.failed_lately(name)
        ]
        return choose("leader", [*able, self._settings.host])[0]

    def _choose_hub(self, others: Mapping[str, str]) -> list[str]:
        """Return the hosts to link to: the hub, or for the hub one that nobody hears any more.

        Failure guarded against: links between two groups of hosts fail for a while, each group
        goes on with a hub of its own, and they never find each other again.
        """
        hub = self._hub(others)
        if hub != self._settings.host:
            return [hub]
        members, linked = self.membership.members(), self.mesh.peers()
        lost = [name for name in others if name not in linked and not members[name].alive]
        return [self._ctx.rng.choice(lost)] if lost else []

    def _changed(self, slots: list[Slot]) -> None:
        for origin, topic in slots:
            known = self.board.get(origin, topic)
            if known is None:
                continue
            if topic == "links" and origin == self._settings.host:
                self.link()
            if topic == "wants":
                self.wanted.set()
            elif topic == "orders":
                self._take_orders()
            elif topic == "work" and origin != self._settings.host:
                self._take_work(origin, known.fact, known.at)

    def _take_work(self, origin: str, fact: WorkFact, at: float) -> None:
        running, tokens = unpack("H", fact.running), unpack("I", fact.tokens)
        rows = zip(fact.endpoints, running, tokens, strict=True)
        self._book.take_peer(origin, {name: PeerLoad(r, t, at) for name, r, t in rows})

    def _take_orders(self) -> None:
        facts = [known.fact for known in self.board.on("orders").values()]
        newest = max(facts, key=lambda fact: max(fact.term, fact.resigned))
        self._book.take_news(newest.engines)
        self.on_term(newest.term)
        if newest.resigned:
            self.on_resigned(newest.resigned, newest.quiet)

    def has_leader(self) -> bool:
        """Tell whether a live host that this one hears says that it orders engines."""
        live, heard_of = self.membership.members(), self._heard_of()
        for origin, known in self.board.on("orders").items():
            member = live.get(origin)
            heard = member is not None and member.alive and origin in heard_of
            if known.fact.term and (heard or origin == self._settings.host):
                return True
        return False

    def _heard_of(self) -> set[str]:
        """Return the hosts that this one or a host that it is linked to has a link with.

        A lost link shows at once, a missing heartbeat after four seconds.
        """
        found = self.mesh.peers()
        for peer in list(found):
            known = self.board.get(peer, "links")
            if known is not None:
                found.update(known.fact.peers)
        return found

    # What this host tells

    def tell_work(self) -> None:
        """Tell what this host has on endpoints, when that has changed."""
        rows = [
            (key, len(state.flights), state.ahead)
            for key, state in self._book.states.items()
            if state.flights
        ]
        fact = WorkFact(
            [row[0] for row in rows],
            pack("H", (row[1] for row in rows)),
            pack("I", (row[2] for row in rows)),
        )
        self._tell("work", fact)

    def tell_wants(self) -> None:
        """Tell what requests on this host wait for."""
        now = self._ctx.clock.monotonic()
        down = [key for key, state in self._book.states.items() if state.health.closed(now)]
        self._tell("wants", WantsFact(dict(self.waiting), down))

    def down(self) -> set[str]:
        """Return the endpoints that live hosts could not connect to."""
        live = self.membership.members()
        rows = self.board.on("wants").items()
        return {key for name, row in rows if name in live for key in row.fact.down}

    def tell_demand(self) -> None:
        """Tell what callers ask of this host, when it has changed much."""
        now = self._ctx.clock.monotonic()
        rates, recent = self.meter.rates(now), self.meter.recent(now)
        known = self.board.get(self._settings.host, "demand")
        if known is None or differs(known.fact.recent, recent):
            self.board.publish("demand", DemandFact(rates, {}, [], recent))

    def tell_orders(
        self, term: int, news: list[EngineNews], loads: dict[str, tuple[float, ...]]
    ) -> None:
        """Tell what this host's orders changed, and which loads it has begun."""
        known = self.board.get(self._settings.host, "orders")
        if known and (known.fact.term, known.fact.engines, self._told_loads) == (term, news, loads):
            return
        self._told_loads = loads
        now = self._ctx.clock.monotonic()
        ages = {name: [round(now - at, 2) for at in begun] for name, begun in loads.items()}
        self.board.publish("orders", OrdersFact(term, news, loads=ages))

    def heard_loads(self, term: int) -> dict[str, list[float]] | None:
        """Return how old the loads are that the holder of a term told of, None if it told none."""
        now = self._ctx.clock.monotonic()
        for known in self.board.on("orders").values():
            if term in (known.fact.term, known.fact.resigned):
                past = now - known.at
                return {
                    name: [age + past for age in ages] for name, ages in known.fact.loads.items()
                }
        return None

    def tell_resigned(self, term: int, quiet: float) -> None:
        """Tell that this host gives no more orders under ``term``, and how old its last one is."""
        known = self.board.get(self._settings.host, "orders")
        if known is None or known.fact.resigned != term:
            loads = self.heard_loads(term) or {}
            self.board.publish("orders", OrdersFact(0, [], term, quiet, loads))

    def _tell(self, topic: str, fact) -> None:
        known = self.board.get(self._settings.host, topic)
        if known is None or known.fact != fact:
            self.board.publish(topic, fact)

    def demand(self) -> dict[str, Demand]:
        """Return what is asked of each item over all live hosts."""
        live = self.membership.members()
        waiting: dict[str, int] = {}
        rates: dict[str, float] = {}
        recent: dict[str, float] = {}
        for origin, known in self.board.on("wants").items():
            if origin in live and live[origin].alive:
                for item, count in known.fact.items.items():
                    waiting[item] = waiting.get(item, 0) + count
        for origin, known in self.board.on("demand").items():
            if origin in live and live[origin].alive:
                add_up(rates, known.fact.rates)
                add_up(recent, known.fact.recent)
        return {
            item: Demand(waiting.get(item, 0), rates.get(item, 0.0), recent.get(item, 0.0))
            for item in waiting | rates
        }


def add_up(total: dict[str, float], more: dict[str, float]) -> None:
    """Add one host's rates to the total of all."""
    for item, rate in more.items():
        total[item] = total.get(item, 0.0) + rate


def differs(old: dict[str, float], new: dict[str, float]) -> bool:
    """Tell whether a demand has changed enough to be told again."""
    for item in old.keys() | new.keys():
        before, after = old.get(item, 0.0), new.get(item, 0.0)
        if abs(after - before) > DEMAND_STEP * max(before, after, 0.01):
            return True
    return False
