"""Tests what hosts know after an outage: of each other, of the store, of the lease holder."""

import asyncio
import unittest
from dataclasses import replace

from peridotdock.clients.engines import Action
from peridotdock.clients.tables import TableChanges, TableView
from peridotdock.clients.versions import make_version
from peridotdock.decisions.freshness import MIN_BOUND_SECONDS, divide_bound
from peridotdock.fact_table import FactTable
from peridotdock.frames import decode, encode_update
from peridotdock.links import QueuedRows
from peridotdock.relay.following import Follower
from peridotdock.relay.leadership import Leadership
from peridotdock.relay.records import UNLOAD_SLACK_SECONDS, EngineRecord
from peridotdock.schema.messages import HostFact, Rows
from tests.builders import facts_of, make_ctx
from tests.fakes import FakeClock, FakePlatform
from tests.relay.test_ordering import GAP, Uptime, entry, order, report


def host_fact(state="live", entry="10.0.0.1:80"):
    return HostFact("h1", "h1-life", "north", entry, "10.0.0.1:81", state, 1)


def boards(epoch=100):
    clock = FakeClock()
    return (
        clock,
        FactTable("h1", epoch, clock),
        FactTable("h2", 100, clock),
        FactTable("h3", 100, clock),
    )


class AgeTest(unittest.TestCase):
    def test_a_heartbeat_passed_on_late_is_as_old_as_it_is(self):
        """Guards against callers that get the address of a host that is off for six seconds.

        One host missed its last heartbeat and received it from a third host four seconds later,
        when a link changed. It counted the heartbeat as just sent.
        """
        clock, dead, third, late = boards()
        dead.publish("host", host_fact())
        third.merge(facts_of(dead))
        clock.advance(4.0)
        late.merge(facts_of(third))
        self.assertAlmostEqual(4.0, clock.monotonic() - late.get("h1", "host").at, places=2)

    def test_a_fact_that_was_written_before_is_sent_with_its_age(self):
        """Guards against callers that are given the address of a host that is off.

        The hub encodes a fact once for all its links. What it had encoded for one link was sent
        over another seconds later, and the heartbeat in it counted as just sent.
        """
        clock, dead, hub, late = boards()
        dead.publish("host", host_fact())
        hub.merge(facts_of(dead))
        hub.encode_entries(hub.slots())
        clock.advance(4.0)
        [raw] = hub.encode_entries(hub.slots()).values()
        late.merge(decode(encode_update([raw], 0)).entries)
        self.assertAlmostEqual(4.0, clock.monotonic() - late.get("h1", "host").at, places=1)

    def test_rows_that_wait_on_links_grow_older(self):
        rows = QueuedRows(Rows("rows", "servers", "h1", 1, 1, 1, age=100), 50.0)
        for now, least in ((50.0, 100), (50.01, 110), (50.5, 600), (52.0, 2100)):
            with self.subTest(now=now):
                age = decode(rows.encoded(now)).age
                self.assertGreaterEqual(age, least)
                self.assertLess(age, least + 30)

    def test_an_incarnation_whose_clock_went_back_is_accepted(self):
        """Guards against peers that keep the old address of a machine that has a new one.

        Its time of day was behind that of its previous incarnation, so peers took its facts for
        older.
        """
        _, before, peer, _ = boards(epoch=5000)
        before.publish("host", host_fact())
        peer.merge(facts_of(before))
        _, now, _, _ = boards(epoch=400)
        now.publish("host", host_fact(entry="10.0.0.9:80"))
        self.assertEqual([], peer.merge(facts_of(now)))
        now.merge(facts_of(peer))
        peer.merge(facts_of(now))
        self.assertEqual("10.0.0.9:80", peer.get("h1", "host").fact.entry)

    def test_a_fact_of_the_own_incarnation_changes_nothing(self):
        _, own, peer, _ = boards()
        own.publish("host", host_fact())
        peer.merge(facts_of(own))
        before = facts_of(own)
        own.merge(facts_of(peer))
        self.assertEqual(before, facts_of(own))


