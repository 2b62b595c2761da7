"""Which hosts are alive, judged by heartbeats, stop notices and links.

A host is judged by its own newest fact and by how long ago, on this host's clock, its heartbeat
last changed. The platform's list lags and only adds addresses to try; it never overrules a
heartbeat. Where hosts publish their links, these take precedence over heartbeats.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Protocol

from peridotdock.clock import Clock
from peridotdock.fact_table import FactTable, KnownFact, Slot
from peridotdock.schema.messages import HostFact

# Interval of heartbeats; beyond this many hosts it grows in proportion to them.
BEAT_SECONDS = 1.0
HOSTS_PER_BEAT_SECOND = 70
# Missed heartbeats after which a host counts as dead.
SILENT_BEATS = 4
FORGET_SECONDS = 120.0
# A host counts as alive for this long after the last link to it was lost: long enough to dial
# another, and short enough that callers are not given a machine that lost its power.
DISCONNECTED_SECONDS = 1.0
# The same on a host that reaches no other, which can't tell whether it or all others are cut off.
ISOLATED_SECONDS = 1.6
NO_HOSTS: frozenset[str] = frozenset()
MAX_BEATS = 64
# Share of the hosts that can serve callers which must reach endpoints for callers to be given them
# alone. Fewer of them could not take all connections.
MIN_REACHING_SHARE = 0.5


@dataclass(frozen=True)
class Member:
    """A host as seen by this host; ``last_seen_at`` is when its newest heartbeat was made.

    The time is in monotonic seconds of this host, and infinite for this host itself and for hosts
    that it reaches over links.
    """

    fact: HostFact
    alive: bool
    last_seen_at: float

    @property
    def accepts_work(self) -> bool:
        """Tell whether the host is alive, ready and reaches endpoints."""
        return self.alive and self.fact.state == "live"

    @property
    def accepts_callers(self) -> bool:
        """Tell whether the host can serve callers, if only through other hosts."""
        return self.accepts_work or (self.alive and self.fact.partitioned)


class Links(Protocol):
    """The hosts that are reachable over links."""

    def hosts(self) -> frozenset[str]:
        """Return the reachable hosts, without this one."""

    def last_reachable_at(self, host: str) -> float:
        """Return when a host that is unreachable now was last reachable (monotonic seconds)."""

    def forget(self, host: str) -> None:
        """Drop the time at which a host was last reachable."""


class Membership:
    """All known hosts, and this host's own state.

    With ``links``, hosts that are reachable are alive without a heartbeat.
    """

    def __init__(self, facts: FactTable, own: HostFact, clock: Clock, links: Links | None = None):
        self._facts = facts
        self._clock = clock
        self.own = own
        self._links = links
        self._reached = NO_HOSTS
        self._known_since: dict[str, float] = {}
        self._beats: deque[tuple[int, float]] = deque(maxlen=MAX_BEATS)
        self._members: dict[str, Member] = {}
        self._limit = 0.0
        self._judged_until = float("-inf")
        facts.listen(self._on_changed)

    def beat(self) -> None:
        """Publish a heartbeat."""
        self.own = HostFact(**{**vars(self.own), "beat": self.own.beat + 1})
        self._beats.append((self.own.beat, self._clock.monotonic()))
        self._facts.publish("host", self.own)

    def set_state(self, state: str, partitioned: bool = False) -> None:
        """Change this host's state and publish it at once.

        A ``partitioned`` host serves callers through others; hosts of versions that don't know the
        field go by its state.
        """
        self.own = HostFact(**{**vars(self.own), "state": state, "partitioned": partitioned})
        self.beat()

    def beat_seconds(self) -> float:
        """Return the seconds between heartbeats, which grow with the number of hosts."""
        count = len(self._facts.by_origin("host"))
        return BEAT_SECONDS * max(1.0, count / HOSTS_PER_BEAT_SECOND)

    def beat_time(self, beat: int) -> float | None:
        """Return when this host made its heartbeat ``beat`` (monotonic seconds), or None."""
        return next((at for number, at in self._beats if number == beat), None)

    def members(self) -> Mapping[str, Member]:
        """Return all known hosts by name, as a live read-only view.

        A host is judged when its fact changes, and all are judged when one may have become silent.
        """
        now = self._clock.monotonic()
        reached = self._links.hosts() if self._links else NO_HOSTS
        limit = self._silent_limit(reached)
        if now > self._judged_until or limit != self._limit or reached is not self._reached:
            self._limit, self._reached = limit, reached
            self._judge_all(now)
        return MappingProxyType(self._members)

    def _silent_limit(self, reached: frozenset[str]) -> float:
        """Return the seconds after which an unreachable or silent host counts as dead."""
        if self._links is None:
            return SILENT_BEATS * self.beat_seconds()
        return DISCONNECTED_SECONDS if reached else ISOLATED_SECONDS

    def _judge_all(self, now: float) -> None:
        rows = self._facts.by_origin("host")
        self._members = {origin: self._judge(origin, rows[origin], now) for origin in rows}
        ends = [row.last_seen_at + self._limit for row in self._members.values() if row.alive]
        self._judged_until = min(ends, default=float("inf"))

    def _judge(self, origin: str, known: KnownFact, now: float) -> Member:
        self._known_since.setdefault(origin, now)
        last_seen_at = known.at
        if origin == self.own.host or origin in self._reached:
            last_seen_at = float("inf")
        elif self._links is not None:
            last_seen_at = max(known.at, self._links.last_reachable_at(origin))
        alive = now - last_seen_at <= self._limit and known.fact.state != "gone"
        return Member(known.fact, alive, last_seen_at)

    def _on_changed(self, slots: list[Slot]) -> None:
        """Judge the hosts whose facts changed; keep the time of the next full judgement."""
        now = self._clock.monotonic()
        for origin, topic in slots:
            known = self._facts.get(origin, topic) if topic == "host" else None
            if known is None:
                continue
            row = self._members[origin] = self._judge(origin, known, now)
            if row.alive:
                self._judged_until = min(self._judged_until, row.last_seen_at + self._limit)

    def live(self) -> list[str]:
        """Return the names of the hosts that are alive and not draining, this one included."""
        return sorted(name for name, row in self.members().items() if row.accepts_work)

    def directory(self) -> list[Member]:
        """Return the hosts whose addresses callers should be given.

        Hosts that reach no endpoint are left out while the others are enough to take their callers.
        """
        able = [row for row in self.members().values() if row.accepts_callers]
        reaching = [row for row in able if row.accepts_work]
        return reaching if len(reaching) >= MIN_REACHING_SHARE * len(able) else able

    def find_domain(self, host: str) -> str:
        """Return a host's failure domain, or an empty string if it is unknown."""
        member = self.members().get(host)
        return member.fact.domain if member is not None else ""

    def find(self, incarnation: str) -> Member | None:
        """Return the member with an incarnation, or None."""
        rows = self.members().values()
        return next((row for row in rows if row.fact.incarnation == incarnation), None)

    def sweep(self) -> list[str]:
        """Remove the hosts that have been silent for ``FORGET_SECONDS``; return their names.

        A host that became known only recently is kept: its fact may be old, and the next frame may
        report that it is reachable.
        """
        oldest = self._clock.monotonic() - FORGET_SECONDS
        since = self._known_since
        gone = [n for n, row in self.members().items() if max(row.last_seen_at, since[n]) < oldest]
        for name in gone:
            self._facts.forget(name)
            del self._members[name], since[name]
            if self._links is not None:
                self._links.forget(name)
        return gone
