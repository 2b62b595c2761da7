"""Serves requests that were admitted, and counts those in progress."""

from collections.abc import AsyncIterator, Callable, Collection
from typing import Protocol

from blacksheep import Request, Response, StreamedContent

from peridotdock.answers import answer_reply
from peridotdock.context import Context
from peridotdock.decisions.stream_versions import UNKNOWN_SOFTWARE
from peridotdock.errors import Failure, Kind, failed
from peridotdock.relay.attempt import CompleteAnswer, StreamSource
from peridotdock.relay.caller import CallerConnection
from peridotdock.relay.progress import Progress
from peridotdock.relay.requests import RelayRequest
from peridotdock.relay.service import RelayService, bind_software
from peridotdock.relay.stopping import PlannedStop
from peridotdock.relay.streaming import relay_stream
from peridotdock.requests import Reply
from peridotdock.serving import ABORT_KEY

# Seconds after its deadline from which an answer counts as late. Timers fire some milliseconds late
# even on a host that keeps up.
LATE_TOLERANCE_SECONDS = 0.05
# Bytes of a long answer that are given to the server at once.
PART_BYTES = 64 * 1024


class Admission(Protocol):
    """Admits requests; callers' requests and those that other hosts forward differ in it."""

    async def admit(self, req: RelayRequest, caller: CallerConnection) -> Progress | Failure:
        """Return the request's service and its sends so far, or why it is refused."""

    def refund(self, req: RelayRequest) -> None:
        """Take back what was counted for an admitted request that did not run."""


class Responder:
    """Serves requests until their answers have ended, and knows those in progress.

    ``admitted`` counts all requests since the start.
    """

    def __init__(self, ctx: Context, service: RelayService, stop: PlannedStop):
        self._ctx = ctx
        self._service = service
        self._stop = stop
        self._unanswered: set[CallerConnection] = set()
        self._open: dict[CallerConnection, RelayRequest] = {}
        self.admitted = 0
        self.on_stream: Callable[[RelayRequest, Progress], None] = lambda req, progress: None

    @property
    def in_progress(self) -> int:
        """Number of requests that were read and whose answers have not ended."""
        return len(self._open)

    def unfinished(self) -> Collection[RelayRequest]:
        """Return the requests in progress."""
        return self._open.values()

    async def respond(
        self, request: Request, req: RelayRequest, admission: Admission
    ) -> Response | Failure:
        """Return the response to a request, or why it is refused."""
        caller = CallerConnection(request.scope["receive"])
        streaming = False
        self._open[caller] = req
        self._unanswered.add(caller)
        self.admitted += 1
        try:
            progress = await admission.admit(req, caller)
            if failed(progress):
                return self._explain_end(progress, caller)
            found = await self._service.open_answer(req, caller, progress)
            self._unanswered.discard(caller)
            self._count_late(req)
            if failed(found):
                if not found.may_have_run:
                    admission.refund(req)
                return self._explain_end(found, caller)
            self._ctx.metrics.requests.labels("answered").inc()
            head = found.head
            if isinstance(found, CompleteAnswer):
                self._stop.record_answer(req, len(found.body))
                if found.kept is not None:
                    found.kept.overdue = lambda: self._ctx.clock.monotonic() > req.deadline
                    found.kept.cut = request.scope[ABORT_KEY]
                return send_whole(found)
            streaming = True
            bind_software(progress, found)
            progress.endpoint = found.endpoint
            self.on_stream(req, progress)
            self._follow_check(req, progress, found)
            body = self._stream_body(req, caller, progress, found)
            return answer_reply(Reply(head.status, head.headers, body, head.content_type))
        finally:
            if not streaming:
                self._finish(req, caller)

    def end_unanswered(self) -> None:
        """End the requests whose answers have not begun, as the host ends now."""
        for caller in self._unanswered:
            caller.give_up()

    def _follow_check(self, req: RelayRequest, progress: Progress, source: StreamSource) -> None:
        """Take a stream's software version back if another start turns out to have begun it."""

        def on_checked(_: object) -> None:
            if progress.software != UNKNOWN_SOFTWARE and source.is_of_another_start():
                progress.unbind()
                self.on_stream(req, progress)

        if source.check is not None:
            source.check.add_done_callback(on_checked)

    def _count_late(self, req: RelayRequest) -> None:
        if self._ctx.clock.monotonic() > req.deadline + LATE_TOLERANCE_SECONDS:
            self._ctx.metrics.late_answers.inc()

    async def _stream_body(
        self,
        req: RelayRequest,
        caller: CallerConnection,
        progress: Progress,
        source: StreamSource,
    ) -> AsyncIterator[bytes]:
        """Relay a stream; the request counts as in progress until it has ended."""
        size = 0
        try:
            async for part in relay_stream(self._service, req, caller, progress, source):
                size += len(part)
                yield part
            self._stop.record_answer(req, size, source.started_at)
        finally:
            self._finish(req, caller)

    def _explain_end(self, found: Failure, caller: CallerConnection) -> Failure:
        """Return why a request failed, which is the host's stop if that has ended it."""
        if not caller.given_up:
            return found
        if found.may_have_run:
            return Failure(Kind.ANSWER_CUT, "the host stops")
        return self._stop.refuse("not sent in time")

    def _finish(self, req: RelayRequest, caller: CallerConnection) -> None:
        del self._open[caller]
        self._unanswered.discard(caller)
        self._service.blocklist.trials.drop(req)
        caller.stop_watching()


def send_whole(found: CompleteAnswer) -> Response:
    """Return the response for a complete answer, which keeps a long one until it is sent."""
    head = found.head
    response = answer_reply(Reply(head.status, head.headers, found.body, head.content_type))
    if found.kept is None:
        return response

    async def parts() -> AsyncIterator[bytes]:
        body = found.body
        for begin in range(0, len(body), PART_BYTES):
            yield body[begin : begin + PART_BYTES]

    response.content = StreamedContent(response.content.type, parts, len(found.body))
    return response
