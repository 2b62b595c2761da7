"""At which software version a stream goes on that a caller takes up at any host.

Load pattern: endpoints of several software versions serve side by side, what they write doesn't fit
together, and callers whose host was killed take their streams up at other hosts by the hundred.
Refusing them all loses the streams; sending them anywhere mixes versions. A host knows the streams
that it served, the hub those that all hosts told it of. What neither knows can only go on where
there was one version for as long as callers wait.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from functools import lru_cache
from math import inf

# Bounds of the seconds for which a stream's version is remembered at least.
MIN_KEPT_SECONDS = 5.0
MAX_KEPT_SECONDS = 120.0
# Age of the list of endpoints from which it may lack a version that other hosts know.
MAX_LIST_AGE_SECONDS = 2.0
# Rows of the store in which streams are written by turns, one a second.
ROW_SLOTS = 150
# Seconds by which the times of day of hosts may differ.
CLOCK_SECONDS = 10.0
# Most recent streams remembered in one table, and as many older ones.
MAX_STREAMS = 50_000
# Stands for the version of a stream of which it is known that nobody can know its version.
UNKNOWN_SOFTWARE = "\0"
# Bindings that are shared by their streams.
MAX_CACHED_BINDINGS = 200


class Source(StrEnum):
    """From what the version of a stream is known."""

    HERE = "here"
    TOLD = "told"
    SINGLE = "single"
    EARLIER = "earlier"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Binding:
    """The service of a stream, and the version of the endpoints' software that began it."""

    service: str
    software: str


@lru_cache(maxsize=MAX_CACHED_BINDINGS)
def make_binding(service: str, software: str) -> Binding:
    """Return a binding, the same object for equal ones: a hub holds one for each stream."""
    return Binding(service, software)


@dataclass(frozen=True, slots=True)
class Verdict:
    """What is known of a stream, with the reason; ``software`` is None if nothing is.

    It is UNKNOWN_SOFTWARE if it is known that nobody can know the version.
    """

    source: Source
    service: str
    software: str | None = None


@dataclass(frozen=True, slots=True)
class Reply:
    """The hub's reply on a stream, with the versions of the service that the hub knows.

    ``complete`` is set if all hosts in touch have told the hub of their streams.
    """

    verdict: Verdict
    complete: bool
    versions: frozenset[str]


@dataclass(frozen=True, slots=True)
class Period:
    """When a version was first and last seen; the last is infinite while it serves."""

    first: float
    last: float = inf


class StreamTable:
    """The bindings of streams by id, each kept for once to twice the time asked for.

    With more streams than MAX_STREAMS in that time the older ones are evicted; ``evicted_at`` is
    when that happened last.
    """

    def __init__(self, now: float):
        self._recent: dict[int, Binding] = {}
        self._older: dict[int, Binding] = {}
        self._since = now
        self.evicted_at = -inf

    def record(self, stream: int, binding: Binding, now: float, seconds: float) -> None:
        """Remember a stream's binding; the first one stays until the version is found unknown."""
        known = self.find(stream, now, seconds)
        if known is None or binding.software == UNKNOWN_SOFTWARE:
            known = binding
        if len(self._recent) >= MAX_STREAMS and stream not in self._recent:
            self._older, self._recent = self._recent, {}
            self._since = self.evicted_at = now
        self._recent[stream] = known

    def find(self, stream: int, now: float, seconds: float) -> Binding | None:
        """Return the binding of a stream, None if it is not known."""
        self._expire(now, seconds)
        return self._recent.get(stream) or self._older.get(stream)

    def items(self, now: float, seconds: float) -> Iterator[tuple[int, Binding]]:
        """Return all streams with their bindings."""
        self._expire(now, seconds)
        yield from (self._older | self._recent).items()

    def _expire(self, now: float, seconds: float) -> None:
        passed = now - self._since
        if passed >= seconds:
            self._older = self._recent if passed < 2 * seconds else {}
            self._recent = {}
            self._since = now


