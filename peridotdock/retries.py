"""The retry budget bounds retries to a share of first sends, so they cannot amplify failures."""

RETRY_SHARE = 0.1
RETRY_BURST = 10.0
MAX_SENDS = 3


class RetryBudget:
    """A token bucket filled by first sends and drained by retries.

    Across all hosts, sends are at most ``1 + RETRY_SHARE`` times the requests, plus
    ``RETRY_BURST`` for each host.
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST):
        self._share = share
        self._burst = burst
        self._level = burst

    def deposit(self) -> None:
        """Add the tokens that a first send earns."""
        self._level = min(self._burst, self._level + self._share)

    def take(self) -> bool:
        """Take a token for a retry; False when there is none."""
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True
