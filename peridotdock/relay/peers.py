"""Facts that hosts exchange: members, load on endpoints, waiting requests, demand, orders given."""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace
from functools import lru_cache

from peridotdock.context import Context
from peridotdock.decisions.draft import Demand
from peridotdock.decisions.hubs import choose_hub
from peridotdock.demand import Demand as DemandMeter
from peridotdock.fact_table import FactTable, KnownFact, Slot
from peridotdock.links import Link
from peridotdock.membership import Member, Membership
from peridotdock.mesh import Mesh
from peridotdock.relay.aggregation import (
    Work,
    add_load,
    add_runs,
    decode_work,
    demand_changed,
    encode_runs,
    encode_work,
    live_facts,
    subtract_work,
    sum_demand,
)
from peridotdock.relay.endpoint import RemoteLoad
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.leadership import Handover
from peridotdock.relay.reachability import Reachability
from peridotdock.relay.settings import HostSettings
from peridotdock.rendezvous import weigh
from peridotdock.schema.messages import (
    DemandFact,
    EngineNews,
    HostFact,
    LeaseFact,
    OrdersFact,
    WantsFact,
)

# Seconds after which another host's demand no longer counts.
MAX_DEMAND_AGE_SECONDS = 6.0
# Seconds for which a peak of demand is held: a rare model is requested every ten seconds or so, and
# its copy should last through several of these gaps.
DEMAND_PEAK_SECONDS = 30.0
# Topics of facts that go to the hub and are not sent from it to all hosts.
HUB_TOPICS = frozenset({"work", "runs", "wants", "demand", "share_accepted", "heard_words"})
# Those of them that the hub does not forward.
HUB_ONLY_TOPICS = frozenset({"work", "share_accepted", "heard_words"})
# Seconds after which the hub publishes the sum of the loads again, even if unchanged.
LOADS_REPEAT_SECONDS = 1.0
# Seconds after which an unchanged update is published again: half of the time for which it is
# valid.
UPDATE_REPEAT_SECONDS = 2.5
# Seconds after its last offer from which a host does not count as having the role of the hub.
MAX_OFFER_AGE_SECONDS = 1.0
# Maximum number of hosts with a cached weight: more than there are links to a hub.
MAX_CACHED_HASHES = 1000


