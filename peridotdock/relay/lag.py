"""Monitors a host's event loop lag, new connections and file descriptors."""

import os
import resource
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from peridotdock.context import Context
from peridotdock.decisions.overload import BEHIND_SECONDS, HostState, RefusalReason, check_host
from peridotdock.loop_iterations import LoopIterations

# Seconds between two checks.
CHECK_SECONDS = 1.0
# The same while the loop is late or the host rejects new requests, so that the host serves callers
# again soon after it has recovered.
OVERLOADED_CHECK_SECONDS = 0.2
# Seconds between two log lines while the host stays overloaded.
LOG_INTERVAL_SECONDS = 5.0
DESCRIPTORS_PATH = "/proc/self/fd"


@dataclass(frozen=True, slots=True)
class DescriptorCount:
    """The number of open descriptors and the process's limit."""

    open: int
    limit: int

    @property
    def free(self) -> int:
        """Return how many more descriptors can be opened."""
        return self.limit - self.open


class CountDescriptors(Protocol):
    """Counts descriptors; returns None if the system does not report them."""

    def __call__(self) -> DescriptorCount | None:
        """Return the count, or None if it is unknown."""


def count_descriptors() -> DescriptorCount | None:
    """Count the process's open descriptors in /proc/self/fd; None if it can't be read."""
    try:
        used = len(os.listdir(DESCRIPTORS_PATH))
    except OSError:
        return None
    return DescriptorCount(used, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


class HostMonitor:
    """Checks the event loop each second, and updates metrics, log and overload state."""

    def __init__(
        self,
        ctx: Context,
        iterations: LoopIterations,
        in_progress: Callable[[], int],
        descriptors: CountDescriptors = count_descriptors,
    ):
        self._ctx = ctx
        self._iterations = iterations
        iterations.lag_threshold = BEHIND_SECONDS
        self._in_progress = in_progress
        self.count = descriptors
        self._accepted = 0
        self._checked_at = ctx.clock.monotonic()
        self._logged_at = float("-inf")
        self._behind_since: float | None = None
        self.refusal_reason: RefusalReason | None = None
        self.on_change: Callable[[], None] = lambda: None
        self.descriptors: DescriptorCount | None = None
        ctx.metrics.loop_lag.set_function(iterations.lag)

    def check_interval(self) -> float:
        """Return the seconds until the next check."""
        healthy = self.refusal_reason is None and self._behind_since is None
        return CHECK_SECONDS if healthy else OVERLOADED_CHECK_SECONDS

    async def check(self) -> None:
        """Update the metrics since the last check, and log them while the host is overloaded."""
        now = self._ctx.clock.monotonic()
        lag = self._iterations.lag()
        self.descriptors = self.count()
        if self.descriptors is not None:
            self._ctx.metrics.descriptors.labels("open").set(self.descriptors.open)
            self._ctx.metrics.descriptors.labels("most").set(self.descriptors.limit)
        accepted = self._iterations.accepted - self._accepted
        self._accepted = self._iterations.accepted
        self._ctx.metrics.accepted.inc(accepted)
        seconds = max(now - self._checked_at, 0.001)
        self._checked_at = now
        self._update_overload(now, lag)
        self._log_overload(now, lag, accepted / seconds)

    def _update_overload(self, now: float, lag: float) -> None:
        """Set ``refusal_reason``: why this host rejects new requests, or None if it does not."""
        was_behind = self._behind_since is not None
        if lag < BEHIND_SECONDS:
            self._behind_since = None
        elif not was_behind:
            self._behind_since = self._iterations.lag_since
        behind_for = 0.0 if self._behind_since is None else now - self._behind_since
        free = None if self.descriptors is None else self.descriptors.free
        refusal_reason = check_host(HostState(lag, behind_for, free))
        if refusal_reason is not self.refusal_reason:
            event = "host_ready" if refusal_reason is None else "host_unready"
            self._ctx.timeline.add(event, "WARNING", detail=refusal_reason or "")
            self.refusal_reason = refusal_reason
            self.on_change()
        if was_behind and self._behind_since is None:
            self._ctx.timeline.add("loop_caught_up", detail=f"a timer was {lag:.3f} s late")

    def _log_overload(self, now: float, lag: float, accepted: float) -> None:
        """Log the state while the loop is late or the host rejects new requests."""
        healthy = lag < BEHIND_SECONDS and self.refusal_reason is None
        if healthy or now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        self._ctx.timeline.add(
            "loop_behind",
            "WARNING",
            detail=f"a timer was {lag:.3f} s late, {accepted:.0f} connections a second, "
            f"{self._in_progress()} requests in work, {describe(self.descriptors)}",
        )


def describe(count: DescriptorCount | None) -> str:
    """Format a descriptor count for a log line."""
    if count is None:
        return "descriptors unknown"
    return f"{count.open} of {count.limit} descriptors"
