"""The board: the newest fact of each host on each topic, as this host knows it.

Facts are small, versioned and overwritten, so a slow or new peer needs only the newest of each
and nothing has to be queued. Whoever passes a fact on, it is judged by its origin's version.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from types import MappingProxyType
from typing import Any

import msgspec

from peridotdock.clock import Clock
from peridotdock.frames import encode_entry, make_entry, read_body
from peridotdock.schema.messages import (
    DemandFact,
    EndsFact,
    Entry,
    HeadsFact,
    HeldFact,
    HostFact,
    LeaseFact,
    LedgerFact,
    LinksFact,
    LoadFact,
    OrdersFact,
    QuotasFact,
    RunsFact,
    UsageFact,
    WantsFact,
    WordsFact,
    WorkFact,
)

TOPICS: dict[str, type] = {
    "host": HostFact,
    "links": LinksFact,
    "load": LoadFact,
    "held": HeldFact,
    "ledger": LedgerFact,
    "demand": DemandFact,
    "heads": HeadsFact,
    "work": WorkFact,
    "runs": RunsFact,
    "lease": LeaseFact,
    "wants": WantsFact,
    "orders": OrdersFact,
    "loads": WorkFact,
    "ends": EndsFact,
    "usage": UsageFact,
    "quotas": QuotasFact,
    "heard_words": WordsFact,
    "words": WordsFact,
}
MAX_ORIGINS = 2000
# Seconds for which a fact that was written for one link is sent over others as it is: the hub
# writes to all its links within some milliseconds. Its age is understated by as much, where the
# shortest limit that ages are held against is two seconds.
WRITTEN_SECONDS = 0.05
Slot = tuple[str, str]


@dataclass(frozen=True)
class Known:
    """An entry, its decoded body, and when this host received it (monotonic seconds)."""

    entry: Entry
    fact: Any
    at: float


@dataclass(frozen=True, slots=True)
class Written:
    """A fact as it was written for a link, and until when that may be sent."""

    known: Known
    until: float
    raw: bytes


class Board:
    """All facts this host knows."""

    def __init__(self, host: str, epoch: int, clock: Clock):
        self.host = host
        self._epoch = epoch
        self._clock = clock
        self._version = 0
        self._known: dict[Slot, Known] = {}
        self._topics: dict[str, dict[str, Known]] = {topic: {} for topic in TOPICS}
        self._written: dict[Slot, Written] = {}
        self._listeners: list[Callable[[list[Slot]], None]] = []

    def listen(self, listener: Callable[[list[Slot]], None]) -> None:
        """Call ``listener`` with the slots that changed, after each change."""
        self._listeners.append(listener)

    def publish(self, topic: str, fact: Any) -> None:
        """State a fact of this host."""
        self._version += 1
        entry = make_entry(self.host, topic, self._epoch, self._version, fact)
        slot = (self.host, topic)
        self._put(slot, Known(entry, fact, self._clock.monotonic()))
        self._notify([slot])

    def merge(self, entries: Iterable[Entry]) -> list[Slot]:
        """Take in the entries that are newer than what is known; return their slots."""
        changed = []
        for entry in entries:
            known = self._take(entry)
            if known is not None:
                slot = (entry.origin, entry.topic)
                self._put(slot, known)
                changed.append(slot)
        if changed:
            self._notify(changed)
        return changed

    def _take(self, entry: Entry) -> Known | None:
        shape = TOPICS.get(entry.topic)
        if entry.origin == self.host:
            self._outlive(entry)
            return None
        if shape is None:
            return None
        old = self._known.get((entry.origin, entry.topic))
        if old is not None and _order(entry) <= _order(old.entry):
            return None
        if old is None and len(self._known) >= MAX_ORIGINS * len(TOPICS):
            return None
        fact = msgspec.convert(read_body(entry), shape)
        return Known(entry, fact, self._clock.monotonic() - entry.age / 1000)

    def _outlive(self, entry: Entry) -> None:
        """State this host's facts anew, above those of an earlier life of the same name.

        Failure guarded against: the time of day of this life is behind that of the one before, as
        after a step of the clock or on another machine. Peers then take its facts for older ones
        and go on naming the address of a machine that is off.
        """
        if entry.epoch <= self._epoch:
            return
        self._epoch = entry.epoch + 1
        own = [slot for slot in self._known if slot[0] == self.host]
        for slot in own:
            known = self._known[slot]
            self._put(slot, replace(known, entry=replace(known.entry, epoch=self._epoch)))
        self._notify(own)

    def _put(self, slot: Slot, known: Known) -> None:
        self._known[slot] = known
        self._topics[slot[1]][slot[0]] = known

    def _notify(self, slots: list[Slot]) -> None:
        for listener in self._listeners:
            listener(slots)

    def get(self, origin: str, topic: str) -> Known | None:
        """Return what is known of ``origin`` on ``topic``."""
        return self._known.get((origin, topic))

    def on(self, topic: str) -> Mapping[str, Known]:
        """Return what is known on ``topic``, by origin: a view that changes with the board."""
        return MappingProxyType(self._topics[topic])

    def slots(self) -> list[Slot]:
        """Return the slots of all facts known."""
        return list(self._known)

    def written(self, slots: Iterable[Slot]) -> dict[Slot, bytes]:
        """Return the entries in ``slots`` as they stand in an update, each with its age.

        Failure guarded against: a host dies, and a peer that missed its last heartbeat gets it from
        a third one seconds later. Without the age it would count as just made, and the dead host
        would be given to callers for a whole heartbeat limit more.
        """
        now = self._clock.monotonic()
        return {slot: self._write(slot, now) for slot in slots if slot in self._known}

    def _write(self, slot: Slot, now: float) -> bytes:
        known, old = self._known[slot], self._written.get(slot)
        if old is not None and old.known is known and now <= old.until:
            return old.raw
        raw = encode_entry(known.entry, self._age(slot, known, now))
        self._written[slot] = Written(known, now + WRITTEN_SECONDS, raw)
        return raw

    def _age(self, slot: Slot, known: Known, now: float) -> int:
        return 0 if slot[0] == self.host else max(0, int((now - known.at) * 1000))

    def forget(self, origin: str) -> None:
        """Drop all facts of a host that is gone for good."""
        for slot in [slot for slot in self._known if slot[0] == origin]:
            del self._known[slot]
            del self._topics[slot[1]][origin]
            self._written.pop(slot, None)


def _order(entry: Entry) -> tuple[int, int]:
    return entry.epoch, entry.version
