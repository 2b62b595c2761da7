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

from peridotdock.decisions.choice import Candidate, Prediction, RequestCost, choose, uncached_tokens

# Share of the accepted pause that is planned with: events are some milliseconds on their way.
PAUSE_SHARE = 0.87
# Share of the accepted pause that the tokens of an event take, before any was measured.
EVENT_SHARE = 0.25
# Least share of the accepted pause that prompts may take, however slow an engine's events are.
MIN_PREFILL_SHARE = 0.2
# Seconds over which an engine's share of urgent prompts is averaged, and the most that it counts
# as: what is late waits for what the urgent ones leave.
URGENT_AVERAGE_SECONDS = 1.0
MAX_URGENT_SHARE = 0.95
# How the bound follows what streams show while an engine is given nearly all that it may: looked at
# each second, it grows when the longest pause of some streams keeps below a share of what callers
# accept, and shrinks when one comes near that.
CONTROL_INTERVAL_SECONDS = 1.0
MIN_GAPS = 5
MIN_SCHEDULED_SHARE = 0.8
SHORT_PAUSE_SHARE = 0.75
LONG_PAUSE_SHARE = 0.93
GROWTH_FACTOR = 1.15
MAX_FACTOR = 4.0
# Seconds until an engine whose places are all taken is looked at again.
FULL_RECHECK_SECONDS = 0.02
# Seconds of reading that an engine has before it at most when it is given more: the next prompt is
# there when one is read, and what comes meanwhile may still go before it.
PREFILL_LEAD_SECONDS = 0.03
# Seconds after which the hub has surely heard that a prompt was read: two words between hosts.
REPORT_DELAY_SECONDS = 0.4
# Seconds between two looks at prompts whose engines are all queued for, to find those that wait in
# vain.
FULL_SCAN_SECONDS = 0.05
# Shortest time until the queue is looked at again.
MIN_RECHECK_SECONDS = 0.002


@dataclass(frozen=True, slots=True)
class PaceLimit:
    """How much reading an engine gets: ``reading`` seconds of it in any ``window`` seconds."""

    window: float
    prefill: float

    @property
    def share(self) -> float:
        """Return the share of its time that an engine reads at most."""
        return min(1.0, self.prefill / self.window) if self.window else 1.0


def limit_pace(pause: float, event: float | None, factor: float = 1.0) -> PaceLimit:
    """Return the limit that keeps streams from pausing for longer than ``pause`` seconds.

    ``event`` is the time between two events on an engine that reads nothing, None when unknown;
    ``factor`` what :class:`PaceControl` has found.
    """
    tokens = EVENT_SHARE * pause if event is None else event
    prefill = PAUSE_SHARE * pause - tokens
    return PaceLimit(pause, factor * max(MIN_PREFILL_SHARE * pause, prefill))


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

    def record_gap(
        self, now: float, gap: float, pause: float, scheduled: float, limit: PaceLimit
    ) -> None:
        """Learn from two events of a stream at an engine that was ``given`` so much to read."""
        if scheduled < MIN_SCHEDULED_SHARE * limit.prefill:
            return
        self._seen += 1
        self._longest = max(self._longest, gap)
        if gap > LONG_PAUSE_SHARE * pause:
            self.factor = 1.0
        elif now - self._since < CONTROL_INTERVAL_SECONDS:
            return
        elif self._seen >= MIN_GAPS and self._longest < SHORT_PAUSE_SHARE * pause:
            self.factor = min(MAX_FACTOR, GROWTH_FACTOR * self.factor)
        self._since, self._seen, self._longest = now, 0, 0.0


@dataclass(frozen=True, slots=True)
class QueuedPrompt:
    """A prompt that a host wants to send. Times are monotonic seconds of the host that decides.

    It must be sent until ``send_by`` to be answered in time, and its caller leaves at ``leave_by``.
    A ``picky`` one may not go to all engines that serve its item.
    """

    id: Hashable
    item: str
    work: RequestCost
    rank: int
    send_by: float
    disconnect_by: float
    restricted: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """A prompt that may be sent now, to the endpoint that was found for it."""

    prompt: QueuedPrompt
    prediction: Prediction


@dataclass(frozen=True, slots=True)
class Denial:
    """A prompt that would wait for longer than its caller stays; ``wait`` in seconds."""

    prompt: QueuedPrompt
    wait: float


FindCandidates = Callable[[QueuedPrompt], Sequence[Candidate]]


