"""Checks of the guarantees to callers, from the records of callers and endpoints.

The docstring of each check says which violation it reports.
"""

import itertools
import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

# Statuses which guarantee that a request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})
# Share of the probes that must succeed after all faults have ended.
MIN_RECOVERED_SHARE = 0.9
SUCCESS = 200
# Crashes of endpoints under one request after which all hosts block it, the seconds until the block
# is in force on all of them, and the most crashes allowed after that.
CRASHES_BEFORE_BLOCK = 3
BLOCK_DELAY_SECONDS = 3.0
MAX_LATER_CRASHES = 3
# Crashes of engines under one part of a prompt after which hosts know it, the seconds until they
# all do, and the most requests with it that may reach engines after that. Requests that must have
# been sent before and after it for their shares to be compared, and the least share that remains.
CRASHES_BEFORE_KNOWN = 5
PART_WINDOW_SECONDS = 1.5
MAX_LATER_REQUESTS = 3
MIN_COMPARED = 20
LEAST_BEGUN_SHARE = 0.5
# Seconds after the first announcement of a limit from which requests are counted: before that, not
# every host has received it.
LIMIT_COUNTED_AFTER_SECONDS = 0.5
# Seconds after the announcement from which the limit is enforced, and the window over which
# requests are counted. It may hold LIMIT_FACTOR times the limit and LIMIT_EXTRA_REQUESTS more.
LIMIT_ENFORCED_AFTER_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA_REQUESTS = 5
# Seconds after a host has received the notice of draining in which it may still send requests.
DRAINING_TOLERANCE_SECONDS = 2.0
# Seconds after a refusal from which the backoff that it asks for is enforced, and the most requests
# that the refused host may send during it.
BACKOFF_ENFORCED_AFTER_SECONDS = 0.5
MAX_REQUESTS_IN_BACKOFF = 2
# Retries that a service may get from all hosts in a window: a share of its requests, and a number.
RETRY_SHARE = 0.2
RETRY_EXTRA = 58
RETRY_WINDOW_SECONDS = 10
# Window over which a workspace's units are counted, and by how much they may pass its quota: a
# share of what the quota allows, and units.
QUOTA_WINDOW_SECONDS = 8.0
QUOTA_OVER = 0.1
QUOTA_SLACK_UNITS = 10
# Share of its quota up to which a workspace is not refused, and what a refusal by a quota names.
# Up to there it must be served at least this share as often as callers without a quota.
WITHIN_SHARE = 0.5
QUOTA_KIND = b'"caller_limit"'
LEAST_WITHIN_SHARE = 0.5
# Seconds within which an answer breaks off when a host that it came through has ended.
HOST_LOSS_SECONDS = 0.5
# Kinds of callers that keep their connections whose requests need less than a second.
BRIEF_KINDS = frozenset({"short", "once", "page"})
# Routes whose requests go to engines; all others go to endpoints of the plain service.
MODEL_ROUTES = frozenset({"recap", "once"})
# The route of prompts that crash engines.
FATAL_ROUTE = "recap"
# Seconds after which hosts that are cut off must serve, and brittle endpoints stay up. The share of
# what other hosts serve that they must reach, unless no more attempts fail there than this number
# and share of all. Falls that are allowed.
SETTLING_SECONDS = 3.0
LEAST_SHARE = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_SHARE = 1 / 50
MAX_FALLS = 2
# Seconds after which an engine may not work any more on a request that goes on at another one.
MAX_OVERLAP_SECONDS = 0.4


@dataclass(frozen=True, slots=True)
class LimitedEndpoint:
    """An endpoint that announced a limit, in requests per second, and when it received requests.

    Times are in monotonic seconds.
    """

    rate: float
    announced_at: float
    ended_at: float
    request_times: list[float]