class SameMachineTest(unittest.TestCase):
    def setUp(self):
        self.clock, self.store = Uptime(), FakePlatform()

    def lead(self, host, machine):
        ctx = make_ctx(FakeClock(), host)
        ctx = replace(ctx, incarnation=f"{host}-{self.clock.now}")
        return Leadership(ctx, self.store, GAP, self.clock, machine)

    def test_orders_go_on_at_once_when_all_hosts_were_killed(self):
        """Guards against five seconds without a model load after all processes were killed.

        The lease holder restarts after one second. It waited for its own last lease to lapse and
        for another holder's orders to end, though it had been that holder.
        """
        first = self.lead("h1", "10.0.0.1:81")
        asyncio.run(first.step())
        first.record_order("e1")
        self.clock.now += 1.0
        again = self.lead("h1", "10.0.0.1:81")
        asyncio.run(again.step())
        self.assertTrue(again.may_order("e1"))
        self.assertEqual(2, again.term)

    def test_another_machine_still_waits(self):
        asyncio.run(self.lead("h1", "10.0.0.1:81").step())
        self.clock.now += 1.0
        other = self.lead("h1", "10.0.0.2:81")
        asyncio.run(other.step())
        self.assertFalse(other.holds())


# Seconds after which a host calls the store itself when its reader is silent.
SILENCE = divide_bound(MIN_BOUND_SECONDS).silence


class SilentTables:
    """A store that answers the first read and then holds each call forever."""

    def __init__(self):
        self.calls = 0
        self.answer = False

    async def read_table(self, table):
        return TableView({}, 1)

    def renew_connections(self):
        pass

    async def follow(self, table, after, hold, answer):
        self.calls += 1
        if not self.answer:
            await asyncio.Event().wait()
        return TableChanges({"row": b"new"}, 2)


class RefreshTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_that_the_store_lost_is_retried(self):
        """Guards against entries that stay as old as an outage for twenty seconds after it.

        The store stopped answering and recovered, and never answered the calls that it held.
        """
        tables, seen = SilentTables(), []
        clock = FakeClock()
        follower = Follower(
            make_ctx(clock), tables, "t", lambda rows, whole: seen.append(rows), lambda: 0.0
        )
        task = asyncio.ensure_future(follower.run())
        for _ in range(20):
            await asyncio.sleep(0)
            clock.advance(0.01)
        tables.answer = True
        follower.refresh()
        for _ in range(20):
            await asyncio.sleep(0)
            clock.advance(0.01)
        task.cancel()
        self.assertIn({"row": b"new"}, seen)


def rows(beat, after, version, values=None, changed=False, origin="reader", whole=False):
    return Rows("rows", "t", origin, beat, after, version, values or {}, changed, whole)


# A version of the era after that of the known one, under a lower number.
RESTORED = make_version(1, 0)
# Name, frame, the version known after it, and the rows that were applied.
ROW_CASES = (
    ("consecutive rows are applied", rows(1, 1, 5, {"a": b"x"}), 5, {"a": b"x"}),
    ("overlapping rows are applied", rows(1, 0, 5, {"a": b"x"}), 5, {"a": b"x"}),
    ("rows after a gap are not", rows(1, 3, 5, {"a": b"x"}), 1, None),
    ("nor older rows", rows(1, 0, 0, {"a": b"old"}), 1, None),
    ("a removed row", rows(1, 1, 5, {"a": None}), 5, {"a": None}),
    ("a change announced without rows", rows(1, 1, 5, changed=True), 1, None),
    ("a whole table, also after a gap", rows(1, 3, 5, {"a": b"x"}, whole=True), 5, {"a": b"x"}),
    ("but not an older one", rows(1, 0, 0, {"a": b"x"}, whole=True), 1, None),
    (
        "a whole table of a restored store",
        rows(1, 0, RESTORED, {"a": b"x"}, whole=True),
        RESTORED,
        {"a": b"x"},
    ),
    ("but not its changes alone", rows(1, RESTORED, RESTORED + 1, {"a": b"x"}), 1, None),
)


