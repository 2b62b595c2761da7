"""Following the store: the configuration and the endpoints, kept as new as the store gives them."""

from collections.abc import Callable, Mapping

from peridotdock.clients.tables import Tables, TableView
from peridotdock.context import Context
from peridotdock.errors import Failure, Kind, failed

# Seconds the store may hold back a call on a table that does not change.
HOLD_SECONDS = 25.0
# Seconds before the store is asked again after it failed; with jitter, so that hosts that waited
# out an outage together don't come back in step.
AGAIN_SECONDS = 0.3
Take = Callable[[Mapping[str, bytes | None], bool], None]


class Follower:
    """Keeps one table of the store in view.

    ``take`` gets the rows, and whether they are the whole table. ``pause`` gives the seconds
    between two calls, so that a table that changes often costs few calls.
    """

    def __init__(
        self, ctx: Context, tables: Tables, table: str, take: Take, pause: Callable[[], float]
    ):
        self._ctx = ctx
        self._tables = tables
        self._table = table
        self._take = take
        self._pause = pause
        self._version: int | None = None
        self.in_touch = False

    async def step(self) -> None:
        """Read the table whole, or wait for its next change."""
        if self._version is None:
            found = await self._tables.read_table(self._table)
        else:
            found = await self._tables.follow(self._table, self._version, HOLD_SECONDS)
        if failed(found):
            await self._lose(found)
            return
        self._regain()
        whole = isinstance(found, TableView)
        if whole or found.values:
            self._take(found.values, whole)
        self._version = found.version
        await self._ctx.clock.sleep(self._pause())

    async def _lose(self, found: Failure) -> None:
        if found.kind is Kind.HISTORY_GONE:
            self._ctx.timeline.add("history_gone", "WARNING", detail=self._table)
            self._version = None
            return
        if self.in_touch:
            self.in_touch = False
            self._ctx.timeline.add("store_lost", "WARNING", detail=f"{self._table}: {found.reason}")
        await self._ctx.clock.sleep(AGAIN_SECONDS * (0.5 + self._ctx.rng.random()))

    def _regain(self) -> None:
        if not self.in_touch:
            self.in_touch = True
            self._ctx.timeline.add("store_in_touch", detail=self._table)

    async def run(self) -> None:
        """Follow for as long as the process lives."""
        while True:
            await self.step()