@dataclass(frozen=True, slots=True)
class WorkspaceLoad:
    """A workspace's quota, and what its callers send.

    ``rate`` is in units per second, ``burst`` in units, ``cost`` the units of a request, ``load``
    what is sent as a share of the rate.
    """

    name: str
    rate: float
    burst: float
    cost: float
    load: float


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """The requests that reached an endpoint, as times and attempt ids, and what it announced.

    ``backoffs`` are its refusals: the time, the attempt id and the seconds of backoff that it asked
    for. ``draining_from`` is when it started to announce that it drains, infinite if it never does.
    ``ended_at`` is when it crashed, fell over or was stopped. ``cuts`` are the times from and until
    which a proxy cut its connections. ``spoilt`` are the ids of attempts with a scripted fault.
    Times are in seconds since the start of the run.
    """

    requests: list[tuple[float, str]]
    backoffs: list[tuple[float, str, float]]
    draining_from: float = math.inf
    name: str = ""
    ended_at: float = math.inf
    cuts: Sequence[tuple[float, float]] = ()
    spoilt: frozenset[str] = frozenset()

    def spoils(self, attempt: "Attempt") -> bool:
        """Return whether the endpoint or its connections may have ended an attempt's answer."""
        return (
            attempt.id in self.spoilt
            or self.ended_at <= attempt.ended_at
            or any(
                since <= attempt.ended_at and attempt.started_at <= until
                for since, until in self.cuts
            )
        )


@dataclass(frozen=True, slots=True)
class Partition:
    """A time in which some hosts were cut off from all endpoints, and in which way.

    Times are in monotonic seconds, in a record in seconds since the start of the run.
    """

    since: float
    until: float
    hosts: frozenset[str]
    way: str

    def shifted(self, started_at: float) -> "Partition":
        """Return the same with times since the start of the run."""
        return replace(self, since=self.since - started_at, until=self.until - started_at)


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A fault of one host's process; times as those of a partition."""

    host: str
    since: float
    until: float

    def shifted(self, started_at: float) -> "Disturbance":
        """Return the same with times since the start of the run."""
        return replace(self, since=self.since - started_at, until=self.until - started_at)


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop of a host process: when it got SIGTERM, and whether it had to be killed.

    ``grace`` are the seconds that it had. The time is in seconds since the start of the run.
    """

    at: float
    grace: float
    killed: bool = False


@dataclass(frozen=True, slots=True)
class Kept:
    """One request of a caller that keeps its connections, and what it got.

    ``whole`` is true if its answer arrived to the end, and has all that a success should have.
    ``behind_end`` is true if an answer before it in a pipeline said that the connection ends.
    Other fields are those of an attempt.
    """

    id: str
    kind: str
    incarnation: str
    started_at: float
    ended_at: float
    status: int
    whole: bool
    deadline: float
    repeatable: bool = False
    behind_end: bool = False


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller. ``status`` is 0 if the connection ended before a response head.

    ``complete`` is true if the response ended properly. Times are in seconds since the start of the
    run. ``incarnation`` names the host process that received the attempt. ``deadline`` is the time
    until which it had to be served. ``workspace`` is the one whose key it had, if any.
    ``resumes`` is the id of the attempt whose stream it resumes, ``after`` the last event there.
    ``number`` is that of the caller's try of one request.
    """

    id: str
    route: str
    repeatable: bool
    incarnation: str
    started_at: float
    ended_at: float
    status: int
    body: bytes
    complete: bool
    signature: str
    deadline: float = math.inf
    workspace: str = ""
    resumes: str = ""
    after: int = 0
    number: int = 1

    @property
    def whole_events(self) -> bytes:
        """Return the body up to the end of its last whole event."""
        rows, end, _ = self.body.rpartition(b"\n\n")
        return rows + end

    @property
    def last_event(self) -> int:
        """Return the id of the last whole event of a stream, 0 without one."""
        return max(read_ids(self.whole_events), default=0)

    @property
    def event_sources(self) -> set[str]:
        """Return the names of the endpoints whose whole events a stream has."""
        rows = self.whole_events.split(b"\n")
        return {row.split()[1].decode() for row in rows if row.startswith(b"data: ")}

    @property
    def broken_off(self) -> bool:
        """Return whether the answer of an endpoint ended after its head and before its end."""
        return self.status != 0 and bool(self.signature) and not self.complete


