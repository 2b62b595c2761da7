"""Timeouts that a loop which was held up does not turn against the other end."""

import asyncio
from typing import Any, Self


class TurnTimeout:
    """Ends the work of the running task some turns of the loop after its time is over.

    After a turn that lasted long, timers are due before what came meanwhile has been handled: it
    came in time all the same. ``turns`` is how many the work needs for that, one at least.
    """

    def __init__(self, seconds: float, turns: int = 1):
        self._seconds = max(0.0, seconds)
        self._turns = turns
        self._limit = asyncio.timeout(None)
        self._open = False

    async def __aenter__(self) -> Self:
        """Begin to count."""
        await self._limit.__aenter__()
        self._open = True
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._seconds, self._wait, self._turns)
        return self

    async def __aexit__(self, *exc: Any) -> bool | None:
        """Stop counting; raises TimeoutError when the work was ended."""
        self._open = False
        self._timer.cancel()
        return await self._limit.__aexit__(*exc)

    def _wait(self, turns: int) -> None:
        if turns > 1:
            asyncio.get_running_loop().call_soon(self._wait, turns - 1)
        else:
            self.end()

    def end(self) -> None:
        """End the work in the next turn."""
        if self._open:
            self._open = False
            self._limit.reschedule(asyncio.get_running_loop().time())

    def expired(self) -> bool:
        """Tell whether the work was ended."""
        return self._limit.expired()
