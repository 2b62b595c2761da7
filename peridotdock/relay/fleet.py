"""What this host knows of each endpoint: its entry, the work on it, how it has behaved."""

import asyncio
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from peridotdock.blocklist import EndpointStart
from peridotdock.clock import Clock
from peridotdock.decisions.choice import Candidate, Work
from peridotdock.decisions.health import Health
from peridotdock.deployment import Model
from peridotdock.relay.asks import EndpointEntry, ModelWish
from peridotdock.rendezvous import weigh
from peridotdock.schema.messages import EngineNews

# Seconds to read one prompt token before any was measured; corrected by each first token.
FIRST_GUESS_PER_TOKEN = 0.00003
# Seconds that a plain service takes before any answer was measured.
FIRST_GUESS_SERVICE = 0.05
# Weight of a new measurement in a moving average: about the last ten count.
GAIN = 0.1
# The same for the time of a prompt token, when one is found slower or faster than usual.
SLOWER_GAIN = 0.02
FASTER_GAIN = 0.2
# Seconds for which the word of the host that orders engines goes before an engine's own entry,
# which comes with its next heartbeat.
NEWS_SECONDS = 5.0
# Seconds after which what was heard of the other hosts' work on an endpoint no longer counts.
OTHERS_SECONDS = 3.0
# Prompt parts remembered for each endpoint; 16 bytes a part keep this under 200 KB.
MOST_PARTS = 2000
# Fewest tokens from which a time for one token is learnt: below, the step dominates.
LEAST_TOKENS = 400
# Seconds for which an endpoint that refused a request, as it does not hold the model or adapter, is
# taken at its word against what was heard of it before: an entry comes each 1.2 s.
LACKS_SECONDS = 1.5
# Seconds for which an endpoint that broke answers off is taken for ended while its entry is there
# and nobody has tried to connect: an entry lapses after three heartbeats of 1.2 s.
LAPSE_SECONDS = 10.0


@dataclass(slots=True)
class Flight:
    """One request of this host on an endpoint; ``tokens`` of its prompt are still to be read."""

    began: float
    tokens: int
    alone: bool
    waiting: bool = True


@dataclass(frozen=True, slots=True)
class OthersLoad:
    """What all other hosts have on an endpoint: requests, and prompt tokens not read yet."""

    running: int
    tokens: int
    at: float


NO_LOAD = OthersLoad(0, 0, float("-inf"))


@dataclass(frozen=True, slots=True)
class HeardNews:
    """What the host that orders engines said of one, and when it said so."""

    news: EngineNews
    items: frozenset[str]
    at: float


@dataclass(frozen=True, slots=True)
class Lack:
    """An endpoint's word that it does not hold something, and when it said so.

    ``confirmed`` is set once what is heard of the endpoint says the same: from then on that counts,
    and tells when the thing is there.
    """

    at: float
    confirmed: bool = False


