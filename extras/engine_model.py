"""A model of engines in virtual time: prompts read in pieces between the tokens of streams.

``play`` sends a seeded load through a policy that stands for the hosts, and says how many callers
got their first token in time and their events without long pauses. A second takes some
hundredths, so policies are compared over many seeds here before they meet real processes.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

# Seconds from a host to an engine, one way.
WAY_SECONDS = 0.001
# Seconds after the last arrival until the play ends.
AFTER_SECONDS = 3.0
# Share of its prompt that a caller shares with others and that is kept on the engine, on average.
KEPT_SHARE = 0.65


@dataclass(frozen=True)
class EngineShape:
    """What an engine does: seconds a step, prompt tokens a second, tokens read in one step.

    An event of a stream holds ``event_tokens``; each step makes one token of each stream.
    """

    step: float = 0.00523
    per_token: float = 1 / 38_400
    piece: int = 2048
    places: int = 64
    event_tokens: int = 6

    @property
    def event(self) -> float:
        """Return the seconds between two events while nothing is read."""
        return self.step * self.event_tokens


@dataclass(frozen=True)
class Route:
    """Requests of one kind: how many a second, their sizes, and what their callers accept."""

    rate: float
    prompt: float
    spread: float
    most: float
    shared: float
    events: float
    rank: int
    target: float
    worth: float
    models: Sequence[float]


@dataclass
class Prompt:
    """One request on its way."""

    id: int
    route: Route
    came: float
    host: int
    model: int
    tokens: int
    output: int
    engine: int = -1
    sent: float = 0.0
    unread: int = 0
    made: int = 0
    first: float | None = None
    last: float = 0.0
    pause: float = 0.0
    denied: bool = False


class Policy(Protocol):
    """What the hosts do. ``decide`` gives the engine, or a time to ask again, or None to refuse."""

    def decide(self, now: float, prompt: Prompt, holders: Sequence[int]) -> int | float | None:
        """Return an engine's number (int), when to ask again (float), or None."""

    def began(self, now: float, prompt: Prompt) -> None:
        """Note that a prompt is sent."""

    def first(self, now: float, prompt: Prompt) -> None:
        """Note a first token."""

    def ended(self, now: float, prompt: Prompt) -> None:
        """Note the end of a stream."""

    def tick(self, now: float) -> None:
        """Tell other hosts what this one has on engines."""


@dataclass
class Engine:
    """One engine: prompts that wait, streams that run."""

    shape: EngineShape
    waiting: list[Prompt] = field(default_factory=list)
    running: list[Prompt] = field(default_factory=list)
    active: bool = False

    def begin_step(self) -> tuple[float, list[Prompt]] | None:
        """Return how long the next step takes and whose prompts it finishes, None when idle."""
        left, done = self.shape.piece, []
        self.waiting.sort(key=lambda prompt: (prompt.route.rank, prompt.sent))
        while left and self.waiting and len(self.running) + len(done) < self.shape.places:
            prompt = self.waiting[0]
            amount = min(left, prompt.unread)
            prompt.unread -= amount
            left -= amount
            if prompt.unread:
                break
            done.append(self.waiting.pop(0))
        if left == self.shape.piece and not self.running and not done:
            return None
        reading = (self.shape.piece - left) * self.shape.per_token
        return self.shape.step + reading, done


@dataclass(frozen=True)
class Played:
    """What became of a load: worth earned over worth asked for, and shares of the requests."""

    worth: float
    shares: Mapping[str, float]


@dataclass(frozen=True)
class Load:
    """A load and where its models are held: for each model, the engines that have it."""

    routes: Sequence[Route]
    holders: Sequence[Sequence[int]]
    seconds: float = 8.0
    hosts: int = 6
    pause: float = 0.15
    patience: float = 2.0
    tick: float = 0.15


def make_prompts(load: Load, rng: random.Random) -> list[Prompt]:
    """Return the requests of a play."""
    found, numbers = [], itertools.count()
    for route in load.routes:
        at = rng.expovariate(route.rate)
        while at < load.seconds:
            size = draw_size(rng, route.prompt, route.spread, route.most)
            tokens = int(size + route.shared * (1 - KEPT_SHARE))
            events = max(1, round(draw_size(rng, route.events, 0.7, 3.4 * route.events)))
            model = rng.choices(range(len(route.models)), route.models)[0]
            host = rng.randrange(load.hosts)
            found.append(Prompt(next(numbers), route, at, host, model, tokens, events))
            at += rng.expovariate(route.rate)
    return sorted(found, key=lambda prompt: prompt.came)


