"""Division of the bound on the age of a host's view of the platform's store among its update paths.

A change, for example that an endpoint drains, must be seen by all hosts within a bound that the
operators set. The time is a sum of stages, and each limit is the share of the bound that its stage
may take. docs/design/freshness.md has the sums for each path by which a host learns of a change.
"""

from dataclasses import dataclass

# The bound of the smallest known deployment; its limits suit any longer bound.
MIN_BOUND_SECONDS = 2.0
# Shares of the bound. A call that is lost right after it was made costs pause, hold and answer,
# then one more call and two hops between hosts, which must stay below the whole bound.
PAUSE_SHARE = 0.2
HOLD_SHARE = 0.3
ANSWER_SHARE = 0.2
# Covers several updates of the reader; the rest of the bound is left for a host's own call.
SILENCE_SHARE = 0.4
# Covers pause and hold in normal operation, and the path from the reader.
AGE_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class ViewLimits:
    """Limits of one view, in seconds.

    ``pause`` lies between a change and the next call, so that a table that changes often costs few
    calls. ``hold`` is how long the store may hold a call, ``answer`` how much longer its answer may
    take before the call counts as lost. ``silence`` is how long a host may receive nothing from its
    reader, and ``age`` how old its view may be, before it calls the store itself.
    """

    pause: float
    hold: float
    answer: float
    silence: float
    age: float


def divide_bound(bound: float) -> ViewLimits:
    """Return the limits for changes that must be seen within ``bound`` seconds."""
    return ViewLimits(
        pause=PAUSE_SHARE * bound,
        hold=HOLD_SHARE * bound,
        answer=ANSWER_SHARE * bound,
        silence=SILENCE_SHARE * bound,
        age=AGE_SHARE * bound,
    )


# First and longest delay after more than one call in a row was lost. The first lost call is
# repeated at once: usually a single call is lost, and not the store.
RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 1.0


def retry_delay(losses: int, lost: bool = True) -> float:
    """Return the seconds to wait after a number of failed calls in a row.

    ``lost`` is set when the last call got no answer. A refused call is not repeated at once, since
    the store may be rejecting all hosts. The longest delay is well below the three seconds after an
    outage in which hosts may still be behind.
    """
    if losses <= 1:
        return 0.0 if lost else RETRY_SECONDS
    return min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2 ** min(losses - 2, 8))
