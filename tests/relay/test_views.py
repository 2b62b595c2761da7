"""How old a host's view of the store's tables may get, by the worst of each stage."""

import asyncio
import unittest

from peridotdock.clients.tables import TableChanges, TableView
from peridotdock.errors import Failure, Kind
from peridotdock.relay.following import Follower
from peridotdock.schema.messages import Rows
from tests.builders import make_ctx
from tests.fakes import FakeClock

# The time in which a change must be seen everywhere, in seconds.
BOUND = 2.0
TICK = 0.01
# Seconds that the client waits beyond the time for which the store may hold a call.
MARGIN = 1.0


class FlakyTables:
    """A store on a fake clock. Calls that it holds or gets before ``answers_from`` are never
    answered: the client gives them up after the time it let the store hold them, and its margin.
    ``version`` and ``values`` are what it has; ``calls`` when it was asked."""

    def __init__(self, clock):
        self.clock = clock
        self.version = 1
        self.values = {}
        self.answers_from = float("-inf")
        self.calls = []

    def change(self, key, value):
        self.version += 1
        self.values[key] = (value, self.version)

    async def read_table(self, table):
        return TableView({key: row[0] for key, row in self.values.items()}, self.version)

    async def follow(self, table, after, seconds, margin=MARGIN):
        began = self.clock.monotonic()
        self.calls.append(began)
        while True:
            spent = self.clock.monotonic() - began
            if self.clock.monotonic() < self.answers_from:
                await self.clock.sleep(seconds + margin - spent)
                return Failure(Kind.PLATFORM_DOWN, "TimeoutError")
            if spent >= seconds or self.version > after:
                break
            await self.clock.sleep(TICK)
        rows = {key: row[0] for key, row in self.values.items() if row[1] > after}
        return TableChanges(rows, self.version)


class View:
    """One host's view of a table, run on a fake clock."""

    def __init__(self, clock, tables, reads=False, name="h1"):
        self.clock = clock
        self.seen = {}
        ctx = make_ctx(clock, name)
        self.follower = Follower(ctx, tables, "t", self._take, lambda: 0.0)
        self.follower.reads = lambda: reads
        self.task = asyncio.ensure_future(self.follower.run())

    def _take(self, rows, whole):
        for key, value in rows.items():
            self.seen.setdefault(key, (value, self.clock.monotonic()))


async def settle():
    for _ in range(8):
        await asyncio.sleep(0)


class LostCallTest(unittest.IsolatedAsyncioTestCase):
    """A call that the store will never answer must not keep a host from what has changed."""

    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.tables = FlakyTables(self.clock)
        self.beat = 0

    def word(self, view, after, version, values=None, changed=False):
        """What the host that reads for all says."""
        self.beat += 1
        view.follower.feed(
            Rows("rows", "t", "reader", self.beat, after, version, values or {}, changed)
        )

    async def run_for(self, seconds, every=lambda: None):
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until:
            await settle()
            every()
            self.clock.advance(TICK)

    async def test_a_gap_in_what_the_reader_says_is_filled_in_time(self):
        """Callers' requests reach an endpoint for seconds after it has said that it leaves.

        The store falls silent for all hosts, and one of them waits for a call that will never be
        answered. The store comes back; the host that reads for all reads what had changed before
        it took the lease, so it never says it to others. Its further words show the one host that
        something is missing, but it goes on waiting for its own call: "39.338 request sent to
        front-mokdong-2; 39.345 reaches the server", which had said at 37.307 that it leaves.
        """
        view = View(self.clock, self.tables)
        await self.run_for(0.05)
        self.tables.answers_from = self.clock.monotonic() + 2.0
        await self.run_for(2.0)
        back = self.clock.monotonic()
        self.tables.change("lapsed", b"gone")
        version = self.tables.version
        await self.run_for(0.5, lambda: self.word(view, version, version))
        self.tables.change("endpoint", b"leaving")
        left, leaving = self.clock.monotonic(), self.tables.version
        self.word(view, version, leaving, {"endpoint": b"leaving"})
        await self.run_for(9.0, lambda: self.word(view, leaving, leaving))
        view.task.cancel()
        self.assertIn("endpoint", view.seen)
        self.assertLess(view.seen["endpoint"][1] - left, BOUND, f"the store was back at {back}")

    async def test_a_change_that_was_only_told_of_is_read_in_time(self):
        """A host goes on by an old configuration for eight seconds after the store is back.

        It hears that the configuration has changed and asks the store, which turns this host away
        without a word. Later words of the reader name the new version, and the host takes them as
        not meant for it: its own call is still out.
        """
        view = View(self.clock, self.tables)
        await self.run_for(0.05)
        self.tables.answers_from = self.clock.monotonic() + 3.0
        await self.run_for(2.95, lambda: self.word(view, 1, 1))
        self.tables.change("config", b"new")
        accepted = self.clock.monotonic()
        self.word(view, 1, 2, changed=True)
        await self.run_for(9.0, lambda: self.word(view, 2, 2))
        view.task.cancel()
        self.assertIn("config", view.seen)
        self.assertLess(view.seen["config"][1] - accepted, BOUND)

    async def test_a_host_that_nobody_tells_asks_again_in_time(self):
        """A host alone, whose call the store has lost, sends to an endpoint that left.

        Nobody reads for it, and nobody tells it that a new host orders. "gives up calls made
        before 25 s" stood in the logs at 33.25 to 33.97 s.
        """
        view = View(self.clock, self.tables, reads=True)
        await self.run_for(0.05)
        lost = self.clock.monotonic()
        self.tables.answers_from = lost + 1.0
        await self.run_for(1.0)
        self.tables.change("endpoint", b"leaving")
        left = self.clock.monotonic()
        await self.run_for(9.0)
        view.task.cancel()
        self.assertLess(view.seen["endpoint"][1] - left, BOUND)
