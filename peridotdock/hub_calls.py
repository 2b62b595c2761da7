"""Calls from this host to the hub, each with one reply."""

import asyncio
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from peridotdock.loop_iterations import LoopIterations

T = TypeVar("T")
# Timeout of a reply: seconds, plus iterations of this host's loop. Covers two trips between failure
# domains and one loop iteration of the hub.
REPLY_TIMEOUT_SECONDS = 0.05
REPLY_TIMEOUT_ITERATIONS = 3
# Longest time between two checks that a call is still valid.
CHECK_SECONDS = 0.1


class Disconnectable(Protocol):
    """A caller's connection; ``disconnected`` is done once the caller has closed it."""

    disconnected: asyncio.Future[None]


def always() -> bool:
    """Return True: a call is valid until its timeout."""
    return True


class HubCalls(Generic[T]):
    """The pending calls of one kind, by number."""

    def __init__(self, iterations: LoopIterations):
        self._iterations = iterations
        self._last_number = 0
        self._pending: dict[int, asyncio.Future[T]] = {}

    async def call(
        self, send: Callable[[int], bool], caller: Disconnectable | None = None
    ) -> T | None:
        """Send a call with a new number by ``send``, and return the reply.

        Return None without a reply in time, if the caller disconnects, or if ``send`` returns false
        because the hub can't be reached.
        """
        iterations = REPLY_TIMEOUT_ITERATIONS * self._iterations.median_length()
        return await self._call(send, caller, REPLY_TIMEOUT_SECONDS + iterations, always)

    async def call_while(
        self,
        send: Callable[[int], bool],
        caller: Disconnectable,
        seconds: float,
        is_valid: Callable[[], bool],
    ) -> T | None:
        """Make a call as :meth:`call` does, and wait for ``seconds`` while ``is_valid`` holds."""
        return await self._call(send, caller, seconds, is_valid)

    async def _call(
        self,
        send: Callable[[int], bool],
        caller: Disconnectable | None,
        seconds: float,
        is_valid: Callable[[], bool],
    ) -> T | None:
        self._last_number += 1
        number = self._last_number
        reply: asyncio.Future[T] = asyncio.get_running_loop().create_future()
        self._pending[number] = reply
        try:
            if not send(number):
                return None
            waits = {reply} if caller is None else {reply, caller.disconnected}
            first = asyncio.FIRST_COMPLETED
            while seconds > 0 and is_valid():
                step = min(seconds, CHECK_SECONDS)
                seconds -= step
                if (await asyncio.wait(waits, timeout=step, return_when=first))[0]:
                    break
        finally:
            del self._pending[number]
        return reply.result() if reply.done() else None

    def on_reply(self, number: int, reply: T) -> bool:
        """Pass a reply to its call; return False for one after the timeout, which is dropped."""
        found = self._pending.get(number)
        if found is None or found.done():
            return False
        found.set_result(reply)
        return True
