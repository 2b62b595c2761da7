"""Whether a request is sent to an engine at which it would wait for longer than its caller stays.

Load pattern: demand moves to a model that one engine holds, and the queue there grows until callers
leave before their turn. They wait for nothing, and are not told when to come back. So a request
that is expected to wait for longer than its caller stays is turned away at once. One that would
only be late is sent on, as its answer is still worth something.
"""

from collections.abc import Callable
from dataclasses import dataclass

from peridotdock.decisions.choice import Prediction, RequestCost

# Share of the time that a caller stays which the wait may take, by the rank of its route. Engines
# serve the first rank before all that waits there, so most of the queue is not before it; for the
# others the expectation may be a tenth too short, as more urgent ones come after them.
WAIT_SHARES = (1.5, 0.9)
# Share of an engine's places below which nothing is turned away: what is thought to wait there may
# have gone, as the word of other hosts is some tenths of a second old.
MIN_BUSY_SHARE = 0.5
# Shortest and longest time, in seconds, after which a caller is asked to come back.
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 4.0
# Spread of that time, so that those that were turned away together don't come back together.
RETRY_SPREAD = 0.5


@dataclass(frozen=True, slots=True)
class ExcessiveWait:
    """A wait that is too long, and what was allowed, in seconds."""

    wait: float
    allowed: float

    def retry_after(self, draw: Callable[[], float]) -> float:
        """Return when there should be room: half of what may wait is left by then.

        ``draw`` gives a number from 0 to 1.
        """
        seconds = (self.wait - self.allowed / 2) * (1 + RETRY_SPREAD * (draw() - 0.5))
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, seconds))


def check_wait(
    found: Prediction, work: RequestCost, left: float, rank: int
) -> ExcessiveWait | None:
    """Return why a request is not to be sent to the engine that would answer it first, or None.

    ``left`` is how long its caller stays without a first event, in seconds. Plain services are left
    out: how long one takes is known too roughly.
    """
    candidate = found.candidate
    if work.tokens == 0 or candidate.running < MIN_BUSY_SHARE * candidate.slots:
        return None
    allowed = WAIT_SHARES[min(rank, len(WAIT_SHARES) - 1)] * max(0.0, left)
    return ExcessiveWait(found.seconds, allowed) if found.seconds > allowed else None