@dataclass(frozen=True, slots=True)
class EngineRun:
    """One run of an attempt at an engine, which was last frozen until ``awake_since``, if ever.

    ``taken_at`` is when the engine got the request, ``began_at`` when it wrote the head of its
    answer, infinite if it didn't. Times are in seconds since the start of the soak's run.
    """

    engine: str
    attempt: str
    taken_at: float
    awake_since: float
    began_at: float
    ended_at: float


@dataclass
class Record:
    """What the callers and endpoints of a run have recorded.

    ``ran`` holds the ids of the attempts that endpoints ran, ``missed_changes`` the changes after a
    restore of the store that a host did not follow in time. ``host_ends`` are the times by host
    process from which it may end requests: it was killed, or its grace period was over.
    ``forwarded`` are the hosts by attempt that other hosts forwarded it to, ``software`` the
    versions of endpoints by the name in their events, of which ``allowed_mixed`` streams may have
    two. ``falls`` are the times and names of endpoints that fell over, ``brittle_since`` when they
    began to announce that they may. ``fatal_attempts`` had a part that crashes engines, which
    happened at the times ``part_crashes``. ``kept`` are the requests of callers that keep their
    connections, ``lags`` the times from and until which this process ran none of its callers,
    ``stops`` the planned stops by host process, ``worked_until`` the times by attempt
    until which an endpoint worked at it. ``engine_runs`` are kept where no link to an engine is
    disturbed.
    """

    attempts: list[Attempt] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    orders: dict[str, list[Mapping]] = field(default_factory=dict)
    max_held: dict[str, int] = field(default_factory=dict)
    probes: list[Attempt] = field(default_factory=list)
    crash_times: list[float] = field(default_factory=list)
    limited_endpoints: list[LimitedEndpoint] = field(default_factory=list)
    endpoint_records: list[EndpointRecord] = field(default_factory=list)
    missed_changes: list[str] = field(default_factory=list)
    partitions: list[Partition] = field(default_factory=list)
    disturbed: list[Disturbance] = field(default_factory=list)
    host_ends: dict[str, float] = field(default_factory=dict)
    forwarded: dict[str, set[str]] = field(default_factory=dict)
    loads: Sequence[WorkspaceLoad] = ()
    software: dict[str, str] = field(default_factory=dict)
    allowed_mixed: int = 0
    fatal_attempts: list[Attempt] = field(default_factory=list)
    part_crashes: list[float] = field(default_factory=list)
    falls: list[tuple[float, str]] = field(default_factory=list)
    brittle_since: float = math.inf
    kept: list[Kept] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(default_factory=list)
    stops: dict[str, PlannedStop] = field(default_factory=dict)
    worked_until: dict[str, float] = field(default_factory=dict)
    engine_runs: list[EngineRun] = field(default_factory=list)


def read_ids(events: bytes) -> list[int]:
    """Return the ids of the events of a stream."""
    return [int(row[4:]) for row in events.split(b"\n") if row.startswith(b"id: ")]


def check_answers(record: Record, event_count: int) -> Iterable[str]:
    """A caller got another caller's answer, a partial one as complete, or wrong events.

    Events are wrong if one is missing, repeated or out of order.
    """
    for attempt in record.attempts:
        if attempt.status != 200 or not attempt.complete:
            continue
        if not attempt.signature:
            yield f"{attempt.id}: a success without the signature of the endpoint"
        if attempt.route in ("recap", "once"):
            ids = read_ids(attempt.body)
            if ids != list(range(attempt.after + 1, event_count + 1)):
                yield f"{attempt.id}: a complete stream has the events {ids}"
        elif attempt.body != b"whole answer":
            yield f"{attempt.id}: {attempt.body!r} instead of the complete answer"


