"""Passing a stream on, event by event, and taking it up at another endpoint when one is lost."""

from collections.abc import AsyncIterator

from peridotdock.errors import Failure, failed
from peridotdock.relay.attempt import CompleteAnswer, StreamSource
from peridotdock.relay.caller import CallerConnection
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.progress import Progress
from peridotdock.relay.requests import RelayRequest
from peridotdock.relay.service import RelayService

# Seconds without a byte after which a stream is taken up elsewhere; callers leave after two.
SILENCE_SECONDS = 1.2


class PauseTracker:
    """Finds the longest pause between the events of a stream, and what its endpoint had to do then.

    A caller is owed events without pauses; a late one spoils an answer whose first came in time.
    """

    def __init__(self, service: RelayService, req: RelayRequest):
        self._service = service
        self._ask = req
        self._last: float | None = None
        self.longest = 0.0
        self._detail = ""

    def note(self, state: EndpointState, event_id: int | None) -> float | None:
        """Note events that have just come from an endpoint; the first of them has ``event_id``.

        Return the seconds since those before, None for the first ones.
        """
        now = self._service.ctx.clock.monotonic()
        since, self._last = self._last, now
        if since is None:
            return None
        pause = now - since
        if pause > self.longest:
            self._note_longest(state, event_id, now, pause)
        return pause

    def _note_longest(
        self, state: EndpointState, event_id: int | None, now: float, pause: float
    ) -> None:
        self.longest = pause
        allowed = self._ask.route.longest_pause
        if 0 < allowed < pause:
            running, ahead = state.load(now)
            self._detail = (
                f"{pause:.3f} s before event {event_id}, {running} running, {ahead} tokens ahead"
            )

    def report(self, state: EndpointState) -> None:
        """Count the longest pause of a stream that has ended, and log it when it was too long."""
        ctx, route = self._service.ctx, self._ask.route
        label = ctx.metrics.item_label(route.name)
        ctx.metrics.longest_pause.labels(label).observe(self.longest)
        if self._detail:
            ctx.timeline.add(
                "paused", request=self._ask.id, endpoint=state.key, detail=self._detail
            )


class AnswerBrokenError(Exception):
    """An answer whose head went out can't be ended whole; its connection must show that."""

    broken_on_purpose = True


async def relay_stream(
    service: RelayService,
    req: RelayRequest,
    caller: CallerConnection,
    progress: Progress,
    source: StreamSource,
) -> AsyncIterator[bytes]:
    """Give the caller each event once and in order, and end only when the stream has.

    An event that a second endpoint gives again is left out by its id. What can't be ended whole
    raises :class:`AnswerBrokenError`, so that the server closes the connection without the end
    that would make it look complete.
    """
    pauses = PauseTracker(service, req)
    while True:
        outcome: Failure | None = None
        try:
            async for raw in _relay_source(service, req, caller, progress, source, pauses):
                if failed(raw):
                    outcome = raw
                else:
                    yield raw
        finally:
            whole = outcome is None and source.ended and not source.ready
            service.fleet.request_ended(source.state, req.id, progress.service, whole)
            await source.close(caller)
        if outcome is None:
            pauses.report(source.state)
            service.blocklist.note_answer(req)
            return
        streamed = service.ctx.clock.monotonic() - source.started_at
        service.note_loss(req, source.state, outcome, streamed)
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
    caller: CallerConnection,
    progress: Progress,
    source: StreamSource,
    pauses: PauseTracker,
) -> AsyncIterator[bytes | Failure]:
    """Give one endpoint's events; a loss is the last thing given."""

    def extra_wait() -> float:
        """Return how long to wait on for a silent endpoint: not where another may take over."""
        if service.may_resume_elsewhere(req, progress, source.state):
            return 0.0
        return req.deadline - service.ctx.clock.monotonic()

    while True:
        events = source.pop_ready()
        if events:
            gap = pauses.note(source.state, events[0].id)
            if gap is not None:
                service.note_gap(source.state, progress.service, gap, len(events))
        for event in events:
            if event.id is not None:
                if progress.last_id is not None and event.id <= progress.last_id:
                    continue
                progress.last_id = event.id
            yield event.raw
        if source.ended:
            return
        remaining = req.deadline - service.ctx.clock.monotonic()
        silent = remaining > SILENCE_SECONDS
        failure = await source.fill(caller, min(remaining, SILENCE_SECONDS), silent, extra_wait)
        if failure is not None:
            yield failure
            return


async def _resume(
    service: RelayService,
    req: RelayRequest,
    caller: CallerConnection,
    progress: Progress,
    lost: Failure,
) -> StreamSource | Failure:
    """Take a stream up after its last event, where the route allows it."""
    if not service.may_repeat(req, caller, progress, lost):
        return lost
    found = await service.open(req, caller, progress)
    if isinstance(found, CompleteAnswer):
        return lost
    return found
