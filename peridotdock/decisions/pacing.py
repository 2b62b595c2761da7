"""Queue over the prompts of all hosts: which prompt is sent to which engine next, and when.

Load pattern: requests reach several hosts within a tenth of a second. An engine prefills prompts
between the tokens of the streams that run on it, so all of these pause during prefill, and no host
knows what the others have just sent. One host, the hub, therefore decides for all when a prompt may
be sent: in no window as long as the shortest pause that callers accept does an engine get more
prefill than fits between two events. A prompt that does not fit waits for some hundredths of a
second, and the most urgent goes first. Prompts that can no longer be in time go last.
"""

import math
import random
from collections import deque
from collections.abc import Callable, Container, Hashable, Sequence
from dataclasses import dataclass, replace

from peridotdock.decisions.choice import Candidate, Prediction, RequestCost, choose, uncached_tokens

# Share of the accepted pause that is planned with: events take some milliseconds to arrive.
PAUSE_SHARE = 0.87
# Share of the accepted pause that the tokens of an event take, before any were measured.
EVENT_SHARE = 0.25
# Smallest share of the accepted pause that prefill may take, however slow an engine's events are.
MIN_PREFILL_SHARE = 0.2
# Time over which an engine's share of urgent prompts is averaged, and the largest value it counts
# as: late prompts wait for what the urgent ones leave.
URGENT_AVERAGE_SECONDS = 1.0
MAX_URGENT_SHARE = 0.95
# How the bound follows the pauses of streams while an engine is given nearly all that it may be.
# Checked each second, it grows when the longest pause of several streams stays below a share of
# what callers accept, and is reset when one comes near that.
CONTROL_INTERVAL_SECONDS = 1.0
MIN_GAPS = 5
MIN_SCHEDULED_SHARE = 0.8
SHORT_PAUSE_SHARE = 0.75
LONG_PAUSE_SHARE = 0.93
GROWTH_FACTOR = 1.15
MAX_FACTOR = 4.0
# Seconds until an engine without a free slot is checked again.
FULL_RECHECK_SECONDS = 0.02
# Longest prefill backlog at which an engine is given more: the next prompt is there when one is
# done, and more urgent prompts that arrive meanwhile may still go first.
PREFILL_LEAD_SECONDS = 0.03
# Seconds after which the hub has surely received the report of a prefill: two messages between
# hosts.
REPORT_DELAY_SECONDS = 0.4
# Interval of full scans, which include prompts whose engines all have queued prompts, to find those
# that cannot be sent in time.
FULL_SCAN_SECONDS = 0.05
# Shortest time until the queue is checked again.
MIN_RECHECK_SECONDS = 0.002


@dataclass(frozen=True, slots=True)
class PaceLimit:
    """How much prefill an engine gets: ``prefill`` seconds in any ``window`` seconds."""

    window: float
    prefill: float

    @property
    def share(self) -> float:
        """Largest share of its time that an engine spends on prefill."""
        return min(1.0, self.prefill / self.window) if self.window else 1.0


def limit_pace(pause: float, event: float | None, factor: float = 1.0) -> PaceLimit:
    """Return the limit that keeps streams from pausing for longer than ``pause`` seconds.

    ``event`` is the time between two events on an engine without prefill, None when unknown;
    ``factor`` is that of :class:`PaceControl`.
    """
    tokens = EVENT_SHARE * pause if event is None else event
    prefill = PAUSE_SHARE * pause - tokens
    return PaceLimit(pause, factor * max(MIN_PREFILL_SHARE * pause, prefill))


class PaceControl:
    """Finds out how much prefill an engine handles beyond what is safe for any engine.

    Engines with chunked prefill generate tokens all the while, so their streams may hardly pause
    however much they prefill. The factor grows where streams stay well within their pause although
    an engine got all that it may; a pause that was too long resets it, and it grows again step by
    step.
    """

    def __init__(self) -> None:
        self.factor = 1.0
        self._since = 0.0
        self._seen = 0
        self._longest = 0.0

    def record_gap(
        self, now: float, gap: float, pause: float, scheduled: float, limit: PaceLimit
    ) -> None:
        """Record the gap between two events of a stream.

        ``scheduled`` are the seconds of prefill that its engine was given.
        """
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

    It must be sent by ``send_by`` to be answered in time, and its caller disconnects at
    ``disconnect_by``. A ``restricted`` prompt may not go to all engines that serve its item.
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
    """A prompt that may be sent now, and the endpoint that was chosen for it.

    ``prefilled_at`` is when its prefill ends there, in monotonic seconds.
    """

    prompt: QueuedPrompt
    prediction: Prediction
    prefilled_at: float = math.inf


@dataclass(frozen=True, slots=True)
class Denial:
    """A prompt that would wait longer than its caller stays; ``wait`` is in seconds."""

    prompt: QueuedPrompt
    wait: float


FindCandidates = Callable[[QueuedPrompt], Sequence[Candidate]]


