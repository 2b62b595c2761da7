"""Demand for each model and adapter: engine seconds asked for each second.

Two moving averages and a held peak: the fast one sees a burst begin, the slow one tells a burst
from the usual, and the peak keeps copies through the gaps of an evening session.
"""

import math
from dataclasses import dataclass

FAST_SECONDS = 3.0
SLOW_SECONDS = 60.0
PEAK_SECONDS = 30.0
MIN_RATE = 1e-4


@dataclass
class Rate:
    """The averages of one item at ``at`` (monotonic seconds)."""

    fast: float = 0.0
    slow: float = 0.0
    peak: float = 0.0
    at: float = 0.0

    def decay(self, now: float, peak_seconds: float = PEAK_SECONDS) -> None:
        """Carry the averages forward to ``now``."""
        elapsed = max(0.0, now - self.at)
        self.fast *= math.exp(-elapsed / FAST_SECONDS)
        self.slow *= math.exp(-elapsed / SLOW_SECONDS)
        self.peak = max(self.fast, self.peak * math.exp(-elapsed / peak_seconds))
        self.at = now

    def add(self, work: float) -> None:
        """Count ``work`` engine seconds."""
        self.fast += work / FAST_SECONDS
        self.slow += work / SLOW_SECONDS
        self.peak = max(self.peak, self.fast)


class Demand:
    """Demand seen by this host; a peak is held for about ``peak_seconds``."""

    def __init__(self, peak_seconds: float = PEAK_SECONDS) -> None:
        self._peak_seconds = peak_seconds
        self._rates: dict[str, Rate] = {}

    def add(self, item: str, work: float, now: float) -> None:
        """Count a request for ``item`` that would take ``work`` engine seconds."""
        rate = self._rates.setdefault(item, Rate(at=now))
        rate.decay(now, self._peak_seconds)
        rate.add(work)

    def recent(self, now: float) -> dict[str, float]:
        """Return the rate of the last seconds, by item, without held peaks."""
        found = {}
        for item, rate in self._rates.items():
            rate.decay(now, self._peak_seconds)
            if rate.fast > MIN_RATE:
                found[item] = round(rate.fast, 4)
        return found

    def rates(self, now: float) -> dict[str, float]:
        """Return the rate to plan for, by item; items without demand are left out."""
        for rate in self._rates.values():
            rate.decay(now, self._peak_seconds)
        self._rates = {item: rate for item, rate in self._rates.items() if rate.peak > MIN_RATE}
        return {item: round(max(r.peak, r.slow), 4) for item, r in self._rates.items()}
