"""Whether and how long a request waits for a model that no endpoint holds yet.

Load pattern: rare models and adapters are requested suddenly, and demand moves to models without a
copy. A load takes seconds, and a request has some until its deadline. A request that can still be
answered in time waits; any other is refused at once with the time until the model should be ready.
"""

from dataclasses import dataclass

# Time from the start of a wait to the start of an order: a message to the ordering host, and back.
ORDER_DELAY_SECONDS = 0.3
# Usual time to load an adapter, including the order: ten milliseconds to load and the messages.
ADAPTER_LOAD_SECONDS = 0.3
# Time before the deadline that must be left when the model is ready, for the prefill of the prompt.
MIN_TIME_LEFT_SECONDS = 0.4
# Share of the remaining time, and longest time, of a wait without any report: the ordering host may
# just have been lost, and another takes over within six seconds.
UNKNOWN_WAIT_SHARE = 0.6
MAX_UNKNOWN_WAIT_SECONDS = 7.0
# Seconds after which a caller is asked to retry where no host reaches an endpoint.
UNREACHABLE_RETRY_SECONDS = 1.0
# Sends of a request, and seconds since it came, up to which open connections are tried there.
MAX_CUT_OFF_SENDS = 2
MAX_CUT_OFF_SECONDS = 0.2
# Longest and shortest time after which a refused caller is asked to retry.
MAX_RETRY_SECONDS = 5.0
MIN_RETRY_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Absence:
    """Why a request cannot be sent now. Times in seconds.

    ``time_left`` is the time until its deadline. ``ready_in`` is when a load under way should be
    done, None when none is known. ``load_seconds`` is how long a load takes, 0 when only an adapter
    of a held model is missing.
    """

    time_left: float
    ready_in: float | None
    load_seconds: float


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait up to ``seconds``; if that is 0, refuse with ``retry_after``."""

    seconds: float
    retry_after: float


def may_try_cut_off(endpoints: int, sends: int, age: float) -> bool:
    """Return whether to try an endpoint though no host can connect to any.

    Load pattern: new connections are refused, and some open ones live on. A request is refused as
    soon as a few tries have failed. It is refused at once where all open connections hang, so that
    no ``endpoints`` are left: one that may run only once would wait until its deadline.
    """
    return endpoints > 0 and sends < MAX_CUT_OFF_SENDS and age < MAX_CUT_OFF_SECONDS


def decide_wait(absence: Absence) -> Wait:
    """Return how long to wait for the missing item, or when the caller may retry."""
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
