"""Quotas of workspaces over all hosts: one bucket each at the hub, asked only while it is low.

Load pattern: one workspace sends several times its quota, over dozens of hosts that each get one of
its requests now and then. A host's share of the quota is less than one request takes, so fixed
shares would refuse requests within the quota. The hub's bucket is exact, but would cost a round
trip for each request. While much is left in it, hosts serve at once and report their usage later.
Such a bucket may fall below zero, and must refill to zero before more is taken from it.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from peridotdock.limits import Bucket
from peridotdock.workspaces import Quota

# Share of a bucket below which hosts ask the hub for each request: what is left above it covers
# what they serve before they learn that it is low.
LOW_SHARE = 0.75
# Smallest capacity of a bucket, in seconds of its rate: a quota without a burst still admits
# requests that arrive at the same moment.
MIN_CAPACITY_SECONDS = 0.25
# Shares of the tolerance by which a quota may be exceeded: for a bucket's capacity, as two counts
# of the same requests differ by some milliseconds; for the level of a bucket after all counts were
# lost; and for hosts that are gone for good but may be partitioned.
CAPACITY_SHARE = 0.25
START_SHARE = 0.5
GONE_SHARE = 0.25
# Shortest and longest time after which a caller over its quota may retry.
MIN_WAIT_SECONDS = 0.1
MAX_WAIT_SECONDS = 10.0
# Change of a host's usage, as a share of the rate in units, from which it is reported again.
REPORT_SHARE = 0.02

# Age from which a host's report of its usage since a hub's last update is too old to be charged
# again.
MAX_USAGE_AGE_SECONDS = 2.0

Units = dict[str, int]


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How far a quota may be exceeded in any ``window`` seconds.

    The excess is the share ``over`` of the quota, plus ``units``.
    """

    window: float
    over: float
    units: float

    def excess(self, quota: Quota) -> float:
        """Return the units that a window may hold beyond its quota."""
        return self.over * (quota.rate * self.window + quota.burst) + self.units

    def capacity(self, quota: Quota) -> float:
        """Return the units that a full bucket holds."""
        burst = max(quota.burst, quota.rate * MIN_CAPACITY_SECONDS)
        return burst + CAPACITY_SHARE * self.excess(quota)

    def start(self, quota: Quota) -> float:
        """Return the initial units of a bucket whose earlier use is not known."""
        return min(self.capacity(quota), START_SHARE * self.excess(quota))


def host_share(reached: int, known: int, over: float) -> float:
    """Return the part of each quota that a hub may give: that of the hosts it reaches.

    Each group of a partitioned cluster has its own hub, and together they must not give more than
    the whole. A part of ``over``, the share by which a quota may be exceeded, makes up for hosts
    that are gone for good.
    """
    return min(1.0, max(1, reached) / max(1, known) * (1 + GONE_SHARE * over))


class Buckets:
    """One bucket per workspace; ``size`` gives its capacity, ``first`` the units of a new one."""

    def __init__(self, size: Callable[[Quota], float], first: Callable[[Quota], float]):
        self._size = size
        self._first = first
        self._buckets: dict[str, Bucket] = {}

    def start(self, name: str, level: float, now: float) -> None:
        """Set a bucket to a level."""
        self._buckets[name] = Bucket(level, now)

    def level(self, name: str, quota: Quota, share: float, now: float) -> float:
        """Return the units that are left; below 0 more was used than available."""
        found = self._buckets.get(name)
        if found is None:
            found = self._buckets[name] = Bucket(self._first(quota) * share, now)
        found.fill(quota.rate * share, self._size(quota) * share, now)
        return found.level

    def charge(self, name: str, quota: Quota, cost: float, share: float, now: float) -> None:
        """Charge units that have been used already."""
        self.level(name, quota, share, now)
        self._buckets[name].level -= cost

    def take(self, name: str, quota: Quota, cost: float, share: float, now: float) -> float:
        """Take a request's units; return 0, or the seconds until there are some again."""
        level = self.level(name, quota, share, now)
        if level > 0:
            self._buckets[name].level -= cost
            return 0.0
        wait = (cost / 2 - level) / (quota.rate * share)
        return min(MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, wait))


@dataclass(frozen=True, slots=True)
class Usage:
    """What a host has served on its own, in units by workspace.

    ``totals`` count from the host's start, ``since`` from the last update of a hub.
    """

    totals: Units = field(default_factory=dict)
    since: Units = field(default_factory=dict)


