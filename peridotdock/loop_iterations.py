"""An event loop that measures its iterations and the lag of its timers.

In one iteration a loop reads ready data, then runs callbacks and timers. A long iteration delays
timers, reads and new connections. All times are monotonic seconds.
"""

import asyncio
import math
import selectors
import time
from collections import deque
from collections.abc import Callable

# A longer wait for events means that nothing was ready when it began. Shorter ones are the duration
# of the call itself, which takes some microseconds.
MIN_WAIT_SECONDS = 0.001
# Number of recorded iterations; a new connection is accepted two iterations before its first read.
RECORDED_ITERATIONS = 8
# Iterations from the one that accepts a connection to the one that sets it up.
ACCEPT_ITERATIONS = 2
# Connections accepted from one listening socket per iteration. Failure guarded against: a burst of
# connections is set up completely before the next event of a stream is passed on. Setting up this
# many takes a few milliseconds.
ACCEPTS_PER_ITERATION = 32
WINDOW_SECONDS = 1.0


class LoopIterations:
    """Times and lag of the last iterations of one loop.

    A timer that is late by ``lag_threshold`` seconds or more belongs to a period of lag, which
    began at ``lag_since``. The period ends after two windows without such a timer, when
    :meth:`lag` no longer includes the last one.
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
        """Record the end of an iteration and return its time."""
        now = self.monotonic()
        self._record_lag(now, now - self._started_at)
        self._lengths.append(now - self._started_at)
        self._ended = now
        return now

    def begin(self, timeout: float | None) -> None:
        """Record the start of an iteration, after a wait for events of at most ``timeout``."""
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
        """Start a new window of ``WINDOW_SECONDS`` when the last one is over."""
        passed = now - self._window_start
        if passed < WINDOW_SECONDS:
            return
        self._previous_max_lag = self._max_lag if passed < 2 * WINDOW_SECONDS else 0.0
        self._max_lag = 0.0
        self._window_start = now

    def earliest_arrival(self, back: int = 0) -> float:
        """Return the earliest possible arrival time of data read ``back`` iterations ago."""
        return self._earliest_arrivals[-1 - back]

    def count_accept(self) -> float:
        """Count a connection that is being set up; return its earliest possible arrival time.

        While each iteration accepts ``ACCEPTS_PER_ITERATION``, the connections it accepts may have
        waited since the burst began.
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
        """Return the median length of the last iterations; a single long one does not shift it."""
        return sorted(self._lengths)[RECORDED_ITERATIONS // 2]

    def lag(self) -> float:
        """Return the maximum lag of a timer in the last second, the current iteration included."""
        now = self.monotonic()
        self._roll_window(now)
        return max(self._max_lag, self._previous_max_lag, now - self._started_at)


class IterationSelector(selectors.DefaultSelector):
    """A selector that reports each wait to :class:`LoopIterations`."""

    def __init__(self) -> None:
        super().__init__()
        self.iterations = LoopIterations()

    def select(self, timeout: float | None = None):
        """Wait for events as the base class does, and record the wait."""
        self.iterations.end()
        found = super().select(timeout)
        self.iterations.begin(timeout)
        return found


class MeasuredLoop(asyncio.SelectorEventLoop):
    """An event loop that records its iterations in ``iterations``."""

    def __init__(self) -> None:
        selector = IterationSelector()
        super().__init__(selector)
        self.iterations = selector.iterations


class UnknownIterations(LoopIterations):
    """The iterations of a loop that is not measured: all data counts as just arrived."""

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
        """Return 0, as the lag is not measured."""
        return 0.0


# Shared by all connections, as it stores no state.
UNKNOWN_ITERATIONS = UnknownIterations()


def find_iterations() -> LoopIterations:
    """Return the iterations of the running loop, or a default if it is not measured."""
    return getattr(asyncio.get_running_loop(), "iterations", UNKNOWN_ITERATIONS)
