"""Requests that wait until some endpoint can serve them."""

import asyncio

from peridotdock.context import Context
from peridotdock.decisions.waiting import Absence, Wait, decide
from peridotdock.deployment import Deployment
from peridotdock.errors import Failure, Kind
from peridotdock.relay.asks import ModelWish, RelayAsk
from peridotdock.relay.caller import CallerEnd
from peridotdock.relay.endpoint import name_wish
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.peers import Peers
from peridotdock.requests import Loss, State, lose

# Seconds between two looks for an endpoint while nothing changes: one that could not be reached is
# tried again after a pause, which is no change of the entries.
LOOK_SECONDS = 0.25
# Seconds that a request waits for an endpoint of a plain service that has none.
SERVICE_SECONDS = 1.0
# Seconds for which a refused request still counts as waiting for its model. Failure guarded
# against: no request can wait as long as a load takes, so all are refused at once, nobody waits,
# and the model is never loaded.
REFUSED_SECONDS = 3.0


class WaitingRoom:
    """Holds requests until what they need is there, and tells the other hosts what that is."""

    def __init__(self, ctx: Context, fleet: RelayFleet, peers: Peers):
        self._ctx = ctx
        self._fleet = fleet
        self._peers = peers
        self.deployment: Deployment | None = None

    async def wait(self, ask: RelayAsk, service: str, caller: CallerEnd) -> Failure | None:
        """Wait until the request can be sent; the failure says why it can't be."""
        wish = ask.head.wish
        absence = self._describe(ask, service, wish)
        found = decide(absence)
        item = name_item(service, wish)
        self._note(ask, item, absence, found)
        self._enter(item)
        refusal: Failure | None = Failure(
            Kind.NO_ENDPOINT, f"no copy within {absence.left:.1f} s", found.retry_after
        )
        try:
            if found.seconds > 0:
                until = self._ctx.clock.monotonic() + found.seconds
                refusal = await self._until(service, wish, caller, until, found.retry_after)
            return refusal
        finally:
            if refusal is None:
                self._leave(item)
            else:
                asyncio.get_running_loop().call_later(REFUSED_SECONDS, self._leave, item)

    def _note(self, ask: RelayAsk, item: str, absence: Absence, found: Wait) -> None:
        """Log whether the request waits, and what was known of what it waits for."""
        coming = "unknown" if absence.coming is None else f"in {absence.coming:.2f} s"
        self._ctx.timeline.add(
            "waits" if found.seconds > 0 else "waits_not",
            request=ask.id,
            item=item,
            detail=f"{absence.left:.2f} s left, coming {coming}, "
            f"a load takes {absence.load:.2f} s, up to {found.seconds:.2f} s",
        )

    async def _until(
        self,
        service: str,
        wish: ModelWish | None,
        caller: CallerEnd,
        until: float,
        retry_after: float,
    ) -> Failure | None:
        while not self._fleet.usable(service, wish):
            left = until - self._ctx.clock.monotonic()
            if left <= 0:
                return Failure(Kind.NO_ENDPOINT, "no copy came", retry_after)
            change = asyncio.ensure_future(self._fleet.next_change())
            try:
                await asyncio.wait(
                    {change, caller.left},
                    timeout=min(left, LOOK_SECONDS),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                change.cancel()
            if caller.gone():
                return lose(State.ADMITTED, Loss.CALLER_GONE)
        return None

    def _describe(self, ask: RelayAsk, service: str, wish: ModelWish | None) -> Absence:
        left = ask.first_by - self._ctx.clock.monotonic()
        if wish is None:
            return Absence(left, None, SERVICE_SECONDS)
        bare = ModelWish(wish.model, "", 0, 0, ())
        if self._fleet.usable(service, bare):
            return Absence(left, None, 0.0)
        row = self.deployment.services.get(service) if self.deployment else None
        model = row.engine.models.get(wish.model) if row and row.engine else None
        load = self._fleet.load_seconds(service, model) if model else SERVICE_SECONDS
        return Absence(left, self._fleet.coming(service, wish.model), load)

    def _enter(self, item: str) -> None:
        waiting = self._peers.waiting
        waiting[item] = waiting.get(item, 0) + 1
        self._peers.tell_wants()

    def _leave(self, item: str) -> None:
        waiting = self._peers.waiting
        waiting[item] -= 1
        if not waiting[item]:
            del waiting[item]
        self._peers.tell_wants()


def name_item(service: str, wish: ModelWish | None) -> str:
    """Return the name under which a model or adapter is asked for."""
    return service if wish is None else name_wish(wish)
