"""A clock that keeps running while the machine is suspended."""

import time
from typing import Protocol


class UptimeClock(Protocol):
    """Seconds since a fixed point in time, including suspended time."""

    def seconds(self) -> float:
        """Return the current time in seconds."""


class BootClock:
    """The time since the machine booted (CLOCK_BOOTTIME).

    The monotonic clock stops while the machine is suspended. Judged by it, a lease that expired
    during a suspension would still look valid.
    """

    def seconds(self) -> float:
        """Return the seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
