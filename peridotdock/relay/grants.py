"""Asking the hub when a prompt may be sent, and to which engine; and the hub's answers.

The hub hears of every prompt, so it alone knows what each engine has to read. Nothing hangs on it:
a host that gets no word from it in time chooses for itself.
"""

import asyncio
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from peridotdock.averages import MovingAverage
from peridotdock.context import Context
from peridotdock.decisions.choice import Candidate
from peridotdock.decisions.pacing import (
    Denial,
    Grant,
    PaceControl,
    PaceLimit,
    Pacer,
    PromptAsk,
    limit_pace,
)
from peridotdock.deployment import Deployment
from peridotdock.errors import Failure, Kind
from peridotdock.relay.asks import ModelWish, PromptPart, RelayAsk
from peridotdock.relay.caller import CallerEnd
from peridotdock.relay.endpoint import EndpointState, item_name
from peridotdock.relay.fleet import RelayFleet
from peridotdock.requests import Loss, State, lose
from peridotdock.schema.messages import Grant as GrantFrame
from peridotdock.schema.messages import GrantDropped, GrantWanted
from peridotdock.turns import Turns

# Seconds that the hub's first word may take, and turns of this host's loop beside: two trips
# between failure domains and the hub's own turn.
WORD_SECONDS = 0.03
WORD_TURNS = 3
# Seconds for which a hub is not asked that gave no word, and at most, as it doubles.
REST_SECONDS = 0.25
LONGEST_REST = 2.0
# Seconds between two looks whether the hub that holds a queued prompt is still there.
LOOK_SECONDS = 0.2
# Seconds between the sending of a prompt and its first token besides reading: a step of the engine,
# the way there and back, and to the caller.
WAY_SECONDS = 0.03
# Seconds after which a caller whose prompt waits for too long may come back, at least and at most.
SHORTEST_RETRY = 0.2
LONGEST_RETRY = 4.0
# Spread of that time, so that those that were turned away together don't come back together.
RETRY_SPREAD = 0.5

# Seconds over which what is held back is averaged, and the step of prompt tokens that is told.
QUEUED_SECONDS = 2.0
QUEUED_STEP = 500

