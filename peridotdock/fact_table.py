"""A replicated table of the newest fact of each host on each topic.

Facts are small, versioned and overwritten, so a slow or new peer needs only the newest of each
and nothing has to be queued. Whichever peer forwards a fact, only its origin's version counts.
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
    RunsFact,
    ShareAcceptedFact,
    ShareOfferFact,
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
    "share_offer": ShareOfferFact,
    "share_accepted": ShareAcceptedFact,
    "heard_words": WordsFact,
    "words": WordsFact,
}
MAX_ORIGINS = 2000
# The bytes encoded for one link are reused for others for this long: the hub writes to all its
# links within some milliseconds. The age of a fact is understated by as much, which is small
# against two seconds, the shortest limit that ages are compared with.
ENCODED_REUSE_SECONDS = 0.05
# The origin and the topic of a fact.
Slot = tuple[str, str]


@dataclass(frozen=True)
class KnownFact:
    """An entry, its decoded body, and when its origin published it.

    ``at`` is in monotonic seconds of this host: the time of receipt less the entry's age.
    """

    entry: Entry
    fact: Any
    at: float


@dataclass(frozen=True, slots=True)
class EncodedFact:
    """An encoded fact and the time until which its bytes may be sent (monotonic seconds)."""

    known: KnownFact
    until: float
    raw: bytes


class FactTable:
    """All facts that this host knows, by origin and topic."""

    def __init__(self, host: str, epoch: int, clock: Clock):
        self.host = host
        self._epoch = epoch
        self._clock = clock
        self._version = 0
        self._known: dict[Slot, KnownFact] = {}
        self._topics: dict[str, dict[str, KnownFact]] = {topic: {} for topic in TOPICS}
        self._encoded: dict[Slot, EncodedFact] = {}
        self._listeners: list[Callable[[list[Slot]], None]] = []

    def listen(self, listener: Callable[[list[Slot]], None]) -> None:
        """Call ``listener`` with the slots that changed, after each change."""
        self._listeners.append(listener)

    def publish(self, topic: str, fact: Any) -> None:
        """Set this host's fact on a topic, under the next version."""
        self._version += 1
        entry = make_entry(self.host, topic, self._epoch, self._version, fact)
        slot = (self.host, topic)
        self._put(slot, KnownFact(entry, fact, self._clock.monotonic()))
        self._notify([slot])

    def merge(self, entries: Iterable[Entry]) -> list[Slot]:
        """Store the entries that are newer than the known ones; return their slots.

        A body that cannot be decoded raises an exception.
        """
        changed = []
        for entry in entries:
            known = self._decode_newer(entry)
            if known is not None:
                slot = (entry.origin, entry.topic)
                self._put(slot, known)
                changed.append(slot)
        if changed:
            self._notify(changed)
        return changed

    def _decode_newer(self, entry: Entry) -> KnownFact | None:
        shape = TOPICS.get(entry.topic)
        if entry.origin == self.host:
            self._raise_epoch(entry)
            return None
        if shape is None:
            return None
        old = self._known.get((entry.origin, entry.topic))
        if old is not None and _order(entry) <= _order(old.entry):
            return None
        if old is None and len(self._known) >= MAX_ORIGINS * len(TOPICS):
            return None
        fact = msgspec.convert(read_body(entry), shape)
        return KnownFact(entry, fact, self._clock.monotonic() - entry.age / 1000)

    def _raise_epoch(self, entry: Entry) -> None:
        """Republish this host's facts above those of an earlier incarnation of the same name.

        Failure guarded against: the time of day of this incarnation is behind that of the previous
        one, as after a step of the clock or on another machine. Peers then treat its facts as older
        and keep the address of a machine that is off.
        """
        if entry.epoch <= self._epoch:
            return
        self._epoch = entry.epoch + 1
        own = [slot for slot in self._known if slot[0] == self.host]
        for slot in own:
            known = self._known[slot]
            self._put(slot, replace(known, entry=replace(known.entry, epoch=self._epoch)))
        self._notify(own)

    def _put(self, slot: Slot, known: KnownFact) -> None:
        self._known[slot] = known
        self._topics[slot[1]][slot[0]] = known

    def _notify(self, slots: list[Slot]) -> None:
        for listener in self._listeners:
            listener(slots)

    def get(self, origin: str, topic: str) -> KnownFact | None:
        """Return the newest fact of ``origin`` on ``topic``, or None."""
        return self._known.get((origin, topic))

    def by_origin(self, topic: str) -> Mapping[str, KnownFact]:
        """Return the facts on ``topic`` by origin, as a live read-only view."""
        return MappingProxyType(self._topics[topic])

    def slots(self) -> list[Slot]:
        """Return the slots of all facts known."""
        return list(self._known)

    def encode_entries(self, slots: Iterable[Slot]) -> dict[Slot, bytes]:
        """Return the entries in ``slots`` encoded for an update, each with its age.

        Failure guarded against: a host dies, and a peer that missed its last heartbeat gets it from
        a third host seconds later. Without the age the heartbeat would count as new, and callers
        would be given the dead host for another whole heartbeat limit.
        """
        now = self._clock.monotonic()
        return {slot: self._write(slot, now) for slot in slots if slot in self._known}

    def _write(self, slot: Slot, now: float) -> bytes:
        known, old = self._known[slot], self._encoded.get(slot)
        if old is not None and old.known is known and now <= old.until:
            return old.raw
        raw = encode_entry(known.entry, self._age(slot, known, now))
        self._encoded[slot] = EncodedFact(known, now + ENCODED_REUSE_SECONDS, raw)
        return raw

    def _age(self, slot: Slot, known: KnownFact, now: float) -> int:
        return 0 if slot[0] == self.host else max(0, int((now - known.at) * 1000))

    def forget(self, origin: str) -> None:
        """Drop all facts of a host that is permanently gone."""
        for slot in [slot for slot in self._known if slot[0] == origin]:
            del self._known[slot]
            del self._topics[slot[1]][origin]
            self._encoded.pop(slot, None)


def _order(entry: Entry) -> tuple[int, int]:
    return entry.epoch, entry.version
