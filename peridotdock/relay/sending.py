"""One send of a request to one endpoint, up to the head of the answer."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Self, TypeVar

from peridotdock.clients.endpoint import Call, HttpEndpoints, OpenResponse, read_all
from peridotdock.clock import Clock
from peridotdock.decisions.overload import connect_timeout
from peridotdock.errors import Failure, Kind, failed
from peridotdock.loop_iterations import find_iterations
from peridotdock.relay.caller import CallerConnection
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.requests import AnswerHead, RelayRequest, SendOptions
from peridotdock.relay.wire import Wire
from peridotdock.requests import Loss, RequestState, loss_failure
from peridotdock.timeouts import IterationTimeout

T = TypeVar("T")
# Called with the head of each answer, and when its request was sent (monotonic seconds).
OnAnswer = Callable[[RelayRequest, EndpointState, AnswerHead, float], None]
SUCCESS = range(200, 300)
# What an endpoint says that did not run a request: the connection is as good as before. Each new
# one costs the endpoint a millisecond, and those that it refuses are the busiest.
NOT_RUN_KINDS = frozenset({Kind.ENDPOINT_REFUSED, Kind.ENDPOINT_LACKS})
# Seconds that the rest of a refusal may take; its few bytes come with its head.
REFUSAL_BODY_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class PendingAnswer:
    """An answer whose head has come."""

    state: EndpointState
    opened: OpenResponse
    head: AnswerHead


class CallerTimeout(IterationTimeout):
    """Ends the work of the running task when its time is over or the caller has left.

    The work goes on in the same task: handing it to another one costs two turns of the loop more
    for each step, and on a host that is behind a turn is long.
    """

    def __init__(self, caller: CallerConnection, seconds: float):
        super().__init__(seconds)
        self._caller = caller

    async def __aenter__(self) -> Self:
        """Begin to count, and to watch the caller."""
        await super().__aenter__()
        self._caller.disconnected.add_done_callback(self._on_disconnect)
        return self

    async def __aexit__(self, *exc: Any) -> bool | None:
        """Stop both; raises TimeoutError when the work was ended."""
        self._caller.disconnected.remove_done_callback(self._on_disconnect)
        return await super().__aexit__(*exc)

    def _on_disconnect(self, _: object) -> None:
        self.expire()


async def wait_for(
    work: Awaitable[T], caller: CallerConnection, seconds: float, silence: bool = False
) -> T | Failure:
    """Wait for an endpoint, for as long as the caller is there and the time lasts.

    ``silence`` tells what the end of the time means: the endpoint's silence, or the deadline.
    """
    limit = CallerTimeout(caller, seconds)
    try:
        async with limit:
            return await work
    except TimeoutError:
        if not limit.expired():
            raise
    if caller.is_disconnected():
        return loss_failure(RequestState.SENT, Loss.CALLER_GONE)
    return loss_failure(RequestState.SENT, Loss.SILENCE if silence else Loss.DEADLINE)


class Sender:
    """Sends requests to endpoints and checks that what comes back is their answer."""

    def __init__(self, wire: Wire, endpoints: HttpEndpoints, clock: Clock):
        self._wire = wire
        self._endpoints = endpoints
        self._clock = clock
        self._turns = find_iterations()
        self.on_answer: OnAnswer = lambda req, state, head, sent_at: None

    async def send(
        self,
        req: RelayRequest,
        state: EndpointState,
        caller: CallerConnection,
        priority: int,
        resume_after: str,
        head_timeout: float,
    ) -> PendingAnswer | Failure:
        """Send and wait for the head, ``patience`` seconds at most."""
        remaining = req.deadline - self._clock.monotonic()
        options = SendOptions(state.key, remaining, priority, resume_after)
        call = Call(
            req.method,
            req.target,
            self._wire.write_send(req, options),
            req.body,
            at_most_once=True,
            connect_timeout=connect_timeout(remaining),
            still_wanted=state.accepts_requests,
        )
        sent_at = self._clock.monotonic()
        work = self._endpoints.open(f"http://{state.entry.address}", call)
        opened = await wait_for(
            work, caller, min(remaining, head_timeout), silence=head_timeout < remaining
        )
        if failed(opened):
            return opened
        head = self._wire.read_answer(opened.status, opened.headers)
        if head.attempt_id in ("", req.id):
            self.on_answer(req, state, head, sent_at)
        failure = check_answer_head(head, req.id)
        if failure is not None:
            if failure.kind in NOT_RUN_KINDS:
                await wait_for(read_all(opened), caller, REFUSAL_BODY_SECONDS)
            else:
                # Another answer may follow where the next request's is expected, and an answer that
                # was read to its end has given its connection back already.
                opened.abort()
                self._endpoints.renew_connections(f"http://{state.entry.address}")
            await opened.release()
            return failure
        return PendingAnswer(state, opened, head)


def check_answer_head(head: AnswerHead, attempt_id: str) -> Failure | None:
    """Return why an answer can't be passed on, or None.

    Failure guarded against: an endpoint sends a second answer after its first, and it stands where
    the next request's is expected; or its place has been taken by another service. The first shows
    by the id, the second by the missing receipt. The connection is not used again.
    """
    if head.attempt_id and head.attempt_id != attempt_id:
        return Failure(Kind.WRONG_ANSWER, "id of another request")
    if head.misdirected:
        return Failure(Kind.ENDPOINT_LACKS, f"status {head.status}")
    if head.not_run:
        return Failure(Kind.ENDPOINT_REFUSED, f"status {head.status}")
    if head.status in SUCCESS and not (head.receipt and head.attempt_id):
        return Failure(Kind.WRONG_ANSWER, "no receipt")
    return None
