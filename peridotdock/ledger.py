"""The ledger of one engine's memory: what is reserved, and what an order or a report changes.

Pure functions over frozen data. A byte is charged from before the order that may take it is sent,
until there is positive evidence that it is free; a time-out is no evidence. Every change is
written to the table with the row's version checked, and nothing is sent before it is written.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

import msgspec

from peridotdock.clients.endpoint import LoadedItem, Report
from peridotdock.errors import Failure, Kind

KEY_PREFIX = "ledger/"


class State(StrEnum):
    """Where a reservation stands."""

    LOADING = "loading"
    HELD = "held"
    UNLOADING = "unloading"
    QUARANTINE = "quarantine"


class Presence(StrEnum):
    """What a fresh report of the engine shows of an item."""

    READY = "ready"
    PARTIAL = "partial"
    GONE = "gone"


# An engine's own list is believed over the ledger, but bytes are freed by no single sight:
# UNLOADING ends in QUARANTINE, and only :func:`release` ends that. An item that comes back in
# quarantine was loaded by a late order; it is unloaded again.
TRANSITIONS: dict[tuple[State, Presence], State] = {
    (State.LOADING, Presence.READY): State.HELD,
    (State.LOADING, Presence.PARTIAL): State.LOADING,
    (State.LOADING, Presence.GONE): State.LOADING,
    (State.HELD, Presence.READY): State.HELD,
    (State.HELD, Presence.PARTIAL): State.LOADING,
    (State.HELD, Presence.GONE): State.LOADING,
    (State.UNLOADING, Presence.READY): State.UNLOADING,
    (State.UNLOADING, Presence.PARTIAL): State.UNLOADING,
    (State.UNLOADING, Presence.GONE): State.UNLOADING,
    (State.QUARANTINE, Presence.READY): State.UNLOADING,
    (State.QUARANTINE, Presence.PARTIAL): State.UNLOADING,
    (State.QUARANTINE, Presence.GONE): State.QUARANTINE,
}
# What the engine already answered is undone: only an order with a new number is carried out.
NEEDS_NEW_ORDER = frozenset({(State.HELD, State.LOADING), (State.QUARANTINE, State.UNLOADING)})
COPY_STATES = frozenset({State.LOADING, State.HELD})


@dataclass(frozen=True)
class Reservation:
    """Bytes on each of ``places`` (accelerators) for one item, and the order it stands on."""

    item: str
    state: State
    bytes: int
    places: tuple[int, ...]
    order: int


@dataclass(frozen=True)
class Ledger:
    """The row of one engine; ``term`` grows with each controller, ``order`` with each order."""

    endpoint: str
    controller: str = ""
    term: int = 0
    order: int = 0
    boot: str = ""
    reservations: tuple[Reservation, ...] = ()

    def find(self, item: str) -> Reservation | None:
        """Return the reservation of an item."""
        return next((row for row in self.reservations if row.item == item), None)

    def used(self, count: int) -> list[int]:
        """Return the bytes charged on each of ``count`` accelerators."""
        used = [0] * count
        for row in self.reservations:
            for index in row.places:
                if index < count:
                    used[index] += row.bytes
        return used

    def to_value(self) -> dict[str, Any]:
        """Return the value stored in the table."""
        return msgspec.to_builtins(self)


def row_key(endpoint: str) -> str:
    """Return the name of an engine's row in the table."""
    return KEY_PREFIX + endpoint


def read_ledger(value: Mapping[str, Any]) -> Ledger:
    """Build a ledger from a stored value."""
    return msgspec.convert(value, Ledger)


def take_over(ledger: Ledger, controller: str) -> Ledger:
    """Return the ledger under a new controller.

    Whatever the old one had under way stays charged, since its orders may still arrive. What is in
    quarantine stays there, and the new controller waits out the whole bound on its own clock.
    """
    return replace(ledger, controller=controller, term=ledger.term + 1)


def reserve(
    ledger: Ledger, capacity: Sequence[int], item: str, size: int, places: Sequence[int]
) -> Ledger | Failure:
    """Reserve room for a load, or say why there is none."""
    if ledger.find(item) is not None:
        return Failure(Kind.CONFLICT, f"{item} is there already")
    if not places or len(set(places)) != len(places):
        return Failure(Kind.NO_ROOM, "no accelerators named")
    used = ledger.used(len(capacity))
    for index in places:
        if index >= len(capacity) or used[index] + size > capacity[index]:
            return Failure(Kind.NO_ROOM, f"{item}: accelerator {index} of {ledger.endpoint}")
    order = ledger.order + 1
    row = Reservation(item, State.LOADING, size, tuple(places), order)
    return replace(ledger, order=order, reservations=(*ledger.reservations, row))


def begin_unload(ledger: Ledger, item: str) -> Ledger | Failure:
    """Begin to unload an item; its bytes stay charged."""
    row = ledger.find(item)
    if row is None or row.state not in COPY_STATES:
        return Failure(Kind.CONFLICT, f"{item} is not held")
    return renumber(ledger, item, State.UNLOADING)


def renumber(ledger: Ledger, item: str, state: State) -> Ledger:
    """Give an item's order a new number: an engine that fences takes no older one any more."""
    order = ledger.order + 1
    rows = tuple(
        replace(row, state=state, order=order) if row.item == item else row
        for row in ledger.reservations
    )
    return replace(ledger, order=order, reservations=rows)


def presence_of(report: Report, item: str) -> Presence:
    """Return what a report shows of an item."""
    held = report.items.get(item)
    if held is None:
        return Presence.GONE
    return Presence.READY if held.ready else Presence.PARTIAL


def observe(ledger: Ledger, report: Report) -> Ledger:
    """Return the ledger after a fresh report.

    An item that nobody ordered is charged first, even where it does not fit; the plan then says
    whether it stays. A new boot of the engine has forgotten its fence.
    """
    for row in ledger.reservations:
        state = TRANSITIONS[(row.state, presence_of(report, row.item))]
        if (row.state, state) in NEEDS_NEW_ORDER:
            ledger = renumber(ledger, row.item, state)
        elif state is not row.state:
            ledger = set_state(ledger, row.item, state)
    known = {row.item for row in ledger.reservations}
    found = [charge(item, held) for item, held in report.items.items() if item not in known]
    return replace(ledger, boot=report.boot, reservations=(*ledger.reservations, *found))


def charge(item: str, held: LoadedItem) -> Reservation:
    """Return the reservation of an item found on the engine without an order."""
    state = State.HELD if held.ready else State.LOADING
    return Reservation(item, state, held.bytes, tuple(held.accelerators), 0)


def set_state(ledger: Ledger, item: str, state: State) -> Ledger:
    """Return the ledger with an item in another state."""
    rows = tuple(
        replace(row, state=state) if row.item == item else row for row in ledger.reservations
    )
    return replace(ledger, reservations=rows)


def release(ledger: Ledger, item: str, report: Report) -> Ledger | Failure:
    """Free an item's bytes: it is in quarantine, and a report read after that shows it gone."""
    row = ledger.find(item)
    if row is None or row.state is not State.QUARANTINE:
        return Failure(Kind.CONFLICT, f"{item} is not in quarantine")
    if item in report.items:
        return Failure(Kind.CONFLICT, f"{item} came back")
    rows = tuple(row for row in ledger.reservations if row.item != item)
    return replace(ledger, reservations=rows)
