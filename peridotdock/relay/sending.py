"""Sends a request to one endpoint and waits for the head of its answer."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Self, TypeVar

from peridotdock.clients.endpoint import (
    MAX_REFUSAL_BYTES,
    Call,
    HttpEndpoints,
    OpenResponse,
    read_all,
)
from peridotdock.clients.http import Exchange
from peridotdock.clock import Clock
from peridotdock.decisions.overload import connect_timeout
from peridotdock.decisions.stream_versions import UNKNOWN_SOFTWARE
from peridotdock.errors import Failure, Kind, failed
from peridotdock.loop_iterations import find_iterations
from peridotdock.relay.caller import Caller
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.requests import AnswerHead, RelayRequest, SendOptions
from peridotdock.relay.wire import Wire
from peridotdock.requests import Loss, RequestState, loss_failure
from peridotdock.timeouts import IterationTimeout

T = TypeVar("T")
# Called with the head of each answer and the monotonic seconds at which its request was sent.
OnAnswer = Callable[[RelayRequest, EndpointState, AnswerHead, float], None]
SUCCESS = range(200, 300)
# Failures of an endpoint that did not run the request; the connection is kept. A new connection
# costs the endpoint a millisecond, and endpoints that refuse requests are the busiest.
NOT_RUN_KINDS = frozenset({Kind.ENDPOINT_REFUSED, Kind.ENDPOINT_LACKS})
# Timeout in seconds for the body of a refusal, whose few bytes arrive with its head.
REFUSAL_BODY_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class PendingAnswer:
    """An answer of which the head was received and the body is still to be read.

    ``software`` is the version of the endpoint's software when it was sent the request, None if it
    is not known. ``endpoint`` is the id of the endpoint, empty if another host did not tell it.
    """

    state: EndpointState
    opened: OpenResponse
    head: AnswerHead
    software: str | None = None
    endpoint: str = ""


class CallerTimeout(IterationTimeout):
    """Ends the work of the running task at its timeout or when the caller disconnects.

    The work stays in the same task: moving it to another one costs two more loop iterations per
    step, and on a host with a late loop each iteration is long.
    """

    def __init__(self, caller: Caller, seconds: float):
        super().__init__(seconds)
        self._caller = caller

    async def __aenter__(self) -> Self:
        """Start the timeout and watch for the caller's disconnect."""
        await super().__aenter__()
        self._caller.disconnected.add_done_callback(self._on_disconnect)
        return self

    async def __aexit__(self, *exc: Any) -> bool | None:
        """Stop both; raises TimeoutError if the work was ended."""
        self._caller.disconnected.remove_done_callback(self._on_disconnect)
        return await super().__aexit__(*exc)

    def _on_disconnect(self, _: object) -> None:
        self.expire()


async def wait_for(work: Awaitable[T], caller: Caller, seconds: float) -> T | Failure:
    """Wait for ``work`` until it is done, ``seconds`` pass or the caller disconnects."""
    limit = CallerTimeout(caller, seconds)
    try:
        async with limit:
            return await work
    except TimeoutError:
        if not limit.expired():
            raise
    if caller.is_disconnected():
        return loss_failure(RequestState.SENT, Loss.CALLER_GONE)
    return loss_failure(RequestState.SENT, Loss.DEADLINE)


class Sender:
    """Sends requests to endpoints and checks that the answers belong to them."""

    def __init__(self, wire: Wire, endpoints: HttpEndpoints, clock: Clock):
        self._wire = wire
        self._endpoints = endpoints
        self._clock = clock
        self._iterations = find_iterations()
        self.on_answer: OnAnswer = lambda req, state, head, sent_at: None

    async def send(
        self,
        req: RelayRequest,
        state: EndpointState,
        caller: Caller,
        priority: int,
        resume_after: str,
        still_wanted: Callable[[], bool],
    ) -> PendingAnswer | Failure:
        """Send, and wait for the head of the answer until the deadline.

        ``still_wanted`` is called once there is a connection; the request is sent only if it
        returns true.
        """
        remaining = req.deadline - self._clock.monotonic()
        options = SendOptions(state.key, remaining, priority, resume_after)
        exchange = Exchange(req.id, req.route.repeatable)
        call = Call(
            req.method,
            req.target,
            self._wire.write_send(req, options),
            req.body,
            at_most_once=True,
            connect_timeout=connect_timeout(remaining),
            still_wanted=still_wanted,
            exchange=exchange,
        )
        sent_at = self._clock.monotonic()
        software = UNKNOWN_SOFTWARE if state.superseded else state.entry.software
        work = self._endpoints.open(f"http://{state.entry.address}", call)
        opened = await wait_for(work, caller, remaining)
        if failed(opened):
            return opened
        state.heard_at = self._clock.monotonic()
        head = self._wire.read_answer(opened.status, opened.headers)
        exchange.named = head.attempt_id
        if head.attempt_id in ("", req.id):
            self.on_answer(req, state, head, sent_at)
        failure = check_answer_head(head, req.id, exchange.in_doubt)
        if failure is not None:
            if failure.kind in NOT_RUN_KINDS and exchange.in_doubt:
                # If it is a copy, the endpoint runs the request, until it sees the close.
                opened.close_connection(exchange)
            elif failure.kind in NOT_RUN_KINDS:
                await wait_for(read_all(opened, MAX_REFUSAL_BYTES), caller, REFUSAL_BODY_SECONDS)
            else:
                # A second answer may follow and be read as the next request's. The connection of an
                # answer that was read to its end is already back in the pool.
                opened.abort()
                self._endpoints.renew_connections(f"http://{state.entry.address}")
            await opened.release()
            return failure
        return PendingAnswer(state, opened, head, software, state.key)


def check_answer_head(head: AnswerHead, attempt_id: str, in_doubt: bool = False) -> Failure | None:
    """Return why an answer can't be passed on, or None.

    ``in_doubt`` tells whether it may be a copy of an answer before it on its connection.
    Failure guarded against: an endpoint sends a second answer after its first, which is read as the
    answer to the next request; or another service now runs at its address. The first is detected by
    the attempt id, the second by the missing receipt. The connection is not reused.
    """
    if head.attempt_id and head.attempt_id != attempt_id:
        return Failure(Kind.WRONG_ANSWER, "id of another request")
    named = "" if head.attempt_id else ", names no request"
    detail = f"status {head.status}{named}{', may be a copy' if in_doubt else ''}"
    if head.misdirected:
        return Failure(Kind.ENDPOINT_LACKS, detail)
    if head.not_run:
        return Failure(Kind.ENDPOINT_REFUSED, detail)
    if head.status in SUCCESS and not (head.receipt and head.attempt_id):
        return Failure(Kind.WRONG_ANSWER, "no receipt")
    if in_doubt and not head.attempt_id:
        return Failure(Kind.WRONG_ANSWER, detail)
    return None
