"""How old a host's view of the platform's store may get, divided among the ways it is kept new.

A change, say that an endpoint leaves, must be seen by all hosts within a bound that the operators
set. The time is a sum of stages, and each limit here is the share of the bound that its stage may
take. docs/design/freshness.md has the sums for each way in which a host hears of a change.
"""

from dataclasses import dataclass

# The bound of the smallest deployment known, in seconds; its limits suit any longer one.
MIN_BOUND_SECONDS = 2.0
# Shares of the bound. A call that is lost right after it was made costs pause, hold and answer,
# then one more call and two hops between hosts, which must stay below the whole.
PAUSE_SHARE = 0.2
HOLD_SHARE = 0.3
ANSWER_SHARE = 0.2
# Several words of the host that reads for all; what is left serves for a host's own call.
SILENCE_SHARE = 0.4
# Pause and hold in the ordinary course, and the way from the host that reads.
AGE_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class ViewLimits:
    """Limits of one view, in seconds.

    ``pause`` lies between a change and the next call, so that a table that changes often costs few
    calls. ``hold`` is how long the store may hold a call, ``answer`` how much longer its answer may
    take before the call counts as lost. ``silence`` is how long a host may hear nothing from the
    one that reads for it, ``age`` how old its view may be, before it asks the store itself.
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


# Seconds before a call is made again after more than one in a row was lost, and the most of them.
# The first is made again at once: what was lost is one call, as a rule, and not the store.
RETRY_SECONDS = 0.3
MAX_RETRY_SECONDS = 1.0


def retry_delay(losses: int, lost: bool = True) -> float:
    """Return the seconds to wait after so many calls in a row failed.

    ``lost`` tells that the last one was not answered; one that was refused is not made again at
    once, since the store turns all hosts away, maybe. The most is well under the three seconds
    after an outage in which hosts may still be behind.
    """
    if losses <= 1:
        return 0.0 if lost else RETRY_SECONDS
    return min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2 ** min(losses - 2, 8))
