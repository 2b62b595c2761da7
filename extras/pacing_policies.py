"""Policies for the simulation of engines: local choice by each host, or one paced queue for all."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from extras.engine_model import EngineShape, Load, Prompt
from peridotdock.decisions.choice import Candidate, RequestCost, choose
from peridotdock.decisions.pacing import Denial, Grant, PaceLimit, Pacer, QueuedPrompt, limit_pace

# Seconds between two checks of a host whether its queued prompt may be sent.
POLL_SECONDS = 0.002
# Seconds between sending a prompt and its first token, besides the prefill.
OVERHEAD_SECONDS = 0.03
SERVICE_SECONDS = 1.5


def estimate_cost(prompt: Prompt, shape: EngineShape) -> RequestCost:
    """Return the cost of a prompt on an engine."""
    return RequestCost(prompt.tokens, 0, shape.seconds_per_token, SERVICE_SECONDS)


class LocalPolicy:
    """Each host chooses by its own requests and by the sums that the others published earlier."""

    def __init__(self, load: Load, shape: EngineShape, rng: random.Random):
        self._shape = shape
        self._rng = rng
        self._own: list[dict[int, int]] = [{} for _ in range(load.hosts)]
        self._published: list[dict[int, int]] = [{} for _ in range(load.hosts)]
        self._received: list[dict[int, int]] = [{} for _ in range(load.hosts)]
        self._running: dict[int, int] = {}

    def decide(self, now: float, prompt: Prompt, holders: Sequence[int]) -> int | float | None:
        """Return the engine that is expected to answer first."""
        rows = [self._make_candidate(prompt.host, engine) for engine in holders]
        found = choose(rows, estimate_cost(prompt, self._shape), self._rng)
        return int(found.candidate.key) if found is not None else None

    def _make_candidate(self, host: int, engine: int) -> Candidate:
        others = [row for number, row in enumerate(self._received) if number != host]
        ahead = self._own[host].get(engine, 0) + sum(row.get(engine, 0) for row in others)
        running = self._running.get(engine, 0)
        return Candidate(str(engine), ahead, running, self._shape.slots, 0, False, 1.0, True)

    def request_sent(self, now: float, prompt: Prompt) -> None:
        """Add a prompt to the load of its engine."""
        own = self._own[prompt.host]
        own[prompt.engine] = own.get(prompt.engine, 0) + prompt.tokens
        self._running[prompt.engine] = self._running.get(prompt.engine, 0) + 1

    def first_token_received(self, now: float, prompt: Prompt) -> None:
        """Remove the prompt tokens from the load of the engine."""
        self._own[prompt.host][prompt.engine] -= prompt.tokens

    def request_ended(self, now: float, prompt: Prompt) -> None:
        """Remove a stream from the load of its engine."""
        self._running[prompt.engine] -= 1

    def publish_load(self, now: float) -> None:
        """Publish the sums; they reach the other hosts one interval later."""
        self._received = self._published
        self._published = [dict(row) for row in self._own]


@dataclass
class PendingPrompt:
    """A prompt in the queue of the pacer; ``outcome`` is None until the pacer has decided."""

    prompt: Prompt
    holders: Sequence[int]
    outcome: Grant | Denial | None = None


class PacedPolicy:
    """One queue for all hosts, paced by the Pacer of the hub."""

    def __init__(
        self, load: Load, shape: EngineShape, rng: random.Random, limit: PaceLimit | None = None
    ):
        self._load = load
        self._shape = shape
        self._limit = limit or limit_pace(load.max_pause, shape.event_seconds)
        self._pacer = Pacer(rng)
        self._queued: dict[int, PendingPrompt] = {}
        self._running: dict[int, int] = {}
        self._known_running: dict[int, int] = {}
        self._next_dispatch = -math.inf

    def decide(self, now: float, prompt: Prompt, holders: Sequence[int]) -> int | float | None:
        """Queue the prompt on the first call; later return the decision on it."""
        row = self._queued.get(prompt.id)
        if row is None:
            row = self._queued[prompt.id] = PendingPrompt(prompt, holders)
            self._pacer.add(self._make_prompt(prompt))
            self._dispatch(now)
        elif now >= self._next_dispatch:
            self._dispatch(now)
        if row.outcome is None:
            return now + POLL_SECONDS
        del self._queued[prompt.id]
        return int(row.outcome.prediction.candidate.key) if isinstance(row.outcome, Grant) else None

    def _make_prompt(self, prompt: Prompt) -> QueuedPrompt:
        work = estimate_cost(prompt, self._shape)
        route = prompt.route
        send_by = (
            prompt.arrived_at
            + route.target_seconds
            - work.tokens * work.seconds_per_token
            - OVERHEAD_SECONDS
        )
        disconnect_by = prompt.arrived_at + self._load.max_wait
        return QueuedPrompt(prompt.id, str(prompt.model), work, route.rank, send_by, disconnect_by)

    def _dispatch(self, now: float) -> None:
        decided, self._next_dispatch = self._pacer.dispatch(now, self._limit, self._find_candidates)
        for row in decided:
            self._queued[row.prompt.id].outcome = row

    def _find_candidates(self, prompt: QueuedPrompt) -> list[Candidate]:
        slots = self._shape.slots
        return [
            Candidate(
                str(engine), 0, self._known_running.get(engine, 0), slots, 0, False, 1.0, True
            )
            for engine in self._queued[prompt.id].holders
        ]

    def request_sent(self, now: float, prompt: Prompt) -> None:
        """Add a stream to the load of its engine."""
        self._running[prompt.engine] = self._running.get(prompt.engine, 0) + 1

    def first_token_received(self, now: float, prompt: Prompt) -> None:
        """Do nothing: the pacer tracks the prompts that it has granted."""

    def request_ended(self, now: float, prompt: Prompt) -> None:
        """Remove a stream from the load of its engine."""
        self._running[prompt.engine] -= 1

    def publish_load(self, now: float) -> None:
        """Pass the numbers of running streams to the pacer."""
        self._known_running = dict(self._running)
