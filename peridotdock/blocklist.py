"""A block list of requests that crash the endpoints that run them, shared by all hosts.

Failure guarded against: a request ends every engine that begins it. The caller retries it under new
ids at any host, so each host sees only some of the ends and each attempt starts without a list of
tried engines. Engine after engine ends, with all streams of other callers. Each host therefore
publishes which requests an endpoint had just begun when it ended, and all hosts apply the same rule
to the union; with nine hosts a request is blocked a fifth of a second after the third end.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Protocol

from peridotdock.context import Context
from peridotdock.decisions.poison import MIN_CRASHES, Verdict, find_poison
from peridotdock.errors import Failure, Kind
from peridotdock.fact_table import FactTable, KnownFact, Slot
from peridotdock.schema.messages import EndpointEnd, EndsFact
from peridotdock.trials import Trials

TOPIC = "ends"
# A request is blocked for this long after its last end; then it is tried again, as the endpoints
# may have been fixed. If they have not, it ends one endpoint in each such period.
BLOCKED_SECONDS = 600.0
# An end counts against the requests that were running for this long: six trials of one request.
REMEMBERED_SECONDS = 3600.0
# The retry-after of a request that waits for a trial; most trials are answered by then, so that the
# next one can start.
TRIAL_RETRY_SECONDS = 1.0
# Ends that a host remembers: one for each endpoint of the largest deployment designed for.
MAX_ENDS = 1000
# Ends, beside those of blocked requests, and answers that a host publishes in one fact. Older ones
# were published before; the bound keeps the fact small when a whole failure domain ends at once.
MAX_PUBLISHED_ENDS = 32


@dataclass(frozen=True, slots=True)
class EndpointStart:
    """One start of an endpoint: its id, and a value that differs between starts of that id."""

    endpoint: str
    start: str


@dataclass(frozen=True, slots=True)
class End:
    """The end of an endpoint at a time (monotonic seconds), and the requests it had just begun.

    ``published`` are the requests that this host publishes for this end.
    """

    at: float
    contents: frozenset[str]
    published: frozenset[str]


@dataclass(frozen=True, slots=True)
class Block:
    """A blocked request: its content id, its ends, and the seconds until it may be tried again."""

    content: str
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
        return Failure(Kind.BLOCKED, f"content {self.content}, {self.ends} ended", retry_after)


class IdentifiedRequest(Protocol):
    """A request that can be matched to other attempts at the same content."""

    @property
    def content_id(self) -> str:
        """Return the id that all attempts at the same request share."""


class Blocklist:
    """The requests that this host does not send, judged by the ends that all hosts published.

    ``has_ended`` tells whether the start of an endpoint whose answer broke off at a time has ended:
    an answer also breaks off when the connection between endpoint and host fails. ``may_try`` tells
    whether this host allows the trials of doubtful requests. ``on_blocked`` is called when a
    request is newly blocked.
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
        self._suspects: set[str] = set()
        self._judgement_due = False
        self._answered: dict[str, float] = {}
        self._logged: frozenset[str] = frozenset()
        self.trials = Trials(ctx, may_try)
        self._unpublished = False
        self.on_blocked: Callable[[], None] = lambda: None
        facts.listen(self._on_changed)

    # Observations of this host

    def record_end(self, req: IdentifiedRequest, start: EndpointStart) -> None:
        """Note that an endpoint broke off soon after it had been sent a request."""
        content = frozenset({req.content_id})
        self._add(start, self._ctx.clock.monotonic(), content, published=content)
        self._unpublished = True
        self._judge_if_due()

    def record_answer(self, req: IdentifiedRequest) -> None:
        """Clear a request that was answered successfully of all ends so far."""
        if not self._counts:
            return
        content = req.content_id
        if content in self._counts:
            self._clear(content, self._ctx.clock.monotonic())
            self._unpublished = True

    async def admit(self, req: IdentifiedRequest) -> Failure | None:
        """Return the failure with which to reject a blocked request, or None.

        A request that is blocked in doubt may become the current trial, also at a host that does
        not allow the trials itself.
        """
        refusal = self.refusal(req)
        block = self._find_block(req) if refusal is not None else None
        if block is not None and not block.certain and await self.trials.request(req):
            return None
        return refusal

    def refusal(self, req: IdentifiedRequest) -> Failure | None:
        """Return the failure with which to reject a blocked request that is not on trial."""
        block = self._find_block(req)
        if block is None or (not block.certain and self.trials.allows(req)):
            return None
        return block.failure()

    def _find_block(self, req: IdentifiedRequest) -> Block | None:
        if not self._suspects:
            return None
        content = req.content_id
        if content not in self._suspects:
            return None
        verdict = self._judge()
        if content not in verdict.blocked:
            return None
        ends = [end.at for end in self._ends.values() if content in end.contents]
        remaining = max(ends) + BLOCKED_SECONDS - self._ctx.clock.monotonic()
        return Block(content, len(ends), remaining, content in verdict.doubtful)

    def blocked(self) -> frozenset[str]:
        """Return the contents that must not be sent now, and log those that are new."""
        return self._judge().blocked

    def _judge(self) -> Verdict:
        self._judgement_due = False
        self._expire()
        ends = self._ends.items()
        verdict = find_poison(end.contents for start, end in ends if self._has_ended(start, end.at))
        new, self._logged = verdict.blocked - self._logged, verdict.blocked
        for content in new:
            self._log(content, verdict)
        if new:
            self.on_blocked()
        return verdict

    def _log(self, content: str, verdict: Verdict) -> None:
        names = [start.endpoint for start, end in self._ends.items() if content in end.contents]
        doubt = ", in doubt" if content in verdict.doubtful else ""
        detail = f"content {content}{doubt}, ended: {' '.join(names)}"
        self._ctx.timeline.add("request_blocked", "WARNING", detail=detail)

    def _judge_if_due(self) -> None:
        """Judge as soon as another request counts enough ends, without waiting for its retry.

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
        contents: frozenset[str],
        published: frozenset[str] = frozenset(),
    ) -> None:
        """Add requests to an end, except those that have been answered since."""
        contents = frozenset(c for c in contents if self._answered.get(c, float("-inf")) < at)
        if not contents:
            return
        known = self._ends.get(start) or End(at, frozenset(), frozenset())
        for content in contents - known.contents:
            self.trials.end(content, at)
        self._counts.update(contents - known.contents)
        suspects = {c for c in contents if self._counts[c] >= MIN_CRASHES}
        self._judgement_due = self._judgement_due or not suspects <= self._suspects
        self._suspects |= suspects
        self._ends[start] = End(
            min(known.at, at), known.contents | contents, known.published | (published & contents)
        )

    def _clear(self, content: str, at: float) -> None:
        """Stop counting the ends up to a time against a request."""
        self._answered[content] = max(at, self._answered.get(content, at))
        self.trials.end(content, at)
        for start, end in list(self._ends.items()):
            if content in end.contents and end.at <= at:
                self._drop(start, frozenset({content}))

    def _drop(self, start: EndpointStart, contents: frozenset[str]) -> None:
        end = self._ends[start]
        for content in contents & end.contents:
            self._counts[content] -= 1
            if self._counts[content] < MIN_CRASHES:
                self._suspects.discard(content)
            if not self._counts[content]:
                del self._counts[content]
        rest = replace(end, contents=end.contents - contents, published=end.published - contents)
        if rest.contents:
            self._ends[start] = rest
        else:
            del self._ends[start]

    def _expire(self) -> None:
        """Drop ends and answers that are too old, and the oldest ends beyond ``MAX_ENDS``."""
        oldest = self._ctx.clock.monotonic() - REMEMBERED_SECONDS
        by_age = sorted(self._ends, key=lambda start: self._ends[start].at)
        late = {start for start in by_age if self._ends[start].at < oldest}
        late.update(by_age[: max(0, len(by_age) - MAX_ENDS)])
        for start in late:
            self._drop(start, self._ends[start].contents)
        self._answered = {content: at for content, at in self._answered.items() if at >= oldest}

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
            EndpointEnd(start.endpoint, start.start, round(now - end.at, 2), sorted(end.published))
            for start, end in published[:limit]
        ]
        answered = sorted(self._answered.items(), key=lambda row: row[1], reverse=True)
        return EndsFact(ends, {c: round(now - at, 2) for c, at in answered[:MAX_PUBLISHED_ENDS]})

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
        for row in known.fact.ends:
            start = EndpointStart(row.endpoint, row.start)
            self._add(start, known.at - row.age, frozenset(row.contents))

    # Persistence

    def ends_of_blocked(self) -> list[EndpointEnd]:
        """Return the ends of the blocked requests, without the other requests that were there."""
        now, blocked = self._ctx.clock.monotonic(), self.blocked()
        return [
            EndpointEnd(start.endpoint, start.start, now - end.at, sorted(end.contents & blocked))
            for start, end in self._ends.items()
            if end.contents & blocked
        ]

    def adopt(self, ends: Iterable[EndpointEnd]) -> None:
        """Add ends, and publish them like those that this host observed itself."""
        now = self._ctx.clock.monotonic()
        for row in ends:
            start, contents = EndpointStart(row.endpoint, row.start), frozenset(row.contents)
            known = self._ends.get(start)
            if known is None or not contents <= known.published:
                self._add(start, now - row.age, contents, published=contents)
                self._unpublished = True
