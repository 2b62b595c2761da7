"""Results of one send: a complete answer, or a stream with its first events."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from peridotdock.clients.answer_memory import KeptAnswer
from peridotdock.clients.endpoint import OpenResponse, transfer_failure
from peridotdock.clients.http import TRANSFER_ERRORS
from peridotdock.errors import Failure, Kind
from peridotdock.relay.caller import SendCaller
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.endpoint_starts import Running, StartCheck
from peridotdock.relay.events import EventSplitter, StreamEvent
from peridotdock.relay.requests import AnswerHead
from peridotdock.requests import Loss, RequestState, loss_failure

SERVER_ERROR = 500
ENDLESS = Failure(Kind.ENDPOINT_ERROR, "an event without end")
ENDED_WITH_ENDPOINT = Failure(Kind.ANSWER_CUT, "ended with its endpoint")


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """A complete answer of an endpoint, with its body, which counts in the host's memory."""

    state: EndpointState
    head: AnswerHead
    body: bytes
    kept: KeptAnswer | None = None

    @property
    def is_server_error(self) -> bool:
        """Whether the endpoint reported a failure of its own, by status 500 or above."""
        return self.head.status >= SERVER_ERROR


async def assume_sound() -> bool:
    """Return False: nothing shows that the endpoint has ended."""
    return False


def end_wait() -> float:
    """Return 0: a wait ends at its first timeout."""
    return 0.0


class StallTimeout:
    """Limits many short waits with one timer.

    A stream has an event every 20 ms, and each of them starts and ends a wait of some seconds. The
    timer is not set anew for each wait: when it fires, it checks the deadline of the current one.
    """

    def __init__(self, on_timeout: Callable[[], None]):
        self._on_timeout = on_timeout
        self._loop = asyncio.get_running_loop()
        self._deadline = math.inf
        self._extend: Callable[[], float] = end_wait
        self._timer: asyncio.TimerHandle | None = None
        self.expired = False

    def begin(self, seconds: float, extend: Callable[[], float]) -> None:
        """Start a wait; ``extend`` is called at its end and returns by how long to go on, or 0."""
        self._extend = extend
        self._wait(seconds)

    def _wait(self, seconds: float) -> None:
        self._deadline = self._loop.time() + max(0.0, seconds)
        if self._timer is not None and self._timer.when() > self._deadline:
            self._timer.cancel()
            self._timer = None
        if self._timer is None:
            self._timer = self._loop.call_at(self._deadline, self._check)

    def end(self) -> None:
        """End the wait without a timeout."""
        self._deadline = math.inf

    def close(self) -> None:
        """Stop the timer."""
        self._deadline = math.inf
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        """Set the timer again, or end the wait one iteration later.

        Data that is read in the current iteration is handled first.
        """
        self._timer = None
        if self._deadline <= self._loop.time():
            self._loop.call_soon(self._end, self._deadline)
        elif self._deadline < math.inf:
            self._timer = self._loop.call_at(self._deadline, self._check)

    def _end(self, deadline: float) -> None:
        if deadline != self._deadline:
            return
        seconds = self._extend()
        if seconds > 0:
            self._wait(seconds)
            return
        self.expired = True
        self._on_timeout()


@dataclass
class StreamSource:
    """One endpoint's part of a stream. ``ready`` holds complete events not yet passed on.

    ``software`` is the version of the endpoint's software when it was sent the request, None if it
    is not known. ``endpoint`` is the endpoint's id, empty if another host did not tell it.
    ``started_at`` is when the first events arrived (monotonic seconds). ``recorded`` is the block
    list's revision for which this stream was recorded as one that goes on. ``check`` finds out
    which start of the endpoint it is from, None if that is known. ``has_ended`` is called once an
    answer has ended with its connection, and returns whether its endpoint is known to have ended
    too. The connection is closed when ``caller`` disconnects.
    """

    state: EndpointState
    head: AnswerHead
    opened: OpenResponse
    caller: SendCaller
    software: str | None = None
    endpoint: str = ""
    splitter: EventSplitter = field(default_factory=EventSplitter)
    ready: list[StreamEvent] = field(default_factory=list)
    ended: bool = False
    started_at: float = 0.0
    recorded: int = 0
    check: asyncio.Task[StartCheck] | None = None
    has_ended: Callable[[], Awaitable[bool]] = assume_sound

    def __post_init__(self) -> None:
        """Set up what ends the connection: the deadline, or the caller's disconnect."""
        self._stall_timeout = StallTimeout(self.opened.abort)
        self.caller.disconnected.add_done_callback(self.abort)

    async def fill(self, seconds: float, extend: Callable[[], float] = end_wait) -> Failure | None:
        """Read until there are complete events or the stream has ended.

        After ``seconds`` without events ``extend`` is called; the wait goes on for as long as it
        returns, and ends with the deadline if that is 0. A stream that ends in the middle of an
        event is a cut answer, not an end.
        """
        self._stall_timeout.begin(seconds, extend)
        try:
            while not self.ready and not self.ended:
                part = await self.opened.read_chunk()
                self.ready += self.splitter.feed(part)
                self.ended = not part
                self.opened.hold(len(self.splitter.partial))
                if self.splitter.is_endless:
                    return ENDLESS
        except TRANSFER_ERRORS as exc:
            if self.caller.is_disconnected():
                return loss_failure(RequestState.FIRST_BYTE, Loss.CALLER_GONE)
            if self._stall_timeout.expired:
                return loss_failure(RequestState.FIRST_BYTE, Loss.DEADLINE)
            return transfer_failure(exc, Kind.ANSWER_CUT)
        finally:
            self._stall_timeout.end()
        if self.ended and self.splitter.partial:
            return Failure(Kind.ANSWER_CUT, "ended in the middle of an event")
        if self.ended and not self.opened.framed and await self.has_ended():
            return ENDED_WITH_ENDPOINT
        return None

    @property
    def is_empty(self) -> bool:
        """Whether the stream has ended without an event, and nothing but its connection's end."""
        return self.ended and not self.ready and not self.opened.framed

    def is_of_another_start(self) -> bool:
        """Return whether another start than the one in its endpoint's entry is known to send it."""
        check = self.check
        if check is None or not check.done() or check.cancelled():
            return False
        return check.result().running is Running.ANOTHER

    def pop_ready(self) -> list[StreamEvent]:
        """Return the ready events and remove them."""
        ready, self.ready = self.ready, []
        return ready

    def abort(self, _: object = None) -> None:
        """Close the connection; the endpoint stops the request when it sees the close."""
        self.opened.abort()

    async def close(self) -> None:
        """Release the connection, which is closed if it was not read to the end."""
        self._stall_timeout.close()
        self.caller.disconnected.remove_done_callback(self.abort)
        self.caller.close()
        await self.opened.release()
