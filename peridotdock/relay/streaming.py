"""Passing a stream on, event by event, and taking it up at another endpoint when one is lost."""

from collections.abc import AsyncIterator

from peridotdock.errors import Failure, failed
from peridotdock.relay.asks import RelayAsk
from peridotdock.relay.attempt import Source, Whole
from peridotdock.relay.caller import CallerEnd
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.progress import Progress
from peridotdock.relay.service import RelayService

# Seconds without a byte after which a stream is taken up elsewhere; callers leave after two.
SILENCE_SECONDS = 1.2


class PauseWatch:
    """Finds the longest pause between the events of a stream, and what its endpoint had to do then.

    A caller is owed events without pauses; a late one spoils an answer whose first came in time.
    """

    def __init__(self, service: RelayService, ask: RelayAsk):
        self._service = service
        self._ask = ask
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

    def tell(self, state: EndpointState) -> None:
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


async def pass_on(
    service: RelayService, ask: RelayAsk, caller: CallerEnd, progress: Progress, source: Source
) -> AsyncIterator[bytes]:
    """Give the caller each event once and in order, and end only when the stream has.

    An event that a second endpoint gives again is left out by its id. What can't be ended whole
    raises :class:`AnswerBrokenError`, so that the server closes the connection without the end
    that would make it look complete.
    """
    pauses = PauseWatch(service, ask)
    while True:
        outcome: Failure | None = None
        try:
            async for raw in _pass_part(service, ask, caller, progress, source, pauses):
                if failed(raw):
                    outcome = raw
                else:
                    yield raw
        finally:
            whole = outcome is None and source.ended and not source.ready
            service.fleet.request_ended(source.state, ask.id, progress.service, whole)
            await source.close(caller)
        if outcome is None:
            pauses.tell(source.state)
            service.blocklist.note_answer(ask)
            return
        streamed = service.ctx.clock.monotonic() - source.began
        service.note_loss(ask, source.state, outcome, streamed)
        found = await _resume(service, ask, caller, progress, outcome)
        if failed(found):
            service.ctx.timeline.add(
                "answer_broken",
                "WARNING",
                request=ask.id,
                endpoint=source.state.key,
                detail=f"{found.kind}: {found.reason}, last event {progress.last_id}",
            )
            raise AnswerBrokenError(f"{found.kind}: {found.reason}")
        source = found


async def _pass_part(
    service: RelayService,
    ask: RelayAsk,
    caller: CallerEnd,
    progress: Progress,
    source: Source,
    pauses: PauseWatch,
) -> AsyncIterator[bytes | Failure]:
    """Give one endpoint's events; a loss is the last thing given."""

    def stay() -> float:
        """Return how long to wait on for a silent endpoint: not where another may take over."""
        if service.may_move(ask, progress, source.state):
            return 0.0
        return ask.deadline - service.ctx.clock.monotonic()

    while True:
        events = source.take()
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
        left = ask.deadline - service.ctx.clock.monotonic()
        silent = left > SILENCE_SECONDS
        fault = await source.fill(caller, min(left, SILENCE_SECONDS), silent, stay)
        if fault is not None:
            yield fault
            return


async def _resume(
    service: RelayService, ask: RelayAsk, caller: CallerEnd, progress: Progress, lost: Failure
) -> Source | Failure:
    """Take a stream up after its last event, where the route allows it."""
    if not service.may_repeat(ask, caller, progress, lost):
        return lost
    found = await service.open(ask, caller, progress)
    if isinstance(found, Whole):
        return lost
    return found
