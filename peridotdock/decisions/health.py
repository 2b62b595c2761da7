"""How an endpoint has behaved: slow, failing, to be left out for a while.

Load pattern: an endpoint whose health check is good while it fails a part of its requests, or is
several times slower than its like. Only outcomes of real requests tell, so they alone decide. An
endpoint left out gets one request again after a pause that doubles, so that one that has come
back is found soon and one that has not costs little.
"""

# Seconds that an endpoint is left out after the first loss, and at most.
FIRST_PAUSE = 0.5
LONGEST_PAUSE = 4.0
# Weight of one outcome in the failure share: about the last eight count.
OUTCOME_GAIN = 0.12
# Share of failed requests from which an endpoint is left out; plain services fail up to 0.14 of
# their idempotent requests on a good day, so this stands well above.
FAILING_SHARE = 0.33
# Weight of one measured time in the slowness.
SLOWNESS_GAIN = 0.3
# Seconds in which a slowness that is not measured again halves its distance to the usual.
SLOWNESS_HALF_LIFE = 4.0
# An answer is overdue after so many times what was expected, and not before so many seconds: one in
# a hundred of a plain service's answers takes five times as long as the others.
OVERDUE_FACTOR = 5.0
OVERDUE_SECONDS = 0.3
# Overdue answers one after the other from which on an endpoint is left out. One alone may be a
# request that takes longer than its route allows, which is its route's matter.
MOST_OVERDUE = 2
FASTEST = 0.5
SLOWEST = 20.0


class Health:
    """Outcomes of this host's requests on one endpoint. Times are monotonic seconds.

    ``unreachable_at`` is when a connection to it could not be made the last time.
    """

    def __init__(self) -> None:
        self._failing = 0.0
        self._overdue = 0
        self._until = float("-inf")
        self._closed_until = float("-inf")
        self._pause = FIRST_PAUSE
        self.unreachable_at = float("-inf")
        self._slowness = 1.0
        self._slow_at = 0.0

    def succeeded(self) -> None:
        """Count a request that the endpoint served."""
        self._overdue = 0
        self._failing -= OUTCOME_GAIN * self._failing
        if self._failing < FAILING_SHARE:
            self._pause = FIRST_PAUSE

    def erred(self, now: float) -> None:
        """Count a request that the endpoint answered with a failure of its own."""
        self._overdue = 0
        self._failing += OUTCOME_GAIN * (1.0 - self._failing)
        if self._failing >= FAILING_SHARE:
            self._leave_out(now)

    def lost(self, now: float) -> None:
        """Count a request that got no answer: unreachable, reset or silent."""
        self._failing += OUTCOME_GAIN * (1.0 - self._failing)
        self._leave_out(now)

    def overdue(self, now: float) -> None:
        """Count an answer that did not come in its time."""
        self._overdue += 1
        if self._overdue >= MOST_OVERDUE:
            self.lost(now)

    def unreachable(self, now: float) -> None:
        """Count a connection that could not be made: nothing is there for now."""
        self.lost(now)
        self.unreachable_at = now
        self._closed_until = max(self._closed_until, self._until)

    def closed(self, now: float) -> bool:
        """Tell whether nothing was there a moment ago: what it held counts as absent.

        Failure guarded against: the only endpoint with a model has crashed, and its entry stays
        for some heartbeats. Requests then tried it again and again at once, hundreds a second,
        instead of waiting for the model to be loaded elsewhere.
        """
        return now < self._closed_until

    def _leave_out(self, now: float) -> None:
        if now < self._until:
            return
        self._until = now + self._pause
        self._pause = min(LONGEST_PAUSE, self._pause * 2)

    def suspect(self, now: float) -> bool:
        """Tell whether to send elsewhere if that can be."""
        return now < self._until

    def measured(self, ratio: float, now: float) -> None:
        """Take in the time of one request over the usual time for the same work."""
        current = self.slowness(now)
        self._slowness = current + SLOWNESS_GAIN * (ratio - current)
        self._slow_at = now

    def slowness(self, now: float) -> float:
        """Return the endpoint's time over the usual, fading when it is not measured again."""
        faded = 0.5 ** ((now - self._slow_at) / SLOWNESS_HALF_LIFE)
        return min(SLOWEST, max(FASTEST, 1.0 + (self._slowness - 1.0) * faded))


def is_overdue(waited: float, expected: float, loop_delay: float) -> bool:
    """Tell whether an endpoint that has not answered is to blame, and not our own loop."""
    return waited - loop_delay >= max(OVERDUE_SECONDS, OVERDUE_FACTOR * expected)
