"""Orders that got no answer: what an engine may load by them after it has started again."""

from collections.abc import Iterator
from dataclasses import dataclass

from peridotdock.clients.engines import Action, EngineOrder

# Seconds after an order was sent in which it may be carried out: the platform's longest delay.
LATE_SECONDS = 12.0


@dataclass(frozen=True, slots=True)
class LateOrder:
    """An order to one start of an engine, and until when it may arrive."""

    born: int
    order: EngineOrder
    until: float


class LateOrders:
    """Orders that are out, or whose answer was lost, by the engine's id.

    Failure guarded against: a load gets no answer, the engine starts again under its id, and its
    count of orders begins anew. Once the count fits, the load is carried out, seconds late, beside
    one that the new start was ordered since: it takes more than it has room for and crashes. For
    as long as the load may arrive, what it would load counts as held. A start itself needs none of
    this: the next order that it accepts makes the late one void.
    """

    def __init__(self) -> None:
        self._rows: dict[str, list[LateOrder]] = {}

    def __len__(self) -> int:
        return sum(len(rows) for rows in self._rows.values())

    def sent(self, engine: str, born: int, order: EngineOrder, now: float) -> None:
        """Note an order that is sent now."""
        rows = [row for row in self._rows.get(engine, ()) if row.until >= now]
        self._rows[engine] = [*rows, LateOrder(born, order, now + LATE_SECONDS)]

    def answered(self, engine: str, order: EngineOrder) -> None:
        """Forget an order that was answered, or never left."""
        rows = [row for row in self._rows.get(engine, ()) if row.order is not order]
        if rows:
            self._rows[engine] = rows
        else:
            self._rows.pop(engine, None)

    def items(self, engine: str, born: int, seq: int, now: float) -> frozenset[str]:
        """Return what a start may load yet: models, and adapters as MODEL/NAME.

        ``seq`` is the number of orders that it has accepted: an order that expects fewer is void.
        """
        return frozenset(self._loads(engine, born, seq, now))

    def _loads(self, engine: str, born: int, seq: int, now: float) -> Iterator[str]:
        for row in self._rows.get(engine, ()):
            order = row.order
            other_start = row.born != born and row.until >= now
            if other_start and order.action is Action.LOAD and order.expected >= seq:
                yield f"{order.model}/{order.adapter}" if order.adapter else order.model
