"""Rate limit of loads from the weight store.

Load pattern: a crash or a shift of demand needs many loads at once, and each one beyond the store's
rate makes all of them slower. The bound holds over any window and over all engines. A host that has
just taken over does not know what its predecessor started, so it begins with most of the window
used up.
"""

from collections import deque
from collections.abc import Sequence

# The operators' bound allows this many loads beyond the rate in a window.
EXTRA_LOADS = 3
# Loads that a holder may have started after its last report: it reports each within some
# milliseconds.
UNREPORTED_LOADS = 2
# Loads of the bound that stay unused: a load starts on its engine some time after the order.
RESERVED_LOADS = 2


class LoadRateLimiter:
    """Loads started recently, over all engines. Times are seconds of any monotonic clock."""

    def __init__(self, per_second: float, window: float, over: float):
        self._per_window = window * over
        self.set_rate(per_second)
        # One second of slack for the time that an order takes to reach its engine.
        self._window = window + 1.0
        self._started: deque[float] = deque()

    def set_rate(self, per_second: float) -> None:
        """Apply the rate of the newest configuration; what started before still counts."""
        most = int(per_second * self._per_window + EXTRA_LOADS) - RESERVED_LOADS
        self._max_loads = max(1, most)

    def available(self, now: float) -> int:
        """Return how many loads may start now."""
        while self._started and self._started[0] <= now - self._window:
            self._started.popleft()
        return self._max_loads - len(self._started)

    def record(self, now: float) -> None:
        """Count a load that starts now."""
        self._started.append(now)

    def undo(self, started: float) -> None:
        """Remove a load from the count: its engine refused the order.

        Failure guarded against: a load is retried while its engine is still busy, each attempt
        counts, and then no load may start for six seconds.
        """
        if started in self._started:
            self._started.remove(started)

    def start_times(self, now: float) -> tuple[float, ...]:
        """Return when each counted load was started."""
        self.available(now)
        return tuple(self._started)

    def take_over(self, now: float, reported_ages: Sequence[float] | None) -> None:
        """Take over from the previous holder.

        ``reported_ages`` are the ages of the loads that it reported, None when no report was
        received. It may have started more after its last report, so those count as started just
        now.
        """
        if reported_ages is not None:
            self._started = deque(sorted(now - age for age in reported_ages))
        unreported = UNREPORTED_LOADS if reported_ages is not None else self._max_loads
        while unreported and self.available(now) > 1:
            self.record(now)
            unreported -= 1
