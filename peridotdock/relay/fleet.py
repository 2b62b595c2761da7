"""All endpoints as one host knows them, and what it has learnt of services and models."""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import replace

from peridotdock.blocklist import EndpointStart
from peridotdock.clock import Clock
from peridotdock.decisions.choice import (
    STEP_SECONDS,
    Candidate,
    RequestCost,
    estimate_cached_tokens,
)
from peridotdock.decisions.permits import permit_interval
from peridotdock.deployment import Model
from peridotdock.relay.requests import EndpointEntry, InferenceSpec
from peridotdock.relay.endpoint import (
    NO_LOAD,
    EndpointState,
    Flight,
    HeardNews,
    OthersLoad,
    cache_place,
    name_wish,
    next_start,
    out_of_date,
)
from peridotdock.rendezvous import weigh
from peridotdock.schema.messages import EngineNews

# Seconds to read one prompt token before any was measured; corrected by each first token.
FIRST_GUESS_PER_TOKEN = 0.00003
# Seconds a prompt token takes at least: a short prompt on a quick engine is read within the step.
LEAST_PER_TOKEN = 0.000001
# Seconds that a plain service takes before any answer was measured.
FIRST_GUESS_SERVICE = 0.05
# Weight of a new measurement in a moving average: about the last ten count.
GAIN = 0.1
# The same for the time of a prompt token, when one is found slower or faster than usual.
SLOWER_GAIN = 0.02
FASTER_GAIN = 0.2
# Fewest tokens from which a time for one token is learnt: below, the step dominates.
LEAST_TOKENS = 400
# Seconds for which an endpoint that broke answers off is taken for ended while its entry is there
# and nobody has tried to connect: longer than an entry takes to lapse.
LAPSE_SECONDS = 10.0
# Starts of endpoints that are remembered although their entries have gone.
MOST_DEPARTED = 200


