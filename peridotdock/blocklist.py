"""A block list of what crashes the endpoints that run it, shared by all hosts.

Failures guarded against: a request ends every engine that begins it. The caller retries it under
new ids at any host, so each host sees only some of the ends and each attempt starts without a list
of tried engines. Or requests of which no two are alike share a prompt part that ends engines.
Engine after engine ends, with all streams of other callers. Each host therefore publishes which
requests and prompt parts an endpoint had just begun when it ended, and which parts are harmless, as
requests that hold them were answered. All hosts apply the same rule to the union; with nine hosts a
request is blocked a fifth of a second after the third end.
"""

from collections import Counter
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, replace
from typing import Protocol

from peridotdock.context import Context
from peridotdock.decisions.poison import (
    MIN_CRASHES,
    PART_PREFIX,
    Verdict,
    describe,
    find_poison,
    is_part,
    part_cause,
)
from peridotdock.errors import Failure, Kind
from peridotdock.fact_table import FactTable, KnownFact, Slot
from peridotdock.schema.messages import EndpointEnd, EndsFact
from peridotdock.trials import Trials

TOPIC = "ends"
# A request is blocked for this long after its last end; then it is tried again, as the endpoints
# may have been fixed. If they have not, it ends one endpoint in each such period.
BLOCKED_SECONDS = 600.0
# The same for a prompt part, by the ends that it caused since all hosts had to know of it. Any
# caller's requests may hold it, so a harmless one is found out soon; a harmful one ends two
# endpoints more in a day.
PART_BLOCKED_SECONDS = (10.0, 600.0, 86_400.0)
# Time after the end for which a part is blamed until all hosts in touch know of it.
KNOWN_SECONDS = 5.0
# An end counts against the requests that were running for this long: six trials of one request.
REMEMBERED_SECONDS = 3600.0
# The same for the prompt parts of the requests.
PART_REMEMBERED_SECONDS = 86_400.0
# The retry-after of a request that waits for a trial; most trials are answered by then, so that the
# next one can start.
TRIAL_RETRY_SECONDS = 1.0
# Ends that a host remembers: one for each endpoint of the largest deployment designed for.
MAX_ENDS = 1000
# Answered contents and parts that a host remembers.
MAX_ANSWERED = 1000
# Ends, beside those of blocked requests, and answers that a host publishes in one fact. Older ones
# were published before; the bound keeps the fact small when a whole failure domain ends at once.
MAX_PUBLISHED_ENDS = 32
# Parts in that fact that are harmless, as sixty streams that an end broke off may hold.
MAX_PUBLISHED_PARTS = 120
# Hosts see the same end at times that differ by less than this.
END_SKEW_SECONDS = 1.0
# Age in seconds up to which a verdict lets a request pass, if no end was added since.
VERDICT_SECONDS = 0.05
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class EndpointStart:
    """One start of an endpoint: its id, and a value that differs between starts of that id."""

    endpoint: str
    start: str


@dataclass(frozen=True, slots=True)
class End:
    """The end of an endpoint at a time (monotonic seconds), and the causes it had just begun.

    ``published`` are the causes that this host publishes for this end.
    """

    at: float
    causes: frozenset[str]
    published: frozenset[str]


@dataclass(frozen=True, slots=True)
class Block:
    """A blocked cause: its id, its ends, and the seconds until it may be tried again.

    ``doubtful`` tells whether the request in question may show that the cause is harmless.
    """

    cause: str
    ends: int
    remaining: float
    doubtful: bool

    @property
    def certain(self) -> bool:
        """Return whether the request must not be sent, not even as a trial."""
        return self.remaining > 0 and not self.doubtful

    def failure(self) -> Failure:
        """Return the failure with which the request is rejected."""
        retry_after = self.remaining if self.certain else TRIAL_RETRY_SECONDS
        return Failure(Kind.BLOCKED, f"{describe(self.cause)}, {self.ends} ended", retry_after)


class IdentifiedRequest(Protocol):
    """A request that can be matched to other attempts at the same content."""

    @property
    def content_id(self) -> str:
        """Return the id that all attempts at the same request share."""

    @property
    def part_ids(self) -> tuple[str, ...]:
        """Return the ids of the prompt parts that other requests may share."""


