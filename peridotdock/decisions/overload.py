"""Decisions of a host whose event loop is behind: whether to accept requests and to be ready.

Each step of a request waits for the loop. A host whose loop iterations take long can therefore
predict that an answer will be too late, and refuses at once with the guarantee that nothing has
run.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

# Loop iterations from the choice of an endpoint to the written answer, on a kept-alive connection;
# counted on a host whose loop was made to iterate without pause.
ITERATIONS_TO_ANSWER = 5
# Longest iteration up to which a host is not behind: the steps of an answer then take less than a
# tenth of a second.
NORMAL_ITERATION_SECONDS = 0.016
# Timer lateness from which a host counts as behind. The first request on a new connection is read
# four iterations after it arrives, and callers wait one second for that.
BEHIND_SECONDS = 0.2
# How long a host must have been behind before it reports that it is not ready. A single long
# iteration, such as one that applies a large configuration, has ended when it is measured, and
# counts as lag for two seconds.
UNREADY_SECONDS = 2.5
# Free file descriptors below which a host accepts no new requests: each request in progress may
# need one more, and without any the system accepts no connection for a second at a time.
MIN_FREE_DESCRIPTORS = 64
# Seconds until a caller may retry: it uses another host, so it need not wait for this one. The
# spread keeps callers that were refused together from retrying together.
RETRY_SECONDS = 0.2
RETRY_SPREAD = 0.5


# Timeout of a new connection to an endpoint. An unreachable machine never answers, and the request
# must reach another endpoint before its deadline.
CONNECT_SECONDS = 0.25
# Largest share of the remaining time for a connection: it must fail as "not connected", which
# counts against the endpoint, and not by the deadline, which does not.
CONNECT_SHARE = 0.8


# Timer lateness from which a host with long iterations takes no requests of other hosts, so that
# its own callers don't wait for them.
FORWARDED_LAG_SECONDS = 0.05


class RefusalReason(StrEnum):
    """Why a host refuses a request."""

    NO_TIME = "its time is over"
    TOO_LATE = "its answer would come too late"
    BEHIND = "the loop has been behind for long"
    DESCRIPTORS = "too few descriptors are left"


@dataclass(frozen=True, slots=True)
class HostState:
    """State of a host. Times in seconds; ``free_descriptors`` is None when unknown."""

    lag: float
    behind_seconds: float
    free_descriptors: int | None


def check_host(state: HostState) -> RefusalReason | None:
    """Return why a host is not ready for new requests, or None."""
    if state.free_descriptors is not None and state.free_descriptors < MIN_FREE_DESCRIPTORS:
        return RefusalReason.DESCRIPTORS
    if state.lag >= BEHIND_SECONDS and state.behind_seconds >= UNREADY_SECONDS:
        return RefusalReason.BEHIND
    return None


def takes_forwarded(lag: float, iteration: float) -> bool:
    """Return whether a host takes requests of hosts that reach no endpoint.

    Load pattern: most hosts lose their links at once, and all their requests go to the few that
    are left. ``lag`` is the most by which a timer was late lately, ``iteration`` the current
    duration of a loop iteration, both in seconds.

    Failure guarded against: one pause of the last host in touch makes it refuse for seconds.
    """
    return lag < FORWARDED_LAG_SECONDS or iteration <= NORMAL_ITERATION_SECONDS


def check_send(left: float, expected: float, iteration: float) -> RefusalReason | None:
    """Return why a request must not be sent, or None.

    ``left`` is the time until its deadline, ``expected`` how long its endpoint should take and
    ``iteration`` the current duration of a loop iteration, all in seconds.

    Failure guarded against: a request that may run only once is sent with next to no time left,
    runs, and its caller gets a 504, which leaves the outcome unknown.
    """
    if left <= 0:
        return RefusalReason.NO_TIME
    if iteration > NORMAL_ITERATION_SECONDS and left < expected + ITERATIONS_TO_ANSWER * iteration:
        return RefusalReason.TOO_LATE
    return None


def connect_timeout(left: float) -> float:
    """Return the timeout of a new connection to an endpoint, in seconds.

    Failure guarded against: an endpoint's machine is down, and each request reaches its deadline
    while it waits for a connection. The failure is not counted, the next request is sent there
    again, and all callers get a 504.
    """
    return min(CONNECT_SECONDS, CONNECT_SHARE * left)


def retry_after(draw: Callable[[], float]) -> float:
    """Return when a refused caller may retry; ``draw`` returns a number from 0 to 1."""
    return RETRY_SECONDS * (1 + RETRY_SPREAD * (draw() - 0.5))