class ReaderFramesTest(unittest.IsolatedAsyncioTestCase):
    """One host reads the store for all others."""

    async def asyncSetUp(self):
        self.clock, self.tables, self.seen = FakeClock(), SilentTables(), []
        self.follower = Follower(
            make_ctx(self.clock),
            self.tables,
            "t",
            lambda rows, whole: self.seen.append(rows),
            lambda: 0.0,
        )
        self.follower.must_read = lambda: False
        task = asyncio.ensure_future(self.follower.step())
        await self.settle()
        await task
        self.assertEqual(1, self.follower.version)

    async def settle(self):
        for _ in range(5):
            await asyncio.sleep(0)
            self.clock.advance(0.001)

    async def test_rows_are_taken_only_without_a_gap(self):
        """Guards against requests from one host to an endpoint whose removal it never received.

        The host had missed a frame of the reader, and applied the next one.
        """
        for name, frame, version, taken in ROW_CASES:
            with self.subTest(name):
                await self.asyncSetUp()
                self.seen.clear()
                self.assertTrue(self.follower.receive(frame))
                self.assertEqual(version, self.follower.version)
                self.assertEqual([] if taken is None else [taken], self.seen)

    async def test_a_reader_that_missed_a_restore_proves_nothing(self):
        """Guards against a view that counts as current by frames about rows that were lost."""
        self.follower.receive(rows(1, 0, RESTORED, {"a": b"x"}, whole=True))
        self.clock.advance(1.0)
        self.assertTrue(self.follower.receive(rows(1, 9, 9, origin="late reader")))
        self.assertGreaterEqual(self.follower.age(), 1.0)
        self.assertFalse(self.follower._fed_by_reader())

    async def test_a_frame_is_passed_on_once(self):
        self.assertTrue(self.follower.receive(rows(2, 1, 5)))
        self.assertFalse(self.follower.receive(rows(2, 1, 5)))
        self.assertFalse(self.follower.receive(rows(1, 1, 4)))
        self.assertTrue(self.follower.receive(rows(1, 1, 5, origin="next reader")))

    async def test_the_store_is_asked_again_when_the_reader_falls_silent(self):
        """Guards against requests to a drained endpoint after the reader was cut off."""
        self.follower.receive(rows(1, 1, 5))
        step = asyncio.ensure_future(self.follower.step())
        await self.settle()
        self.assertEqual(0, self.tables.calls)
        self.clock.advance(SILENCE)
        await step
        again = asyncio.ensure_future(self.follower.step())
        await self.settle()
        self.assertEqual(1, self.tables.calls)
        again.cancel()

    async def test_a_late_answer_of_the_store_undoes_nothing(self):
        """Guards against a host that returns to an older state of an endpoint than it had shown."""
        call = asyncio.ensure_future(self.follower.step())
        await self.settle()
        self.follower.receive(rows(1, 1, 5, {"a": b"new"}))
        self.tables.answer = True
        self.follower._interruptible_work.cancel()
        await call
        self.assertEqual(5, self.follower.version)
        again = asyncio.ensure_future(self.follower.step())
        self.clock.advance(SILENCE)
        await self.settle()
        self.clock.advance(SILENCE)
        await again
        self.assertNotIn({"row": b"new"}, self.seen)
        self.assertEqual(5, self.follower.version)


class UnloadTest(unittest.TestCase):
    def test_a_report_is_read_for_the_end_of_an_unload(self):
        """Guards against seconds without orders after an unload, and a missing second copy.

        The end of an unload showed in the engine's entry alone, and the store was unavailable.
        """
        record = EngineRecord(entry("m0", "m1"))
        record.apply_report(report(0, "m0", "m1"), 0.0)
        record.order_accepted(order(Action.UNLOAD, "m1", 0), 0.0, 1.0)
        self.assertFalse(record.report_due(1.0))
        self.assertTrue(record.report_due(1.1 + UNLOAD_SLACK_SECONDS))