class Peers:
    """This host's links to the others and the facts exchanged over them."""

    def __init__(self, ctx: Context, settings: HostSettings, fleet: RelayFleet, find_body):
        self._ctx = ctx
        self._settings = settings
        self._fleet = fleet
        self.facts = FactTable(settings.host, ctx.epoch, ctx.clock)
        self.mesh = Mesh(ctx, self.facts, find_body, self._choose_links, self._select_links)
        self._started_at = ctx.clock.monotonic()
        self._lease_holder = ""
        self._linked_hub = ""
        own = HostFact(
            settings.host,
            ctx.incarnation,
            settings.domain,
            str(settings.listen.callers),
            str(settings.listen.peers),
            "starting",
            0,
            int(settings.can_be_hub),
            str(settings.listen.relay or ""),
            streams=True,
        )
        reach = Reachability(
            self.facts,
            ctx.clock,
            settings.host,
            self.mesh.peers,
            self.mesh.last_received,
            self.mesh.incarnation,
        )
        self.membership = Membership(self.facts, own, ctx.clock, reach)
        self.demand_meter = DemandMeter(DEMAND_PEAK_SECONDS)
        self.waiting: dict[str, int] = {}
        self.queued: Callable[[], dict[str, int]] = dict
        self.wants_changed = asyncio.Event()
        self._published_orders: tuple | None = None
        self._published_orders_at = 0.0
        self.on_resigned: Callable[[int, Handover], None] = lambda term, handover: None
        self.on_lease: Callable[[int, int], None] = lambda term, version: None
        self.on_term: Callable[[int], None] = lambda term: None
        self.min_host_count: Callable[[], int] = lambda: 0
        self.facts.listen(self._on_changed)

    async def start(self) -> None:
        """Open the links."""
        await self.mesh.start()
        self.membership.set_state("starting")
        self.link()

    def link(self) -> None:
        """Link to the hub, and to seeds at which no live host is known.

        All hosts link to one hub, which forwards facts, so that the number of frames does not grow
        with the square of the number of hosts.
        """
        members = self.membership.members()
        found = {n: m.fact.peer for n, m in members.items() if m.fact.state != "gone"}
        found.pop(self._settings.host, None)
        self.mesh.connect_to(found)
        for seed in self._settings.seeds:
            self.connect_unless_known(str(seed))
        hub = self._hub()
        if hub != self._linked_hub:
            self._linked_hub = hub
            self.mesh.resend_facts(hub, self._settings.host)
        if hub in self.mesh.peers():
            self.mesh.keep_only(hub)

    def connect_unless_known(self, address: str) -> None:
        """Link to the host at an address, unless a live host is known there.

        Failure guarded against: hosts that start together find different seeds, and groups of them
        with one hub each never learn of each other. They show as several hubs; all groups but one
        have no lease holder. Therefore seeds without a known live host are tried again, and a host
        without a known lease holder links to the one whose address is in the lease's row.
        """
        rows = self.membership.members().values()
        if not any(row.alive and row.fact.peer == address for row in rows):
            self.mesh.connect_to_seed(address)

    def _hub(self) -> str:
        """Return the host that all others link to, as seen from this host."""
        own, members = self._settings.host, self.membership.members()
        passed_over = {own, *self.mesh.failed_hosts()}
        able = [
            name for name, member in members.items() if member.alive and name not in passed_over
        ]
        started_for = self._ctx.clock.monotonic() - self._started_at
        offering = [name for name in able if self._offers(name)]
        return choose_hub(own, able, offering, started_for, lambda name: hub_weight(name, members))

    def _offers(self, name: str) -> bool:
        """Return whether a host has just offered to grant for others, as the hub does."""
        known = self.facts.get(name, "share_offer")
        now = self._ctx.clock.monotonic()
        return known is not None and known.fact.loan > 0 and now - known.at < MAX_OFFER_AGE_SECONDS

    def rank(self, names: Iterable[str]) -> list[str]:
        """Return hosts in the order in which they should hold the lease and forward facts.

        All hosts that see the same members compute the same order. Hosts with a slow link or little
        CPU come last: as the hub they would delay their own streams.
        """
        members = self.membership.members()
        return sorted(names, key=lambda name: hub_weight(name, members), reverse=True)

    def _choose_links(self, others: Mapping[str, str]) -> list[str]:
        """Return the hosts to link to: the hub, or for the hub itself one unreachable host.

        Failure guarded against: links between two groups of hosts fail for a while, each group
        continues with its own hub, and they never find each other again.
        """
        hub = self._hub()
        if hub != self._settings.host:
            return [hub]
        members, linked = self.membership.members(), self.mesh.peers()
        lost = [name for name in others if name not in linked and not members[name].alive]
        return [self._ctx.rng.choice(lost)] if lost else []

    def _on_changed(self, slots: list[Slot]) -> None:
        for origin, topic in slots:
            known = self.facts.get(origin, topic)
            if known is None:
                continue
            if topic == "links" and origin == self._settings.host:
                self.link()
            if topic == "wants":
                self.wants_changed.set()
            elif topic == "orders":
                self._apply_orders()
            elif topic == "lease" and origin != self._settings.host:
                self.on_lease(known.fact.term, known.fact.version)
            elif topic == "loads" and origin != self._settings.host and not self.is_hub():
                self._apply_loads(known)

    def _select_links(self, slot: Slot, links: Collection[Link]) -> Iterable[Link]:
        """Return those among ``links`` that forward a fact.

        Hosts' load on endpoints, shares that they lend and limits received in answers go to the hub
        alone, which adds them up; waiting requests and demand go to the hub and from there to the
        lease holder. All other hosts receive only heartbeats, sums and orders. The hub may have
        dialled this host.
        """
        origin, topic = slot
        if topic not in HUB_TOPICS:
            return links
        own = origin == self._settings.host
        if topic in HUB_ONLY_TOPICS and not own:
            return ()
        to = {self._linked_hub} if own else set()
        if topic not in HUB_ONLY_TOPICS:
            to.add(self._lease_holder)
        return [link for link in links if link.peer.host in to or (own and link.dialled)]

    def hub(self) -> str:
        """Return the hub, as seen from this host."""
        return self._hub()

    def is_hub(self) -> bool:
        """Return whether this host is the hub, as seen from itself."""
        return self._hub() == self._settings.host

    def hub_share(self) -> float:
        """Return the share of a resource common to all hosts that this host may grant as the hub.

        Each group of a partitioned cluster has its own hub, and together they must not grant more
        than the whole.
        """
        reached = sum(row.alive for row in self.membership.members().values())
        return min(1.0, max(1, reached) / max(1, len(self.known_hosts())))

    def live_hosts(self) -> set[str]:
        """Return the hosts that are alive, in whatever state."""
        return {name for name, row in self.membership.members().items() if row.alive}

    def known_hosts(self) -> list[str]:
        """Return all hosts that may serve, including unreachable ones."""
        rows = self.membership.members().items()
        return [name for name, row in rows if row.fact.state != "gone"]

    def host_count(self) -> int:
        """Return how many hosts may serve: those known here, or more where the lease names them."""
        return max(len(self.known_hosts()), self.min_host_count())

    def host_count_is_known(self) -> bool:
        """Return whether the number of hosts can be told from the lease or from its holder."""
        return self.min_host_count() > 0 or self.has_lease_holder()

    def _apply_loads(self, known: KnownFact) -> None:
        """Apply the load of all hosts on endpoints, less the own load that this host published."""
        own = self.facts.get(self._settings.host, "work")
        own_work = decode_work(own.fact) if own is not None else {}
        rest = subtract_work(decode_work(known.fact), own_work)
        self._fleet.set_remote_loads(
            {name: RemoteLoad(*row, known.at) for name, row in rest.items()}
        )

    def publish_loads(self) -> None:
        """On the hub, publish the sum of all hosts' load on endpoints to all hosts."""
        if not self.is_hub():
            return
        now = self._ctx.clock.monotonic()
        total: Work = {}
        others: Work = {}
        for origin, known in live_facts(self.facts, self.membership, "work"):
            for name, row in decode_work(known.fact).items():
                add_load(total, name, row)
                if origin != self._settings.host:
                    add_load(others, name, row)
        self._fleet.set_remote_loads({name: RemoteLoad(*row, now) for name, row in others.items()})
        known = self.facts.get(self._settings.host, "loads")
        fact = encode_work(total)
        if known is None or known.fact != fact or now - known.at > LOADS_REPEAT_SECONDS:
            self.facts.publish("loads", fact)

    def _apply_orders(self) -> None:
        rows = self.facts.by_origin("orders").items()
        origin, known = max(rows, key=lambda row: max(row[1].fact.term, row[1].fact.resigned))
        newest = known.fact
        if newest.term and origin != self._lease_holder:
            self._lease_holder = origin
            self.mesh.resend_facts(origin)
        self._fleet.apply_updates(newest.engines, known.at)
        self.on_term(newest.term)
        if newest.resigned:
            self.on_resigned(newest.resigned, Handover(newest.wait, newest.engine_waits))

    def has_lease_holder(self) -> bool:
        """Return whether a live host in contact with this one reports that it orders engines."""
        live, linked = self.membership.members(), self._linked_hosts()
        for origin, known in self.facts.by_origin("orders").items():
            member = live.get(origin)
            in_contact = member is not None and member.alive and origin in linked
            if known.fact.term and (in_contact or origin == self._settings.host):
                return True
        return False

    def _linked_hosts(self) -> set[str]:
        """Return the hosts linked to this one or to a host that it is linked to.

        A lost link shows at once, a missing heartbeat after four seconds.
        """
        found = self.mesh.peers()
        for peer in list(found):
            known = self.facts.get(peer, "links")
            if known is not None:
                found.update(known.fact.peers)
        return found

    # Facts that this host publishes

    def publish_work(self) -> None:
        """Publish this host's load on endpoints, if it changed."""
        rows = {
            key: (len(state.in_flight), state.pending_tokens)
            for key, state in self._fleet.states.items()
            if state.in_flight
        }
        self._publish_changed("work", encode_work(rows))

    def publish_runs(self) -> None:
        """Publish how many requests of this host run on each endpoint, by model and adapter."""
        rows: dict[tuple[str, str], int] = {}
        for key, state in self._fleet.states.items():
            for request in state.in_flight.values():
                if request.item:
                    rows[key, request.item] = rows.get((key, request.item), 0) + 1
        self._publish_changed("runs", encode_runs(rows))

    def running(self) -> dict[str, dict[str, int]]:
        """Return how many requests of all live hosts run on each endpoint, by item."""
        total: dict[str, dict[str, int]] = {}
        for _, known in live_facts(self.facts, self.membership, "runs"):
            add_runs(total, known.fact)
        return total

    def publish_wants(self) -> None:
        """Publish the items that requests on this host wait for."""
        now = self._ctx.clock.monotonic()
        down = [
            key
            for key, state in self._fleet.states.items()
            if (state.health.absent(now) and not self._fleet.links_in_doubt())
            or state.has_unconfirmed_missing(now)
        ]
        self._publish_changed("wants", WantsFact(dict(self.waiting), down, self.queued()))

    def down(self) -> set[str]:
        """Return the endpoints that live hosts could not connect to, or found to lack an item."""
        rows = live_facts(self.facts, self.membership, "wants")
        return {key for _, known in rows for key in known.fact.down}

    def publish_demand(self) -> None:
        """Publish the demand of this host's callers, if it changed much."""
        now = self._ctx.clock.monotonic()
        rates, recent = self.demand_meter.rates(now), self.demand_meter.recent(now)
        known = self.facts.get(self._settings.host, "demand")
        if known is None or demand_changed(known.fact.recent, recent):
            self.facts.publish("demand", DemandFact(rates, {}, [], recent))

    def publish_orders(
        self, term: int, updates: list[EngineNews], loads: dict[str, tuple[float, ...]]
    ) -> None:
        """Publish the changes that this host's orders made, and the loads that it has started.

        The time until a load is done is published once: receivers subtract the fact's age, so an
        update in which only that time changed is not published.
        """
        key = term, tuple(update_key(row) for row in updates), loads
        now = self._ctx.clock.monotonic()
        fresh = not updates or now - self._published_orders_at < UPDATE_REPEAT_SECONDS
        if key == self._published_orders and fresh:
            return
        self._published_orders, self._published_orders_at = key, now
        ages = {name: [round(now - at, 2) for at in begun] for name, begun in loads.items()}
        self.facts.publish("orders", OrdersFact(term, updates, loads=ages))

    def holder_loads(self, term: int) -> dict[str, list[float]] | None:
        """Return the ages of the loads published by the holder of a term, None if it has none."""
        now = self._ctx.clock.monotonic()
        for known in self.facts.by_origin("orders").values():
            if term in (known.fact.term, known.fact.resigned):
                past = now - known.at
                return {
                    name: [age + past for age in ages] for name, ages in known.fact.loads.items()
                }
        return None

    def publish_lease(self, term: int, version: int) -> None:
        """Publish that this host has just renewed the lease."""
        self.facts.publish("lease", LeaseFact(term, version))

    def publish_resignation(self, term: int, handover: Handover) -> None:
        """Publish that this host sends no more orders under ``term``, and its successor's waits."""
        known = self.facts.get(self._settings.host, "orders")
        if known is None or known.fact.resigned != term:
            self._published_orders = None
            past = self._ctx.clock.monotonic() - known.at if known is not None else 0.0
            updates = (
                [age_update(row, past) for row in known.fact.engines] if known is not None else []
            )
            loads = self.holder_loads(term) or {}
            waits = dict(handover.engines)
            self.facts.publish("orders", OrdersFact(0, updates, term, handover.wait, waits, loads))

    def _publish_changed(self, topic: str, fact) -> None:
        known = self.facts.get(self._settings.host, topic)
        if known is None or known.fact != fact:
            self.facts.publish(topic, fact)

    def demand(self) -> dict[str, Demand]:
        """Return the demand for each item over all live hosts."""
        wants, demands = (
            [known.fact for _, known in live_facts(self.facts, self.membership, topic)]
            for topic in ("wants", "demand")
        )
        return sum_demand(wants, demands)


def age_update(update: EngineNews, past: float) -> EngineNews:
    """Return an update on an engine as it applies some seconds later."""
    coming = {model: max(0.0, seconds - past) for model, seconds in update.coming.items()}
    return replace(update, coming=coming)


def hub_weight(name: str, members: Mapping[str, Member]) -> tuple[int, int]:
    """Return the sort key of a host for the role of the hub or the lease holder."""
    member = members.get(name)
    return member.fact.power if member else 0, hash_host(name)


@lru_cache(maxsize=MAX_CACHED_HASHES)
def hash_host(name: str) -> int:
    """Return a host's weight in the order; cached, as it is used a dozen times a second."""
    return weigh("leader", name)


def update_key(row: EngineNews) -> tuple:
    """Return an engine's update without the times, which change with each plan."""
    return row.endpoint, tuple(row.items), tuple(row.dropping), tuple(sorted(row.coming))
