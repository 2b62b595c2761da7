"""Questions of this host to the hub that wait for its word, one word each."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from peridotdock.relay.caller import CallerEnd
from peridotdock.turns import Turns

T = TypeVar("T")
# Seconds that the hub's word may take, and turns of this host's loop beside: two trips between
# failure domains and the hub's own turn.
WORD_SECONDS = 0.05
WORD_TURNS = 3


class Questions(Generic[T]):
    """The questions of one kind that are open, by number."""

    def __init__(self, turns: Turns):
        self._turns = turns
        self._number = 0
        self._open: dict[int, asyncio.Future[T]] = {}

    async def ask(self, send: Callable[[int], bool], caller: CallerEnd | None = None) -> T | None:
        """Send a question by its number, and return the word.

        None when none comes in time, the caller leaves, or ``send`` finds no way to the hub.
        """
        self._number += 1
        number = self._number
        word: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._open[number] = word
        try:
            if not send(number):
                return None
            seconds = WORD_SECONDS + WORD_TURNS * self._turns.usual()
            waits = {word} if caller is None else {word, caller.left}
            first = asyncio.FIRST_COMPLETED
            await asyncio.wait(waits, timeout=seconds, return_when=first)
        finally:
            del self._open[number]
        return word.result() if word.done() else None

    def hear(self, number: int, word: T) -> None:
        """Take the hub's word; nobody waits for one that comes too late."""
        found = self._open.get(number)
        if found is not None and not found.done():
            found.set_result(word)
