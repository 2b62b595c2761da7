"""Which endpoint a relayed request goes to: the one predicted to answer first.

Load pattern: prompts that share long beginnings, on engines that batch. The time to the first
token is the prompt tokens that must be read before it, ours and those ahead of it, times the
engine's time for a token. So a runner that kept the shared part of a prompt is worth a longer
queue, up to the time that reading the part again would take, and no further.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

# Seconds an engine takes for a step with few requests; the first token takes one step at least.
STEP_SECONDS = 0.006
# Endpoints whose predictions differ by less are taken as equal: trips between failure domains and
# the lag of the hosts' reports to each other leave this much open.
TIE_SECONDS = 0.004
# Parts of an endpoint's places by which equal ones are told apart.
OCCUPANCY_STEPS = 8
# Share of a shared part that is taken to be cached on the endpoint that all hosts prefer for it.
PREFERRED_CACHED_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class Candidate:
    """One endpoint as seen for one request. Times in seconds, the rest in tokens or requests.

    ``ahead`` are prompt tokens that wait or are being read there; ``cached`` of ours need no
    reading. ``slowness`` is its time over the usual time for the same work. ``suspect`` ones
    failed lately and are taken only when nothing else is left. Of one that has named a limit,
    ``permit_wait`` are the seconds until there is a permit, as far as known, and ``permit_gap``
    those between two; both are 0 for others. ``rest`` are the seconds for which it wants nothing
    from the host that sends.
    """

    key: str
    queued_tokens: float
    running: int
    slots: int
    cached_tokens: int
    preferred: bool
    slowness: float
    same_domain: bool
    suspect: bool = False
    permit_wait: float = 0.0
    permit_interval: float = 0.0
    backoff: float = 0.0

    @property
    def rate_limited(self) -> bool:
        """Tell whether the endpoint takes only so many requests a second."""
        return self.permit_interval > 0

    @property
    def available_in(self) -> float:
        """Return the seconds until the host that looks may send there, as far as it knows."""
        return max(self.permit_wait, self.backoff)


@dataclass(frozen=True, slots=True)
class RequestCost:
    """What a request asks of an engine; a plain service has no tokens.

    ``per_token`` is the time to read one prompt token, ``service`` how long a request holds its
    place, both in seconds.
    """

    tokens: int
    shared_tokens: int
    seconds_per_token: float
    service_seconds: float


@dataclass(frozen=True, slots=True)
class Prediction:
    """An endpoint and the seconds until its first token (or its answer) is expected.

    ``granted`` tells that it was found by the host that knows of all prompts.
    """

    candidate: Candidate
    seconds: float
    granted: bool = False


def predict(candidate: Candidate, work: RequestCost) -> float:
    """Return the seconds until the first token, or the answer of a plain service."""
    over = candidate.running + 1 - candidate.slots
    wait = max(0, over) * work.service_seconds / max(1, candidate.slots)
    if work.tokens == 0:
        return candidate.slowness * (work.service_seconds + wait)
    prefill = (candidate.queued_tokens + uncached_tokens(candidate, work)) * work.seconds_per_token
    return candidate.slowness * (prefill + wait + STEP_SECONDS)


def uncached_tokens(candidate: Candidate, work: RequestCost) -> int:
    """Return how many prompt tokens the endpoint has to read for a request, as far as is known."""
    return max(0, work.tokens - candidate.cached_tokens)


def estimate_cached_tokens(cached: int, shared: int) -> int:
    """Return how much of a prompt counts as kept at the endpoint that all hosts prefer for it.

    Other hosts' requests may have left the shared part there, which this host does not hear of.
    """
    return max(cached, int(shared * PREFERRED_CACHED_SHARE))


def expected_prefill_seconds(work: RequestCost) -> float:
    """Return the engine's time that a request asks for, with its shared part read as often."""
    return (work.tokens - work.shared_tokens * PREFERRED_CACHED_SHARE) * work.seconds_per_token


def choose(
    candidates: Sequence[Candidate], work: RequestCost, rng: random.Random
) -> Prediction | None:
    """Return the endpoint to send to, or None when there is none.

    Suspects are passed over unless all are: to leave out every endpoint would turn a fault that
    all share into an outage of our own making.
    """
    healthy = [candidate for candidate in candidates if not candidate.suspect] or list(candidates)
    if not healthy:
        return None
    found = [Prediction(candidate, predict(candidate, work)) for candidate in healthy]
    best = min(prediction.seconds for prediction in found)
    equal = [p for p in found if p.seconds <= best + TIE_SECONDS]
    return min(equal, key=lambda p: tie_break_key(p.candidate, rng))


def tie_break_key(candidate: Candidate, rng: random.Random) -> tuple[bool, int, bool, float]:
    """Return what equal endpoints are ordered by: what they have kept, how full they are, the way.

    Requests that run make each other's tokens slower, which a prediction of the first one does not
    show.
    """
    return not candidate.preferred, occupancy(candidate), not candidate.same_domain, rng.random()


def occupancy(candidate: Candidate) -> int:
    """Return how many eighths of an endpoint's places are taken."""
    return OCCUPANCY_STEPS * candidate.running // max(1, candidate.slots)
