"""Quotas of workspaces over all hosts: units are taken before they are used.

Load pattern: one workspace sends several times its quota, over dozens of hosts that each get one of
its requests now and then. A host's share of the quota is less than one request takes, so fixed
shares would refuse requests within the quota. Usage that is reported afterwards exceeds the quota
by what is served until the report arrives. Therefore one host, the counter, has a bucket of units
for all hosts that lend it their shares (:mod:`peridotdock.decisions.shares`), and each request
takes its units there. Hosts keep a small stock of units for requests that take few.

A window of the quota may hold, beyond its rate and burst, what operators tolerate. That tolerance
is divided among the full buckets, the stocks, the units for the time in which a lost counter is
replaced, and the debt of a bucket after a large request.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from peridotdock.workspaces import Quota

# Parts of the tolerance for the buckets of all counters together; for the units in hosts' stocks,
# which get the same part of the burst; for the replacement of a lost counter; and for the debt of
# buckets. What is left is for hosts that are gone for good but may be partitioned.
BUCKET_PART = 0.2
STOCK_PART = 0.15
RESERVE_PART = 0.25
DEBT_PART = 0.25
GONE_PART = 0.1
# Smallest bucket in seconds of the rate: a quota without a burst still admits requests that arrive
# at the same moment.
MIN_BUCKET_SECONDS = 0.25
# Part of a bucket below which it gives nothing to stocks.
LOW_PART = 0.5
# Part of a stock below which it is filled up.
LOW_STOCK_PART = 0.5
# Seconds after which units of the reserve are dropped that were not used. A host gives its part of
# the reserve again only after these and one window, so that no window holds it twice.
RESERVE_SECONDS = 2.0
# Shortest and longest time after which a caller over its quota may retry.
MIN_WAIT_SECONDS = 0.1
MAX_WAIT_SECONDS = 10.0
# Smallest share for which a wait is calculated: a caller that goes to another host, or comes back
# after the change of a hub, finds more units.
MIN_WAIT_SHARE = 0.5

Levels = Mapping[str, float]


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

    def bucket(self, quota: Quota) -> float:
        """Return the units that the full buckets of all counters hold together."""
        burst = (1 - STOCK_PART) * quota.burst
        return max(burst + BUCKET_PART * self.excess(quota), MIN_BUCKET_SECONDS * quota.rate)

    def stock(self, quota: Quota, hosts: int) -> float:
        """Return the units that the full stock of one of so many hosts holds."""
        return STOCK_PART * (quota.burst + self.excess(quota)) / max(1, hosts)

    def reserve(self, quota: Quota) -> float:
        """Return the units of all hosts for the replacement of a counter."""
        return RESERVE_PART * self.excess(quota)

    def debt(self, quota: Quota) -> float:
        """Return how far the buckets of all counters may fall below zero together."""
        return DEBT_PART * self.excess(quota)


class QuotaCounter:
    """The buckets of one counter. Its ``share`` is the part of all quotas that it may grant.

    Buckets start empty: the counter before may have granted all that there was. ``draw`` returns a
    random number from 0 to 1.
    """

    def __init__(self, tolerance: Tolerance, draw: Callable[[], float], now: float):
        self._tolerance = tolerance
        self._draw = draw
        self._quotas: Mapping[str, Quota] = {}
        self._levels: dict[str, float] = {}
        self._parked: dict[str, float] = {}
        self._filled_at = now
        self._held = 0.0
        self._adopted, self._adopted_until = 0.0, now
        self._reserves: list[tuple[float, float]] = []
        self.share = 0.0

    def advance(self, quotas: Mapping[str, Quota], share: float, now: float) -> None:
        """Fill the buckets until now; ``share`` counts from now on.

        What accrued is counted by the smaller share of the two, as the change was in between. A
        workspace that is new has what accrued since the shares were lent; after one window it has
        a full bucket.
        """
        elapsed, least = now - self._filled_at, min(share, self.share)
        seconds, before, old = elapsed * least, self.share, self._levels
        if share < before:
            self._held *= share / before
        full = 0 < share * self._tolerance.window <= self._held
        self._quotas, self.share, self._filled_at = quotas, share, now
        self._reserves = [row for row in self._reserves if now < row[0]]
        self._levels = {
            name: min(
                self._capacity(quota),
                self._levels.get(name, math.inf if full else self._held * quota.rate)
                + seconds * quota.rate,
            )
            for name, quota in quotas.items()
        }
        self._held += seconds
        self._park(old, before, elapsed * (1 - least))

    def _park(self, old: Levels, before: float, away_seconds: float) -> None:
        """Keep the units of shares that are lent no more, for when they are lent again.

        They become fewer by what other hosts may have accrued by all other shares meanwhile, so
        that no unit is held twice.
        """
        if self.share == before and not self._parked:
            return
        earlier, self._parked = self._parked, {}
        for name, quota in self._quotas.items():
            bucket, capacity = self._tolerance.bucket(quota), self._capacity(quota)
            parked = earlier.get(name, 0.0)
            if self.share < before:
                fit = capacity + (before - self.share) * bucket
                parked += max(0.0, min(fit, old.get(name, 0.0)) - capacity)
            parked = max(0.0, parked - away_seconds * quota.rate)
            if self.share > before:
                back = min(parked, max(0.0, capacity - self._levels[name]))
                self._levels[name] += back
                parked -= back
            parked = min(parked, (1 - self.share) * bucket)
            if parked > 0:
                self._parked[name] = parked

    def _capacity(self, quota: Quota) -> float:
        share = max(self.share, self._adopted if self._filled_at < self._adopted_until else 0.0)
        reserve = sum(part for _, part in self._reserves)
        return share * self._tolerance.bucket(quota) + reserve * self._tolerance.reserve(quota)

    def knows(self, name: str) -> bool:
        """Return whether a workspace has a quota here."""
        return name in self._quotas

    def level(self, name: str) -> float:
        """Return the units in a bucket; below zero after a large request."""
        return self._levels.get(name, 0.0)

    def take(self, name: str, cost: float) -> float:
        """Take a request's units; return 0, or the seconds until it may be retried.

        A request that takes more than the share can ever hold is admitted at random: on average,
        it is admitted as often as it would be out of one bucket with the shares of all hosts.
        """
        quota, level = self._quotas[name], self._levels[name]
        debt = self.share * self._tolerance.debt(quota)
        if level > 0 and level + debt >= cost:
            self._levels[name] = level - cost
            return 0.0
        if level > 0 and self._capacity(quota) + debt < cost:
            self._levels[name] = 0.0
            if self._draw() * cost < level:
                return 0.0
        accrues = quota.rate * max(self.share, MIN_WAIT_SHARE)
        wait = max(cost / 2, cost - debt) - self._levels[name]
        return min(MAX_WAIT_SECONDS, max(MIN_WAIT_SECONDS, wait / accrues))

    def supply(self, name: str, units: float) -> float:
        """Take units for a host's stock; return how many it gets."""
        quota = self._quotas.get(name)
        if quota is None or self._levels[name] < LOW_PART * self._capacity(quota) + units:
            return 0.0
        self._levels[name] -= units
        return units

    def give_back(self, name: str, units: float) -> None:
        """Put back units that were taken and not used.

        Negative units are those of repeats, which have been used: the bucket may fall below any
        debt, and grants nothing until it is above zero again.
        """
        quota = self._quotas.get(name)
        if quota is not None:
            self._levels[name] = min(self._capacity(quota), self._levels[name] + units)

    def hand_over(self) -> Levels:
        """Return the levels for the next counter, and grant nothing any more."""
        levels, self._levels = self._levels, dict.fromkeys(self._levels, 0.0)
        self._reserves, self._parked = [], {}
        self._adopted_until = self._filled_at
        self.share = self._held = 0.0
        return levels

    def adopt(self, levels: Levels, share: float, seconds: float) -> None:
        """Add what another counter handed over, with the share that it had.

        Its buckets are kept for ``seconds``, in which the hosts lend this counter their shares.
        """
        self._adopted, self._adopted_until = share, self._filled_at + seconds
        for name, units in levels.items():
            if name in self._levels:
                level = self._levels[name] + units
                self._levels[name] = min(self._capacity(self._quotas[name]), level)

    def add_reserve(self, part: float) -> None:
        """Add the part of the reserve that a host gives, as it has lost its counter."""
        self._reserves.append((self._filled_at + RESERVE_SECONDS, part))
        for name, quota in self._quotas.items():
            self._levels[name] += part * self._tolerance.reserve(quota)