@dataclass
class EndpointState:
    """One start of an endpoint as seen from this host.

    ``answered_sent`` is when the newest of the requests that it has answered was sent.
    """

    entry: EndpointEntry
    health: Health
    flights: dict[str, Flight] = field(default_factory=dict)
    others: OthersLoad = NO_LOAD
    parts: OrderedDict[tuple[str, str], None] = field(default_factory=OrderedDict)
    ahead: int = 0
    heard: HeardNews | None = None
    gone: bool = False
    answered_sent: float = float("-inf")
    lacked: dict[str, Lack] = field(default_factory=dict)

    def takes_work(self) -> bool:
        """Tell whether requests may still be sent there."""
        return not self.gone and not self.entry.leaving

    @property
    def key(self) -> str:
        """Return the endpoint's id."""
        return self.entry.incarnation

    @property
    def start(self) -> EndpointStart:
        """Return what tells this start from others under the same id."""
        return EndpointStart(self.key, str(self.entry.born))

    def holds(self, wish: ModelWish, now: float) -> bool:
        """Tell whether the endpoint can serve a model, and the adapter where one is wished for.

        Its own entry comes with a heartbeat; for some seconds after an order, the word of the host
        that gave it is newer. A load that is done shows in the entry first.
        """
        heard = self.heard
        item = name_wish(wish)
        lack = self.lacked.get(item)
        if lack is not None and not lack.confirmed and now - lack.at <= LACKS_SECONDS:
            return False
        if heard is not None and now - heard.at <= NEWS_SECONDS:
            if wish.model in heard.news.dropping:
                return False
            if item in heard.items or wish.model not in heard.news.coming:
                return item in heard.items
        held = self.entry.models.get(wish.model)
        return held is not None and (not wish.adapter or wish.adapter in held.adapters)

    def note_lack(self, wish: ModelWish, now: float) -> None:
        """Note the endpoint's word that it does not hold what is wished for.

        Failure guarded against: a model was dropped a moment ago, or an adapter is on its way. What
        was heard of the endpoint still names it, so a request was sent there three times within
        four milliseconds, and its caller told to come back.
        """
        kept = {name: row for name, row in self.lacked.items() if now - row.at <= LACKS_SECONDS}
        self.lacked = kept | {name_wish(wish): Lack(now)}

    def lacks_unheard(self, now: float) -> bool:
        """Tell whether what is heard of the endpoint still names something that it lacks."""
        rows = self.lacked.values()
        return any(not row.confirmed and now - row.at <= LACKS_SECONDS for row in rows)

    def take_entry(self, entry: EndpointEntry) -> None:
        """Take in the endpoint's own entry."""
        if entry is not self.entry:
            self.entry = entry
            self._confirm_lacks(entry.items())

    def take_news(self, heard: HeardNews | None) -> None:
        """Take in what the host that orders engines said of this one."""
        self.heard = heard
        if heard is not None:
            self._confirm_lacks(heard.items)

    def _confirm_lacks(self, items: Collection[str]) -> None:
        for name, row in self.lacked.items():
            if name not in items:
                self.lacked[name] = Lack(row.at, confirmed=True)

    def load(self, now: float) -> tuple[int, int]:
        """Return requests and unread prompt tokens there, ours and those of other hosts."""
        running, tokens = len(self.flights), self.ahead
        if now - self.others.at <= OTHERS_SECONDS:
            running += self.others.running
            tokens += self.others.tokens
        return running, tokens

    def cached(self, wish: ModelWish) -> int:
        """Return how many leading tokens of a prompt are thought to be kept there."""
        kept = 0
        place = cache_place(wish)
        for part in wish.parts:
            if (place, part.id) not in self.parts:
                break
            kept += part.tokens
        return kept

    def remember(self, wish: ModelWish) -> None:
        """Take the parts of a prompt as kept there from now on."""
        place = cache_place(wish)
        for part in wish.parts:
            self.parts[(place, part.id)] = None
            self.parts.move_to_end((place, part.id))
        while len(self.parts) > MOST_PARTS:
            self.parts.popitem(last=False)


def next_start(known: EndpointState | None, entry: EndpointEntry) -> EndpointState:
    """Return an endpoint that has just started, maybe under the id of one that is known.

    Failure guarded against: an endpoint is back under its id, empty and well. Requests went there
    for prompt parts that it lost, or stayed away for the load and the failures of the start before.
    News of the new start may have come before its entry.
    """
    state = EndpointState(entry, Health())
    if known is not None and known.heard is not None and known.heard.news.born == entry.born:
        state.heard = known.heard
    return state


def out_of_date(heard: HeardNews, entry: EndpointEntry) -> bool:
    """Tell whether news is of a start before the one that an entry shows."""
    return 0 < heard.news.born < entry.born


def name_wish(wish: ModelWish) -> str:
    """Return the name of the model, or of the adapter of one, that is wished for."""
    return f"{wish.model}/{wish.adapter}" if wish.adapter else wish.model


def cache_place(wish: ModelWish) -> str:
    """Return under what an engine keeps prompt parts: one model with one adapter."""
    return f"{wish.model}/{wish.adapter}"


