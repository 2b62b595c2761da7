"""Enforces workspaces' quotas over all hosts.

Each request takes its units from this host's stock, or from the host that counts for all.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from peridotdock.context import Context
from peridotdock.decisions.quotas import Reserve, Stocks
from peridotdock.deployment import Deployment
from peridotdock.errors import Failure, Kind
from peridotdock.hub_calls import HubCalls
from peridotdock.loop_iterations import LoopIterations
from peridotdock.relay.caller import CallerConnection
from peridotdock.relay.clocks import UptimeClock
from peridotdock.relay.peers import Peers
from peridotdock.relay.quota_counter import CounterServer
from peridotdock.relay.quota_usage import Decision, QuotaUsage
from peridotdock.relay.quota_waits import QuotaWaits, WaitingRequest
from peridotdock.relay.requests import RelayRequest
from peridotdock.relay.settings import Bounds
from peridotdock.relay.shares import Shares
from peridotdock.requests import Loss, RequestState, loss_failure
from peridotdock.schema.messages import (
    QuotaGiven,
    QuotaReturned,
    QuotaWanted,
    StockGiven,
    StockWanted,
)
from peridotdock.workspaces import Quota

# Seconds for which a request waits until some host counts its workspace's units, and for units from
# when one does; and until another host is asked. A lost hub is replaced in less.
PATIENCE_SECONDS = 2.0
RETRY_SECONDS = 0.25
# Least seconds in which a host may reply, also to the last call of a request.
LAST_REPLY_SECONDS = 0.1
# Seconds for which a call is remembered whose reply may come after its request has gone on.
MAX_REPLY_AGE_SECONDS = 10.0
# Retry-after in seconds where no host counts.
SILENT_RETRY_SECONDS = 1.0
# Minimum seconds between two calls for units of the stocks, and after one that brought none.
STOCK_SECONDS = 0.4
LOW_STOCK_SECONDS = 2.0
# Jitter of retry-after, so that callers refused together do not retry together.
RETRY_JITTER_SHARE = 0.5
# Minimum seconds between two log lines on a host that does not reply.
SILENCE_LOG_INTERVAL_SECONDS = 1.0
HostFrame = QuotaGiven | StockGiven


@dataclass(frozen=True, slots=True)
class Charge:
    """The units that a request uses of a workspace's quota."""

    name: str
    quota: Quota
    cost: float


@dataclass(frozen=True, slots=True)
class Verdict:
    """What was decided on a request, and by which host, if another one may have done it.

    ``wait`` is 0 for an admitted request, else the seconds until its caller may retry.
    """

    wait: float
    decision: Decision
    by: str = ""


