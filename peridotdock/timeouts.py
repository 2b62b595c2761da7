"""Timeouts that do not fire early when the event loop has been blocked."""

import asyncio
from typing import Any, Self


class IterationTimeout:
    """Cancels the work of the running task a number of loop iterations after its time is over.

    After a long iteration, timers fire before data that arrived in time has been handled.
    ``iterations`` is the number of iterations that the work needs to handle it, at least one.
    """

    def __init__(self, seconds: float, iterations: int = 1):
        self._seconds = max(0.0, seconds)
        self._iterations = iterations
        self._limit = asyncio.timeout(None)
        self._active = False

    async def __aenter__(self) -> Self:
        """Start the timer."""
        await self._limit.__aenter__()
        self._active = True
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._seconds, self._count_down, self._iterations)
        return self

    async def __aexit__(self, *exc: Any) -> bool | None:
        """Cancel the timer; raise TimeoutError when the work was cancelled."""
        self._active = False
        self._timer.cancel()
        return await self._limit.__aexit__(*exc)

    def _count_down(self, iterations: int) -> None:
        if iterations > 1:
            asyncio.get_running_loop().call_soon(self._count_down, iterations - 1)
        else:
            self.expire()

    def expire(self) -> None:
        """Cancel the work in the next iteration."""
        if self._active:
            self._active = False
            self._limit.reschedule(asyncio.get_running_loop().time())

    def expired(self) -> bool:
        """Return whether the work was cancelled."""
        return self._limit.expired()
