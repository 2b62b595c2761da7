"""Keeping to workspaces' quotas over all hosts: asking the hub while a quota is low, and its part.

Nothing hangs on the hub: a host that gets no word from it in time serves its own share.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from peridotdock.context import Context
from peridotdock.decisions.quotas import HostQuotas, HubQuotas, Usage
from peridotdock.deployment import Deployment
from peridotdock.errors import Failure, Kind
from peridotdock.relay.asks import RelayAsk
from peridotdock.relay.caller import CallerEnd
from peridotdock.relay.peers import Peers
from peridotdock.relay.questions import Questions
from peridotdock.relay.settings import Bounds
from peridotdock.requests import Loss, State, lose
from peridotdock.schema.messages import QuotaGiven, QuotasFact, QuotaWanted, UsageFact
from peridotdock.turns import Turns
from peridotdock.workspaces import Quota

# Seconds after which the hub says again which quotas are low although that has not changed: by its
# last word hosts know what it has charged.
LOW_SECONDS = 0.5
# Spread of the time until callers come back, so that those of one moment do not do so together.
RETRY_SPREAD = 0.5
# Least time, in seconds, between two log lines on a hub that gives no word.
SILENCE_LINE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Charge:
    """The units that a request takes of a workspace's quota."""

    name: str
    quota: Quota
    cost: float


