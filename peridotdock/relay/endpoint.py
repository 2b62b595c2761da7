"""One start of an endpoint as a host sees it: its entry, the work on it, how it has behaved."""

import math
from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass, field

from peridotdock.blocklist import EndpointStart
from peridotdock.decisions.health import Health
from peridotdock.relay.requests import EndpointEntry, InferenceSpec
from peridotdock.schema.messages import EngineNews

# Seconds for which the word of the host that orders engines goes before an engine's own entry,
# which comes with its next heartbeat.
NEWS_SECONDS = 5.0
# Seconds after which what was heard of the other hosts' work on an endpoint no longer counts.
OTHERS_SECONDS = 3.0
# Prompt parts remembered for each endpoint.
MOST_PARTS = 2000
# Seconds for which an endpoint that refused a request, as it does not hold the model or adapter, is
# taken at its word against what was heard of it before: until its next entry.
LACKS_SECONDS = 1.5


@dataclass(slots=True)
class Flight:
    """One request of this host on an endpoint; ``tokens`` of its prompt are still to be read.

    ``item`` is the model or adapter that it uses, empty at a plain service.
    """

    began: float
    tokens: int
    alone: bool
    item: str = ""
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


@dataclass(frozen=True, slots=True)
class LimitWord:
    """The requests a second that an endpoint takes from all hosts; infinite without a limit.

    ``at`` is the time for which it holds (monotonic seconds).
    """

    rate: float
    at: float


NO_LIMIT = LimitWord(math.inf, float("-inf"))


@dataclass
class EndpointState:
    """One start of an endpoint as seen from this host.

    ``answered_sent`` is when the newest of the requests that it has answered was sent. Before
    ``permit_from`` this host gets no permit for one that has named a limit; ``named_limit`` tells
    that some host has heard it name one, be it ended or not. ``said_leaving`` tells that the
    endpoint said in an answer that it leaves; until ``rests_until`` it wants nothing from this
    host. Both hold until the end of this start, whatever its entry says.
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
    limit: LimitWord = NO_LIMIT
    permit_from: float = float("-inf")
    named_limit: bool = False
    said_leaving: bool = False
    rests_until: float = float("-inf")

    def takes_work(self) -> bool:
        """Tell whether requests may still be sent there."""
        return not self.gone and not self.leaving

    @property
    def leaving(self) -> bool:
        """Tell whether the endpoint leaves, by its entry or by its own word in an answer."""
        return self.entry.draining or self.said_leaving

    @property
    def key(self) -> str:
        """Return the endpoint's id."""
        return self.entry.endpoint_id

    @property
    def start(self) -> EndpointStart:
        """Return what tells this start from others under the same id."""
        return name_start(self.entry)

    def holds(self, wish: InferenceSpec, now: float) -> bool:
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

    def note_lack(self, wish: InferenceSpec, now: float) -> None:
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

    @property
    def limited(self) -> bool:
        """Tell whether the endpoint takes only so many requests a second now."""
        return self.limit.rate < math.inf

    def note_limit(self, rate: float | None, sent: float, now: float) -> bool:
        """Take in the limit of an answer to a request that was sent at a time; tell of a change.

        Answers may overtake each other: one without a limit ends what was named only where its
        request was sent after that.
        """
        ended = rate == math.inf
        if rate is None or (ended and sent <= self.limit.at):
            return False
        changed = rate != self.limit.rate
        self.take_limit(LimitWord(rate, sent if ended else now))
        return changed

    def recall(self, before: "EndpointState") -> None:
        """Take over what the same start said before its entry went."""
        self.limit, self.named_limit = before.limit, before.named_limit
        self.permit_from = before.permit_from
        self.said_leaving = before.said_leaving
        self.rests_until = before.rests_until

    def take_limit(self, word: LimitWord) -> None:
        """Take in a word on the limit that is the newest."""
        self.limit = word
        self.named_limit = self.named_limit or self.limited

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

    def cached(self, wish: InferenceSpec) -> int:
        """Return how many leading tokens of a prompt are thought to be kept there."""
        kept = 0
        place = cache_place(wish)
        for part in wish.parts:
            if (place, part.id) not in self.parts:
                break
            kept += part.tokens
        return kept

    def remember(self, wish: InferenceSpec) -> None:
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
    if known is not None and known.heard is not None and known.heard.news.born == entry.started_ms:
        state.heard = known.heard
    return state


def name_start(entry: EndpointEntry) -> EndpointStart:
    """Return what tells the start of an entry from others under the same id."""
    return EndpointStart(entry.endpoint_id, str(entry.started_ms))


def out_of_date(heard: HeardNews, entry: EndpointEntry) -> bool:
    """Tell whether news is of a start before the one that an entry shows."""
    return 0 < heard.news.born < entry.started_ms


def name_wish(wish: InferenceSpec) -> str:
    """Return the name of the model, or of the adapter of one, that is wished for."""
    return f"{wish.model}/{wish.adapter}" if wish.adapter else wish.model


def cache_place(wish: InferenceSpec) -> str:
    """Return under what an engine keeps prompt parts: one model with one adapter."""
    return f"{wish.model}/{wish.adapter}"