class RelayFleet:
    """All endpoints in touch, by id, and what is known of services and models."""

    def __init__(self, domain: str, clock: Clock):
        self._domain = domain
        self._clock = clock
        self.states: dict[str, EndpointState] = {}
        self.by_service: dict[str, list[EndpointState]] = {}
        self._per_token: dict[str, float] = {}
        self._service: dict[str, float] = {}
        self._change: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def replace(self, entries: Iterable[EndpointEntry]) -> None:
        """Take the whole list of endpoints; those that are missing are gone."""
        old = self.states
        self.states = {}
        for entry in entries:
            state = old.get(entry.incarnation)
            if state is None or state.entry.born != entry.born:
                state = next_start(state, entry)
            state.take_entry(entry)
            self.states[entry.incarnation] = state
        for key, state in old.items():
            state.gone = self.states.get(key) is not state
        self._index()

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

    def usable(self, service: str, wish: ModelWish | None) -> list[EndpointState]:
        """Return the endpoints of a service that take new work and hold what is wished for."""
        now = self._clock.monotonic()
        rows = self.by_service.get(service, ())
        found = [s for s in rows if not s.entry.leaving and not s.health.closed(now)]
        if wish is None:
            return found
        return [state for state in found if state.holds(wish, now)]

    def coming(self, service: str, model: str) -> float | None:
        """Return the seconds until a model that is being loaded can serve, or None."""
        now = self._clock.monotonic()
        found = [
            state.heard.news.coming[model] - (now - state.heard.at)
            for state in self.by_service.get(service, ())
            if state.heard is not None and model in state.heard.news.coming
        ]
        return max(0.0, min(found)) if found else None

    def load_seconds(self, service: str, model: Model) -> float:
        """Return how long the quickest endpoint of a service takes to load a model."""
        states = self.by_service.get(service, ())
        times = [load_seconds(state.entry, model) for state in states if not state.entry.leaving]
        return min(times, default=model.load)

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

    def work(self, service: str, wish: ModelWish | None) -> Work:
        """Return what a request asks of an endpoint, by what was measured so far."""
        seconds = self._service.get(service, FIRST_GUESS_SERVICE)
        if wish is None:
            return Work(0, 0, 0.0, seconds)
        shared = sum(part.tokens for part in wish.parts[:-1])
        per_token = self._per_token.get(wish.model, FIRST_GUESS_PER_TOKEN)
        return Work(max(1, wish.prompt_tokens), shared, per_token, seconds)

    def candidates(
        self, states: Iterable[EndpointState], wish: ModelWish | None, avoid: frozenset[str]
    ) -> list[Candidate]:
        """Return the endpoints as they look for one request, without those to ``avoid``."""
        now = self._clock.monotonic()
        open_ones = [state for state in states if state.key not in avoid]
        favourite = find_favourite(open_ones, wish)
        return [self._look(state, wish, state.key == favourite, now) for state in open_ones]

    def _look(
        self, state: EndpointState, wish: ModelWish | None, preferred: bool, now: float
    ) -> Candidate:
        running, ahead = state.load(now)
        return Candidate(
            key=state.key,
            ahead=ahead,
            running=running,
            slots=state.entry.slots,
            cached=state.cached(wish) if wish else 0,
            preferred=preferred,
            slowness=state.health.slowness(now),
            near=state.entry.domain == self._domain,
            suspect=state.health.suspect(now),
        )

    def began(self, state: EndpointState, ask_id: str, wish: ModelWish | None, tokens: int) -> None:
        """Count a request on an endpoint, with ``tokens`` to read, from when it is sent."""
        now = self._clock.monotonic()
        running, ahead = state.load(now)
        state.flights[ask_id] = Flight(now, tokens, alone=ahead == 0)
        state.ahead += tokens
        if wish is not None:
            state.remember(wish)

    def answered(self, state: EndpointState, ask_id: str, wish: ModelWish | None) -> None:
        """Note the first token of a request and learn from how long it took."""
        flight = state.flights.get(ask_id)
        if flight is None or not flight.waiting:
            return
        flight.waiting = False
        state.answered_sent = max(state.answered_sent, flight.began)
        state.ahead -= flight.tokens
        now = self._clock.monotonic()
        if wish is not None and flight.alone and flight.tokens >= LEAST_TOKENS:
            found = (now - flight.began) / flight.tokens
            usual = self._per_token.setdefault(wish.model, found)
            state.health.measured(found / usual, now)
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
        return model.from_memory
    return model.from_disk if model.name in entry.on_disk else model.load


def find_favourite(states: list[EndpointState], wish: ModelWish | None) -> str:
    """Return the endpoint that all hosts prefer for a prompt's shared part, or nothing.

    Hosts don't tell each other which prompts they sent where; the same hash on all of them brings
    requests that share a part to the same endpoint.
    """
    if wish is None or len(wish.parts) < 2 or not states:
        return ""
    shared = f"{cache_place(wish)}|{wish.parts[-2].id}"
    return max(states, key=lambda state: weigh(shared, state.key)).key
