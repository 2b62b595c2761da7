"""What this host knows of each endpoint: items, load, own requests, cached prefixes, trust."""

from collections import OrderedDict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from peridotdock.blocklist import EndpointStart
from peridotdock.clients.endpoint import EngineLoad
from peridotdock.clock import Clock
from peridotdock.columns import unpack
from peridotdock.errors import Failure
from peridotdock.fact_table import FactTable, Slot
from peridotdock.items import name_of
from peridotdock.ledger import State
from peridotdock.manifest import Accepted
from peridotdock.schema.messages import HeldFact, LedgerFact, LoadFact

MAX_SENT = 4096
MAX_HINTS = 100_000
MIN_HINTS = 64
STALE_SECONDS = 5.0
PREFILL_UNIT_TOKENS = 16
AGE_UNIT_SECONDS = 0.01
TRUST_GAIN = 0.1
HINT_SECONDS = 60.0
MIN_HINT_SECONDS = 0.5
HINT_GROWTH = 1.1
HINT_SHRINK = 0.6
NEVER = float("-inf")
MEAN_GAIN = 0.05
DEFAULT_LOAD = EngineLoad(0, 0, 0, 8, 10_000.0, 20_000)


@dataclass(frozen=True)
class SentRequest:
    """One request of this host on an endpoint; ``tokens`` is the prefill it brought."""

    sent_at: float
    tokens: int


class EndpointState:
    """One endpoint as seen from this host. All times are monotonic seconds."""

    def __init__(self, name: str, url: str, domain: str):
        self.name = name
        self.url = url
        self.domain = domain
        self.items: frozenset[str] = frozenset()
        self.boot = ""
        self.down = False
        self.leaving = False
        self.load = DEFAULT_LOAD
        self.load_at = float("-inf")
        self.own_requests: dict[str, SentRequest] = {}
        self._in_prefill: dict[str, SentRequest] = {}
        self._sent_since_report: deque[SentRequest] = deque()
        self._ended_since_report: deque[float] = deque(maxlen=MAX_SENT)
        self.prefill_tokens = 0
        self.tokens_since_report = 0
        self.cached_blocks: OrderedDict[int, float] = OrderedDict()
        self.hint_seconds = HINT_SECONDS
        self.hint_limit = MAX_HINTS
        self.trust = 1.0
        self.mean_seconds = 0.3
        self.excluded_until = 0.0
        self.failure_count = 0
        self.backoff_until = 0.0

    @property
    def start(self) -> EndpointStart:
        """Return what tells this start from others of the endpoint."""
        return EndpointStart(self.name, self.boot)

    def update_load(self, load: EngineLoad, at: float) -> None:
        """Take in a report that was true at ``at``; what happened up to then is in it."""
        self.load = load
        self.load_at = at
        while self._sent_since_report and self._sent_since_report[0].sent_at <= at:
            self.tokens_since_report -= self._sent_since_report.popleft().tokens
        while self._ended_since_report and self._ended_since_report[0] <= at:
            self._ended_since_report.popleft()

    @property
    def net_sent_since_report(self) -> int:
        """Return the requests this host sent since the report, less those it saw end."""
        return len(self._sent_since_report) - len(self._ended_since_report)

    def note_sent(self, request_id: str, at: float, tokens: int) -> None:
        """Count a request the moment it is sent, before any report can show it."""
        run = SentRequest(at, tokens)
        self.own_requests[request_id] = run
        self._in_prefill[request_id] = run
        self._sent_since_report.append(run)
        self.prefill_tokens += tokens
        self.tokens_since_report += tokens
        if len(self._sent_since_report) > MAX_SENT:
            # A plain service sends no reports that would say which of these are old news.
            self.tokens_since_report -= self._sent_since_report.popleft().tokens

    def note_first_token(self, request_id: str) -> None:
        """Note that a request's first token came."""
        run = self._in_prefill.pop(request_id, None)
        if run is not None:
            self.prefill_tokens -= run.tokens

    def note_finished(self, request_id: str, now: float, whole: bool) -> None:
        """Note that a request ended; whole answers teach how long one takes."""
        self.note_first_token(request_id)
        run = self.own_requests.pop(request_id, None)
        if run is None:
            return
        self._ended_since_report.append(now)
        if whole:
            self.mean_seconds += MEAN_GAIN * (now - run.sent_at - self.mean_seconds)

    def add_cached_blocks(self, blocks: Iterable[int], now: float) -> None:
        """Take the blocks as cached there since ``now``."""
        for block in blocks:
            self.cached_blocks[block] = now
            self.cached_blocks.move_to_end(block)
        while len(self.cached_blocks) > self.hint_limit:
            self.cached_blocks.popitem(last=False)

    def drop_cached_block(self, block: int) -> None:
        """Take a block as no longer cached there."""
        self.cached_blocks.pop(block, None)

    def count_cached_blocks(self, blocks: Sequence[int], now: float) -> int:
        """Return how many leading blocks are thought to be cached still."""
        oldest = now - self.hint_seconds
        count = 0
        for block in blocks:
            if self.cached_blocks.get(block, NEVER) < oldest:
                break
            count += 1
        return count

    def learn_from_hits(self, expected: int, found: int) -> None:
        """Correct the trust in hints by what a request really hit, both in tokens.

        Evictions are heard of late, with gaps, or by another host. So a hint is held to last only
        as long as hints on this endpoint have proved to: hits lengthen that time, misses cut it.
        """
        if expected <= 0:
            return
        share = min(1.0, found / expected)
        self.trust += TRUST_GAIN * (share - self.trust)
        factor = HINT_GROWTH if share > 0.9 else HINT_SHRINK if share < 0.5 else 1.0
        self.hint_seconds = min(HINT_SECONDS, max(MIN_HINT_SECONDS, self.hint_seconds * factor))
        if self.trust < TRUST_GAIN:
            # The picture has come apart from the engine's cache; start again from evidence.
            self.cached_blocks.clear()
            self.trust = 0.5

    def note_failure(self, now: float) -> None:
        """Leave the endpoint out for a while, longer each time it fails in a row."""
        self.failure_count = min(self.failure_count + 1, 5)
        self.excluded_until = now + 0.25 * 2**self.failure_count

    def note_rejection(self, outcome: Failure, now: float) -> None:
        """Give the endpoint the rest that it asked for as it turned a request away."""
        if outcome.retry_after is not None:
            self.backoff_until = max(self.backoff_until, now + outcome.retry_after)

    def note_success(self) -> None:
        """End the series of failures."""
        self.failure_count = 0
        self.excluded_until = 0.0