class Blocklist:
    """The requests that this host does not send, judged by the ends that all hosts published.

    ``has_ended`` tells whether the start of an endpoint whose answer broke off at a time has ended:
    an answer also breaks off when the connection between endpoint and host fails. ``may_try`` tells
    whether this host allows the trials of doubtful requests. ``on_blocked`` is called when a
    request or a prompt part is newly blocked.
    """

    def __init__(
        self,
        ctx: Context,
        facts: FactTable,
        has_ended: Callable[[EndpointStart, float], bool],
        may_try: Callable[[], bool],
    ):
        self._ctx = ctx
        self._facts = facts
        self._has_ended = has_ended
        self._ends: dict[EndpointStart, End] = {}
        self._counts: Counter[str] = Counter()
        # Contents at some end: bodies are not hashed while there is none.
        self._content_count = 0
        self._suspects: set[str] = set()
        self._judgement_due = False
        self._verdict = Verdict()
        self._judged_at = NEVER
        self._answered: dict[str, float] = {}
        self._logged: frozenset[str] = frozenset()
        self.trials = Trials(ctx, may_try)
        self.trials.is_due = self._is_due
        self._unpublished = False
        # Rises with each end that counts against a request or a part; 0 while there is none.
        self.revision = 0
        self.on_blocked: Callable[[], None] = lambda: None
        for kind, of_kind in (("part", True), ("content", False)):
            ctx.metrics.blocked.labels(kind).set_function(
                lambda of_kind=of_kind: sum(is_part(cause) is of_kind for cause in self._logged)
            )
        facts.listen(self._on_changed)

    # Observations of this host

    def record_end(self, req: IdentifiedRequest, start: EndpointStart) -> None:
        """Note that an endpoint broke off soon after it had been sent a request."""
        causes = frozenset({req.content_id, *map(part_cause, req.part_ids)})
        self._add(start, self._ctx.clock.monotonic(), causes, published=causes)
        self._unpublished = True
        self._judge_if_due()

    def record_answer(self, req: IdentifiedRequest) -> None:
        """Clear a request that was answered successfully, and its parts, of all ends so far."""
        if not self._counts:
            return
        self.record_streaming(req)
        content = req.content_id if self._content_count else ""
        if content in self._counts:
            self._clear(content, self._ctx.clock.monotonic())
            self._unpublished = True

    def record_streaming(self, req: IdentifiedRequest) -> None:
        """Clear the parts of a request of all ends so far, as it has streamed for a while."""
        for cause in map(part_cause, req.part_ids):
            if cause in self._counts:
                self._clear(cause, self._ctx.clock.monotonic())
                self._unpublished = True

    def record_lost_stream(self, req: IdentifiedRequest) -> None:
        """Clear the parts of a request that had streamed for a while when its endpoint ended.

        Other hosts may have seen this end a moment later, and this host may count it later on.
        """
        at = self._ctx.clock.monotonic() + END_SKEW_SECONDS
        for part in req.part_ids:
            self._clear(part_cause(part), at)
            self._unpublished = True

    async def admit(self, req: IdentifiedRequest) -> Failure | None:
        """Return the failure with which to reject a blocked request, or None.

        A request that is blocked in doubt may become the current trial, also at a host that does
        not allow the trials itself.
        """
        refusal = self.refusal(req)
        block = self._find_block(req) if refusal is not None else None
        if block is None or block.certain or not await self.trials.request(req, block.cause):
            return refusal
        return None

    def refusal(self, req: IdentifiedRequest) -> Failure | None:
        """Return the failure with which to reject a blocked request that is not on trial."""
        block = self._find_block(req)
        if block is None or (not block.certain and self.trials.allows(req, block.cause)):
            return None
        return block.failure()

    def _find_block(self, req: IdentifiedRequest) -> Block | None:
        """Return what blocks a request, what is certain first."""
        if not self._suspects:
            return None
        blocked = self._judge(VERDICT_SECONDS).blocked
        causes = set(map(part_cause, req.part_ids))
        if causes.isdisjoint(blocked) and all(map(is_part, blocked)):
            return None
        causes.add(req.content_id)
        if causes.isdisjoint(blocked):
            return None
        verdict = self._judge()
        blocks = [self._make_block(cause, causes, verdict) for cause in causes & verdict.blocked]
        return max(blocks, key=lambda block: (block.certain, block.remaining), default=None)

    def _make_block(self, cause: str, causes: Collection[str], verdict: Verdict) -> Block:
        ends = sorted(end.at for end in self._ends.values() if cause in end.causes)
        remaining = ends[-1] + blocked_seconds(cause, ends) - self._ctx.clock.monotonic()
        rivals = verdict.rivals.get(cause, frozenset())
        doubtful = cause in verdict.doubtful and rivals.isdisjoint(causes)
        return Block(cause, len(ends), remaining, doubtful)

    def _is_due(self, cause: str) -> bool:
        """Return whether a cause may be tried, by what this host knows.

        A host that asks for a trial may not have heard yet how the last one ended.
        """
        verdict = self._judge()
        if cause not in verdict.blocked:
            return True
        return not self._make_block(cause, (), verdict).certain

    def blocked(self) -> frozenset[str]:
        """Return the causes that must not be sent now, and log those that are new."""
        return self._judge().blocked

    def _judge(self, max_age: float = 0.0) -> Verdict:
        """Return a verdict that is at most so many seconds old."""
        now = self._ctx.clock.monotonic()
        if now < self._judged_at + max_age:
            return self._verdict
        self._judgement_due = False
        self._expire()
        ends = self._ends.items()
        verdict = find_poison(end.causes for start, end in ends if self._has_ended(start, end.at))
        self._verdict, self._judged_at = verdict, now
        new, self._logged = verdict.blocked - self._logged, verdict.blocked
        for cause in sorted(new):
            self._log(cause, verdict)
        if new:
            self.on_blocked()
        return verdict

    def _log(self, cause: str, verdict: Verdict) -> None:
        names = [start.endpoint for start, end in self._ends.items() if cause in end.causes]
        doubt = ", in doubt" if cause in verdict.doubtful else ""
        detail = f"{describe(cause)}{doubt}, ended: {' '.join(names)}"
        self._ctx.timeline.add("request_blocked", "WARNING", detail=detail)

    def _judge_if_due(self) -> None:
        """Judge as soon as another cause counts enough ends, without waiting for its next request.

        An end is recorded once for each request that was running, sixty at a time, so judging at
        every record would cost too much.
        """
        if self._judgement_due:
            self.blocked()

    # Ends of all hosts

    def _add(
        self,
        start: EndpointStart,
        at: float,
        causes: frozenset[str],
        published: frozenset[str] = frozenset(),
    ) -> None:
        """Add causes to an end, except those that have been answered since."""
        causes = frozenset(c for c in causes if self._answered.get(c, NEVER) < at)
        if not causes:
            return
        known = self._ends.get(start) or End(at, frozenset(), frozenset())
        new = causes - known.causes
        for cause in new:
            self.trials.end(cause, at)
        self._count(new, 1)
        self.revision += bool(new)
        self._judgement_due = self._judgement_due or not self._suspects.issuperset(
            cause for cause in new if self._counts[cause] >= MIN_CRASHES
        )
        self._suspects.update(cause for cause in new if self._counts[cause] >= MIN_CRASHES)
        self._ends[start] = End(
            min(known.at, at), known.causes | causes, known.published | (published & causes)
        )

    def _count(self, causes: Iterable[str], ends: int) -> None:
        for cause in causes:
            self._counts[cause] += ends
            self._content_count += 0 if is_part(cause) else ends
            self._judged_at = NEVER

    def _clear(self, cause: str, at: float) -> None:
        """Stop counting the ends up to a time against a cause."""
        self._answered[cause] = max(at, self._answered.get(cause, at))
        self.trials.end(cause, at)
        if cause not in self._counts:
            return
        for start, end in list(self._ends.items()):
            if cause in end.causes and end.at <= at:
                self._drop(start, frozenset({cause}))

    def _drop(self, start: EndpointStart, causes: frozenset[str]) -> None:
        end = self._ends[start]
        dropped = causes & end.causes
        self._count(dropped, -1)
        for cause in dropped:
            if self._counts[cause] < MIN_CRASHES:
                self._suspects.discard(cause)
            if not self._counts[cause]:
                del self._counts[cause]
        rest = replace(end, causes=end.causes - causes, published=end.published - causes)
        if rest.causes:
            self._ends[start] = rest
        else:
            del self._ends[start]

    def _expire(self) -> None:
        """Drop ends and answers that are too old, and the oldest ones beyond the bounds."""
        now = self._ctx.clock.monotonic()
        by_age = sorted(self._ends, key=lambda start: self._ends[start].at)
        for start in by_age[: max(0, len(by_age) - MAX_ENDS)]:
            self._drop(start, self._ends[start].causes)
        for start, end in list(self._ends.items()):
            if end.at < now - REMEMBERED_SECONDS:
                late = {c for c in end.causes if end.at < now - remembered_seconds(c)}
                self._drop(start, frozenset(late))
        kept = sorted(self._answered.items(), key=lambda row: row[1])[-MAX_ANSWERED:]
        self._answered = {cause: at for cause, at in kept if at >= now - remembered_seconds(cause)}

    # Facts between hosts

    def publish_changes(self) -> None:
        """Publish this host's ends and answers if they have changed."""
        if self._unpublished:
            self._unpublished = False
            self._expire()
            self._facts.publish(TOPIC, self._make_fact())

    def _make_fact(self) -> EndsFact:
        now = self._ctx.clock.monotonic()
        blocked = self.blocked()
        published = [(start, end) for start, end in self._ends.items() if end.published]
        published.sort(key=lambda row: (bool(row[1].published & blocked), row[1].at), reverse=True)
        limit = MAX_PUBLISHED_ENDS + sum(bool(end.published & blocked) for _, end in published)
        ends = [
            make_row(start, round(now - end.at, 2), end.published)
            for start, end in published[:limit]
        ]
        answered = sorted(self._answered.items(), key=lambda row: row[1], reverse=True)
        ages = {cause: round(now - at, 2) for cause, at in answered}
        contents = [cause for cause in ages if not is_part(cause)]
        parts = [cause for cause in ages if is_part(cause)]
        return EndsFact(
            ends,
            {content: ages[content] for content in contents[:MAX_PUBLISHED_ENDS]},
            {part.removeprefix(PART_PREFIX): ages[part] for part in parts[:MAX_PUBLISHED_PARTS]},
        )

    def _on_changed(self, slots: list[Slot]) -> None:
        for origin, topic in slots:
            known = self._facts.get(origin, topic) if topic == TOPIC else None
            if known is not None and origin != self._facts.host:
                self._merge_fact(known)
                self._expire()
                self._judge_if_due()

    def _merge_fact(self, known: KnownFact) -> None:
        for content, age in known.fact.answered.items():
            self._clear(content, known.at - age)
        for part, age in known.fact.answered_parts.items():
            self._clear(part_cause(part), known.at - age)
        for row in known.fact.ends:
            self._add(start_of(row), known.at - row.age, causes_of(row))

    # Persistence

    def ends_of_blocked(self) -> list[EndpointEnd]:
        """Return the ends of what is blocked, without the other requests that were there."""
        now, blocked = self._ctx.clock.monotonic(), self.blocked()
        return [
            make_row(start, now - end.at, end.causes & blocked)
            for start, end in self._ends.items()
            if end.causes & blocked
        ]

    def learn(self, ends: Iterable[EndpointEnd]) -> None:
        """Add ends that another host keeps and publishes."""
        now = self._ctx.clock.monotonic()
        for row in ends:
            self._add(start_of(row), now - row.age, causes_of(row))

    def adopt(self, ends: Iterable[EndpointEnd]) -> None:
        """Add ends, and publish them like those that this host observed itself."""
        now = self._ctx.clock.monotonic()
        for row in ends:
            start, causes = start_of(row), causes_of(row)
            known = self._ends.get(start)
            if known is None or not causes <= known.published:
                self._add(start, now - row.age, causes, published=causes)
                self._unpublished = True