def draw_size(rng: random.Random, mean: float, spread: float, most: float) -> float:
    """Draw a size whose logarithm is normal; ``spread`` is its deviation over its mean."""
    sigma = math.sqrt(math.log(1 + spread * spread))
    return min(most, rng.lognormvariate(math.log(mean) - sigma * sigma / 2, sigma))


class Play:
    """One play: a queue of what happens next, in virtual time."""

    def __init__(self, load: Load, shape: EngineShape, policy: Policy, engines: int):
        self._load = load
        self._policy = policy
        self._engines = [Engine(shape) for _ in range(engines)]
        self._events: list[tuple[float, int, Callable[..., None], Any]] = []
        self._numbers = itertools.count()

    def run(self, prompts: Sequence[Prompt]) -> None:
        """Play all requests."""
        for prompt in prompts:
            self._at(prompt.came, self._come, prompt)
        self._at(self._load.tick, self._tick, None)
        end = self._load.seconds + AFTER_SECONDS
        while self._events:
            now, _, act, what = heapq.heappop(self._events)
            if now > end:
                return
            act(now, what)

    def _at(self, when: float, act: Callable[..., None], what: Any) -> None:
        heapq.heappush(self._events, (when, next(self._numbers), act, what))

    def _tick(self, now: float, _: None) -> None:
        self._policy.tick(now)
        self._at(now + self._load.tick, self._tick, None)

    def _come(self, now: float, prompt: Prompt) -> None:
        found = self._policy.decide(now, prompt, self._load.holders[prompt.model])
        if found is None:
            prompt.denied = True
        elif isinstance(found, float):
            self._at(found, self._come, prompt)
        else:
            prompt.engine, prompt.sent, prompt.unread = found, now, prompt.tokens
            self._policy.began(now, prompt)
            self._at(now + WAY_SECONDS, self._arrive, prompt)

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
        self._at(now + seconds, self._end_step, (engine, done))

    def _end_step(self, now: float, what: tuple[Engine, list[Prompt]]) -> None:
        engine, done = what
        going = []
        for prompt in engine.running + done:
            prompt.made += 1
            last = prompt.made >= prompt.output * engine.shape.event_tokens
            if prompt.first is None:
                prompt.first = prompt.last = now
                self._policy.first(now + WAY_SECONDS, prompt)
            elif last or prompt.made % engine.shape.event_tokens == 0:
                prompt.pause = max(prompt.pause, now - prompt.last)
                prompt.last = now
            if last:
                self._policy.ended(now + WAY_SECONDS, prompt)
            else:
                going.append(prompt)
        engine.running = going
        self._step(now, engine)


def judge(prompts: Sequence[Prompt], load: Load) -> Played:
    """Return what became of the requests; a late answer is worth half."""
    counts: Counter[str] = Counter()
    worth = 0.0
    for prompt in prompts:
        outcome = judge_one(prompt, load)
        counts[outcome] += 1
        worth += prompt.route.worth * {"in time": 1.0, "first": 0.5, "pause": 0.5}.get(outcome, 0)
    total = sum(prompt.route.worth for prompt in prompts)
    return Played(worth / total, {key: n / len(prompts) for key, n in counts.items()})


def judge_one(prompt: Prompt, load: Load) -> str:
    """Return what became of one request."""
    if prompt.denied:
        return "denied"
    waited = math.inf if prompt.first is None else prompt.first - prompt.came
    if waited > load.patience:
        return "left"
    if waited > prompt.route.target:
        return "first"
    return "pause" if prompt.pause > load.pause else "in time"


def play(
    load: Load, shape: EngineShape, policy: Callable[[random.Random], Policy], seed: int
) -> Played:
    """Play a load with a policy and judge it."""
    rng = random.Random(seed)
    prompts = make_prompts(load, rng)
    engines = 1 + max(max(row) for row in load.holders if row)
    Play(load, shape, policy(rng), engines).run(prompts)
    return judge(prompts, load)
