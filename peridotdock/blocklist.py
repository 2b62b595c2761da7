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

from peridotdock.board import Board, Known, Slot
from peridotdock.context import Context
from peridotdock.decisions.poison import MIN_CRASHES, Verdict, find_poison
from peridotdock.errors import Failure, Kind
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
TRY_AGAIN_SECONDS = 1.0
# Ends that a host remembers: those of all endpoints of the size designed for.
MOST_ENDS = 1000
# Ends that a host tells of, beside those under blocked requests, and answers. Older ones were told
# before; the bound keeps the message small when all endpoints of a failure domain end at once.
MOST_TOLD = 32


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
    told: frozenset[str]


class Identified(Protocol):
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
        board: Board,
        has_ended: Callable[[EndpointStart, float], bool],
        may_try: Callable[[], bool],
    ):
        self._ctx = ctx
        self._board = board
        self._has_ended = has_ended
        self._ends: dict[EndpointStart, End] = {}
        self._counts: Counter[str] = Counter()
        self._often: set[str] = set()
        self._news = False
        self._answered: dict[str, float] = {}
        self._logged: frozenset[str] = frozenset()
        self._trials = Trials(ctx, may_try)
        self._untold = False
        self.on_blocked: Callable[[], None] = lambda: None
        board.listen(self._hear)

    # What this host sees

    def note_end(self, ask: Identified, start: EndpointStart) -> None:
        """Note that an endpoint broke off soon after it had been sent a request."""
        content = frozenset({ask.content_id})
        self._add(start, self._ctx.clock.monotonic(), content, told=content)
        self._trials.end(ask)
        self._untold = True
        self._look()

    def note_answer(self, ask: Identified) -> None:
        """Note that a request was answered with success: it ends nothing."""
        if not self._counts:
            return
        content = ask.content_id
        if content in self._counts:
            self._clear(content, self._ctx.clock.monotonic())
            self._trials.end(ask)
            self._untold = True

    def refusal(self, ask: Identified) -> Failure | None:
        """Return why a request must not be sent, or None."""
        if not self._often:
            return None
        content = ask.content_id
        if content not in self._often:
            return None
        verdict = self._judge()
        if content not in verdict.blocked:
            return None
        ends = [end.at for end in self._ends.values() if content in end.contents]
        left = max(ends) + BLOCKED_SECONDS - self._ctx.clock.monotonic()
        certain = left > 0 and content not in verdict.doubtful
        if not certain and self._trials.allows(ask):
            return None
        again = left if certain else TRY_AGAIN_SECONDS
        return Failure(Kind.BLOCKED, f"content {content}, {len(ends)} ended", again)

    def blocked(self) -> frozenset[str]:
        """Return the contents that must not be sent now, and log those that are new."""
        return self._judge().blocked

    def _judge(self) -> Verdict:
        self._news = False
        self._forget()
        ends = self._ends.items()
        found = find_poison(end.contents for start, end in ends if self._has_ended(start, end.at))
        news, self._logged = found.blocked - self._logged, found.blocked
        for content in news:
            self._log(content, found)
        if news:
            self.on_blocked()
        return found

    def _log(self, content: str, verdict: Verdict) -> None:
        names = [start.endpoint for start, end in self._ends.items() if content in end.contents]
        doubt = ", in doubt" if content in verdict.doubtful else ""
        detail = f"content {content}{doubt}, ended: {' '.join(names)}"
        self._ctx.timeline.add("request_blocked", "WARNING", detail=detail)

    def _look(self) -> None:
        """Look for requests to block when one is at enough ends, not when it comes again.

        Only then: an end is noted for each of the requests that were there, sixty at a time.
        """
        if self._news:
            self.blocked()

    # What all know

    def _add(
        self,
        start: EndpointStart,
        at: float,
        contents: frozenset[str],
        told: frozenset[str] = frozenset(),
    ) -> None:
        """Add requests to an end, but for those that were answered since."""
        contents = frozenset(c for c in contents if self._answered.get(c, float("-inf")) < at)
        if not contents:
            return
        known = self._ends.get(start) or End(at, frozenset(), frozenset())
        self._counts.update(contents - known.contents)
        often = {c for c in contents if self._counts[c] >= MIN_CRASHES}
        self._news = self._news or not often <= self._often
        self._often |= often
        self._ends[start] = End(
            min(known.at, at), known.contents | contents, known.told | (told & contents)
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
                self._often.discard(content)
            if not self._counts[content]:
                del self._counts[content]
        rest = replace(end, contents=end.contents - contents, told=end.told - contents)
        if rest.contents:
            self._ends[start] = rest
        else:
            del self._ends[start]

    def _forget(self) -> None:
        """Forget what is too old, and the oldest of what is too much."""
        oldest = self._ctx.clock.monotonic() - REMEMBERED_SECONDS
        by_age = sorted(self._ends, key=lambda start: self._ends[start].at)
        late = {start for start in by_age if self._ends[start].at < oldest}
        late.update(by_age[: max(0, len(by_age) - MOST_ENDS)])
        for start in late:
            self._drop(start, self._ends[start].contents)
        self._answered = {content: at for content, at in self._answered.items() if at >= oldest}

    # What hosts tell each other

    def tell(self) -> None:
        """Tell the other hosts what is new."""
        if self._untold:
            self._untold = False
            self._forget()
            self._board.publish(TOPIC, self._fact())

    def _fact(self) -> EndsFact:
        now = self._ctx.clock.monotonic()
        blocked = self.blocked()
        told = [(start, end) for start, end in self._ends.items() if end.told]
        told.sort(key=lambda row: (bool(row[1].told & blocked), row[1].at), reverse=True)
        most = MOST_TOLD + sum(bool(end.told & blocked) for _, end in told)
        ends = [
            EndpointEnd(start.endpoint, start.start, round(now - end.at, 2), sorted(end.told))
            for start, end in told[:most]
        ]
        answered = sorted(self._answered.items(), key=lambda row: row[1], reverse=True)
        return EndsFact(ends, {c: round(now - at, 2) for c, at in answered[:MOST_TOLD]})

    def _hear(self, slots: list[Slot]) -> None:
        for origin, topic in slots:
            known = self._board.get(origin, topic) if topic == TOPIC else None
            if known is not None and origin != self._board.host:
                self._take(known)
                self._forget()
                self._look()

    def _take(self, known: Known) -> None:
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

    def vouch(self, ends: Iterable[EndpointEnd]) -> None:
        """Take in ends, and tell of them as of those that this host saw itself."""
        now = self._ctx.clock.monotonic()
        for row in ends:
            start, contents = EndpointStart(row.endpoint, row.start), frozenset(row.contents)
            known = self._ends.get(start)
            if known is None or not contents <= known.told:
                self._add(start, now - row.age, contents, told=contents)
                self._untold = True
