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
ENGINE_UPDATE_SECONDS = 5.0
# Seconds after which what was heard of the other hosts' work on an endpoint no longer counts.
REMOTE_LOAD_SECONDS = 3.0
# Prompt parts remembered for each endpoint.
MAX_CACHED_PARTS = 2000
# Seconds for which an endpoint that refused a request, as it does not hold the model or adapter, is
# taken at its word against what was heard of it before: until its next entry.
MISSING_ITEM_SECONDS = 1.5


@dataclass(slots=True)
class InFlightRequest:
    """One request of this host on an endpoint; ``tokens`` of its prompt are still to be read.

    ``item`` is the model or adapter that it uses, empty at a plain service.
    """

    sent_at: float
    prompt_tokens: int
    alone_at_start: bool
    item: str = ""
    awaits_first_token: bool = True


@dataclass(frozen=True, slots=True)
class RemoteLoad:
    """What all other hosts have on an endpoint: requests, and prompt tokens not read yet."""

    running: int
    tokens: int
    received_at: float


NO_LOAD = RemoteLoad(0, 0, float("-inf"))


@dataclass(frozen=True, slots=True)
class ReceivedUpdate:
    """What the host that orders engines said of one, and when it said so."""

    update: EngineNews
    items: frozenset[str]
    received_at: float


@dataclass(frozen=True, slots=True)
class MissingItem:
    """An endpoint's word that it does not hold something, and when it said so.

    ``confirmed`` is set once what is heard of the endpoint says the same: from then on that counts,
    and tells when the thing is there.
    """

    reported_at: float
    confirmed: bool = False


@dataclass(frozen=True, slots=True)
class AnnouncedLimit:
    """The requests a second that an endpoint takes from all hosts; infinite without a limit.

    ``at`` is the time for which it holds (monotonic seconds).
    """

    rate: float
    as_of: float


