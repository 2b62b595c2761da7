"""Whether a request waits for a model that no endpoint holds yet, and for how long.

Load pattern: rare models and adapters are asked for at once, and demand moves to models of which no
copy is left. A load takes seconds and a request has some; one that can still be answered in time
waits here, and one that can't is refused at once with the time at which the model should be there.
"""

from dataclasses import dataclass

# Seconds from a request's wish to an order's beginning: word to the host that orders, and back.
ORDER_DELAY = 0.3
# Seconds that an adapter takes, order included, on a good day: ten for its load and the way there.
ADAPTER_EXPECTED = 0.3
# Seconds of a request's time that must be left when the model is there, to read its prompt.
LEAST_LEFT = 0.4
# Share of the time left that a wait without any word may take, and its longest, in seconds: a host
# that orders may just have been lost, and another takes over within six.
BLIND_SHARE = 0.6
BLIND_SECONDS = 7.0
# Longest and shortest time after which a refused caller is asked to come back, in seconds.
LONGEST_RETRY = 5.0
SHORTEST_RETRY = 0.2


@dataclass(frozen=True, slots=True)
class Absence:
    """Why a request can't be sent now. Times in seconds.

    ``coming`` is when a load that is under way should be done, None when none is known; ``load``
    how long one takes, 0 where the model is there and only an adapter is missing.
    """

    left: float
    coming: float | None
    load: float


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait up to ``seconds``; or, where that is 0, refuse with ``retry_after``."""

    seconds: float
    retry_after: float


def decide(absence: Absence) -> Wait:
    """Return whether to wait for what is missing."""
    expected = absence.coming
    if expected is None:
        expected = absence.load + ORDER_DELAY if absence.load else ADAPTER_EXPECTED
    retry = min(LONGEST_RETRY, max(SHORTEST_RETRY, expected))
    if expected + LEAST_LEFT > absence.left:
        return Wait(0.0, retry)
    longest = max(expected + ORDER_DELAY, min(BLIND_SECONDS, absence.left * BLIND_SHARE))
    return Wait(min(absence.left - LEAST_LEFT, longest), retry)
