"""Enforces workspaces' quotas over all hosts; hosts call the hub while a quota is low.

Serving does not depend on the hub: a host without a reply in time serves its own share.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from peridotdock.context import Context
from peridotdock.decisions.quotas import HostQuotas, HubQuotas, Usage
from peridotdock.deployment import Deployment
from peridotdock.errors import Failure, Kind
from peridotdock.hub_calls import HubCalls
from peridotdock.loop_iterations import LoopIterations
from peridotdock.relay.caller import CallerConnection
from peridotdock.relay.peers import Peers
from peridotdock.relay.quota_usage import Decision, QuotaUsage
from peridotdock.relay.requests import RelayRequest
from peridotdock.relay.settings import Bounds
from peridotdock.requests import Loss, RequestState, loss_failure
from peridotdock.schema.messages import QuotaGiven, QuotasFact, QuotaWanted, UsageFact
from peridotdock.workspaces import Quota

# Seconds after which the hub publishes an unchanged list of low quotas again. Hosts know by its
# last update what it has charged.
LOW_REPUBLISH_SECONDS = 0.5
# Jitter of retry-after, so that callers refused together do not retry together.
RETRY_JITTER_SHARE = 0.5
# Minimum seconds between two log lines on a hub that does not reply.
SILENCE_LOG_INTERVAL_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Charge:
    """The units that a request uses of a workspace's quota."""

    name: str
    quota: Quota
    cost: float


