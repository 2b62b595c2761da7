"""Limits per caller over all hosts, without a write or a message in a request's path.

Each host owns an equal share of every limit. A host that sees little of a caller lends part of
its share to one that sees much. Failure guarded against: a loan that is received_at late, after the
lender took its share back, would let both use it, and the caller's rate would pass its limit. So
a loan names the heartbeat of the borrower it answers, and both count its time from there: the
borrower from when it made that heartbeat, the lender from when it received it, later. The
borrower has always stopped before the lender begins again, however late the messages are.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from peridotdock.errors import Failure, Kind
from peridotdock.schema.messages import Loan

LOAN_SECONDS = 10.0
MAX_USAGE_AGE_SECONDS = LOAN_SECONDS / 2
LENT_SHARE = 0.8
BURST_SECONDS = 1.0
RATE_SECONDS = 5.0
MIN_LOAN_RATE = 0.05


@dataclass
class Bucket:
    """A token bucket; ``rate`` in units a second."""

    level: float
    updated_at: float

    def fill(self, rate: float, capacity: float, now: float) -> None:
        """Let in what has come since the last time; ``room`` is the most that it holds."""
        self.level = min(capacity, self.level + (now - self.updated_at) * rate)
        self.updated_at = now

    def take(self, rate: float, now: float) -> float:
        """Take one request; return 0, or the seconds until one fits."""
        self.fill(rate, max(1.0, rate * BURST_SECONDS), now)
        if self.level >= 1.0:
            self.level -= 1.0
            return 0.0
        return (1.0 - self.level) / rate if rate > 0 else LOAN_SECONDS


class Usage:
    """Requests offered by a caller, smoothed over some seconds."""

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}

    def add(self, caller: str, now: float) -> None:
        """Count one request."""
        self._rates[caller] = (self.rate(caller, now) + 1.0 / RATE_SECONDS, now)

    def rate(self, caller: str, now: float) -> float:
        """Return requests a second."""
        rate, at = self._rates.get(caller, (0.0, now))
        return rate * max(0.0, 1.0 - (now - at) / RATE_SECONDS)

    def rates(self, now: float) -> dict[str, float]:
        """Return the callers that were seen lately."""
        current = {caller: self.rate(caller, now) for caller in self._rates}
        self._rates = {c: pair for c, pair in self._rates.items() if current[c] > 0}
        return {caller: round(rate, 3) for caller, rate in current.items() if rate > 0}


class CallerLimits:
    """The part of each caller's limit that this host may use now."""

    def __init__(self, host: str, heartbeat_time: Callable[[int], float | None]):
        self._host = host
        self._heartbeat_time = heartbeat_time
        self._buckets: dict[str, Bucket] = {}
        self._lent: deque[tuple[Loan, float]] = deque()
        self._borrowed: dict[str, dict[str, Loan]] = {}
        self.usage = Usage()
        self.hosts = 1

    def allowed(self, caller: str, limit: float, now: float) -> float:
        """Return this host's part of ``limit``, in requests a second."""
        lent = sum(loan.rate for loan, until in self._lent if loan.caller == caller)
        return max(0.0, limit / self.hosts - lent) + self._borrowed_rate(caller, now)

    def _borrowed_rate(self, caller: str, now: float) -> float:
        total = 0.0
        for loans in self._borrowed.values():
            loan = loans.get(caller)
            sent_at = self._heartbeat_time(loan.beat) if loan else None
            if loan and sent_at is not None and now < sent_at + LOAN_SECONDS:
                total += loan.rate
        return total

    def take(self, caller: str, limit: float, now: float) -> Failure | None:
        """Let one request pass, or refuse it with the time until one fits."""
        self.usage.add(caller, now)
        rate = self.allowed(caller, limit, now)
        bucket = self._buckets.setdefault(caller, Bucket(max(1.0, rate), now))
        wait = bucket.take(rate, now)
        return Failure(Kind.CALLER_LIMIT, "", wait) if wait else None

    def lend(
        self,
        limits: dict[str, float],
        others: dict[str, tuple[int, float, dict[str, float]]],
        now: float,
    ) -> list[Loan]:
        """Decide what to lend; ``others`` gives heartbeat, when received_at, and usage by host.

        A loan is made anew only when the last one for that caller has ended, so the sum lent
        never grows past the share.
        """
        while self._lent and self._lent[0][1] <= now:
            self._lent.popleft()
        lent_callers = {loan.caller for loan, _ in self._lent}
        for caller, limit in limits.items():
            if caller not in lent_callers:
                self._lend_one(caller, limit, others, now)
        return [loan for loan, _ in self._lent]

    def _lend_one(
        self,
        caller: str,
        limit: float,
        others: dict[str, tuple[int, float, dict[str, float]]],
        now: float,
    ) -> None:
        share = limit / self.hosts
        spare = (share - self.usage.rate(caller, now)) * LENT_SHARE
        shortfalls = {
            host: min(rates.get(caller, 0.0) - share, spare)
            for host, (_, received_at, rates) in others.items()
            if rates.get(caller, 0.0) > share and now - received_at < MAX_USAGE_AGE_SECONDS
        }
        total_shortfall = sum(shortfalls.values())
        if spare <= MIN_LOAN_RATE or total_shortfall <= 0:
            return
        scale = min(1.0, spare / total_shortfall)
        for host, amount in sorted(shortfalls.items()):
            beat, received_at, _ = others[host]
            self._lent.append(
                (Loan(caller, host, amount * scale, beat), received_at + LOAN_SECONDS)
            )

    def borrow(self, lender: str, loans: list[Loan]) -> None:
        """Take in what another host lends now; it replaces what it lent before."""
        own = {loan.caller: loan for loan in loans if loan.to == self._host}
        self._borrowed[lender] = own
