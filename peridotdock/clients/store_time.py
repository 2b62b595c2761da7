"""What a host knows of the clock of the platform's store, which its answers tell."""

from collections.abc import Callable
from dataclasses import dataclass

# Seconds up to which an answer may round the store's time down.
ROUNDING = 0.001


@dataclass(frozen=True, slots=True)
class Told:
    """A time that the store told, and the host's own when it asked and when it heard."""

    seconds: float
    asked_at: float
    heard_at: float


class StoreTime:
    """Bounds on the store's time now. ``clock`` is the host's own, suspensions included."""

    def __init__(self, clock: Callable[[], float]):
        self.clock = clock
        self._told: Told | None = None

    def note(self, seconds: float, asked_at: float) -> None:
        """Take in the time of an answer to a call that was begun at ``asked_at``."""
        self._told = Told(seconds, asked_at, self.clock())

    def earliest(self) -> float | None:
        """Return the least that the store's time can be now, None before its first answer."""
        told = self._told
        return None if told is None else told.seconds + self.clock() - told.heard_at

    def latest(self) -> float | None:
        """Return the most that the store's time can be now, None before its first answer."""
        told = self._told
        return None if told is None else told.seconds + ROUNDING + self.clock() - told.asked_at