class HostQuotas:
    """One host's part: what it may serve without asking the hub, and its usage so far."""

    def __init__(self, tolerance: Tolerance) -> None:
        self._low: Mapping[str, int] | None = None
        self._totals: dict[str, float] = {}
        self._acknowledged: dict[str, float] = {}
        self._reported: dict[str, float] = {}
        self._local = Buckets(tolerance.start, tolerance.start)

    def update_low(self, low: Mapping[str, int] | None) -> None:
        """Set the buckets that the hub reported low; None before its first report.

        Each report is an object of its own, even if its content is unchanged.
        """
        if low is not self._low and low is not None:
            self._acknowledged = dict(self._totals)
        self._low = low

    def needs_hub(self, name: str) -> bool:
        """Return whether a workspace's next request needs a decision of the hub."""
        return self._low is None or name in self._low

    def count(self, name: str, cost: float) -> None:
        """Count a request that is served without asking the hub; a negative cost reverts it."""
        self._totals[name] = self._totals.get(name, 0.0) + cost

    def take_local(self, name: str, quota: Quota, cost: float, hosts: int, now: float) -> float:
        """Admit a request by this host's share while no hub answers.

        Return 0, or the seconds to wait.
        """
        wait = self._local.take(name, quota, cost, 1 / max(1, hosts), now)
        if wait == 0:
            self.count(name, cost)
        return wait

    def usage(self, quotas: Mapping[str, Quota]) -> Usage | None:
        """Return the usage to report to the hub, None while it has changed too little."""
        if not any(self._differs(name, quota) for name, quota in quotas.items()):
            return None
        self._reported = dict(self._totals)
        totals = {name: round(units) for name, units in self._totals.items()}
        since = {
            name: round(units - self._acknowledged.get(name, 0.0))
            for name, units in self._totals.items()
            if units != self._acknowledged.get(name, 0.0)
        }
        return Usage(totals, since)

    def _differs(self, name: str, quota: Quota) -> bool:
        change = self._totals.get(name, 0.0) - self._reported.get(name, 0.0)
        return abs(change) >= REPORT_SHARE * quota.rate


class HubQuotas:
    """The hub's part: the buckets of all hosts together."""

    def __init__(self, tolerance: Tolerance) -> None:
        self._tolerance = tolerance
        self._buckets = Buckets(tolerance.capacity, tolerance.start)
        self._seen: dict[str, tuple[int, Units]] = {}

    def start(
        self, quotas: Mapping[str, Quota], low: Mapping[str, int] | None, share: float, now: float
    ) -> None:
        """Start counting for all hosts from the low buckets that the previous hub reported.

        ``low`` is None if no hub reported any: all hosts may then have been lost with their counts.
        """
        tolerance = self._tolerance
        self._seen = {}
        first = tolerance.start if low is None else tolerance.capacity
        self._buckets = Buckets(tolerance.capacity, first)
        for name in quotas.keys() & (low or {}).keys():
            self._buckets.start(name, low[name], now)

    def charge_usage(
        self,
        host: str,
        epoch: int,
        usage: Usage,
        quotas: Mapping[str, Quota],
        share: float,
        now: float,
        age: float = 0.0,
    ) -> None:
        """Charge what a host has served on its own; ``epoch`` identifies its start.

        ``age`` is how many seconds ago the host reported it.
        """
        before = self._seen.get(host)
        if before is None:
            # The previous hub charged what the host served before that hub's last update.
            more = dict(usage.since) if age < MAX_USAGE_AGE_SECONDS else {}
        elif before[0] != epoch:
            more = dict(usage.totals)
        else:
            more = {name: units - before[1].get(name, 0) for name, units in usage.totals.items()}
        self._seen[host] = epoch, usage.totals
        for name, units in more.items():
            if units and name in quotas:
                self._buckets.charge(name, quotas[name], units, share, now)

    def take(self, name: str, quota: Quota, cost: float, share: float, now: float) -> float:
        """Take a request's units; return 0, or the seconds until it may be retried."""
        return self._buckets.take(name, quota, cost, share, now)

    def low(self, quotas: Mapping[str, Quota], share: float, now: float) -> Units:
        """Return the levels of the buckets that are low, in steps of a twentieth of each."""
        found = {}
        for name, quota in quotas.items():
            level = self._buckets.level(name, quota, share, now)
            full = self._tolerance.capacity(quota) * share
            if level < LOW_SHARE * full:
                step = max(1.0, full / 20)
                found[name] = round(level / step) * round(step)
        return found
