"""Waits of a request before a send, until an endpoint has its item and accepts requests."""

import asyncio
from collections.abc import Callable, Sequence

from peridotdock.context import Context
from peridotdock.decisions.backoff import backoff_seconds
from peridotdock.decisions.choice import Candidate, Prediction, predict
from peridotdock.decisions.permits import Permit, retry_after
from peridotdock.decisions.waiting import UNREACHABLE_RETRY_SECONDS, may_try_cut_off
from peridotdock.errors import Failure, Kind
from peridotdock.relay.caller import Caller
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.item_waits import ItemWaits
from peridotdock.relay.permits import EndpointPermits
from peridotdock.relay.progress import Progress
from peridotdock.relay.requests import RelayRequest
from peridotdock.requests import Loss, RequestState, loss_failure

# Seconds between two checks while all endpoints back off: another one may have been added.
CHECK_SECONDS = 0.25
# Seconds, and share of its time, for which a request waits for a free slot of an endpoint that must
# not refuse any.
MAX_PLACE_WAIT_SECONDS = 0.5
MAX_PLACE_WAIT_SHARE = 0.3


class EndpointWaits:
    """Holds requests on one host, and rejects those whose callers would disconnect first."""

    def __init__(
        self, ctx: Context, fleet: RelayFleet, item_waits: ItemWaits, permits: EndpointPermits
    ):
        self._ctx = ctx
        self._fleet = fleet
        self._item_waits = item_waits
        self._permits = permits
        self.is_draining: Callable[[], bool] = lambda: False

    async def wait_until_usable(
        self, req: RelayRequest, caller: Caller, progress: Progress
    ) -> Failure | None:
        """Wait until some endpoint may serve the request."""
        service, software = progress.service, progress.software
        if software is not None and not self._fleet.has_software(service, software):
            return Failure(Kind.NO_ENDPOINT, f"none of software {software}")
        states = self._find_usable(req, progress)
        if progress.refusals and all(state.key in progress.avoid for state in states):
            refusal = await self._back_off(req, caller, progress)
            if refusal is not None:
                return refusal
            states = self._find_usable(req, progress)
        if self._fleet.is_cut_off() and not may_try_cut_off(
            len(states),
            progress.sends,
            self._ctx.clock.monotonic() - req.received_at,
        ):
            return Failure(
                Kind.NO_ENDPOINT, "no host reaches an endpoint", UNREACHABLE_RETRY_SECONDS
            )
        if states:
            return None
        if progress.working:
            return Failure(Kind.NO_ENDPOINT, "none but those that may work on it")
        if progress.forwarded and not self._fleet.reaches(service, software):
            return Failure(Kind.NO_ENDPOINT, "none that this host reaches")
        if progress.hosts and self._fleet.links_in_doubt():
            reason = f"none of {len(progress.hosts)} hosts took it"
            return Failure(Kind.OVERLOADED, reason, UNREACHABLE_RETRY_SECONDS)
        return await self._item_waits.wait(req, progress, caller)

    def _find_usable(self, req: RelayRequest, progress: Progress) -> list[EndpointState]:
        """Return the endpoints that may serve a request, without those that may work on it."""
        states = self._fleet.usable(progress.service, req.head.inference, progress.software)
        return [state for state in states if state.key not in progress.working]

    async def _back_off(
        self, req: RelayRequest, caller: Caller, progress: Progress
    ) -> Failure | None:
        """Wait until an endpoint that refused the request may have capacity for it."""
        deadline = req.next_event_deadline(progress.last_event_at)
        remaining = deadline - self._ctx.clock.monotonic()
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
        caller: Caller,
        progress: Progress,
        rows: Sequence[Candidate],
    ) -> Prediction | Failure | None:
        """Wait while no endpoint accepts the request, or reject the request.

        Return None if the endpoints are to be checked again.
        """
        row = min(rows, key=lambda row: row.available_in)
        if row.brittle and not row.backoff:
            return await self._wait_for_place(req, caller, progress, row, len(rows))
        seconds = predict(row, self._fleet.estimate_work(progress.service, req.head.inference))
        deadline = req.next_event_deadline(progress.last_event_at)
        max_wait = max(0.0, deadline - self._ctx.clock.monotonic() - seconds)
        if row.backoff and self.is_draining():
            # Other hosts may send there; this host may stop before an answer is complete.
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

    async def _wait_for_place(
        self,
        req: RelayRequest,
        caller: Caller,
        progress: Progress,
        row: Candidate,
        count: int,
    ) -> Failure | None:
        """Wait for a free slot of a brittle endpoint, or reject the request."""
        now = self._ctx.clock.monotonic()
        last_event_at = progress.last_event_at
        since = req.received_at if last_event_at is None else last_event_at
        stays = req.next_event_deadline(last_event_at) - since
        longest = min(MAX_PLACE_WAIT_SECONDS, MAX_PLACE_WAIT_SHARE * stays)
        give_up_at = since + longest
        if now + row.available_in > give_up_at:
            reason = f"no free slot at {count} endpoints"
            wait = retry_after(row.available_in, self._ctx.rng.random)
            return Failure(Kind.OVERLOADED, reason, wait)
        await asyncio.wait({caller.disconnected}, timeout=row.available_in)
        if caller.is_disconnected():
            return loss_failure(RequestState.ADMITTED, Loss.CALLER_GONE)
        return None
