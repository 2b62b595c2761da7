"""The planned stop of a host: what it still takes, and how it ends without cutting answers."""

import math
from collections.abc import Callable, Collection

from peridotdock.context import Context
from peridotdock.decisions.overload import retry_after
from peridotdock.decisions.stopping import AnswerTimes, UnderWay, can_finish
from peridotdock.errors import Failure, Kind
from peridotdock.relay.requests import RelayRequest
from peridotdock.serving import Server

# Seconds for which callers may cache the list of host addresses, and the factor by which some cache
# it longer. After that no caller should come any more.
ADDRESS_SECONDS = 1.0
ADDRESS_CACHE_FACTOR = 3.0
LEARNING_SECONDS = ADDRESS_SECONDS * ADDRESS_CACHE_FACTOR
# Seconds before the platform's SIGKILL at which a planned stop ends, and how long before that the
# requests without an answer are given one.
STOP_MARGIN_SECONDS = 0.7
LAST_ANSWERS_SECONDS = 0.3
DRAIN_POLL_SECONDS = 0.05


class PlannedStop:
    """The stop of one host, which has ``seconds`` from the signal until the process is killed.

    ``unfinished`` returns the requests whose answers have not ended.
    """

    def __init__(self, ctx: Context, seconds: float):
        self._ctx = ctx
        self._seconds = seconds
        self._times = AnswerTimes()
        self._began = math.inf
        self.unfinished: Callable[[], Collection[RelayRequest]] = tuple

    @property
    def begun(self) -> bool:
        """Whether the host stops."""
        return self._began < math.inf

    @property
    def ends_at(self) -> float:
        """Monotonic time at which the process ends, whatever is unfinished."""
        return self._began + self._seconds - STOP_MARGIN_SECONDS

    @property
    def announced_at(self) -> float:
        """Monotonic time from which no caller should come any more."""
        return self._began + min(LEARNING_SECONDS, self._seconds / 2)

    def begin(self) -> None:
        """Begin the stop now."""
        self._began = self._ctx.clock.monotonic()

    def record_answer(self, req: RelayRequest, size: int, begun_at: float | None = None) -> None:
        """Learn from a whole answer of ``size`` bytes, whose end was just given to the server.

        ``begun_at`` is the monotonic time of a stream's first events.
        """
        ended = self._ctx.clock.monotonic() - req.received_at
        begun = ended if begun_at is None else begun_at - req.received_at
        self._times.record(req.route.name, count_tokens(req), begun, ended, size)

    def refusal(self, req: RelayRequest) -> Failure | None:
        """Return why a request that has not run is not sent, or None.

        It is checked as the request is read, and again before it is sent, as it may have waited.
        """
        if not self.begun:
            return None
        now = self._ctx.clock.monotonic()
        left = self.ends_at - LAST_ANSWERS_SECONDS - now
        under_way = (
            UnderWay(row.route.name, count_tokens(row), now - row.received_at)
            for row in self.unfinished()
            if row is not req
        )
        expected = self._times.expect(
            req.route.name, count_tokens(req), under_way, req.seconds_per_byte
        )
        if can_finish(left, req.deadline - now, expected, announced=now >= self.announced_at):
            return None
        return self.refuse(f"{left:.2f} s left")

    def refuse(self, reason: str) -> Failure:
        """Return the refusal of a request that has not run; other hosts may serve it."""
        return Failure(Kind.STOPPING, reason, retry_after(self._ctx.rng.random))

    async def drain(self, server: Server, end_unanswered: Callable[[], None]) -> None:
        """Serve until callers have had the time to leave, then until all answers are sent.

        ``end_unanswered`` lets the requests end whose answers have not begun.

        Failure guarded against: callers go on using their connections. The host is never without a
        request, and what it has read last is cut as it ends.
        """
        server.announce_close()
        await self._sleep_until(self.announced_at)
        await self._wait_drained(server, self.ends_at - LAST_ANSWERS_SECONDS)
        end_unanswered()
        await self._wait_drained(server, self.ends_at, refuses_unread=True)

    async def _wait_drained(
        self, server: Server, until: float, refuses_unread: bool = False
    ) -> None:
        """Wait until all is sent; a request that is read in part may have waited behind another."""
        clock = self._ctx.clock
        while True:
            server.stop_listening()
            server.close_idle()
            if refuses_unread:
                server.refuse_unread()
            if server.is_drained() or clock.monotonic() >= until:
                return
            await clock.sleep(DRAIN_POLL_SECONDS)

    async def _sleep_until(self, until: float) -> None:
        await self._ctx.clock.sleep(max(0.0, until - self._ctx.clock.monotonic()))


def count_tokens(req: RelayRequest) -> int:
    """Return the most tokens that the answer to a request may have, 0 if it has none."""
    inference = req.head.inference
    return inference.output_tokens if inference is not None else 0
