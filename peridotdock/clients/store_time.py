"""What a host knows of the clock of the platform's store, which its answers tell."""

from collections.abc import Callable
from dataclasses import dataclass

# Seconds up to which an answer may round the store's time down.
ROUNDING_SECONDS = 0.001


@dataclass(frozen=True, slots=True)
class TimeSample:
    """A time that the store told, and the host's own when it asked and when it heard."""

    seconds: float
    sent_at: float
    received_at: float


class StoreTime:
    """Bounds on the store's time now. ``clock`` is the host's own, suspensions included."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self._sample: TimeSample | None = None

    def record(self, seconds: float, sent_at: float) -> None:
        """Take in the time of an answer to a call that was begun at ``sent_at``."""
        self._sample = TimeSample(seconds, sent_at, self.clock())

    def earliest(self) -> float | None:
        """Return the least that the store's time can be now, None before its first answer."""
        sample = self._sample
        return None if sample is None else sample.seconds + self.clock() - sample.received_at

    def latest(self) -> float | None:
        """Return the most that the store's time can be now, None before its first answer."""
        sample = self._sample
        return (
            None
            if sample is None
            else sample.seconds + ROUNDING_SECONDS + self.clock() - sample.sent_at
        )
