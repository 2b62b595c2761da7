"""Demand for each model and adapter, in engine seconds requested per second.

The demand is kept as two moving averages and a decaying peak. The fast average detects the start
of a burst, the slow one gives the usual demand, and the peak keeps copies loaded through the pauses
of an evening session.
"""

import math
from dataclasses import dataclass

FAST_SECONDS = 3.0
SLOW_SECONDS = 60.0
PEAK_SECONDS = 30.0
MIN_RATE = 1e-4


@dataclass
class Rate:
    """The averages of one item as of ``updated_at`` (monotonic seconds)."""

    fast: float = 0.0
    slow: float = 0.0
    peak: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float, peak_seconds: float = PEAK_SECONDS) -> None:
        """Decay the averages to ``now``."""
        elapsed = max(0.0, now - self.updated_at)
        self.fast *= math.exp(-elapsed / FAST_SECONDS)
        self.slow *= math.exp(-elapsed / SLOW_SECONDS)
        self.peak = max(self.fast, self.peak * math.exp(-elapsed / peak_seconds))
        self.updated_at = now

    def add(self, work: float) -> None:
        """Add ``work`` engine seconds."""
        self.fast += work / FAST_SECONDS
        self.slow += work / SLOW_SECONDS
        self.peak = max(self.peak, self.fast)


class Demand:
    """Demand observed by this host; a peak decays with a time constant of ``peak_seconds``."""

    def __init__(self, peak_seconds: float = PEAK_SECONDS) -> None:
        self._peak_seconds = peak_seconds
        self._rates: dict[str, Rate] = {}

    def add(self, item: str, work: float, now: float) -> None:
        """Count a request for ``item`` that takes an estimated ``work`` engine seconds."""
        rate = self._rates.setdefault(item, Rate(updated_at=now))
        rate.decay(now, self._peak_seconds)
        rate.add(work)

    def recent(self, now: float) -> dict[str, float]:
        """Return the fast average by item, without peaks."""
        found = {}
        for item, rate in self._rates.items():
            rate.decay(now, self._peak_seconds)
            if rate.fast > MIN_RATE:
                found[item] = round(rate.fast, 4)
        return found

    def rates(self, now: float) -> dict[str, float]:
        """Return the rate to plan for, by item: the larger of peak and slow average.

        Items without demand are omitted.
        """
        for rate in self._rates.values():
            rate.decay(now, self._peak_seconds)
        self._rates = {item: rate for item, rate in self._rates.items() if rate.peak > MIN_RATE}
        return {item: round(max(r.peak, r.slow), 4) for item, r in self._rates.items()}
