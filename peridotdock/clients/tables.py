"""Client protocol for reading whole tables of a store and following their changes."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from peridotdock.errors import Failure


@dataclass(frozen=True, slots=True)
class TableView:
    """A snapshot of a table: values by key, and the store's version at that time."""

    values: Mapping[str, bytes]
    version: int


@dataclass(frozen=True, slots=True)
class TableChanges:
    """Changed rows of a table up to ``version``; None stands for a removed row."""

    values: Mapping[str, bytes | None]
    version: int


class Tables(Protocol):
    """Reads whole tables and follows their changes."""

    async def read_table(self, table: str) -> TableView | Failure:
        """Return all rows of a table."""

    async def follow(
        self, table: str, after: int, hold_seconds: float, answer_seconds: float
    ) -> TableChanges | Failure:
        """Return the changes after a version, waiting up to ``hold_seconds`` for the first one.

        After ``answer_seconds`` more without an answer the call counts as lost. Kinds:
        history_gone when the store no longer has the changes after ``after``, else platform_down.
        """

    def renew_connections(self) -> None:
        """Stop reusing the present connections: a call on one of them may never be answered."""
