"""A clock that runs while the machine is suspended."""

import time
from typing import Protocol


class UptimeClock(Protocol):
    """Seconds since some fixed moment, suspensions included."""

    def seconds(self) -> float:
        """Return the seconds."""


class BootClock:
    """The machine's clock since it was started.

    The monotonic clock stops in a suspension: a lease judged by it would still look fresh to a
    host that slept through its end.
    """

    def seconds(self) -> float:
        """Return the seconds since the machine was started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