class VersionHistory:
    """When which software versions of each service were seen. Times are monotonic seconds."""

    def __init__(self) -> None:
        self._periods: dict[str, dict[str, Period]] = {}

    def observe(self, serving: Mapping[str, Collection[str]], now: float) -> None:
        """Record the versions of each service in the list of endpoints."""
        for service, periods in self._periods.items():
            gone = periods.keys() - set(serving.get(service, ()))
            for software in gone:
                periods[software] = replace(
                    periods[software], last=min(now, periods[software].last)
                )
        for service, versions in serving.items():
            periods = self._periods.setdefault(service, {})
            for software in versions:
                known = periods.get(software)
                lately = known is not None and known.last >= now - MAX_KEPT_SECONDS
                periods[software] = Period(known.first if known and lately else now)

    def add_recorded(self, serving: Mapping[str, Collection[str]], now: float) -> None:
        """Add versions that served before this host did; until when is not known."""
        for service, versions in serving.items():
            periods = self._periods.setdefault(service, {})
            for software in versions:
                known = periods.get(software)
                periods[software] = Period(-inf, known.last if known else now)

    def serving(self, now: float, seconds: float) -> dict[str, list[str]]:
        """Return the versions of each service that were seen in the last ``seconds``."""
        found = {name: sorted(self.versions(name, now, seconds)) for name in self._periods}
        return {name: versions for name, versions in found.items() if versions}

    def versions(self, service: str, now: float, seconds: float) -> dict[str, Period]:
        """Return the versions of a service that were seen in the last ``seconds``."""
        periods = self._periods.get(service, {})
        return {name: row for name, row in periods.items() if row.last >= now - seconds}

    def mixed(self, now: float, seconds: float) -> frozenset[str]:
        """Return the services that had several versions in the last ``seconds``."""
        return frozenset(
            service
            for service, periods in self._periods.items()
            if len(periods) > 1 and len(self.versions(service, now, seconds)) > 1
        )


def kept_seconds(timeouts: Iterable[float]) -> float:
    """Return how long streams are remembered: as long as callers of any route go on."""
    return min(MAX_KEPT_SECONDS, max(MIN_KEPT_SECONDS, *timeouts, 0.0))


def row_slot(now: float) -> int:
    """Return the slot of the store's rows to write at a time of day, in seconds.

    A slot is written again only when what it holds is too old for any host.
    """
    return int(now) % ROW_SLOTS


def kept_rows(written_at: Mapping[str, float], now: float, seconds: float) -> frozenset[str]:
    """Return the rows whose streams may still be taken up, by the times they were written."""
    oldest, newest = now - seconds - CLOCK_SECONDS, now + CLOCK_SECONDS
    return frozenset(key for key, at in written_at.items() if oldest <= at <= newest)


def judge_alone(
    binding: Binding | None, service: str, versions: Collection[str], sure: bool
) -> Verdict | None:
    """Return what a host finds without asking, None if it has to ask the hub.

    ``sure`` tells whether ``versions`` are all of the service's for as long as callers go on.
    """
    if binding is not None:
        return Verdict(Source.HERE, binding.service, binding.software)
    if sure and len(versions) == 1:
        return Verdict(Source.SINGLE, service, *versions)
    return None


def judge_as_hub(
    binding: Binding | None,
    service: str,
    periods: Mapping[str, Period],
    told_since: float,
    now: float,
    seconds: float,
) -> Verdict:
    """Return what the hub knows of a stream, where it was told of all streams since a time.

    A stream that it was not told of began before there was a second version, if that is less than
    ``seconds`` ago.
    """
    if binding is not None:
        return Verdict(Source.TOLD, binding.service, binding.software)
    ordered = sorted(periods.items(), key=lambda row: row[1].first)
    if len(ordered) > 1:
        (earliest, period), (_, second) = ordered[:2]
        alone = max(period.first, told_since) < second.first
        if alone and now - second.first < seconds:
            return Verdict(Source.EARLIER, service, earliest)
    return Verdict(Source.UNKNOWN, service)


def judge_replied(
    service: str, versions: Collection[str], reply: Reply | None, in_touch: bool
) -> Verdict:
    """Return what a host finds after it has asked; ``reply`` is None if the hub gave none.

    ``in_touch`` tells whether the host's list of endpoints, or a host that it reaches, would show
    other versions.
    """
    if reply is not None and reply.verdict.software is not None:
        return reply.verdict
    known = {*versions, *(reply.versions if reply is not None else ())}
    if in_touch and len(known) == 1:
        return Verdict(Source.SINGLE, service, *known)
    return Verdict(Source.UNKNOWN, service)
