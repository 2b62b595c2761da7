"""Waits of a request before it is sent: for an endpoint that has what it asks for, or takes it."""

import asyncio
from collections.abc import Callable, Sequence

from peridotdock.context import Context
from peridotdock.decisions.backoff import backoff_seconds
from peridotdock.decisions.choice import Candidate, Prediction, predict
from peridotdock.decisions.permits import Permit, retry_after
from peridotdock.errors import Failure, Kind
from peridotdock.relay.caller import CallerConnection
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.item_waits import ItemWaits
from peridotdock.relay.permits import EndpointPermits
from peridotdock.relay.progress import Progress
from peridotdock.relay.requests import RelayRequest
from peridotdock.requests import Loss, RequestState, loss_failure

# Seconds between two looks while all endpoints rest: another may have come meanwhile.
CHECK_SECONDS = 0.25


class EndpointWaits:
    """Holds requests on one host while their callers stay, and turns away who would wait longer."""

    def __init__(self, ctx: Context, fleet: RelayFleet, room: ItemWaits, permits: EndpointPermits):
        self._ctx = ctx
        self._fleet = fleet
        self._item_waits = room
        self._permits = permits
        self.is_draining: Callable[[], bool] = lambda: False

    async def wait_until_usable(
        self, req: RelayRequest, caller: CallerConnection, progress: Progress
    ) -> Failure | None:
        """Wait until some endpoint may serve the request."""
        states = self._fleet.usable(progress.service, req.head.inference)
        if progress.refusals and all(state.key in progress.avoid for state in states):
            refusal = await self._back_off(req, caller, progress)
            if refusal is not None:
                return refusal
            states = self._fleet.usable(progress.service, req.head.inference)
        if states:
            return None
        return await self._item_waits.wait(req, progress.service, caller)

    async def _back_off(
        self, req: RelayRequest, caller: CallerConnection, progress: Progress
    ) -> Failure | None:
        """Wait until an endpoint that refused the request may have a place for it."""
        remaining = req.first_event_deadline - self._ctx.clock.monotonic()
        seconds = backoff_seconds(progress.refusals, remaining, self._ctx.rng.random)
        await asyncio.wait({caller.disconnected}, timeout=seconds)
        return (
            loss_failure(RequestState.ADMITTED, Loss.CALLER_GONE)
            if caller.is_disconnected()
            else None
        )

    async def wait_until_accepting(
        self,
        req: RelayRequest,
        caller: CallerConnection,
        progress: Progress,
        rows: Sequence[Candidate],
    ) -> Prediction | Failure | None:
        """Wait for an endpoint where none takes a request now, or turn it away.

        None tells that it is time to look again.
        """
        row = min(rows, key=lambda row: row.available_in)
        seconds = predict(row, self._fleet.estimate_work(progress.service, req.head.inference))
        max_wait = max(0.0, req.first_event_deadline - self._ctx.clock.monotonic() - seconds)
        if row.backoff and self.is_draining():
            # Other hosts may send there; this one may be gone before an answer is whole.
            permit = Permit(False, 0.0)
        elif row.backoff:
            permit = Permit(row.available_in <= max_wait, row.available_in)
        else:
            permit = await self._permits.request_permit(
                self._fleet.states[row.key], max_wait, caller
            )
        if not permit.given:
            reason = f"{len(rows)} endpoints take nothing now, the first in {permit.wait:.2f} s"
            wait = retry_after(permit.wait, self._ctx.rng.random)
            return Failure(Kind.OVERLOADED, reason, wait)
        longest = CHECK_SECONDS if row.backoff else permit.wait
        await asyncio.wait({caller.disconnected}, timeout=min(permit.wait, longest))
        if caller.is_disconnected():
            return loss_failure(RequestState.ADMITTED, Loss.CALLER_GONE)
        return None if row.backoff else Prediction(row, seconds)
