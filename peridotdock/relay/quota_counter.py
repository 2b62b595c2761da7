"""Counts the units of workspaces' quotas out of the shares that hosts lend to this one."""

from collections.abc import Callable, Mapping

from peridotdock.context import Context
from peridotdock.decisions.quotas import GONE_PART, QuotaCounter, Tolerance
from peridotdock.limits import Bucket
from peridotdock.relay.clocks import UptimeClock
from peridotdock.relay.shares import Handover, Shares
from peridotdock.schema.messages import (
    QuotaGiven,
    QuotaReturned,
    QuotaWanted,
    StockGiven,
    StockWanted,
)
from peridotdock.workspaces import Quota

# The wait in a reply of a host that does not count a workspace's units: the same request may be
# made again after as many seconds.
NOT_COUNTING = -0.25
# Part of the shares of all live hosts below which further shares are expected.
COMPLETE_PART = 0.8
# Requests wait for units, and are not refused, while shares are expected, for so many loans at the
# most, and for so many seconds more while the buckets are filled and those that waited are served.
EXPECTED_LOANS = 3.0
FILLING_SECONDS = 2.0
# Longest time in seconds for which a request waits for units meanwhile, and the units that requests
# of one workspace may wait for together, in seconds of its rate.
MAX_HELD_SECONDS = 1.0
HELD_RATE_SECONDS = 1.0
CounterFrame = QuotaWanted | StockWanted | QuotaReturned
SendFrame = Callable[[str, QuotaGiven | StockGiven], object]


class CounterServer:
    """Answers all hosts' calls on quotas, as far as this host may grant."""

    def __init__(
        self,
        ctx: Context,
        shares: Shares,
        tolerance: Tolerance,
        clock: UptimeClock,
        send: SendFrame,
    ):
        self._ctx = ctx
        self._shares = shares
        self._clock = clock
        self._send = send
        self._gone_factor = 1 + GONE_PART * tolerance.over
        self._quotas: Mapping[str, Quota] = {}
        self._counter = QuotaCounter(tolerance, ctx.rng.random, clock.seconds())
        self._unlimited: Callable[[str], bool] = lambda name: False
        self._holds: dict[str, Bucket] = {}
        self._is_complete = True
        self._was_offering = False
        self._incomplete_since = self._settled_at = clock.seconds()
        shares.on_resign = self._hand_over
        shares.on_handover = self._adopt
        shares.on_loss = self._add_reserve

    def set_quotas(self, quotas: Mapping[str, Quota], unlimited: Callable[[str], bool]) -> None:
        """Set the quotas; ``unlimited`` tells whether a workspace is known and has none."""
        self.advance()
        self._quotas, self._unlimited = quotas, unlimited
        self.advance()

    def advance(self) -> float:
        """Count until now, and return the part of all quotas that this host may grant."""
        share = min(1.0, self._shares.part() * self._gone_factor)
        self._counter.advance(self._quotas, share, self._clock.seconds())
        self._ctx.metrics.quota_share.set(share)
        self._settle(share)
        return share

    def _settle(self, share: float) -> None:
        """Let requests wait for a while after a change of the hub.

        Where links are quick, all shares are there at the first look and the buckets still empty.
        """
        now, is_offering = self._clock.seconds(), self._shares.is_offering()
        if is_offering and not self._was_offering:
            self._settled_at = now + FILLING_SECONDS
        self._was_offering = is_offering
        complete = share >= COMPLETE_PART * self._shares.expected_part()
        if complete != self._is_complete:
            self._is_complete, self._incomplete_since = complete, now
            if complete:
                detail = f"{len(self._quotas)} workspaces, {share:.3f} of all shares"
                self._ctx.timeline.add("quotas_kept", detail=detail)
        if not complete:
            expected = EXPECTED_LOANS * self._shares.loan_seconds()
            if now < self._incomplete_since + expected:
                self._settled_at = now + FILLING_SECONDS

    def take(self, name: str, cost: float) -> float:
        """Take a request's units; return 0, or the seconds until its caller may retry.

        A negative number is that of the seconds until the same request may be made again.
        """
        if not self._counter.knows(name):
            return 0.0 if self._unlimited(name) else NOT_COUNTING
        self.advance()
        wait = self._counter.take(name, cost)
        if 0 < wait <= MAX_HELD_SECONDS and self._is_settling() and self._may_hold(name, cost):
            return min(NOT_COUNTING, -wait)
        return wait

    def _may_hold(self, name: str, cost: float) -> bool:
        """Return whether a request may wait; those of a workspace far over its quota may not.

        Each request that waits is counted anew whenever it is made again.
        """
        rate, now = self._quotas[name].rate, self._clock.seconds()
        bucket = self._holds.setdefault(name, Bucket(HELD_RATE_SECONDS * rate, now))
        bucket.fill(rate / -NOT_COUNTING, HELD_RATE_SECONDS * rate, now)
        if bucket.level <= 0:
            return False
        bucket.level -= cost
        return True

    def _is_settling(self) -> bool:
        """Return whether units may be missing after a change of the hub.

        A host that is asked but is not the hub holds few shares at most.
        """
        return not self._shares.is_offering() or self._clock.seconds() < self._settled_at

    def give_back(self, name: str, units: float) -> None:
        """Put back units that were not used."""
        self._counter.give_back(name, units)

    def supply(self, units: Mapping[str, int]) -> dict[str, int]:
        """Take units for a host's stocks; return those that it gets."""
        self.advance()
        given = {name: round(self._counter.supply(name, row)) for name, row in units.items()}
        return {name: row for name, row in given.items() if row}

    def on_frame(self, host: str, frame: CounterFrame) -> None:
        """Handle a call of another host."""
        if isinstance(frame, QuotaWanted):
            wait = self.take(frame.workspace, frame.cost)
            self._send(host, QuotaGiven("quota_given", frame.number, round(1000 * wait)))
        elif isinstance(frame, StockWanted):
            self._send(host, StockGiven("stock_given", self.supply(frame.units)))
        else:
            self.give_back(frame.workspace, frame.units)

    def levels(self) -> dict[str, int]:
        """Return the units in each bucket."""
        return {name: round(self._counter.level(name)) for name in self._quotas}

    def _hand_over(self) -> dict[str, int]:
        self.advance()
        return {name: round(units) for name, units in self._counter.hand_over().items()}

    def _adopt(self, handover: Handover) -> None:
        self.advance()
        self._counter.adopt(handover.levels, handover.share, self._shares.loan_seconds())
        if handover.share > 0:
            detail = f"{handover.share:.3f} of all shares, handed over"
            self._ctx.timeline.add("quotas_kept", detail=detail)

    def _add_reserve(self, part: float) -> None:
        self.advance()
        self._counter.add_reserve(part)
