"""A moving average of a quantity that is looked at now and then."""

import math


class MovingAverage:
    """The average over about ``seconds``, of looks at any times (monotonic seconds)."""

    def __init__(self, seconds: float):
        self._seconds = seconds
        self._at = 0.0
        self.value = 0.0

    def update(self, value: float, now: float) -> float:
        """Take in what the quantity is now, and return its average."""
        share = 1 - math.exp(-(now - self._at) / self._seconds)
        self.value += share * (value - self.value)
        self._at = now
        return self.value
