"""What one send brought: a whole answer, or a stream with its first events."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from peridotdock.clients.endpoint import OpenResponse
from peridotdock.clients.http import TRANSFER_ERRORS
from peridotdock.errors import Failure, Kind
from peridotdock.relay.caller import CallerConnection
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.events import EventSplitter, StreamEvent
from peridotdock.relay.requests import AnswerHead
from peridotdock.requests import Loss, RequestState, loss_failure

SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class CompleteAnswer:
    """A whole answer of an endpoint."""

    state: EndpointState
    head: AnswerHead
    body: bytes

    @property
    def is_server_error(self) -> bool:
        """Tell whether the endpoint answered with a failure of its own."""
        return self.head.status >= SERVER_ERROR


def no_extension() -> float:
    """Return that a wait is not prolonged."""
    return 0.0


class StallTimeout:
    """Ends waits that last too long, with one timer for many short waits.

    An event of a stream comes each 20 ms, and a wait of seconds for each is begun and given up as
    often. The timer stays as it is, and when it fires looks for whether the wait of that moment is
    over.
    """

    def __init__(self, give_up: Callable[[], None]):
        self._on_timeout = give_up
        self._loop = asyncio.get_running_loop()
        self._deadline = math.inf
        self._extra_seconds: Callable[[], float] = no_extension
        self._timer: asyncio.TimerHandle | None = None
        self.expired = False
        self.extended = False

    def begin(self, seconds: float, extra_seconds: Callable[[], float]) -> None:
        """Begin a wait; ``more`` gives the seconds to wait on for when it is over, 0 for none."""
        self.extended = False
        self._extra_seconds = extra_seconds
        self._wait(seconds)

    def _wait(self, seconds: float) -> None:
        self._deadline = self._loop.time() + max(0.0, seconds)
        if self._timer is not None and self._timer.when() > self._deadline:
            self._timer.cancel()
            self._timer = None
        if self._timer is None:
            self._timer = self._loop.call_at(self._deadline, self._check)

    def end(self) -> None:
        """Note that what was waited for has come."""
        self._deadline = math.inf

    def close(self) -> None:
        """Stop the timer."""
        self._deadline = math.inf
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        """Wait on, or end the wait one turn later: after what was read in this one."""
        self._timer = None
        if self._deadline <= self._loop.time():
            self._loop.call_soon(self._end, self._deadline)
        elif self._deadline < math.inf:
            self._timer = self._loop.call_at(self._deadline, self._check)

    def _end(self, deadline: float) -> None:
        if deadline != self._deadline:
            return
        seconds = 0.0 if self.extended else self._extra_seconds()
        if seconds > 0:
            self.extended = True
            self._wait(seconds)
            return
        self.expired = True
        self._on_timeout()


@dataclass
class StreamSource:
    """One endpoint's part of a stream. ``ready`` are whole events that were not passed on yet.

    ``began`` is when its first events came (monotonic seconds).
    """

    state: EndpointState
    head: AnswerHead
    opened: OpenResponse
    splitter: EventSplitter = field(default_factory=EventSplitter)
    ready: list[StreamEvent] = field(default_factory=list)
    ended: bool = False
    started_at: float = 0.0

    def __post_init__(self) -> None:
        """Prepare to give up on an endpoint that is silent."""
        self._stall_timeout = StallTimeout(self.opened.abort)

    async def fill(
        self,
        caller: CallerConnection,
        seconds: float,
        silent: bool,
        extra_seconds: Callable[[], float] = no_extension,
    ) -> Failure | None:
        """Read until there are whole events or the stream has ended.

        ``silent`` tells what it means when ``seconds`` pass: the endpoint's silence or the
        deadline. ``more`` is asked then for the seconds until the deadline, where the endpoint is
        to be waited for all the same. An endpoint may stop in the middle of an event: that is a
        cut, not an end.
        """
        self._stall_timeout.begin(seconds, extra_seconds)
        try:
            while not self.ready and not self.ended:
                part = await self.opened.read_chunk()
                self.ready += self.splitter.feed(part)
                self.ended = not part
        except TRANSFER_ERRORS as exc:
            if caller.is_disconnected():
                return loss_failure(RequestState.FIRST_BYTE, Loss.CALLER_GONE)
            if self._stall_timeout.expired:
                silent = silent and not self._stall_timeout.extended
                return loss_failure(
                    RequestState.FIRST_BYTE, Loss.SILENCE if silent else Loss.DEADLINE
                )
            return Failure(Kind.ANSWER_CUT, type(exc).__name__)
        finally:
            self._stall_timeout.end()
        if self.ended and self.splitter.partial:
            return Failure(Kind.ANSWER_CUT, "ended in the middle of an event")
        return None

    def pop_ready(self) -> list[StreamEvent]:
        """Return the events that are ready, each once."""
        ready, self.ready = self.ready, []
        return ready

    def abort(self, _: object = None) -> None:
        """Close the connection: the endpoint stops its work when it sees the close."""
        self.opened.abort()

    async def close(self, caller: CallerConnection) -> None:
        """End this part; a connection that was not read to its end is closed."""
        self._stall_timeout.close()
        caller.disconnected.remove_done_callback(self.abort)
        await self.opened.release()
