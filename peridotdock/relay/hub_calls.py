"""Questions of this host to the hub that wait for its word, one word each."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

from peridotdock.loop_iterations import LoopIterations
from peridotdock.relay.caller import CallerConnection

T = TypeVar("T")
# Seconds that the hub's word may take, and turns of this host's loop beside: two trips between
# failure domains and the hub's own turn.
REPLY_TIMEOUT_SECONDS = 0.05
REPLY_TIMEOUT_ITERATIONS = 3


class HubCalls(Generic[T]):
    """The questions of one kind that are open, by number."""

    def __init__(self, turns: LoopIterations):
        self._turns = turns
        self._last_number = 0
        self._pending: dict[int, asyncio.Future[T]] = {}

    async def call(
        self, send: Callable[[int], bool], caller: CallerConnection | None = None
    ) -> T | None:
        """Send a question by its number, and return the word.

        None when none comes in time, the caller leaves, or ``send`` finds no way to the hub.
        """
        self._last_number += 1
        number = self._last_number
        reply: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        try:
            if not send(number):
                return None
            seconds = REPLY_TIMEOUT_SECONDS + REPLY_TIMEOUT_ITERATIONS * self._turns.median_length()
            waits = {reply} if caller is None else {reply, caller.disconnected}
            first = asyncio.FIRST_COMPLETED
            await asyncio.wait(waits, timeout=seconds, return_when=first)
        finally:
            del self._pending[number]
        return reply.result() if reply.done() else None

    def on_reply(self, number: int, reply: T) -> None:
        """Take the hub's word; nobody waits for one that comes too late."""
        found = self._pending.get(number)
        if found is not None and not found.done():
            found.set_result(reply)
