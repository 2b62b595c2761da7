"""What a host sees of its own state: how late its loop is, its connections, its descriptors."""

import os
import resource
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from peridotdock.context import Context
from peridotdock.decisions.overload import BEHIND_SECONDS, HostState, RefusalReason, check_host
from peridotdock.loop_iterations import LoopIterations

# Seconds between two looks, and between two log lines while a host stays behind.
CHECK_SECONDS = 1.0
# The same while the host is behind or takes nothing new, so that callers have it back soon after
# its calm shows.
OVERLOADED_CHECK_SECONDS = 0.2
LOG_INTERVAL_SECONDS = 5.0
DESCRIPTORS_PATH = "/proc/self/fd"


@dataclass(frozen=True, slots=True)
class DescriptorCount:
    """Open descriptors and the most that the process may have."""

    open: int
    limit: int

    @property
    def free(self) -> int:
        """Return how many more can be opened."""
        return self.limit - self.open


class CountDescriptors(Protocol):
    """Counts descriptors; None where the system doesn't tell."""

    def __call__(self) -> DescriptorCount | None:
        """Return the count."""


def count_descriptors() -> DescriptorCount | None:
    """Count the process's descriptors."""
    try:
        used = len(os.listdir(DESCRIPTORS_PATH))
    except OSError:
        return None
    return DescriptorCount(used, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


class HostMonitor:
    """Looks at the loop each second, for the metrics and the log."""

    def __init__(
        self,
        ctx: Context,
        turns: LoopIterations,
        in_work: Callable[[], int],
        descriptors: CountDescriptors = count_descriptors,
    ):
        self._ctx = ctx
        self._turns = turns
        turns.lag_threshold = BEHIND_SECONDS
        self._in_progress = in_work
        self.count = descriptors
        self._accepted = 0
        self._checked_at = ctx.clock.monotonic()
        self._logged_at = float("-inf")
        self._behind_since: float | None = None
        self.trouble: RefusalReason | None = None
        self.on_change: Callable[[], None] = lambda: None
        self.descriptors: DescriptorCount | None = None
        ctx.metrics.loop_lag.set_function(turns.lag)

    def check_interval(self) -> float:
        """Return the seconds until the next look."""
        calm = self.trouble is None and self._behind_since is None
        return CHECK_SECONDS if calm else OVERLOADED_CHECK_SECONDS

    async def check(self) -> None:
        """Take the figures of the last second, and log them while the host is behind."""
        now = self._ctx.clock.monotonic()
        lag = self._turns.lag()
        self.descriptors = self.count()
        if self.descriptors is not None:
            self._ctx.metrics.descriptors.labels("open").set(self.descriptors.open)
            self._ctx.metrics.descriptors.labels("most").set(self.descriptors.limit)
        accepted = self._turns.accepted - self._accepted
        self._accepted = self._turns.accepted
        self._ctx.metrics.accepted.inc(accepted)
        seconds = max(now - self._checked_at, 0.001)
        self._checked_at = now
        self._update_overload(now, lag)
        self._log_overload(now, lag, accepted / seconds)

    def _update_overload(self, now: float, lag: float) -> None:
        """Tell whether this host can take anything new; ``trouble`` says why not."""
        was_behind = self._behind_since is not None
        if lag < BEHIND_SECONDS:
            self._behind_since = None
        elif not was_behind:
            self._behind_since = self._turns.lag_since
        behind_for = 0.0 if self._behind_since is None else now - self._behind_since
        free = None if self.descriptors is None else self.descriptors.free
        trouble = check_host(HostState(lag, behind_for, free))
        if trouble is not self.trouble:
            event = "host_ready" if trouble is None else "host_unready"
            self._ctx.timeline.add(event, "WARNING", detail=trouble or "")
            self.trouble = trouble
            self.on_change()
        if was_behind and self._behind_since is None:
            self._ctx.timeline.add("loop_caught_up", detail=f"a timer was {lag:.3f} s late")

    def _log_overload(self, now: float, lag: float, accepted: float) -> None:
        """Log the state of a host that is behind or can take nothing new."""
        calm = lag < BEHIND_SECONDS and self.trouble is None
        if calm or now - self._logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        self._ctx.timeline.add(
            "loop_behind",
            "WARNING",
            detail=f"a timer was {lag:.3f} s late, {accepted:.0f} connections a second, "
            f"{self._in_progress()} requests in work, {describe(self.descriptors)}",
        )


def describe(count: DescriptorCount | None) -> str:
    """Return the state of descriptors for a log line."""
    if count is None:
        return "descriptors unknown"
    return f"{count.open} of {count.limit} descriptors"