class PrefillSchedule:
    """What one engine reads, one prompt after the other, by what it was given."""

    def __init__(self) -> None:
        self._prefills: deque[tuple[float, float]] = deque()
        self._urgent = 0.0
        self._urgent_at = 0.0

    def _trim(self, now: float, window: float) -> None:
        while self._prefills and self._prefills[0][1] <= now - window:
            self._prefills.popleft()

    def scheduled_seconds(self, now: float, limit: PaceLimit) -> float:
        """Return the seconds that it has read or is still to read since a window ago."""
        self._trim(now, limit.window)
        since = now - limit.window
        return sum(end - max(begin, since) for begin, end in self._prefills)

    def earliest_start(self, seconds: float, now: float, limit: PaceLimit) -> float:
        """Return when a prompt that it reads for so long may be given.

        In the window that ends with its reading there may be ``limit.reading`` in all. Where a
        window may be read through, only what is before it counts.
        """
        lead = now + max(0.0, self.backlog(now) - PREFILL_LEAD_SECONDS)
        if limit.prefill >= limit.window:
            return lead
        self._trim(now, limit.window)
        left = max(0.0, limit.prefill - seconds)
        for begin, end in reversed(self._prefills):
            if end - begin > left:
                # What was read after this moment still fits beside the prompt.
                full = end - left
                return max(lead, full + limit.window - seconds)
            left -= end - begin
        return lead

    def schedule(self, seconds: float, now: float, urgent: bool) -> None:
        """Count a prompt that is sent now; ``urgent`` tells that it is in time."""
        begin = now + self.backlog(now)
        self._prefills.append((begin, begin + seconds))
        self._urgent = self._urgent_rate(now) + urgent * seconds / URGENT_AVERAGE_SECONDS
        self._urgent_at = now

    def _urgent_rate(self, now: float) -> float:
        return self._urgent * math.exp((self._urgent_at - now) / URGENT_AVERAGE_SECONDS)

    def late_share(self, now: float, limit: PaceLimit) -> float:
        """Return the share of what the engine may be given that urgent prompts leave."""
        return 1.0 - min(MAX_URGENT_SHARE, self._urgent_rate(now) / limit.share)

    def backlog(self, now: float) -> float:
        """Return the seconds until what was given is read."""
        return max(0.0, self._prefills[-1][1] - now) if self._prefills else 0.0

    def started_since(self, at: float) -> int:
        """Return how many prompts it has begun to read since a time within the window."""
        return sum(begin > at for begin, _ in self._prefills)