def check_at_most_once(record: Record) -> Iterable[str]:
    """A request that must run at most once ran twice: two policies are bound, for example."""
    counted = Counter(record.ran)
    for attempt in record.attempts:
        if not attempt.repeatable and counted[attempt.id] > 1:
            yield f"{attempt.id}: ran {counted[attempt.id]} times"


def check_refusals(record: Record) -> Iterable[str]:
    """A caller got a status which guarantees that the request has not run, but it has."""
    ran = set(record.ran)
    for attempt in record.attempts:
        if attempt.status in NOT_RUN and not attempt.repeatable and attempt.id in ran:
            yield f"{attempt.id}: got status {attempt.status} and ran"


def check_overlaps(record: Record) -> Iterable[str]:
    """A request went on at another engine while the one before worked on it for too long.

    That one may work on for some time after the other one's answer has begun, and both may have the
    request for as long. The time for which the one before was frozen doesn't count, nor do hosts
    disturbed shortly before.
    """
    attempts = {row.id: row for row in record.attempts}
    runs: dict[str, list[EngineRun]] = {}
    for run in sorted(record.engine_runs, key=lambda run: run.taken_at):
        runs.setdefault(run.attempt, []).append(run)
    for name, rows in runs.items():
        attempt = attempts.get(name)
        if attempt is None or any(
            is_disturbed(record, attempt, host) for host in hosts_of(record, attempt)
        ):
            continue
        for before, after in itertools.combinations(rows, 2):
            both = min(before.ended_at, after.ended_at) - max(after.taken_at, before.awake_since)
            seconds = max(both, before.ended_at - max(after.began_at, before.awake_since))
            if before.engine != after.engine and seconds > MAX_OVERLAP_SECONDS:
                yield (
                    f"{name}: {before.engine} worked on for {seconds:.2f} s after"
                    f" {after.engine} had the request at {after.taken_at:.2f} s"
                )


def check_orders(record: Record, max_models: int) -> Iterable[str]:
    """An engine got orders of two hosts for one term, a lower term, or too many models."""
    for engine, rows in record.orders.items():
        holders: dict[int, str] = {}
        newest = 0
        for row in rows:
            term, holder = row["fencing_token"], row["holder"]
            if holders.setdefault(term, holder) != holder:
                yield f"{engine}: term {term} used by both {holders[term]} and {holder}"
            if term < newest:
                yield f"{engine}: term {term} after {newest}"
            newest = max(newest, term)
    for engine, count in record.max_held.items():
        if count > max_models:
            yield f"{engine}: holds {count} models, {max_models} fit"


def check_config(record: Record) -> Iterable[str]:
    """A host process answered 404 for a route that it had served before."""
    seen: dict[tuple[str, str], float] = {}
    for attempt in sorted(record.attempts, key=lambda row: row.started_at):
        key = attempt.incarnation, attempt.route
        if attempt.status == 200:
            seen.setdefault(key, attempt.ended_at)
        elif attempt.status == 404 and seen.get(key, attempt.started_at) < attempt.started_at:
            yield f"{attempt.id}: {attempt.incarnation} answered 404 for its route {attempt.route}"


def check_planned(record: Record) -> Iterable[str]:
    """A planned stop, reload or change cut off a request that an endpoint was running."""
    ran = set(record.ran)
    for attempt in record.attempts:
        cut = attempt.status == 0 or (attempt.status == 200 and not attempt.complete)
        if cut and attempt.id in ran:
            yield f"{attempt.id}: {attempt.route} was cut off by planned work"


