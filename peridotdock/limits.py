"""Cluster-wide rate limits per caller, without a write or a message in the request path.

Each host owns an equal share of every limit. A host that receives few requests of a caller lends
part of its share to one that receives many. Failure guarded against: a loan arrives late, after the
lender has taken its share back, both hosts use it, and the caller's rate exceeds its limit. So a
loan names the heartbeat of the borrower that it answers, and both hosts count its time from that
heartbeat: the borrower from the sending, the lender from the receipt, which is later. The borrower
has always stopped before the lender resumes, however late the messages are.
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
    """A token bucket; rates are in requests per second."""

    level: float
    updated_at: float

    def fill(self, rate: float, capacity: float, now: float) -> None:
        """Add the tokens accrued since the last update, up to ``capacity``."""
        self.level = min(capacity, self.level + (now - self.updated_at) * rate)
        self.updated_at = now

    def take(self, rate: float, now: float) -> float:
        """Take one token; return 0, or the seconds until one is available."""
        self.fill(rate, max(1.0, rate * BURST_SECONDS), now)
        if self.level >= 1.0:
            self.level -= 1.0
            return 0.0
        return (1.0 - self.level) / rate if rate > 0 else LOAN_SECONDS


class Usage:
    """The request rate of each caller on this host, smoothed over ``RATE_SECONDS``."""

    def __init__(self) -> None:
        self._rates: dict[str, tuple[float, float]] = {}

    def add(self, caller: str, now: float) -> None:
        """Count one request."""
        self._rates[caller] = (self.rate(caller, now) + 1.0 / RATE_SECONDS, now)

    def rate(self, caller: str, now: float) -> float:
        """Return a caller's rate in requests per second."""
        rate, at = self._rates.get(caller, (0.0, now))
        return rate * max(0.0, 1.0 - (now - at) / RATE_SECONDS)

    def rates(self, now: float) -> dict[str, float]:
        """Return the rates of the callers with recent requests."""
        current = {caller: self.rate(caller, now) for caller in self._rates}
        self._rates = {c: pair for c, pair in self._rates.items() if current[c] > 0}
        return {caller: round(rate, 3) for caller, rate in current.items() if rate > 0}


class CallerLimits:
    """The part of each caller's limit that this host may use now.

    ``heartbeat_time`` returns when this host sent a heartbeat, by its number (monotonic seconds).
    """

    def __init__(self, host: str, heartbeat_time: Callable[[int], float | None]):
        self._host = host
        self._heartbeat_time = heartbeat_time
        self._buckets: dict[str, Bucket] = {}
        self._lent: deque[tuple[Loan, float]] = deque()
        self._borrowed: dict[str, dict[str, Loan]] = {}
        self.usage = Usage()
        self.hosts = 1

    def allowed(self, caller: str, limit: float, now: float) -> float:
        """Return this host's part of ``limit``, in requests per second, with loans included."""
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
        """Admit one request, or return a failure with the time until one is admitted."""
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
        """Return the current loans; ``others`` gives heartbeat, time of receipt and usage by host.

        A new loan for a caller is made only after the last one has expired, so the total lent
        never exceeds the share.
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
        """Accept the current loans of another host, which replace its previous ones."""
        own = {loan.caller: loan for loan in loans if loan.to == self._host}
        self._borrowed[lender] = own