class Fleet:
    """All endpoints, with an index from item to those that can serve it."""

    def __init__(self, board: FactTable, clock: Clock):
        self._facts = board
        self._clock = clock
        self.states: dict[str, EndpointState] = {}
        self._by_item: dict[str, list[EndpointState]] = {}
        self._by_name: dict[str, dict[str, None]] = {}
        self._unloading: dict[str, frozenset[tuple[str, str]]] = {}
        self._leaving: dict[str, set[str]] = {}
        board.listen(self._on_changed)

    def apply_manifest(self, accepted: Accepted) -> None:
        """Take the endpoints of a new manifest; those it drops get no new work."""
        old = self.states
        self.states = {}
        for name, row in accepted.endpoints.items():
            state = old.get(name)
            if state is None or state.url != row.url:
                state = EndpointState(name, row.url, row.domain)
            state.domain = row.domain
            state.hint_limit = max(MIN_HINTS, MAX_HINTS // len(accepted.endpoints))
            self.states[name] = state
        for origin, known in self._facts.by_origin("held").items():
            self._apply_held(origin, known.fact)
        self._index()

    def holders(self, item: str) -> list[EndpointState]:
        """Return the endpoints whose own word is that they can serve ``item``."""
        return self._by_item.get(item, [])

    def has_ended(self, start: EndpointStart, broke_off: float) -> bool:
        """Tell whether a start of an endpoint has ended: it is down, or another one has begun.

        ``broke_off`` is not needed: the host that watches the endpoint says so within a second.
        """
        state = self.states.get(start.endpoint)
        return state is None or state.down or state.start != start

    def find_servable(self, item: str) -> str:
        """Return ``item``, or another version of it while no endpoint can serve that one yet."""
        if item in self._by_item:
            return item
        return next(iter(self._by_name.get(name_of(item), ())), item)

    def _on_changed(self, slots: list[Slot]) -> None:
        held = False
        for origin, topic in slots:
            known = self._facts.get(origin, topic)
            if known is None:
                continue
            if topic == "load":
                self._apply_load(known.fact, known.at)
            elif topic == "held":
                self._apply_held(origin, known.fact)
                held = True
            elif topic == "ledger":
                held = self._apply_ledger(origin, known.fact) or held
        if held:
            self._index()

    def _apply_load(self, fact: LoadFact, at: float) -> None:
        columns = [unpack("H", raw) for raw in (fact.running, fact.waiting, fact.prefill, fact.age)]
        limits, rates = unpack("H", fact.batch_limit), unpack("I", fact.prefill_rate)
        steps = unpack("I", fact.step_us)
        for place, name in enumerate(fact.endpoints):
            state = self.states.get(name)
            if state is None:
                continue
            running, waiting, prefill, age = (column[place] for column in columns)
            taken_at = at - age * AGE_UNIT_SECONDS
            if taken_at < state.load_at:
                continue
            load = EngineLoad(
                running,
                waiting,
                prefill * PREFILL_UNIT_TOKENS,
                limits[place],
                rates[place],
                steps[place],
            )
            state.update_load(load, taken_at)

    def _apply_held(self, origin: str, fact: HeldFact) -> None:
        down = set(fact.down)
        for name, items in fact.held.items():
            if name in self.states:
                self.states[name].items = frozenset(items)
                self.states[name].down = name in down
                self.states[name].boot = fact.boots.get(name, "")
        for name in down - set(fact.held):
            if name in self.states:
                self.states[name].down = True
        self._leaving[origin] = set(fact.leaving)
        leaving = set().union(*self._leaving.values())
        for name, state in self.states.items():
            state.leaving = name in leaving

    def _apply_ledger(self, origin: str, fact: LedgerFact) -> bool:
        """Note what is being unloaded: it gets no new work, though the engine still has it."""
        found = frozenset(
            (name, row.item)
            for name, rows in fact.rows.items()
            for row in rows
            if row.state == State.UNLOADING
        )
        changed = found != self._unloading.get(origin, frozenset())
        self._unloading[origin] = found
        return changed

    def _index(self) -> None:
        unloading = frozenset().union(*self._unloading.values())
        index: dict[str, list[EndpointState]] = {}
        names: dict[str, dict[str, None]] = {}
        for state in self.states.values():
            for item in state.items:
                base = item.partition("~")[2]
                if (state.name, item) in unloading or (base and base not in state.items):
                    continue
                index.setdefault(item, []).append(state)
                names.setdefault(name_of(item), {})[item] = None
        self._by_item = index
        self._by_name = names
