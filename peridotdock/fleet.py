"""State of each endpoint at this host: items, load, own requests, cached prefixes, trust."""

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

# Requests remembered per endpoint as sent, or as ended, since its last report.
MAX_SENT = 4096
# Blocks remembered as cached (hints), over all endpoints and at least for each.
MAX_HINTS = 100_000
MIN_HINTS = 64
# Age above which routing penalises a load report as stale.
STALE_SECONDS = 5.0
# Units in which load facts carry prefill tokens and ages.
PREFILL_UNIT_TOKENS = 16
AGE_UNIT_SECONDS = 0.01
# Weight of a new observation in the moving average of trust.
TRUST_GAIN = 0.1
# Longest and shortest lifetime of a hint, and the factors applied to it after hits and misses.
HINT_SECONDS = 60.0
MIN_HINT_SECONDS = 0.5
HINT_GROWTH = 1.1
HINT_SHRINK = 0.6
NEVER = float("-inf")
# Weight of a new observation in the moving average of the time that a request takes.
MEAN_GAIN = 0.05
DEFAULT_LOAD = EngineLoad(0, 0, 0, 8, 10_000.0, 20_000)


@dataclass(frozen=True)
class SentRequest:
    """One request of this host on an endpoint; ``tokens`` is the length of its prefill."""

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
        """Return the current start of the endpoint."""
        return EndpointStart(self.name, self.boot)

    def update_load(self, load: EngineLoad, at: float) -> None:
        """Apply a report taken at ``at``, which already counts all events up to then."""
        self.load = load
        self.load_at = at
        while self._sent_since_report and self._sent_since_report[0].sent_at <= at:
            self.tokens_since_report -= self._sent_since_report.popleft().tokens
        while self._ended_since_report and self._ended_since_report[0] <= at:
            self._ended_since_report.popleft()

    @property
    def net_sent_since_report(self) -> int:
        """Return the number of requests sent since the report minus those that ended since."""
        return len(self._sent_since_report) - len(self._ended_since_report)

    def record_sent(self, request_id: str, at: float, tokens: int) -> None:
        """Count a request as soon as it is sent, before a report can include it."""
        run = SentRequest(at, tokens)
        self.own_requests[request_id] = run
        self._in_prefill[request_id] = run
        self._sent_since_report.append(run)
        self.prefill_tokens += tokens
        self.tokens_since_report += tokens
        if len(self._sent_since_report) > MAX_SENT:
            # A plain service sends no reports that would remove these entries.
            self.tokens_since_report -= self._sent_since_report.popleft().tokens

    def record_first_token(self, request_id: str) -> None:
        """Count a request's prefill as done when its first token arrives."""
        run = self._in_prefill.pop(request_id, None)
        if run is not None:
            self.prefill_tokens -= run.tokens

    def record_finished(self, request_id: str, now: float, whole: bool) -> None:
        """Count a request as ended; complete answers update the mean duration."""
        self.record_first_token(request_id)
        run = self.own_requests.pop(request_id, None)
        if run is None:
            return
        self._ended_since_report.append(now)
        if whole:
            self.mean_seconds += MEAN_GAIN * (now - run.sent_at - self.mean_seconds)

    def add_cached_blocks(self, blocks: Iterable[int], now: float) -> None:
        """Record blocks as cached on the endpoint since ``now``."""
        for block in blocks:
            self.cached_blocks[block] = now
            self.cached_blocks.move_to_end(block)
        while len(self.cached_blocks) > self.hint_limit:
            self.cached_blocks.popitem(last=False)

    def drop_cached_block(self, block: int) -> None:
        """Record a block as no longer cached on the endpoint."""
        self.cached_blocks.pop(block, None)

    def count_cached_blocks(self, blocks: Sequence[int], now: float) -> int:
        """Return how many leading blocks are probably still cached."""
        oldest = now - self.hint_seconds
        count = 0
        for block in blocks:
            if self.cached_blocks.get(block, NEVER) < oldest:
                break
            count += 1
        return count

    def learn_from_hits(self, expected: int, found: int) -> None:
        """Adjust the trust in cache hints by the tokens that a request really hit.

        Evictions are reported late, with gaps, or to another host. A hint is therefore assumed to
        last only as long as hints on this endpoint did so far: hits lengthen that time, misses
        shorten it.
        """
        if expected <= 0:
            return
        share = min(1.0, found / expected)
        self.trust += TRUST_GAIN * (share - self.trust)
        factor = HINT_GROWTH if share > 0.9 else HINT_SHRINK if share < 0.5 else 1.0
        self.hint_seconds = min(HINT_SECONDS, max(MIN_HINT_SECONDS, self.hint_seconds * factor))
        if self.trust < TRUST_GAIN:
            # The hints no longer match the engine's cache; start again from new requests.
            self.cached_blocks.clear()
            self.trust = 0.5

    def record_failure(self, now: float) -> None:
        """Exclude the endpoint for 0.5 s, doubled with each consecutive failure up to 8 s."""
        self.failure_count = min(self.failure_count + 1, 5)
        self.excluded_until = now + 0.25 * 2**self.failure_count

    def record_rejection(self, outcome: Failure, now: float) -> None:
        """Back off for the retry-after with which the endpoint rejected a request."""
        if outcome.retry_after is not None:
            self.backoff_until = max(self.backoff_until, now + outcome.retry_after)

    def record_success(self) -> None:
        """Reset the failure count and end the exclusion."""
        self.failure_count = 0
        self.excluded_until = 0.0


class Fleet:
    """All endpoints, with an index from item to those that can serve it."""

    def __init__(self, facts: FactTable, clock: Clock):
        self._facts = facts
        self._clock = clock
        self.states: dict[str, EndpointState] = {}
        self._by_item: dict[str, list[EndpointState]] = {}
        self._by_name: dict[str, dict[str, None]] = {}
        self._unloading: dict[str, frozenset[tuple[str, str]]] = {}
        self._leaving: dict[str, set[str]] = {}
        facts.listen(self._on_changed)

    def apply_manifest(self, accepted: Accepted) -> None:
        """Replace the endpoints by those of a new manifest; removed ones get no new requests."""
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
        """Return the endpoints that report that they can serve ``item``."""
        return self._by_item.get(item, [])

    def has_ended(self, start: EndpointStart, broke_off: float) -> bool:
        """Tell whether a start of an endpoint has ended: it is down, or a newer one has begun.

        ``broke_off`` is unused: the host that watches the endpoint reports an end within a second.
        """
        state = self.states.get(start.endpoint)
        return state is None or state.down or state.start != start

    def find_servable(self, item: str) -> str:
        """Return ``item``, or another version of it while no endpoint can serve ``item`` yet."""
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
        """Record items that are being unloaded: they get no new requests although still loaded."""
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