def check_unbroken(record: Record) -> Iterable[str]:
    """An answer was broken off before its deadline, though its endpoint and host were sound.

    The endpoint is the one that signed the head.
    """
    endpoints = {f"by {row.name}": row for row in record.endpoint_records if row.name}
    for attempt in (*record.attempts, *record.probes):
        endpoint = endpoints.get(attempt.signature)
        if endpoint is None or not attempt.broken_off or attempt.deadline <= attempt.ended_at:
            continue
        if not (
            host_ended(record, attempt) or endpoint.spoils(attempt) or is_cut_off(record, attempt)
        ):
            yield (
                f"{attempt.id}: {attempt.route} of {endpoint.name} at {attempt.incarnation}, begun"
                f" at {attempt.started_at:.2f} s, was broken off at {attempt.ended_at:.2f} s after"
                f" {len(attempt.body)} bytes"
            )


def host_ended(record: Record, attempt: Attempt) -> bool:
    """Return whether an attempt's host, or one that it was forwarded to, may have ended it."""
    if record.host_ends.get(attempt.incarnation, math.inf) <= attempt.ended_at:
        return True
    return any(
        name_of(process) in record.forwarded.get(attempt.id, ())
        and 0 <= attempt.ended_at - ended_at <= HOST_LOSS_SECONDS
        for process, ended_at in record.host_ends.items()
    )


def is_cut_off(record: Record, attempt: Attempt) -> bool:
    """Return whether an attempt's host was cut off from all endpoints during it."""
    return any(
        host_of(attempt) in cut.hosts
        and cut.since <= attempt.ended_at
        and attempt.started_at <= cut.until
        for cut in record.partitions
    )


def check_recovery(record: Record) -> Iterable[str]:
    """Too many requests still fail after all faults have ended."""
    served = sum(1 for probe in record.probes if probe.status == 200 and probe.complete)
    if served < MIN_RECOVERED_SHARE * len(record.probes):
        statuses = Counter(probe.status for probe in record.probes)
        yield f"{served} of {len(record.probes)} probes served after the faults: {dict(statuses)}"


def check_poison(record: Record) -> Iterable[str]:
    """A request that had crashed three endpoints was sent to more, which cuts off their streams."""
    crash_times = sorted(record.crash_times)
    later = [
        at
        for at in crash_times[CRASHES_BEFORE_BLOCK:]
        if at > crash_times[CRASHES_BEFORE_BLOCK - 1] + BLOCK_DELAY_SECONDS
    ]
    if len(later) > MAX_LATER_CRASHES:
        yield (
            f"{len(later)} of {len(crash_times)} crashes came more than"
            f" {BLOCK_DELAY_SECONDS} s after the third"
        )


def known_from(record: Record) -> float:
    """Return the time from which hosts must know a part that crashes engines, if there is one."""
    crashes = sorted(record.part_crashes)[CRASHES_BEFORE_KNOWN - 1 :]
    return crashes[0] + PART_WINDOW_SECONDS if crashes else math.inf


def check_fatal_part(record: Record) -> Iterable[str]:
    """Hosts in touch sent engines too many requests with a part that had crashed five engines."""
    since = known_from(record)
    counted = {
        attempt.id
        for attempt in record.fatal_attempts
        if not any(is_disturbed(record, attempt, host) for host in hosts_of(record, attempt))
    }
    times = [at for row in record.endpoint_records for at, name in row.requests if name in counted]
    later = [at for at in times if at > since]
    if len(later) > MAX_LATER_REQUESTS:
        yield (
            f"{len(later)} of {len(times)} requests with a part that crashes engines were sent more"
            f" than {PART_WINDOW_SECONDS} s after the fifth of {len(record.part_crashes)} crashes"
        )


def check_sound_prompts(record: Record) -> Iterable[str]:
    """Sound prompts begin far less often at the first attempt than before the first crash.

    They are compared from two windows after the fifth crash, or after the first one of fewer.
    """
    crashes = sorted(record.part_crashes)
    known = crashes[CRASHES_BEFORE_KNOWN - 1 :] or crashes
    since = known[0] + 2 * PART_WINDOW_SECONDS if known else math.inf
    rows = [
        row
        for row in record.attempts
        if row.route == FATAL_ROUTE and row.number == 1 and not is_disturbed(record, row)
    ]
    before = [row for row in rows if crashes and row.ended_at < crashes[0]]
    after = [row for row in rows if row.started_at >= since]
    if min(len(before), len(after)) < MIN_COMPARED:
        return
    if begun_share(after) < LEAST_BEGUN_SHARE * begun_share(before):
        yield (
            f"{begun_share(after):.2f} of {len(after)} sound prompts began at the first attempt,"
            f" {begun_share(before):.2f} of {len(before)} before an engine crashed"
        )


