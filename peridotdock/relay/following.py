"""Following the store: the configuration and the endpoints, kept as new as the store gives them."""

import asyncio
from collections.abc import Callable, Mapping

from peridotdock.clients.tables import TableChanges, Tables, TableView
from peridotdock.context import Context
from peridotdock.errors import Failure, Kind, failed
from peridotdock.schema.messages import Rows

# Seconds the store may hold back a call on a table that does not change: as long as a call that
# the store has lost without a word keeps this host from hearing of changes. Shorter ones cost
# calls.
HOLD_SECONDS = 8.0
# The same for the host that reads for all: all would be as old as its lost call.
READER_HOLD_SECONDS = 2.0
# Seconds for which another host's word on a table stands for a call of one's own. Its words come
# every 0.3 s, and it sends none 0.9 s after it last reached the store: a host that it leaves
# without word asks 1.7 s after that at the latest, before it may miss that an endpoint is leaving.
FED_SECONDS = 0.8
# Seconds before the store is asked again after it failed; with jitter, so that hosts that waited
# out an outage together don't come back in step.
AGAIN_SECONDS = 0.3
Take = Callable[[Mapping[str, bytes | None], bool], None]


class Follower:
    """Keeps one table of the store in view.

    ``take`` gets the rows, and whether they are the whole table. ``pause`` gives the seconds
    between two calls, so that a table that changes often costs few calls. ``reads`` tells whether
    this host is the one that reads for all; ``tell`` is then given what it read.
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
        self._beats: dict[str, int] = {}
        self._fed_at = float("-inf")
        self.in_touch = False
        self.answered_at = float("-inf")
        self._old_told = False
        self.reads = lambda: True
        self.tell: Callable[[str, int, int, Mapping[str, bytes | None]], None] | None = None

    async def step(self) -> None:
        """Read the table whole, or wait for its next change; rest while another host reads it."""
        if self._version is not None and self._fed():
            await self._ctx.clock.sleep(FED_SECONDS / 4)
            return
        after = self._version
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
        if self._version is not None and found.version < self._version:
            # Another host's newer rows came meanwhile; older ones must not take their place.
            return
        whole = isinstance(found, TableView)
        if whole or found.values:
            self._take(found.values, whole)
        self._version = found.version
        if self.tell is not None and after is not None and not whole:
            self.tell(self._table, after, found.version, found.values)
        await self._ctx.clock.sleep(self._pause())

    def _fed(self) -> bool:
        return not self.reads() and self._ctx.clock.monotonic() - self._fed_at < FED_SECONDS

    def age(self) -> float:
        """Return the seconds since this view was last known to be as the store's."""
        return self._ctx.clock.monotonic() - max(self.answered_at, self._fed_at)

    def note_age(self, bound: float) -> None:
        """Log when the view is older than changes may take to be seen, and when it is new again.

        A request sent by an old view leaves no other trace of why it went where it did.
        """
        age = self.age()
        self._ctx.metrics.view_age.labels(self._table).set(age)
        old = age > bound
        if old == self._old_told:
            return
        self._old_told = old
        detail = f"{self._table}: {age:.2f} s old, bound {bound:.2f} s"
        if old:
            self._ctx.timeline.add("view_old", "WARNING", detail=detail)
        else:
            self._ctx.timeline.add("view_current", detail=detail)

    @property
    def version(self) -> int | None:
        """Return the store's version up to which the table is known, None before it was read."""
        return self._version

    def feed(self, frame: Rows) -> bool:
        """Take in what another host read; true for a frame that was not heard before.

        One reader for all hosts: with 67 hosts, calls of each for each change of a table were 5.3%
        of what callers were served, and are 1.3% with it.
        """
        if frame.beat <= self._beats.get(frame.origin, -1):
            return False
        self._beats[frame.origin] = frame.beat
        known = self._version
        if known is None or frame.after > known or frame.version < known:
            return True
        if frame.changed:
            self._fed_at = float("-inf")
            self.renew()
            return True
        if frame.values and frame.version > known:
            self._take(frame.values, False)
        self._version = frame.version
        self._fed_at = self._ctx.clock.monotonic()
        return True

    async def _follow(self, version: int) -> TableChanges | Failure | None:
        """Wait for the next change; None when :meth:`renew` ended the wait."""
        hold = READER_HOLD_SECONDS if self.reads() else HOLD_SECONDS
        work = self._tables.follow(self._table, version, hold)
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
        self.answered_at = self._ctx.clock.monotonic()
        if not self.in_touch:
            self.in_touch = True
            self._ctx.timeline.add("store_in_touch", detail=self._table)

    async def run(self) -> None:
        """Follow for as long as the process lives."""
        while True:
            await self.step()
