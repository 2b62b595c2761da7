"""Whether a request waits for a model that no endpoint holds yet, and for how long.

Load pattern: rare models and adapters are asked for at once, and demand moves to models of which no
copy is left. A load takes seconds and a request has some; one that can still be answered in time
waits here, and one that can't is refused at once with the time at which the model should be there.
"""

from dataclasses import dataclass

# Seconds from a request's wish to an order's beginning: word to the host that orders, and back.
ORDER_DELAY_SECONDS = 0.3
# Seconds that an adapter takes, order included, on a good day: ten for its load and the way there.
ADAPTER_LOAD_SECONDS = 0.3
# Seconds of a request's time that must be left when the model is there, to read its prompt.
MIN_TIME_LEFT_SECONDS = 0.4
# Share of the time left that a wait without any word may take, and its longest, in seconds: a host
# that orders may just have been lost, and another takes over within six.
UNKNOWN_WAIT_SHARE = 0.6
MAX_UNKNOWN_WAIT_SECONDS = 7.0
# Longest and shortest time after which a refused caller is asked to come back, in seconds.
MAX_RETRY_SECONDS = 5.0
MIN_RETRY_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Absence:
    """Why a request can't be sent now. Times in seconds.

    ``coming`` is when a load that is under way should be done, None when none is known; ``load``
    how long one takes, 0 where the model is there and only an adapter is missing.
    """

    time_left: float
    ready_in: float | None
    load_seconds: float


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait up to ``seconds``; or, where that is 0, refuse with ``retry_after``."""

    seconds: float
    retry_after: float


def decide_wait(absence: Absence) -> Wait:
    """Return whether to wait for what is missing."""
    expected = absence.ready_in
    if expected is None:
        expected = (
            absence.load_seconds + ORDER_DELAY_SECONDS
            if absence.load_seconds
            else ADAPTER_LOAD_SECONDS
        )
    retry = min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, expected))
    if expected + MIN_TIME_LEFT_SECONDS > absence.time_left:
        return Wait(0.0, retry)
    longest = max(
        expected + ORDER_DELAY_SECONDS,
        min(MAX_UNKNOWN_WAIT_SECONDS, absence.time_left * UNKNOWN_WAIT_SHARE),
    )
    return Wait(min(absence.time_left - MIN_TIME_LEFT_SECONDS, longest), retry)
