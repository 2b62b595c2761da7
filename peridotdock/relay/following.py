"""Following the store: the configuration and the endpoints, kept as new as the store gives them."""

import asyncio
from collections.abc import Callable, Mapping

from peridotdock.clients.tables import TableChanges, Tables, TableView
from peridotdock.context import Context
from peridotdock.errors import Failure, Kind, failed

# Seconds the store may hold back a call on a table that does not change: as long as a call that
# the store has lost without a word keeps this host from hearing of changes. Shorter ones cost
# calls.
HOLD_SECONDS = 8.0
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
        self._held: asyncio.Future[TableChanges | Failure] | None = None
        self.in_touch = False

    async def step(self) -> None:
        """Read the table whole, or wait for its next change."""
        if self._version is None:
            found = await self._tables.read_table(self._table)
        else:
            found = await self._follow(self._version)
        if found is None:
            return
        if failed(found):
            await self._lose(found)
            return
        self._regain()
        whole = isinstance(found, TableView)
        if whole or found.values:
            self._take(found.values, whole)
        self._version = found.version
        await self._ctx.clock.sleep(self._pause())

    async def _follow(self, version: int) -> TableChanges | Failure | None:
        """Wait for the next change; None when :meth:`renew` ended the wait."""
        work = self._tables.follow(self._table, version, HOLD_SECONDS)
        self._held = asyncio.ensure_future(work)
        try:
            await asyncio.wait({self._held})
            return None if self._held.cancelled() else self._held.result()
        finally:
            self._held.cancel()

    def renew(self) -> None:
        """Ask again at once, over a new call.

        Failure guarded against: the store falls silent and comes back, and never answers the calls
        that it held. Engines' entries then stay as old as the outage, and nothing is loaded.
        """
        if self._held is not None:
            self._held.cancel()

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