def remembered_seconds(cause: str) -> float:
    """Return how long an end counts against a cause."""
    return PART_REMEMBERED_SECONDS if is_part(cause) else REMEMBERED_SECONDS


def blocked_seconds(cause: str, ends: list[float]) -> float:
    """Return how long a cause is blocked after the last of its ends, whose times are in order."""
    if not is_part(cause):
        return BLOCKED_SECONDS
    known_from = ends[min(MIN_CRASHES, len(ends)) - 1] + KNOWN_SECONDS
    later = sum(at > known_from for at in ends)
    return PART_BLOCKED_SECONDS[min(later, len(PART_BLOCKED_SECONDS) - 1)]


def make_row(start: EndpointStart, age: float, causes: Iterable[str]) -> EndpointEnd:
    """Return an end as it is published and stored."""
    contents = sorted(cause for cause in causes if not is_part(cause))
    parts = sorted(cause.removeprefix(PART_PREFIX) for cause in causes if is_part(cause))
    return EndpointEnd(start.endpoint, start.start, age, contents, parts)


def start_of(row: EndpointEnd) -> EndpointStart:
    """Return which start of an endpoint a row is about."""
    return EndpointStart(row.endpoint, row.start)


def causes_of(row: EndpointEnd) -> frozenset[str]:
    """Return the causes in a row."""
    return frozenset({*row.contents, *map(part_cause, row.parts)})
