"""Time as an interface, so that tests decide how it passes."""

import asyncio
import time
from datetime import UTC, datetime
from typing import Protocol


class Clock(Protocol):
    """Where time comes from."""

    def monotonic(self) -> float:
        """Return seconds that never go back, for intervals on this host."""

    def now(self) -> datetime:
        """Return the time of day in UTC; only for people and for the time line."""

    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""


class SystemClock:
    """The clock of the machine."""

    def monotonic(self) -> float:
        """Return the machine's monotonic clock, in seconds."""
        return time.monotonic()

    def now(self) -> datetime:
        """Return the machine's time of day in UTC."""
        return datetime.now(UTC)

    async def sleep(self, seconds: float) -> None:
        """Wait on the running loop."""
        await asyncio.sleep(seconds)
