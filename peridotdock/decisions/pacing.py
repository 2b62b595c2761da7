"""Which prompt goes to which engine next, and when: one queue over the prompts of all hosts.

Load pattern: callers of several hosts come within a tenth of a second. An engine reads prompts
between the tokens of the streams that run on it, so all of these pause while it reads, and no host
knows what the others have just sent. One host therefore says for all when a prompt may be sent: in
no span as long as the shortest pause that callers accept does an engine get more to read than fits
between two events. What doesn't fit waits for some hundredths of a second, the most urgent first.
What can't be in time any more goes behind what can.
"""

import math
import random
from collections import deque
from collections.abc import Callable, Container, Hashable, Sequence
from dataclasses import dataclass, replace

from peridotdock.decisions.choice import Candidate, Prediction, Work, choose, unread

# Share of the accepted pause that is planned with: events are some milliseconds on their way.
PAUSE_SHARE = 0.87
# Share of the accepted pause that the tokens of an event take, before any was measured.
EVENT_SHARE = 0.25
# Least share of the accepted pause that prompts may take, however slow an engine's events are.
LEAST_READING_SHARE = 0.2
# Seconds over which an engine's share of urgent prompts is averaged, and the most that it counts
# as: what is late waits for what the urgent ones leave.
URGENT_SECONDS = 1.0
MOST_URGENT = 0.95
# How the bound follows what streams show while an engine is given nearly all that it may: looked at
# each second, it grows when the longest pause of some streams keeps below a share of what callers
# accept, and shrinks when one comes near that.
CONTROL_SECONDS = 1.0
FEWEST_GAPS = 5
FULL_SHARE = 0.8
CALM_SHARE = 0.75
LONG_SHARE = 0.93
GROWTH = 1.15
MOST_FACTOR = 4.0
# Seconds until an engine whose places are all taken is looked at again.
FULL_SECONDS = 0.02
# Seconds of reading that an engine has before it at most when it is given more: the next prompt is
# there when one is read, and what comes meanwhile may still go before it.
LEAD_SECONDS = 0.03
# Seconds after which the hub has surely heard that a prompt was read: two words between hosts.
TELL_SECONDS = 0.4
# Seconds between two looks at prompts whose engines are all queued for, to find those that wait in
# vain.
ALL_SECONDS = 0.05
# Shortest time until the queue is looked at again.
LEAST_SECONDS = 0.002


@dataclass(frozen=True, slots=True)
class PaceLimit:
    """How much reading an engine gets: ``reading`` seconds of it in any ``window`` seconds."""

    window: float
    reading: float

    @property
    def share(self) -> float:
        """Return the share of its time that an engine reads at most."""
        return min(1.0, self.reading / self.window) if self.window else 1.0


def limit_pace(pause: float, event: float | None, factor: float = 1.0) -> PaceLimit:
    """Return the limit that keeps streams from pausing for longer than ``pause`` seconds.

    ``event`` is the time between two events on an engine that reads nothing, None when unknown;
    ``factor`` what :class:`PaceControl` has found.
    """
    tokens = EVENT_SHARE * pause if event is None else event
    reading = PAUSE_SHARE * pause - tokens
    return PaceLimit(pause, factor * max(LEAST_READING_SHARE * pause, reading))


class PaceControl:
    """Finds out how much an engine bears beyond what is safe for any.

    Engines that read prompts in small pieces give tokens all the while, so their streams may hardly
    pause however much they read. Where streams keep well within their pause although an engine got
    all that it may, more is tried; after a pause that was too long, less, and more slowly again.
    """

    def __init__(self) -> None:
        self.factor = 1.0
        self._since = 0.0
        self._seen = 0
        self._longest = 0.0

    def note_gap(
        self, now: float, gap: float, pause: float, given: float, limit: PaceLimit
    ) -> None:
        """Learn from two events of a stream at an engine that was ``given`` so much to read."""
        if given < FULL_SHARE * limit.reading:
            return
        self._seen += 1
        self._longest = max(self._longest, gap)
        if gap > LONG_SHARE * pause:
            self.factor = 1.0
        elif now - self._since < CONTROL_SECONDS:
            return
        elif self._seen >= FEWEST_GAPS and self._longest < CALM_SHARE * pause:
            self.factor = min(MOST_FACTOR, GROWTH * self.factor)
        self._since, self._seen, self._longest = now, 0, 0.0


@dataclass(frozen=True, slots=True)
class PromptAsk:
    """A prompt that a host wants to send. Times are monotonic seconds of the host that decides.

    It must be sent until ``send_by`` to be answered in time, and its caller leaves at ``leave_by``.
    A ``picky`` one may not go to all engines that serve its item.
    """

    id: Hashable
    item: str
    work: Work
    rank: int
    send_by: float
    leave_by: float
    picky: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """A prompt that may be sent now, to the endpoint that was found for it."""

    ask: PromptAsk
    found: Prediction


