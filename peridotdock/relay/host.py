"""A relaying host: builds its components and runs its periodic work, from start to planned stop."""

import asyncio
import logging
import signal
from collections.abc import Mapping

from peridotdock.blocklist import Blocklist
from peridotdock.blocklist_store import BLOCKLIST_CHECK_SECONDS, BlocklistStore
from peridotdock.body_memory import make_body_memory
from peridotdock.clients.answer_memory import make_host_memory
from peridotdock.clients.endpoint import HttpEndpoints
from peridotdock.clients.store_time import StoreTime
from peridotdock.context import Context
from peridotdock.decisions.connectivity import LinkState
from peridotdock.deployment import Deployment
from peridotdock.descriptors import count_connections, count_unproved
from peridotdock.errors import failed
from peridotdock.input_memory import make_input_memory
from peridotdock.jobs import Jobs
from peridotdock.loop_iterations import find_iterations
from peridotdock.relay.adapter import Adapter
from peridotdock.relay.choosing import Chooser
from peridotdock.relay.clocks import BootClock
from peridotdock.relay.connectivity import ConnectivityMonitor
from peridotdock.relay.endpoint_notices import EndpointNotices
from peridotdock.relay.endpoint_starts import EndpointStarts
from peridotdock.relay.entries import EntryReader
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.following import Follower
from peridotdock.relay.forwarded import ForwardedHandler
from peridotdock.relay.forwarding import Forwarder
from peridotdock.relay.grants import Grants
from peridotdock.relay.identity import Identifier
from peridotdock.relay.item_waits import ItemWaits
from peridotdock.relay.lag import HostMonitor
from peridotdock.relay.leadership import Handover, Leadership
from peridotdock.relay.ordering import Orderer
from peridotdock.relay.peers import Peers
from peridotdock.relay.permits import EndpointPermits
from peridotdock.relay.port_router import PortRouter
from peridotdock.relay.quotas import Quotas
from peridotdock.relay.request_handler import RequestHandler
from peridotdock.relay.responding import Responder
from peridotdock.relay.retry_budgets import RetryBudgets
from peridotdock.relay.service import RelayService
from peridotdock.relay.settings import HostSettings
from peridotdock.relay.shares import Shares
from peridotdock.relay.stopping import PlannedStop
from peridotdock.relay.stream_rows import WRITE_SECONDS, StreamRows
from peridotdock.relay.stream_versions import AWAKE_CHECK_SECONDS, StreamVersions
from peridotdock.relay.views import Views
from peridotdock.relay.waits import EndpointWaits
from peridotdock.serving import Server, make_application
from peridotdock.trial_calls import TrialCalls

# Seconds between a change of the configuration and the next call on it: changes in quick succession
# are seen one by one.
CONFIG_PAUSE_SECONDS = 0.05
# Seconds between two updates of the members and of the links.
MEMBERSHIP_REFRESH_SECONDS = 1.0
# Seconds between two facts to the hub on load at endpoints, on running requests and on demand, and
# how many hosts' facts it processes a second: with more hosts the interval grows, and the hub's
# cost stays the same.
WORK_INTERVAL_SECONDS = 0.15
RUNS_INTERVAL_SECONDS = 0.3
DEMAND_INTERVAL_SECONDS = 0.3
HUB_FACTS_PER_SECOND = 400.0
# Factor by which facts for placement alone are published less often than load when hosts are many.
PLACEMENT_INTERVAL_FACTOR = 4.0
# Seconds between two steps for the lease: of its holder; of standby hosts, while they are in
# contact with the holder and while they are not; of all others.
HOLDER_STEP_SECONDS = 0.7
STANDBY_STEP_SECONDS = 3.0
URGENT_STEP_SECONDS = 0.35
OTHER_HOSTS_STEP_SECONDS = 8.0
STANDBY_HOSTS = 2
# Number of hosts from which the hub is no standby: a plan for many engines delays its answers.
HUB_NOT_STANDBY_HOSTS = 16
# Minimum seconds until the check of a lease that is about to lapse.
MIN_LEASE_WAIT_SECONDS = 0.05
# Seconds after a start during which a host without a configuration does not take the lease. After
# them some host takes it: until then each reads the store for itself.
DISCOVERY_SECONDS = 1.0
# Seconds after a start for which the number of hosts in the lease's row counts.
HOST_COUNT_SECONDS = 30.0
# Seconds between two plans when nothing triggers one.
PLAN_INTERVAL_SECONDS = 0.5
# Failed plans in a row before another host is to try: two and a half seconds of them.
MAX_FAILED_PLANS = 5
# Pause after a plan, as a multiple of its duration: waiting requests and engines' answers trigger a
# plan at each iteration of the loop, and callers' requests would be read late.
PLAN_PAUSE_FACTOR = 3.0

