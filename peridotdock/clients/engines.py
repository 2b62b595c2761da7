"""Client protocol for engines that count the orders they accept: reports, loads and unloads."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from peridotdock.errors import Failure
from peridotdock.relay.requests import EndpointEntry, LoadedModel


class Action(StrEnum):
    """Actions that an engine can be ordered to take."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to one engine; ``adapter`` is empty for a model.

    ``expected`` is the number of orders that the engine must have accepted before this one. An
    order that arrives late, after another was accepted, no longer matches and is refused. ``term``
    is the fencing number of the ordering host.
    """

    action: Action
    model: str
    adapter: str
    expected: int
    holder: str
    term: int


class OrderAnswer(StrEnum):
    """An engine's answer to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    FENCED = "fenced"
    WRONG_ENGINE = "another"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class EngineState:
    """An engine's report of its state; some hundred milliseconds old.

    ``seq`` is the number of orders accepted. ``pending_adapters`` are being loaded, as MODEL/NAME.
    ``started_ms`` is the start time of the reporting incarnation in Unix milliseconds, as in the
    engine's entry; 0 when the engine doesn't report it.
    """

    seq: int
    busy: bool
    models: Mapping[str, LoadedModel]
    pending_adapters: frozenset[str]
    in_memory: frozenset[str]
    on_disk: frozenset[str]
    started_ms: int = 0


class Engines(Protocol):
    """Reads reports of engines and sends them orders."""

    async def order(self, entry: EndpointEntry, order: EngineOrder) -> OrderAnswer | Failure:
        """Send an order; after a failure it may have been carried out, or may still be."""

    async def report(self, entry: EndpointEntry) -> EngineState | Failure:
        """Read an engine's report."""