@dataclass(frozen=True, slots=True)
class Booking:
    """The prefill of a prompt at its engine, from ``begin`` to ``end`` in monotonic seconds."""

    prompt: Hashable
    begin: float
    end: float
    urgent: bool

    def moved(self, seconds: float) -> "Booking":
        """Return the booking so many seconds earlier."""
        return replace(self, begin=self.begin - seconds, end=self.end - seconds)


class PrefillSchedule:
    """The prefills of one engine, one after the other, as estimated from the prompts sent to it."""

    def __init__(self) -> None:
        self._prefills: deque[Booking] = deque()
        self._urgent = 0.0
        self._urgent_at = 0.0

    def _trim(self, now: float, window: float) -> None:
        while self._prefills and self._prefills[0].end <= now - window:
            self._prefills.popleft()

    def scheduled_seconds(self, now: float, limit: PaceLimit) -> float:
        """Return the seconds of prefill, done or still to do, since the window began."""
        self._trim(now, limit.window)
        since = now - limit.window
        return sum(row.end - max(row.begin, since) for row in self._prefills)

    def earliest_start(self, seconds: float, now: float, limit: PaceLimit) -> float:
        """Return the earliest time at which a prompt of so many seconds of prefill may be sent.

        The window that ends with its prefill may have ``limit.prefill`` seconds in all. If a whole
        window may be prefill, only the backlog counts.
        """
        lead = now + max(0.0, self.backlog(now) - PREFILL_LEAD_SECONDS)
        if limit.prefill >= limit.window:
            return lead
        self._trim(now, limit.window)
        left = max(0.0, limit.prefill - seconds)
        for row in reversed(self._prefills):
            if row.end - row.begin > left:
                # Prefill after this moment still fits into the window with the prompt.
                full = row.end - left
                return max(lead, full + limit.window - seconds)
            left -= row.end - row.begin
        return lead

    def schedule(self, prompt: Hashable, seconds: float, now: float, urgent: bool) -> float:
        """Add a prompt that is sent now; return when its prefill ends.

        ``urgent`` is set when it is in time.
        """
        begin = now + self.backlog(now)
        self._prefills.append(Booking(prompt, begin, begin + seconds, urgent))
        self._count_urgent(urgent * seconds, now)
        return begin + seconds

    def cancel(self, prompt: Hashable, now: float) -> None:
        """Give back what is left of a prompt's prefill; those behind it begin so much earlier."""
        rows = deque[Booking]()
        freed = 0.0
        for row in self._prefills:
            if row.prompt != prompt:
                rows.append(row.moved(freed))
                continue
            done = min(max(row.begin, now), row.end)
            freed += row.end - done
            self._count_urgent(-row.urgent * (row.end - done), now)
            if done > row.begin:
                rows.append(replace(row, end=done))
        self._prefills = rows

    def _count_urgent(self, seconds: float, now: float) -> None:
        rate = self._urgent_rate(now) + seconds / URGENT_AVERAGE_SECONDS
        self._urgent, self._urgent_at = max(0.0, rate), now

    def _urgent_rate(self, now: float) -> float:
        return self._urgent * math.exp((self._urgent_at - now) / URGENT_AVERAGE_SECONDS)

    def late_share(self, now: float, limit: PaceLimit) -> float:
        """Return the share of the engine's prefill limit that urgent prompts leave."""
        return 1.0 - min(MAX_URGENT_SHARE, self._urgent_rate(now) / limit.share)

    def backlog(self, now: float) -> float:
        """Return the seconds until the scheduled prefills are done."""
        return max(0.0, self._prefills[-1].end - now) if self._prefills else 0.0

    def started_since(self, at: float) -> int:
        """Return how many prefills have started since a time within the window."""
        return sum(row.begin > at for row in self._prefills)


