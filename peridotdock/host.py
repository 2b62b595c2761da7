"""One entry host: its components and periodic jobs."""

import asyncio
from functools import partial

from peridotdock import ledger as ledgers
from peridotdock import manifest as manifests
from peridotdock.blocklist import Blocklist
from peridotdock.blocklist_store import BLOCKLIST_CHECK_SECONDS, BlocklistStore
from peridotdock.claims import SWEEP_SECONDS, Claims, sweep
from peridotdock.clients.endpoint import HttpEndpoints
from peridotdock.clients.platform import HttpPlatform, Platform, Row
from peridotdock.context import Context
from peridotdock.controllers import Controller
from peridotdock.dispatch import Dispatcher
from peridotdock.errors import failed
from peridotdock.fact_table import FactTable, Slot
from peridotdock.fleet import Fleet
from peridotdock.jobs import Jobs
from peridotdock.keys import KeyTable
from peridotdock.leases import KEY_PREFIX as LEASE_PREFIX
from peridotdock.leases import HostLease, LeaseTable
from peridotdock.limits import CallerLimits
from peridotdock.loop_iterations import find_iterations
from peridotdock.manifest import Accepted
from peridotdock.membership import Membership
from peridotdock.mesh import Mesh
from peridotdock.planner import PLAN_KEY, Planner
from peridotdock.publishing import HEAD_KEY, fetch_from_store, restore_head
from peridotdock.rendezvous import Assignment
from peridotdock.schema.messages import DemandFact, HeadsFact, HostFact, LedgerFact, Reserved
from peridotdock.service_calls import ServiceCaller
from peridotdock.trial_calls import TrialCalls
from peridotdock.watch import Watcher

HOST_LIST_SECONDS = 2.0
DEMAND_SECONDS = 1.0
RENEWALS_PER_LEASE = 3
POLLS_PER_SCAN = 3