log = logging.getLogger("peridotdock")


class RelayHost:
    """One relaying host."""

    def __init__(self, ctx: Context, settings: HostSettings, adapter: Adapter):
        self.ctx = ctx
        self.settings = settings
        self.adapter = adapter
        uptime = BootClock()
        store_time = StoreTime(uptime.seconds)
        self.store = adapter.open_store(settings.store, ctx.metrics, store_time)
        self.planned_stop = PlannedStop(ctx, settings.bounds.stopping)
        self.answer_memory = memory = make_host_memory(settings.memory_bytes)
        self.endpoints = HttpEndpoints(not_run_header=None, memory=memory)
        self.fleet = RelayFleet(settings.domain, ctx.clock)
        self.peers = Peers(ctx, settings, self.fleet, lambda digest: b"")
        self.item_waits = ItemWaits(ctx, self.fleet, self.peers)
        mesh = self.peers.mesh
        self.grants = Grants(
            ctx,
            settings.host,
            self.peers.hub,
            mesh.send_to,
            self.fleet,
            find_iterations(),
            self.peers.membership.find_domain,
        )
        mesh.on_grant = self.grants.on_frame
        self.grants.find_link, self.grants.is_up = mesh.find_link, mesh.is_up
        self.permits = EndpointPermits(
            ctx, settings.host, self.peers, self.fleet, find_iterations()
        )
        self.notices = EndpointNotices(ctx, settings.host, self.peers, self.fleet)
        mesh.on_permit = self.permits.on_frame
        self.grants.server.permit_waits = self.permits.wait_and_gap
        self.grants.server.spend_permit = self.permits.spend
        self.grants.on_unused = self.permits.give_back_unused
        self.grants.server.count_running = self.permits.running
        self.peers.queued = self.grants.server.queued
        self.blocklist = Blocklist(ctx, self.peers.facts, self.fleet.has_ended, self.peers.is_hub)
        TrialCalls(ctx, mesh, self.peers.hub, find_iterations(), self.blocklist.trials)
        waits = EndpointWaits(ctx, self.fleet, self.item_waits, self.permits)
        waits.is_draining = lambda: self.leaving
        self.fleet.is_cut_off = self._is_cut_off
        chooser = Chooser(ctx, self.fleet, waits, self.grants, self.permits)
        self.connectivity = ConnectivityMonitor(ctx, self.fleet)
        self.connectivity.on_change = self._on_connectivity
        self.fleet.links_in_doubt = lambda: self.connectivity.links.doubtful
        self.fleet.links_explain = self.connectivity.links.explains
        self.fleet.connections_hang = self.connectivity.links.hangs
        self.host_connections = HttpEndpoints(not_run_header=None, memory=memory)
        self.forwarder = Forwarder(
            ctx,
            adapter.wire,
            self.host_connections,
            self.fleet,
            self.peers.membership,
            self.connectivity.links,
        )
        self.forwarder.config_version = self._config_version
        self.item_waits.can_forward = self.forwarder.can_forward
        self.retries = RetryBudgets(ctx, settings.bounds, settings.first_start)
        # Unreachable hosts count: they go on to send retries.
        self.retries.host_count = self.peers.host_count
        self.retries.knows_hosts = lambda: self.shares.knows_hosts()
        engines = adapter.open_engines(self.endpoints)
        self.service = RelayService(
            ctx,
            adapter.wire,
            self.fleet,
            self.endpoints,
            self.retries,
            chooser,
            self.blocklist,
            self.forwarder,
            EndpointStarts(ctx, engines),
        )
        self.service.sender.on_answer = self.notices.record_answer
        self.service.on_gap = self.grants.server.record_gap
        self.service.on_unreachable = lambda key: self.peers.publish_wants()
        self.service.on_lost = self.connectivity.record_lost
        self.service.on_silent = self.connectivity.record_silence
        self.service.on_answered = self.connectivity.record_answer
        self.service.stop_refusal = self.planned_stop.refusal
        self.host_monitor = HostMonitor(ctx, find_iterations(), lambda: self.responder.in_progress)
        self.host_monitor.on_change = self._publish_state
        self.shares = Shares(ctx, settings.host, self.peers, uptime)
        self.quotas = Quotas(
            ctx,
            settings.host,
            self.peers,
            self.shares,
            settings.bounds,
            find_iterations(),
            uptime,
        )
        mesh.on_quota = self.quotas.on_frame
        self.service.on_repeat = self.quotas.charge_repeat
        self.service.on_repeat_not_run = self.quotas.refund
        identifier = Identifier(settings.bounds, self._config_age)
        self.responder = Responder(ctx, self.service, self.planned_stop)
        self.planned_stop.unfinished = self.responder.unfinished
        self.stream_versions = StreamVersions(
            ctx,
            settings.host,
            self.peers,
            self.fleet,
            find_iterations(),
            self._endpoints_age,
            uptime,
        )
        self.responder.on_stream = self.stream_versions.record
        self.service.on_unbound = self.stream_versions.record
        self.service.has_versions = self.stream_versions.has_versions
        self.stream_rows = StreamRows(ctx, self.store, settings.host, self.stream_versions)
        self.request_handler = RequestHandler(
            ctx,
            adapter.wire,
            self.service,
            self.responder,
            self.peers,
            self.host_monitor,
            identifier,
            self.quotas,
            self.stream_versions,
            self.planned_stop,
        )
        lease = settings.bounds.order_lease
        machine = str(settings.listen.peers)
        self.leadership = Leadership(
            ctx, self.store, lease, uptime, machine, self.store.renew_connections, store_time
        )
        self.leadership.count_hosts = self.peers.host_count
        self.peers.min_host_count = self._min_host_count
        self.store.era.on_restored = self._on_store_restored
        self.blocklist_due = asyncio.Event()
        self.blocklist.on_blocked = self.blocklist_due.set
        self.blocklist_store = BlocklistStore(
            ctx, self.store, self.leadership.holds, self.blocklist
        )
        self.orderer = Orderer(ctx, self.fleet, engines, self.leadership, settings.bounds)
        self.leadership.make_sizes = self.orderer.make_sizes
        self.leadership.on_sizes = self.orderer.learn_sizes
        self.orderer.find_holder_loads = self.peers.holder_loads
        self.orderer.request_permit = self.permits.request_by_key
        self.orderer.on_lost = self.connectivity.record_lost
        self.jobs = Jobs(ctx)
        self.lease_due = asyncio.Event()
        self.peers.on_resigned = self._on_resigned
        self.peers.on_term = self._on_term
        self.peers.on_lease = self.leadership.receive_renewal
        self.leadership.on_renewed = self.peers.publish_lease
        self.leadership.on_resigned = self.peers.publish_resignation
        self.views = Views(ctx, self.store, self.peers, lambda: self.leadership.term > 0)
        self.views.hide_keys = adapter.hide_keys
        self.leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        self._last_term = 0
        self._started_at = ctx.clock.monotonic()
        self._entries = EntryReader(
            ctx, self.fleet, adapter.decode_endpoint, self._drop_connections
        )
        self._failed_plans = 0
        self._knows_endpoints = False
        listen = settings.listen
        forwarded_handler = ForwardedHandler(
            ctx,
            adapter.wire,
            self.responder,
            self.connectivity.links,
            find_iterations(),
            lambda: self.request_handler.deployment,
            lambda: self.leaving,
        )
        port_router = PortRouter(
            ctx,
            adapter,
            self.request_handler,
            forwarded_handler,
            self.peers.membership,
            self._ready,
            lambda: self.responder.in_progress,
        )
        port_router.set_ports(
            listen, settings.metrics.port if settings.metrics is not None else None
        )
        app = make_application()
        app.router.fallback = port_router.handle
        addresses = [listen.readiness, listen.directory]
        addresses += [address for address in (listen.relay, settings.metrics) if address]
        more = [(address.ip, address.port) for address in addresses]
        bodies = make_body_memory(ctx.clock, ctx.rng.random, settings.memory_bytes)
        self.peers.mesh.unproved.limit = count_unproved(settings.descriptors)
        inputs = make_input_memory(ctx.clock, settings.memory_bytes)
        self.server = Server(
            app,
            listen.callers.ip,
            listen.callers.port,
            more,
            bodies,
            inputs,
            lambda: self.request_handler.max_header_bytes,
            count_connections(settings.descriptors),
        )

    async def start(self) -> None:
        """Listen, and begin to follow the store and the other hosts."""
        await self.server.start()
        await self.peers.start()
        for follower in self._follow_tables():
            self._tasks.append(asyncio.create_task(follower.run()))
        every = self.jobs.every
        every(lambda: MEMBERSHIP_REFRESH_SECONDS, self._refresh_membership, "membership")
        every(lambda: self._publish_interval(WORK_INTERVAL_SECONDS), self._publish_work, "work")
        every(
            lambda: self._publish_interval(RUNS_INTERVAL_SECONDS, PLACEMENT_INTERVAL_FACTOR),
            self._publish_runs,
            "runs",
        )
        every(
            lambda: self._publish_interval(DEMAND_INTERVAL_SECONDS, PLACEMENT_INTERVAL_FACTOR),
            self._publish_demand,
            "demand",
        )
        every(self.host_monitor.check_interval, self.host_monitor.check, "lag")
        every(
            self.connectivity.interval,
            self.connectivity.step,
            "connectivity",
            self.connectivity.due,
        )
        every(
            lambda: BLOCKLIST_CHECK_SECONDS,
            self.blocklist_store.step,
            "block list",
            self.blocklist_due,
        )
        every(lambda: AWAKE_CHECK_SECONDS, self.stream_versions.check_awake, "awake")
        every(lambda: WRITE_SECONDS, self.stream_rows.step, "stream rows", self.stream_rows.due)
        every(self._lease_seconds, self._step_lease, "lease", self.lease_due)
        self._tasks.append(asyncio.create_task(self._order()))
        self.ctx.timeline.add("started", detail=str(self.settings.listen.callers))

    def _config_version(self) -> int:
        deployment = self.request_handler.deployment
        return deployment.version if deployment is not None else 0

    def _config_age(self) -> float:
        return self.views.age(self.adapter.config_table)

    def _endpoints_age(self) -> float:
        return self.views.age(self.adapter.endpoint_table)

    def _follow_tables(self) -> list[Follower]:
        adapter, bounds = self.adapter, self.settings.bounds
        config = self.views.follow(
            adapter.config_table, self._apply_config, bounds.config, pause=CONFIG_PAUSE_SECONDS
        )
        endpoints = self.views.follow(adapter.endpoint_table, self._apply_endpoints, bounds.drain)
        endpoints.on_restored = self.fleet.expect_restored_entries
        return [config, endpoints]

    # Periodic work

    async def _refresh_membership(self) -> None:
        self.peers.membership.sweep()
        self.peers.link()
        self.retries.refresh()
        self.views.request_unread()
        self.views.record_ages()
        self.forwarder.prune()

    def _publish_interval(self, min_seconds: float, factor: float = 1.0) -> float:
        """Return the seconds until the next fact to the hub, which processes a limited rate."""
        return max(
            min_seconds, factor * len(self.peers.facts.by_origin("host")) / HUB_FACTS_PER_SECOND
        )

    async def _publish_work(self) -> None:
        self.peers.publish_work()
        self.peers.publish_wants()
        self.peers.publish_loads()
        self.quotas.publish()
        self.notices.publish()
        self.stream_versions.publish()
        self.permits.refresh()
        self.blocklist.publish_changes()
        self.views.publish_unchanged()

    async def _publish_runs(self) -> None:
        self.peers.publish_runs()

    async def _publish_demand(self) -> None:
        self.peers.publish_demand()

    def _on_resigned(self, term: int, handover: Handover) -> None:
        self.leadership.receive_resignation(term, handover)
        if self._is_standby():
            self.lease_due.set()

    def _on_term(self, term: int) -> None:
        """Refresh the views when a host has just taken the lease: the store may have been down."""
        if term > self._last_term > 0:
            self.views.refresh()
        self._last_term = max(term, self._last_term)

    def _on_store_restored(self, old: int, new: int) -> None:
        """Read the store again: it came back from an older copy of its rows."""
        detail = f"era {old} has ended, era {new} is current"
        self.ctx.timeline.add("store_restored", "WARNING", detail=detail)
        self.leadership.observe_era()
        self.blocklist_due.set()
        self.views.refresh()

    def _min_host_count(self) -> int:
        """Return the number of hosts in the lease's row, while this host may not know all of them.

        The row may be of hosts that have left since: it does not count for long.
        """
        started_for = self.ctx.clock.monotonic() - self._started_at
        return self.leadership.host_count if started_for < HOST_COUNT_SECONDS else 0

    def _is_standby(self) -> bool:
        live = {*self.peers.membership.live(), self.settings.host}
        first = 1 if len(live) >= HUB_NOT_STANDBY_HOSTS else 0
        return self.settings.host in self.peers.rank(live)[first : first + STANDBY_HOSTS]

    def _lease_seconds(self) -> float:
        if self.leadership.term:
            return HOLDER_STEP_SECONDS
        if not self._is_standby():
            return OTHER_HOSTS_STEP_SECONDS
        if not self.peers.has_lease_holder():
            return URGENT_STEP_SECONDS
        lapses_in = self.leadership.lapses_in()
        if lapses_in is None:
            return STANDBY_STEP_SECONDS
        return max(MIN_LEASE_WAIT_SECONDS, lapses_in) if lapses_in > 0 else URGENT_STEP_SECONDS

    def _should_check_lease(self) -> bool:
        """Return whether to check another host's lease: not while its holder's notice is new."""
        if not self.peers.has_lease_holder():
            return True
        lapses_in = self.leadership.lapses_in()
        return self._is_standby() and (lapses_in is None or lapses_in <= 0)

    def _discovery_done(self) -> bool:
        """Return whether this host has had the time to link to others, or must not wait for it.

        Hosts that start together know no other host at first, and all of them would try to take the
        lease. Where a configuration is in force, callers already wait for orders.
        """
        started_for = self.ctx.clock.monotonic() - self._started_at
        return self.request_handler.deployment is not None or started_for >= DISCOVERY_SECONDS

    def _yields_lease(self) -> bool:
        """Return whether to leave the lease to another host.

        A host that reaches no engine, or knows of none yet, would let no model be loaded.
        """
        if self._knows_endpoints and not self.connectivity.links.partitioned:
            return False
        return any(name != self.settings.host for name in self.peers.membership.live())

    async def _step_lease(self) -> None:
        if self.leaving or not self._discovery_done():
            return
        if self._yields_lease():
            await self.leadership.release()
            return
        if self.leadership.term or self._should_check_lease():
            held = self.leadership.term
            await self.leadership.step()
            if self.leadership.term > held:
                self.blocklist_due.set()
            self._on_term(self.leadership.term)
            self.peers.connect_unless_known(self.leadership.holder_address)

    async def _order(self) -> None:
        """Plan when requests wait or something has changed, and periodically."""
        events = (self.peers.wants_changed, self.orderer.changed)
        while True:
            for event in events:
                event.clear()
            deployment = self.request_handler.deployment
            if deployment is not None:
                self.orderer.follow_deployment(deployment)
            if deployment is not None and self.leadership.holds():
                began = self.ctx.clock.monotonic()
                await self._try_plan(deployment)
                await self.ctx.clock.sleep(PLAN_PAUSE_FACTOR * (self.ctx.clock.monotonic() - began))
            waits = [asyncio.ensure_future(event.wait()) for event in events]
            await asyncio.wait(
                waits, timeout=PLAN_INTERVAL_SECONDS, return_when=asyncio.FIRST_COMPLETED
            )
            for wait in waits:
                wait.cancel()

    async def _try_plan(self, deployment: Deployment) -> None:
        """Plan; release the lease after several failed plans in a row.

        Failure guarded against: a plan raises, the task that orders engines ends, and the lease is
        still renewed. No model is loaded any more, and no other host takes over.
        """
        try:
            self._plan(deployment)
            self._failed_plans = 0
        except Exception:
            log.exception("plan failed")
            self._failed_plans += 1
            await self.ctx.clock.sleep(PLAN_INTERVAL_SECONDS)
            if self._failed_plans >= MAX_FAILED_PLANS:
                await self.leadership.release()

    def _plan(self, deployment: Deployment) -> None:
        peers = self.peers
        self.orderer.plan_orders(deployment, peers.demand(), peers.down(), peers.running())
        updates, loads = self.orderer.make_updates(), self.orderer.recent_loads()
        self.peers.publish_orders(self.leadership.term, updates, loads)

    def _knows_tables(self) -> bool:
        """Return whether this host has read the configuration and the endpoints, if only none.

        Failure guarded against: the configuration is there first, callers are sent to this host,
        and it refuses them as it knows no endpoint. Hosts that start in turn do so one by one.
        """
        return self.request_handler.deployment is not None and self._knows_endpoints

    def _ready(self) -> bool:
        """Return whether callers may be sent to this host."""
        able = self.host_monitor.refusal_reason is None
        return able and not self.leaving and self._knows_tables()

    # Changes of the store's tables

    def _apply_config(self, rows: Mapping[str, bytes | None], whole: bool) -> None:
        raw = rows.get(self.adapter.config_key)
        if raw is None:
            return
        found = self.adapter.decode_deployment(raw)
        if failed(found):
            self.ctx.timeline.add("config_refused", "ERROR", detail=found.reason)
            return
        self._set_deployment(found)

    def _publish_state(self) -> None:
        """Publish to other hosts whether callers may be sent to this host, as readiness does."""
        if self.leaving or not self._knows_tables():
            return
        partitioned = self.connectivity.links.partitioned
        live = self._ready() and not partitioned
        self.peers.membership.set_state(
            "live" if live else "starting", self._ready() and partitioned
        )

    def _is_cut_off(self) -> bool:
        """Return whether this host reaches no endpoint, and no host that does."""
        return self.connectivity.links.partitioned and not self.forwarder.has_hosts()

    def _on_connectivity(self, before: LinkState) -> None:
        """Tell other hosts whether this one reaches endpoints, where that has changed.

        Open connections may be silent for good, also after the links are back.
        """
        if LinkState.PARTITIONED in (before, self.connectivity.links.state):
            self._publish_state()
            self.lease_due.set()
        if before is LinkState.PARTITIONED:
            self.fleet.clear_losses()
            for state in self.fleet.states.values():
                self._drop_connections(state.entry.address)

    def _set_deployment(self, found: Deployment) -> None:
        """Serve by this configuration from now on, never by an older one again."""
        current = self.request_handler.deployment
        if current is not None and found.version <= current.version:
            return
        self.request_handler.deployment = found
        self.item_waits.deployment = found
        self.grants.server.set_deployment(found)
        self.quotas.set_deployment(found)
        self.stream_versions.set_deployment(found)
        self._publish_state()
        if current is None:
            self.lease_due.set()
        self.ctx.metrics.generation.set(found.version)
        self.ctx.timeline.add("config_in_force", detail=f"version {found.version}")

    def _apply_endpoints(self, rows: Mapping[str, bytes | None], whole: bool) -> None:
        self._entries.apply_rows(rows, whole)
        if not self._knows_endpoints:
            self._knows_endpoints = True
            self._publish_state()
            self.ctx.timeline.add("endpoints_known", detail=f"{len(self.fleet.states)} endpoints")
        self.stream_versions.observe()
        self.orderer.changed.set()

    def _drop_connections(self, address: str) -> None:
        """Do not reuse kept connections to an endpoint's address."""
        self.endpoints.renew_connections(f"http://{address}")

    # Stopping

    async def run(self) -> None:
        """Serve until a stop signal, then drain without cutting off requests."""
        stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_reload)
        await self.start()
        await stop_requested.wait()
        await self.drain()

    def _log_reload(self) -> None:
        """Log a reload signal; addresses and bounds are only read at the start of the process."""
        self.ctx.timeline.add(
            "reload", detail="settings are only read at start; nothing was reloaded"
        )

    async def stop(self) -> None:
        """Cancel all work and close everything, without waiting for requests."""
        await self.jobs.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.orderer.stop()
        await self.peers.mesh.stop()
        await self.server.stop()
        await self.endpoints.close()
        await self.host_connections.close()
        await self.store.close()

    async def drain(self) -> None:
        """Drain: leave the address answers first, then wait for all requests to end, then close."""
        self.leaving = True
        self.planned_stop.begin()
        before = self.responder.admitted
        self.ctx.timeline.add("leaving", detail=f"{self.responder.in_progress} in progress")
        self.peers.membership.set_state("leaving")
        releasing = asyncio.ensure_future(self.leadership.release())
        await self.planned_stop.drain(self.server, self.responder.end_unanswered)
        # No request is taken between this check and the end of the process.
        self.request_handler.closed = True
        releasing.cancel()
        self.shares.close()
        self.peers.membership.set_state("gone")
        self._log_stopped(self.responder.admitted - before)

    def _log_stopped(self, admitted: int) -> None:
        """Log each request that ends with the process; ``admitted`` came during the stop."""
        now, unfinished = self.ctx.clock.monotonic(), self.responder.unfinished()
        for req in unfinished:
            detail = f"read {now - req.received_at:.2f} s ago, {req.deadline - now:.2f} s left"
            self.ctx.timeline.add("cut_by_stop", "WARNING", request=req.id, detail=detail)
        detail = f"{len(unfinished)} requests left, {admitted} came meanwhile, "
        detail += f"{self.server.unsent_bytes()} bytes unsent"
        self.ctx.timeline.add("stopped", detail=detail)
