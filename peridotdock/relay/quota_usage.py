"""Logs and exports which decisions admitted the units of workspaces' quotas on this host."""

from collections import Counter
from enum import StrEnum

from peridotdock.context import Context

# Minimum seconds between two log lines of one host on the usage of a workspace.
LOG_INTERVAL_SECONDS = 1.0


class Decision(StrEnum):
    """Who admitted a request's units, or what became of them.

    A host that counts refuses a request; one that has waited in vain is expired.
    """

    STOCK = "stock"
    HUB = "hub"
    ALONE = "alone"
    REPEAT = "repeat"
    REFUSED = "refused"
    EXPIRED = "expired"
    RETURNED = "returned"


# Decisions that are made on each request of any workspace: they alone are no reason for a line.
USUAL = frozenset({Decision.STOCK, Decision.RETURNED})


class QuotaUsage:
    """The units of each workspace's requests on this host, by decision.

    One line a second is logged for a workspace of which more than the usual decisions were made, so
    that the units in any window can be added up over all hosts.
    """

    def __init__(self, ctx: Context):
        self._ctx = ctx
        self._units: dict[str, Counter[str]] = {}
        self._logged_at = ctx.clock.monotonic()

    def add(self, name: str, decision: Decision, units: float, by: str = "") -> None:
        """Count a request's units; ``by`` is the host that decided, if another one did."""
        self._ctx.metrics.quota_units.labels(decision.value).inc(units)
        label = f"{decision.value} by {by}" if by else decision.value
        self._units.setdefault(name, Counter())[label] += round(units)

    def log_due(self) -> None:
        """Log what was counted since the last lines, if these are old enough."""
        now = self._ctx.clock.monotonic()
        seconds = now - self._logged_at
        if seconds < LOG_INTERVAL_SECONDS:
            return
        for name, units in self._units.items():
            if units.keys() - USUAL:
                rows = ", ".join(f"{label} {count}" for label, count in sorted(units.items()))
                detail = f"workspace {name}, units in {seconds:.2f} s: {rows}"
                self._ctx.timeline.add("quota_used", detail=detail)
        self._units, self._logged_at = {}, now
