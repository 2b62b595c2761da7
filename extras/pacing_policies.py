"""What hosts do in the model of engines: by themselves, or with prompts paced for all of them."""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from extras.engine_model import EngineShape, Load, Prompt
from peridotdock.decisions.choice import Candidate, RequestCost, choose
from peridotdock.decisions.pacing import Denial, Grant, PaceLimit, Pacer, QueuedPrompt, limit_pace

# Seconds between two questions of a host whose prompt is queued.
ASK_SECONDS = 0.002
# Seconds between sending and the first token besides reading.
SPARE_SECONDS = 0.03
SERVICE_SECONDS = 1.5


def work_of(prompt: Prompt, shape: EngineShape) -> RequestCost:
    """Return what a prompt asks of an engine."""
    return RequestCost(prompt.tokens, 0, shape.per_token, SERVICE_SECONDS)


class Alone:
    """Each host chooses by its own sends and by the others' sums of a while ago."""

    def __init__(self, load: Load, shape: EngineShape, rng: random.Random):
        self._shape = shape
        self._rng = rng
        self._own: list[dict[int, int]] = [{} for _ in range(load.hosts)]
        self._told: list[dict[int, int]] = [{} for _ in range(load.hosts)]
        self._heard: list[dict[int, int]] = [{} for _ in range(load.hosts)]
        self._running: dict[int, int] = {}

    def decide(self, now: float, prompt: Prompt, holders: Sequence[int]) -> int | float | None:
        """Return the engine that is expected to answer first."""
        rows = [self._look(prompt.host, engine) for engine in holders]
        found = choose(rows, work_of(prompt, self._shape), self._rng)
        return int(found.candidate.key) if found is not None else None

    def _look(self, host: int, engine: int) -> Candidate:
        others = [row for number, row in enumerate(self._heard) if number != host]
        ahead = self._own[host].get(engine, 0) + sum(row.get(engine, 0) for row in others)
        running = self._running.get(engine, 0)
        return Candidate(str(engine), ahead, running, self._shape.places, 0, False, 1.0, True)

    def began(self, now: float, prompt: Prompt) -> None:
        """Count a prompt."""
        own = self._own[prompt.host]
        own[prompt.engine] = own.get(prompt.engine, 0) + prompt.tokens
        self._running[prompt.engine] = self._running.get(prompt.engine, 0) + 1

    def first(self, now: float, prompt: Prompt) -> None:
        """Count a prompt as read."""
        self._own[prompt.host][prompt.engine] -= prompt.tokens

    def ended(self, now: float, prompt: Prompt) -> None:
        """Count a stream as ended."""
        self._running[prompt.engine] -= 1

    def tick(self, now: float) -> None:
        """Pass the sums on: what was told a tick ago is heard now."""
        self._heard = self._told
        self._told = [dict(row) for row in self._own]


@dataclass
class Queued:
    """A prompt that the pacer has decided on, or not yet."""

    prompt: Prompt
    holders: Sequence[int]
    outcome: Grant | Denial | None = None


class Paced:
    """One queue for all hosts."""

    def __init__(
        self, load: Load, shape: EngineShape, rng: random.Random, limit: PaceLimit | None = None
    ):
        self._load = load
        self._shape = shape
        self._limit = limit or limit_pace(load.pause, shape.event)
        self._pacer = Pacer(rng)
        self._queued: dict[int, Queued] = {}
        self._running: dict[int, int] = {}
        self._told: dict[int, int] = {}
        self._next = -math.inf

    def decide(self, now: float, prompt: Prompt, holders: Sequence[int]) -> int | float | None:
        """Ask for the prompt, or look what became of it."""
        row = self._queued.get(prompt.id)
        if row is None:
            row = self._queued[prompt.id] = Queued(prompt, holders)
            self._pacer.add(self._ask(prompt))
            self._pump(now)
        elif now >= self._next:
            self._pump(now)
        if row.outcome is None:
            return now + ASK_SECONDS
        del self._queued[prompt.id]
        return int(row.outcome.prediction.candidate.key) if isinstance(row.outcome, Grant) else None

    def _ask(self, prompt: Prompt) -> QueuedPrompt:
        work = work_of(prompt, self._shape)
        route = prompt.route
        send_by = prompt.came + route.target - work.tokens * work.seconds_per_token - SPARE_SECONDS
        leave_by = prompt.came + self._load.patience
        return QueuedPrompt(prompt.id, str(prompt.model), work, route.rank, send_by, leave_by)

    def _pump(self, now: float) -> None:
        decided, self._next = self._pacer.dispatch(now, self._limit, self._look)
        for row in decided:
            self._queued[row.prompt.id].outcome = row

    def _look(self, ask: QueuedPrompt) -> list[Candidate]:
        places = self._shape.places
        return [
            Candidate(str(engine), 0, self._told.get(engine, 0), places, 0, False, 1.0, True)
            for engine in self._queued[ask.id].holders
        ]

    def began(self, now: float, prompt: Prompt) -> None:
        """Count a stream."""
        self._running[prompt.engine] = self._running.get(prompt.engine, 0) + 1

    def first(self, now: float, prompt: Prompt) -> None:
        """Do nothing: the pacer knows what it gave."""

    def ended(self, now: float, prompt: Prompt) -> None:
        """Count a stream as ended."""
        self._running[prompt.engine] -= 1

    def tick(self, now: float) -> None:
        """Hear what runs where."""
        self._told = dict(self._running)
