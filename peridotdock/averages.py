"""An exponential moving average of a quantity sampled at irregular times."""

import math


class MovingAverage:
    """An average with a time constant of ``seconds``; sample times are monotonic seconds."""

    def __init__(self, seconds: float):
        self._seconds = seconds
        self._updated_at = 0.0
        self.value = 0.0

    def update(self, value: float, now: float) -> float:
        """Add a sample taken at ``now`` and return the new average."""
        share = 1 - math.exp(-(now - self._updated_at) / self._seconds)
        self.value += share * (value - self.value)
        self._updated_at = now
        return self.value
