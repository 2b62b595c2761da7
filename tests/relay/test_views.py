"""Tests the maximum age of a host's view of the store's tables, with each stage at its worst."""

import asyncio
import random
import unittest
from dataclasses import replace
from types import SimpleNamespace

from peridotdock.clients.tables import TableChanges, TableView
from peridotdock.clients.versions import era_of, make_version
from peridotdock.decisions.freshness import divide_bound, retry_delay
from peridotdock.errors import Failure, Kind
from peridotdock.relay.following import MIN_PAUSE_SECONDS, Follower
from peridotdock.relay.views import MAX_PUBLISHED_BYTES, UNCHANGED_INTERVAL_SECONDS, Views
from peridotdock.schema.messages import Rows, RowsWanted
from tests.builders import make_ctx
from tests.fakes import FakeClock, settle

# Seconds within which a change must be seen everywhere.
BOUND = 2.0
TICK = 0.01
# Seconds between two changes of a series.
STORM_SECONDS = 0.1
# Seconds that the client waits beyond the time for which the store may hold a call.
MARGIN = 1.0


class Stored:
    """The contents of a store."""

    def __init__(self):
        self.version = 1
        self.values = {}

    def restore(self):
        """Come back from an empty copy: the numbers of versions begin anew in the next era."""
        self.version = make_version(era_of(self.version) + 1, 0)
        self.values.clear()


class FlakyTables:
    """A store on a fake clock.

    Calls that it holds or gets before ``answers_from`` are never answered: the client gives them
    up after the time for which it let the store hold them, plus its margin. An answer takes
    ``answer_seconds``. ``calls`` are the times of its calls. Several instances may share the stored
    contents.
    """

    def __init__(self, clock, stored=None):
        self.clock = clock
        self.stored = stored or Stored()
        self.answers_from = float("-inf")
        self.answer_seconds = 0.0
        self.calls = []

    @property
    def version(self):
        return self.stored.version

    @property
    def values(self):
        return self.stored.values

    def change(self, key, value):
        self.stored.version += 1
        self.values[key] = (value, self.version)

    async def read_table(self, table):
        return TableView({key: row[0] for key, row in self.values.items()}, self.version)

    def renew_connections(self):
        pass

    async def follow(self, table, after, seconds, margin=MARGIN):
        began = self.clock.monotonic()
        self.calls.append(began)
        while True:
            spent = self.clock.monotonic() - began
            if self.clock.monotonic() < self.answers_from:
                await self.clock.sleep(seconds + margin - spent)
                return Failure(Kind.PLATFORM_DOWN, "TimeoutError")
            if era_of(self.version) != era_of(after):
                return Failure(Kind.HISTORY_GONE)
            if spent >= seconds or self.version > after:
                break
            await self.clock.sleep(TICK)
        rows = {key: row[0] for key, row in self.values.items() if row[1] > after}
        found = TableChanges(rows, self.version)
        await self.clock.sleep(self.answer_seconds)
        return found


class View:
    """One host's view of a table, run on a fake clock."""

    def __init__(self, clock, tables, reads=False, name="h1"):
        self.clock = clock
        self.seen = {}
        ctx = make_ctx(clock, name)
        self.follower = Follower(ctx, tables, "t", self._take, lambda: 0.0)
        self.follower.must_read = lambda: reads
        self.task = asyncio.ensure_future(self.follower.run())

    def _take(self, rows, whole):
        for key, value in rows.items():
            self.seen.setdefault(key, (value, self.clock.monotonic()))


class Wire:
    """Frames between two hosts, each ``hop`` seconds in transit; ``cut`` drops them.

    ``give`` is the reader's answer to a host that requests rows.
    """

    def __init__(self, clock, hop):
        self.clock, self.hop = clock, hop
        self.in_transit = []
        self.cut = False
        self.others = []
        self.give = lambda wanted: None

    def send_rows(self, frame):
        if not self.cut:
            self.in_transit.append((self.clock.monotonic() + self.hop, frame))

    def request_rows(self, table, after):
        found = self.give(RowsWanted("rows_wanted", table, after))
        if found is not None and not self.cut:
            self.in_transit.append((self.clock.monotonic() + 2 * self.hop, found))

    def deliver(self):
        now = self.clock.monotonic()
        due = [frame for at, frame in self.in_transit if at <= now]
        self.in_transit = [row for row in self.in_transit if row[0] > now]
        for frame in due:
            for take in self.others:
                take(replace(frame, age=frame.age + round(self.hop * 1000)))


