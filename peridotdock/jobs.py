"""Periodic background jobs of a daemon."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from peridotdock.context import Context

JITTER_SHARE = 0.2
MIN_INTERVAL_SECONDS = 0.1

log = logging.getLogger("peridotdock")


class Jobs:
    """The periodic jobs of one process."""

    def __init__(self, ctx: Context):
        self._ctx = ctx
        self._tasks: list[asyncio.Task[None]] = []

    def every(
        self,
        seconds: Callable[[], float],
        work: Callable[[], Awaitable[None]],
        name: str,
        wake: asyncio.Event | None = None,
    ) -> None:
        """Run ``work`` every ``seconds()`` with jitter, or earlier when ``wake`` is set.

        The jitter keeps hosts that started together, or resumed together after an outage, from
        calling the platform at the same times.
        """
        self._tasks.append(asyncio.create_task(self._repeat(seconds, work, name, wake)))

    async def _repeat(
        self,
        seconds: Callable[[], float],
        work: Callable[[], Awaitable[None]],
        name: str,
        wake: asyncio.Event | None,
    ) -> None:
        while True:
            try:
                await work()
            except Exception:
                log.exception("job failed", extra={"job": name})
            jitter = 1 + JITTER_SHARE * (self._ctx.rng.random() - 0.5)
            await self._pause(seconds() * jitter, wake)

    async def _pause(self, seconds: float, wake: asyncio.Event | None) -> None:
        if wake is None:
            await self._ctx.clock.sleep(seconds)
            return
        minimum = min(seconds, MIN_INTERVAL_SECONDS)
        await self._ctx.clock.sleep(minimum)
        sleep = asyncio.ensure_future(self._ctx.clock.sleep(seconds - minimum))
        woken = asyncio.ensure_future(wake.wait())
        try:
            await asyncio.wait({sleep, woken}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleep.cancel()
            woken.cancel()
        wake.clear()

    async def stop(self) -> None:
        """Cancel all jobs and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
