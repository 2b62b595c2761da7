"""Requests that wait until some endpoint can serve them."""

import asyncio

from peridotdock.context import Context
from peridotdock.decisions.waiting import Absence, decide
from peridotdock.deployment import Deployment
from peridotdock.errors import Failure, Kind
from peridotdock.relay.asks import ModelWish, RelayAsk
from peridotdock.relay.book import EndpointBook
from peridotdock.relay.caller import CallerEnd
from peridotdock.relay.peers import Peers
from peridotdock.requests import Loss, State, lose

# Seconds that a request waits for an endpoint of a plain service that has none.
SERVICE_SECONDS = 1.0


class WaitingRoom:
    """Holds requests until what they need is there, and tells the other hosts what that is."""

    def __init__(self, ctx: Context, book: EndpointBook, peers: Peers):
        self._ctx = ctx
        self._book = book
        self._peers = peers
        self.deployment: Deployment | None = None

    async def wait(self, ask: RelayAsk, service: str, caller: CallerEnd) -> Failure | None:
        """Wait until the request can be sent; the failure says why it can't be."""
        wish = ask.head.wish
        found = decide(self._describe(ask, service, wish))
        if found.seconds <= 0:
            return Failure(Kind.NO_ENDPOINT, "no copy in time", found.retry_after)
        item = name_item(service, wish)
        self._enter(item)
        try:
            until = self._ctx.clock.monotonic() + found.seconds
            return await self._until(ask, service, wish, caller, until, found.retry_after)
        finally:
            self._leave(item)

    async def _until(
        self,
        ask: RelayAsk,
        service: str,
        wish: ModelWish | None,
        caller: CallerEnd,
        until: float,
        retry_after: float,
    ) -> Failure | None:
        while not self._book.usable(service, wish):
            left = until - self._ctx.clock.monotonic()
            if left <= 0:
                return Failure(Kind.NO_ENDPOINT, "no copy came", retry_after)
            change = asyncio.ensure_future(self._book.next_change())
            try:
                await asyncio.wait(
                    {change, caller.left}, timeout=left, return_when=asyncio.FIRST_COMPLETED
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
        if self._book.usable(service, bare):
            return Absence(left, None, 0.0)
        row = self.deployment.services.get(service) if self.deployment else None
        model = row.engine.models.get(wish.model) if row and row.engine else None
        load = model.load if model else SERVICE_SECONDS
        return Absence(left, self._book.coming(service, wish.model), load)

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
    if wish is None:
        return service
    return f"{wish.model}/{wish.adapter}" if wish.adapter else wish.model