class Quotas:
    """Checks quotas on one host, which may itself be the hub."""

    def __init__(
        self, ctx: Context, host: str, peers: Peers, bounds: Bounds, iterations: LoopIterations
    ):
        self._ctx = ctx
        self._host = host
        self._peers = peers
        self._tolerance = bounds.quota
        self._own = HostQuotas(bounds.quota)
        self._usage = QuotaUsage(ctx)
        self._hub: HubQuotas | None = None
        self._quotas: Mapping[str, Quota] = {}
        self._hub_calls: HubCalls[int] = HubCalls(iterations)
        self._silent_count = 0
        self._silence_logged_at = float("-inf")

    def set_deployment(self, deployment: Deployment) -> None:
        """Set the quotas of the workspaces from a new configuration."""
        self._quotas = deployment.workspaces.quotas()

    # On every host

    async def admit(self, req: RelayRequest, caller: CallerConnection) -> Failure | None:
        """Admit a request, or return a failure with the time after which to retry."""
        charge = self._find_charge(req)
        if charge is None:
            return None
        wait = await self._wait_for(charge, caller)
        if wait == 0 and caller.is_disconnected():
            self._return(charge)
        if caller.is_disconnected():
            return loss_failure(RequestState.ADMITTED, Loss.CALLER_GONE)
        if wait == 0:
            return None
        self._usage.add(charge.name, Decision.REFUSED, charge.cost)
        spread = 1 + RETRY_JITTER_SHARE * (self._ctx.rng.random() - 0.5)
        return Failure(Kind.CALLER_LIMIT, f"workspace {charge.name}", wait * spread)

    def refund(self, req: RelayRequest) -> None:
        """Return the units of an admitted request that did not run."""
        charge = self._find_charge(req)
        if charge is not None:
            self._return(charge)

    def _return(self, charge: Charge) -> None:
        self._own.count(charge.name, -charge.cost)
        self._usage.add(charge.name, Decision.RETURNED, charge.cost)

    def _find_charge(self, req: RelayRequest) -> Charge | None:
        """Return the units and quota of a request; None if its workspace has no quota."""
        workspace = req.identity.workspace
        quota = self._quotas.get(workspace.name) if workspace is not None else None
        if quota is None:
            return None
        return Charge(workspace.name, quota, quota.cost(req.head.tokens))

    async def _wait_for(self, charge: Charge, caller: CallerConnection) -> float:
        """Return 0 for an admitted request, else the seconds until it may be retried."""
        name, quota, cost = charge.name, charge.quota, charge.cost
        hub = self._read_hub_quotas()
        if not self._own.needs_hub(name):
            self._own.count(name, cost)
            self._usage.add(name, Decision.UNASKED, cost)
            return 0.0
        now = self._ctx.clock.monotonic()
        if hub == self._host:
            wait = self._as_hub().take(name, quota, cost, self._share(), now)
            return self._count_admitted(charge, wait, Decision.HUB, hub)
        wait = await self._call_hub(hub, name, cost, caller)
        if wait is not None:
            return self._count_admitted(charge, wait, Decision.HUB, hub)
        if not caller.is_disconnected():
            self._record_silence(hub, name)
        hosts = len(self._peers.known_hosts())
        wait = self._own.take_local(name, quota, cost, hosts, now)
        return self._count_admitted(charge, wait, Decision.ALONE)

    def _count_admitted(
        self, charge: Charge, wait: float, decision: Decision, by: str = ""
    ) -> float:
        if wait == 0:
            self._usage.add(charge.name, decision, charge.cost, by)
        return wait

    def _read_hub_quotas(self) -> str:
        """Apply the hub's last published quotas, and return the hub's id."""
        hub = self._peers.hub()
        update = self._peers.facts.get(hub, "quotas")
        self._own.update_low(update.fact.low if update is not None else None)
        return hub

    async def _call_hub(
        self, hub: str, name: str, cost: float, caller: CallerConnection
    ) -> float | None:
        """Return the wait in seconds from the hub, or None without a reply in time."""

        def send(number: int) -> bool:
            return self._peers.mesh.send_to(
                hub, QuotaWanted("quota_wanted", number, name, round(cost))
            )

        wait = await self._hub_calls.call(send, caller)
        return None if wait is None else wait / 1000

    def _record_silence(self, hub: str, name: str) -> None:
        """Log, at a limited rate, that requests were decided without a reply of the hub."""
        self._silent_count += 1
        now = self._ctx.clock.monotonic()
        if now - self._silence_logged_at < SILENCE_LOG_INTERVAL_SECONDS:
            return
        detail = f"{hub}, {self._silent_count} calls on low quotas, the last for workspace {name}"
        self._ctx.timeline.add("hub_silent", "WARNING", detail=detail)
        self._silent_count, self._silence_logged_at = 0, now

    # Frames and facts between hosts

    def on_frame(self, host: str, frame: QuotaWanted | QuotaGiven) -> None:
        """Handle a frame of another host."""
        if isinstance(frame, QuotaGiven):
            self._hub_calls.on_reply(frame.number, frame.wait)
        elif self._peers.is_hub():
            self._answer(host, frame)

    def _answer(self, host: str, frame: QuotaWanted) -> None:
        quota, wait = self._quotas.get(frame.workspace), 0.0
        if quota is not None:
            now = self._ctx.clock.monotonic()
            wait = self._as_hub().take(frame.workspace, quota, frame.cost, self._share(), now)
        self._peers.mesh.send_to(host, QuotaGiven("quota_given", frame.number, round(1000 * wait)))

    def publish(self) -> None:
        """Publish this host's usage, and as the hub, which quotas are low."""
        if not self._quotas:
            return
        self._usage.log_due()
        self._read_hub_quotas()
        usage = self._own.usage(self._quotas)
        if usage is not None:
            self._peers.facts.publish("usage", UsageFact(usage.totals, usage.since))
        if not self._peers.is_hub():
            self._hub = None
            self._ctx.metrics.quota_share.set(0.0)
            return
        self._ctx.metrics.quota_share.set(self._share())
        hub, share, now = (
            self._as_hub(),
            self._share(),
            self._ctx.clock.monotonic(),
        )
        for origin, known in self._peers.facts.by_origin("usage").items():
            row = Usage(known.fact.totals, known.fact.since)
            age = now - known.at
            hub.charge_usage(origin, known.entry.epoch, row, self._quotas, share, now, age)
        self._publish_low(hub.low(self._quotas, share, now))

    def _as_hub(self) -> HubQuotas:
        """Return the shared buckets that this host keeps while it is the hub."""
        if self._hub is None:
            updates = self._peers.facts.by_origin("quotas").values()
            last = max(updates, key=lambda known: known.at, default=None)
            self._hub = HubQuotas(self._tolerance)
            low = last.fact.low if last is not None else None
            self._hub.start(
                self._quotas,
                low,
                self._share(),
                self._ctx.clock.monotonic(),
            )
            known = f"what {last.entry.origin} published" if last is not None else "nothing"
            detail = f"{len(self._quotas)} workspaces, share {self._share():.3f}, known: {known}"
            self._ctx.timeline.add("quotas_kept", detail=detail)
            self._peers.facts.publish("quotas", QuotasFact(low or {}))
        return self._hub

    def _publish_low(self, low: Mapping[str, int]) -> None:
        known = self._peers.facts.get(self._host, "quotas")
        now = self._ctx.clock.monotonic()
        if known is None or known.fact.low != low or now - known.at >= LOW_REPUBLISH_SECONDS:
            self._peers.facts.publish("quotas", QuotasFact(dict(low)))
        before = known.fact.low if known is not None else {}
        for name in low.keys() - before.keys():
            self._ctx.timeline.add("quota_low", detail=f"workspace {name}: {low[name]} units left")

    def _share(self) -> float:
        return self._peers.hub_share(self._tolerance.over)