def begun_share(rows: Sequence[Attempt]) -> float:
    """Return the share of attempts whose stream began."""
    return sum(row.status == SUCCESS and row.last_event > 0 for row in rows) / len(rows)


def hosts_of(record: Record, attempt: Attempt) -> set[str]:
    """Return the names of the hosts that an attempt came to, also from another host."""
    return {host_of(attempt), *record.forwarded.get(attempt.id, ())}


def check_limits(record: Record) -> Iterable[str]:
    """An endpoint got more requests from all hosts together than the limit that it announced."""
    for row in record.limited_endpoints:
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_SECONDS * row.rate + LIMIT_EXTRA_REQUESTS
        times = [
            at for at in row.request_times if at >= row.announced_at + LIMIT_COUNTED_AFTER_SECONDS
        ]
        for end in times:
            if not row.announced_at + LIMIT_ENFORCED_AFTER_SECONDS <= end <= row.ended_at:
                continue
            count = sum(end - LIMIT_WINDOW_SECONDS < at <= end for at in times)
            if count > allowed:
                yield f"{count} requests in {LIMIT_WINDOW_SECONDS} s at a limit of {row.rate}"
                break


def check_draining(record: Record) -> Iterable[str]:
    """A host sent a request to an endpoint that had announced to it that it drains."""
    attempts = {attempt.id: attempt for attempt in record.attempts}
    for row in record.endpoint_records:
        informed_at: dict[str, float] = {}
        for _, name in row.requests:
            attempt = attempts.get(name)
            if attempt is None:
                continue
            last = informed_at.get(attempt.incarnation, math.inf)
            if attempt.started_at > last + DRAINING_TOLERANCE_SECONDS:
                yield (
                    f"{name}: {attempt.incarnation} had received the notice of"
                    f" draining {attempt.started_at - last:.2f} s before"
                )
            if attempt.started_at >= row.draining_from and attempt.status == SUCCESS:
                informed_at[attempt.incarnation] = min(last, attempt.ended_at)


def check_backoffs(record: Record) -> Iterable[str]:
    """A host sent too many requests to an endpoint during the backoff that it had asked for."""
    incarnations = {attempt.id: attempt.incarnation for attempt in record.attempts}
    for row in record.endpoint_records:
        for at, name, seconds in row.backoffs:
            incarnation = incarnations.get(name)
            since, until = at + BACKOFF_ENFORCED_AFTER_SECONDS, at + seconds
            ids = [other for received_at, other in row.requests if since < received_at < until]
            count = sum(incarnations.get(other) == incarnation for other in ids)
            if incarnation is not None and count > MAX_REQUESTS_IN_BACKOFF:
                yield (
                    f"{incarnation} sent {count} requests"
                    f" in a backoff of {seconds} s from {at:.2f} s on"
                )


def check_retries(record: Record) -> Iterable[str]:
    """A service got more retries from all hosts than its budget allows.

    Each arrival of an attempt beyond its first is a retry of the hosts. A window's requests are its
    own, those of the window before it or of the one half a window before it.
    """
    attempts = [*record.attempts, *record.probes]
    for models in (True, False):
        rows = {row.id: row for row in attempts if (row.route in MODEL_ROUTES) == models}
        sent = sorted(row.started_at for row in rows.values())
        arrivals: dict[str, list[float]] = {}
        for endpoint in record.endpoint_records:
            for at, name in endpoint.requests:
                if name in rows:
                    arrivals.setdefault(name, []).append(at)
        retries = sorted(at for times in arrivals.values() for at in sorted(times)[1:])
        for start in retries:
            requests = max(
                count_between(sent, start - before, RETRY_WINDOW_SECONDS)
                for before in (0, RETRY_WINDOW_SECONDS / 2, RETRY_WINDOW_SECONDS)
            )
            count = count_between(retries, start, RETRY_WINDOW_SECONDS)
            if count > RETRY_SHARE * requests + RETRY_EXTRA:
                service = "engines" if models else "plain endpoints"
                yield f"{count} retries to {service} for {requests} requests from {start:.2f} s on"
                break


