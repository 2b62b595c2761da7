"""What a host that is behind with its work does: whether it takes a request, whether it is ready.

Each step of a request waits for the loop. So a host whose turns last long can tell beforehand that
an answer will come too late, and says so at once, with the promise that nothing has run.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

# Turns of the loop from the choice of an endpoint to the answer written, on a kept connection;
# counted on a host whose loop was made to turn without pause.
ITERATIONS_TO_ANSWER = 5
# Seconds that a turn lasts up to which a host is not behind: the steps of an answer take less than
# a tenth of a second then.
NORMAL_ITERATION_SECONDS = 0.016
# Seconds that a timer is late from which on a host counts as behind. A new connection's first
# request is read four turns after its coming, and callers wait one second for that.
BEHIND_SECONDS = 0.2
# Seconds for which a host must have been behind before it says that it isn't ready. One long turn,
# as a large configuration brings, is over when it is noticed, and shows for two seconds.
UNREADY_SECONDS = 2.5
# Descriptors left below which a host takes nothing new: each request in work may need one more, and
# without any the system takes no connection for a second at a time.
MIN_FREE_DESCRIPTORS = 64
# Seconds until a caller may come back: it asks another host, so it need not wait for this one. The
# spread keeps callers that were refused together from coming back together.
RETRY_SECONDS = 0.2
RETRY_SPREAD = 0.5


# Seconds that a new connection to an endpoint may take. One whose machine is dark answers never,
# and a request must get to another one in its time.
CONNECT_SECONDS = 0.25
# Share of the time left that a connection may take at most: it must end as "not connected", which
# tells of the endpoint, and not as the deadline, which does not.
CONNECT_SHARE = 0.8


class RefusalReason(StrEnum):
    """Why a host takes no request."""

    NO_TIME = "its time is over"
    TOO_LATE = "its answer would come too late"
    BEHIND = "the loop has been behind for long"
    DESCRIPTORS = "too few descriptors are left"


@dataclass(frozen=True, slots=True)
class HostState:
    """How a host is. Times in seconds; ``free`` descriptors are None when unknown."""

    lag: float
    behind_seconds: float
    free_descriptors: int | None


def check_host(state: HostState) -> RefusalReason | None:
    """Return why a host isn't ready for anything new, or None."""
    if state.free_descriptors is not None and state.free_descriptors < MIN_FREE_DESCRIPTORS:
        return RefusalReason.DESCRIPTORS
    if state.lag >= BEHIND_SECONDS and state.behind_seconds >= UNREADY_SECONDS:
        return RefusalReason.BEHIND
    return None


def check_send(left: float, expected: float, iteration: float) -> RefusalReason | None:
    """Return why a request is not to be sent, or None.

    ``left`` is the time it has, ``expected`` how long its endpoint should take, ``turn`` how long a
    turn of the loop lasts at present. Failure guarded against: a request that may run once only is
    sent on with next to no time left, runs, and its caller is told 504, which says nothing.
    """
    if left <= 0:
        return RefusalReason.NO_TIME
    if iteration > NORMAL_ITERATION_SECONDS and left < expected + ITERATIONS_TO_ANSWER * iteration:
        return RefusalReason.TOO_LATE
    return None


def connect_timeout(left: float) -> float:
    """Return how long a new connection to an endpoint may take.

    Failure guarded against: an endpoint has gone dark, and each request's time ends while it waits
    for a connection. Nothing is learnt, the next one is sent there again, and all are told 504.
    """
    return min(CONNECT_SECONDS, CONNECT_SHARE * left)


def retry_after(draw: Callable[[], float]) -> float:
    """Return when a refused caller may come back; ``draw`` gives a number from 0 to 1."""
    return RETRY_SECONDS * (1 + RETRY_SPREAD * (draw() - 0.5))