class Host:
    """All components of a host except the HTTP entry."""

    def __init__(self, ctx: Context, platform: Platform | None = None):
        cfg, clock = ctx.cfg, ctx.clock
        self.ctx = ctx
        self.platform = platform or HttpPlatform(cfg.platform_url)
        self.endpoints = HttpEndpoints()
        self.facts = FactTable(cfg.host_id, ctx.epoch, clock)
        self.mesh = Mesh(ctx, self.facts, self._find_body)
        own = HostFact(cfg.host_id, ctx.incarnation, cfg.domain, "", "", "starting", 0)
        self.membership = Membership(self.facts, own, clock)
        self.fleet = Fleet(self.facts, clock)
        self.blocklist = Blocklist(ctx, self.facts, self.fleet.has_ended, self._runs_trials)
        self.dispatcher = Dispatcher(ctx, self.fleet, self.endpoints, self.blocklist)
        self.service_caller = ServiceCaller(ctx, self.fleet, self.endpoints, self.dispatcher.budget)
        self.keys = KeyTable(ctx.incarnation, clock, cfg.max_keys)
        self.limits = CallerLimits(cfg.host_id, self.membership.beat_time)
        self.lease = HostLease(cfg.host_id, ctx.incarnation, cfg.lease_seconds, clock)
        self.lease_table = LeaseTable(cfg.lease_seconds, clock)
        self.claims = Claims(self.platform, self.keys, ctx.incarnation, clock, self.lease_table)
        self.controller = Controller(
            ctx, self.platform, self.endpoints, self.lease, self.lease_table
        )
        self.planner = Planner(ctx, self.platform, self.lease, self.lease_table)
        self.blocklist_store = BlocklistStore(ctx, self.platform, self._is_planner, self.blocklist)
        self.watcher = Watcher(ctx, self.facts, self.endpoints, self.fleet)
        self.accepted: Accepted | None = None
        self.jobs = Jobs(ctx)
        self._wanted_head: HeadsFact | None = None
        self._fetching = asyncio.Lock()
        self._tasks: set[asyncio.Task[None]] = set()
        self._polls = 0
        self._registered_leaving: bool | None = None
        self.platform.era.on_restored = self._on_platform_restored
        self._controlled = Assignment(cfg.host_id)
        self._planning = Assignment(cfg.host_id)
        self._poll_due = asyncio.Event()
        self._blocklist_store_due = asyncio.Event()
        self.blocklist.on_blocked = self._blocklist_store_due.set
        self.controller.on_answer = self._poll_due.set
        self.facts.listen(self._on_changed)

    async def start(self, entry_address: str) -> None:
        """Open the mesh and start the periodic jobs; ``entry_address`` is published to callers."""
        await self.mesh.start()
        TrialCalls(
            self.ctx, self.mesh, self._find_trial_host, find_iterations(), self.blocklist.trials
        )
        addresses = {"entry": entry_address, "peer": self.mesh.address}
        self.membership.own = HostFact(**{**vars(self.membership.own), **addresses})
        self.membership.set_state("starting")
        cfg, every = self.ctx.cfg, self.jobs.every
        every(self.membership.beat_seconds, self._beat, "beat")
        every(lambda: HOST_LIST_SECONDS, self._refresh_hosts, "hosts")
        every(lambda: cfg.lease_seconds / RENEWALS_PER_LEASE, self._renew, "lease")
        every(lambda: cfg.poll_seconds, self._poll, "poll", self._poll_due)
        every(lambda: cfg.watch_seconds, self._watch, "watch")
        every(lambda: DEMAND_SECONDS, self._publish_demand, "demand")
        every(lambda: cfg.watch_seconds, self._publish_ends, "ends")
        every(
            lambda: BLOCKLIST_CHECK_SECONDS,
            self.blocklist_store.step,
            "block list",
            self._blocklist_store_due,
        )
        every(lambda: SWEEP_SECONDS, self._sweep_claims, "claims")
        every(lambda: cfg.poll_seconds, self._write_claims_again, "lost claims")

    async def stop(self) -> None:
        """Give up the roles, publish that this host is gone, and close all connections."""
        await self.jobs.stop()
        for task in self._tasks:
            task.cancel()
        self.controller.drop_all("host is stopping")
        self.membership.set_state("gone")
        await self.ctx.clock.sleep(0.05)
        await self.lease.release(self.platform)
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

    async def _refresh_hosts(self) -> None:
        cfg = self.ctx.cfg
        members = self.membership.members()
        # Silent hosts are included: two live hosts that were cut off from each other for longer
        # than the heartbeat limit would otherwise never dial each other again.
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
        unknown = {
            h.id: h.peer for h in listed if h.id not in members and h.peer and not h.draining
        }
        unknown.pop(cfg.host_id, None)
        self.mesh.connect_to(unknown)
        self.watcher.listed_leaving = {h.id for h in listed if h.draining and h.id not in members}

    async def _register(self) -> None:
        """Register this host on the platform's list, once per state, as each costs a write."""
        wanted = self.membership.own.state in ("leaving", "gone")
        if self._registered_leaving is wanted:
            return
        cfg, address = self.ctx.cfg, self.mesh.address
        if not failed(await self.platform.register_host(cfg.host_id, address, wanted)):
            self._registered_leaving = wanted

    def _on_platform_restored(self, old: int, new: int) -> None:
        """Register again: the platform came back from an older copy, which may lack this host."""
        detail = f"era {old} has ended, era {new} is current"
        self.ctx.timeline.add("store_restored", "WARNING", detail=detail)
        self._registered_leaving = None
        self.claims.expect_lost()
        self._poll_due.set()

    async def _renew(self) -> None:
        if self.membership.own.state in ("leaving", "gone"):
            return
        outcome = await self.lease.renew(self.platform)
        if failed(outcome):
            self.ctx.timeline.add("lease_not_renewed", "WARNING", detail=str(outcome.kind))

    # Manifest

    def _find_body(self, digest: str) -> bytes:
        if self.accepted is None or self.accepted.digest != digest:
            return b""
        return manifests.canonical(self.accepted.document)

    def _on_changed(self, slots: list[Slot]) -> None:
        for origin, topic in slots:
            known = self.facts.get(origin, topic)
            if known is None or origin == self.ctx.cfg.host_id:
                continue
            if topic == "heads":
                self.on_head(known.fact)
                if known.fact.plan > self.planner.generation:
                    self._poll_due.set()
            elif topic == "ledger" and self.planner.holder == self.ctx.incarnation:
                self._poll_due.set()

    def on_head(self, head: HeadsFact) -> None:
        """Fetch the manifest of a head, unless its generation is not newer than the known ones."""
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
        """Fetch the newest wanted manifest from the store or a peer, and put it in force."""
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
                # The next poll or a peer's heads fact triggers another fetch.
                self._wanted_head = None
                return
            self.put_in_force(found)

    def put_in_force(self, accepted: Accepted) -> None:
        """Serve by this manifest from now on; an older generation is ignored."""
        if self.accepted is not None and accepted.generation <= self.accepted.generation:
            return
        self.accepted = accepted
        self.fleet.apply_manifest(accepted)
        self.service_caller.services = {
            name: frozenset(row.endpoints) for name, row in accepted.services.items()
        }
        if self.membership.own.state == "starting":
            self.membership.set_state("live")
        self.ctx.metrics.generation.set(accepted.generation)
        self._publish_heads()
        detail = f"generation {accepted.generation} {accepted.manifest.release}"
        self.ctx.timeline.add("manifest_in_force", detail=detail)

    def _publish_heads(self) -> None:
        if self.accepted is None:
            return
        fact = HeadsFact(self.accepted.generation, self.accepted.digest, self.planner.generation)
        known = self.facts.get(self.ctx.cfg.host_id, "heads")
        if known is None or known.fact != fact:
            self.facts.publish("heads", fact)

    # Roles

    async def _poll(self) -> None:
        """Read the heads and the rows that this host's roles need, then act on them."""
        await self._read_platform()
        if self.accepted is None or not self.lease_table.loaded:
            return
        self.controller.moves = self.planner.moves_by_endpoint()
        live = self.membership.live()
        await self._reconcile_all(live)
        await self._plan(live)
        self._publish_heads()

    async def _read_platform(self) -> None:
        rows = await self.platform.read([HEAD_KEY, PLAN_KEY])
        if failed(rows):
            return
        await self._apply_head(rows.get(HEAD_KEY))
        self.planner.read_row(rows.get(PLAN_KEY))
        leases = await self.platform.scan(LEASE_PREFIX)
        if not failed(leases):
            self.lease_table.update(leases, self.platform.era.current)
            self.limits.hosts = max(
                1, self.lease_table.count_valid(), len(self.facts.by_origin("host"))
            )
        ledger_rows = await self._read_ledgers()
        if ledger_rows is not None:
            self.controller.read_rows(ledger_rows)

    async def _apply_head(self, row: Row | None) -> None:
        """Follow the head; write it again when a restored platform has an older one or none."""
        if row is not None:
            self.on_head(HeadsFact(row.value["generation"], row.value["digest"]))
        known = self.accepted
        if known is None or (row is not None and row.value["generation"] >= known.generation):
            return
        if await restore_head(self.platform, row, known):
            self.ctx.timeline.add("head_written_again", detail=f"generation {known.generation}")

    async def _read_ledgers(self) -> dict[str, Row] | None:
        """Scan the ledger rows if this host plans or has moves, else only every few polls.

        The planner needs all rows, and an unload needs the rows that prove its other copies.
        """
        self._polls += 1
        planning = self.planner.holder in ("", self.ctx.incarnation)
        if not (planning or self.controller.moves or self._polls % POLLS_PER_SCAN == 1):
            return None
        rows = await self.platform.scan(ledgers.KEY_PREFIX)
        return None if failed(rows) else rows

    async def _reconcile_all(self, live: list[str]) -> None:
        accepted = self.accepted
        host = self.ctx.cfg.host_id
        for name in set(self.controller.records) - set(accepted.engines):
            del self.controller.records[name]
        reconcile = partial(self.controller.reconcile, accepted=accepted)
        own = self._controlled.own_keys((f"controller|{name}" for name in accepted.engines), live)
        reconciliations = [
            reconcile(row, chosen=f"controller|{name}" in own)
            for name, row in accepted.engines.items()
        ]
        await asyncio.gather(*reconciliations)
        rows = {
            name: [
                Reserved(r.item, r.state, r.bytes, list(r.places))
                for r in record.ledger.reservations
            ]
            for name, record in self.controller.records.items()
        }
        known = self.facts.get(host, "ledger")
        if known is None or known.fact.rows != rows:
            self.facts.publish("ledger", LedgerFact(rows))
            self._poll_due.set()

    async def _plan(self, live: list[str]) -> None:
        chosen = bool(self._planning.own_keys(("planner",), live))
        if not chosen and self.planner.holder != self.ctx.incarnation:
            return
        down = {name for name, state in self.fleet.states.items() if state.down or state.leaving}
        demand: dict[str, float] = {}
        for known in self.facts.by_origin("demand").values():
            for item, rate in known.fact.rates.items():
                demand[item] = demand.get(item, 0.0) + rate
        await self.planner.update_plan(self.accepted, self.controller.rows, down, demand, chosen)

    def _find_trial_host(self) -> str:
        """Return the host that allows trials of requests that may be blocked wrongly, if any."""
        return next(iter(self.membership.live()), "")

    def _runs_trials(self) -> bool:
        return self._find_trial_host() == self.ctx.cfg.host_id

    def _is_planner(self) -> bool:
        """Tell whether this host is the planner with a valid lease, and may write for all hosts."""
        return self.planner.holder == self.ctx.incarnation and self.lease.valid()

    async def _publish_ends(self) -> None:
        self.blocklist.publish_changes()

    async def _sweep_claims(self) -> None:
        if self._is_planner():
            await sweep(self.platform, self.ctx.clock.now().timestamp())

    async def _write_claims_again(self) -> None:
        count = await self.claims.write_again()
        if count:
            detail = f"{count} claims of idempotency keys"
            self.ctx.timeline.add("claims_written_again", "WARNING", detail=detail)

    async def _watch(self) -> None:
        if self.accepted is not None:
            await self.watcher.read_all(self.accepted, self.membership.live())

    async def _publish_demand(self) -> None:
        """Publish this host's demand and usage, and lend the caller limits it does not need."""
        now = self.ctx.clock.monotonic()
        others = {}
        members = self.membership.members()
        for origin, known in self.facts.by_origin("demand").items():
            if origin == self.ctx.cfg.host_id:
                continue
            self.limits.borrow(origin, known.fact.loans)
            beat = self.facts.get(origin, "host")
            if beat is not None and origin in members and members[origin].alive:
                others[origin] = (beat.fact.beat, beat.at, known.fact.usage)
        rows = self.accepted.manifest.callers if self.accepted else []
        limits = {row.id: row.requests_per_second for row in rows}
        loans = self.limits.lend(limits, others, now)
        fact = DemandFact(self.dispatcher.demand.rates(now), self.limits.usage.rates(now), loans)
        known = self.facts.get(self.ctx.cfg.host_id, "demand")
        if known is None or known.fact != fact:
            self.facts.publish("demand", fact)
