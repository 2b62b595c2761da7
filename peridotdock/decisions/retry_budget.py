"""Budget for the retries of one host to a service: its part of what all hosts may send together.

Load pattern: a failing service fails many requests at once, and the retries of all hosts would
add to its load at that moment. The bound holds for any window and over all hosts: the retries that
endpoints get in it are at most a share of the requests around it, plus a fixed number. Each host
counts only its own requests and uses a part of the fixed number, so that the parts never add up to
more than the whole.

Of the three windows whose requests may count, operators take the one with the most. Hosts take the
mean of the three: a host that took its own best one would add requests of another window to those
of other hosts.
"""

import math
from collections import Counter, deque
from itertools import accumulate

# Seconds from a send until the endpoint has read it, which may be silent for a moment, and one step
# of the counts. A window of arrivals holds sends of a longer time.
MAX_ARRIVAL_SECONDS = 1.0
# Requests and retries are counted by steps of so many seconds.
STEP_SECONDS = 0.25
# The fixed number is divided by at least this many hosts: one that has just started knows few
# others.
MIN_HOSTS = 8


class SharedRetryBudget:
    """Retries that this host may still send to one service. Times are monotonic seconds.

    A retry is reserved when it is decided, and counts from when it is sent: between the two it may
    wait for longer than a window.

    A restarted host has lost its count of what it sent before, and a new one uses a part of the
    fixed number that others still use. Neither uses the fixed number until what was sent before its
    start, at ``started``, is in no window with what it sends.
    """

    def __init__(self, share: float, extra: float, window: float, started: float = -math.inf):
        self._share = share
        self._extra = extra
        self._extra_from = started + span_seconds(window)
        self._span_steps = math.ceil(span_seconds(window) / STEP_SECONDS)
        # A window's requests, in steps from its start: its own, those of the one half a window
        # before it, and of the one before it. Its arrivals may have been sent earlier.
        late = math.ceil(MAX_ARRIVAL_SECONDS / STEP_SECONDS)
        whole, half = math.floor(window / STEP_SECONDS), math.floor(window / 2 / STEP_SECONDS)
        self._spans = tuple((late - back, whole - back) for back in (0, half, whole))
        self._requests: Counter[int] = Counter()
        self._retries: Counter[int] = Counter()
        self._reserved = 0

    def count_request(self, now: float) -> None:
        """Count a request that a caller sent."""
        step = find_step(now)
        if step not in self._requests:
            self._prune(step)
        self._requests[step] += 1

    def available(self, now: float, hosts: int | None) -> bool:
        """Return whether a retry is left.

        ``hosts`` is the number of hosts that share the fixed number, None while it is not known.
        """
        return self._allows(self._reserved + 1, now, hosts)

    def reserve(self, now: float, hosts: int | None) -> bool:
        """Reserve a retry that will be sent; return False when none is left."""
        reserved = self.available(now, hosts)
        self._reserved += reserved
        return reserved

    def release(self) -> None:
        """Give a reserved retry back."""
        self._reserved -= 1

    def take(self, now: float, hosts: int | None) -> bool:
        """Count a retry that is sent now; return False when none is left."""
        allowed = self._allows(1, now, hosts)
        if allowed:
            self._retries[find_step(now)] += 1
        return allowed

    def give_back(self, sent_at: float) -> None:
        """Take back the count of a retry that was sent at a time and reached no endpoint."""
        step = find_step(sent_at)
        if self._retries[step] > 0:
            self._retries[step] -= 1

    def _allows(self, more: int, now: float, hosts: int | None) -> bool:
        """Return whether so many more retries now exceed the bound of no window that holds now."""
        step = find_step(now)
        extra = self._usable_extra(now, hosts)
        oldest = self._oldest_step(step)
        sums = [0, *accumulate(self._requests[at] for at in range(oldest, step + 1))]
        retries = more
        for start in range(step, step - self._span_steps, -1):
            retries += self._retries[start]
            requests = sum(
                sums[min(start + end - oldest, len(sums) - 1)]
                - sums[min(start + first - oldest, len(sums) - 1)]
                for first, end in self._spans
            )
            if retries > self._share * requests / len(self._spans) + extra:
                return False
        return True

    def _oldest_step(self, step: int) -> int:
        """Return the first step of the requests that count for a window that holds a step."""
        return step - self._span_steps + min(first for first, _ in self._spans)

    def _usable_extra(self, now: float, hosts: int | None) -> float:
        if hosts is None or now < self._extra_from:
            return 0.0
        return self._extra / max(MIN_HOSTS, hosts)

    def _prune(self, step: int) -> None:
        """Forget the steps that no window needs any more."""
        oldest = self._oldest_step(step)
        for counts in (self._requests, self._retries):
            for old in [at for at in counts if at < oldest]:
                del counts[old]

    def describe(self) -> str:
        """Return what the budget has counted, for the log."""
        return (
            f"{self._retries.total()} retries sent, {self._reserved} waiting, "
            f"{self._requests.total()} requests counted"
        )


def find_step(at: float) -> int:
    """Return the number of the step that holds a time."""
    return math.floor(at / STEP_SECONDS)


def span_seconds(window: float) -> float:
    """Return the seconds of sends that may arrive within one window."""
    return window + MAX_ARRIVAL_SECONDS


class RecentMaximum:
    """The largest of the values that were current at some moment of the last ``seconds``."""

    def __init__(self, seconds: float):
        self._seconds = seconds
        self._value = 0
        self._ended: deque[tuple[float, int]] = deque()

    def update(self, value: int, now: float) -> None:
        """Replace the current value."""
        if value < self._value:
            while self._ended and self._ended[-1][1] <= self._value:
                self._ended.pop()
            self._ended.append((now, self._value))
        self._value = value

    def value(self, now: float) -> int:
        """Return the maximum."""
        while self._ended and self._ended[0][0] <= now - self._seconds:
            self._ended.popleft()
        return max([self._value, *(value for _, value in self._ended)])
