"""What one send brought: a whole answer, or a stream with its first events."""

import asyncio
from dataclasses import dataclass, field

from peridotdock.clients.endpoint import Opened
from peridotdock.clients.http import BROKEN
from peridotdock.errors import Failure, Kind
from peridotdock.relay.asks import AnswerHead
from peridotdock.relay.book import EndpointState
from peridotdock.relay.caller import CallerEnd
from peridotdock.relay.events import EventSplitter, StreamEvent
from peridotdock.requests import Loss, State, lose

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


@dataclass
class Source:
    """One endpoint's part of a stream. ``ready`` are whole events that were not passed on yet."""

    state: EndpointState
    head: AnswerHead
    opened: Opened
    splitter: EventSplitter = field(default_factory=EventSplitter)
    ready: list[StreamEvent] = field(default_factory=list)
    ended: bool = False

    async def fill(self, caller: CallerEnd, seconds: float, silent: bool) -> Failure | None:
        """Read until there are whole events or the stream has ended.

        ``silent`` tells what it means when ``seconds`` pass: the endpoint's silence or the
        deadline. An endpoint may stop in the middle of an event: that is a cut, not an end.
        """
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                while not self.ready and not self.ended:
                    part = await self.opened.read_some()
                    self.ready += self.splitter.feed(part)
                    self.ended = not part
        except TimeoutError:
            if caller.gone():
                return lose(State.FIRST_BYTE, Loss.CALLER_GONE)
            return lose(State.FIRST_BYTE, Loss.SILENCE if silent else Loss.DEADLINE)
        except BROKEN as exc:
            if caller.gone():
                return lose(State.FIRST_BYTE, Loss.CALLER_GONE)
            return Failure(Kind.ANSWER_CUT, type(exc).__name__)
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
        caller.left.remove_done_callback(self.abort)
        await self.opened.release()
