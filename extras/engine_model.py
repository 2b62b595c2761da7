"""A simulation of engines in virtual time, with chunked prefill between the steps of decoding.

``simulate`` sends a seeded load through a policy that stands for the hosts, and returns the shares
of callers that got their first token in time and their events without long pauses. A simulated
second takes some hundredths of a second, so that policies can be compared over many seeds before
they run in real processes.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

# One-way network delay between a host and an engine, in seconds.
TRANSIT_SECONDS = 0.001
# Seconds that the simulation goes on after the last arrival.
TAIL_SECONDS = 3.0
# Mean share of the shared part of a prompt that is cached on the engine.
CACHED_SHARE = 0.65


@dataclass(frozen=True)
class EngineShape:
    """The speed of an engine: seconds per step and per prompt token, prompt tokens per step.

    Each step generates one token for each running stream, and prefills up to ``chunk_tokens``. An
    event of a stream holds ``event_tokens``.
    """

    step_seconds: float = 0.00523
    seconds_per_token: float = 1 / 38_400
    chunk_tokens: int = 2048
    slots: int = 64
    event_tokens: int = 6

    @property
    def event_seconds(self) -> float:
        """Return the seconds between two events of a stream while no prompt is prefilled."""
        return self.step_seconds * self.event_tokens


@dataclass(frozen=True)
class Route:
    """Requests of one kind: their rate per second, their sizes, and the target of their callers."""

    rate: float
    prompt_tokens: float
    spread: float
    max_tokens: float
    shared_tokens: float
    events: float
    rank: int
    target_seconds: float
    worth: float
    model_weights: Sequence[float]


@dataclass
class Prompt:
    """One request and its progress; times are in seconds of virtual time."""

    id: int
    route: Route
    arrived_at: float
    host: int
    model: int
    tokens: int
    output_events: int
    engine: int = -1
    sent_at: float = 0.0
    uncomputed_tokens: int = 0
    generated_tokens: int = 0
    first_token_at: float | None = None
    last_event_at: float = 0.0
    longest_pause: float = 0.0
    denied: bool = False


class Policy(Protocol):
    """The behaviour of the hosts."""

    def decide(self, now: float, prompt: Prompt, holders: Sequence[int]) -> int | float | None:
        """Return the number of an engine (int), a time to retry (float), or None to refuse."""

    def request_sent(self, now: float, prompt: Prompt) -> None:
        """Record that a prompt is sent."""

    def first_token_received(self, now: float, prompt: Prompt) -> None:
        """Record a first token."""

    def request_ended(self, now: float, prompt: Prompt) -> None:
        """Record the end of a stream."""

    def publish_load(self, now: float) -> None:
        """Publish the load of each host on the engines to the other hosts."""


@dataclass
class Engine:
    """One engine, with its waiting prompts and running streams."""

    shape: EngineShape
    waiting: list[Prompt] = field(default_factory=list)
    running: list[Prompt] = field(default_factory=list)
    active: bool = False

    def begin_step(self) -> tuple[float, list[Prompt]] | None:
        """Return the seconds of the next step and the prompts it finishes; None if it is idle."""
        left, done = self.shape.chunk_tokens, []
        self.waiting.sort(key=lambda prompt: (prompt.route.rank, prompt.sent_at))
        while left and self.waiting and len(self.running) + len(done) < self.shape.slots:
            prompt = self.waiting[0]
            amount = min(left, prompt.uncomputed_tokens)
            prompt.uncomputed_tokens -= amount
            left -= amount
            if prompt.uncomputed_tokens:
                break
            done.append(self.waiting.pop(0))
        if left == self.shape.chunk_tokens and not self.running and not done:
            return None
        prefill = (self.shape.chunk_tokens - left) * self.shape.seconds_per_token
        return self.shape.step_seconds + prefill, done


@dataclass(frozen=True)
class SimulationResult:
    """The result of a load: the earned share of its worth, and the share of each outcome."""

    worth: float
    shares: Mapping[str, float]


@dataclass(frozen=True)
class Load:
    """A load of requests; ``holders`` are the engines of each model. Times are in seconds."""

    routes: Sequence[Route]
    holders: Sequence[Sequence[int]]
    seconds: float = 8.0
    hosts: int = 6
    max_pause: float = 0.15
    max_wait: float = 2.0
    publish_interval: float = 0.15


def make_prompts(load: Load, rng: random.Random) -> list[Prompt]:
    """Return the requests of a simulation, sorted by arrival."""
    found, numbers = [], itertools.count()
    for route in load.routes:
        at = rng.expovariate(route.rate)
        while at < load.seconds:
            size = draw_size(rng, route.prompt_tokens, route.spread, route.max_tokens)
            tokens = int(size + route.shared_tokens * (1 - CACHED_SHARE))
            events = max(1, round(draw_size(rng, route.events, 0.7, 3.4 * route.events)))
            model = rng.choices(range(len(route.model_weights)), route.model_weights)[0]
            host = rng.randrange(load.hosts)
            found.append(Prompt(next(numbers), route, at, host, model, tokens, events))
            at += rng.expovariate(route.rate)
    return sorted(found, key=lambda prompt: prompt.arrived_at)


def draw_size(rng: random.Random, mean: float, spread: float, max_size: float) -> float:
    """Draw a size from a log-normal distribution with standard deviation ``spread * mean``."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    return min(max_size, rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma))


