"""How many loads from the weight store may begin now.

Load pattern: a crash or a shift of demand calls for many loads at once, and each one beyond the
store's rate makes all of them longer. The bound holds over any window and over all engines; a host
that has just taken over doesn't know what its predecessor began, so it starts with most of the
window used up.
"""

from collections import deque
from collections.abc import Sequence

# The operators' bound allows so many beyond the rate in a window.
EXTRA_LOADS = 3
# Loads that a holder may have begun after its last word: it tells of each within some milliseconds.
UNREPORTED_LOADS = 2
# Loads of the bound that are left unused: a load begins at its engine some time after the order.
RESERVED_LOADS = 2


class LoadRateLimiter:
    """Loads begun lately, over all engines. Times are seconds of any steady clock."""

    def __init__(self, per_second: float, window: float, over: float):
        self._max_loads = max(1, int(per_second * window * over + EXTRA_LOADS) - RESERVED_LOADS)
        # One more window's worth of slack for the time an order takes to reach its engine.
        self._window = window + 1.0
        self._started: deque[float] = deque()

    def available(self, now: float) -> int:
        """Return how many loads may begin now."""
        while self._started and self._started[0] <= now - self._window:
            self._started.popleft()
        return self._max_loads - len(self._started)

    def record(self, now: float) -> None:
        """Count a load."""
        self._started.append(now)

    def undo(self, started: float) -> None:
        """Count the load that was begun then no more: its engine refused the order.

        Failure guarded against: a load is tried while its engine is still busy, each try counts,
        and then no load may begin for six seconds.
        """
        if started in self._started:
            self._started.remove(started)

    def start_times(self, now: float) -> tuple[float, ...]:
        """Return when each load that counts was begun."""
        self.available(now)
        return tuple(self._started)

    def take_over(self, now: float, reported_ages: Sequence[float] | None) -> None:
        """Take over from a host that ordered before.

        ``heard`` are the ages of the loads that it has told of, None when nothing was heard. It may
        have begun some more after its last word, so those count as begun just now.
        """
        if reported_ages is not None:
            self._started = deque(sorted(now - age for age in reported_ages))
        unreported = UNREPORTED_LOADS if reported_ages is not None else self._max_loads
        while unreported and self.available(now) > 1:
            self.record(now)
            unreported -= 1
