"""One send of a request to one endpoint, up to the head of the answer."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Self, TypeVar

from peridotdock.clients.endpoint import Call, HttpEndpoints, Opened, read_all
from peridotdock.clock import Clock
from peridotdock.decisions.overload import connect_seconds
from peridotdock.errors import Failure, Kind, failed
from peridotdock.relay.asks import AnswerHead, RelayAsk, SendOptions
from peridotdock.relay.caller import CallerEnd
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.wire import Wire
from peridotdock.requests import Loss, State, lose
from peridotdock.timeouts import TurnTimeout
from peridotdock.turns import find_turns

T = TypeVar("T")
# Called with the head of each answer, and when its request was sent (monotonic seconds).
OnAnswer = Callable[[RelayAsk, EndpointState, AnswerHead, float], None]
SUCCESS = range(200, 300)
# What an endpoint says that did not run a request: the connection is as good as before. Each new
# one costs the endpoint a millisecond, and those that it refuses are the busiest.
NOT_RUN = frozenset({Kind.ENDPOINT_REFUSED, Kind.ENDPOINT_LACKS})
# Seconds that the rest of a refusal may take; its few bytes come with its head.
REFUSAL_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class Sent:
    """An answer whose head has come."""

    state: EndpointState
    opened: Opened
    head: AnswerHead


class Limit(TurnTimeout):
    """Ends the work of the running task when its time is over or the caller has left.

    The work goes on in the same task: handing it to another one costs two turns of the loop more
    for each step, and on a host that is behind a turn is long.
    """

    def __init__(self, caller: CallerEnd, seconds: float):
        super().__init__(seconds)
        self._caller = caller

    async def __aenter__(self) -> Self:
        """Begin to count, and to watch the caller."""
        await super().__aenter__()
        self._caller.left.add_done_callback(self._leave)
        return self

    async def __aexit__(self, *exc: Any) -> bool | None:
        """Stop both; raises TimeoutError when the work was ended."""
        self._caller.left.remove_done_callback(self._leave)
        return await super().__aexit__(*exc)

    def _leave(self, _: object) -> None:
        self.end()


async def wait_for(
    work: Awaitable[T], caller: CallerEnd, seconds: float, silence: bool = False
) -> T | Failure:
    """Wait for an endpoint, for as long as the caller is there and the time lasts.

    ``silence`` tells what the end of the time means: the endpoint's silence, or the deadline.
    """
    limit = Limit(caller, seconds)
    try:
        async with limit:
            return await work
    except TimeoutError:
        if not limit.expired():
            raise
    if caller.gone():
        return lose(State.SENT, Loss.CALLER_GONE)
    return lose(State.SENT, Loss.SILENCE if silence else Loss.DEADLINE)


class Sender:
    """Sends requests to endpoints and checks that what comes back is their answer."""

    def __init__(self, wire: Wire, endpoints: HttpEndpoints, clock: Clock):
        self._wire = wire
        self._endpoints = endpoints
        self._clock = clock
        self._turns = find_turns()
        self.on_answer: OnAnswer = lambda ask, state, head, sent: None

    async def send(
        self,
        ask: RelayAsk,
        state: EndpointState,
        caller: CallerEnd,
        priority: int,
        resume_after: str,
        patience: float,
    ) -> Sent | Failure:
        """Send and wait for the head, ``patience`` seconds at most."""
        left = ask.deadline - self._clock.monotonic()
        options = SendOptions(state.key, left, priority, resume_after)
        call = Call(
            ask.method,
            ask.target,
            self._wire.write_send(ask, options),
            ask.body,
            once=True,
            connect=connect_seconds(left),
            wanted=state.accepts_requests,
        )
        sent = self._clock.monotonic()
        work = self._endpoints.open(f"http://{state.entry.address}", call)
        opened = await wait_for(work, caller, min(left, patience), silence=patience < left)
        if failed(opened):
            return opened
        head = self._wire.read_answer(opened.status, opened.headers)
        if head.attempt_id in ("", ask.id):
            self.on_answer(ask, state, head, sent)
        fault = find_fault(head, ask.id)
        if fault is not None:
            if fault.kind in NOT_RUN:
                await wait_for(read_all(opened), caller, REFUSAL_SECONDS)
            else:
                # Another answer may follow where the next request's is expected, and an answer that
                # was read to its end has given its connection back already.
                opened.abort()
                self._endpoints.suspect(f"http://{state.entry.address}")
            await opened.release()
            return fault
        return Sent(state, opened, head)


def find_fault(head: AnswerHead, attempt_id: str) -> Failure | None:
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
