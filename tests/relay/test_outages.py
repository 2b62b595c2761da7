"""What hosts know after an outage: of each other, of the store, of who orders."""

import asyncio
import unittest
from dataclasses import replace

from peridotdock.board import Board
from peridotdock.clients.engines import Action
from peridotdock.clients.tables import TableChanges, TableView
from peridotdock.relay.following import Follower
from peridotdock.relay.leadership import Leadership
from peridotdock.relay.wards import UNLOAD_SLACK, Ward
from peridotdock.schema.messages import HostFact
from tests.builders import make_ctx
from tests.fakes import FakeClock, FakePlatform
from tests.relay.test_ordering import GAP, Uptime, entry, order, report


def host_fact(state="live", entry="10.0.0.1:80"):
    return HostFact("h1", "h1-life", "north", entry, "10.0.0.1:81", state, 1)


def boards(epoch=100):
    clock = FakeClock()
    return clock, Board("h1", epoch, clock), Board("h2", 100, clock), Board("h3", 100, clock)


class AgeTest(unittest.TestCase):
    def test_a_heartbeat_passed_on_late_is_as_old_as_it_is(self):
        """Callers are given the address of a host that has been off for six seconds.

        One host missed its last heartbeat and got it from a third one four seconds later, when a
        link changed. It took it for one just made.
        """
        clock, dead, third, late = boards()
        dead.publish("host", host_fact())
        third.merge(dead.entries())
        clock.advance(4.0)
        late.merge(third.entries())
        self.assertAlmostEqual(4.0, clock.monotonic() - late.get("h1", "host").at, places=2)

    def test_a_life_whose_clock_went_back_is_heard(self):
        """A machine comes back at another address, and peers go on naming the old one.

        Its time of day was behind that of its last life, so peers took its facts for older.
        """
        _, before, peer, _ = boards(epoch=5000)
        before.publish("host", host_fact())
        peer.merge(before.entries())
        _, now, _, _ = boards(epoch=400)
        now.publish("host", host_fact(entry="10.0.0.9:80"))
        self.assertEqual([], peer.merge(now.entries()))
        now.merge(peer.entries())
        peer.merge(now.entries())
        self.assertEqual("10.0.0.9:80", peer.get("h1", "host").fact.entry)

    def test_a_fact_of_ones_own_life_changes_nothing(self):
        _, own, peer, _ = boards()
        own.publish("host", host_fact())
        peer.merge(own.entries())
        before = own.entries()
        own.merge(peer.entries())
        self.assertEqual(before, own.entries())


class SameMachineTest(unittest.TestCase):
    def setUp(self):
        self.clock, self.store = Uptime(), FakePlatform()

    def lead(self, host, machine):
        ctx = make_ctx(FakeClock(), host)
        ctx = replace(ctx, incarnation=f"{host}-{self.clock.now}")
        return Leadership(ctx, self.store, GAP, self.clock, machine)

    def test_orders_go_on_at_once_when_all_hosts_were_killed(self):
        """No model is loaded for five seconds after all processes were killed.

        The host that ordered is back after one second. It waited for its own last lease to lapse
        and for another holder's orders to end, though it was that holder.
        """
        first = self.lead("h1", "10.0.0.1:81")
        asyncio.run(first.step())
        first.ordered()
        self.clock.now += 1.0
        again = self.lead("h1", "10.0.0.1:81")
        asyncio.run(again.step())
        self.assertTrue(again.may_order())
        self.assertEqual(2, again.term)

    def test_another_machine_still_waits(self):
        asyncio.run(self.lead("h1", "10.0.0.1:81").step())
        self.clock.now += 1.0
        other = self.lead("h1", "10.0.0.2:81")
        asyncio.run(other.step())
        self.assertFalse(other.holds())


class SilentTables:
    """A store that answers the first read and then holds each call for good."""

    def __init__(self):
        self.calls = 0
        self.answer = False

    async def read_table(self, table):
        return TableView({}, 1)

    async def follow(self, table, after, seconds):
        self.calls += 1
        if not self.answer:
            await asyncio.Event().wait()
        return TableChanges({"row": b"new"}, 2)


class RenewTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_that_the_store_lost_is_made_again(self):
        """Engines' entries stay as old as an outage for twenty seconds after its end.

        The store fell silent and came back, and never answered the calls that it held.
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
        follower.renew()
        for _ in range(20):
            await asyncio.sleep(0)
            clock.advance(0.01)
        task.cancel()
        self.assertIn({"row": b"new"}, seen)


class UnloadTest(unittest.TestCase):
    def test_the_end_of_an_unload_is_looked_for(self):
        """An engine gets no order for seconds after an unload, and a busy model no second copy.

        The end of an unload showed in the engine's entry alone, and the store was away.
        """
        ward = Ward(entry("m0", "m1"))
        ward.take_report(report(0, "m0", "m1"), 0.0)
        ward.accepted(order(Action.UNLOAD, "m1", 0), 0.0, 1.0)
        self.assertFalse(ward.overdue(1.0))
        self.assertTrue(ward.overdue(1.1 + UNLOAD_SLACK))
