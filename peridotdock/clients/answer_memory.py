"""Limits the memory that answers take up together, until they are sent.

An answer of unknown length may never end. While there is not enough memory for all, the longest of
these are given up: short ones are never in the way. An answer that names its length is waited for.
A whole answer counts until its caller has read it, and others wait for that at their endpoints,
but not for a caller that is still reading after its deadline.
"""

import asyncio
import weakref
from collections.abc import Callable

MAX_ANSWER_BYTES = 64 * 1024 * 1024
# Bytes of all unfinished answers together. Answers that name their length leave room for others.
MAX_UNFINISHED_BYTES = MAX_ANSWER_BYTES * 3 // 2
# What a host takes up beside answers, and the share of the rest of its memory that these may have.
OTHER_BYTES = 110_000_000
ANSWER_SHARE = 0.6
MIN_UNFINISHED_BYTES = 8 * 1024 * 1024
# The same for a store: a page of a table or an object, and all answers of it together.
MAX_STORE_ANSWER_BYTES = 8 * 1024 * 1024
MAX_STORE_BYTES = 2 * MAX_STORE_ANSWER_BYTES
# Bytes of each answer that are not counted: a connection holds about as many.
FREE_BYTES = 64 * 1024
# Seconds for which an answer waits for others that named their length and then arrive slowly.
WAIT_SECONDS = 0.5


class KeptAnswer:
    """Stands for a whole answer: its bytes count until nothing refers to this any more.

    ``overdue`` tells whether its caller should have read it by now, and ``cut`` ends its sending.
    """

    __slots__ = ("__weakref__", "cut", "overdue")

    def __init__(self) -> None:
        self.overdue: Callable[[], bool] = lambda: False
        self.cut: Callable[[], None] = lambda: None


class HeldBytes:
    """What one answer holds. ``give_up`` is called if it is to be given up.

    ``kept`` is set once it is whole and waits for its caller; it is given up for others then only
    if it is overdue.
    """

    def __init__(self, memory: "AnswerMemory", give_up: Callable[[], None]):
        self._memory = memory
        self.give_up = give_up
        self.given_up = False
        self.kept = False
        self.is_overdue: Callable[[], bool] = lambda: False
        self.size = 0
        self.counted = 0
        self.reserved = 0

    def set_size(self, size: int) -> bool:
        """Record how many bytes are held; return whether the answer may go on."""
        self.size = size
        if not self.reserved and not self.given_up:
            self._memory.count(self, max(0, size - FREE_BYTES))
        return not self.given_up

    async def reserve(self, size: int) -> None:
        """Wait until there is memory for an answer that names its length."""
        if size > FREE_BYTES:
            await self._memory.reserve(self, size)

    def keep(self) -> KeptAnswer | None:
        """Count a whole answer until the returned object is gone; None if it is a short one."""
        if self.size <= FREE_BYTES or self.given_up:
            return None
        self._memory.keep(self)
        answer = KeptAnswer()
        found = weakref.ref(answer)
        self.is_overdue = lambda: (kept := found()) is not None and kept.overdue()
        self.give_up = lambda: kept.cut() if (kept := found()) is not None else None
        weakref.finalize(answer, self._memory.release, self)
        return answer

    def release(self) -> None:
        """Give the memory back, unless a whole answer is kept."""
        if not self.kept:
            self._memory.release(self)


class AnswerMemory:
    """Counts the bytes of unfinished answers: reserved ones, and those of unknown length."""

    def __init__(self, limit: int = MAX_UNFINISHED_BYTES, reservable: int = MAX_ANSWER_BYTES):
        self._limit = limit
        self._reservable = reservable
        self._held: set[HeldBytes] = set()
        self._reservations: set[HeldBytes] = set()
        self._counted = 0
        self._reserved = 0
        self._turn = asyncio.Lock()
        self._freed = asyncio.Event()

    @property
    def held_bytes(self) -> int:
        """Number of bytes that answers hold, beside those of short ones."""
        return self._counted + self._reserved

    def begin(self, give_up: Callable[[], None]) -> HeldBytes:
        """Return the count of a new answer."""
        return HeldBytes(self, give_up)

    def count(self, held: HeldBytes, size: int) -> None:
        """Set the bytes of an answer, and give up the longest ones if these are too many."""
        self._counted += size - held.counted
        held.counted = size
        if size:
            self._held.add(held)
        self._make_room()

    def keep(self, held: HeldBytes) -> None:
        """Reserve the bytes of an answer that is whole now."""
        held.kept = True
        self._held.discard(held)
        self._counted -= held.counted
        self._reserved += held.size - held.reserved
        held.counted, held.reserved = 0, held.size
        self._reservations.add(held)
        self._make_room()

    async def reserve(self, held: HeldBytes, size: int) -> None:
        """Wait, in the order of the calls, until ``size`` bytes can be reserved.

        Failure guarded against: an endpoint names the length of a long answer and sends a few bytes
        of it. All other long answers wait for it.
        """
        async with self._turn:
            while self._reservations and self._reserved + size > self._reservable:
                await self._wait_until_freed()
            self._reserved += size
            held.reserved = size
            self._reservations.add(held)
        self._make_room()

    async def _wait_until_freed(self) -> None:
        """Wait until an answer ends; after a while, give up the one that lacks the most bytes.

        One that is whole lacks none: its caller may read it slowly, until its deadline. Failure
        guarded against: callers stop reading, and all other long answers wait for them.
        """
        self._freed.clear()
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                await self._freed.wait()
        except TimeoutError:
            unfinished = [held for held in self._reservations if not held.kept]
            if not self._give_up_overdue() and unfinished:
                self._give_up(max(unfinished, key=lambda held: held.reserved - held.size))

    def release(self, held: HeldBytes) -> None:
        """Forget an answer that has ended."""
        self._held.discard(held)
        self._reservations.discard(held)
        self._counted -= held.counted
        self._reserved -= held.reserved
        held.counted = held.reserved = 0
        self._freed.set()

    def _make_room(self) -> None:
        while self._held and self._counted + self._reserved > self._limit:
            if not self._give_up_overdue():
                self._give_up(max(self._held, key=lambda held: held.counted))

    def _give_up_overdue(self) -> bool:
        """Give up the longest whole answer that its caller should have read; return if any was."""
        overdue = [held for held in self._reservations if held.kept and held.is_overdue()]
        if overdue:
            self._give_up(max(overdue, key=lambda held: held.size))
        return bool(overdue)

    def _give_up(self, held: HeldBytes) -> None:
        held.given_up = True
        self.release(held)
        held.give_up()


def make_host_memory(total: int) -> AnswerMemory:
    """Return the memory for endpoints' answers of a host that may use ``total`` bytes."""
    share = int(ANSWER_SHARE * (total - OTHER_BYTES))
    limit = min(MAX_UNFINISHED_BYTES, max(MIN_UNFINISHED_BYTES, share))
    return AnswerMemory(limit, limit * 2 // 3)


def make_store_memory() -> AnswerMemory:
    """Return the memory for a store's answers, which is part of that for a host's control."""
    return AnswerMemory(MAX_STORE_BYTES, MAX_STORE_ANSWER_BYTES)
