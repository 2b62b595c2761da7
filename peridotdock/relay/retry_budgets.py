"""The retry budgets of one host, one for each service, with what logs and metrics tell of them."""

from peridotdock.context import Context
from peridotdock.decisions.retry_budget import SharedRetryBudget
from peridotdock.relay.settings import Bounds


class RetryBudgets:
    """Counts this host's requests, and takes its retries from the budget of their service.

    ``hosts`` is the number of hosts that share a budget. ``first_start`` is true if no process has
    sent retries in the deployment before.
    """

    def __init__(self, ctx: Context, bounds: Bounds, first_start: bool):
        self._ctx = ctx
        self._bounds = bounds
        self._started_at = float("-inf") if first_start else ctx.clock.monotonic()
        self._budgets: dict[str, SharedRetryBudget] = {}
        self.hosts = 1

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
        self._budget(service).count_request(self._ctx.clock.monotonic())

    def available(self, service: str) -> bool:
        """Return whether a retry is left."""
        return self._budget(service).available(self._ctx.clock.monotonic(), self.hosts)

    def take(self, service: str, request: str, cause: str) -> bool:
        """Take a retry of a request from the budget; return False when none is left."""
        budget = self._budget(service)
        taken = budget.take(self._ctx.clock.monotonic(), self.hosts)
        self._ctx.metrics.retries.labels("taken" if taken else "none_left").inc()
        self._ctx.timeline.add(
            "retry_taken" if taken else "no_retry_left",
            request=request,
            item=service,
            detail=f"after {cause}, {budget.describe()}, {self.hosts} hosts",
        )
        return taken

    def count_free(self) -> None:
        """Count a send after one that reached no endpoint, which takes nothing from a budget."""
        self._ctx.metrics.retries.labels("free").inc()