class Quotas:
    """Quotas on one host, which may be the hub."""

    def __init__(self, ctx: Context, host: str, peers: Peers, bounds: Bounds, turns: Turns):
        self._ctx = ctx
        self._host = host
        self._peers = peers
        self._tolerance = bounds.quota
        self._own = HostQuotas(bounds.quota)
        self._hub: HubQuotas | None = None
        self._quotas: Mapping[str, Quota] = {}
        self._questions: Questions[int] = Questions(turns)
        self._silent = 0
        self._silence_line_at = float("-inf")

    def take_deployment(self, deployment: Deployment) -> None:
        """Take in what the operators allow each workspace."""
        self._quotas = deployment.workspaces.quotas()

    # A host's part

    async def admit(self, ask: RelayAsk, caller: CallerEnd) -> Failure | None:
        """Let a request pass, or turn it away with the time after which it may come back."""
        charge = self._find_charge(ask)
        if charge is None:
            return None
        wait = await self._wait_for(charge, caller)
        if wait == 0 and caller.gone():
            self._own.count(charge.name, -charge.cost)
        if caller.gone():
            return lose(State.ADMITTED, Loss.CALLER_GONE)
        if wait == 0:
            return None
        spread = 1 + RETRY_SPREAD * (self._ctx.rng.random() - 0.5)
        return Failure(Kind.CALLER_LIMIT, f"workspace {charge.name}", wait * spread)

    def give_back(self, ask: RelayAsk) -> None:
        """Count a request that was let pass and did not run as not served."""
        charge = self._find_charge(ask)
        if charge is not None:
            self._own.count(charge.name, -charge.cost)

    def _find_charge(self, ask: RelayAsk) -> Charge | None:
        """Return what a request takes of which quota; None where nothing limits it."""
        workspace = ask.identity.workspace
        quota = self._quotas.get(workspace.name) if workspace is not None else None
        if quota is None:
            return None
        return Charge(workspace.name, quota, quota.cost(ask.head.tokens))

    async def _wait_for(self, charge: Charge, caller: CallerEnd) -> float:
        """Return 0 for a request that may pass, else the seconds until it may come back."""
        name, quota, cost = charge.name, charge.quota, charge.cost
        hub = self._hear_hub()
        if not self._own.must_ask(name):
            self._own.count(name, cost)
            return 0.0
        now = self._ctx.clock.monotonic()
        if hub == self._host:
            return self._as_hub().take(name, quota, cost, self._share(), now)
        wait = await self._ask(hub, name, cost, caller)
        if wait is not None:
            return wait
        if not caller.gone():
            self._note_silence(hub, name)
        return self._own.take_alone(name, quota, cost, len(self._peers.known_hosts()), now)

    def _hear_hub(self) -> str:
        """Take in the hub's last word, and return which host it is."""
        hub = self._peers.hub()
        word = self._peers.board.get(hub, "quotas")
        self._own.hear(word.fact.low if word is not None else None)
        return hub

    async def _ask(self, hub: str, name: str, cost: float, caller: CallerEnd) -> float | None:
        """Return the hub's word on a request, None where it gives none in time."""

        def send(number: int) -> bool:
            return self._peers.mesh.send_to(
                hub, QuotaWanted("quota_wanted", number, name, round(cost))
            )

        wait = await self._questions.ask(send, caller)
        return None if wait is None else wait / 1000

    def _note_silence(self, hub: str, name: str) -> None:
        """Log, once in a while, that requests were judged without the hub's word."""
        self._silent += 1
        now = self._ctx.clock.monotonic()
        if now - self._silence_line_at < SILENCE_LINE_SECONDS:
            return
        detail = f"{hub}, on {self._silent} requests of low quotas, the last of workspace {name}"
        self._ctx.timeline.add("hub_silent", "WARNING", detail=detail)
        self._silent, self._silence_line_at = 0, now

    # What hosts tell each other

    def take(self, host: str, frame: QuotaWanted | QuotaGiven) -> None:
        """Take a frame of another host."""
        if isinstance(frame, QuotaGiven):
            self._questions.hear(frame.number, frame.wait)
        elif self._peers.is_hub():
            self._answer(host, frame)

    def _answer(self, host: str, frame: QuotaWanted) -> None:
        quota, wait = self._quotas.get(frame.workspace), 0.0
        if quota is not None:
            now = self._ctx.clock.monotonic()
            wait = self._as_hub().take(frame.workspace, quota, frame.cost, self._share(), now)
        self._peers.mesh.send_to(host, QuotaGiven("quota_given", frame.number, round(1000 * wait)))

    def tell(self) -> None:
        """Tell the hub what was served without its word; as the hub, tell which quotas are low."""
        if not self._quotas:
            return
        self._hear_hub()
        usage = self._own.usage(self._quotas)
        if usage is not None:
            self._peers.board.publish("usage", UsageFact(usage.totals, usage.since))
        if not self._peers.is_hub():
            self._hub = None
            return
        hub, share, now = (
            self._as_hub(),
            self._share(),
            self._ctx.clock.monotonic(),
        )
        for origin, known in self._peers.board.by_origin("usage").items():
            row = Usage(known.fact.totals, known.fact.since)
            age = now - known.at
            hub.note_usage(origin, known.entry.epoch, row, self._quotas, share, now, age)
        self._tell_low(hub.low(self._quotas, share, now))

    def _as_hub(self) -> HubQuotas:
        """Return the buckets of all hosts, as this host keeps them while it is the hub."""
        if self._hub is None:
            words = self._peers.board.by_origin("quotas").values()
            last = max(words, key=lambda known: known.at, default=None)
            self._hub = HubQuotas(self._tolerance)
            low = last.fact.low if last is not None else None
            self._hub.start(
                self._quotas,
                low,
                self._share(),
                self._ctx.clock.monotonic(),
            )
            self._ctx.timeline.add("quotas_kept", detail=f"{len(self._quotas)} workspaces")
            self._peers.board.publish("quotas", QuotasFact(low or {}))
        return self._hub

    def _tell_low(self, low: Mapping[str, int]) -> None:
        known = self._peers.board.get(self._host, "quotas")
        now = self._ctx.clock.monotonic()
        if known is None or known.fact.low != low or now - known.at >= LOW_SECONDS:
            self._peers.board.publish("quotas", QuotasFact(dict(low)))
        before = known.fact.low if known is not None else {}
        for name in low.keys() - before.keys():
            self._ctx.timeline.add("quota_low", detail=f"workspace {name}: {low[name]} units left")

    def _share(self) -> float:
        return self._peers.part(self._tolerance.over)
