"""Bounds on the clock of the platform's store, estimated from the times in its answers."""

from collections.abc import Callable
from dataclasses import dataclass

# Seconds by which an answer may round the store's time down.
ROUNDING_SECONDS = 0.001


@dataclass(frozen=True, slots=True)
class TimeSample:
    """The store's time in an answer, and the host's time at the request and at the answer."""

    seconds: float
    sent_at: float
    received_at: float


class StoreTime:
    """Bounds on the store's present time.

    ``clock`` is the host's own clock in seconds; it must advance while the host is suspended.
    """

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self._sample: TimeSample | None = None

    def record(self, seconds: float, sent_at: float) -> None:
        """Record the store's time, in seconds, from the answer to a call sent at ``sent_at``."""
        self._sample = TimeSample(seconds, sent_at, self.clock())

    def earliest(self) -> float | None:
        """Return the lower bound of the store's time now; None before its first answer."""
        sample = self._sample
        return None if sample is None else sample.seconds + self.clock() - sample.received_at

    def latest(self) -> float | None:
        """Return the upper bound of the store's time now; None before its first answer."""
        sample = self._sample
        return (
            None
            if sample is None
            else sample.seconds + ROUNDING_SECONDS + self.clock() - sample.sent_at
        )
