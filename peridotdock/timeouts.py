"""Timeouts that a loop which was held up does not turn against the other end."""

import asyncio
from typing import Any, Self


class IterationTimeout:
    """Ends the work of the running task some iterations of the loop after its time is over.

    After a turn that lasted long, timers are due before what came meanwhile has been handled: it
    came in time all the same. ``iterations`` is how many the work needs for that, one at least.
    """

    def __init__(self, seconds: float, iterations: int = 1):
        self._seconds = max(0.0, seconds)
        self._iterations = iterations
        self._limit = asyncio.timeout(None)
        self._active = False

    async def __aenter__(self) -> Self:
        """Begin to count."""
        await self._limit.__aenter__()
        self._active = True
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._seconds, self._count_down, self._iterations)
        return self

    async def __aexit__(self, *exc: Any) -> bool | None:
        """Stop counting; raises TimeoutError when the work was ended."""
        self._active = False
        self._timer.cancel()
        return await self._limit.__aexit__(*exc)

    def _count_down(self, iterations: int) -> None:
        if iterations > 1:
            asyncio.get_running_loop().call_soon(self._count_down, iterations - 1)
        else:
            self.expire()

    def expire(self) -> None:
        """End the work in the next turn."""
        if self._active:
            self._active = False
            self._limit.reschedule(asyncio.get_running_loop().time())

    def expired(self) -> bool:
        """Tell whether the work was ended."""
        return self._limit.expired()
