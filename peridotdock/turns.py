"""An event loop that knows when its turns began and how late its timers were.

In one turn a loop reads what is ready, then runs callbacks and timers. A turn that lasts long makes
everything late: timers, reads, new connections. All times are seconds of the monotonic clock.
"""

import asyncio
import math
import selectors
import time
from collections import deque
from collections.abc import Callable

# A wait for events that is longer was a wait: nothing was ready when it began. Shorter ones are
# the call itself, which takes some microseconds.
IDLE_SECONDS = 0.001
# Turns that are remembered; a new connection is accepted two turns before its first read.
MOST_TURNS = 8
# Turns of the loop from the one that accepts a connection to the one that sets it up.
ACCEPT_TURNS = 2
# Connections that one listening socket gives in one turn. Failure guarded against: a crowd connects
# and is set up whole before the next event of a stream is passed on; with this many a turn, setting
# them up takes a few milliseconds.
ACCEPTS_PER_TURN = 32
WINDOW_SECONDS = 1.0


class Turns:
    """The last turns of one loop.

    A timer that is late by ``long`` seconds or more belongs to a series, which began at
    ``long_since``. It ends when no timer was that late for two windows: from then on :meth:`lag`
    doesn't show the last one any more.
    """

    def __init__(self, monotonic: Callable[[], float] = time.monotonic):
        self.monotonic = monotonic
        self.count: float = 0
        self.accepted = 0
        self._crowd = 0
        self._crowd_turn = 0
        self._crowd_since = 0.0
        self._began = self._ended = monotonic()
        self._lengths: deque[float] = deque([0.0] * MOST_TURNS, maxlen=MOST_TURNS)
        self._since: deque[float] = deque([self._began] * MOST_TURNS, maxlen=MOST_TURNS)
        self._window = self._began
        self._longest = 0.0
        self._longest_before = 0.0
        self.long = math.inf
        self._long_at = float("-inf")
        self.long_since = self._began

    def end(self) -> float:
        """Note the end of a turn and return that time."""
        now = self.monotonic()
        self._note_lag(now, now - self._began)
        self._lengths.append(now - self._began)
        self._ended = now
        return now

    def begin(self, timeout: float | None) -> None:
        """Note the start of a turn, after a wait that ``timeout`` was to end."""
        now = self.monotonic()
        waited = now - self._ended
        if timeout is not None and waited > max(0.0, timeout):
            self._note_lag(now, waited - max(0.0, timeout))
        self._since.append(now if waited > IDLE_SECONDS else self._began)
        self._began = now
        self.count += 1

    def _note_lag(self, now: float, lag: float) -> None:
        self._roll(now)
        self._longest = max(self._longest, lag)
        if lag < self.long:
            return
        if now - self._long_at > 2 * WINDOW_SECONDS:
            self.long_since = now - lag
        self._long_at = now

    def _roll(self, now: float) -> None:
        """Begin a new window of a second when the last one is over."""
        passed = now - self._window
        if passed < WINDOW_SECONDS:
            return
        self._longest_before = self._longest if passed < 2 * WINDOW_SECONDS else 0.0
        self._longest = 0.0
        self._window = now

    def since(self, back: int = 0) -> float:
        """Return the earliest time at which something read ``back`` turns ago can have come."""
        return self._since[-1 - back]

    def accept(self) -> float:
        """Count a connection that is being set up; return the earliest time it can have come.

        While each turn accepts as many as it may, others were left waiting the turn before.
        """
        if self.count != self._crowd_turn:
            goes_on = self._crowd >= ACCEPTS_PER_TURN and self.count == self._crowd_turn + 1
            if not goes_on:
                self._crowd_since = self.since(ACCEPT_TURNS)
            self._crowd_turn, self._crowd = self.count, 0
        self._crowd += 1
        self.accepted += 1
        return self._crowd_since

    def usual(self) -> float:
        """Return how long a turn lasts at present: the median, which one long one doesn't move."""
        return sorted(self._lengths)[MOST_TURNS // 2]

    def lag(self) -> float:
        """Return the most by which a timer was late in the last second, the present turn's too."""
        now = self.monotonic()
        self._roll(now)
        return max(self._longest, self._longest_before, now - self._began)


class TurnSelector(selectors.DefaultSelector):
    """A selector that tells :class:`Turns` of each wait."""

    def __init__(self) -> None:
        super().__init__()
        self.turns = Turns()

    def select(self, timeout: float | None = None):
        """Wait for events."""
        self.turns.end()
        found = super().select(timeout)
        self.turns.begin(timeout)
        return found


class WatchedLoop(asyncio.SelectorEventLoop):
    """An event loop with :class:`Turns`."""

    def __init__(self) -> None:
        selector = TurnSelector()
        super().__init__(selector)
        self.turns = selector.turns


class UnknownTurns(Turns):
    """The turns of a loop that does not tell: all that is read has come just now."""

    def __init__(self) -> None:
        super().__init__()
        self.count = math.inf

    def since(self, back: int = 0) -> float:
        """Return the present."""
        return self.monotonic()

    def accept(self) -> float:
        """Return the present."""
        return self.monotonic()

    def lag(self) -> float:
        """Return nothing."""
        return 0.0


# One for all connections: it notes nothing.
UNKNOWN = UnknownTurns()


def find_turns() -> Turns:
    """Return the turns of the running loop."""
    return getattr(asyncio.get_running_loop(), "turns", UNKNOWN)