NO_LIMIT = AnnouncedLimit(math.inf, float("-inf"))


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
    in_flight: dict[str, InFlightRequest] = field(default_factory=dict)
    remote_load: RemoteLoad = NO_LOAD
    cached_parts: OrderedDict[tuple[str, str], None] = field(default_factory=OrderedDict)
    pending_tokens: int = 0
    last_update: ReceivedUpdate | None = None
    gone: bool = False
    answered_sent_at: float = float("-inf")
    missing: dict[str, MissingItem] = field(default_factory=dict)
    limit: AnnouncedLimit = NO_LIMIT
    next_permit_at: float = float("-inf")
    limit_announced: bool = False
    announced_leaving: bool = False
    backoff_until: float = float("-inf")

    def accepts_requests(self) -> bool:
        """Tell whether requests may still be sent there."""
        return not self.gone and not self.leaving

    @property
    def leaving(self) -> bool:
        """Tell whether the endpoint leaves, by its entry or by its own word in an answer."""
        return self.entry.draining or self.announced_leaving

    @property
    def key(self) -> str:
        """Return the endpoint's id."""
        return self.entry.endpoint_id

    @property
    def start(self) -> EndpointStart:
        """Return what tells this start from others under the same id."""
        return endpoint_start(self.entry)

    def holds(self, inference: InferenceSpec, now: float) -> bool:
        """Tell whether the endpoint can serve a model, and the adapter where one is wished for.

        Its own entry comes with a heartbeat; for some seconds after an order, the word of the host
        that gave it is newer. A load that is done shows in the entry first.
        """
        received = self.last_update
        item = item_name(inference)
        missing_item = self.missing.get(item)
        if (
            missing_item is not None
            and not missing_item.confirmed
            and now - missing_item.reported_at <= MISSING_ITEM_SECONDS
        ):
            return False
        if received is not None and now - received.received_at <= ENGINE_UPDATE_SECONDS:
            if inference.model in received.update.dropping:
                return False
            if item in received.items or inference.model not in received.update.coming:
                return item in received.items
        held = self.entry.models.get(inference.model)
        return held is not None and (not inference.adapter or inference.adapter in held.adapters)

    def record_missing(self, inference: InferenceSpec, now: float) -> None:
        """Note the endpoint's word that it does not hold what is wished for.

        Failure guarded against: a model was dropped a moment ago, or an adapter is on its way. What
        was heard of the endpoint still names it, so a request was sent there three times within
        four milliseconds, and its caller told to come back.
        """
        kept = {
            name: row
            for name, row in self.missing.items()
            if now - row.reported_at <= MISSING_ITEM_SECONDS
        }
        self.missing = kept | {item_name(inference): MissingItem(now)}

    def has_unconfirmed_missing(self, now: float) -> bool:
        """Tell whether what is heard of the endpoint still names something that it lacks."""
        rows = self.missing.values()
        return any(
            not row.confirmed and now - row.reported_at <= MISSING_ITEM_SECONDS for row in rows
        )

    @property
    def limited(self) -> bool:
        """Tell whether the endpoint takes only so many requests a second now."""
        return self.limit.rate < math.inf

    def update_limit(self, rate: float | None, sent: float, now: float) -> bool:
        """Take in the limit of an answer to a request that was sent at a time; tell of a change.

        Answers may overtake each other: one without a limit ends what was named only where its
        request was sent after that.
        """
        ended = rate == math.inf
        if rate is None or (ended and sent <= self.limit.as_of):
            return False
        changed = rate != self.limit.rate
        self.set_limit(AnnouncedLimit(rate, sent if ended else now))
        return changed

    def restore_announcements(self, before: "EndpointState") -> None:
        """Take over what the same start said before its entry went."""
        self.limit, self.limit_announced = before.limit, before.limit_announced
        self.next_permit_at = before.next_permit_at
        self.announced_leaving = before.announced_leaving
        self.backoff_until = before.backoff_until

    def set_limit(self, word: AnnouncedLimit) -> None:
        """Take in a word on the limit that is the newest."""
        self.limit = word
        self.limit_announced = self.limit_announced or self.limited

    def update_entry(self, entry: EndpointEntry) -> None:
        """Take in the endpoint's own entry."""
        if entry is not self.entry:
            self.entry = entry
            self._confirm_missing(entry.items())

    def set_update(self, received: ReceivedUpdate | None) -> None:
        """Take in what the host that orders engines said of this one."""
        self.last_update = received
        if received is not None:
            self._confirm_missing(received.items)

    def _confirm_missing(self, items: Collection[str]) -> None:
        for name, row in self.missing.items():
            if name not in items:
                self.missing[name] = MissingItem(row.reported_at, confirmed=True)

    def load(self, now: float) -> tuple[int, int]:
        """Return requests and unread prompt tokens there, ours and those of other hosts."""
        running, tokens = len(self.in_flight), self.pending_tokens
        if now - self.remote_load.received_at <= REMOTE_LOAD_SECONDS:
            running += self.remote_load.running
            tokens += self.remote_load.tokens
        return running, tokens

    def cached_tokens(self, inference: InferenceSpec) -> int:
        """Return how many leading tokens of a prompt are thought to be kept there."""
        kept = 0
        place = prompt_cache_key(inference)
        for part in inference.parts:
            if (place, part.id) not in self.cached_parts:
                break
            kept += part.tokens
        return kept

    def add_cached_parts(self, inference: InferenceSpec) -> None:
        """Take the parts of a prompt as kept there from now on."""
        place = prompt_cache_key(inference)
        for part in inference.parts:
            self.cached_parts[(place, part.id)] = None
            self.cached_parts.move_to_end((place, part.id))
        while len(self.cached_parts) > MAX_CACHED_PARTS:
            self.cached_parts.popitem(last=False)


def new_start_state(known: EndpointState | None, entry: EndpointEntry) -> EndpointState:
    """Return an endpoint that has just started, maybe under the id of one that is known.

    Failure guarded against: an endpoint is back under its id, empty and well. Requests went there
    for prompt parts that it lost, or stayed away for the load and the failures of the start before.
    News of the new start may have come before its entry.
    """
    state = EndpointState(entry, Health())
    if (
        known is not None
        and known.last_update is not None
        and known.last_update.update.born == entry.started_ms
    ):
        state.last_update = known.last_update
    return state


def endpoint_start(entry: EndpointEntry) -> EndpointStart:
    """Return what tells the start of an entry from others under the same id."""
    return EndpointStart(entry.endpoint_id, str(entry.started_ms))


def is_outdated(received: ReceivedUpdate, entry: EndpointEntry) -> bool:
    """Tell whether news is of a start before the one that an entry shows."""
    return 0 < received.update.born < entry.started_ms


def item_name(inference: InferenceSpec) -> str:
    """Return the name of the model, or of the adapter of one, that is wished for."""
    return f"{inference.model}/{inference.adapter}" if inference.adapter else inference.model


def prompt_cache_key(inference: InferenceSpec) -> str:
    """Return under what an engine keeps prompt parts: one model with one adapter."""
    return f"{inference.model}/{inference.adapter}"