def count_between(times: Sequence[float], start: float, seconds: float) -> int:
    """Return how many of the sorted times are in a window."""
    return bisect_left(times, start + seconds) - bisect_left(times, start)


def check_partitions(record: Record) -> Iterable[str]:
    """Callers of hosts that are cut off from all endpoints are served far less often than others.

    Attempts count from some seconds after the cut began, at hosts whose processes had not been
    disturbed for as long. Some failures are allowed, as endpoints and the store are disturbed too.
    """
    for cut in record.partitions:
        since = cut.since + SETTLING_SECONDS
        rows = [
            row
            for row in record.attempts
            if since <= row.started_at and row.ended_at <= cut.until
            if not is_disturbed(record, row)
        ]
        there = [row for row in rows if host_of(row) in cut.hosts]
        others = [row for row in rows if row not in there]
        failed = sum(not is_served(row) for row in there)
        allowed = ALLOWED_FAILURES + ALLOWED_SHARE * len(rows)
        if others and failed > allowed and share(there) < LEAST_SHARE * share(others):
            yield (
                f"cut off ({cut.way}) from {cut.since:.2f} s: {sorted(cut.hosts)} served"
                f" {share(there):.2f} of {len(there)}, the others {share(others):.2f}"
                f" of {len(others)}"
            )


def host_of(attempt: Attempt) -> str:
    """Return the name of the host that received an attempt."""
    return name_of(attempt.incarnation)


def name_of(process: str) -> str:
    """Return the name of a host from that of one of its processes."""
    return process.rpartition("-")[0]


def is_disturbed(record: Record, attempt: Attempt, host: str = "") -> bool:
    """Return whether the process of an attempt's host had a fault shortly before or during it.

    ``host`` is the name of another host that the attempt was forwarded to.
    """
    return any(
        row.host == (host or host_of(attempt))
        and row.since <= attempt.ended_at
        and attempt.started_at <= row.until + SETTLING_SECONDS
        for row in record.disturbed
    )


def is_served(attempt: Attempt) -> bool:
    """Return whether an attempt got a complete success."""
    return attempt.status == SUCCESS and attempt.complete


def share(rows: Sequence[Attempt]) -> float:
    """Return the share of attempts that were served."""
    return sum(map(is_served, rows)) / max(1, len(rows))


def check_falls(record: Record) -> Iterable[str]:
    """Endpoints that announce that they may fall over did so too often."""
    since = record.brittle_since + SETTLING_SECONDS
    later = [name for at, name in record.falls if at >= since]
    if len(later) > MAX_FALLS:
        yield f"{len(later)} falls of endpoints: {dict(Counter(later))}"


def check_quotas(record: Record) -> Iterable[str]:
    """A workspace had more units run in a window than its quota and the tolerance allow."""
    ran = set(record.ran)
    first: dict[str, float] = {}
    for endpoint in record.endpoint_records:
        for at, name in endpoint.requests:
            first[name] = min(at, first.get(name, math.inf))
    for row in record.loads:
        names = {a.id for a in record.attempts if a.workspace == row.name} & ran
        times = sorted(first[name] for name in names)
        rated = row.rate * QUOTA_WINDOW_SECONDS + row.burst
        allowed = rated * (1 + QUOTA_OVER) + QUOTA_SLACK_UNITS
        counts = [(count_between(times, at, QUOTA_WINDOW_SECONDS), at) for at in times]
        count, since = max(counts, default=(0, 0.0))
        units = row.cost * count
        if units > allowed:
            yield f"workspace {row.name}: {units} units from {since:.2f} s, {allowed} allowed"


