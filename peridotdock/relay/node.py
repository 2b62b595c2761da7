"""A relaying host: its parts, and the work it repeats, from start to planned stop."""

import asyncio
import logging
import signal
from collections.abc import Mapping

from peridotdock.blocklist import Blocklist
from peridotdock.clients.endpoint import HttpEndpoints
from peridotdock.clients.store_time import StoreTime
from peridotdock.context import Context
from peridotdock.deployment import Deployment
from peridotdock.errors import failed
from peridotdock.jobs import Jobs
from peridotdock.keeping import KEEP_SECONDS, BlocklistKeeper
from peridotdock.relay.absent import WaitingRoom
from peridotdock.relay.adapter import Adapter
from peridotdock.relay.choosing import Chooser
from peridotdock.relay.clocks import BootClock
from peridotdock.relay.doors import ADDRESS_SECONDS, Doors
from peridotdock.relay.entries import EntryReader
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.following import Follower
from peridotdock.relay.front import Front
from peridotdock.relay.grants import Grants
from peridotdock.relay.identity import Identifier
from peridotdock.relay.lag import LagWatch
from peridotdock.relay.leadership import Handover, Leadership
from peridotdock.relay.ordering import Orderer
from peridotdock.relay.peers import Peers
from peridotdock.relay.permits import EndpointPermits
from peridotdock.relay.quotas import Quotas
from peridotdock.relay.service import RelayService
from peridotdock.relay.settings import HostSettings
from peridotdock.relay.views import Views
from peridotdock.relay.waits import Waits
from peridotdock.relay.words import EndpointWords
from peridotdock.serving import Server, make_application
from peridotdock.turns import find_turns

# Seconds between a change of the configuration and the next call on it: changes that come in quick
# succession are seen one by one.
CONFIG_PAUSE = 0.05
# How many times as long as they should some callers keep an answer where to connect.
ADDRESS_FACTOR = 3.0
# Seconds before the platform's SIGKILL at which a planned stop ends.
STOP_MARGIN = 0.7
DRAIN_POLL_SECONDS = 0.05
# Seconds between two looks at which hosts are there, and to whom this one should be linked.
LOOK_ROUND_SECONDS = 1.0
# Seconds between two words to the hub on work at endpoints, and on demand, and how many hosts'
# words it takes in a second: with more hosts they come seldomer, and what it spends on them stays
# the same.
WORK_SECONDS = 0.15
RUNS_SECONDS = 0.3
DEMAND_SECONDS = 0.3
WORDS_PER_SECOND = 400.0
# How many times less often than work the facts for placement alone are told where hosts are many.
SELDOM = 4.0
# Seconds between two steps for the lease: of its holder; of those that stand by, while they hear
# the holder and when they don't; of all others.
HOLDER_SECONDS = 0.7
STANDBY_SECONDS = 3.0
URGENT_SECONDS = 0.35
OTHERS_SECONDS = 8.0
STANDBYS = 2
# Hosts from which on the hub does not stand by: a plan for many engines holds up its answers.
MANY_HOSTS = 16
# Least seconds until a look at a lease that is about to lapse.
LEAST_WAIT = 0.05
# Seconds after a start for which a host without a configuration leaves the lease alone. After them
# some host takes it: until then each reads the store for itself.
MEET_SECONDS = 1.0
# Seconds between two plans when nothing calls for one.
PLAN_SECONDS = 0.5
# Plans in a row that may fail before another host is to try: two and a half seconds of them.
MOST_FAILED_PLANS = 5
# How many times as long as a plan took the next one is put off: waiting requests and engines'
# answers call for a plan at each turn of the loop, and callers' requests would be read late.
PLAN_REST = 3.0

log = logging.getLogger("peridotdock")


