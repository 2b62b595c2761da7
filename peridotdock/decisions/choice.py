"""Choice of the endpoint for a relayed request: the one predicted to answer first.

Load pattern: prompts with long shared prefixes, on engines that batch. The time to the first token
is the number of prompt tokens to prefill before it (the request's own and those queued ahead of it)
times the engine's prefill time per token. An endpoint that has the shared prefix cached is
therefore worth a longer queue, up to the time that prefilling the prefix again would take.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

# Duration of an engine step with few requests; the first token takes at least one step.
STEP_SECONDS = 0.006
# Predictions that differ by less count as equal: round trips between failure domains and the delay
# of the hosts' reports to each other make them uncertain by about this much.
TIE_SECONDS = 0.004
# Number of steps of occupancy by which endpoints with equal predictions are compared.
OCCUPANCY_STEPS = 8
# Share of a shared prefix assumed to be cached on the endpoint that all hosts prefer for it.
PREFERRED_CACHED_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class Candidate:
    """One endpoint as seen for one request. Times are in seconds, the rest in tokens or requests.

    ``queued_tokens`` are prompt tokens that wait or are being prefilled there; ``cached_tokens`` of
    the request's prompt need no prefill. ``slowness`` is the endpoint's time divided by the usual
    time for the same work. ``suspect`` endpoints failed recently and are used only when no other is
    left.

    ``permit_wait`` is the known time until an endpoint with an announced limit has a free permit,
    ``permit_interval`` the time between two permits; both are 0 for endpoints without a limit.
    ``backoff`` is the time for which the endpoint wants no requests from the sending host.
    ``brittle`` endpoints fail if they have to refuse too many requests.
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
    brittle: bool = False

    @property
    def needs_permit(self) -> bool:
        """Whether a request to the endpoint needs a permit of the hub."""
        return self.rate_limited or self.brittle

    @property
    def rate_limited(self) -> bool:
        """Whether the endpoint has announced a limit in requests per second."""
        return self.permit_interval > 0

    @property
    def available_in(self) -> float:
        """Seconds until the local host may send to the endpoint, as far as it knows."""
        return max(self.permit_wait, self.backoff)


@dataclass(frozen=True, slots=True)
class RequestCost:
    """What a request costs an engine; a plain service has no tokens.

    ``seconds_per_token`` is the prefill time of one prompt token, ``service_seconds`` how long a
    request occupies a slot.
    """

    tokens: int
    shared_tokens: int
    seconds_per_token: float
    service_seconds: float


@dataclass(frozen=True, slots=True)
class Prediction:
    """An endpoint and the seconds until its first token, or its whole answer, is expected.

    ``granted`` is the number of the grant where a hub, which knows the prompts of all hosts, made
    the prediction, else 0, and ``granted_by`` that hub. ``placed`` is set when the hub counts the
    request until it has ended.
    """

    candidate: Candidate
    seconds: float
    granted: int = 0
    placed: bool = False
    granted_by: str = ""


def predict(candidate: Candidate, work: RequestCost) -> float:
    """Return the seconds until the first token, or until the answer of a plain service."""
    over = candidate.running + 1 - candidate.slots
    wait = max(0, over) * work.service_seconds / max(1, candidate.slots)
    if work.tokens == 0:
        return candidate.slowness * (work.service_seconds + wait)
    prefill = (candidate.queued_tokens + uncached_tokens(candidate, work)) * work.seconds_per_token
    return candidate.slowness * (prefill + wait + STEP_SECONDS)


def uncached_tokens(candidate: Candidate, work: RequestCost) -> int:
    """Return how many prompt tokens the endpoint must prefill for a request, as far as is known."""
    return max(0, work.tokens - candidate.cached_tokens)


def estimate_cached_tokens(cached: int, shared: int) -> int:
    """Return how many prompt tokens count as cached on the endpoint that all hosts prefer for them.

    Requests of other hosts may have cached the shared prefix there, which this host does not learn.
    """
    return max(cached, int(shared * PREFERRED_CACHED_SHARE))


def expected_prefill_seconds(work: RequestCost) -> float:
    """Return the expected prefill time of a request, with the usual share of its prefix cached."""
    return (work.tokens - work.shared_tokens * PREFERRED_CACHED_SHARE) * work.seconds_per_token


def choose(
    candidates: Sequence[Candidate], work: RequestCost, rng: random.Random
) -> Prediction | None:
    """Return the endpoint to send to, or None when there are no candidates.

    Suspects are skipped unless all candidates are suspects: excluding every endpoint would turn a
    fault that all of them share into a complete outage.
    """
    healthy = [candidate for candidate in candidates if not candidate.suspect] or list(candidates)
    if not healthy:
        return None
    found = [Prediction(candidate, predict(candidate, work)) for candidate in healthy]
    best = min(prediction.seconds for prediction in found)
    equal = [p for p in found if p.seconds <= best + TIE_SECONDS]
    return min(equal, key=lambda p: tie_break_key(p.candidate, rng))


def tie_break_key(candidate: Candidate, rng: random.Random) -> tuple[bool, int, bool, float]:
    """Return the sort key of equal predictions: cached prefix, occupancy, failure domain, random.

    Occupancy counts because concurrent requests slow down each other's tokens, which a prediction
    of the first token does not show.
    """
    return not candidate.preferred, occupancy(candidate), not candidate.same_domain, rng.random()


def occupancy(candidate: Candidate) -> int:
    """Return how many eighths of an endpoint's slots are occupied."""
    return OCCUPANCY_STEPS * candidate.running // max(1, candidate.slots)
