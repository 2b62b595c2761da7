"""What one send brought: a whole answer, or a stream with its first events."""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from peridotdock.clients.endpoint import Opened
from peridotdock.clients.http import BROKEN
from peridotdock.errors import Failure, Kind
from peridotdock.relay.asks import AnswerHead
from peridotdock.relay.caller import CallerEnd
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.events import EventSplitter, StreamEvent
from peridotdock.requests import Loss, RequestState, loss_failure

SERVER_ERROR = 500


@dataclass(frozen=True, slots=True)
class Whole:
    """A whole answer of an endpoint."""

    state: EndpointState
    head: AnswerHead
    body: bytes

    @property
    def erred(self) -> bool:
        """Tell whether the endpoint answered with a failure of its own."""
        return self.head.status >= SERVER_ERROR


def no_more() -> float:
    """Return that a wait is not prolonged."""
    return 0.0


class Patience:
    """Ends waits that last too long, with one timer for many short waits.

    An event of a stream comes each 20 ms, and a wait of seconds for each is begun and given up as
    often. The timer stays as it is, and when it fires looks for whether the wait of that moment is
    over.
    """

    def __init__(self, give_up: Callable[[], None]):
        self._give_up = give_up
        self._loop = asyncio.get_running_loop()
        self._due = math.inf
        self._more: Callable[[], float] = no_more
        self._timer: asyncio.TimerHandle | None = None
        self.over = False
        self.prolonged = False

    def begin(self, seconds: float, more: Callable[[], float]) -> None:
        """Begin a wait; ``more`` gives the seconds to wait on for when it is over, 0 for none."""
        self.prolonged = False
        self._more = more
        self._wait(seconds)

    def _wait(self, seconds: float) -> None:
        self._due = self._loop.time() + max(0.0, seconds)
        if self._timer is not None and self._timer.when() > self._due:
            self._timer.cancel()
            self._timer = None
        if self._timer is None:
            self._timer = self._loop.call_at(self._due, self._look)

    def end(self) -> None:
        """Note that what was waited for has come."""
        self._due = math.inf

    def close(self) -> None:
        """Stop the timer."""
        self._due = math.inf
        if self._timer is not None:
            self._timer.cancel()

    def _look(self) -> None:
        """Wait on, or end the wait one turn later: after what was read in this one."""
        self._timer = None
        if self._due <= self._loop.time():
            self._loop.call_soon(self._end, self._due)
        elif self._due < math.inf:
            self._timer = self._loop.call_at(self._due, self._look)

    def _end(self, due: float) -> None:
        if due != self._due:
            return
        seconds = 0.0 if self.prolonged else self._more()
        if seconds > 0:
            self.prolonged = True
            self._wait(seconds)
            return
        self.over = True
        self._give_up()


@dataclass
class Source:
    """One endpoint's part of a stream. ``ready`` are whole events that were not passed on yet.

    ``began`` is when its first events came (monotonic seconds).
    """

    state: EndpointState
    head: AnswerHead
    opened: Opened
    splitter: EventSplitter = field(default_factory=EventSplitter)
    ready: list[StreamEvent] = field(default_factory=list)
    ended: bool = False
    began: float = 0.0

    def __post_init__(self) -> None:
        """Prepare to give up on an endpoint that is silent."""
        self._patience = Patience(self.opened.abort)

    async def fill(
        self,
        caller: CallerEnd,
        seconds: float,
        silent: bool,
        more: Callable[[], float] = no_more,
    ) -> Failure | None:
        """Read until there are whole events or the stream has ended.

        ``silent`` tells what it means when ``seconds`` pass: the endpoint's silence or the
        deadline. ``more`` is asked then for the seconds until the deadline, where the endpoint is
        to be waited for all the same. An endpoint may stop in the middle of an event: that is a
        cut, not an end.
        """
        self._patience.begin(seconds, more)
        try:
            while not self.ready and not self.ended:
                part = await self.opened.read_some()
                self.ready += self.splitter.feed(part)
                self.ended = not part
        except BROKEN as exc:
            if caller.gone():
                return loss_failure(RequestState.FIRST_BYTE, Loss.CALLER_GONE)
            if self._patience.over:
                silent = silent and not self._patience.prolonged
                return loss_failure(
                    RequestState.FIRST_BYTE, Loss.SILENCE if silent else Loss.DEADLINE
                )
            return Failure(Kind.ANSWER_CUT, type(exc).__name__)
        finally:
            self._patience.end()
        if self.ended and self.splitter.partial:
            return Failure(Kind.ANSWER_CUT, "ended in the middle of an event")
        return None

    def take(self) -> list[StreamEvent]:
        """Return the events that are ready, each once."""
        ready, self.ready = self.ready, []
        return ready

    def abort(self, _: object = None) -> None:
        """Close the connection: the endpoint stops its work when it sees the close."""
        self.opened.abort()

    async def close(self, caller: CallerEnd) -> None:
        """End this part; a connection that was not read to its end is closed."""
        self._patience.close()
        caller.left.remove_done_callback(self.abort)
        await self.opened.release()