def check_within_quota(record: Record) -> Iterable[str]:
    """A workspace that was well within its quota was refused by it."""
    for row in record.loads:
        refused = [
            attempt
            for attempt in record.attempts
            if attempt.workspace == row.name and QUOTA_KIND in attempt.body
        ]
        if refused and row.load <= WITHIN_SHARE:
            first = refused[0]
            yield (
                f"workspace {row.name}: {len(refused)} requests refused at {row.load:.2f} of its"
                f" quota, the first {first.id} at {first.ended_at:.2f} s by {first.incarnation}"
            )


def check_served_within_quota(record: Record) -> Iterable[str]:
    """A workspace well within its quota is served less than half as often as callers without one.

    First attempts on the same routes are compared, at hosts that had not been disturbed shortly
    before.
    """
    names = {row.name for row in record.loads}
    rows = [row for row in record.attempts if row.number == 1 and not is_disturbed(record, row)]
    for load in record.loads:
        if load.load > WITHIN_SHARE:
            continue
        own = [row for row in rows if row.workspace == load.name]
        routes = {row.route for row in own}
        others = [row for row in rows if row.workspace not in names and row.route in routes]
        if min(len(own), len(others)) < MIN_COMPARED:
            continue
        if share(own) < LEAST_WITHIN_SHARE * share(others):
            yield (
                f"workspace {load.name}: served {share(own):.2f} of {len(own)} at {load.load:.2f}"
                f" of its quota, callers without one {share(others):.2f} of {len(others)}"
            )


def check_software(record: Record) -> Iterable[str]:
    """More streams than allowed have events of endpoints of two software versions.

    A stream that a caller resumes goes on with the events of the attempt that it names.
    """
    tries: dict[str, list[Attempt]] = {}
    for attempt in record.attempts:
        if attempt.status == SUCCESS and attempt.route in MODEL_ROUTES:
            tries.setdefault(attempt.resumes or attempt.id, []).append(attempt)
    mixed = [line for rows in tries.values() for line in describe_mixed(record, rows)]
    if len(mixed) > record.allowed_mixed:
        yield f"{len(mixed)} of {len(tries)} streams have events of two software versions"
        yield from mixed


def describe_mixed(record: Record, tries: Sequence[Attempt]) -> Iterable[str]:
    """Yield a line for a stream, given all tries of its caller, if it has two software versions."""
    versions = {record.software.get(name, "") for row in tries for name in row.event_sources}
    if len(versions) > 1:
        sources = [f"{row.id} from {sorted(row.event_sources)}" for row in tries]
        yield f"{', then '.join(sources)}: versions {sorted(versions)}"


def check_changes(record: Record) -> Iterable[str]:
    """A host did not follow a change that was made after the store was restored."""
    yield from record.missed_changes


def find_violations(
    record: Record, planned: bool, event_count: int, max_models: int
) -> Sequence[str]:
    """Return the violated guarantees, one line each; ``planned`` is true for planned work alone."""
    found = [
        *check_answers(record, event_count),
        *check_at_most_once(record),
        *check_refusals(record),
        *check_overlaps(record),
        *check_orders(record, max_models),
        *check_config(record),
        *check_unbroken(record),
        *check_recovery(record),
        *check_poison(record),
        *check_fatal_part(record),
        *check_sound_prompts(record),
        *check_limits(record),
        *check_draining(record),
        *check_backoffs(record),
        *check_retries(record),
        *check_changes(record),
        *check_partitions(record),
        *check_falls(record),
        *check_software(record),
        *check_quotas(record),
        *check_within_quota(record),
        *check_served_within_quota(record),
    ]
    return found + list(check_planned(record)) if planned else found
