"""How many loads from the weight store may begin now.

Load pattern: a crash or a shift of demand calls for many loads at once, and each one beyond the
store's rate makes all of them longer. The bound holds over any window and over all engines; a host
that has just taken over doesn't know what its predecessor began, so it starts with most of the
window used up.
"""

from collections import deque

# The operators' bound allows so many beyond the rate in a window.
EXTRA_LOADS = 3
# Loads of the bound that are left unused: a load begins at its engine some time after the order.
SPARED_LOADS = 2


class LoadRation:
    """Loads begun lately, over all engines. Times are seconds of any steady clock."""

    def __init__(self, per_second: float, window: float, over: float):
        self._most = max(1, int(per_second * window * over + EXTRA_LOADS) - SPARED_LOADS)
        # One more window's worth of slack for the time an order takes to reach its engine.
        self._window = window + 1.0
        self._begun: deque[float] = deque()

    def left(self, now: float) -> int:
        """Return how many loads may begin now."""
        while self._begun and self._begun[0] <= now - self._window:
            self._begun.popleft()
        return self._most - len(self._begun)

    def begin(self, now: float) -> None:
        """Count a load."""
        self._begun.append(now)

    def assume_used(self, now: float) -> None:
        """Take all but one of the loads as begun just now, by a host that ordered before."""
        while self.left(now) > 1:
            self.begin(now)
