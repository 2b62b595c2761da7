"""Whether a request is sent to an engine at which it would wait too long.

Load pattern: demand moves to a model that one engine holds, or callers come half as often again as
the engines can bear. The queue grows until each request waits for as long as callers stay: the
engine reads prompts whose callers leave, and what is served is late. With requests turned away at
once when they would wait for longer than their target, and back when there is room, the engine does
as much and most of it is in time. In a model of five engines, at twice the usual callers for four
seconds of twelve, 0.594 of the worth was earned in place of 0.543; at a steady 1.3 times, 0.648 in
place of 0.576; with callers as usual nothing changes.
"""

from collections.abc import Callable
from dataclasses import dataclass

from peridotdock.decisions.choice import STEP_SECONDS, Prediction, Work, unread

# How many times its target a request may wait, by the rank of its route: engines serve the first
# rank before all that waits there, so most of the queue is not before it; the last leaves room.
WAIT_SHARES = (2.0, 1.0, 0.8)
# Share of the target that a request may wait, however long its own prompt takes: else the largest
# prompts would be turned away first.
LEAST_WAIT_SHARE = 0.5
# Share of an engine's places below which nothing is turned away: what is thought to wait there may
# have gone, as the word of other hosts is some tenths of a second old.
BUSY_SHARE = 0.5
# Shortest and longest time, in seconds, after which a caller is asked to come back.
SHORTEST_RETRY = 0.2
LONGEST_RETRY = 4.0
# Spread of that time, so that those that were turned away together don't come back together.
RETRY_SPREAD = 0.5


@dataclass(frozen=True, slots=True)
class Crowd:
    """A wait that is too long, and what was allowed, in seconds."""

    wait: float
    allowed: float

    def retry_after(self, draw: Callable[[], float]) -> float:
        """Return when there should be room: half of what may wait is left by then.

        ``draw`` gives a number from 0 to 1.
        """
        seconds = (self.wait - self.allowed / 2) * (1 + RETRY_SPREAD * (draw() - 0.5))
        return min(LONGEST_RETRY, max(SHORTEST_RETRY, seconds))


def judge_wait(found: Prediction, work: Work, target: float, rank: int) -> Crowd | None:
    """Return why a request is not to be sent to the engine that would answer it first, or None.

    ``target`` is the route's time to the first event, in seconds.
    """
    candidate = found.candidate
    if work.tokens == 0 or candidate.running < BUSY_SHARE * candidate.slots:
        return None
    reading = unread(candidate, work) * work.per_token + STEP_SECONDS
    own = candidate.slowness * reading
    share = WAIT_SHARES[min(rank, len(WAIT_SHARES) - 1)]
    allowed = share * (target - min(own, target * (1 - LEAST_WAIT_SHARE)))
    wait = found.seconds - own
    return Crowd(wait, allowed) if wait > allowed else None
