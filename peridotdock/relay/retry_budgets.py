"""The retry budgets of one host, one for each service, with what logs and metrics tell of them."""

from collections.abc import Callable

from peridotdock.context import Context
from peridotdock.decisions.retry_budget import (
    RecentMaximum,
    SharedRetryBudget,
    span_seconds,
)
from peridotdock.relay.progress import Progress
from peridotdock.relay.settings import Bounds


class RetryBudgets:
    """Counts this host's requests, and takes its retries from the budget of their service.

    ``first_start`` is true if no process has sent retries in the deployment before. ``host_count``
    returns the number of hosts, ``knows_hosts`` whether that is known; once it is, it stays so.
    """

    def __init__(self, ctx: Context, bounds: Bounds, first_start: bool):
        self._ctx = ctx
        self._bounds = bounds
        self._started_at = float("-inf") if first_start else ctx.clock.monotonic()
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._host_count = RecentMaximum(span_seconds(bounds.retry_window))
        self.host_count: Callable[[], int] = lambda: 1
        self.knows_hosts: Callable[[], bool] = lambda: True
        self._hosts_known = False

    def refresh(self) -> None:
        """Note how many hosts there are now: hosts that leave have sent retries until then."""
        self._hosts_known = self._hosts_known or self.knows_hosts()
        self._host_count.update(self.host_count(), self._ctx.clock.monotonic())

    def _hosts(self) -> int | None:
        """Return the most hosts that may have sent what arrives within a window from now."""
        self.refresh()
        most = self._host_count.value(self._ctx.clock.monotonic())
        return most if self._hosts_known else None

    def _budget(self, service: str) -> SharedRetryBudget:
        bounds = self._bounds
        found = self._budgets.get(service)
        if found is None:
            share, extra, window = bounds.retry_share, bounds.retry_extra, bounds.retry_window
            found = SharedRetryBudget(share, extra, window, self._started_at)
            self._budgets[service] = found
        return found

    def count_request(self, service: str) -> None:
        """Count a request of a caller."""
        if not self._hosts_known:
            self.refresh()
        self._budget(service).count_request(self._ctx.clock.monotonic())

    def available(self, service: str) -> bool:
        """Return whether a retry is left."""
        return self._budget(service).available(self._ctx.clock.monotonic(), self._hosts())

    def reserve(self, progress: Progress, request: str, cause: str) -> bool:
        """Reserve the next send of a request; return False when no retry is left.

        A send after some that reached no endpoint is no retry.
        """
        if progress.reserved:
            return True
        if not progress.arrived:
            self._ctx.metrics.retries.labels("free").inc()
            return True
        budget = self._budget(progress.service)
        progress.reserved = budget.reserve(self._ctx.clock.monotonic(), self._hosts())
        if not progress.reserved:
            self._log(progress, request, "none_left", "no_retry_left", f"after {cause}")
        return progress.reserved

    def take(self, progress: Progress, request: str) -> bool:
        """Count a send that begins now if it is a retry; return False when none is left."""
        if not progress.arrived:
            return True
        self.release(progress)
        now = self._ctx.clock.monotonic()
        taken = self._budget(progress.service).take(now, self._hosts())
        if taken:
            progress.taken_at = now
            self._log(progress, request, "taken", "retry_taken", "sent now")
        else:
            self._log(progress, request, "none_left", "no_retry_left", "after a wait")
        return taken

    def settle(self, progress: Progress, arrived: bool) -> None:
        """Note whether a send may have reached an endpoint; give a retry back that did not."""
        progress.arrived = progress.arrived or arrived
        if progress.taken_at is not None and not arrived:
            self._budget(progress.service).give_back(progress.taken_at)
        progress.taken_at = None

    def release(self, progress: Progress) -> None:
        """Give back what is reserved for a request."""
        if progress.reserved:
            progress.reserved = False
            self._budget(progress.service).release()

    def _log(
        self, progress: Progress, request: str, decision: str, event: str, detail: str
    ) -> None:
        self._ctx.metrics.retries.labels(decision).inc()
        counted = self._budget(progress.service).describe()
        self._ctx.timeline.add(
            event,
            request=request,
            item=progress.service,
            detail=f"{detail}: {counted}, {self._hosts()} hosts",
        )
