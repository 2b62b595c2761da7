"""State of one start of an endpoint on one host: its entry, the requests sent to it, its health."""

import math
from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass, field
from weakref import WeakSet

from peridotdock.blocklist import EndpointStart
from peridotdock.decisions.health import Health
from peridotdock.relay.requests import EndpointEntry, InferenceSpec
from peridotdock.schema.messages import EngineNews

# Seconds for which an update of the lease holder overrides the engine's own entry, which follows
# with the engine's next heartbeat.
ENGINE_UPDATE_SECONDS = 5.0
# Seconds after which the load that other hosts put on an endpoint is ignored as out of date.
REMOTE_LOAD_SECONDS = 3.0
# Maximum number of prompt parts remembered for each endpoint.
MAX_CACHED_PARTS = 2000
# Seconds for which an endpoint's refusal of a request for a model or adapter that it does not hold
# overrides earlier updates on it: until its next entry.
MISSING_ITEM_SECONDS = 1.5


@dataclass(slots=True)
class InFlightRequest:
    """One request of this host to an endpoint; ``prompt_tokens`` are not prefilled yet.

    ``item`` is the model or adapter that it uses, empty for a plain service. ``placed`` is set if
    the hub counts it until it has ended.
    """

    sent_at: float
    prompt_tokens: int
    alone_at_start: bool
    item: str = ""
    awaits_first_token: bool = True
    placed: bool = False


@dataclass(frozen=True, slots=True)
class RemoteLoad:
    """Load of all other hosts on an endpoint: requests, and prompt tokens not prefilled yet."""

    running: int
    tokens: int
    received_at: float


NO_LOAD = RemoteLoad(0, 0, float("-inf"))


@dataclass(frozen=True, slots=True)
class ReceivedUpdate:
    """The lease holder's update on an engine, and when it was received (monotonic seconds)."""

    update: EngineNews
    items: frozenset[str]
    received_at: float


@dataclass(frozen=True, slots=True)
class MissingItem:
    """Time at which an endpoint reported that it does not hold an item.

    ``confirmed`` is set once an entry or update shows the item as missing too. From then on,
    entries and updates show when the item is loaded again.
    """

    reported_at: float
    confirmed: bool = False


@dataclass(frozen=True, slots=True)
class AnnouncedLimit:
    """The requests a second that an endpoint accepts from all hosts; infinite without a limit.

    ``as_of`` is the time to which it applies (monotonic seconds).
    """

    rate: float
    as_of: float

    def update(self, rate: float | None, sent: float, now: float) -> "AnnouncedLimit | None":
        """Return the limit after an answer to a request sent at ``sent``; None if it is the same.

        Answers may arrive out of order: an answer without a limit ends an announced limit only if
        its request was sent after the announcement. One that can't be parsed changes nothing.
        """
        ended = rate == math.inf
        if rate is None or (ended and sent <= self.as_of):
            return None
        return AnnouncedLimit(rate, sent if ended else now)


NO_LIMIT = AnnouncedLimit(math.inf, float("-inf"))


