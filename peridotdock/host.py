"""One entry host: its parts, and the work it repeats."""

import asyncio
from functools import partial

from peridotdock import claims
from peridotdock import ledger as ledgers
from peridotdock import manifest as manifests
from peridotdock.blocklist import Blocklist
from peridotdock.board import Board, Slot
from peridotdock.clients.endpoint import HttpEndpoints
from peridotdock.clients.platform import HttpPlatform, Platform, Row
from peridotdock.context import Context
from peridotdock.controllers import Controller
from peridotdock.dispatch import Dispatcher
from peridotdock.errors import failed
from peridotdock.fleet import Fleet
from peridotdock.jobs import Jobs
from peridotdock.keeping import KEEP_SECONDS, BlocklistKeeper
from peridotdock.keys import KeyTable
from peridotdock.leases import KEY_PREFIX as LEASE_PREFIX
from peridotdock.leases import HostLease, LeaseTable
from peridotdock.limits import CallerLimits
from peridotdock.manifest import Accepted
from peridotdock.membership import Membership
from peridotdock.mesh import Mesh
from peridotdock.planner import PLAN_KEY, Planner
from peridotdock.publishing import HEAD_KEY, fetch_from_store
from peridotdock.rendezvous import Assignment
from peridotdock.schema.messages import DemandFact, HeadsFact, HostFact, LedgerFact, Reserved
from peridotdock.service_calls import ServiceCaller
from peridotdock.watch import Watcher

LIST_SECONDS = 2.0
DEMAND_SECONDS = 1.0
LEASE_PARTS = 3
SCAN_PERIODS = 3