SendFrame = Callable[[str, GrantFrame], None]
# Gives the seconds until an endpoint may get a request, and between two; 0 without a limit.
FindPermit = Callable[[EndpointState], tuple[float, float]]


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a host asked for: where the answer goes, and who may serve the prompt."""

    host: str
    number: int
    service: str
    wish: ModelWish
    avoid: frozenset[str]


@dataclass(frozen=True, slots=True)
class Granted:
    """The endpoint that a prompt is to be sent to, and the seconds of reading before it there."""

    endpoint: str
    ahead: float


class GrantServer:
    """The hub's part: the queue of prompts of all hosts, by service."""

    def __init__(
        self, ctx: Context, fleet: RelayFleet, send: SendFrame, find_domain: Callable[[str], str]
    ):
        self._ctx = ctx
        self._fleet = fleet
        self._send = send
        self._find_domain = find_domain
        self._pacers: dict[str, Pacer] = {}
        self._wanted: dict[tuple[str, int], Wanted] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._pauses: Mapping[str, float] = {}
        self._controls: dict[str, PaceControl] = {}
        self._queued: dict[str, MovingAverage] = {}
        self.find_permit: FindPermit = lambda state: (0.0, 0.0)
        self.spend_permit: Callable[[EndpointState], None] = lambda state: None

    def take_deployment(self, deployment: Deployment) -> None:
        """Take in the shortest pause that each service's streams may have."""
        self._pauses = shortest_pauses(deployment)

    def limit(self, service: str) -> PaceLimit:
        """Return how much a service's engines may be given; nothing is bound without a pause."""
        pause = self._pauses.get(service)
        if pause is None:
            return PaceLimit(0.0, math.inf)
        factor = self._control(service).factor
        return limit_pace(pause, self._fleet.event_seconds(service), factor)

    def _control(self, service: str) -> PaceControl:
        return self._controls.setdefault(service, PaceControl())

    def note_gap(self, service: str, key: str, gap: float) -> None:
        """Learn from the time between two events of a stream of this host's own."""
        pacer, pause = self._pacers.get(service), self._pauses.get(service)
        if pacer is not None and pause is not None:
            limit = self.limit(service)
            now = self._ctx.clock.monotonic()
            given = pacer.given(key, now, limit)
            self._control(service).note_gap(now, gap, pause, given, limit)

    def take(self, host: str, frame: GrantWanted) -> None:
        """Take a host's prompt into the queue, and answer at once where it can be."""
        now = self._ctx.clock.monotonic()
        if len(frame.parts) != len(frame.part_tokens):
            self._ctx.timeline.add("bad_frame", "WARNING", detail=f"{host}: parts without tokens")
            return
        wish = read_wish(frame)
        key = host, frame.number
        self._wanted[key] = Wanted(host, frame.number, frame.service, wish, frozenset(frame.avoid))
        work = self._fleet.estimate_work(frame.service, wish)
        first = now + frame.spare / 1000 - work.tokens * work.per_token - WAY_SECONDS
        item = item_name(wish)
        stays = now + frame.stays / 1000
        pacer = self._pacers.setdefault(frame.service, Pacer(self._ctx.rng))
        pacer.add(PromptAsk(key, item, work, frame.rank, first, stays, bool(frame.avoid)))
        self._pump(frame.service)
        if key in self._wanted:
            self._send(host, GrantFrame("grant", frame.number, "", 0))

    def drop(self, host: str, frame: GrantDropped) -> None:
        """Forget a prompt that its host does not wait for any more."""
        wanted = self._wanted.pop((host, frame.number), None)
        if wanted is not None:
            self._pacers[wanted.service].drop((host, frame.number))

    def queued(self) -> dict[str, int]:
        """Return the prompt tokens that are held back, by model, over some seconds."""
        now = self._ctx.clock.monotonic()
        tokens: dict[str, int] = {}
        for wanted in self._wanted.values():
            model = wanted.wish.model
            tokens[model] = tokens.get(model, 0) + wanted.wish.prompt_tokens
        for model in tokens:
            self._queued.setdefault(model, MovingAverage(QUEUED_SECONDS))
        found = {}
        for model, average in list(self._queued.items()):
            value = average.look(tokens.get(model, 0), now)
            if value >= QUEUED_STEP:
                found[model] = int(value // QUEUED_STEP * QUEUED_STEP)
            elif model not in tokens:
                del self._queued[model]
        return found

    def _pump(self, service: str) -> None:
        now = self._ctx.clock.monotonic()
        pacer = self._pacers[service]
        pacer.forget(self._fleet.states)
        decided, again = pacer.pump(now, self.limit(service), self._look)
        for row in decided:
            self._answer(row)
        timer = self._timers.pop(service, None)
        if timer is not None:
            timer.cancel()
        if again < math.inf:
            loop = asyncio.get_running_loop()
            self._timers[service] = loop.call_later(max(0.0, again - now), self._pump, service)

    def _answer(self, row: Grant | Denial) -> None:
        wanted = self._wanted.pop(row.ask.id)
        if isinstance(row, Denial):
            frame = GrantFrame("grant", wanted.number, "", max(1, int(row.wait * 1000)))
        else:
            key = row.found.candidate.key
            state = self._fleet.states.get(key)
            if state is not None:
                state.add_cached_parts(wanted.wish)
                self.spend_permit(state)
            ahead = row.found.candidate.ahead * row.ask.work.per_token
            frame = GrantFrame("grant", wanted.number, key, 0, int(1000 * ahead))
        self._send(wanted.host, frame)

    def _look(self, ask: PromptAsk) -> list[Candidate]:
        wanted = self._wanted[ask.id]
        states = self._fleet.usable(wanted.service, wanted.wish)
        domain = self._find_domain(wanted.host)
        rows = self._fleet.hub_candidates(states, wanted.wish, wanted.avoid, domain)
        return [self._with_permit(row) if row.limited else row for row in rows]

    def _with_permit(self, row: Candidate) -> Candidate:
        """Return an endpoint that has named a limit with when it may get a prompt."""
        wait, gap = self.find_permit(self._fleet.states[row.key])
        return replace(row, permit_wait=wait, permit_gap=gap)


class Question:
    """A prompt that this host has asked the hub for: it is told that it waits, or decided on."""

    def __init__(self, hub: str, number: int):
        self.hub = hub
        self.number = number
        self._word: asyncio.Future[GrantFrame] = asyncio.get_running_loop().create_future()

    def hear(self, word: GrantFrame) -> None:
        """Take the hub's word; a newer one takes the place of one that was not looked at."""
        if self._word.done():
            self._word = asyncio.get_running_loop().create_future()
        self._word.set_result(word)

    async def next_word(self, caller: CallerEnd, seconds: float) -> GrantFrame | None:
        """Return the next word, or None when the time passes or the caller leaves."""
        if not self._word.done():
            await asyncio.wait(
                {self._word, caller.left},
                timeout=seconds,
                return_when=asyncio.FIRST_COMPLETED,
            )
        if not self._word.done():
            return None
        word = self._word.result()
        self._word = asyncio.get_running_loop().create_future()
        return word


class Grants:
    """This host's part: asks the hub, and waits for its word."""

    def __init__(
        self,
        ctx: Context,
        host: str,
        find_hub: Callable[[], str],
        send: Callable[[str, object], bool],
        fleet: RelayFleet,
        turns: Turns,
        find_domain: Callable[[str], str],
    ):
        self._ctx = ctx
        self._host = host
        self._find_hub = find_hub
        self._send = send
        self._turns = turns
        self.server = GrantServer(ctx, fleet, self._answer, find_domain)
        self._number = 0
        self._questions: dict[int, Question] = {}
        self._rest = REST_SECONDS
        self._rests_until = 0.0

    def take(self, host: str, frame: GrantWanted | GrantFrame | GrantDropped) -> None:
        """Take a frame of another host."""
        if isinstance(frame, GrantWanted):
            self.server.take(host, frame)
        elif isinstance(frame, GrantDropped):
            self.server.drop(host, frame)
        else:
            self._hear(frame)

    def _answer(self, host: str, frame: GrantFrame) -> None:
        if host == self._host:
            self._hear(frame)
        else:
            self._send(host, frame)

    def _hear(self, frame: GrantFrame) -> None:
        question = self._questions.get(frame.number)
        if question is not None:
            question.hear(frame)

    async def ask(
        self, ask: RelayAsk, service: str, avoid: frozenset[str], caller: CallerEnd
    ) -> Granted | Failure | None:
        """Return the endpoint to send a prompt to, or None where this host is to choose itself."""
        hub = self._find_hub()
        if hub != self._host and self._ctx.clock.monotonic() < self._rests_until:
            return None
        self._number += 1
        question = Question(hub, self._number)
        self._questions[question.number] = question
        try:
            frame = write_wanted(question.number, ask, service, avoid, self._ctx.clock.monotonic())
            if not self._deliver(hub, frame):
                return None
            word = await self._wait_for_word(question, ask, caller)
        finally:
            del self._questions[question.number]
        if word is None or caller.gone():
            self._deliver(hub, GrantDropped("grant_dropped", question.number))
        if caller.gone():
            return lose(State.ADMITTED, Loss.CALLER_GONE)
        if word is None:
            return None
        return Granted(word.endpoint, word.ahead / 1000) if word.endpoint else self._deny(word.wait)

    def _deliver(self, hub: str, frame: GrantWanted | GrantDropped) -> bool:
        """Pass a frame to the hub, which may be this host; false where there is no way to it."""
        if hub != self._host:
            return self._send(hub, frame)
        self.take(hub, frame)
        return True

    async def _wait_for_word(
        self, question: Question, ask: RelayAsk, caller: CallerEnd
    ) -> GrantFrame | None:
        """Return the hub's decision; None when it is silent, or gone while the prompt is queued."""
        word = await question.next_word(caller, WORD_SECONDS + WORD_TURNS * self._turns.usual())
        if word is None:
            if not caller.gone():
                self._note_silence(question.hub)
            return None
        self._rest = REST_SECONDS
        while not is_decided(word):
            left = ask.first_by - self._ctx.clock.monotonic()
            if left <= 0 or caller.gone() or question.hub != self._find_hub():
                return None
            word = await question.next_word(caller, min(left, LOOK_SECONDS)) or word
        return word

    def _deny(self, wait: int) -> Failure:
        """Turn a prompt away, with the time after which those before it have been read."""
        spread = 1 + RETRY_SPREAD * (self._ctx.rng.random() - 0.5)
        seconds = min(LONGEST_RETRY, max(SHORTEST_RETRY, wait / 1000 * spread))
        return Failure(Kind.OVERLOADED, f"a wait of {wait / 1000:.2f} s at all engines", seconds)

    def _note_silence(self, hub: str) -> None:
        """Leave a silent hub alone for a while: each prompt would wait for its word in vain."""
        self._rests_until = self._ctx.clock.monotonic() + self._rest
        self._ctx.timeline.add("hub_silent", "WARNING", detail=f"{hub}, for {self._rest:.2f} s")
        self._rest = min(LONGEST_REST, 2 * self._rest)


def is_decided(word: GrantFrame) -> bool:
    """Tell whether a prompt is granted or denied, and not queued."""
    return bool(word.endpoint) or word.wait > 0


def write_wanted(
    number: int, ask: RelayAsk, service: str, avoid: frozenset[str], now: float
) -> GrantWanted:
    """Return the frame that asks for a prompt."""
    wish = ask.head.wish
    return GrantWanted(
        "grant_wanted",
        number,
        service,
        wish.model,
        wish.adapter,
        wish.prompt_tokens,
        [part.id for part in wish.parts],
        [part.tokens for part in wish.parts],
        ask.rank,
        int(1000 * (ask.began + ask.route.target - now)),
        int(1000 * (ask.first_by - now)),
        sorted(avoid),
    )


def read_wish(frame: GrantWanted) -> ModelWish:
    """Return what a frame asks for."""
    rows = zip(frame.parts, frame.part_tokens, strict=True)
    parts = tuple(PromptPart(name, tokens) for name, tokens in rows)
    return ModelWish(frame.model, frame.adapter, frame.tokens, 0, parts)


def shortest_pauses(deployment: Deployment) -> dict[str, float]:
    """Return the shortest pause that streams of each service may have."""
    found: dict[str, float] = {}
    for prefixes in deployment.routes.values():
        for route in prefixes.values():
            if route.streams and route.longest_pause > 0:
                for share in route.shares:
                    pause = min(found.get(share.service, math.inf), route.longest_pause)
                    found[share.service] = pause
    return found
