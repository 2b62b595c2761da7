"""All endpoints known to one host, and its measurements of services and models."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
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
from peridotdock.relay.endpoint import (
    NO_LOAD,
    EndpointState,
    InFlightRequest,
    ReceivedUpdate,
    RemoteLoad,
    is_outdated,
    item_name,
    new_start_state,
    prompt_cache_key,
)
from peridotdock.relay.requests import EndpointEntry, InferenceSpec
from peridotdock.rendezvous import weigh
from peridotdock.schema.messages import EngineNews

# Seconds to prefill one prompt token before any measurement; corrected by each first token.
INITIAL_PROMPT_TOKEN_SECONDS = 0.00003
# Minimum seconds for a prompt token: a fast engine prefills a short prompt within one step.
MIN_PROMPT_TOKEN_SECONDS = 0.000001
# Seconds that a plain service takes to answer before any measurement.
INITIAL_ANSWER_SECONDS = 0.05
# Weight of a new measurement in a moving average: about the last ten count.
AVERAGE_GAIN = 0.1
# Weights of a new time for one prompt token or the gap between events, when slower or faster than
# the average.
SLOWER_GAIN = 0.02
FASTER_GAIN = 0.2
# Minimum number of tokens for measuring the time of one token: below it, the engine's step
# dominates.
MIN_MEASURED_TOKENS = 400
# Seconds for which an endpoint that broke off answers is assumed to have ended while its entry
# remains and no connection has been attempted: longer than an entry takes to lapse.
ASSUMED_ENDED_SECONDS = 10.0
# Maximum number of starts of endpoints remembered after their entries have gone.
MAX_DEPARTED = 200
# Seconds for which an endpoint that has gone and reappears in the rows of a restored store is left
# out, unless it writes its entry again: longer than an entry takes to lapse.
RETURN_SECONDS = 5.0


class RelayFleet:
    """All known endpoints by id, with the measurements of services and models."""

    def __init__(self, domain: str, clock: Clock):
        self._domain = domain
        self._clock = clock
        self.states: dict[str, EndpointState] = {}
        self._departed: dict[EndpointStart, EndpointState] = {}
        self.by_service: dict[str, list[EndpointState]] = {}
        self._prompt_token_seconds: dict[str, float] = {}
        self._answer_seconds: dict[str, float] = {}
        self._event_seconds: dict[str, float] = {}
        self._restored = False
        # The entries of a restored store that their endpoints have not written again.
        self._restored_entries: dict[str, EndpointEntry] = {}
        self.on_place_left: Callable[[EndpointState], None] = lambda state: None
        # Whether this host reaches no endpoint, and no host that does.
        self.is_cut_off: Callable[[], bool] = lambda: False
        # Whether its open connections to an endpoint are silent as well.
        self.connections_hang: Callable[[str], bool] = lambda key: False
        self.links_in_doubt: Callable[[], bool] = lambda: False
        # Whether this host's own links explain that a connection was lost at a time.
        self.links_explain: Callable[[float], bool] = lambda lost_at: False
        self._change: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def expect_restored_entries(self) -> None:
        """Treat the next list of endpoints as a copy that may be older than what is known."""
        self._restored = True

    def replace(self, entries: Iterable[EndpointEntry]) -> None:
        """Replace the list of endpoints; endpoints missing from it are gone."""
        found = {entry.endpoint_id: entry for entry in entries}
        known = found if self._restored else self._restored_entries
        self._restored_entries = {
            key: entry for key, entry in known.items() if found.get(key) == entry
        }
        self._restored = False
        self._set_entries(found)

    def _set_entries(self, entries: Mapping[str, EndpointEntry]) -> None:
        old = self.states
        self.states = {key: self._apply_entry(old.get(key), row) for key, row in entries.items()}
        for key, state in old.items():
            if self.states.get(key) is not state:
                self._add_departed(state)
        self._index()

    def _apply_entry(self, known: EndpointState | None, entry: EndpointEntry) -> EndpointState:
        """Return the state of an endpoint under an entry; ``known`` is that under its last one."""
        restored = self._restored_entries.get(entry.endpoint_id) == entry
        if restored and known is not None:
            if entry.started_ms < known.entry.started_ms:
                return known
            entry = keep_draining(entry, known)
        state = known
        if state is None or state.entry.started_ms != entry.started_ms:
            state = new_start_state(state, entry)
            if restored and any(start.endpoint == state.key for start in self._departed):
                state.left_out_until = self._clock.monotonic() + RETURN_SECONDS
            before = self._departed.pop(state.start, None)
            if before is not None:
                state.restore_announcements(before)
                entry = keep_draining(entry, before) if restored else entry
        state.update_entry(entry)
        return state

    def _add_departed(self, state: EndpointState) -> None:
        """Keep the state of a start whose entry has gone, in case the entry reappears.

        Failure guarded against: entries lapse while the store is unavailable, the endpoints keep
        running, and what they announced in answers is lost.
        """
        state.gone = True
        self._departed[state.start] = state
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def update(self, changed: Mapping[str, EndpointEntry | None]) -> None:
        """Apply changed entries; None marks an entry that is gone."""
        entries = {key: state.entry for key, state in self.states.items()}
        for key, entry in changed.items():
            if entry is None:
                entries.pop(key, None)
            else:
                entries[key] = entry
            self._restored_entries.pop(key, None)
        self._set_entries(entries)

    def _index(self) -> None:
        self.by_service = {}
        for state in self.states.values():
            self.by_service.setdefault(state.entry.service, []).append(state)
        self._notify_change()

    def _notify_change(self) -> None:
        change, self._change = self._change, asyncio.get_running_loop().create_future()
        change.set_result(None)

    def usable(
        self, service: str, inference: InferenceSpec | None, software: str | None = None
    ) -> list[EndpointState]:
        """Return the endpoints that accept requests of this host and hold the requested item.

        Where no host reaches any endpoint, those are left to which open connections don't hang:
        they may live on although new ones fail. ``software`` is the version that they must have,
        None for any.
        """
        if self.is_cut_off():
            found = self.serving(service, inference, software)
            return [state for state in found if not self.connections_hang(state.key)]
        now = self._clock.monotonic()
        rows = [state for state in self._of_software(service, software) if state.usable(now)]
        return filter_holders(rows, inference, now)

    def serving(
        self, service: str, inference: InferenceSpec | None, software: str | None = None
    ) -> list[EndpointState]:
        """Return the same, with the endpoints to which this host can't connect."""
        now = self._clock.monotonic()
        rows = [state for state in self._of_software(service, software) if state.serves(now)]
        return filter_holders(rows, inference, now)

    def _of_software(self, service: str, software: str | None) -> Iterable[EndpointState]:
        rows = self.by_service.get(service, ())
        if software is None:
            return rows
        return [row for row in rows if row.entry.software == software and not row.superseded]

    def has_software(self, service: str, software: str) -> bool:
        """Return whether any endpoint of a software version takes requests, whatever it holds."""
        now = self._clock.monotonic()
        return any(state.serves(now) for state in self._of_software(service, software))

    def reaches(self, service: str, software: str | None) -> bool:
        """Return whether any endpoint accepts requests of this host, whatever it holds."""
        now = self._clock.monotonic()
        return any(state.usable(now) for state in self._of_software(service, software))

    def restarted_services(self) -> set[str]:
        """Return the services of which an endpoint runs another start than its entry names."""
        return {row.entry.service for row in self.states.values() if row.superseded}

    def other_software(self, service: str, software: str) -> set[str]:
        """Return the keys of the endpoints of other software versions, or of unknown ones."""
        rows = self.by_service.get(service, ())
        return {row.key for row in rows if row.entry.software != software or row.superseded}

    def grantable(self, service: str, inference: InferenceSpec | None) -> list[EndpointState]:
        """Return the endpoints that the hub may grant to other hosts.

        What the hub itself can't connect to is left out, unless that is the hub's own fault.
        """
        find = self.serving if self.links_in_doubt() else self.usable
        return find(service, inference)

    def seconds_until_loaded(self, service: str, model: str) -> float | None:
        """Return the seconds until a model that is being loaded can serve, or None."""
        now = self._clock.monotonic()
        found = [
            state.last_update.update.coming[model] - (now - state.last_update.received_at)
            for state in self.by_service.get(service, ())
            if state.last_update is not None
            and model in state.last_update.update.coming
            and not state.leaving
        ]
        return max(0.0, min(found)) if found else None

    def load_seconds(self, service: str, model: Model) -> float:
        """Return how long the fastest endpoint of a service takes to load a model."""
        states = self.by_service.get(service, ())
        times = [load_seconds(state.entry, model) for state in states if not state.leaving]
        return min(times, default=model.load_seconds)

    def apply_updates(self, rows: Iterable[EngineNews], at: float) -> None:
        """Apply the lease holder's updates on engines, received at a time (monotonic seconds).

        Engines without a row have no update.
        """
        updates = {row.endpoint: ReceivedUpdate(row, frozenset(row.items), at) for row in rows}
        for key, state in self.states.items():
            received = updates.get(key)
            old = received is None or is_outdated(received, state.entry)
            state.set_update(None if old else received)
        self._notify_change()

    def clear_losses(self) -> None:
        """Forget what was lost at the endpoints while this host had no links to them."""
        for state in self.states.values():
            state.health.clear_losses()
        self._notify_change()

    def set_remote_loads(self, loads: Mapping[str, RemoteLoad]) -> None:
        """Set the load of all other hosts on the endpoints; endpoints left out have none."""
        for key, state in self.states.items():
            state.remote_load = loads.get(key, NO_LOAD)

    def has_ended(self, start: EndpointStart, broken_at: float) -> bool:
        """Return whether a start of an endpoint that broke off answers at a time has ended.

        Failure guarded against: a network device between a host and three endpoints resets
        connections, or the host loses its links to all of them, and the requests lost there are
        mistaken for the cause of the endpoints' end.
        """
        state = self.states.get(start.endpoint)
        if state is None or state.start != start or state.superseded:
            return True
        if state.answered_sent_at > broken_at or self.links_explain(broken_at):
            return False
        unreachable = state.health.unreachable_at >= broken_at
        return unreachable or self._clock.monotonic() - broken_at <= ASSUMED_ENDED_SECONDS

    async def next_change(self) -> None:
        """Wait until the endpoints or the items they hold have changed."""
        await asyncio.shield(self._change)

    def estimate_work(self, service: str, inference: InferenceSpec | None) -> RequestCost:
        """Return the work that a request causes on an endpoint, from the measurements so far."""
        seconds = self._answer_seconds.get(service, INITIAL_ANSWER_SECONDS)
        if inference is None:
            return RequestCost(0, 0, 0.0, seconds)
        shared = count_shared_tokens(inference)
        per_token = self._prompt_token_seconds.get(inference.model, INITIAL_PROMPT_TOKEN_SECONDS)
        return RequestCost(max(1, inference.prompt_tokens), shared, per_token, seconds)

    def event_seconds(self, service: str) -> float | None:
        """Return the seconds between two events of a stream without prefill, None if unknown."""
        return self._event_seconds.get(service)

    def record_event_gap(self, service: str, seconds: float) -> None:
        """Learn from the time between two events; only prefill of other prompts makes it longer."""
        usual = self._event_seconds.setdefault(service, seconds)
        gain = SLOWER_GAIN if seconds > usual else FASTER_GAIN
        self._event_seconds[service] = usual + gain * (min(seconds, 2 * usual) - usual)

    def candidates(
        self,
        states: Iterable[EndpointState],
        inference: InferenceSpec | None,
        avoid: frozenset[str],
    ) -> list[Candidate]:
        """Return the endpoints not in ``avoid`` as candidates for one request of this host."""
        now = self._clock.monotonic()
        allowed = [state for state in states if state.key not in avoid]
        preferred_key = find_preferred(allowed, inference)
        domain = self._domain
        rows = [
            self._make_candidate(state, inference, state.key == preferred_key, now, domain)
            for state in allowed
        ]
        backoffs = [max(0.0, state.backoff_until - now) for state in allowed]
        return [
            replace(row, backoff=rest) if rest else row
            for row, rest in zip(rows, backoffs, strict=True)
        ]

    def hub_candidates(
        self,
        states: Iterable[EndpointState],
        inference: InferenceSpec,
        avoid: frozenset[str],
        domain: str,
    ) -> list[Candidate]:
        """Return the endpoints as candidates on the hub, which knows where all prompts were sent.

        No prompt part is assumed to be cached because of its hash; endpoints with the most cached
        tokens are preferred. ``domain`` is the failure domain of the host that will send the
        prompt; that host applies the backoff requested from it by itself.
        """
        now = self._clock.monotonic()
        rows = [
            self._make_candidate(state, inference, False, now, domain)
            for state in states
            if state.key not in avoid
        ]
        most = max((row.cached_tokens for row in rows), default=0)
        return [replace(row, preferred=0 < row.cached_tokens == most) for row in rows]

    def _make_candidate(
        self,
        state: EndpointState,
        inference: InferenceSpec | None,
        preferred: bool,
        now: float,
        domain: str,
    ) -> Candidate:
        running, ahead = state.load(now)
        cached = state.cached_tokens(inference) if inference else 0
        if preferred:
            cached = estimate_cached_tokens(cached, count_shared_tokens(inference))
        return Candidate(
            key=state.key,
            queued_tokens=ahead,
            running=running,
            slots=state.entry.slots,
            cached_tokens=cached,
            preferred=preferred,
            slowness=state.health.slowness(now),
            same_domain=state.entry.domain == domain,
            suspect=state.health.suspect(now) or state.superseded,
            permit_wait=max(0.0, state.next_permit_at - now) if state.needs_permit else 0.0,
            permit_interval=permit_interval(state.limit.rate),
            brittle=state.brittle,
        )

    def request_sent(
        self,
        state: EndpointState,
        request_id: str,
        inference: InferenceSpec | None,
        tokens: int,
        alone: bool | None = None,
        placed: bool = False,
    ) -> InFlightRequest:
        """Count a request on an endpoint, with ``tokens`` to prefill, from when it is sent.

        ``alone`` tells whether no other prompt is prefilled there; None derives it from the hosts'
        sums. ``placed`` is set if the hub counts the request until it has ended.
        """
        now = self._clock.monotonic()
        if alone is None:
            alone = state.load(now)[1] == 0
        item = item_name(inference) if inference is not None else ""
        sent = InFlightRequest(now, tokens, alone, item, placed=placed)
        state.in_flight[request_id] = sent
        state.pending_tokens += tokens
        if inference is not None:
            state.add_cached_parts(inference)
        return sent

    def first_token_received(
        self, state: EndpointState, request_id: str, inference: InferenceSpec | None
    ) -> None:
        """Record the first token of a request and learn from its delay."""
        request = state.in_flight.get(request_id)
        if request is None or not request.awaits_first_token:
            return
        request.awaits_first_token = False
        state.answered_sent_at = max(state.answered_sent_at, request.sent_at)
        state.pending_tokens -= request.prompt_tokens
        now = self._clock.monotonic()
        if (
            inference is not None
            and request.alone_at_start
            and request.prompt_tokens >= MIN_MEASURED_TOKENS
        ):
            reading = now - request.sent_at - STEP_SECONDS
            found = max(MIN_PROMPT_TOKEN_SECONDS, reading / request.prompt_tokens)
            usual = self._prompt_token_seconds.setdefault(inference.model, found)
            state.health.record_slowness(found / usual, now)
            # Other requests only delay a first token, so lower times weigh more.
            gain = SLOWER_GAIN if found > usual else FASTER_GAIN
            self._prompt_token_seconds[inference.model] = usual + gain * (
                min(found, 2 * usual) - usual
            )

    def request_ended(
        self,
        state: EndpointState,
        request_id: str,
        service: str,
        complete: bool,
        sent: InFlightRequest | None = None,
    ) -> None:
        """Record that a request ended; complete answers show how long one takes.

        With ``sent`` only that send is ended: the request may have gone to the endpoint again.
        """
        request = state.in_flight.get(request_id)
        if request is None or (sent is not None and request is not sent):
            return
        del state.in_flight[request_id]
        if request.placed:
            self.on_place_left(state)
        if request.awaits_first_token:
            state.pending_tokens -= request.prompt_tokens
        if complete:
            state.answered_sent_at = max(state.answered_sent_at, request.sent_at)
            now = self._clock.monotonic()
            usual = self._answer_seconds.get(service, INITIAL_ANSWER_SECONDS)
            self._answer_seconds[service] = usual + AVERAGE_GAIN * (now - request.sent_at - usual)


