"""Checks of planned stops under callers that keep their connections.

The docstring of each check says which violation it reports.
"""

import math
from collections import Counter
from collections.abc import Iterable, Sequence

from extras.soak.checks import BRIEF_KINDS, NOT_RUN, SUCCESS, Kept, PlannedStop, Record

# Seconds after SIGTERM for which callers may not know of it.
UNKNOWN_SECONDS = 3.0
# Last part of the grace period, in which what an endpoint still works at may be cut.
LAST_SHARE = 1 / 6
# Seconds before its connection's end within which an unanswered request may have been sent.
CROSSING_SECONDS = 0.2
SERVER_ERROR = 500
# Share of the brief requests sent before callers may know of a stop that may be refused, and how
# many must have been sent for it.
MAX_REFUSED_SHARE = 0.1
MIN_BRIEF = 20
# Statuses that say that a request has not run, as another host or the endpoint could not take it.
REFUSED = frozenset({429, 503})


def check_lost(record: Record) -> Iterable[str]:
    """An answer ended unfinished, or a request that was sent in time got none at all."""
    ran = set(record.ran)
    for row in record.kept:
        if row.whole or row.deadline <= row.ended_at:
            continue
        sent_in_time = row.ended_at - row.started_at > CROSSING_SECONDS + lag(record, row)
        # A host that is behind and doesn't stop refuses a request and ends the connection with it.
        left_behind = row.behind_end and row.incarnation not in record.stops
        known = row.status != 0 or row.id in ran or (sent_in_time and not left_behind)
        if known and not may_be_cut(record, row, row.id in ran):
            what = f"ended unfinished with {row.status}" if row.status else "got no answer"
            yield f"{describe(record, row)} {what}{', and ran' if row.id in ran else ''}"


def lag(record: Record, row: Kept) -> float:
    """Return for how long this process may not have seen the end of a request's connection."""
    found = [min(until, row.ended_at) - max(since, row.started_at) for since, until in record.lags]
    return sum(seconds for seconds in found if seconds > 0)


def may_be_cut(record: Record, row: Kept, ran: bool) -> bool:
    """Return whether an endpoint still worked at a request in the last part of a stop."""
    stop = record.stops.get(row.incarnation)
    if stop is None or not ran or row.started_at > stop.at + UNKNOWN_SECONDS:
        return False
    last = stop.at + stop.grace * (1 - LAST_SHARE)
    return row.ended_at >= last and record.worked_until.get(row.id, math.inf) >= last


def check_kept_refusals(record: Record) -> Iterable[str]:
    """A caller was told that a request that may run once has not run, but it has."""
    ran = set(record.ran)
    for row in record.kept:
        if row.status in NOT_RUN and not row.repeatable and row.id in ran:
            yield f"{describe(record, row)} got {row.status} and ran"


def check_errors(record: Record) -> Iterable[str]:
    """A caller got a 500, which tells neither what happened nor whether the request ran."""
    for row in record.kept:
        if row.status == SERVER_ERROR:
            yield f"{describe(record, row)} got {row.status}"
    if record.stops:
        for row in (*record.attempts, *record.probes):
            if row.status == SERVER_ERROR and row.id not in spoilt(record):
                yield f"{row.id}: {row.route} at {row.incarnation} got {row.status}"


def spoilt(record: Record) -> frozenset[str]:
    """Return the ids of attempts that an endpoint was told to spoil."""
    return frozenset().union(*(row.spoilt for row in record.endpoint_records))


def check_served(record: Record) -> Iterable[str]:
    """Hosts refuse brief requests that come before callers may know of a stop."""
    rows = [row for row in record.kept if row.kind in BRIEF_KINDS and is_unknowing(record, row)]
    refused = [row for row in rows if row.status in REFUSED]
    if len(rows) >= MIN_BRIEF and len(refused) > MAX_REFUSED_SHARE * len(rows):
        kinds = dict(Counter(row.kind for row in refused))
        yield (
            f"{len(refused)} of {len(rows)} brief requests refused within {UNKNOWN_SECONDS} s of a"
            f" SIGTERM: {kinds}, the first {describe(record, refused[0])}"
        )


def is_unknowing(record: Record, row: Kept) -> bool:
    """Return whether a request was sent when callers may not know of its host's stop."""
    stop = record.stops.get(row.incarnation)
    return stop is not None and 0 <= row.started_at - stop.at <= UNKNOWN_SECONDS


def check_killed(record: Record) -> Iterable[str]:
    """A host that was told to stop was not gone by the end of its grace period."""
    for process, stop in record.stops.items():
        if stop.killed:
            yield f"{process}: killed {stop.grace} s after the SIGTERM at {stop.at:.2f} s"


def check_played(record: Record) -> Iterable[str]:
    """A run of planned stops sent nothing to a stopping host, so it has shown nothing."""
    if not any(is_unknowing(record, row) for row in record.kept):
        yield f"no request came to a stopping host, of which there were {len(record.stops)}"


def describe(record: Record, row: Kept) -> str:
    """Return which request it was and when, also in relation to its host's stop."""
    stop = record.stops.get(row.incarnation)
    return (
        f"{row.id}: {row.kind} at {row.incarnation} from {row.started_at:.2f} to"
        f" {row.ended_at:.2f} s{describe_stop(row, stop)}"
    )


def describe_stop(row: Kept, stop: PlannedStop | None) -> str:
    """Return when a request was sent and ended in relation to a stop, as text."""
    if stop is None:
        return ", no stop,"
    sent, ended = row.started_at - stop.at, row.ended_at - stop.at
    return f", sent {sent:.2f} and ended {ended:.2f} s after SIGTERM,"


def summarise(record: Record) -> str:
    """Return what was sent during stops, and how it ended, as one line."""
    rows = [
        row
        for row in record.kept
        if row.incarnation in record.stops and row.ended_at >= record.stops[row.incarnation].at
    ]
    served = sum(row.whole and row.status == SUCCESS for row in rows)
    refused = sum(row.status in REFUSED for row in rows)
    cut = sum(not row.whole for row in rows)
    brief = [row for row in rows if row.kind in BRIEF_KINDS and is_unknowing(record, row)]
    early = sum(row.status in REFUSED for row in brief)
    kinds = Counter(row.kind for row in rows if row.status in REFUSED)
    longest = max((until - since for since, until in record.lags), default=0.0)
    return (
        f"callers late by {longest:.2f} s at most; {len(record.stops)} stops,"
        f" {len(record.kept)} requests, {len(rows)} ended during a stop:"
        f" {served} served, {refused} refused {dict(kinds)}, {cut} without a whole answer;"
        f" {early} of {len(brief)} brief ones refused before callers may know"
    )


def find_lost(record: Record, stopping: bool) -> Sequence[str]:
    """Return the violated promises of planned stops, one line each.

    ``stopping`` is true for runs in which hosts are stopped in series.
    """
    played = check_played(record) if stopping else ()
    return [
        *played,
        *check_lost(record),
        *check_kept_refusals(record),
        *check_errors(record),
        *check_served(record),
        *check_killed(record),
    ]
