"""Holds requests until some endpoint has the model, adapter or service that they need."""

import asyncio
from collections.abc import Callable

from peridotdock.context import Context
from peridotdock.decisions.waiting import Absence, Wait, decide_wait
from peridotdock.deployment import Deployment
from peridotdock.errors import Failure, Kind
from peridotdock.relay.caller import Caller
from peridotdock.relay.endpoint import item_name
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.peers import Peers
from peridotdock.relay.progress import Progress
from peridotdock.relay.requests import InferenceSpec, RelayRequest
from peridotdock.requests import Loss, RequestState, loss_failure

# Seconds between two checks for an endpoint while no entry changes: an endpoint that could not be
# reached becomes usable again after a pause, without a change of its entry.
CHECK_SECONDS = 0.25
# Seconds for which a request waits for an endpoint of a plain service that has none.
PLAIN_SERVICE_WAIT_SECONDS = 1.0
# Seconds for which a refused request still counts as waiting for its model. Failure guarded
# against: no request can wait for as long as a load takes, so all are refused at once, none counts
# as waiting, and the model is never loaded.
REFUSED_DEMAND_SECONDS = 3.0


class ItemWaits:
    """Holds requests until their item is available, and publishes the items in demand."""

    def __init__(self, ctx: Context, fleet: RelayFleet, peers: Peers):
        self._ctx = ctx
        self._fleet = fleet
        self._peers = peers
        self.deployment: Deployment | None = None
        self.can_forward: Callable[[RelayRequest, Progress], bool] = lambda req, progress: False

    async def wait(self, req: RelayRequest, progress: Progress, caller: Caller) -> Failure | None:
        """Wait until the request can be sent; return a failure if it can't be."""
        inference, service = req.head.inference, progress.service
        absence = self._describe(req, progress)
        found = decide_wait(absence)
        item = name_item(service, inference)
        self._log_wait(req, item, absence, found)
        self._add_waiting(item)
        refusal: Failure | None = Failure(
            Kind.NO_ENDPOINT, f"no copy within {absence.time_left:.1f} s", found.retry_after
        )
        try:
            if found.seconds > 0:
                deadline = self._ctx.clock.monotonic() + found.seconds
                refusal = await self._wait_until_usable(
                    req, progress, caller, deadline, found.retry_after
                )
            return refusal
        finally:
            if refusal is None:
                self._remove_waiting(item)
            else:
                asyncio.get_running_loop().call_later(
                    REFUSED_DEMAND_SECONDS, self._remove_waiting, item
                )

    def _log_wait(self, req: RelayRequest, item: str, absence: Absence, found: Wait) -> None:
        """Log whether the request waits, and the expected time until its item is available."""
        coming = "unknown" if absence.ready_in is None else f"in {absence.ready_in:.2f} s"
        self._ctx.timeline.add(
            "waits" if found.seconds > 0 else "waits_not",
            request=req.id,
            item=item,
            detail=f"{absence.time_left:.2f} s left, coming {coming}, "
            f"a load takes {absence.load_seconds:.2f} s, up to {found.seconds:.2f} s",
        )

    async def _wait_until_usable(
        self,
        req: RelayRequest,
        progress: Progress,
        caller: Caller,
        deadline: float,
        retry_after: float,
    ) -> Failure | None:
        service, inference, software = progress.service, req.head.inference, progress.software
        while not self._fleet.usable(service, inference, software):
            if self.can_forward(req, progress):
                return None
            remaining = deadline - self._ctx.clock.monotonic()
            if remaining <= 0:
                return Failure(Kind.NO_ENDPOINT, "no copy came", retry_after)
            change = asyncio.ensure_future(self._fleet.next_change())
            try:
                await asyncio.wait(
                    {change, caller.disconnected},
                    timeout=min(remaining, CHECK_SECONDS),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                change.cancel()
            if caller.is_disconnected():
                return loss_failure(RequestState.ADMITTED, Loss.CALLER_GONE)
        return None

    def _describe(self, req: RelayRequest, progress: Progress) -> Absence:
        service, inference = progress.service, req.head.inference
        deadline = req.next_event_deadline(progress.last_event_at)
        remaining = deadline - self._ctx.clock.monotonic()
        if inference is None:
            return Absence(remaining, None, PLAIN_SERVICE_WAIT_SECONDS)
        bare = InferenceSpec(inference.model, "", 0, 0, ())
        if self._fleet.usable(service, bare):
            return Absence(remaining, None, 0.0)
        row = self.deployment.services.get(service) if self.deployment else None
        model = row.engine.models.get(inference.model) if row and row.engine else None
        load = self._fleet.load_seconds(service, model) if model else PLAIN_SERVICE_WAIT_SECONDS
        return Absence(remaining, self._fleet.seconds_until_loaded(service, inference.model), load)

    def _add_waiting(self, item: str) -> None:
        waiting = self._peers.waiting
        waiting[item] = waiting.get(item, 0) + 1
        self._peers.publish_wants()

    def _remove_waiting(self, item: str) -> None:
        waiting = self._peers.waiting
        waiting[item] -= 1
        if not waiting[item]:
            del waiting[item]
        self._peers.publish_wants()


def name_item(service: str, inference: InferenceSpec | None) -> str:
    """Return the demand name of a request: the model or adapter, else the service."""
    return service if inference is None else item_name(inference)
