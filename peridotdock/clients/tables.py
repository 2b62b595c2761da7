"""Tables that can be followed: what the product needs of a store beside single rows."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from peridotdock.errors import Failure


@dataclass(frozen=True, slots=True)
class TableView:
    """A table as of one moment: values by key, and the store's version then."""

    values: Mapping[str, bytes]
    version: int


@dataclass(frozen=True, slots=True)
class TableChanges:
    """What changed in a table up to ``version``: None stands for a removed row."""

    values: Mapping[str, bytes | None]
    version: int


class Tables(Protocol):
    """Reading whole tables and following their changes."""

    async def read_table(self, table: str) -> TableView | Failure:
        """Return all rows of a table."""

    async def follow(
        self, table: str, after: int, hold_seconds: float, answer_seconds: float
    ) -> TableChanges | Failure:
        """Return what changed after a version, waiting up to ``hold`` seconds for a first change.

        ``answer`` is how many seconds more the answer may take before the call counts as lost.
        Kinds: history_gone when the store no longer has that history, platform_down otherwise.
        """

    def renew_connections(self) -> None:
        """Take no kept connection again: a call on one of them may never be answered."""
