"""Limits the memory that the bodies of callers' requests take up together.

A body counts while it arrives and until its request has been answered, as the request may be sent
again. While there is no room for more, no further bytes are read, so that the caller's connection
is slowed down; then the body that has been arriving for the longest time is given up, and its
request refused before any of it was sent.
"""

import asyncio
from collections.abc import Callable

from peridotdock.clients.answer_memory import OTHER_BYTES
from peridotdock.clock import Clock
from peridotdock.decisions.overload import retry_after
from peridotdock.errors import Failure, Kind

MAX_BODY_BYTES = 64 * 1024 * 1024
# Share of a host's memory, beside what it takes up without requests, that bodies may have.
BODY_SHARE = 0.25
MIN_BODY_BYTES = 8 * 1024 * 1024
# Bytes of each body that are not counted: a connection's buffers hold about as many.
FREE_BYTES = 64 * 1024
# Seconds for which a body waits for room before another one, or it itself, is given up.
WAIT_SECONDS = 0.5


class HeldBody:
    """The parts of one body that have arrived. ``began_at`` is in monotonic seconds."""

    __slots__ = ("_memory", "began_at", "given_up", "parts", "size")

    def __init__(self, memory: "BodyMemory", began_at: float):
        self._memory = memory
        self.began_at = began_at
        self.parts: list[bytes] = []
        self.size = 0
        self.given_up = False

    @property
    def counted(self) -> int:
        """Number of bytes that count."""
        return max(0, self.size - FREE_BYTES)

    async def add(self, part: bytes) -> Failure | None:
        """Keep a part once there is room for it; return why the request is refused, or None."""
        if not await self._memory.make_room(self, len(part)):
            return self._memory.refuse()
        self.parts.append(part)
        return None

    def take(self) -> bytes:
        """Return the whole body, which counts until it is released."""
        body, self.parts = b"".join(self.parts), []
        self._memory.finish(self)
        return body

    def give_up(self) -> None:
        """Drop what has arrived."""
        self.given_up = True
        self.parts.clear()
        self.release()

    def release(self) -> None:
        """Stop counting the body."""
        self._memory.release(self)


class BodyMemory:
    """Counts the bytes of the bodies that are held at a time, ``limit`` at most."""

    def __init__(self, clock: Clock, draw: Callable[[], float], limit: int = MAX_BODY_BYTES):
        self._clock = clock
        self._draw = draw
        self._limit = limit
        self._arriving: set[HeldBody] = set()
        self._freed = asyncio.Event()
        self.held_bytes = 0

    def begin(self) -> HeldBody:
        """Return the count of a new body."""
        return HeldBody(self, self._clock.monotonic())

    async def make_room(self, held: HeldBody, size: int) -> bool:
        """Count ``size`` more bytes of a body; return False if it is given up."""
        while not held.given_up and self._lacks_room(held, size):
            await self._wait_until_freed(held)
        if held.given_up:
            return False
        before = held.counted
        held.size += size
        self.held_bytes += held.counted - before
        self._arriving.add(held)
        return True

    def _lacks_room(self, held: HeldBody, size: int) -> bool:
        """Return whether others leave no room; a body alone may be as long as its route allows.

        Failure guarded against: one body is longer than the limit, and requests that need no room
        are refused, or end it, for as long as it is held.
        """
        more = max(0, held.size + size - FREE_BYTES) - held.counted
        if not more:
            return False
        return self.held_bytes > held.counted and self.held_bytes + more > self._limit

    async def _wait_until_freed(self, held: HeldBody) -> None:
        """Wait until room may be there; after a while, give up the body that arrives slowest."""
        self._freed.clear()
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                await self._freed.wait()
        except TimeoutError:
            min(self._arriving | {held}, key=lambda row: row.began_at).give_up()

    def finish(self, held: HeldBody) -> None:
        """Record that a body has arrived, so that it is not given up any more."""
        self._arriving.discard(held)

    def release(self, held: HeldBody) -> None:
        """Forget a body."""
        self._arriving.discard(held)
        self.held_bytes -= held.counted
        held.size = 0
        self._freed.set()

    def refuse(self) -> Failure:
        """Return the refusal of a request that was given up; other hosts may have room."""
        return Failure(Kind.HOST_BEHIND, "no room for the body", retry_after(self._draw))


def make_body_memory(clock: Clock, draw: Callable[[], float], total: int) -> BodyMemory:
    """Return the memory for bodies of a host that may use ``total`` bytes."""
    share = int(BODY_SHARE * (total - OTHER_BYTES))
    return BodyMemory(clock, draw, min(MAX_BODY_BYTES, max(MIN_BODY_BYTES, share)))
