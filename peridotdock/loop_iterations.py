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
MIN_WAIT_SECONDS = 0.001
# Turns that are remembered; a new connection is accepted two turns before its first read.
RECORDED_ITERATIONS = 8
# Turns of the loop from the one that accepts a connection to the one that sets it up.
ACCEPT_ITERATIONS = 2
# Connections that one listening socket gives in one turn. Failure guarded against: a crowd connects
# and is set up whole before the next event of a stream is passed on; with this many a turn, setting
# them up takes a few milliseconds.
ACCEPTS_PER_ITERATION = 32
WINDOW_SECONDS = 1.0


class LoopIterations:
    """The last turns of one loop.

    A timer that is late by ``long`` seconds or more belongs to a series, which began at
    ``long_since``. It ends when no timer was that late for two windows: from then on :meth:`lag`
    doesn't show the last one any more.
    """

    def __init__(self, monotonic: Callable[[], float] = time.monotonic):
        self.monotonic = monotonic
        self.count: float = 0
        self.accepted = 0
        self._burst = 0
        self._burst_iteration = 0
        self._burst_arrival = 0.0
        self._started_at = self._ended = monotonic()
        self._lengths: deque[float] = deque([0.0] * RECORDED_ITERATIONS, maxlen=RECORDED_ITERATIONS)
        self._earliest_arrivals: deque[float] = deque(
            [self._started_at] * RECORDED_ITERATIONS, maxlen=RECORDED_ITERATIONS
        )
        self._window_start = self._started_at
        self._max_lag = 0.0
        self._previous_max_lag = 0.0
        self.lag_threshold = math.inf
        self._lagged_at = float("-inf")
        self.lag_since = self._started_at

    def end(self) -> float:
        """Note the end of a turn and return that time."""
        now = self.monotonic()
        self._record_lag(now, now - self._started_at)
        self._lengths.append(now - self._started_at)
        self._ended = now
        return now

    def begin(self, timeout: float | None) -> None:
        """Note the start of a turn, after a wait that ``timeout`` was to end."""
        now = self.monotonic()
        waited = now - self._ended
        if timeout is not None and waited > max(0.0, timeout):
            self._record_lag(now, waited - max(0.0, timeout))
        self._earliest_arrivals.append(now if waited > MIN_WAIT_SECONDS else self._started_at)
        self._started_at = now
        self.count += 1

    def _record_lag(self, now: float, lag: float) -> None:
        self._roll_window(now)
        self._max_lag = max(self._max_lag, lag)
        if lag < self.lag_threshold:
            return
        if now - self._lagged_at > 2 * WINDOW_SECONDS:
            self.lag_since = now - lag
        self._lagged_at = now

    def _roll_window(self, now: float) -> None:
        """Begin a new window of a second when the last one is over."""
        passed = now - self._window_start
        if passed < WINDOW_SECONDS:
            return
        self._previous_max_lag = self._max_lag if passed < 2 * WINDOW_SECONDS else 0.0
        self._max_lag = 0.0
        self._window_start = now

    def earliest_arrival(self, back: int = 0) -> float:
        """Return the earliest time at which something read ``back`` turns ago can have come."""
        return self._earliest_arrivals[-1 - back]

    def count_accept(self) -> float:
        """Count a connection that is being set up; return the earliest time it can have come.

        While each turn accepts as many as it may, others were left waiting the turn before.
        """
        if self.count != self._burst_iteration:
            burst_continues = (
                self._burst >= ACCEPTS_PER_ITERATION and self.count == self._burst_iteration + 1
            )
            if not burst_continues:
                self._burst_arrival = self.earliest_arrival(ACCEPT_ITERATIONS)
            self._burst_iteration, self._burst = self.count, 0
        self._burst += 1
        self.accepted += 1
        return self._burst_arrival

    def median_length(self) -> float:
        """Return how long a turn lasts at present: the median, which one long one doesn't move."""
        return sorted(self._lengths)[RECORDED_ITERATIONS // 2]

    def lag(self) -> float:
        """Return the most by which a timer was late in the last second, the present turn's too."""
        now = self.monotonic()
        self._roll_window(now)
        return max(self._max_lag, self._previous_max_lag, now - self._started_at)


class IterationSelector(selectors.DefaultSelector):
    """A selector that tells :class:`Turns` of each wait."""

    def __init__(self) -> None:
        super().__init__()
        self.iterations = LoopIterations()

    def select(self, timeout: float | None = None):
        """Wait for events."""
        self.iterations.end()
        found = super().select(timeout)
        self.iterations.begin(timeout)
        return found


class MeasuredLoop(asyncio.SelectorEventLoop):
    """An event loop with :class:`Turns`."""

    def __init__(self) -> None:
        selector = IterationSelector()
        super().__init__(selector)
        self.iterations = selector.iterations


class UnknownIterations(LoopIterations):
    """The turns of a loop that does not tell: all that is read has come just now."""

    def __init__(self) -> None:
        super().__init__()
        self.count = math.inf

    def earliest_arrival(self, back: int = 0) -> float:
        """Return the present."""
        return self.monotonic()

    def count_accept(self) -> float:
        """Return the present."""
        return self.monotonic()

    def lag(self) -> float:
        """Return nothing."""
        return 0.0


# One for all connections: it notes nothing.
UNKNOWN_ITERATIONS = UnknownIterations()


def find_iterations() -> LoopIterations:
    """Return the turns of the running loop."""
    return getattr(asyncio.get_running_loop(), "iterations", UNKNOWN_ITERATIONS)