class Node:
    """One relaying host."""

    def __init__(self, ctx: Context, settings: HostSettings, adapter: Adapter):
        self.ctx = ctx
        self.settings = settings
        self.adapter = adapter
        uptime = BootClock()
        store_time = StoreTime(uptime.seconds)
        self.store = adapter.open_store(settings.store, ctx.metrics, store_time)
        self.endpoints = HttpEndpoints(not_run_header=None)
        self.fleet = RelayFleet(settings.domain, ctx.clock)
        self.peers = Peers(ctx, settings, self.fleet, lambda digest: b"")
        self.room = WaitingRoom(ctx, self.fleet, self.peers)
        mesh = self.peers.mesh
        self.grants = Grants(
            ctx,
            settings.host,
            self.peers.hub,
            mesh.send_to,
            self.fleet,
            find_turns(),
            self.peers.membership.find_domain,
        )
        mesh.on_grant = self.grants.take
        self.permits = EndpointPermits(ctx, settings.host, self.peers, self.fleet, find_turns())
        self.words = EndpointWords(ctx, settings.host, self.peers, self.fleet)
        mesh.on_permit = self.permits.take
        self.grants.server.find_permit = self.permits.waits
        self.grants.server.spend_permit = self.permits.spend
        self.peers.queued = self.grants.server.queued
        self.blocklist = Blocklist(ctx, self.peers.board, self.fleet.has_ended, self.peers.is_hub)
        waits = Waits(ctx, self.fleet, self.room, self.permits)
        waits.is_leaving = lambda: self.leaving
        chooser = Chooser(ctx, self.fleet, waits, self.grants, self.permits)
        self.service = RelayService(
            ctx,
            adapter.wire,
            self.fleet,
            self.endpoints,
            settings.bounds,
            chooser,
            self.blocklist,
            settings.first_start,
        )
        self.service.sender.on_answer = self.words.note_answer
        self.service.on_gap = self.grants.server.note_gap
        self.service.on_down = lambda key: self.peers.tell_wants()
        self.lag = LagWatch(ctx, find_turns(), lambda: self.front.in_work)
        self.lag.on_change = self._tell_state
        self.quotas = Quotas(ctx, settings.host, self.peers, settings.bounds, find_turns())
        mesh.on_quota = self.quotas.take
        identifier = Identifier(settings.bounds, self._config_age)
        self.front = Front(
            ctx, adapter.wire, self.service, self.peers, self.lag, identifier, self.quotas
        )
        lease = settings.bounds.order_lease
        machine = str(settings.listen.peers)
        self.leadership = Leadership(
            ctx, self.store, lease, uptime, machine, self.store.suspect, store_time
        )
        self.keep_due = asyncio.Event()
        self.blocklist.on_blocked = self.keep_due.set
        self.keeper = BlocklistKeeper(ctx, self.store, self.leadership.holds, self.blocklist)
        engines = adapter.open_engines(self.endpoints)
        self.orderer = Orderer(ctx, self.fleet, engines, self.leadership, settings.bounds)
        self.orderer.heard_loads = self.peers.heard_loads
        self.orderer.ask_permit = self.permits.ask_for
        self.jobs = Jobs(ctx)
        self.lease_due = asyncio.Event()
        self.peers.on_resigned = self._hear_resigned
        self.peers.on_term = self._hear_term
        self.peers.on_lease = self.leadership.hear_renewed
        self.leadership.on_renewed = self.peers.tell_lease
        self.leadership.on_resigned = self.peers.tell_resigned
        self.views = Views(ctx, self.store, self.peers, lambda: self.leadership.term > 0)
        self.views.hide_keys = adapter.hide_keys
        self.leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._heard_term = 0
        self._started_at = ctx.clock.monotonic()
        self._entries = EntryReader(
            ctx, self.fleet, adapter.decode_endpoint, self._drop_connections
        )
        self._failed_plans = 0
        listen = settings.listen
        doors = Doors(ctx, adapter, self.front, self.peers.membership, self._ready)
        doors.open(listen, settings.metrics.port if settings.metrics is not None else None)
        app = make_application()
        app.router.fallback = doors.handle
        addresses = [listen.readiness, listen.directory]
        if settings.metrics is not None:
            addresses.append(settings.metrics)
        more = [(address.ip, address.port) for address in addresses]
        self.server = Server(app, listen.callers.ip, listen.callers.port, more)

    async def start(self) -> None:
        """Listen, and begin to follow the store and the other hosts."""
        await self.server.start()
        await self.peers.start()
        for follower in self._follow_tables():
            self._tasks.append(asyncio.create_task(follower.run()))
        every = self.jobs.every
        every(lambda: LOOK_ROUND_SECONDS, self._look_round, "look round")
        every(lambda: self._word_seconds(WORK_SECONDS), self._tell_work, "work")
        every(lambda: self._word_seconds(RUNS_SECONDS, SELDOM), self._tell_runs, "runs")
        every(lambda: self._word_seconds(DEMAND_SECONDS, SELDOM), self._tell_demand, "demand")
        every(self.lag.look_seconds, self.lag.look, "lag")
        every(lambda: KEEP_SECONDS, self.keeper.step, "block list", self.keep_due)
        every(self._lease_seconds, self._step_lease, "lease", self.lease_due)
        self._tasks.append(asyncio.create_task(self._order()))
        self.ctx.timeline.add("started", detail=str(self.settings.listen.callers))

    def _config_age(self) -> float:
        return self.views.age(self.adapter.config_table)

    def _follow_tables(self) -> list[Follower]:
        adapter, bounds = self.adapter, self.settings.bounds
        return [
            self.views.follow(
                adapter.config_table, self._take_config, bounds.config, pause=CONFIG_PAUSE
            ),
            self.views.follow(adapter.endpoint_table, self._take_endpoints, bounds.leaving),
        ]

    # Work that is repeated

    async def _look_round(self) -> None:
        self.peers.membership.sweep()
        self.peers.link()
        # All that are known, also those out of reach: what each may repeat must not add up to more
        # than the whole while hosts don't hear each other.
        self.service.hosts = len(self.peers.membership.members())
        self.views.note_ages()

    def _word_seconds(self, least: float, seldom: float = 1.0) -> float:
        """Return the time until the next word to the hub, which takes in so many a second."""
        return max(least, seldom * len(self.peers.board.on("host")) / WORDS_PER_SECOND)

    async def _tell_work(self) -> None:
        self.peers.tell_work()
        self.peers.tell_wants()
        self.peers.tell_loads()
        self.quotas.tell()
        self.words.tell()
        self.permits.look()
        self.blocklist.tell()
        self.views.keep_telling()

    async def _tell_runs(self) -> None:
        self.peers.tell_runs()

    async def _tell_demand(self) -> None:
        self.peers.tell_demand()

    def _hear_resigned(self, term: int, handover: Handover) -> None:
        self.leadership.hear(term, handover)
        if self._stands_by():
            self.lease_due.set()

    def _hear_term(self, term: int) -> None:
        """Ask the store anew when a host has just taken the lease in it: it was away, maybe."""
        if term > self._heard_term > 0:
            self.views.renew()
        self._heard_term = max(term, self._heard_term)

    def _stands_by(self) -> bool:
        live = {*self.peers.membership.live(), self.settings.host}
        first = 1 if len(live) >= MANY_HOSTS else 0
        return self.settings.host in self.peers.rank(live)[first : first + STANDBYS]

    def _lease_seconds(self) -> float:
        if self.leadership.term:
            return HOLDER_SECONDS
        if not self._stands_by():
            return OTHERS_SECONDS
        if not self.peers.has_leader():
            return URGENT_SECONDS
        lapses_in = self.leadership.lapses_in()
        if lapses_in is None:
            return STANDBY_SECONDS
        return max(LEAST_WAIT, lapses_in) if lapses_in > 0 else URGENT_SECONDS

    def _may_lapse(self) -> bool:
        """Tell whether to look at another's lease: not while the holder's own word is new."""
        if not self.peers.has_leader():
            return True
        lapses_in = self.leadership.lapses_in()
        return self._stands_by() and (lapses_in is None or lapses_in <= 0)

    def _has_met_others(self) -> bool:
        """Tell whether this host has had the time to link to others, or has no time to lose.

        Hosts that start together each think at first that they are alone, and all of them would
        try for the lease. Where a configuration is in force, callers wait for orders already.
        """
        started_for = self.ctx.clock.monotonic() - self._started_at
        return self.front.deployment is not None or started_for >= MEET_SECONDS

    async def _step_lease(self) -> None:
        if self.leaving or not self._has_met_others():
            return
        if self.leadership.term or self._may_lapse():
            held = self.leadership.term
            await self.leadership.step()
            if self.leadership.term > held:
                self.keep_due.set()
            self._hear_term(self.leadership.term)
            self.peers.meet(self.leadership.holder_machine)

    async def _order(self) -> None:
        """Plan when something is waited for or has changed, and now and then."""
        events = (self.peers.wanted, self.orderer.changed)
        while True:
            for event in events:
                event.clear()
            deployment = self.front.deployment
            if deployment is not None and self.leadership.holds():
                began = self.ctx.clock.monotonic()
                await self._try_plan(deployment)
                await self.ctx.clock.sleep(PLAN_REST * (self.ctx.clock.monotonic() - began))
            waits = [asyncio.ensure_future(event.wait()) for event in events]
            await asyncio.wait(waits, timeout=PLAN_SECONDS, return_when=asyncio.FIRST_COMPLETED)
            for wait in waits:
                wait.cancel()

    async def _try_plan(self, deployment: Deployment) -> None:
        """Plan; free the lease after some plans in a row that failed.

        Failure guarded against: a plan raises, the task that orders ends, and the lease is renewed
        on. No model is loaded any more, and no other host takes over.
        """
        try:
            self._plan(deployment)
            self._failed_plans = 0
        except Exception:
            log.exception("plan failed")
            self._failed_plans += 1
            await self.ctx.clock.sleep(PLAN_SECONDS)
            if self._failed_plans >= MOST_FAILED_PLANS:
                await self.leadership.give_up()

    def _plan(self, deployment: Deployment) -> None:
        peers = self.peers
        self.orderer.round(deployment, peers.demand(), peers.down(), peers.running())
        news, loads = self.orderer.news(), self.orderer.loads()
        self.peers.tell_orders(self.leadership.term, news, loads)

    def _ready(self) -> bool:
        """Tell whether callers may be sent here."""
        known = self.front.deployment is not None
        return known and not self.leaving and self.lag.trouble is None

    # What the store tells

    def _take_config(self, rows: Mapping[str, bytes | None], whole: bool) -> None:
        raw = rows.get(self.adapter.config_key)
        if raw is None:
            return
        found = self.adapter.decode_deployment(raw)
        if failed(found):
            self.ctx.timeline.add("config_refused", "ERROR", detail=found.reason)
            return
        self._put_in_force(found)

    def _tell_state(self) -> None:
        """Tell other hosts whether callers may be sent here: what readiness says, in short."""
        if self.leaving or self.front.deployment is None:
            return
        self.peers.membership.become("live" if self._ready() else "starting")

    def _put_in_force(self, found: Deployment) -> None:
        """Serve by this configuration from now on, never by an older one again."""
        current = self.front.deployment
        if current is not None and found.version <= current.version:
            return
        self.front.deployment = found
        self.room.deployment = found
        self.grants.server.take_deployment(found)
        self.quotas.take_deployment(found)
        self._tell_state()
        if current is None:
            self.lease_due.set()
        self.ctx.metrics.generation.set(found.version)
        self.ctx.timeline.add("config_in_force", detail=f"version {found.version}")

    def _take_endpoints(self, rows: Mapping[str, bytes | None], whole: bool) -> None:
        self._entries.take(rows, whole)
        self.orderer.changed.set()

    def _drop_connections(self, address: str) -> None:
        """Take no kept connection to an endpoint's address again."""
        self.endpoints.suspect(f"http://{address}")

    # Stopping

    async def run(self) -> None:
        """Serve until told to stop, then leave without cutting anything off."""
        told = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, told.set)
        loop.add_signal_handler(signal.SIGHUP, self._note_reload)
        await self.start()
        await told.wait()
        await self.drain()

    def _note_reload(self) -> None:
        """Log that the settings changed: addresses and bounds are those of the process's start."""
        self.ctx.timeline.add("reload", detail="settings are read at start; nothing changes")

    async def stop(self) -> None:
        """End all work and close everything, without waiting for anybody."""
        await self.jobs.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.orderer.stop()
        await self.peers.mesh.stop()
        await self.server.stop()
        await self.endpoints.close()
        await self.store.close()

    async def drain(self) -> None:
        """Leave: out of the answers first, then all requests ended, then closed."""
        clock, bounds = self.ctx.clock, self.settings.bounds
        began = clock.monotonic()
        self.leaving = True
        self.ctx.timeline.add("leaving")
        self.peers.membership.become("leaving")
        await self.leadership.give_up()
        await clock.sleep(min(ADDRESS_SECONDS * ADDRESS_FACTOR, bounds.stopping / 2))
        until = began + bounds.stopping - STOP_MARGIN
        while self.front.in_work and clock.monotonic() < until:
            await clock.sleep(DRAIN_POLL_SECONDS)
        self.peers.membership.become("gone")
        self.ctx.timeline.add("stopped", detail=f"{self.front.in_work} requests left")
