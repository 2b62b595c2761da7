"""Which hosts live: the platform's lagging list, heartbeats on the board, and stop notices.

A host is judged by its own newest word and by how long ago, on this host's clock, its heartbeat
last changed. The platform's list only adds addresses to try; it never overrules a heartbeat.
"""

from collections import deque
from dataclasses import dataclass

from peridotdock.board import Board
from peridotdock.clock import Clock
from peridotdock.schema.messages import HostFact

BEAT_SECONDS = 1.0
HOSTS_PER_BEAT_SECOND = 70
SILENT_BEATS = 4
FORGET_SECONDS = 120.0
KEPT_BEATS = 64


@dataclass(frozen=True)
class Member:
    """A host as seen from here."""

    fact: HostFact
    alive: bool
    silent_for: float

    @property
    def takes_work(self) -> bool:
        """Tell whether callers should be sent there."""
        return self.alive and self.fact.state == "live"


class Membership:
    """The members and this host's own place among them."""

    def __init__(self, board: Board, own: HostFact, clock: Clock):
        self._board = board
        self._clock = clock
        self.own = own
        self._beats: deque[tuple[int, float]] = deque(maxlen=KEPT_BEATS)

    def beat(self) -> None:
        """Publish a heartbeat."""
        self.own = HostFact(**{**vars(self.own), "beat": self.own.beat + 1})
        self._beats.append((self.own.beat, self._clock.monotonic()))
        self._board.publish("host", self.own)

    def become(self, state: str) -> None:
        """Change this host's state and say so at once."""
        self.own = HostFact(**{**vars(self.own), "state": state})
        self.beat()

    def beat_seconds(self) -> float:
        """Return the time between heartbeats; it grows with the number of hosts."""
        count = len(self._board.on("host"))
        return BEAT_SECONDS * max(1.0, count / HOSTS_PER_BEAT_SECOND)

    def when_beat(self, beat: int) -> float | None:
        """Return when this host made its heartbeat ``beat`` (monotonic seconds)."""
        return next((at for number, at in self._beats if number == beat), None)

    def members(self) -> dict[str, Member]:
        """Return all hosts known, by name."""
        now = self._clock.monotonic()
        limit = SILENT_BEATS * self.beat_seconds()
        found = {}
        for origin, known in self._board.on("host").items():
            silent = 0.0 if origin == self.own.host else now - known.at
            alive = silent <= limit and known.fact.state != "gone"
            found[origin] = Member(known.fact, alive, silent)
        return found

    def live(self) -> list[str]:
        """Return the names of the hosts that are alive and not leaving, this one included."""
        return sorted(name for name, row in self.members().items() if row.takes_work)

    def find(self, incarnation: str) -> Member | None:
        """Return the member whose life is ``incarnation``."""
        rows = self.members().values()
        return next((row for row in rows if row.fact.incarnation == incarnation), None)

    def sweep(self) -> list[str]:
        """Forget the hosts that have been silent for long; return their names."""
        gone = [name for name, row in self.members().items() if row.silent_for > FORGET_SECONDS]
        for name in gone:
            self._board.forget(name)
        return gone