class HostViews:
    """The views of one host, with stand-ins for its links."""

    def __init__(self, clock, wire, stored, bound, leads, most_told=MAX_PUBLISHED_BYTES):
        self.tables = FlakyTables(clock, stored)
        mesh = SimpleNamespace(
            send_rows=wire.send_rows,
            request_rows=wire.request_rows,
            on_rows=None,
            on_rows_wanted=None,
        )
        peers = SimpleNamespace(mesh=mesh, has_lease_holder=lambda: True)
        self.views = Views(make_ctx(clock, "h1"), self.tables, peers, lambda: leads)
        self.clock, self.seen = clock, {}
        self.follower = self.views.follow("t", self._take, bound, most_told)
        if leads:
            wire.give = mesh.on_rows_wanted or wire.give
        else:
            wire.others.append(mesh.on_rows)
        self.task = asyncio.ensure_future(self.follower.run())

    def _take(self, rows, whole):
        for key, value in rows.items():
            self.seen.setdefault(key, (value, self.clock.monotonic()))


class LostCallTest(unittest.IsolatedAsyncioTestCase):
    """A call that the store never answers must not keep a host from seeing a change."""

    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.tables = FlakyTables(self.clock)
        self.beat = 0

    def send_frame(self, view, after, version, values=None, changed=False):
        """Deliver a frame of the reader."""
        self.beat += 1
        view.follower.receive(
            Rows("rows", "t", "reader", self.beat, after, version, values or {}, changed)
        )

    async def run_for(self, seconds, every=lambda: None):
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until:
            await settle()
            every()
            self.clock.advance(TICK)

    async def test_a_gap_in_the_readers_frames_is_filled_in_time(self):
        """Guards against requests to an endpoint for seconds after it announced its drain.

        The store stops answering all hosts, and one of them waits for a call that will never be
        answered. The store recovers; the reader reads what had changed before it took the lease, so
        it never sends that to others. Its later frames show the one host that something is missing,
        but it still waits for its own call: "39.338 request sent to front-mokdong-2; 39.345 reaches
        the server", which had announced at 37.307 that it drains.
        """
        view = View(self.clock, self.tables)
        await self.run_for(0.05)
        self.tables.answers_from = self.clock.monotonic() + 2.0
        await self.run_for(2.0)
        back = self.clock.monotonic()
        self.tables.change("lapsed", b"gone")
        version = self.tables.version
        await self.run_for(0.5, lambda: self.send_frame(view, version, version))
        self.tables.change("endpoint", b"leaving")
        left, leaving = self.clock.monotonic(), self.tables.version
        self.send_frame(view, version, leaving, {"endpoint": b"leaving"})
        await self.run_for(9.0, lambda: self.send_frame(view, leaving, leaving))
        view.task.cancel()
        self.assertIn("endpoint", view.seen)
        self.assertLess(view.seen["endpoint"][1] - left, BOUND, f"the store was back at {back}")

    async def test_only_a_newer_whole_table_replaces_a_dropped_history(self):
        """Guards against a host that misses what the store changed before it dropped its history.

        It waits for a whole table, and another host answers with the one that it had before.
        """
        for name, version, due in (("older", 1, True), ("as known", 2, True), ("newer", 3, False)):
            view = View(self.clock, self.tables)
            await self.run_for(0.05)
            view.follower._version, view.follower._whole_due = 2, True
            view.follower.receive(Rows("rows", "t", "reader", 1, 0, version, {}, whole=True))
            view.task.cancel()
            with self.subTest(name):
                self.assertEqual(due, view.follower._whole_due)

    async def test_a_change_announced_without_rows_is_read_in_time(self):
        """Guards against a host that uses an old configuration for eight seconds after an outage.

        It receives that the configuration has changed and calls the store, which refuses this host
        without an answer. Later frames of the reader name the new version, and the host took them
        as not addressed to it: its own call was still in flight.
        """
        view = View(self.clock, self.tables)
        await self.run_for(0.05)
        self.tables.answers_from = self.clock.monotonic() + 3.0
        await self.run_for(2.95, lambda: self.send_frame(view, 1, 1))
        self.tables.change("config", b"new")
        accepted = self.clock.monotonic()
        self.send_frame(view, 1, 2, changed=True)
        await self.run_for(9.0, lambda: self.send_frame(view, 2, 2))
        view.task.cancel()
        self.assertIn("config", view.seen)
        self.assertLess(view.seen["config"][1] - accepted, BOUND)

    async def test_a_gap_is_filled_while_changes_come_faster_than_answers(self):
        """Guards against a call for missing changes that each further change starts anew."""
        view = View(self.clock, self.tables)
        await self.run_for(0.05)
        self.tables.answer_seconds = 3 * STORM_SECONDS
        self.tables.change("missed", b"new")
        missed, last = self.clock.monotonic(), [self.clock.monotonic()]

        def change_often():
            if self.clock.monotonic() - last[0] >= STORM_SECONDS:
                last[0] = self.clock.monotonic()
                known = self.tables.version
                self.tables.change(f"change{known}", b"new")
                self.send_frame(view, known, self.tables.version, {f"change{known}": b"new"})

        await self.run_for(9.0, change_often)
        view.task.cancel()
        self.assertIn("missed", view.seen)
        self.assertLess(view.seen["missed"][1] - missed, BOUND)

    async def test_a_host_without_a_reader_calls_again_in_time(self):
        """Guards against requests of a single host to a drained endpoint after a lost call.

        No host reads for it, and none notifies it that a new host holds the lease. "gives up calls
        made before 25 s" stood in the logs at 33.25 to 33.97 s.
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


# Bounds, and seconds between hosts over the hub: two waits of a link's writer, at 9 and 83 hosts.
HOPS = ((2.0, 0.1), (3.0, 0.42))


class StagesTest(unittest.IsolatedAsyncioTestCase):
    """Each path by which a host learns that an endpoint drains, with its stages at their worst."""

    async def start(self, bound, hop, most_told=MAX_PUBLISHED_BYTES):
        self.clock = FakeClock()
        self.wire, stored = Wire(self.clock, hop), Stored()
        self.reader = HostViews(self.clock, self.wire, stored, bound, True, most_told)
        self.host = HostViews(self.clock, self.wire, stored, bound, False, most_told)
        self.frozen = False
        self.told_at = 0.0
        await self.run_for(3.0)

    async def run_for(self, seconds):
        until = self.clock.monotonic() + seconds
        while self.clock.monotonic() < until:
            await settle()
            if (
                not self.frozen
                and self.clock.monotonic() - self.told_at >= UNCHANGED_INTERVAL_SECONDS
            ):
                self.told_at = self.clock.monotonic()
                self.reader.views.publish_unchanged()
            self.wire.deliver()
            self.clock.advance(TICK)

    async def until_seen(self, bound):
        """Let the endpoint drain; return the seconds until the host knows it."""
        self.reader.tables.change("endpoint", b"leaving")
        left = self.clock.monotonic()
        await self.run_for(2 * bound)
        for host in (self.reader, self.host):
            host.task.cancel()
        return self.host.seen["endpoint"][1] - left

    async def silence_reader(self, seconds):
        self.reader.tables.answers_from = self.clock.monotonic() + seconds

    async def test_the_readers_call_is_lost_right_after_a_change(self):
        """Guards against a request to an endpoint over two seconds after it announced its drain.

        The reader has just seen another change and pauses before its next call; that call is lost,
        while the lease is renewed over another connection, so other hosts still treat its view as
        current.
        """
        for bound, hop in HOPS:
            with self.subTest(bound):
                await self.start(bound, hop)
                self.reader.tables.change("other", b"x")
                await self.run_for(2 * TICK)
                await self.silence_reader(divide_bound(bound).pause + 2 * TICK)
                self.assertLess(await self.until_seen(bound), bound)

    async def test_the_store_is_restored_while_the_readers_call_is_lost(self):
        """Guards against requests to a draining endpoint after the store came back from a copy.

        Beside the lost call, the reader needs one more to read the table whole.
        """
        for bound, hop in HOPS:
            with self.subTest(bound):
                await self.start(bound, hop)
                self.reader.tables.change("other", b"x")
                await self.run_for(2 * TICK)
                await self.silence_reader(divide_bound(bound).pause + 2 * TICK)
                self.reader.tables.stored.restore()
                self.assertLess(await self.until_seen(bound), bound)

    async def test_a_restore_that_a_whole_table_does_not_show(self):
        """Guards against hosts that wait for the reader where the table is too large to publish."""
        for bound, hop in HOPS:
            with self.subTest(bound):
                await self.start(bound, hop, most_told=0)
                self.reader.tables.stored.restore()
                self.assertLess(await self.until_seen(bound), bound)

    async def test_the_reader_falls_silent(self):
        for bound, hop in HOPS:
            with self.subTest(bound):
                await self.start(bound, hop)
                self.wire.deliver()
                self.frozen = self.wire.cut = True
                self.assertLess(await self.until_seen(bound), bound)

    async def test_the_reader_loses_the_store_and_still_sends_frames(self):
        """Guards against hosts that don't call the store because the reader reports no changes.

        It can report that for as long as it trusts its own old view.
        """
        for bound, hop in HOPS:
            with self.subTest(bound):
                await self.start(bound, hop)
                await self.silence_reader(60.0)
                self.assertLess(await self.until_seen(bound), bound)

    async def test_hosts_receive_at_once_that_the_readers_call_failed(self):
        """Guards against hosts that wait for the reader's next frame before they call the store."""
        await self.start(2.0, 0.1)
        limits = divide_bound(2.0)
        await self.silence_reader(60.0)
        silent = self.clock.monotonic()
        asked = len(self.host.tables.calls)
        while len(self.host.tables.calls) == asked and self.clock.monotonic() < silent + 2.0:
            await self.run_for(TICK)
        waited = self.clock.monotonic() - silent
        for host in (self.reader, self.host):
            host.task.cancel()
        self.assertLess(waited, limits.hold + limits.answer + MIN_PAUSE_SECONDS + 0.1 + 4 * TICK)

    async def test_a_host_refused_by_the_store_gets_changes_from_another(self):
        """Guards against one host that uses the old configuration while the store refuses it.

        It receives that the configuration has changed, and only the store would give it the change.
        The store serves all other hosts and does not answer this one.
        """
        for bound, hop in HOPS:
            with self.subTest(bound):
                await self.start(bound, hop, most_told=0)
                self.host.tables.answers_from = self.clock.monotonic() + 60.0
                self.assertLess(await self.until_seen(bound), bound)

    async def test_a_host_with_current_frames_never_calls_the_store(self):
        """Hosts that receive every change must not cost the store a call each."""
        for bound, hop in HOPS:
            with self.subTest(bound):
                await self.start(bound, hop)
                before = len(self.host.tables.calls)
                await self.run_for(10.0)
                self.reader.tables.change("other", b"x")
                await self.run_for(5.0)
                self.assertEqual(before, len(self.host.tables.calls))
                self.assertIn("other", self.host.seen)

    async def test_a_configuration_costs_one_call_and_not_one_of_each_host(self):
        """Guards against 195 calls of the store at once for each change of the configuration.

        Hosts only received that it had changed, and each read it. A configuration that hardly
        compresses is still read by each host, so that it doesn't delay everything else on the
        links.
        """
        cases = (
            ("as configurations are", b'{"name": "route", "kind": "stream"},' * 1000, 0),
            ("one that hardly shrinks", random.Random(1).randbytes(MAX_PUBLISHED_BYTES + 1), 1),
        )
        for name, config, calls in cases:
            with self.subTest(name):
                await self.start(3.0, 0.1)
                before = len(self.host.tables.calls)
                self.reader.tables.change("config", config)
                await self.run_for(2.0)
                self.assertEqual(config, self.host.seen["config"][0])
                self.assertEqual(calls, len(self.host.tables.calls) - before)

    async def test_a_host_gets_the_whole_table_after_the_store_dropped_its_history(self):
        """The store drops its history; the reader reads the whole table and publishes it."""
        await self.start(2.0, 0.1)
        self.host.seen.clear()
        self.reader.tables.change("endpoint", b"leaving")
        self.reader.follower.publish(await self.reader.tables.read_table("t"), 0)
        before = len(self.host.tables.calls)
        await self.run_for(0.3)
        self.assertIn("endpoint", self.host.seen)
        self.assertEqual(before, len(self.host.tables.calls))


class LimitsTest(unittest.TestCase):
    def test_the_stages_of_each_path_fit_in_the_bound(self):
        """Limits are shares of one bound, so a change of one cannot break the sum unnoticed."""
        one_call, hops = 0.1, 0.14
        for bound in (2.0, 3.0, 10.0):
            limits = divide_bound(bound)
            lost_call = limits.pause + limits.hold + limits.answer + (one_call + hops) * bound
            silent = limits.silence * 1.25 + one_call * bound
            old = limits.age + limits.silence / 4 + one_call * bound
            calm = limits.pause + limits.hold + UNCHANGED_INTERVAL_SECONDS + hops * bound
            with self.subTest(bound):
                self.assertLessEqual(max(lost_call, silent, old), bound + 1e-9)
                self.assertLessEqual(calm, limits.age)

    def test_calls_are_retried_with_increasing_delays(self):
        self.assertEqual([0.0, 0.3, 0.6, 1.0, 1.0], [retry_delay(n) for n in (1, 2, 3, 4, 50)])