@dataclass(frozen=True, slots=True)
class Denial:
    """A prompt that would wait for longer than its caller stays; ``wait`` in seconds."""

    ask: PromptAsk
    wait: float


Look = Callable[[PromptAsk], Sequence[Candidate]]


class Lane:
    """What one engine reads, one prompt after the other, by what it was given."""

    def __init__(self) -> None:
        self._reads: deque[tuple[float, float]] = deque()
        self._urgent = 0.0
        self._urgent_at = 0.0

    def _trim(self, now: float, window: float) -> None:
        while self._reads and self._reads[0][1] <= now - window:
            self._reads.popleft()

    def given(self, now: float, limit: PaceLimit) -> float:
        """Return the seconds that it has read or is still to read since a window ago."""
        self._trim(now, limit.window)
        since = now - limit.window
        return sum(end - max(begin, since) for begin, end in self._reads)

    def room_at(self, seconds: float, now: float, limit: PaceLimit) -> float:
        """Return when a prompt that it reads for so long may be given.

        In the window that ends with its reading there may be ``limit.reading`` in all. Where a
        window may be read through, only what is before it counts.
        """
        lead = now + max(0.0, self.backlog(now) - LEAD_SECONDS)
        if limit.reading >= limit.window:
            return lead
        self._trim(now, limit.window)
        left = max(0.0, limit.reading - seconds)
        for begin, end in reversed(self._reads):
            if end - begin > left:
                # What was read after this moment still fits beside the prompt.
                full = end - left
                return max(lead, full + limit.window - seconds)
            left -= end - begin
        return lead

    def give(self, seconds: float, now: float, urgent: bool) -> None:
        """Count a prompt that is sent now; ``urgent`` tells that it is in time."""
        begin = now + self.backlog(now)
        self._reads.append((begin, begin + seconds))
        self._urgent = self._urgent_rate(now) + urgent * seconds / URGENT_SECONDS
        self._urgent_at = now

    def _urgent_rate(self, now: float) -> float:
        return self._urgent * math.exp((self._urgent_at - now) / URGENT_SECONDS)

    def left_for_late(self, now: float, limit: PaceLimit) -> float:
        """Return the share of what the engine may be given that urgent prompts leave."""
        return 1.0 - min(MOST_URGENT, self._urgent_rate(now) / limit.share)

    def backlog(self, now: float) -> float:
        """Return the seconds until what was given is read."""
        return max(0.0, self._reads[-1][1] - now) if self._reads else 0.0

    def begun_since(self, at: float) -> int:
        """Return how many prompts it has begun to read since a time within the window."""
        return sum(begin > at for begin, _ in self._reads)