def filter_holders(
    states: list[EndpointState], inference: InferenceSpec | None, now: float
) -> list[EndpointState]:
    """Return the endpoints that hold the requested item; plain services have none."""
    if inference is None:
        return states
    return [state for state in states if state.holds(inference, now)]


def keep_draining(entry: EndpointEntry, known: EndpointState) -> EndpointEntry:
    """Return the entry of a start, draining if the known one drains."""
    same = entry.started_ms == known.entry.started_ms
    if not same or not known.entry.draining:
        return entry
    return replace(entry, draining=True, taken_away=entry.taken_away or known.entry.taken_away)


def load_seconds(entry: EndpointEntry, model: Model) -> float:
    """Return how long an endpoint takes to load a model, depending on its cached weights."""
    if model.name in entry.in_memory:
        return model.memory_load_seconds
    return model.disk_load_seconds if model.name in entry.on_disk else model.load_seconds


def count_shared_tokens(inference: InferenceSpec) -> int:
    """Return the prompt tokens that other requests may share."""
    return sum(part.tokens for part in inference.parts[:-1])


def find_preferred(states: list[EndpointState], inference: InferenceSpec | None) -> str:
    """Return the id of the endpoint that all hosts prefer for a prompt's shared part, or "".

    Hosts do not exchange which prompts they sent where; the same hash on all of them routes
    requests that share a part to the same endpoint.
    """
    if inference is None or len(inference.parts) < 2 or not states:
        return ""
    shared = f"{prompt_cache_key(inference)}|{inference.parts[-2].id}"
    return max(states, key=lambda state: weigh(shared, state.key)).key