class Pacer:
    """The queue of prompts of all hosts, and what each engine was given."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._schedules: dict[str, PrefillSchedule] = {}
        self._queue: dict[Hashable, QueuedPrompt] = {}
        self._full_scan_at = -math.inf

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, prompt: QueuedPrompt) -> None:
        """Take a prompt into the queue."""
        self._queue[prompt.id] = prompt

    def drop(self, key: Hashable) -> None:
        """Forget a prompt: nobody waits for it any more."""
        self._queue.pop(key, None)

    def scheduled_seconds(self, key: str, now: float, limit: PaceLimit) -> float:
        """Return the seconds of reading that an engine was given in the last window."""
        schedule = self._schedules.get(key)
        return schedule.scheduled_seconds(now, limit) if schedule is not None else 0.0

    def prune(self, current: Container[str]) -> None:
        """Forget what endpoints were given that are not among the ``living``."""
        for key in [key for key in self._schedules if key not in current]:
            del self._schedules[key]

    def dispatch(
        self, now: float, limit: PaceLimit, find_candidates: FindCandidates
    ) -> tuple[list[Grant | Denial], float]:
        """Return the prompts that are decided now, and when to look again (maybe never).

        ``look`` gives the endpoints that may serve a prompt. One that doesn't fit anywhere keeps
        its place at the engine that is free for it first, so that smaller ones don't pass it by.
        Once all engines of an item are queued for, the rest of that item waits: a long queue is
        looked through as a whole only now and then.
        """
        run = QueuePass(self._schedules, now, limit, self._rng)
        full_scan = now >= self._full_scan_at
        if full_scan:
            self._full_scan_at = now + FULL_SCAN_SECONDS
        decided = []
        for prompt in sorted(self._queue.values(), key=lambda prompt: urgency(prompt, now)):
            if prompt.item in run.saturated and not full_scan:
                continue
            found = run.decide(prompt, find_candidates)
            if found is not None:
                decided.append(found)
                del self._queue[prompt.id]
        return decided, run.next_check


class QueuePass:
    """One look through the queue, the most urgent prompts first.

    ``free_at`` has when each engine will have room for more, with all that was queued for it so
    far in this round. ``closed`` are the items whose engines are all queued for.
    """

    def __init__(
        self,
        schedules: dict[str, PrefillSchedule],
        now: float,
        limit: PaceLimit,
        rng: random.Random,
    ) -> None:
        self._schedules = schedules
        self._now = now
        self._limit = limit
        self._rng = rng
        self._available_at: dict[str, float] = {}
        self.next_check = math.inf
        self.saturated: set[str] = set()

    def decide(
        self, prompt: QueuedPrompt, find_candidates: FindCandidates
    ) -> Grant | Denial | None:
        """Return what becomes of a prompt now; None where it waits."""
        candidates = [self._with_backlog(c, prompt.work) for c in find_candidates(prompt)]
        fitting = [
            c for c in candidates if c.key not in self._available_at and self._fits(c, prompt.work)
        ]
        found = choose(fitting, prompt.work, self._rng)
        if found is not None:
            chosen = found.candidate
            self._schedule(chosen.key).schedule(
                prefill_seconds(chosen, prompt.work), self._now, not self._late(prompt)
            )
            if chosen.rate_limited:
                self._available_at[chosen.key] = self._now + chosen.permit_interval
            return Grant(prompt, found)
        return self._wait_or_deny(prompt, candidates)

    def _late(self, prompt: QueuedPrompt) -> bool:
        return self._now > prompt.send_by

    def _wait_or_deny(self, prompt: QueuedPrompt, candidates: Sequence[Candidate]) -> Denial | None:
        """Let a prompt wait for the engine that has room for it first, unless that is in vain."""
        rows = [(self._earliest_start(c, prompt.work), c.key, c) for c in candidates]
        at, key, chosen = min(rows, default=(self._now + FULL_RECHECK_SECONDS, "", None))
        wait = at - self._now
        if self._late(prompt) and chosen is not None:
            wait /= self._schedule(key).late_share(self._now, self._limit)
        if self._now + wait > prompt.disconnect_by:
            return Denial(prompt, wait)
        if key not in self._available_at:
            self.next_check = min(self.next_check, at)
        if chosen is not None:
            self._available_at[key] = at + self._occupied_seconds(chosen, prompt.work)
        if not prompt.restricted and all(c.key in self._available_at for c in candidates):
            self.saturated.add(prompt.item)
        return None

    def _earliest_start(self, candidate: Candidate, work: RequestCost) -> float:
        """Return when an engine has room for a prompt, behind what is queued for it already."""
        if candidate.key in self._available_at:
            return self._available_at[candidate.key]
        least = FULL_RECHECK_SECONDS if self._full(candidate) else MIN_RECHECK_SECONDS
        return max(self._ready_at(candidate, work), self._now + least)

    def _ready_at(self, candidate: Candidate, work: RequestCost) -> float:
        """Return when an engine has read enough, and may get a request, to be given a prompt."""
        at = self._schedule(candidate.key).earliest_start(
            prefill_seconds(candidate, work), self._now, self._limit
        )
        backlog = candidate.queued_tokens * work.seconds_per_token - PREFILL_LEAD_SECONDS
        return max(at, self._now + backlog, self._now + candidate.permit_wait)

    def _occupied_seconds(self, candidate: Candidate, work: RequestCost) -> float:
        """Return the seconds until an engine that has just taken a prompt can take the next."""
        seconds = max(
            candidate.permit_interval, prefill_seconds(candidate, work) / self._limit.share
        )
        return (
            max(seconds, work.service_seconds / candidate.slots)
            if self._full(candidate)
            else seconds
        )

    def _fits(self, candidate: Candidate, work: RequestCost) -> bool:
        return self._ready_at(candidate, work) <= self._now and not self._full(candidate)

    def _full(self, candidate: Candidate) -> bool:
        """Tell whether all places of an engine are taken, those just given away included."""
        begun = self._schedule(candidate.key).started_since(self._now - FULL_RECHECK_SECONDS)
        return candidate.running + begun >= candidate.slots

    def _with_backlog(self, candidate: Candidate, work: RequestCost) -> Candidate:
        """Return a candidate with what is ahead of the prompt.

        That is what it was given here and should not have read yet. Where hosts have heard of no
        first token for longer than it takes them to tell, more is left than it should be.
        """
        seconds = self._schedule(candidate.key).backlog(self._now)
        unreported = candidate.queued_tokens * work.seconds_per_token - REPORT_DELAY_SECONDS
        return replace(
            candidate, queued_tokens=max(0.0, seconds, unreported) / work.seconds_per_token
        )

    def _schedule(self, key: str) -> PrefillSchedule:
        schedule = self._schedules.get(key)
        if schedule is None:
            schedule = self._schedules[key] = PrefillSchedule()
        return schedule


def prefill_seconds(candidate: Candidate, work: RequestCost) -> float:
    """Return the seconds that an engine reads a prompt for."""
    return candidate.slowness * uncached_tokens(candidate, work) * work.seconds_per_token


def urgency(prompt: QueuedPrompt, now: float) -> tuple[bool, int, float]:
    """Return what prompts are ordered by: those in time first, then by rank and time left."""
    return now > prompt.send_by, prompt.rank, prompt.send_by
