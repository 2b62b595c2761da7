"""The retry budget: retries are a share of first sends, so they never amplify a failure."""

RETRY_SHARE = 0.1
RETRY_BURST = 10.0
MAX_SENDS = 3


class RetryBudget:
    """A bucket filled by first sends and emptied by retries.

    Over all hosts together, sends are at most ``1 + SHARE`` times the requests, plus ``BURST``
    for each host.
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST):
        self._share = share
        self._burst = burst
        self._level = burst

    def deposit(self) -> None:
        """Count a first send."""
        self._level = min(self._burst, self._level + self._share)

    def take(self) -> bool:
        """Take a retry; false when there is none."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
