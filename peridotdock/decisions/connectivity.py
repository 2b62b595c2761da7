"""Decides whether a host has lost its links to the endpoints, or some endpoints have ended.

Load pattern: a network partition separates some hosts from all endpoints, while callers, the store
and other hosts still reach them. A connection that fails looks the same when its endpoint has
ended. Several endpoints that fail within a moment raise the suspicion; new connections to other
endpoints confirm or refute it.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from random import Random

# Endpoints that must fail within the window before the host's own links are suspected.
MIN_FAILED_ENDPOINTS = 2
FAILURE_WINDOW_SECONDS = 2.0
# Endpoints to which a connection is tried at once, and seconds between two tries of a partitioned
# host.
PROBED_ENDPOINTS = 3
PROBE_INTERVAL_SECONDS = 0.5
# Seconds after a refuted suspicion before the next one: endpoints that have ended fail repeatedly.
REFUTED_SECONDS = 1.0
# Seconds before the first failure from which on losses are blamed on the partition: the connections
# that were open break first.
ONSET_SECONDS = 1.0
# Seconds for which an endpoint has been silent at least when its silence is recorded.
SILENCE_SECONDS = 0.5


class LinkState(StrEnum):
    """What a host knows of its links to the endpoints."""

    CONNECTED = "connected"
    SUSPECTED = "suspected"
    PARTITIONED = "partitioned"


class Finding(StrEnum):
    """What changes the state of a host's links."""

    FAILURES = "failures"
    REACHED = "reached"
    UNREACHED = "unreached"


TRANSITIONS = {
    (LinkState.CONNECTED, Finding.FAILURES): LinkState.SUSPECTED,
    (LinkState.SUSPECTED, Finding.REACHED): LinkState.CONNECTED,
    (LinkState.SUSPECTED, Finding.UNREACHED): LinkState.PARTITIONED,
    (LinkState.PARTITIONED, Finding.REACHED): LinkState.CONNECTED,
}


@dataclass(frozen=True, slots=True)
class Period:
    """A time in which the links were suspected or lost, in monotonic seconds."""

    since: float
    until: float


class Connectivity:
    """The state of one host's links to the endpoints. Times are monotonic seconds."""

    def __init__(self) -> None:
        self.state = LinkState.CONNECTED
        self._failed_at: dict[str, float] = {}
        self._since = float("-inf")
        self._min_failed = MIN_FAILED_ENDPOINTS
        self._refuted_at = float("-inf")
        self._partition: Period | None = None
        # When endpoints were last silent on open connections, unless they have answered since.
        self._silent_at: dict[str, float] = {}
        self._answered_at = float("-inf")

    @property
    def doubtful(self) -> bool:
        """Whether a failed connection says nothing about the endpoint at its other end."""
        return self.state is not LinkState.CONNECTED

    @property
    def partitioned(self) -> bool:
        """Whether this host reaches no endpoint."""
        return self.state is LinkState.PARTITIONED

    def hangs(self, endpoint: str) -> bool:
        """Return whether open connections to an endpoint hang too while no new ones can be made.

        Those to silent ones do, and all do if several endpoints are silent and no other has
        answered meanwhile: a single one may be silent by itself for a moment.
        """
        if not self.partitioned:
            return False
        silent = {key: at for key, at in self._silent_at.items() if at >= self._since}
        if endpoint in silent or len(silent) < self._min_failed:
            return endpoint in silent
        return self._answered_at < min(silent.values()) - SILENCE_SECONDS

    def record_silence(self, endpoint: str, now: float) -> None:
        """Record that an endpoint is silent on an open connection."""
        if not self.doubtful:
            # No suspicion reaches back further.
            oldest = now - FAILURE_WINDOW_SECONDS - ONSET_SECONDS
            self._silent_at = keep_since(self._silent_at, oldest)
        self._silent_at[endpoint] = now

    def record_answer(self, endpoint: str, now: float) -> None:
        """Record that an endpoint has answered."""
        self._silent_at.pop(endpoint, None)
        self._answered_at = now

    def record_failure(self, endpoint: str, known: int, now: float) -> bool:
        """Record a lost or refused connection; return whether the links became suspected.

        ``known`` is the number of endpoints that this host knows.
        """
        self._failed_at = keep_since(self._failed_at, now - FAILURE_WINDOW_SECONDS)
        self._failed_at[endpoint] = now
        self._min_failed = min(MIN_FAILED_ENDPOINTS, known)
        few = len(self._failed_at) < self._min_failed
        if few or self.doubtful or now < self._refuted_at + REFUTED_SECONDS:
            return False
        self._since = min(self._failed_at.values()) - ONSET_SECONDS
        self._apply(Finding.FAILURES)
        return True

    def record_probes(self, reached: bool, now: float) -> bool:
        """Record whether any of the tried endpoints was reached; return whether this is news."""
        before = self.state
        self._apply(Finding.REACHED if reached else Finding.UNREACHED)
        if self.state is LinkState.CONNECTED and before is not LinkState.CONNECTED:
            self._failed_at.clear()
            self._silent_at.clear()
            self._refuted_at = now
            if before is LinkState.PARTITIONED:
                self._partition = Period(self._since, now)
        return self.state is not before

    def _apply(self, finding: Finding) -> None:
        self.state = TRANSITIONS.get((self.state, finding), self.state)

    def explains(self, lost_at: float) -> bool:
        """Return whether the loss of this host's links is why a connection was lost at a time.

        A suspicion explains nothing: a request that crashes two endpoints raises one.
        """
        if self.partitioned and lost_at >= self._since:
            return True
        period = self._partition
        return period is not None and period.since <= lost_at <= period.until

    def choose_probes(self, endpoints: Sequence[str], rng: Random) -> list[str]:
        """Return the endpoints to try next, at random, those that have not failed lately first."""
        drawn = rng.sample(endpoints, len(endpoints))
        return sorted(drawn, key=lambda key: key in self._failed_at)[:PROBED_ENDPOINTS]


def keep_since(times: Mapping[str, float], oldest: float) -> dict[str, float]:
    """Return the endpoints' times without those before ``oldest``."""
    return {key: at for key, at in times.items() if at >= oldest}
