"""Health of an endpoint: how slow it is, and whether it is excluded for a while.

Load pattern: an endpoint passes its health check while it fails a part of its requests, or is
several times slower than its peers. Only outcomes of real requests show this, so only they count.
An excluded endpoint gets one request again after a pause that doubles, so that a recovered endpoint
is found soon and a failing one costs little.
"""

# How long an endpoint is excluded after the first loss, and at most.
FIRST_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 4.0
# Weight of one outcome in the failure share: about the last eight count.
OUTCOME_GAIN = 0.12
# Share of failed requests from which an endpoint is excluded. Plain services fail up to 0.14 of
# their idempotent requests in normal operation, so this is well above.
FAILING_SHARE = 0.33
# Weight of one measured time in the slowness.
SLOWNESS_GAIN = 0.3
# Seconds in which a slowness that is not measured again moves halfway back to the usual value.
SLOWNESS_HALF_LIFE = 4.0
# An answer is overdue after this multiple of the expected time, and not before this many seconds:
# one in a hundred answers of a plain service takes five times as long as the others.
OVERDUE_FACTOR = 5.0
OVERDUE_SECONDS = 0.3
# Number of overdue answers in a row from which an endpoint is excluded. A single one may be a
# request that takes longer than its route allows, which is no fault of the endpoint.
MAX_OVERDUE = 2
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0


class Health:
    """Outcomes of this host's requests to one endpoint. Times are monotonic seconds.

    ``unreachable_at`` is when the last connection to it failed.
    """

    def __init__(self) -> None:
        self._failure_share = 0.0
        self._overdue = 0
        self._excluded_until = float("-inf")
        self._absent_until = float("-inf")
        self._pause = FIRST_PAUSE_SECONDS
        self.unreachable_at = float("-inf")
        self._slowness = 1.0
        self._slow_at = 0.0

    def record_success(self) -> None:
        """Count a request that the endpoint served."""
        self._overdue = 0
        self._failure_share -= OUTCOME_GAIN * self._failure_share
        if self._failure_share < FAILING_SHARE:
            self._pause = FIRST_PAUSE_SECONDS

    def record_error(self, now: float) -> None:
        """Count a request that the endpoint answered with a failure of its own."""
        self._overdue = 0
        self._failure_share += OUTCOME_GAIN * (1.0 - self._failure_share)
        if self._failure_share >= FAILING_SHARE:
            self._exclude(now)

    def record_loss(self, now: float) -> None:
        """Count a request that got no answer: unreachable, reset or silent."""
        self._failure_share += OUTCOME_GAIN * (1.0 - self._failure_share)
        self._exclude(now)

    def record_overdue(self, now: float) -> None:
        """Count an answer that did not arrive in the expected time."""
        self._overdue += 1
        if self._overdue >= MAX_OVERDUE:
            self.record_loss(now)

    def record_unreachable(self, now: float) -> None:
        """Count a connection that could not be made: nothing listens there at present."""
        self.record_loss(now)
        self.unreachable_at = now
        self._absent_until = max(self._absent_until, self._excluded_until)

    def clear_losses(self) -> None:
        """Forget losses that were not the endpoint's: this host had lost its own links."""
        self._failure_share = 0.0
        self._overdue = 0
        self._excluded_until = self._absent_until = float("-inf")
        self._pause = FIRST_PAUSE_SECONDS

    def absent(self, now: float) -> bool:
        """Return whether the endpoint was unreachable a moment ago: what it held counts as absent.

        Failure guarded against: the only endpoint with a model has crashed, and its entry stays for
        some heartbeats. Requests then retried it at once, hundreds of times a second, instead of
        waiting for the model to be loaded elsewhere.
        """
        return now < self._absent_until

    def _exclude(self, now: float) -> None:
        if now < self._excluded_until:
            return
        self._excluded_until = now + self._pause
        self._pause = min(MAX_PAUSE_SECONDS, self._pause * 2)

    def suspect(self, now: float) -> bool:
        """Return whether requests should go to another endpoint if there is one."""
        return now < self._excluded_until

    def record_slowness(self, ratio: float, now: float) -> None:
        """Record the time of one request divided by the usual time for the same work."""
        current = self.slowness(now)
        self._slowness = current + SLOWNESS_GAIN * (ratio - current)
        self._slow_at = now

    def slowness(self, now: float) -> float:
        """Return the endpoint's time divided by the usual time, within fixed bounds.

        It decays to 1 while it is not measured again.
        """
        decay = 0.5 ** ((now - self._slow_at) / SLOWNESS_HALF_LIFE)
        return min(MAX_SLOWNESS, max(MIN_SLOWNESS, 1.0 + (self._slowness - 1.0) * decay))


def is_overdue(waited: float, expected: float, loop_delay: float) -> bool:
    """Return whether an answer is overdue because of its endpoint, not of the local event loop."""
    return waited - loop_delay >= max(OVERDUE_SECONDS, OVERDUE_FACTOR * expected)
