"""Requests that end the endpoints that run them: all hosts keep them from being sent again.

Failure guarded against: a request ends every engine that begins it. Its caller repeats it under new
ids at any host, so each host sees a part of the ends and each attempt starts with a clean slate.
Engine after engine ends, with all streams of other callers. Each host tells the others which
requests an endpoint had just begun when it ended, and all judge by the same sum, a fifth of a
second after the third end with nine hosts.
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
# Seconds from its last end for which a request is blocked; then it is tried again, as the endpoints
# may have been mended. Where they are not, it ends one in that time.
BLOCKED_SECONDS = 600.0
# Seconds for which an end speaks against the requests that were there: six trials of one of them.
REMEMBERED_SECONDS = 3600.0
# Seconds until the caller of a request that is to be tried may come back: most answers are there by
# then, and the next one can be tried.
TRIAL_RETRY_SECONDS = 1.0
# Ends that a host remembers: those of all endpoints of the size designed for.
MAX_ENDS = 1000
# Ends that a host tells of, beside those under blocked requests, and answers. Older ones were told
# before; the bound keeps the message small when all endpoints of a failure domain end at once.
MAX_PUBLISHED_ENDS = 32


@dataclass(frozen=True, slots=True)
class EndpointStart:
    """One start of an endpoint: its id, and what tells this start from others under that id."""

    endpoint: str
    start: str


@dataclass(frozen=True, slots=True)
class End:
    """The end of an endpoint at a time (monotonic seconds), and the requests it had just begun.

    ``told`` are those of which this host tells the others.
    """

    at: float
    contents: frozenset[str]
    published: frozenset[str]


class IdentifiedRequest(Protocol):
    """A request that is known again in another attempt."""

    @property
    def content_id(self) -> str:
        """Return what all attempts at the same request share."""


class Blocklist:
    """The requests that this host does not send, by the ends of which all hosts have told.

    ``has_ended`` tells whether a start of an endpoint that broke off at a time has ended: answers
    also break off when something between it and a host does. ``may_try`` tells whether this host is
    the one to try what may be innocent. ``on_blocked`` is called when a request is newly blocked.
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
        self._trials = Trials(ctx, may_try)
        self._unpublished = False
        self.on_blocked: Callable[[], None] = lambda: None
        facts.listen(self._on_changed)

    # What this host sees

    def note_end(self, req: IdentifiedRequest, start: EndpointStart) -> None:
        """Note that an endpoint broke off soon after it had been sent a request."""
        content = frozenset({req.content_id})
        self._add(start, self._ctx.clock.monotonic(), content, published=content)
        self._trials.end(req)
        self._unpublished = True
        self._judge_if_due()

    def note_answer(self, req: IdentifiedRequest) -> None:
        """Note that a request was answered with success: it ends nothing."""
        if not self._counts:
            return
        content = req.content_id
        if content in self._counts:
            self._clear(content, self._ctx.clock.monotonic())
            self._trials.end(req)
            self._unpublished = True

    def refusal(self, req: IdentifiedRequest) -> Failure | None:
        """Return why a request must not be sent, or None."""
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
        certain = remaining > 0 and content not in verdict.doubtful
        if not certain and self._trials.allows(req):
            return None
        retry_after = remaining if certain else TRIAL_RETRY_SECONDS
        return Failure(Kind.BLOCKED, f"content {content}, {len(ends)} ended", retry_after)

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
        """Look for requests to block when one is at enough ends, not when it comes again.

        Only then: an end is noted for each of the requests that were there, sixty at a time.
        """
        if self._judgement_due:
            self.blocked()

    # What all know

    def _add(
        self,
        start: EndpointStart,
        at: float,
        contents: frozenset[str],
        published: frozenset[str] = frozenset(),
    ) -> None:
        """Add requests to an end, but for those that were answered since."""
        contents = frozenset(c for c in contents if self._answered.get(c, float("-inf")) < at)
        if not contents:
            return
        known = self._ends.get(start) or End(at, frozenset(), frozenset())
        self._counts.update(contents - known.contents)
        suspects = {c for c in contents if self._counts[c] >= MIN_CRASHES}
        self._judgement_due = self._judgement_due or not suspects <= self._suspects
        self._suspects |= suspects
        self._ends[start] = End(
            min(known.at, at), known.contents | contents, known.published | (published & contents)
        )

    def _clear(self, content: str, at: float) -> None:
        """Hold no end up to a time against a request."""
        self._answered[content] = max(at, self._answered.get(content, at))
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
        """Forget what is too old, and the oldest of what is too much."""
        oldest = self._ctx.clock.monotonic() - REMEMBERED_SECONDS
        by_age = sorted(self._ends, key=lambda start: self._ends[start].at)
        late = {start for start in by_age if self._ends[start].at < oldest}
        late.update(by_age[: max(0, len(by_age) - MAX_ENDS)])
        for start in late:
            self._drop(start, self._ends[start].contents)
        self._answered = {content: at for content, at in self._answered.items() if at >= oldest}

    # What hosts tell each other

    def publish_changes(self) -> None:
        """Tell the other hosts what is new."""
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

    # What lasts

    def ends_of_blocked(self) -> list[EndpointEnd]:
        """Return the ends under the requests that are blocked, with nothing of other requests."""
        now, blocked = self._ctx.clock.monotonic(), self.blocked()
        return [
            EndpointEnd(start.endpoint, start.start, now - end.at, sorted(end.contents & blocked))
            for start, end in self._ends.items()
            if end.contents & blocked
        ]

    def adopt(self, ends: Iterable[EndpointEnd]) -> None:
        """Take in ends, and tell of them as of those that this host saw itself."""
        now = self._ctx.clock.monotonic()
        for row in ends:
            start, contents = EndpointStart(row.endpoint, row.start), frozenset(row.contents)
            known = self._ends.get(start)
            if known is None or not contents <= known.published:
                self._add(start, now - row.age, contents, published=contents)
                self._unpublished = True
