"""Orders without an answer: what an engine may still load by them after it has restarted."""

from collections.abc import Iterator
from dataclasses import dataclass

from peridotdock.clients.engines import Action, EngineOrder

# Seconds after sending during which an order may still be carried out: the platform's longest
# delay.
MAX_ORDER_DELAY_SECONDS = 12.0


@dataclass(frozen=True, slots=True)
class UnansweredOrder:
    """An order to one start of an engine, and the time until which it may arrive."""

    started_ms: int
    order: EngineOrder
    arrives_until: float


class UnansweredOrders:
    """Orders in flight, or with a lost answer, by the engine's id.

    Failure guarded against: a load gets no answer, the engine restarts under its id, and its count
    of orders starts from zero. Once the count matches, the load is carried out, seconds late, in
    addition to one ordered since from the new start: the engine exceeds its capacity and crashes.
    For as long as the load may arrive, its item counts as held. The start that the load was sent to
    needs no such guard: the next order that it accepts invalidates the late one.
    """

    def __init__(self) -> None:
        self._rows: dict[str, list[UnansweredOrder]] = {}

    def __len__(self) -> int:
        return sum(len(rows) for rows in self._rows.values())

    def add(self, engine: str, started_ms: int, order: EngineOrder, now: float) -> None:
        """Record an order that is sent now."""
        rows = [row for row in self._rows.get(engine, ()) if row.arrives_until >= now]
        self._rows[engine] = [
            *rows,
            UnansweredOrder(started_ms, order, now + MAX_ORDER_DELAY_SECONDS),
        ]

    def discard(self, engine: str, order: EngineOrder) -> None:
        """Remove an order that was answered, or never sent."""
        rows = [row for row in self._rows.get(engine, ()) if row.order is not order]
        if rows:
            self._rows[engine] = rows
        else:
            self._rows.pop(engine, None)

    def possible_items(self, engine: str, started_ms: int, seq: int, now: float) -> frozenset[str]:
        """Return what a start may still load: models, and adapters as MODEL/NAME.

        ``seq`` is the number of orders that it has accepted: an order that expects fewer is
        invalid.
        """
        return frozenset(self._loaded_items(engine, started_ms, seq, now))

    def _loaded_items(self, engine: str, started_ms: int, seq: int, now: float) -> Iterator[str]:
        for row in self._rows.get(engine, ()):
            order = row.order
            other_start = row.started_ms != started_ms and row.arrives_until >= now
            if other_start and order.action is Action.LOAD and order.expected >= seq:
                yield f"{order.model}/{order.adapter}" if order.adapter else order.model