class Host:
    """All parts of a host but the HTTP entry."""

    def __init__(self, ctx: Context, platform: Platform | None = None):
        cfg, clock = ctx.cfg, ctx.clock
        self.ctx = ctx
        self.platform = platform or HttpPlatform(cfg.platform_url)
        self.endpoints = HttpEndpoints()
        self.board = Board(cfg.host_id, ctx.epoch, clock)
        self.mesh = Mesh(ctx, self.board, self._give_body)
        own = HostFact(cfg.host_id, ctx.incarnation, cfg.domain, "", "", "starting", 0)
        self.membership = Membership(self.board, own, clock)
        self.fleet = Fleet(self.board, clock)
        self.blocklist = Blocklist(ctx, self.board, self.fleet.has_ended, self._tries)
        self.dispatcher = Dispatcher(ctx, self.fleet, self.endpoints, self.blocklist)
        self.service_caller = ServiceCaller(ctx, self.fleet, self.endpoints, self.dispatcher.budget)
        self.keys = KeyTable(ctx.incarnation, clock, cfg.max_keys)
        self.limits = CallerLimits(cfg.host_id, self.membership.when_beat)
        self.lease = HostLease(cfg.host_id, ctx.incarnation, cfg.lease_seconds, clock)
        self.lease_table = LeaseTable(cfg.lease_seconds, clock)
        self.controller = Controller(
            ctx, self.platform, self.endpoints, self.lease, self.lease_table
        )
        self.planner = Planner(ctx, self.platform, self.lease, self.lease_table)
        self.keeper = BlocklistKeeper(ctx, self.platform, self._plans, self.blocklist)
        self.watcher = Watcher(ctx, self.board, self.endpoints, self.fleet)
        self.accepted: Accepted | None = None
        self.jobs = Jobs(ctx)
        self._wanted_head: HeadsFact | None = None
        self._fetching = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self._polls = 0
        self._registered_leaving: bool | None = None
        self._controlled = Assignment(cfg.host_id)
        self._planning = Assignment(cfg.host_id)
        self._nudge = asyncio.Event()
        self._keep_due = asyncio.Event()
        self.blocklist.on_blocked = self._keep_due.set
        self.controller.on_answer = self._nudge.set
        self.board.listen(self._changed)

    async def start(self, entry_address: str) -> None:
        """Open the mesh and begin the repeated work."""
        await self.mesh.start()
        addresses = {"entry": entry_address, "peer": self.mesh.address}
        self.membership.own = HostFact(**{**vars(self.membership.own), **addresses})
        self.membership.become("starting")
        cfg, every = self.ctx.cfg, self.jobs.every
        every(self.membership.beat_seconds, self._beat, "beat")
        every(lambda: LIST_SECONDS, self._follow_hosts, "hosts")
        every(lambda: cfg.lease_seconds / LEASE_PARTS, self._renew, "lease")
        every(lambda: cfg.poll_seconds, self._poll, "poll", self._nudge)
        every(lambda: cfg.watch_seconds, self._watch, "watch")
        every(lambda: DEMAND_SECONDS, self._share_demand, "demand")
        every(lambda: cfg.watch_seconds, self._tell_ends, "ends")
        every(lambda: KEEP_SECONDS, self.keeper.step, "block list", self._keep_due)
        every(lambda: claims.SWEEP_SECONDS, self._sweep_claims, "claims")

    async def stop(self) -> None:
        """Hand over the roles and leave the mesh."""
        await self.jobs.stop()
        for task in self._tasks:
            task.cancel()
        self.controller.drop_all("host stops")
        self.membership.become("gone")
        await self.ctx.clock.sleep(0.05)
        await self.lease.give_up(self.platform)
        await self._register()
        await self.mesh.stop()
        await self.endpoints.close()
        if isinstance(self.platform, HttpPlatform):
            await self.platform.close()

    def ready(self) -> bool:
        """Tell whether callers can be served."""
        return self.accepted is not None and self.membership.own.state == "live"

    # Membership

    async def _beat(self) -> None:
        self.membership.beat()
        self.membership.sweep()

    async def _follow_hosts(self) -> None:
        cfg = self.ctx.cfg
        members = self.membership.members()
        # Silent hosts too: two hosts that lost each other for longer than it takes to call one
        # dead would otherwise never dial again, though both live.
        found = {n: m.fact.peer for n, m in members.items() if m.fact.state != "gone"}
        found.pop(cfg.host_id, None)
        self.mesh.connect_to(found)
        for address in filter(None, cfg.seeds.split(",")):
            if not self.mesh.peers():
                self.mesh.connect_to_seed(address)
        await self._register()
        listed = await self.platform.list_hosts()
        if failed(listed):
            return
        unknown = {h.id: h.peer for h in listed if h.id not in members and h.peer and not h.leaving}
        unknown.pop(cfg.host_id, None)
        self.mesh.connect_to(unknown)
        self.watcher.listed_leaving = {h.id for h in listed if h.leaving and h.id not in members}

    async def _register(self) -> None:
        """Put this host on the platform's list, once for each state, as each is a write."""
        wanted = self.membership.own.state in ("leaving", "gone")
        if self._registered_leaving is wanted:
            return
        cfg, address = self.ctx.cfg, self.mesh.address
        if not failed(await self.platform.register_host(cfg.host_id, address, wanted)):
            self._registered_leaving = wanted

    async def _renew(self) -> None:
        if self.membership.own.state in ("leaving", "gone"):
            return
        outcome = await self.lease.renew(self.platform)
        if failed(outcome):
            self.ctx.timeline.add("lease_not_renewed", "WARNING", detail=str(outcome.kind))

    # Manifest

    def _give_body(self, digest: str) -> bytes:
        if self.accepted is None or self.accepted.digest != digest:
            return b""
        return manifests.canonical(self.accepted.document)

    def _changed(self, slots: list[Slot]) -> None:
        for origin, topic in slots:
            known = self.board.get(origin, topic)
            if known is None or origin == self.ctx.cfg.host_id:
                continue
            if topic == "heads":
                self.want(known.fact)
                if known.fact.plan > self.planner.generation:
                    self._nudge.set()
            elif topic == "ledger" and self.planner.holder == self.ctx.incarnation:
                self._nudge.set()

    def want(self, head: HeadsFact) -> None:
        """Take note of a head; a generation that is not newer is passed over, whoever tells it."""
        newest = max(
            self.accepted.generation if self.accepted else 0,
            self._wanted_head.generation if self._wanted_head else 0,
        )
        if head.generation <= newest:
            return
        self._wanted_head = head
        task = asyncio.ensure_future(self._fetch())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch(self) -> None:
        """Fetch the newest wanted manifest, from the store or from a peer, and put it in force."""
        async with self._fetching:
            head = self._wanted_head
            current = self.accepted
            if head is None or (current and current.generation >= head.generation):
                return
            raw = await fetch_from_store(self.platform, head.digest, current)
            if raw is None:
                raw = await self.mesh.fetch(head.digest)
            found = manifests.accept(head.generation, raw) if raw else None
            if found is None or found.digest != head.digest:
                # Wanted again at the next poll or word of a peer.
                self._wanted_head = None
                return
            self.put_in_force(found)

    def put_in_force(self, accepted: Accepted) -> None:
        """Serve by this manifest from now on. Never by an older one again."""
        if self.accepted is not None and accepted.generation <= self.accepted.generation:
            return
        self.accepted = accepted
        self.fleet.follow(accepted)
        self.service_caller.services = {
            name: frozenset(row.endpoints) for name, row in accepted.services.items()
        }
        if self.membership.own.state == "starting":
            self.membership.become("live")
        self.ctx.metrics.generation.set(accepted.generation)
        self._publish_heads()
        detail = f"generation {accepted.generation} {accepted.manifest.release}"
        self.ctx.timeline.add("manifest_in_force", detail=detail)

    def _publish_heads(self) -> None:
        if self.accepted is None:
            return
        fact = HeadsFact(self.accepted.generation, self.accepted.digest, self.planner.generation)
        known = self.board.get(self.ctx.cfg.host_id, "heads")
        if known is None or known.fact != fact:
            self.board.publish("heads", fact)

    # Roles

    async def _poll(self) -> None:
        """Read the heads and what the roles of this host need, in few calls."""
        await self._read_platform()
        if self.accepted is None or not self.lease_table.loaded:
            return
        self.controller.moves = self.planner.moves_by_endpoint()
        live = self.membership.live()
        await self._tend_all(live)
        await self._plan(live)
        self._publish_heads()

    async def _read_platform(self) -> None:
        rows = await self.platform.read([HEAD_KEY, PLAN_KEY])
        if failed(rows):
            return
        if HEAD_KEY in rows:
            head = rows[HEAD_KEY].value
            self.want(HeadsFact(head["generation"], head["digest"]))
        self.planner.read_row(rows.get(PLAN_KEY))
        leases = await self.platform.scan(LEASE_PREFIX)
        if not failed(leases):
            self.lease_table.update(leases)
            self.limits.hosts = max(1, self.lease_table.hosts(), len(self.board.on("host")))
        ledger_rows = await self._read_ledgers()
        if ledger_rows is not None:
            self.controller.read_rows(ledger_rows)

    async def _read_ledgers(self) -> dict[str, Row] | None:
        """Read the ledger rows: all of them where a plan is made or copies are to be proved."""
        self._polls += 1
        planning = self.planner.holder in ("", self.ctx.incarnation)
        if not (planning or self.controller.moves or self._polls % SCAN_PERIODS == 1):
            return None
        rows = await self.platform.scan(ledgers.KEY_PREFIX)
        return None if failed(rows) else rows

    async def _tend_all(self, live: list[str]) -> None:
        accepted = self.accepted
        host = self.ctx.cfg.host_id
        for name in set(self.controller.records) - set(accepted.engines):
            del self.controller.records[name]
        tend = partial(self.controller.tend, accepted=accepted)
        mine = self._controlled.mine((f"controller|{name}" for name in accepted.engines), live)
        rounds = [
            tend(row, chosen=f"controller|{name}" in mine) for name, row in accepted.engines.items()
        ]
        await asyncio.gather(*rounds)
        rows = {
            name: [
                Reserved(r.item, r.state, r.bytes, list(r.places)) for r in w.ledger.reservations
            ]
            for name, w in self.controller.records.items()
        }
        known = self.board.get(host, "ledger")
        if known is None or known.fact.rows != rows:
            self.board.publish("ledger", LedgerFact(rows))
            self._nudge.set()

    async def _plan(self, live: list[str]) -> None:
        chosen = bool(self._planning.mine(("planner",), live))
        if not chosen and self.planner.holder != self.ctx.incarnation:
            return
        down = {name for name, state in self.fleet.states.items() if state.down or state.leaving}
        demand: dict[str, float] = {}
        for known in self.board.on("demand").values():
            for item, rate in known.fact.rates.items():
                demand[item] = demand.get(item, 0.0) + rate
        await self.planner.work(self.accepted, self.controller.rows, down, demand, chosen)

    def _tries(self) -> bool:
        """Tell whether this host is the one to try what may be blocked for nothing."""
        return self.membership.live()[:1] == [self.ctx.cfg.host_id]

    def _plans(self) -> bool:
        """Tell whether this host is the planner, and may write for all."""
        return self.planner.holder == self.ctx.incarnation and self.lease.valid()

    async def _tell_ends(self) -> None:
        self.blocklist.tell()

    async def _sweep_claims(self) -> None:
        if self._plans():
            await claims.sweep(self.platform, self.ctx.clock.now().timestamp())

    async def _watch(self) -> None:
        if self.accepted is not None:
            await self.watcher.round(self.accepted, self.membership.live())

    async def _share_demand(self) -> None:
        """Tell the others what was asked of this host, and lend what it does not need."""
        now = self.ctx.clock.monotonic()
        others = {}
        members = self.membership.members()
        for origin, known in self.board.on("demand").items():
            if origin == self.ctx.cfg.host_id:
                continue
            self.limits.borrow(origin, known.fact.loans)
            beat = self.board.get(origin, "host")
            if beat is not None and origin in members and members[origin].alive:
                others[origin] = (beat.fact.beat, beat.at, known.fact.usage)
        rows = self.accepted.manifest.callers if self.accepted else []
        limits = {row.id: row.requests_per_second for row in rows}
        loans = self.limits.lend(limits, others, now)
        fact = DemandFact(self.dispatcher.demand.rates(now), self.limits.usage.rates(now), loans)
        known = self.board.get(self.ctx.cfg.host_id, "demand")
        if known is None or known.fact != fact:
            self.board.publish("demand", fact)