class Pacer:
    """The queue of prompts of all hosts, and what each engine was given."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._lanes: dict[str, Lane] = {}
        self._queue: dict[Hashable, PromptAsk] = {}
        self._look_all_at = -math.inf

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, ask: PromptAsk) -> None:
        """Take a prompt into the queue."""
        self._queue[ask.id] = ask

    def drop(self, key: Hashable) -> None:
        """Forget a prompt: nobody waits for it any more."""
        self._queue.pop(key, None)

    def given(self, key: str, now: float, limit: PaceLimit) -> float:
        """Return the seconds of reading that an engine was given in the last window."""
        lane = self._lanes.get(key)
        return lane.given(now, limit) if lane is not None else 0.0

    def forget(self, living: Container[str]) -> None:
        """Forget what endpoints were given that are not among the ``living``."""
        for key in [key for key in self._lanes if key not in living]:
            del self._lanes[key]

    def pump(self, now: float, limit: PaceLimit, look: Look) -> tuple[list[Grant | Denial], float]:
        """Return the prompts that are decided now, and when to look again (maybe never).

        ``look`` gives the endpoints that may serve a prompt. One that doesn't fit anywhere keeps
        its place at the engine that is free for it first, so that smaller ones don't pass it by.
        Once all engines of an item are queued for, the rest of that item waits: a long queue is
        looked through as a whole only now and then.
        """
        run = Round(self._lanes, now, limit, self._rng)
        look_at_all = now >= self._look_all_at
        if look_at_all:
            self._look_all_at = now + ALL_SECONDS
        decided = []
        for ask in sorted(self._queue.values(), key=lambda ask: urgency(ask, now)):
            if ask.item in run.closed and not look_at_all:
                continue
            found = run.decide(ask, look)
            if found is not None:
                decided.append(found)
                del self._queue[ask.id]
        return decided, run.again


class Round:
    """One look through the queue, the most urgent prompts first.

    ``free_at`` has when each engine will have room for more, with all that was queued for it so
    far in this round. ``closed`` are the items whose engines are all queued for.
    """

    def __init__(
        self, lanes: dict[str, Lane], now: float, limit: PaceLimit, rng: random.Random
    ) -> None:
        self._lanes = lanes
        self._now = now
        self._limit = limit
        self._rng = rng
        self._free_at: dict[str, float] = {}
        self.again = math.inf
        self.closed: set[str] = set()

    def decide(self, ask: PromptAsk, look: Look) -> Grant | Denial | None:
        """Return what becomes of a prompt now; None where it waits."""
        candidates = [self._with_backlog(c, ask.work) for c in look(ask)]
        fitting = [c for c in candidates if c.key not in self._free_at and self._fits(c, ask.work)]
        found = choose(fitting, ask.work, self._rng)
        if found is not None:
            chosen = found.candidate
            self._lane(chosen.key).give(reading(chosen, ask.work), self._now, not self._late(ask))
            if chosen.limited:
                self._free_at[chosen.key] = self._now + chosen.permit_gap
            return Grant(ask, found)
        return self._queue(ask, candidates)

    def _late(self, ask: PromptAsk) -> bool:
        return self._now > ask.send_by

    def _queue(self, ask: PromptAsk, candidates: Sequence[Candidate]) -> Denial | None:
        """Let a prompt wait for the engine that has room for it first, unless that is in vain."""
        rows = [(self._room_at(c, ask.work), c.key, c) for c in candidates]
        at, key, chosen = min(rows, default=(self._now + FULL_SECONDS, "", None))
        wait = at - self._now
        if self._late(ask) and chosen is not None:
            wait /= self._lane(key).left_for_late(self._now, self._limit)
        if self._now + wait > ask.leave_by:
            return Denial(ask, wait)
        if key not in self._free_at:
            self.again = min(self.again, at)
        if chosen is not None:
            self._free_at[key] = at + self._taken_for(chosen, ask.work)
        if not ask.picky and all(c.key in self._free_at for c in candidates):
            self.closed.add(ask.item)
        return None

    def _room_at(self, candidate: Candidate, work: Work) -> float:
        """Return when an engine has room for a prompt, behind what is queued for it already."""
        if candidate.key in self._free_at:
            return self._free_at[candidate.key]
        least = FULL_SECONDS if self._full(candidate) else LEAST_SECONDS
        return max(self._free_from(candidate, work), self._now + least)

    def _free_from(self, candidate: Candidate, work: Work) -> float:
        """Return when an engine has read enough, and may get a request, to be given a prompt."""
        at = self._lane(candidate.key).room_at(reading(candidate, work), self._now, self._limit)
        ahead = candidate.ahead * work.per_token - LEAD_SECONDS
        return max(at, self._now + ahead, self._now + candidate.permit_wait)

    def _taken_for(self, candidate: Candidate, work: Work) -> float:
        """Return the seconds until an engine that has just taken a prompt can take the next."""
        seconds = max(candidate.permit_gap, reading(candidate, work) / self._limit.share)
        return max(seconds, work.service / candidate.slots) if self._full(candidate) else seconds

    def _fits(self, candidate: Candidate, work: Work) -> bool:
        return self._free_from(candidate, work) <= self._now and not self._full(candidate)

    def _full(self, candidate: Candidate) -> bool:
        """Tell whether all places of an engine are taken, those just given away included."""
        begun = self._lane(candidate.key).begun_since(self._now - FULL_SECONDS)
        return candidate.running + begun >= candidate.slots

    def _with_backlog(self, candidate: Candidate, work: Work) -> Candidate:
        """Return a candidate with what is ahead of the prompt.

        That is what it was given here and should not have read yet. Where hosts have heard of no
        first token for longer than it takes them to tell, more is left than it should be.
        """
        seconds = self._lane(candidate.key).backlog(self._now)
        unheard = candidate.ahead * work.per_token - TELL_SECONDS
        return replace(candidate, ahead=max(0.0, seconds, unheard) / work.per_token)

    def _lane(self, key: str) -> Lane:
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = Lane()
        return lane


def reading(candidate: Candidate, work: Work) -> float:
    """Return the seconds that an engine reads a prompt for."""
    return candidate.slowness * unread(candidate, work) * work.per_token


def urgency(ask: PromptAsk, now: float) -> tuple[bool, int, float]:
    """Return what prompts are ordered by: those in time first, then by rank and time left."""
    return now > ask.send_by, ask.rank, ask.send_by
