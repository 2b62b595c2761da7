"""Relays a stream event by event, and resumes it at another endpoint if one is lost or silent."""

from collections.abc import AsyncIterator

from peridotdock.errors import Failure, failed
from peridotdock.relay.attempt import CompleteAnswer, StreamSource
from peridotdock.relay.caller import Caller
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.progress import Progress
from peridotdock.relay.replacing import (
    CHECK_SECONDS,
    FORWARDED_SILENCE_SECONDS,
    SILENCE_SECONDS,
    Replacement,
    SilentSend,
)
from peridotdock.relay.requests import RelayRequest
from peridotdock.relay.service import SILENT, RelayService


class PauseTracker:
    """Records the longest pause between events of a stream, and its endpoint's load then.

    A long pause delays a caller even if the first event arrived in time.
    """

    def __init__(self, service: RelayService, req: RelayRequest):
        self._service = service
        self._req = req
        self._last: float | None = None
        self.longest = 0.0
        self._detail = ""

    def note(self, state: EndpointState, event_id: int | None) -> float | None:
        """Record events that just arrived from an endpoint; the first one has ``event_id``.

        Return the seconds since the previous events, None for the first ones.
        """
        now = self._service.ctx.clock.monotonic()
        since, self._last = self._last, now
        if since is None:
            return None
        pause = now - since
        if pause > self.longest:
            self._record_longest(state, event_id, now, pause)
        return pause

    def _record_longest(
        self, state: EndpointState, event_id: int | None, now: float, pause: float
    ) -> None:
        self.longest = pause
        allowed = self._req.route.longest_pause
        if 0 < allowed < pause:
            running, ahead = state.load(now)
            self._detail = (
                f"{pause:.3f} s before event {event_id}, {running} running, {ahead} tokens ahead"
            )

    def report(self, state: EndpointState) -> None:
        """Export the longest pause of an ended stream as a metric, and log one over the limit."""
        ctx, route = self._service.ctx, self._req.route
        label = ctx.metrics.item_label(route.name)
        ctx.metrics.longest_pause.labels(label).observe(self.longest)
        if self._detail:
            ctx.timeline.add(
                "paused", request=self._req.id, endpoint=state.key, detail=self._detail
            )


class AnswerBrokenError(Exception):
    """Aborts an answer that can't be completed, after its head was sent to the caller."""

    broken_on_purpose = True


async def relay_stream(
    service: RelayService,
    req: RelayRequest,
    caller: Caller,
    progress: Progress,
    source: StreamSource,
) -> AsyncIterator[bytes]:
    """Yield each event once and in order, until the stream has ended.

    An event that a second endpoint repeats is skipped by its id. If the last event had no higher id
    than those before, a second endpoint would repeat it, so the stream does not go on there. One
    that can't be completed raises :class:`AnswerBrokenError`: the server then closes the connection
    without the final chunk that would make the answer look complete.
    """
    pauses = PauseTracker(service, req)
    while True:
        outcome: Failure | None = None
        found: CompleteAnswer | StreamSource | Failure | None = None
        sent = source.state.in_flight.get(req.id)
        silent = SilentSend(req, caller, progress, source.state, source.endpoint, streaming=True)
        replacement = Replacement(service, silent, source.abort)
        try:
            async for raw in _relay_source(service, req, progress, source, pauses, replacement):
                if failed(raw):
                    outcome = raw
                else:
                    yield raw
            if outcome is not None:
                if not replacement.took_over:
                    service.record_lost_stream(req, source, progress, outcome)
                # The send elsewhere may go to this endpoint from now on.
                service.fleet.request_ended(source.state, req.id, progress.service, complete=False)
                found = await replacement.take()
        finally:
            whole = outcome is None and source.ended and not source.ready
            service.fleet.request_ended(source.state, req.id, progress.service, whole, sent)
            try:
                await source.close()
            finally:
                await replacement.close()
        if outcome is None:
            pauses.report(source.state)
            service.blocklist.record_answer(req)
            return
        if found is None:
            found = await _resume(service, req, caller, progress, outcome)
        if failed(found):
            service.ctx.timeline.add(
                "answer_broken",
                "WARNING",
                request=req.id,
                endpoint=source.state.key,
                detail=f"{found.kind}: {found.reason}, last event {progress.last_id}",
            )
            raise AnswerBrokenError(f"{found.kind}: {found.reason}")
        source = found


async def _relay_source(
    service: RelayService,
    req: RelayRequest,
    progress: Progress,
    source: StreamSource,
    pauses: PauseTracker,
    replacement: Replacement,
) -> AsyncIterator[bytes | Failure]:
    """Yield one endpoint's events, and finally a failure if the endpoint is lost or replaced."""

    def send_elsewhere() -> float:
        """Send the request to another endpoint too; return how long to wait on, 0 to give up."""
        remaining = req.deadline - service.ctx.clock.monotonic()
        if remaining > 0:
            replacement.try_now()
        return min(remaining, CHECK_SECONDS)

    # Only what an earlier endpoint has sent is skipped: one endpoint's events are its own answer.
    passed_on = progress.last_id
    while True:
        events = source.pop_ready()
        if events:
            replacement.drop()
            service.record_streaming(req, source)
            gap = pauses.note(source.state, events[0].id)
            if gap is not None:
                service.record_gap(source.state, progress.service, gap, len(events))
        for event in events:
            if event.id is not None and passed_on is not None and event.id <= passed_on:
                continue
            progress.record_event(event, service.ctx.clock.monotonic())
            yield event.raw
        if source.ended:
            return
        remaining = req.deadline - service.ctx.clock.monotonic()
        longest = FORWARDED_SILENCE_SECONDS if source.state.is_host else SILENCE_SECONDS
        failure = await source.fill(min(remaining, longest), send_elsewhere)
        if replacement.took_over:
            # The other answer goes on after the last event that was passed on, so events that the
            # replaced send delivered before it was ended must not follow it.
            failure = SILENT
        if failure is not None:
            yield failure
            return


async def _resume(
    service: RelayService,
    req: RelayRequest,
    caller: Caller,
    progress: Progress,
    lost: Failure,
) -> StreamSource | Failure:
    """Resume a stream after its last event, if the route allows it."""
    if not service.may_retry(req, caller, progress, lost):
        return lost
    found = await service.open_answer(req, caller, progress)
    if isinstance(found, CompleteAnswer):
        return lost
    return found
