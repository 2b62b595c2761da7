"""Rejection of requests that would wait longer at an engine than their caller stays.

Load pattern: demand moves to a model that one engine holds, and the queue there grows until callers
disconnect before they are served. They have waited in vain and do not learn when to retry. A
request that is expected to wait longer than its caller stays is therefore rejected at once. One
that would only miss its latency target is still sent, as a late answer keeps some value.
"""

from collections.abc import Callable
from dataclasses import dataclass

from peridotdock.decisions.choice import Prediction, RequestCost

# Share of the time that a caller stays which the wait may take, by the rank of its route. Engines
# serve the first rank before everything that waits there, so most of the queue is not ahead of it.
# For other ranks the prediction may be a tenth too short, as more urgent requests arrive later.
WAIT_SHARES = (1.5, 0.9)
# Share of an engine's slots below which nothing is rejected: the reports of other hosts are some
# tenths of a second old, so the queue they describe may be gone.
MIN_BUSY_SHARE = 0.5
# Shortest and longest time after which a caller is asked to retry.
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 4.0
# Spread of the retry time, so that callers that were rejected together do not retry together.
RETRY_SPREAD = 0.5


@dataclass(frozen=True, slots=True)
class ExcessiveWait:
    """A wait that is too long, and the longest allowed wait, in seconds."""

    wait: float
    allowed: float

    def retry_after(self, draw: Callable[[], float]) -> float:
        """Return the seconds until the wait should have dropped to half of what is allowed.

        ``draw`` returns a number from 0 to 1.
        """
        seconds = (self.wait - self.allowed / 2) * (1 + RETRY_SPREAD * (draw() - 0.5))
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))


def check_wait(
    found: Prediction, work: RequestCost, left: float, rank: int
) -> ExcessiveWait | None:
    """Return why a request must not be sent to the predicted endpoint, or None if it may be.

    ``left`` is how many seconds its caller stays without a first event. Requests of plain services
    are never rejected: how long one takes is known too roughly.
    """
    candidate = found.candidate
    if work.tokens == 0 or candidate.running < MIN_BUSY_SHARE * candidate.slots:
        return None
    allowed = WAIT_SHARES[min(rank, len(WAIT_SHARES) - 1)] * max(0.0, left)
    return ExcessiveWait(found.seconds, allowed) if found.seconds > allowed else None
