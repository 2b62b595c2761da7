"""Engines that are ordered by number of orders accepted: reports, and loads and unloads."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from peridotdock.errors import Failure
from peridotdock.relay.requests import EndpointEntry, LoadedModel


class Action(StrEnum):
    """What an engine can be ordered to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to one engine; ``adapter`` is empty for a model.

    ``expected`` is the number of orders the engine must have accepted before: an order that
    arrives late, after another was accepted, is then refused. ``term`` is the fencing number of
    the host that orders.
    """

    action: Action
    model: str
    adapter: str
    expected: int
    holder: str
    term: int


class OrderAnswer(StrEnum):
    """What an engine said to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    FENCED = "fenced"
    WRONG_ENGINE = "another"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class EngineState:
    """An engine's report of itself; some hundred milliseconds old.

    ``seq`` is the number of orders accepted, ``coming`` the adapters on their way, as MODEL/NAME.
    ``born`` tells which start of the engine speaks, as in its entry.
    """

    seq: int
    busy: bool
    models: Mapping[str, LoadedModel]
    pending_adapters: frozenset[str]
    in_memory: frozenset[str]
    on_disk: frozenset[str]
    started_ms: int = 0


class Engines(Protocol):
    """Reports of engines, and orders to them."""

    async def order(self, entry: EndpointEntry, order: EngineOrder) -> OrderAnswer | Failure:
        """Give an order; a failure leaves open whether it was or will be carried out."""

    async def report(self, entry: EndpointEntry) -> EngineState | Failure:
        """Read an engine's report."""
