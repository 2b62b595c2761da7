"""The ledger of one engine's memory: its reservations, and how orders and reports change them.

Pure functions over frozen data. A byte is reserved from before the order that may use it is sent
until there is positive evidence that it is free; a timeout is no evidence. Every change is written
to the table with the row's version checked, and no order is sent before it is written.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

import msgspec

from peridotdock.clients.endpoint import LoadedItem, Report
from peridotdock.errors import Failure, Kind

KEY_PREFIX = "ledger/"
# Terms and order numbers of one era of the store. A new era begins above all those of the one
# before, as some of them may have been lost with their rows.
NUMBERS_PER_ERA = 1_000_000_000


class State(StrEnum):
    """The state of a reservation."""

    LOADING = "loading"
    HELD = "held"
    UNLOADING = "unloading"
    QUARANTINE = "quarantine"


class Presence(StrEnum):
    """How an item appears in the newest report of the engine."""

    READY = "ready"
    PARTIAL = "partial"
    GONE = "gone"


# An engine's own list overrides the ledger, but no single report frees bytes: UNLOADING ends in
# QUARANTINE, and only :func:`release` ends that. An item that reappears in quarantine was loaded by
# a late order; it is unloaded again.
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
# Transitions after which an order that the engine has answered must be repeated. The engine carries
# it out only under a new number.
NEEDS_NEW_ORDER = frozenset({(State.HELD, State.LOADING), (State.QUARANTINE, State.UNLOADING)})
COPY_STATES = frozenset({State.LOADING, State.HELD})


@dataclass(frozen=True)
class Reservation:
    """Bytes reserved for an item on each of ``places`` (accelerators), and its order's number."""

    item: str
    state: State
    bytes: int
    places: tuple[int, ...]
    order: int


@dataclass(frozen=True)
class Ledger:
    """The row of one engine; ``term`` counts its controllers, ``order`` its orders.

    ``era`` is that of the store in which the row was written.
    """

    endpoint: str
    controller: str = ""
    term: int = 0
    order: int = 0
    boot: str = ""
    reservations: tuple[Reservation, ...] = ()
    era: int = 0

    def find(self, item: str) -> Reservation | None:
        """Return the reservation of an item, or None."""
        return next((row for row in self.reservations if row.item == item), None)

    def used(self, count: int) -> list[int]:
        """Return the bytes reserved on each of ``count`` accelerators."""
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


def enter_era(ledger: Ledger, era: int) -> Ledger:
    """Return the ledger for an era of the store, with numbers above all those used before it.

    Failure guarded against: the store returns from an older copy and lacks the last orders. An
    engine that has carried out an order takes another one under the same number for a repetition.
    """
    least = era * NUMBERS_PER_ERA
    return replace(ledger, era=era, term=max(ledger.term, least), order=max(ledger.order, least))


def take_over(ledger: Ledger, controller: str) -> Ledger:
    """Return the ledger under a new controller.

    The previous controller's pending loads and unloads stay reserved, since its orders may still
    arrive. Items in quarantine stay there, and the new controller waits for the whole bound on its
    own clock.
    """
    return replace(ledger, controller=controller, term=ledger.term + 1)


def reserve(
    ledger: Ledger, capacity: Sequence[int], item: str, size: int, places: Sequence[int]
) -> Ledger | Failure:
    """Reserve memory for a load, or return a failure with the reason why there is none."""
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
    """Mark an item as unloading; its bytes stay reserved."""
    row = ledger.find(item)
    if row is None or row.state not in COPY_STATES:
        return Failure(Kind.CONFLICT, f"{item} is not held")
    return renumber(ledger, item, State.UNLOADING)


def renumber(ledger: Ledger, item: str, state: State) -> Ledger:
    """Give an item's order a new number, so that an engine that fences rejects older ones."""
    order = ledger.order + 1
    rows = tuple(
        replace(row, state=state, order=order) if row.item == item else row
        for row in ledger.reservations
    )
    return replace(ledger, order=order, reservations=rows)


def presence_of(report: Report, item: str) -> Presence:
    """Return how an item appears in a report."""
    held = report.items.get(item)
    if held is None:
        return Presence.GONE
    return Presence.READY if held.ready else Presence.PARTIAL


def observe(ledger: Ledger, report: Report) -> Ledger:
    """Return the ledger updated by a new report.

    An item without an order is reserved first, even if it does not fit; the plan then decides
    whether it stays. The report's boot is stored, as a restarted engine has lost its fence.
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
    """Free the bytes of an item in quarantine that a later report shows as gone."""
    row = ledger.find(item)
    if row is None or row.state is not State.QUARANTINE:
        return Failure(Kind.CONFLICT, f"{item} is not in quarantine")
    if item in report.items:
        return Failure(Kind.CONFLICT, f"{item} came back")
    rows = tuple(row for row in ledger.reservations if row.item != item)
    return replace(ledger, reservations=rows)