class Simulation:
    """One simulation: a queue of events in virtual time."""

    def __init__(self, load: Load, shape: EngineShape, policy: Policy, engines: int):
        self._load = load
        self._policy = policy
        self._engines = [Engine(shape) for _ in range(engines)]
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._numbers = itertools.count()

    def run(self, prompts: Sequence[Prompt]) -> None:
        """Simulate all requests."""
        for prompt in prompts:
            self._schedule(prompt.arrived_at, self._on_prompt, prompt)
        self._schedule(self._load.publish_interval, self._tick, None)
        end = self._load.seconds + TAIL_SECONDS
        while self._events:
            now, _, act, what = heapq.heappop(self._events)
            if now > end:
                return
            act(now, what)

    def _schedule(self, when: float, act: Callable[..., None], what: Any) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), act, what))

    def _tick(self, now: float, _: None) -> None:
        self._policy.publish_load(now)
        self._schedule(now + self._load.publish_interval, self._tick, None)

    def _on_prompt(self, now: float, prompt: Prompt) -> None:
        found = self._policy.decide(now, prompt, self._load.holders[prompt.model])
        if found is None:
            prompt.denied = True
        elif isinstance(found, float):
            self._schedule(found, self._on_prompt, prompt)
        else:
            prompt.engine, prompt.sent_at, prompt.uncomputed_tokens = found, now, prompt.tokens
            self._policy.request_sent(now, prompt)
            self._schedule(now + TRANSIT_SECONDS, self._arrive, prompt)

    def _arrive(self, now: float, prompt: Prompt) -> None:
        engine = self._engines[prompt.engine]
        engine.waiting.append(prompt)
        if not engine.active:
            engine.active = True
            self._step(now, engine)

    def _step(self, now: float, engine: Engine) -> None:
        found = engine.begin_step()
        if found is None:
            engine.active = False
            return
        seconds, done = found
        self._schedule(now + seconds, self._end_step, (engine, done))

    def _end_step(self, now: float, what: tuple[Engine, list[Prompt]]) -> None:
        engine, done = what
        going = []
        for prompt in engine.running + done:
            prompt.generated_tokens += 1
            last = prompt.generated_tokens >= prompt.output_events * engine.shape.event_tokens
            if prompt.first_token_at is None:
                prompt.first_token_at = prompt.last_event_at = now
                self._policy.first_token_received(now + TRANSIT_SECONDS, prompt)
            elif last or prompt.generated_tokens % engine.shape.event_tokens == 0:
                prompt.longest_pause = max(prompt.longest_pause, now - prompt.last_event_at)
                prompt.last_event_at = now
            if last:
                self._policy.request_ended(now + TRANSIT_SECONDS, prompt)
            else:
                going.append(prompt)
        engine.running = going
        self._step(now, engine)


def summarise(prompts: Sequence[Prompt], load: Load) -> SimulationResult:
    """Return the result of the requests; a late answer earns half of its worth."""
    counts: Counter[str] = Counter()
    worth = 0.0
    for prompt in prompts:
        outcome = classify(prompt, load)
        counts[outcome] += 1
        worth += prompt.route.worth * {"in time": 1.0, "first": 0.5, "pause": 0.5}.get(outcome, 0)
    total = sum(prompt.route.worth for prompt in prompts)
    return SimulationResult(worth / total, {key: n / len(prompts) for key, n in counts.items()})


def classify(prompt: Prompt, load: Load) -> str:
    """Return the outcome of one request."""
    if prompt.denied:
        return "denied"
    waited = (
        math.inf if prompt.first_token_at is None else prompt.first_token_at - prompt.arrived_at
    )
    if waited > load.max_wait:
        return "left"
    if waited > prompt.route.target_seconds:
        return "first"
    return "pause" if prompt.longest_pause > load.max_pause else "in time"


def simulate(
    load: Load, shape: EngineShape, policy: Callable[[random.Random], Policy], seed: int
) -> SimulationResult:
    """Simulate a load with a policy and return the result."""
    rng = random.Random(seed)
    prompts = make_prompts(load, rng)
    engines = 1 + max(max(row) for row in load.holders if row)
    Simulation(load, shape, policy(rng), engines).run(prompts)
    return summarise(prompts, load)
