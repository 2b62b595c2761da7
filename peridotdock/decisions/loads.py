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
UNHEARD_LOADS = 2
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

    def take_back(self, begun: float) -> None:
        """Count the load that was begun then no more: its engine refused the order.

        Failure guarded against: a load is tried while its engine is still busy, each try counts,
        and then no load may begin for six seconds.
        """
        if begun in self._begun:
            self._begun.remove(begun)

    def begun(self, now: float) -> tuple[float, ...]:
        """Return when each load that counts was begun."""
        self.left(now)
        return tuple(self._begun)

    def assume_used(self, now: float, heard: Sequence[float] | None) -> None:
        """Take over from a host that ordered before.

        ``heard`` are the ages of the loads that it has told of, None when nothing was heard. It may
        have begun some more after its last word, so those count as begun just now.
        """
        if heard is not None:
            self._begun = deque(sorted(now - age for age in heard))
        unheard = UNHEARD_LOADS if heard is not None else self._most
        while unheard and self.left(now) > 1:
            self.begin(now)
            unheard -= 1
