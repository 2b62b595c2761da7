"""Which hosts live: the platform's lagging list, heartbeats on the board, and stop notices.

A host is judged by its own newest word and by how long ago, on this host's clock, its heartbeat
last changed. The platform's list only adds addresses to try; it never overrules a heartbeat. Where
hosts tell each other of their links, these go before heartbeats.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Protocol

from peridotdock.clock import Clock
from peridotdock.fact_table import FactTable, KnownFact, Slot
from peridotdock.schema.messages import HostFact

BEAT_SECONDS = 1.0
HOSTS_PER_BEAT_SECOND = 70
SILENT_BEATS = 4
FORGET_SECONDS = 120.0
# Seconds for which a host counts as alive after the last link to it went: long enough to dial
# another one, and short enough that callers are not named a machine that lost its power.
DISCONNECTED_SECONDS = 1.0
# The same on a host that reaches nobody, which can't tell its own trouble from that of all others.
ISOLATED_SECONDS = 1.6
NO_HOSTS: frozenset[str] = frozenset()
MAX_BEATS = 64


@dataclass(frozen=True)
class Member:
    """A host as seen from here; ``last_seen_at`` is when its newest heartbeat was made.

    That is in monotonic seconds of this host, and infinite for this host itself and for those that
    it reaches over links.
    """

    fact: HostFact
    alive: bool
    last_seen_at: float

    @property
    def accepts_work(self) -> bool:
        """Tell whether callers should be sent there."""
        return self.alive and self.fact.state == "live"


class Links(Protocol):
    """Which hosts can be reached over links."""

    def hosts(self) -> frozenset[str]:
        """Return the hosts that are reached, without this one."""

    def parted(self, host: str) -> float:
        """Return when a host that is not reached now last was (monotonic seconds)."""

    def forget(self, host: str) -> None:
        """Forget when a host was last reached."""


class Membership:
    """The members and this host's own place among them.

    With ``links``, hosts that are reached are alive without a heartbeat.
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

    def set_state(self, state: str) -> None:
        """Change this host's state and say so at once."""
        self.own = HostFact(**{**vars(self.own), "state": state})
        self.beat()

    def beat_seconds(self) -> float:
        """Return the time between heartbeats; it grows with the number of hosts."""
        count = len(self._facts.by_origin("host"))
        return BEAT_SECONDS * max(1.0, count / HOSTS_PER_BEAT_SECOND)

    def beat_time(self, beat: int) -> float | None:
        """Return when this host made its heartbeat ``beat`` (monotonic seconds)."""
        return next((at for number, at in self._beats if number == beat), None)

    def members(self) -> Mapping[str, Member]:
        """Return all hosts known, by name: a view that changes with what is heard.

        A host that is heard of is judged then, and all are when one may have become silent.
        """
        now = self._clock.monotonic()
        reached = self._links.hosts() if self._links else NO_HOSTS
        limit = self._silent_limit(reached)
        if now > self._judged_until or limit != self._limit or reached is not self._reached:
            self._limit, self._reached = limit, reached
            self._judge_all(now)
        return MappingProxyType(self._members)

    def _silent_limit(self, reached: frozenset[str]) -> float:
        """Return the seconds after which a host that is not reached, or not heard, is dead."""
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
            last_seen_at = max(known.at, self._links.parted(origin))
        alive = now - last_seen_at <= self._limit and known.fact.state != "gone"
        return Member(known.fact, alive, last_seen_at)

    def _on_changed(self, slots: list[Slot]) -> None:
        """Judge the hosts anew that were heard of; the time for a look at all stays good."""
        now = self._clock.monotonic()
        for origin, topic in slots:
            known = self._facts.get(origin, topic) if topic == "host" else None
            if known is None:
                continue
            row = self._members[origin] = self._judge(origin, known, now)
            if row.alive:
                self._judged_until = min(self._judged_until, row.last_seen_at + self._limit)

    def live(self) -> list[str]:
        """Return the names of the hosts that are alive and not leaving, this one included."""
        return sorted(name for name, row in self.members().items() if row.accepts_work)

    def find_domain(self, host: str) -> str:
        """Return a host's failure domain, empty where it is not known."""
        member = self.members().get(host)
        return member.fact.domain if member is not None else ""

    def find(self, incarnation: str) -> Member | None:
        """Return the member whose life is ``incarnation``."""
        rows = self.members().values()
        return next((row for row in rows if row.fact.incarnation == incarnation), None)

    def sweep(self) -> list[str]:
        """Forget the hosts that have been silent for long; return their names.

        One that was heard of a moment ago is kept: its word may be old, and that it can be reached
        may stand in the next frame.
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
