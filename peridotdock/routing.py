"""Which endpoint a request goes to: the one predicted to give its first token soonest.

Pure functions over what the fleet knows. Each part of the prediction is kept only because
switching it off made attainment worse; docs/design/routing.md has the figures. Blending many
weighted signals into one score, as "The Router" does, was weighed there against a prediction
in seconds, which can also be held against the request's own target.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from peridotdock.errors import Failure, Kind
from peridotdock.fleet import STALE_SECONDS, EndpointState
from peridotdock.prefix import BLOCK_TOKENS
from peridotdock.requests import Wish

NEAR_SECONDS = 0.0002
FAR_SECONDS = 0.002
STALE_PENALTY_SECONDS = 0.2
FRESH_SECONDS = 1.0
SAMPLE = 3
SAMPLE_ABOVE = 9
SCAN_MOST = 64
TIE_SECONDS = 0.01
TIE_SHARE = 0.1
UNLOADED_RETRY_SECONDS = 2.0
EVERY_DECISION = frozenset({"affinity", "correction", "prediction", "spread"})
# Share of the target that the predicted wait may take, by priority 0 to 9. Low classes leave
# room, so that a burst sheds them first and what was promised to high classes still holds.
ALLOWED_SHARE = (0.5, 0.55, 0.6, 0.65, 0.7, 0.75, 0.85, 0.95, 1.0, 1.05)


@dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint and what was predicted for it: seconds to the first token, cached tokens."""

    state: EndpointState
    predicted: float
    cached: int


def usable(state: EndpointState, now: float) -> bool:
    """Tell whether new work may go to an endpoint."""
    return may_choose(state, now) and state.excluded_until <= now


def may_choose(state: EndpointState, now: float) -> bool:
    """Tell whether an endpoint may get new work although it failed lately."""
    return not state.down and not state.leaving and state.backoff_until <= now


def find_retry(
    candidates: Sequence[EndpointState], now: float, least: float = UNLOADED_RETRY_SECONDS
) -> float:
    """Return when to come back where no endpoint takes work: when the first has rested."""
    rests = [s.backoff_until - now for s in candidates if not s.down and not s.leaving]
    return max(least, min(rests, default=0.0))


def expect_cached(state: EndpointState, wish: Wish, now: float) -> int:
    """Return the prompt tokens thought to be cached there, cut by the trust in the hints."""
    hits = state.count_cached_blocks(wish.blocks, now) * BLOCK_TOKENS
    return min(wish.tokens, int(hits * state.trust))


def predict(state: EndpointState, wish: Wish, now: float, using: frozenset[str]) -> Choice:
    """Predict the time to the first token on one endpoint."""
    cached = expect_cached(state, wish, now) if "affinity" in using else 0
    in_system, prefill = estimate_load(state, now, "correction" in using)
    load = state.load
    over = max(0, in_system + 1 - load.batch_limit)
    wait = over * state.mean_seconds / max(1, load.batch_limit)
    fill = (prefill + wish.tokens - cached) / max(1.0, load.prefill_rate)
    distance = NEAR_SECONDS if state.domain == wish.domain else FAR_SECONDS
    stale = STALE_PENALTY_SECONDS if now - state.load_at > STALE_SECONDS else 0.0
    return Choice(state, wait + fill + distance + stale, cached)


def estimate_load(state: EndpointState, now: float, corrected: bool) -> tuple[int, float]:
    """Return requests in the engine and prompt tokens before a new one.

    A report lags, so what it says is carried forward: prefill goes on at the engine's rate, and
    what this host sent or saw end since the report's time is counted at once.
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
    wish: Wish,
    now: float,
    rng: random.Random,
    using: frozenset[str] = EVERY_DECISION,
) -> Choice | Failure:
    """Choose among the endpoints that hold the item."""
    near_ones = sample(candidates, wish, rng) if len(candidates) > SAMPLE_ABOVE else candidates
    open_ones = [state for state in near_ones if usable(state, now)]
    if not open_ones and near_ones is not candidates:
        open_ones = [state for state in candidates if usable(state, now)][:SAMPLE_ABOVE]
    if not open_ones:
        # Ejecting all would turn a shared fault into an outage of our own making: when none is
        # left, those that only failed lately are tried again.
        open_ones = [s for s in candidates if may_choose(s, now)]
    if not open_ones:
        return Failure(Kind.NO_ENDPOINT, wish.item, find_retry(candidates, now))
    if "prediction" not in using:
        return predict(rng.choice(open_ones), wish, now, using)
    choices = [predict(state, wish, now, using) for state in open_ones]
    best = min(choices, key=lambda choice: choice.predicted)
    if "spread" not in using:
        return best
    # Hosts that see the same lagging report would all send to the same one; near ties are
    # broken at random, so they spread.
    limit = best.predicted * (1 + TIE_SHARE) + TIE_SECONDS
    near = [c for c in choices if c.predicted <= limit and c.cached >= best.cached]
    return rng.choice(near)


def sample(states: Sequence[EndpointState], wish: Wish, rng: random.Random) -> list[EndpointState]:
    """Return a few at random and the one that seems to hold most of the prefix."""
    few = rng.sample(states, SAMPLE)
    if wish.blocks and len(states) <= SCAN_MOST:
        first = wish.blocks[0]
        few += [state for state in states if first in state.cached_blocks][:SAMPLE]
    return list(dict.fromkeys(few))


def admit(choice: Choice, wish: Wish) -> Failure | None:
    """Refuse now what would miss its target anyway, with the time after which it would not.

    A request that misses is a penalty and delays those after it. Its own prefill is not held
    against it when it would be late even on an idle engine: that is not a matter of load.
    """
    load = choice.state.load
    alone = (wish.tokens - choice.cached) / max(1.0, load.prefill_rate)
    allowed = max(wish.first_token * ALLOWED_SHARE[wish.priority], alone + FAR_SECONDS * 2)
    late = choice.predicted - allowed
    if late <= 0:
        return None
    return Failure(Kind.OVERLOADED, f"predicted {choice.predicted:.2f} s", max(0.1, late))
