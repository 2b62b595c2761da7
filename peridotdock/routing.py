"""Routing: each request goes to the endpoint with the earliest predicted first token.

The functions are pure and work on the state of the fleet. Each part of the prediction is kept only
because disabling it lowered attainment; docs/design/routing.md has the figures. It also compares
the prediction with a score of many weighted signals, as in "The Router"; a prediction in seconds
can also be checked against the request's own target.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from peridotdock.errors import Failure, Kind
from peridotdock.fleet import STALE_SECONDS, EndpointState
from peridotdock.prefix import BLOCK_TOKENS
from peridotdock.requests import RoutingProfile

SAME_DOMAIN_SECONDS = 0.0002
OTHER_DOMAIN_SECONDS = 0.002
STALE_PENALTY_SECONDS = 0.2
FRESH_SECONDS = 1.0
SAMPLE_SIZE = 3
MAX_UNSAMPLED = 9
MAX_PREFIX_SCAN = 64
TIE_SECONDS = 0.01
TIE_SHARE = 0.1
UNLOADED_RETRY_SECONDS = 2.0
ROUTING_DECISIONS = frozenset({"affinity", "correction", "prediction", "spread"})
# Share of the target that the predicted wait may take, by priority 0 to 9. Lower priorities have
# smaller shares, so that a burst sheds them first and higher priorities still meet their targets.
ALLOWED_SHARE = (0.5, 0.55, 0.6, 0.65, 0.7, 0.75, 0.85, 0.95, 1.0, 1.05)


@dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint with its predicted seconds to the first token and cached prompt tokens."""

    state: EndpointState
    predicted_seconds: float
    cached: int


def is_usable(state: EndpointState, now: float) -> bool:
    """Return whether an endpoint takes new requests and has not failed recently."""
    return accepts_requests(state, now) and state.excluded_until <= now


def accepts_requests(state: EndpointState, now: float) -> bool:
    """Return whether an endpoint takes new requests, even if it failed recently."""
    return not state.down and not state.leaving and state.backoff_until <= now


def find_retry_delay(
    candidates: Sequence[EndpointState], now: float, minimum: float = UNLOADED_RETRY_SECONDS
) -> float:
    """Return the retry delay when no endpoint takes requests: until the first backoff ends."""
    rests = [s.backoff_until - now for s in candidates if not s.down and not s.leaving]
    return max(minimum, min(rests, default=0.0))


def expect_cached(state: EndpointState, profile: RoutingProfile, now: float) -> int:
    """Return the expected number of cached prompt tokens, scaled by the trust in cache hints."""
    hits = state.count_cached_blocks(profile.blocks, now) * BLOCK_TOKENS
    return min(profile.tokens, int(hits * state.trust))


def predict(
    state: EndpointState, profile: RoutingProfile, now: float, decisions: frozenset[str]
) -> Choice:
    """Predict the time to the first token on an endpoint."""
    cached = expect_cached(state, profile, now) if "affinity" in decisions else 0
    in_system, prefill = estimate_load(state, now, "correction" in decisions)
    load = state.load
    over = max(0, in_system + 1 - load.batch_limit)
    wait = over * state.mean_seconds / max(1, load.batch_limit)
    fill = (prefill + profile.tokens - cached) / max(1.0, load.prefill_rate)
    distance = SAME_DOMAIN_SECONDS if state.domain == profile.domain else OTHER_DOMAIN_SECONDS
    stale = STALE_PENALTY_SECONDS if now - state.load_at > STALE_SECONDS else 0.0
    return Choice(state, wait + fill + distance + stale, cached)


def estimate_load(state: EndpointState, now: float, corrected: bool) -> tuple[int, float]:
    """Return the requests in the engine and the prompt tokens queued ahead of a new one.

    A load report lags, so it is corrected: prefill is assumed to continue at the engine's rate,
    and requests that this host sent or saw end since the report are counted at once.
    """
    load = state.load
    if not corrected:
        return load.running + load.waiting, float(load.prefill)
    in_system = max(
        len(state.own_requests), load.running + load.waiting + state.net_sent_since_report
    )
    elapsed = max(0.0, now - state.load_at)
    left = max(0.0, load.prefill + state.tokens_since_report - elapsed * load.prefill_rate)
    own = float(state.prefill_tokens)
    return in_system, max(left, own if elapsed < FRESH_SECONDS else min(own, left))


def choose(
    candidates: Sequence[EndpointState],
    profile: RoutingProfile,
    now: float,
    rng: random.Random,
    decisions: frozenset[str] = ROUTING_DECISIONS,
) -> Choice | Failure:
    """Choose one of the endpoints that hold the item."""
    sampled = sample(candidates, profile, rng) if len(candidates) > MAX_UNSAMPLED else candidates
    usable = [state for state in sampled if is_usable(state, now)]
    if not usable and sampled is not candidates:
        usable = [state for state in candidates if is_usable(state, now)][:MAX_UNSAMPLED]
    if not usable:
        # Ejecting every endpoint would turn a shared fault into a full outage. When none is left,
        # those that are ejected only for recent failures are tried again.
        usable = [s for s in candidates if accepts_requests(s, now)]
    if not usable:
        return Failure(Kind.NO_ENDPOINT, profile.item, find_retry_delay(candidates, now))
    if "prediction" not in decisions:
        return predict(rng.choice(usable), profile, now, decisions)
    choices = [predict(state, profile, now, decisions) for state in usable]
    best = min(choices, key=lambda choice: choice.predicted_seconds)
    if "spread" not in decisions:
        return best
    # Hosts with the same lagging report would all choose the same endpoint. Near ties are broken
    # at random, which spreads their requests.
    limit = best.predicted_seconds * (1 + TIE_SHARE) + TIE_SECONDS
    near_ties = [c for c in choices if c.predicted_seconds <= limit and c.cached >= best.cached]
    return rng.choice(near_ties)


def sample(
    states: Sequence[EndpointState], profile: RoutingProfile, rng: random.Random
) -> list[EndpointState]:
    """Return random endpoints and, if there are few enough to scan, some that cache the prefix."""
    chosen = rng.sample(states, SAMPLE_SIZE)
    if profile.blocks and len(states) <= MAX_PREFIX_SCAN:
        first = profile.blocks[0]
        chosen += [state for state in states if first in state.cached_blocks][:SAMPLE_SIZE]
    return list(dict.fromkeys(chosen))


def admit(choice: Choice, profile: RoutingProfile) -> Failure | None:
    """Refuse a request that would miss its target, with the delay after which it would not.

    A request that misses its target incurs a penalty and delays those after it. A request whose
    own prefill would make it late even on an idle engine is not refused for that, as the cause is
    not load.
    """
    load = choice.state.load
    unloaded = (profile.tokens - choice.cached) / max(1.0, load.prefill_rate)
    allowed = max(
        profile.first_token_seconds * ALLOWED_SHARE[profile.priority],
        unloaded + OTHER_DOMAIN_SECONDS * 2,
    )
    excess = choice.predicted_seconds - allowed
    if excess <= 0:
        return None
    return Failure(Kind.OVERLOADED, f"predicted {choice.predicted_seconds:.2f} s", max(0.1, excess))