class Quotas:
    """Checks quotas on one host, which may itself be the one that counts."""

    def __init__(
        self,
        ctx: Context,
        host: str,
        peers: Peers,
        shares: Shares,
        bounds: Bounds,
        iterations: LoopIterations,
        clock: UptimeClock,
    ):
        self._ctx = ctx
        self._host = host
        self._peers = peers
        self._shares = shares
        self._usage = QuotaUsage(ctx)
        self.stocks = Stocks(bounds.quota)
        self._stock_due_at = float("-inf")
        self._reserve = Reserve(bounds.quota.window, clock.seconds())
        shares.may_report_loss = lambda: self._reserve.give(clock.seconds())
        self.server = CounterServer(ctx, shares, bounds.quota, clock, peers.mesh.send_to)
        self._quotas: Mapping[str, Quota] = {}
        self._calls: HubCalls[int] = HubCalls(iterations)
        self._asked: dict[int, tuple[float, Charge]] = {}
        self._waits = QuotaWaits()
        self._silent_count = 0
        self._silence_logged_at = float("-inf")

    def set_deployment(self, deployment: Deployment) -> None:
        """Set the quotas of the workspaces from a new configuration."""
        workspaces = deployment.workspaces
        self._quotas = workspaces.quotas()
        self.server.set_quotas(self._quotas, lambda name: workspaces.get(name) is not None)

    async def admit(self, req: RelayRequest, caller: CallerConnection) -> Failure | None:
        """Admit a request, or return a failure with the time after which to retry."""
        charge = self._find_charge(req)
        if charge is None:
            return None
        verdict = await self._decide(charge, caller, req.deadline)
        if verdict.wait == 0 or not caller.is_disconnected():
            self._usage.add(charge.name, verdict.decision, charge.cost, verdict.by)
        if verdict.wait == 0 and caller.is_disconnected():
            self._return(charge)
        if caller.is_disconnected():
            return loss_failure(RequestState.ADMITTED, Loss.CALLER_GONE)
        if verdict.wait == 0:
            return None
        spread = 1 + RETRY_JITTER_SHARE * (self._ctx.rng.random() - 0.5)
        return Failure(Kind.CALLER_LIMIT, f"workspace {charge.name}", verdict.wait * spread)

    def refund(self, req: RelayRequest) -> None:
        """Return the units of an admitted request that did not run."""
        charge = self._find_charge(req)
        if charge is not None:
            self._return(charge)

    def charge_repeat(self, req: RelayRequest) -> None:
        """Charge a further send of a request that may have run already, whatever is left.

        Its caller's answer is under way, so later requests are refused in its place.
        """
        charge = self._find_charge(req)
        if charge is None:
            return
        self._usage.add(charge.name, Decision.REPEAT, charge.cost)
        self.stocks.charge(charge.name, charge.quota, charge.cost, self._peers.host_count())
        self._settle_debts()

    def _settle_debts(self) -> None:
        """Take what the stocks owe from the buckets; without a link to these they go on owing."""
        for name, units in self.stocks.debts().items():
            if self._give_back(name, -round(units)):
                self.stocks.clear_debt(name)

    def _give_back(self, name: str, units: int) -> bool:
        """Put units into the bucket, or take them if negative; return False without a link."""
        grantor = self._shares.grantor()
        if grantor == self._host:
            self.server.give_back(name, units)
            return True
        frame = QuotaReturned("quota_returned", name, units)
        return self._understands(grantor) and self._peers.mesh.send_to(grantor, frame)

    def _find_charge(self, req: RelayRequest) -> Charge | None:
        """Return the units and quota of a request; None if its workspace has no quota."""
        workspace = req.identity.workspace
        quota = self._quotas.get(workspace.name) if workspace is not None else None
        if quota is None:
            return None
        return Charge(workspace.name, quota, quota.cost(req.head.tokens))

    def _return(self, charge: Charge) -> None:
        """Put a request's units into the stock, and those that don't fit back into the bucket."""
        self._usage.add(charge.name, Decision.RETURNED, charge.cost)
        self._put_back(charge, charge.cost)

    def _put_back(self, charge: Charge, units: float) -> None:
        rest = round(self.stocks.add(charge.name, charge.quota, units, self._peers.host_count()))
        if rest:
            self._give_back(charge.name, rest)

    def _understands(self, host: str) -> bool:
        """Return whether a host offers to use shares, as versions before did not."""
        return self._peers.facts.get(host, "share_offer") is not None

    async def _decide(self, charge: Charge, caller: CallerConnection, deadline: float) -> Verdict:
        """Decide on a request, which may wait until a host counts its units."""
        if self.stocks.take(charge.name, charge.quota, charge.cost, self._peers.host_count()):
            return Verdict(0.0, Decision.STOCK)
        until, is_counted = self._patience_end(deadline), False
        waiting = WaitingRequest(charge.cost, self._ctx.clock.monotonic())
        while True:
            grantor = self._shares.grantor()
            wait = await self._ask(grantor, charge, caller, until)
            if wait == 0 and self._pass_on(charge, waiting, grantor, until):
                wait = -RETRY_SECONDS
            if wait is not None and wait >= 0:
                return Verdict(wait, Decision.REFUSED if wait else Decision.HUB, grantor)
            if wait is not None and not is_counted:
                until, is_counted = self._patience_end(deadline), True
            left = until - self._ctx.clock.monotonic()
            if caller.is_disconnected() or left <= 0:
                break
            seconds = min(left, RETRY_SECONDS if wait is None else -wait)
            granted_by = await self._waits.wait(charge.name, waiting, caller, seconds)
            if granted_by is not None:
                return Verdict(0.0, Decision.HUB, granted_by)
        if wait is not None:
            return Verdict(-wait, Decision.EXPIRED, grantor)
        if not caller.is_disconnected():
            self._record_silence(grantor, charge.name)
        return self._take_own(charge, grantor)

    def _patience_end(self, deadline: float) -> float:
        """Return until when a request waits from now on."""
        return min(deadline, self._ctx.clock.monotonic() + PATIENCE_SECONDS)

    def _pass_on(self, charge: Charge, waiting: WaitingRequest, grantor: str, until: float) -> bool:
        """Pass a request's units on to one that waits for longer; return whether there is one.

        What that one does not need is put back. A request without time left keeps its units.
        """
        if self._ctx.clock.monotonic() >= until:
            return False
        first = self._waits.pass_on(charge.name, waiting, grantor)
        if first is not None and first.cost < charge.cost:
            self._put_back(charge, charge.cost - first.cost)
        return first is not None

    def _take_own(self, charge: Charge, grantor: str) -> Verdict:
        """Take a request's units from this host's own share, if no other host may use that."""
        wait = self.server.take(charge.name, charge.cost) if self._shares.use_own() else -1.0
        if wait == 0:
            return Verdict(0.0, Decision.ALONE)
        return Verdict(wait if wait > 0 else SILENT_RETRY_SECONDS, Decision.EXPIRED, grantor)

    async def _ask(
        self, grantor: str, charge: Charge, caller: CallerConnection, until: float
    ) -> float | None:
        """Return the wait in seconds, negative from a host that does not count.

        Return None without a reply before ``until`` or before another host is to be asked.
        """
        if grantor == self._host:
            return self.server.take(charge.name, charge.cost)

        def send(number: int) -> bool:
            self._asked[number] = self._ctx.clock.monotonic(), charge
            frame = QuotaWanted("quota_wanted", number, charge.name, round(charge.cost))
            return self._peers.mesh.send_to(grantor, frame)

        ends = self._shares.link_ends(grantor)

        def is_valid() -> bool:
            same_link = self._shares.link_ends(grantor) == ends
            return same_link and self._shares.grantor() == grantor

        seconds = max(LAST_REPLY_SECONDS, until - self._ctx.clock.monotonic())
        wait = await self._calls.call_while(send, caller, seconds, is_valid)
        return None if wait is None else wait / 1000

    def _record_silence(self, grantor: str, name: str) -> None:
        """Log, at a limited rate, that no host counted a request's units."""
        self._silent_count += 1
        now = self._ctx.clock.monotonic()
        if now - self._silence_logged_at < SILENCE_LOG_INTERVAL_SECONDS:
            return
        detail = f"{grantor}, {self._silent_count} calls on quotas, the last for workspace {name}"
        self._ctx.timeline.add("hub_silent", "WARNING", detail=detail)
        self._silent_count, self._silence_logged_at = 0, now

    # Frames, and periodic work

    def on_frame(self, host: str, frame) -> None:
        """Handle a frame of another host."""
        if isinstance(frame, QuotaGiven):
            self._on_given(frame)
        elif isinstance(frame, StockGiven):
            self._add_stock(frame.units)
        else:
            self.server.on_frame(host, frame)

    def _on_given(self, frame: QuotaGiven) -> None:
        """Pass a reply to its call; return the units of one that no request waits for."""
        _, charge = self._asked.pop(frame.number, (0.0, None))
        if not self._calls.on_reply(frame.number, frame.wait) and charge and frame.wait == 0:
            self._return(charge)

    def _add_stock(self, units: Mapping[str, int]) -> None:
        """Add the units given; none are given while the quota is low."""
        if not units:
            self._stock_due_at = self._ctx.clock.monotonic() + LOW_STOCK_SECONDS
        hosts = self._peers.host_count()
        for name, row in units.items():
            quota = self._quotas.get(name)
            if quota is not None:
                self.stocks.add(name, quota, row, hosts)

    def publish(self) -> None:
        """Offer and lend shares, fill up the stocks, and log what was decided."""
        if not self._quotas:
            return
        self._usage.log_due()
        self._shares.refresh()
        self.server.advance()
        self._settle_debts()
        self._fill_stocks()
        oldest = self._ctx.clock.monotonic() - MAX_REPLY_AGE_SECONDS
        self._asked = {number: row for number, row in self._asked.items() if row[0] > oldest}

    def _fill_stocks(self) -> None:
        now = self._ctx.clock.monotonic()
        if now < self._stock_due_at:
            return
        missing = self.stocks.missing(self._quotas, self._peers.host_count())
        if not missing:
            return
        self._stock_due_at = now + STOCK_SECONDS
        grantor = self._shares.grantor()
        if grantor == self._host:
            self._add_stock(self.server.supply(missing))
        elif self._understands(grantor):
            self._peers.mesh.send_to(grantor, StockWanted("stock_wanted", missing))