class RelayFleet:
    """All endpoints in touch, by id, and what is known of services and models."""

    def __init__(self, domain: str, clock: Clock):
        self._domain = domain
        self._clock = clock
        self.states: dict[str, EndpointState] = {}
        self._departed: dict[EndpointStart, EndpointState] = {}
        self.by_service: dict[str, list[EndpointState]] = {}
        self._per_token: dict[str, float] = {}
        self._service: dict[str, float] = {}
        self._event: dict[str, float] = {}
        self._change: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def replace(self, entries: Iterable[EndpointEntry]) -> None:
        """Take the whole list of endpoints; those that are missing are gone."""
        old = self.states
        self.states = {}
        for entry in entries:
            state = old.get(entry.endpoint_id)
            if state is None or state.entry.started_ms != entry.started_ms:
                state = next_start(state, entry)
                before = self._departed.pop(state.start, None)
                if before is not None:
                    state.recall(before)
            state.take_entry(entry)
            self.states[entry.endpoint_id] = state
        for key, state in old.items():
            if self.states.get(key) is not state:
                self._depart(state)
        self._index()

    def _depart(self, state: EndpointState) -> None:
        """Keep what a start said whose entry has gone, for when the entry comes back.

        Failure guarded against: entries lapse while the store is away, the endpoints live on, and
        what they had said in answers is forgotten.
        """
        state.gone = True
        self._departed[state.start] = state
        while len(self._departed) > MOST_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def update(self, changed: Mapping[str, EndpointEntry | None]) -> None:
        """Take in changed entries; None stands for one that is gone."""
        entries = {key: state.entry for key, state in self.states.items()}
        for key, entry in changed.items():
            if entry is None:
                entries.pop(key, None)
            else:
                entries[key] = entry
        self.replace(entries.values())

    def _index(self) -> None:
        self.by_service = {}
        for state in self.states.values():
            self.by_service.setdefault(state.entry.service, []).append(state)
        self._tell()

    def _tell(self) -> None:
        change, self._change = self._change, asyncio.get_running_loop().create_future()
        change.set_result(None)

    def usable(self, service: str, wish: InferenceSpec | None) -> list[EndpointState]:
        """Return the endpoints of a service that take new work and hold what is wished for."""
        now = self._clock.monotonic()
        rows = self.by_service.get(service, ())
        found = [s for s in rows if not s.leaving and not s.health.absent(now)]
        if wish is None:
            return found
        return [state for state in found if state.holds(wish, now)]

    def coming(self, service: str, model: str) -> float | None:
        """Return the seconds until a model that is being loaded can serve, or None."""
        now = self._clock.monotonic()
        found = [
            state.heard.news.coming[model] - (now - state.heard.at)
            for state in self.by_service.get(service, ())
            if state.heard is not None and model in state.heard.news.coming and not state.leaving
        ]
        return max(0.0, min(found)) if found else None

    def load_seconds(self, service: str, model: Model) -> float:
        """Return how long the quickest endpoint of a service takes to load a model."""
        states = self.by_service.get(service, ())
        times = [load_seconds(state.entry, model) for state in states if not state.leaving]
        return min(times, default=model.load_seconds)

    def take_news(self, rows: Iterable[EngineNews], at: float) -> None:
        """Take in what the host that orders engines said at a time (monotonic seconds).

        Engines that it leaves out have no news.
        """
        news = {row.endpoint: HeardNews(row, frozenset(row.items), at) for row in rows}
        for key, state in self.states.items():
            heard = news.get(key)
            old = heard is None or out_of_date(heard, state.entry)
            state.take_news(None if old else heard)
        self._tell()

    def take_others(self, loads: Mapping[str, OthersLoad]) -> None:
        """Take in what all other hosts have on the endpoints; those left out have nothing."""
        for key, state in self.states.items():
            state.others = loads.get(key, NO_LOAD)

    def has_ended(self, start: EndpointStart, broke_off: float) -> bool:
        """Tell whether a start of an endpoint has ended that broke answers off at a time.

        Failure guarded against: something between a host and three endpoints resets connections,
        and the requests that were lost there are taken for what ended them.
        """
        state = self.states.get(start.endpoint)
        if state is None or state.start != start:
            return True
        if state.answered_sent > broke_off:
            return False
        unreachable = state.health.unreachable_at >= broke_off
        return unreachable or self._clock.monotonic() - broke_off <= LAPSE_SECONDS

    async def next_change(self) -> None:
        """Wait until the endpoints or what they hold have changed."""
        await asyncio.shield(self._change)

    def work(self, service: str, wish: InferenceSpec | None) -> RequestCost:
        """Return what a request asks of an endpoint, by what was measured so far."""
        seconds = self._service.get(service, FIRST_GUESS_SERVICE)
        if wish is None:
            return RequestCost(0, 0, 0.0, seconds)
        shared = count_shared(wish)
        per_token = self._per_token.get(wish.model, FIRST_GUESS_PER_TOKEN)
        return RequestCost(max(1, wish.prompt_tokens), shared, per_token, seconds)

    def event_seconds(self, service: str) -> float | None:
        """Return the time between two events of a stream while nothing is read, None if unknown."""
        return self._event.get(service)

    def note_event(self, service: str, seconds: float) -> None:
        """Learn from the time between two events; only reading makes it longer."""
        usual = self._event.setdefault(service, seconds)
        gain = SLOWER_GAIN if seconds > usual else FASTER_GAIN
        self._event[service] = usual + gain * (min(seconds, 2 * usual) - usual)

    def candidates(
        self, states: Iterable[EndpointState], wish: InferenceSpec | None, avoid: frozenset[str]
    ) -> list[Candidate]:
        """Return the endpoints as they look for one request of this host.

        Those to ``avoid`` are left out.
        """
        now = self._clock.monotonic()
        open_ones = [state for state in states if state.key not in avoid]
        favourite = find_favourite(open_ones, wish)
        here = self._domain
        rows = [self._look(state, wish, state.key == favourite, now, here) for state in open_ones]
        rests = [max(0.0, state.rests_until - now) for state in open_ones]
        return [
            replace(row, backoff=rest) if rest else row
            for row, rest in zip(rows, rests, strict=True)
        ]

    def candidates_known(
        self,
        states: Iterable[EndpointState],
        wish: InferenceSpec,
        avoid: frozenset[str],
        domain: str,
    ) -> list[Candidate]:
        """Return the endpoints as they look to the host that knows where all prompts were sent.

        Nothing is taken for kept by its hash; those that kept most are preferred. ``domain`` is the
        failure domain of the host that will send the prompt, which knows itself what wants a rest
        from it.
        """
        now = self._clock.monotonic()
        rows = [
            self._look(state, wish, False, now, domain)
            for state in states
            if state.key not in avoid
        ]
        most = max((row.cached_tokens for row in rows), default=0)
        return [replace(row, preferred=0 < row.cached_tokens == most) for row in rows]

    def _look(
        self,
        state: EndpointState,
        wish: InferenceSpec | None,
        preferred: bool,
        now: float,
        domain: str,
    ) -> Candidate:
        running, ahead = state.load(now)
        cached = state.cached(wish) if wish else 0
        if preferred:
            cached = estimate_cached_tokens(cached, count_shared(wish))
        return Candidate(
            key=state.key,
            queued_tokens=ahead,
            running=running,
            slots=state.entry.slots,
            cached_tokens=cached,
            preferred=preferred,
            slowness=state.health.slowness(now),
            same_domain=state.entry.domain == domain,
            suspect=state.health.suspect(now),
            permit_wait=max(0.0, state.permit_from - now) if state.limited else 0.0,
            permit_interval=permit_interval(state.limit.rate),
        )

    def began(
        self,
        state: EndpointState,
        ask_id: str,
        wish: InferenceSpec | None,
        tokens: int,
        alone: bool | None = None,
    ) -> None:
        """Count a request on an endpoint, with ``tokens`` to read, from when it is sent.

        ``alone`` tells whether nothing else is read there, None where only the hosts' sums tell.
        """
        now = self._clock.monotonic()
        if alone is None:
            alone = state.load(now)[1] == 0
        item = name_wish(wish) if wish is not None else ""
        state.flights[ask_id] = Flight(now, tokens, alone, item)
        state.ahead += tokens
        if wish is not None:
            state.remember(wish)

    def answered(self, state: EndpointState, ask_id: str, wish: InferenceSpec | None) -> None:
        """Note the first token of a request and learn from how long it took."""
        flight = state.flights.get(ask_id)
        if flight is None or not flight.waiting:
            return
        flight.waiting = False
        state.answered_sent = max(state.answered_sent, flight.began)
        state.ahead -= flight.tokens
        now = self._clock.monotonic()
        if wish is not None and flight.alone and flight.tokens >= LEAST_TOKENS:
            reading = now - flight.began - STEP_SECONDS
            found = max(LEAST_PER_TOKEN, reading / flight.tokens)
            usual = self._per_token.setdefault(wish.model, found)
            state.health.record_slowness(found / usual, now)
            # Other requests make a first token later and never sooner, so the lower times count.
            gain = SLOWER_GAIN if found > usual else FASTER_GAIN
            self._per_token[wish.model] = usual + gain * (min(found, 2 * usual) - usual)

    def ended(self, state: EndpointState, ask_id: str, service: str, whole: bool) -> None:
        """Note that a request left an endpoint; whole answers teach how long one takes."""
        flight = state.flights.pop(ask_id, None)
        if flight is None:
            return
        if flight.waiting:
            state.ahead -= flight.tokens
        if whole:
            state.answered_sent = max(state.answered_sent, flight.began)
            now = self._clock.monotonic()
            usual = self._service.get(service, FIRST_GUESS_SERVICE)
            self._service[service] = usual + GAIN * (now - flight.began - usual)


def load_seconds(entry: EndpointEntry, model: Model) -> float:
    """Return how long an endpoint takes to load a model, by what it has at hand."""
    if model.name in entry.in_memory:
        return model.memory_load_seconds
    return model.disk_load_seconds if model.name in entry.on_disk else model.load_seconds


def count_shared(wish: InferenceSpec) -> int:
    """Return the prompt tokens that other requests may share."""
    return sum(part.tokens for part in wish.parts[:-1])


def find_favourite(states: list[EndpointState], wish: InferenceSpec | None) -> str:
    """Return the endpoint that all hosts prefer for a prompt's shared part, or nothing.

    Hosts don't tell each other which prompts they sent where; the same hash on all of them brings
    requests that share a part to the same endpoint.
    """
    if wish is None or len(wish.parts) < 2 or not states:
        return ""
    shared = f"{cache_place(wish)}|{wish.parts[-2].id}"
    return max(states, key=lambda state: weigh(shared, state.key)).key