@dataclass
class EndpointState:
    """One start of an endpoint as seen from this host.

    ``answered_sent_at`` is when the newest of the requests that it has answered was sent. Before
    ``next_permit_at`` this host gets no permit for an endpoint that has announced a limit;
    ``limit_announced`` is set once any host has received a limit from it, even one that has ended.
    ``refusal_limit`` limits the requests a second that the endpoint may have to refuse.
    ``announced_leaving`` is set when the endpoint announced in an answer that it drains. Until
    ``backoff_until`` it accepts nothing from this host. Both remain set until the end of this
    start, whatever its entry shows. Until ``left_out_until`` nothing shows that the endpoint is
    still there. ``is_host`` is set for a host in the place of an endpoint. ``silent_sends`` counts
    this host's open sends to it that are silent. ``seen_start`` is the newest start that the
    endpoint itself has reported, as Unix milliseconds, 0 for none. ``checked_connections`` are
    known to lead to the start in the entry. ``heard_at`` is when it last sent this host anything.
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
    refusal_limit: AnnouncedLimit = NO_LIMIT
    next_permit_at: float = float("-inf")
    limit_announced: bool = False
    announced_leaving: bool = False
    backoff_until: float = float("-inf")
    left_out_until: float = float("-inf")
    is_host: bool = False
    silent_sends: int = 0
    seen_start: int = 0
    checked_connections: WeakSet[object] = field(default_factory=WeakSet)
    heard_at: float = float("-inf")

    def accepts_requests(self) -> bool:
        """Return whether requests may still be sent to the endpoint."""
        return not self.gone and not self.leaving

    def serves(self, now: float) -> bool:
        """Return whether the endpoint serves hosts that reach it."""
        return not self.leaving and now >= self.left_out_until

    def usable(self, now: float) -> bool:
        """Return whether this host may choose the endpoint for a request."""
        return self.serves(now) and not self.health.absent(now)

    @property
    def leaving(self) -> bool:
        """Return whether the endpoint drains, by its entry or by its announcement in an answer."""
        return self.entry.draining or self.announced_leaving

    @property
    def superseded(self) -> bool:
        """Return whether a later start runs than the one in the entry.

        Its software version is unknown until its own entry.
        """
        told = self.last_update.update.born if self.last_update is not None else 0
        return 0 < self.entry.started_ms < max(self.seen_start, told)

    @property
    def key(self) -> str:
        """Return the endpoint's id."""
        return self.entry.endpoint_id

    @property
    def start(self) -> EndpointStart:
        """Return the key that distinguishes this start from others under the same id."""
        return endpoint_start(self.entry)

    def holds(self, inference: InferenceSpec, now: float) -> bool:
        """Return whether the endpoint can serve a model, and the adapter where one is requested.

        An endpoint's own entry is published with a heartbeat; for some seconds after an order, the
        update of the host that issued it is newer. A completed load shows in the entry first.
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
        """Record the endpoint's report that it does not hold the requested item.

        Failure guarded against: a model was unloaded a moment ago, or an adapter is still loading.
        The last entry or update still lists it, so a request was sent there three times within four
        milliseconds, and its caller was asked to retry later.
        """
        kept = {
            name: row
            for name, row in self.missing.items()
            if now - row.reported_at <= MISSING_ITEM_SECONDS
        }
        self.missing = kept | {item_name(inference): MissingItem(now)}

    def has_unconfirmed_missing(self, now: float) -> bool:
        """Return whether entries and updates still list an item that the endpoint lacks."""
        rows = self.missing.values()
        return any(
            not row.confirmed and now - row.reported_at <= MISSING_ITEM_SECONDS for row in rows
        )

    @property
    def limited(self) -> bool:
        """Return whether the endpoint accepts a limited number of requests a second now."""
        return self.limit.rate < math.inf

    @property
    def brittle(self) -> bool:
        """Return whether the endpoint fails if it has to refuse too many requests."""
        return self.refusal_limit.rate < math.inf

    @property
    def needs_permit(self) -> bool:
        """Return whether a request to the endpoint needs a permit of the hub."""
        return self.limited or self.brittle

    def update_limit(self, rate: float | None, sent: float, now: float) -> bool:
        """Apply the limit in the answer to a request sent at ``sent``; tell whether it changed."""
        known, found = self.limit, self.limit.update(rate, sent, now)
        if found is not None:
            self.set_limit(found)
        return self.limit.rate != known.rate

    def update_refusal_limit(self, rate: float | None, sent: float, now: float) -> bool:
        """Apply the limit of refusals in an answer; tell whether it changed."""
        known, found = self.refusal_limit, self.refusal_limit.update(rate, sent, now)
        if found is not None:
            self.set_refusal_limit(found)
        return self.refusal_limit.rate != known.rate

    def restore_announcements(self, before: "EndpointState") -> None:
        """Copy what the same start announced before its entry disappeared."""
        self.limit, self.limit_announced = before.limit, before.limit_announced
        self.refusal_limit = before.refusal_limit
        self.next_permit_at = before.next_permit_at
        self.announced_leaving = before.announced_leaving
        self.backoff_until = before.backoff_until

    def set_limit(self, limit: AnnouncedLimit) -> None:
        """Store a limit that is newer than the known one."""
        self.limit = limit
        self.limit_announced = self.limit_announced or self.limited

    def set_refusal_limit(self, limit: AnnouncedLimit) -> None:
        """Store a limit of refusals that is newer than the known one."""
        self.refusal_limit = limit
        self.limit_announced = self.limit_announced or self.brittle

    def update_entry(self, entry: EndpointEntry) -> None:
        """Apply the endpoint's own entry."""
        if entry is not self.entry:
            if entry != self.entry:
                self.left_out_until = float("-inf")
            self.entry = entry
            self._confirm_missing(entry.items())

    def set_update(self, received: ReceivedUpdate | None) -> None:
        """Store the lease holder's update on this engine, None if it has sent none."""
        self.last_update = received
        if received is not None:
            self._confirm_missing(received.items)

    def _confirm_missing(self, items: Collection[str]) -> None:
        for name, row in self.missing.items():
            if name not in items:
                self.missing[name] = MissingItem(row.reported_at, confirmed=True)

    def load(self, now: float) -> tuple[int, int]:
        """Return the requests and unread prompt tokens there, over this and the other hosts."""
        running, tokens = len(self.in_flight), self.pending_tokens
        if now - self.remote_load.received_at <= REMOTE_LOAD_SECONDS:
            running += self.remote_load.running
            tokens += self.remote_load.tokens
        return running, tokens

    def cached_tokens(self, inference: InferenceSpec) -> int:
        """Return how many leading prompt tokens are presumably in the endpoint's prefix cache."""
        kept = 0
        place = prompt_cache_key(inference)
        for part in inference.parts:
            if (place, part.id) not in self.cached_parts:
                break
            kept += part.tokens
        return kept

    def add_cached_parts(self, inference: InferenceSpec) -> None:
        """Record the parts of a prompt as cached on the endpoint from now on."""
        place = prompt_cache_key(inference)
        for part in inference.parts:
            self.cached_parts[(place, part.id)] = None
            self.cached_parts.move_to_end((place, part.id))
        while len(self.cached_parts) > MAX_CACHED_PARTS:
            self.cached_parts.popitem(last=False)


def new_start_state(known: EndpointState | None, entry: EndpointEntry) -> EndpointState:
    """Return the state of an endpoint that has just started, possibly under an id that is known.

    Failure guarded against: an endpoint is back under its id, empty and healthy. Requests were sent
    there for prompt parts that it had lost, or avoided it because of the load and the failures of
    the previous start. An update on the new start may arrive before its entry.
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
    """Return the key that distinguishes the start in an entry from others under the same id."""
    return EndpointStart(entry.endpoint_id, str(entry.started_ms))


def is_outdated(received: ReceivedUpdate, entry: EndpointEntry) -> bool:
    """Return whether an update belongs to an earlier start than the one in an entry."""
    return 0 < received.update.born < entry.started_ms


def item_name(inference: InferenceSpec) -> str:
    """Return the name of the requested model, or MODEL/ADAPTER where an adapter is requested."""
    return f"{inference.model}/{inference.adapter}" if inference.adapter else inference.model


def prompt_cache_key(inference: InferenceSpec) -> str:
    """Return the key under which an engine caches prompt parts: one model with one adapter."""
    return f"{inference.model}/{inference.adapter}"
