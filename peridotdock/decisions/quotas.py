"""Quotas of workspaces over all hosts: a bucket for each at the hub, asked only while it is low.

Load pattern: one workspace sends several times what it may, over dozens of hosts of which each sees
a request of it now and then. A host's share of the quota is less than one request takes, so shares
refuse what is within it. The hub's bucket is exact. It would cost a round trip for each request;
but while much is left, hosts serve at once and tell later what they served. Such a bucket may fall
below zero, and is filled up to zero again before more is taken from it.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from peridotdock.limits import Bucket
from peridotdock.workspaces import Quota

# Share of a bucket below which hosts ask for each request: what is left above it is what they may
# serve before they hear that it is low.
LOW_SHARE = 0.75
# Least size of a bucket, in seconds of its rate: a quota without a burst still lets requests of one
# moment pass.
MIN_CAPACITY_SECONDS = 0.25
# Shares of what operators let a quota be passed by: for a bucket's size, as two that count the same
# requests do so some milliseconds apart; for what is in it when all counts were lost; and for hosts
# that are gone for good but may be cut off.
CAPACITY_SHARE = 0.25
START_SHARE = 0.5
GONE_SHARE = 0.25
# Shortest and longest time, in seconds, after which a caller over its quota may come back.
MIN_WAIT_SECONDS = 0.1
MAX_WAIT_SECONDS = 10.0
# Share of the rate in units, from which on what a host served is told again.
REPORT_SHARE = 0.02

# Seconds after which a host's word on what it served since a hub's is too old to be charged again.
MAX_USAGE_AGE_SECONDS = 2.0

Units = dict[str, int]


@dataclass(frozen=True, slots=True)
class Tolerance:
    """How far a quota may be passed in any ``window`` seconds: by a share, and by some units."""

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
        """Return the units in a bucket where what was used before is not known."""
        return min(self.capacity(quota), START_SHARE * self.excess(quota))


def host_share(reached: int, known: int, over: float) -> float:
    """Return the part of each quota that a hub may give: that of the hosts it reaches.

    Hosts that are cut into groups have a hub each, and must not be given more together than the
    whole. A part of ``over``, the share by which a quota may be passed, makes up for hosts that are
    gone for good.
    """
    return min(1.0, max(1, reached) / max(1, known) * (1 + GONE_SHARE * over))


class Buckets:
    """A bucket for each workspace, of a size, with ``first`` units in one that is new."""

    def __init__(self, size: Callable[[Quota], float], first: Callable[[Quota], float]):
        self._size = size
        self._first = first
        self._buckets: dict[str, Bucket] = {}

    def start(self, name: str, level: float, now: float) -> None:
        """Give a bucket its level."""
        self._buckets[name] = Bucket(level, now)

    def level(self, name: str, quota: Quota, share: float, now: float) -> float:
        """Return the units that are left; below 0 more was used than there was."""
        found = self._buckets.get(name)
        if found is None:
            found = self._buckets[name] = Bucket(self._first(quota) * share, now)
        found.fill(quota.rate * share, self._size(quota) * share, now)
        return found.level

    def charge(self, name: str, quota: Quota, cost: float, share: float, now: float) -> None:
        """Take units that have been used already."""
        self.level(name, quota, share, now)
        self._buckets[name].level -= cost

    def take(self, name: str, quota: Quota, cost: float, share: float, now: float) -> float:
        """Take a request's units; return 0, or the seconds after which there are some again."""
        level = self.level(name, quota, share, now)
        if level > 0:
            self._buckets[name].level -= cost
            return 0.0
        wait = (cost / 2 - level) / (quota.rate * share)
        return min(MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, wait))


@dataclass(frozen=True, slots=True)
class Usage:
    """What a host has served by itself, in units by workspace.

    ``totals`` count from the host's start, ``since`` from the last word of a hub.
    """

    totals: Units = field(default_factory=dict)
    since: Units = field(default_factory=dict)


class HostQuotas:
    """One host's part: what it may serve without asking, and what it has served so."""

    def __init__(self, tolerance: Tolerance) -> None:
        self._low: Mapping[str, int] | None = None
        self._totals: dict[str, float] = {}
        self._acknowledged: dict[str, float] = {}
        self._reported: dict[str, float] = {}
        self._local = Buckets(tolerance.start, tolerance.start)

    def update_low(self, low: Mapping[str, int] | None) -> None:
        """Take the hub's word on the buckets that are low; None where it has said nothing yet.

        Each word is an object of its own, also where it says the same again.
        """
        if low is not self._low and low is not None:
            self._acknowledged = dict(self._totals)
        self._low = low

    def needs_hub(self, name: str) -> bool:
        """Tell whether a workspace's next request needs the hub's word."""
        return self._low is None or name in self._low

    def count(self, name: str, cost: float) -> None:
        """Count a request that is served without the hub's word; a negative cost takes it back."""
        self._totals[name] = self._totals.get(name, 0.0) + cost

    def take_local(self, name: str, quota: Quota, cost: float, hosts: int, now: float) -> float:
        """Serve by this host's own share while no hub answers; return 0, or seconds to wait."""
        wait = self._local.take(name, quota, cost, 1 / max(1, hosts), now)
        if wait == 0:
            self.count(name, cost)
        return wait

    def usage(self, quotas: Mapping[str, Quota]) -> Usage | None:
        """Return what to tell the hub, None where it has changed too little."""
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
        """Begin to count for all, with what the hub before last said; None where none did.

        Where none did, all hosts may have been lost together with what they had counted.
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
        """Charge what a host has served by itself; ``epoch`` tells its starts apart.

        ``age`` is how many seconds ago the host said so.
        """
        before = self._seen.get(host)
        if before is None:
            # What it served before the last hub's word was charged by that hub.
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
        """Take a request's units; return 0, or the seconds after which it may come back."""
        return self._buckets.take(name, quota, cost, share, now)

    def low(self, quotas: Mapping[str, Quota], share: float, now: float) -> Units:
        """Return what is left in the buckets that are low, in steps of a twentieth of each."""
        found = {}
        for name, quota in quotas.items():
            level = self._buckets.level(name, quota, share, now)
            full = self._tolerance.capacity(quota) * share
            if level < LOW_SHARE * full:
                step = max(1.0, full / 20)
                found[name] = round(level / step) * round(step)
        return found