class Stocks:
    """The units that one host keeps of each workspace's quota, for requests that take few."""

    def __init__(self, tolerance: Tolerance) -> None:
        self._tolerance = tolerance
        self._levels: dict[str, float] = {}

    def level(self, name: str) -> float:
        """Return the units in stock."""
        return self._levels.get(name, 0.0)

    def take(self, name: str, quota: Quota, cost: float, hosts: int) -> bool:
        """Take a request's units; return whether the stock held them.

        A quota that was lowered makes the stock smaller at once.
        """
        full = self._tolerance.stock(quota, hosts)
        level = self._levels[name] = min(full, self._levels.get(name, 0.0))
        if cost > level:
            return False
        self._levels[name] = level - cost
        return True

    def add(self, name: str, quota: Quota, units: float, hosts: int) -> float:
        """Add units as far as they fit; return those that do not."""
        full = self._tolerance.stock(quota, hosts)
        level = self._levels.get(name, 0.0)
        self._levels[name] = max(level, min(full, level + units))
        return units - (self._levels[name] - level)

    def charge(self, name: str, quota: Quota, cost: float, hosts: int) -> None:
        """Take the units of a repeat; the stock may fall below zero."""
        full = self._tolerance.stock(quota, hosts)
        self._levels[name] = min(full, self._levels.get(name, 0.0)) - cost

    def debts(self) -> Levels:
        """Return by how much each stock is below zero, for those that are."""
        return {name: -level for name, level in self._levels.items() if level < 0}

    def clear_debt(self, name: str) -> None:
        """Set a stock to zero, as its debt was taken from a bucket."""
        self._levels[name] = 0.0

    def missing(self, quotas: Mapping[str, Quota], hosts: int) -> dict[str, int]:
        """Return the units that the stocks lack which were used and are low."""
        found = {}
        for name, level in self._levels.items():
            quota = quotas.get(name)
            full = self._tolerance.stock(quota, hosts) if quota is not None else 0.0
            if level < LOW_STOCK_PART * full:
                found[name] = int(full - level)
        return found


class Reserve:
    """When this host may give its part of the reserve to a new counter.

    A process that has just started does not know when its predecessor gave it.
    """

    def __init__(self, window: float, now: float):
        self._seconds = window + RESERVE_SECONDS
        self._given_at = now

    def give(self, now: float) -> bool:
        """Give the part of the reserve, and return whether it may be given now."""
        if now < self._given_at + self._seconds:
            return False
        self._given_at = now
        return True
