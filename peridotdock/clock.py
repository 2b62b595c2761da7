"""A clock interface, so that tests can control time."""

import asyncio
import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """A source of time."""

    def monotonic(self) -> float:
        """Return monotonic seconds, for intervals on this host."""

    def now(self) -> datetime:
        """Return the time of day in UTC, only for display and for the timeline."""

    async def sleep(self, seconds: float) -> None:
        """Sleep for ``seconds``."""


class SystemClock:
    """The system clock."""

    def monotonic(self) -> float:
        """Return the system's monotonic clock, in seconds."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the system's time of day in UTC."""
        return datetime.now(UTC)

    async def sleep(self, seconds: float) -> None:
        """Sleep on the running event loop."""
        await asyncio.sleep(seconds)
