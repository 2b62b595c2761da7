"""Waits of a request before it is sent: for an endpoint that has what it asks for, or takes it."""

import asyncio
from collections.abc import Callable, Sequence

from peridotdock.context import Context
from peridotdock.decisions.backoff import backoff_seconds
from peridotdock.decisions.choice import Candidate, Prediction, predict
from peridotdock.decisions.permits import Permit, retry_after
from peridotdock.errors import Failure, Kind
from peridotdock.relay.absent import WaitingRoom
from peridotdock.relay.asks import RelayAsk
from peridotdock.relay.caller import CallerEnd
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.permits import EndpointPermits
from peridotdock.relay.progress import Progress
from peridotdock.requests import Loss, State, lose

# Seconds between two looks while all endpoints rest: another may have come meanwhile.
LOOK_SECONDS = 0.25


class Waits:
    """Holds requests on one host while their callers stay, and turns away who would wait longer."""

    def __init__(
        self, ctx: Context, fleet: RelayFleet, room: WaitingRoom, permits: EndpointPermits
    ):
        self._ctx = ctx
        self._fleet = fleet
        self._room = room
        self._permits = permits
        self.is_leaving: Callable[[], bool] = lambda: False

    async def until_usable(
        self, ask: RelayAsk, caller: CallerEnd, progress: Progress
    ) -> Failure | None:
        """Wait until some endpoint may serve the request."""
        states = self._fleet.usable(progress.service, ask.head.wish)
        if progress.refusals and all(state.key in progress.avoid for state in states):
            refusal = await self._back_off(ask, caller, progress)
            if refusal is not None:
                return refusal
            states = self._fleet.usable(progress.service, ask.head.wish)
        if states:
            return None
        return await self._room.wait(ask, progress.service, caller)

    async def _back_off(
        self, ask: RelayAsk, caller: CallerEnd, progress: Progress
    ) -> Failure | None:
        """Wait until an endpoint that refused the request may have a place for it."""
        left = ask.first_by - self._ctx.clock.monotonic()
        seconds = backoff_seconds(progress.refusals, left, self._ctx.rng.random)
        await asyncio.wait({caller.left}, timeout=seconds)
        return lose(State.ADMITTED, Loss.CALLER_GONE) if caller.gone() else None

    async def until_open(
        self, ask: RelayAsk, caller: CallerEnd, progress: Progress, rows: Sequence[Candidate]
    ) -> Prediction | Failure | None:
        """Wait for an endpoint where none takes a request now, or turn it away.

        None tells that it is time to look again.
        """
        row = min(rows, key=lambda row: row.opens_in)
        seconds = predict(row, self._fleet.estimate_work(progress.service, ask.head.wish))
        stays = max(0.0, ask.first_by - self._ctx.clock.monotonic() - seconds)
        if row.rest and self.is_leaving():
            # Other hosts may send there; this one may be gone before an answer is whole.
            permit = Permit(False, 0.0)
        elif row.rest:
            permit = Permit(row.opens_in <= stays, row.opens_in)
        else:
            permit = await self._permits.ask(self._fleet.states[row.key], stays, caller)
        if not permit.given:
            reason = f"{len(rows)} endpoints take nothing now, the first in {permit.wait:.2f} s"
            wait = retry_after(permit.wait, self._ctx.rng.random)
            return Failure(Kind.OVERLOADED, reason, wait)
        longest = LOOK_SECONDS if row.rest else permit.wait
        await asyncio.wait({caller.left}, timeout=min(permit.wait, longest))
        if caller.gone():
            return lose(State.ADMITTED, Loss.CALLER_GONE)
        return None if row.rest else Prediction(row, seconds)
