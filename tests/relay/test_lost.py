"""Single faults with wide effects: a lost call, a stale fact, a row that can't be decoded."""

import asyncio
import unittest
from dataclasses import replace
from types import SimpleNamespace

from peridotdock.clients.tables import TableView
from peridotdock.decisions.freshness import retry_delay
from peridotdock.errors import Failure, Kind
from peridotdock.events import Filter
from peridotdock.fact_table import FactTable
from peridotdock.membership import Membership
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.following import Follower
from peridotdock.relay.leadership import Leadership
from peridotdock.relay.peers import Peers
from peridotdock.relay.requests import EndpointEntry
from peridotdock.schema.messages import EngineNews, HostFact, OrdersFact, Rows, WantsFact
from tests.builders import facts_of, make_ctx
from tests.fakes import FakeClock, FakePlatform, settle
from tests.relay.deployment import Deployment
from tests.relay.test_ordering import GAP, Uptime
from tests.relay.test_relay import run
from tests.relay.test_views import TICK, FlakyTables, HostViews, Stored, Wire


def host_fact(name):
    return HostFact(name, f"{name}-life", "north", "10.0.0.1:80", "10.0.0.1:81", "live", 1)


class BadRowTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_follower_survives_rows_that_cannot_be_applied(self):
        """Failure guarded against: all hosts send to a removed endpoint until they restart.

        Another writer put a malformed row into the table. Applying it raised "unhashable type:
        'list'", which ended the task that follows the store, without a log line.
        """
        clock, applied = FakeClock(), []
        tables = FlakyTables(clock)

        def apply_rows(rows, whole):
            applied.append(rows)
            if "bad" in rows:
                raise TypeError("unhashable type: 'list'")

        follower = Follower(make_ctx(clock), tables, "t", apply_rows, lambda: 0.0)
        task = asyncio.ensure_future(follower.run())
        for key in ("bad", "good"):
            tables.change(key, b"x")
            for _ in range(300):
                await settle()
                clock.advance(TICK)
        self.assertFalse(task.done())
        self.assertTrue(any("good" in rows for rows in applied))
        task.cancel()

    async def test_rows_that_cannot_be_applied_are_logged_once(self):
        """Guards against a log that holds only one line, again and again, as one row is odd."""
        for kind in (RecursionError, MemoryError, OverflowError):
            with self.subTest(kind):
                ctx = make_ctx(clock := FakeClock())
                tables, raised = FlakyTables(clock), []

                def apply_rows(rows, whole, kind=kind, raised=raised):
                    if rows.get("odd") == b"odd":
                        raised.append(kind)
                        raise kind("too much")

                follower = Follower(ctx, tables, "t", apply_rows, lambda: 0.0)
                task = asyncio.ensure_future(follower.run())
                for value in (b"odd", b"sound", b"odd"):
                    tables.change("odd", value)
                    for _ in range(300):
                        await settle()
                        clock.advance(TICK)
                self.assertFalse(task.done())
                self.assertGreater(len(raised), 4)
                found = [e for e in ctx.timeline.select(Filter()) if e.name == "rows_refused"]
                self.assertEqual(2, len(found))
                task.cancel()

    async def test_an_update_that_cannot_be_applied_is_fetched_again(self):
        clock = FakeClock()

        def apply_rows(rows, whole):
            raise TypeError("unhashable type: 'list'")

        follower = Follower(make_ctx(clock), FlakyTables(clock), "t", apply_rows, lambda: 0.0)
        follower._version = 1
        self.assertTrue(follower.receive(Rows("rows", "t", "reader", 1, 1, 2, {"bad": b"x"})))
        self.assertEqual(1, follower.version)


class KnownGapTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_host_with_a_known_gap_keeps_fetching(self):
        """Failure guarded against: a host keeps an old configuration but knows of a newer one.

        An older answer of another host, or an update of a previous reader, counted as proof that
        nothing is missing.
        """
        for name, late in (
            ("an older answer", Rows("rows", "t", "peer", 1, 1, 5, {}, direct=True, whole=True)),
            ("an update of a previous reader", Rows("rows", "t", "before", 1, 1, 3)),
        ):
            with self.subTest(name):
                clock = FakeClock()
                follower = Follower(
                    make_ctx(clock), FlakyTables(clock), "t", lambda *row: None, lambda: 0.0
                )
                follower.must_read = lambda: False
                follower._version = 1
                follower.receive(Rows("rows", "t", "reader", 1, 1, 9, changed=True))
                follower.receive(late)
                self.assertFalse(follower._fed_by_reader())

    async def test_a_delayed_answer_keeps_its_age(self):
        """Failure guarded against: hosts treat a view as valid for 0.4 s too long.

        An answer without changes is as old as the end of the time for which the store held it.
        """
        clock = FakeClock()

        class LateTables(FlakyTables):
            async def follow(self, table, after, hold, answer):
                await clock.sleep(hold + answer - TICK)
                return await FlakyTables.follow(self, table, after, 0.0, answer)

        follower = Follower(make_ctx(clock), LateTables(clock), "t", lambda *row: None, lambda: 0.0)
        step = asyncio.ensure_future(follower.step())
        await settle()
        clock.advance(1.0)
        await step
        step = asyncio.ensure_future(follower.step())
        while not step.done() and len(follower._tables.calls) == 0:
            await settle()
            clock.advance(TICK)
        await settle()
        self.assertGreater(follower.age(), follower.limits.answer - 3 * TICK)
        step.cancel()


class DroppedHistoryTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_reader_publishes_the_whole_table_after_the_history_was_dropped(self):
        """Failure guarded against: a dropped history makes all hosts read the store at once."""
        clock = FakeClock()
        wire, stored = Wire(clock, 0.1), Stored()
        reader = HostViews(clock, wire, stored, 2.0, leads=True)
        host = HostViews(clock, wire, stored, 2.0, leads=False)

        async def run_for(seconds):
            until = clock.monotonic() + seconds
            while clock.monotonic() < until:
                await settle()
                reader.views.publish_unchanged()
                wire.deliver()
                clock.advance(TICK)

        await run_for(2.0)
        asked = len(host.tables.calls)
        whole_read = reader.tables.read_table

        async def forget(*call):
            reader.tables.follow = FlakyTables.follow.__get__(reader.tables)
            reader.tables.change("endpoint", b"leaving")
            return Failure(Kind.HISTORY_GONE)

        reader.tables.follow = forget
        self.assertIsInstance(await whole_read("t"), TableView)
        await run_for(2.0)
        for row in (reader, host):
            row.task.cancel()
        self.assertIn("endpoint", host.seen)
        self.assertEqual(asked, len(host.tables.calls))


class LeaseTest(unittest.TestCase):
    def test_one_lost_renewal_does_not_cost_the_lease(self):
        """Failure guarded against: no model is loaded for seconds after one lost store call.

        The renewal was lost, the row then read was still this host's, and the next renewal came
        after the lease of 1.6 s had expired: 0.7 s, 0.6 s until the call counts as lost, 0.7 s.
        """
        clock, store, suspected = Uptime(), FakePlatform(), []
        lease = Leadership(
            make_ctx(FakeClock()), store, GAP, clock, "m", lambda: suspected.append(1)
        )
        asyncio.run(lease.step())
        clock.now += 0.7
        commit = store.commit

        async def hang(tx):
            store.commit = commit
            clock.now += 0.6
            raise TimeoutError

        store.commit = hang
        asyncio.run(lease.step())
        self.assertEqual([1], suspected)
        clock.now += 0.7
        self.assertTrue(lease.holds())


class StaleFactTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.own_board, self.other_board = FactTable("h1", 1, self.clock), FactTable(
            "h2", 1, self.clock
        )

    async def test_unreachable_reports_of_a_dead_host_expire_with_it(self):
        """Failure guarded against: an engine gets no order for two minutes.

        A host that has died since had reported that it could not connect to the engine.
        """
        members = Membership(self.own_board, host_fact("h1"), self.clock)
        members.beat()
        self.other_board.publish("host", host_fact("h2"))
        self.other_board.publish("wants", WantsFact({}, ["e1"]))
        self.own_board.merge(facts_of(self.other_board))
        peers = SimpleNamespace(membership=members, facts=self.own_board)
        self.assertEqual({"e1"}, Peers.down(peers))
        self.clock.advance(5.0)
        members.beat()
        self.assertEqual(set(), Peers.down(peers))

    async def test_engine_news_keeps_its_age(self):
        """Failure guarded against: requests wait for a model that was due half a minute ago.

        The report "coming in 2.0 s" arrived late, through a third host, and counted as new.
        """
        fleet = RelayFleet("north", self.clock)
        fleet.replace([EndpointEntry("e1", "s", "1:1", "north", 1, False)])
        self.other_board.publish("orders", OrdersFact(3, [EngineNews("e1", [], [], {"m": 2.0})]))
        known = self.other_board.get("h2", "orders")
        self.own_board.merge([replace(known.entry, age=30_000)])
        peers = SimpleNamespace(
            facts=self.own_board,
            _lease_holder="h2",
            _fleet=fleet,
            on_term=lambda term: None,
        )
        Peers._apply_orders(peers)
        self.assertEqual(0.0, fleet.seconds_until_loaded("s", "m"))


class PlanTest(unittest.TestCase):
    @run
    async def test_ordering_goes_on_after_a_plan_that_failed(self):
        """Failure guarded against: no model is loaded any more, and no other host takes over.

        One plan raised an exception, which ended the task that orders engines while the lease was
        still being renewed.
        """
        async with Deployment(hosts=1) as found:
            host = found.hosts[0]
            await found.until(host.leadership.may_order)
            plan, rounds = host.orderer.plan_orders, []

            def fail_once(*args):
                rounds.append(1)
                if len(rounds) == 1:
                    raise KeyError("once")
                return plan(*args)

            host.orderer.plan_orders = fail_once
            await found.until(lambda: len(rounds) > 1, seconds=3.0)


class DrainRaceTest(unittest.TestCase):
    @run
    async def test_a_request_placed_before_a_drain_notice_is_not_sent_after_it(self):
        """Failure guarded against: a request arrives 2.6 s after a drain notice, 2.0 s are allowed.

        The endpoint was chosen just before its drain notice arrived. Its backlog was full, so the
        connection was made late, and the request was sent as soon as it was.
        """
        async with Deployment(hosts=1, pages=("p1", "p2")) as found:
            host, loop = found.hosts[0], asyncio.get_running_loop()
            connect, slow = loop.sock_connect, asyncio.Event()
            begun, made = asyncio.Event(), []

            async def connect_late(sock, address):
                if address[1] in ports:
                    begun.set()
                    await slow.wait()
                await connect(sock, address)
                made.append(f"{address[0]}:{address[1]}")

            ports = {int(p.entry("pages")["address"].split(":")[1]) for p in found.pages.values()}
            loop.sock_connect = connect_late
            ask = asyncio.ensure_future(found.send("/fetch/x"))
            await begun.wait()
            [chosen] = [s.key for s in host.fleet.states.values() if s.in_flight]
            entry = host.fleet.states[chosen].entry
            host.fleet.update({chosen: replace(entry, draining=True)})
            slow.set()
            status, _, _ = await ask
            self.assertEqual(200, status)
            self.assertIn(entry.address, made)
            self.assertEqual([], found.pages[chosen].requests)


class StoreRetryTest(unittest.TestCase):
    def test_a_rejected_store_call_is_not_retried_at_once(self):
        """Failure guarded against: a store that rejects calls gets two per host within 0.03 s."""
        self.assertEqual(0.0, retry_delay(1, lost=True))
        self.assertGreater(retry_delay(1, lost=False), 0.1)
