"""Limits what connections hold of input that is no body: heads, trailers, and requests ahead.

Each connection counts what it holds. If all together hold too much, the connection that holds the
most is ended: a client without limits costs itself first.
"""

import logging
from collections.abc import Callable

from peridotdock.clients.answer_memory import OTHER_BYTES
from peridotdock.clock import Clock

MAX_INPUT_BYTES = 32 * 1024 * 1024
# Share of a host's memory, beside what it takes up without requests, that such input may have.
INPUT_SHARE = 0.15
MIN_INPUT_BYTES = 4 * 1024 * 1024
# Bytes of each connection that are not counted: more than the head of an ordinary request takes.
FREE_BYTES = 8 * 1024
# Bytes that a header field takes beside its text, and that a request takes beside its fields.
FIELD_BYTES = 200
REQUEST_BYTES = 10 * 1024
# Seconds between two log lines of connections that were ended.
LOG_SECONDS = 1.0

log = logging.getLogger("peridotdock")


class HeldInput:
    """What one connection holds. ``end`` is called if it is to be ended for the sake of others."""

    __slots__ = ("_memory", "_size", "end")

    def __init__(self, memory: "InputMemory", end: Callable[[], None]):
        self._memory = memory
        self._size = 0
        self.end = end

    @property
    def counted(self) -> int:
        """Number of bytes that count."""
        return max(0, self._size - FREE_BYTES)

    def add(self, size: int) -> None:
        """Count more bytes, or fewer if ``size`` is negative."""
        before = self.counted
        self._size += size
        if self.counted != before:
            self._memory.count(self, self.counted - before)

    def release(self) -> None:
        """Count nothing any more."""
        self.add(-self._size)


class InputMemory:
    """Counts the bytes that connections hold at a time, ``limit`` at most.

    ``ended`` is the number of connections that were ended for that.
    """

    def __init__(self, clock: Clock, limit: int = MAX_INPUT_BYTES):
        self._clock = clock
        self._limit = limit
        self._holders: set[HeldInput] = set()
        self._next_log_at = float("-inf")
        self.held_bytes = 0
        self.ended = 0

    def count(self, held: HeldInput, more: int) -> None:
        """Count ``more`` bytes of a connection; end the one that holds the most at the limit."""
        self.held_bytes += more
        if held.counted:
            self._holders.add(held)
        else:
            self._holders.discard(held)
        while self.held_bytes > self._limit:
            self._end(max(self._holders, key=lambda row: row.counted))

    def _end(self, held: HeldInput) -> None:
        """End a connection, and log it unless that was done just before."""
        self.ended += 1
        now = self._clock.monotonic()
        if now >= self._next_log_at:
            self._next_log_at = now + LOG_SECONDS
            detail = f"{held.counted} bytes of heads and requests ahead, {self.ended} so far"
            log.warning("connection_ended", extra={"detail": detail})
        held.end()
        held.release()


def make_input_memory(clock: Clock, total: int) -> InputMemory:
    """Return the memory for input of a host that may use ``total`` bytes."""
    share = int(INPUT_SHARE * (total - OTHER_BYTES))
    return InputMemory(clock, min(MAX_INPUT_BYTES, max(MIN_INPUT_BYTES, share)))