class Pacer:
    """The queue of prompts of all hosts, and the prefill schedule of each engine."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._schedules: dict[str, PrefillSchedule] = {}
        self._queue: dict[Hashable, QueuedPrompt] = {}
        # The engines of the prompts that are being prefilled, and when that ends.
        self._booked: dict[Hashable, tuple[str, float]] = {}
        self._full_scan_at = -math.inf

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, prompt: QueuedPrompt) -> None:
        """Add a prompt to the queue."""
        self._queue[prompt.id] = prompt

    def drop(self, key: Hashable) -> None:
        """Remove a prompt that no caller waits for any more."""
        self._queue.pop(key, None)

    def cancel(self, prompt: Hashable, now: float) -> bool:
        """Give back the prefill of a prompt that was sent and ended before its first token.

        Failure guarded against: an engine refuses a prompt larger than its memory. The prefill that
        it never did keeps all other prompts from it for as long as that would have taken.
        """
        key, _ = self._booked.pop(prompt, ("", 0.0))
        schedule = self._schedules.get(key)
        if schedule is not None:
            schedule.cancel(prompt, now)
        return schedule is not None

    def scheduled_seconds(self, key: str, now: float, limit: PaceLimit) -> float:
        """Return the seconds of prefill that an engine was given in the last window."""
        schedule = self._schedules.get(key)
        return schedule.scheduled_seconds(now, limit) if schedule is not None else 0.0

    def prune(self, current: Container[str]) -> None:
        """Remove the schedules of endpoints that are not among the ``current`` ones."""
        for key in [key for key in self._schedules if key not in current]:
            del self._schedules[key]

    def dispatch(
        self, now: float, limit: PaceLimit, find_candidates: FindCandidates
    ) -> tuple[list[Grant | Denial], float]:
        """Return the prompts decided now, and when to check again (infinity if no prompt waits).

        ``find_candidates`` returns the endpoints that may serve a prompt. A prompt that fits
        nowhere reserves its place at the engine that is available first, so that smaller ones do
        not overtake it. Once all engines of an item are reserved, the rest of that item waits: the
        whole of a long queue is scanned only at intervals.
        """
        run = QueuePass(self._schedules, now, limit, self._rng)
        full_scan = now >= self._full_scan_at
        if full_scan:
            self._full_scan_at = now + FULL_SCAN_SECONDS
            self._booked = {key: row for key, row in self._booked.items() if row[1] > now}
        decided = []
        for prompt in sorted(self._queue.values(), key=lambda prompt: urgency(prompt, now)):
            if prompt.item in run.saturated and not full_scan:
                continue
            found = run.decide(prompt, find_candidates)
            if found is not None:
                decided.append(found)
                del self._queue[prompt.id]
            if isinstance(found, Grant):
                self._booked[prompt.id] = found.prediction.candidate.key, found.prefilled_at
        return decided, run.next_check


class QueuePass:
    """One pass over the queue, the most urgent prompts first.

    ``_available_at`` is when each engine will have capacity for more, after all that was queued for
    it in this pass. ``saturated`` are the items whose engines all have queued prompts.
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
        """Return the decision on a prompt, or None if it waits."""
        candidates = [self._with_backlog(c, prompt.work) for c in find_candidates(prompt)]
        fitting = [
            c for c in candidates if c.key not in self._available_at and self._fits(c, prompt.work)
        ]
        found = choose(fitting, prompt.work, self._rng)
        if found is not None:
            chosen = found.candidate
            seconds, urgent = prefill_seconds(chosen, prompt.work), not self._late(prompt)
            prefilled_at = self._schedule(chosen.key).schedule(
                prompt.id, seconds, self._now, urgent
            )
            if chosen.rate_limited:
                self._available_at[chosen.key] = self._now + chosen.permit_interval
            return Grant(prompt, found, prefilled_at)
        return self._wait_or_deny(prompt, candidates)

    def _late(self, prompt: QueuedPrompt) -> bool:
        return self._now > prompt.send_by

    def _wait_or_deny(self, prompt: QueuedPrompt, candidates: Sequence[Candidate]) -> Denial | None:
        """Queue a prompt for the engine that has capacity first, or deny it.

        It is denied if its caller would disconnect before.
        """
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
        """Return when an engine has capacity for a prompt, after what is queued for it already."""
        if candidate.key in self._available_at:
            return self._available_at[candidate.key]
        least = FULL_RECHECK_SECONDS if self._full(candidate) else MIN_RECHECK_SECONDS
        return max(self._ready_at(candidate, work), self._now + least)

    def _ready_at(self, candidate: Candidate, work: RequestCost) -> float:
        """Return when an engine's prefill backlog and permits allow a prompt."""
        at = self._schedule(candidate.key).earliest_start(
            prefill_seconds(candidate, work), self._now, self._limit
        )
        backlog = candidate.queued_tokens * work.seconds_per_token - PREFILL_LEAD_SECONDS
        return max(at, self._now + backlog, self._now + candidate.permit_wait)

    def _occupied_seconds(self, candidate: Candidate, work: RequestCost) -> float:
        """Return the seconds until an engine that has just got a prompt can take the next."""
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
        """Return whether all slots of an engine are occupied, including those just granted."""
        begun = self._schedule(candidate.key).started_since(self._now - FULL_RECHECK_SECONDS)
        return candidate.running + begun >= candidate.slots

    def _with_backlog(self, candidate: Candidate, work: RequestCost) -> Candidate:
        """Return a candidate with the prompt tokens ahead of the prompt.

        These are the scheduled prefills that should not be done yet. Where hosts have reported no
        first token for longer than a report takes, more is left than the schedule shows.
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
    """Return how long an engine prefills a prompt, in seconds."""
    return candidate.slowness * uncached_tokens(candidate, work) * work.seconds_per_token


def urgency(prompt: QueuedPrompt, now: float) -> tuple[bool, int, float]:
    """Return the sort key of prompts: those in time first, then by rank and time left."""
    return now > prompt.send_by, prompt.rank, prompt.send_by
