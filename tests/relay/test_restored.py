"""Tests what hosts do when the store comes back from an older copy of its rows."""

import asyncio
import time
import unittest

from peridotdock.clients.platform import Committed, Transaction
from peridotdock.clients.store_time import StoreTime
from peridotdock.clients.tables import TableView
from peridotdock.clients.versions import era_of, make_version, number_of
from peridotdock.errors import Kind
from peridotdock.metrics import Metrics
from peridotdock.platform.store import TableStore
from peridotdock.relay.settings import parse_address
from tests.relay.deployment import BOUNDS, Deployment
from tests.relay.test_hubs import all_live
from tests.relay.test_relay import run
from tests.standins.http import reply as reply_without_era
from tests.standins.tables import TableStandin

# Versions that the store gave out and lost.
LOST_VERSIONS = 40


def config_versions(found):
    return [host.request_handler.deployment.version for host in found.hosts]


def all_know_leaving(found, name):
    return all(host.fleet.states[name].leaving for host in found.hosts)


async def until_ready(found):
    await found.until(lambda: all_live(found))
    await found.until(lambda: any(host.leadership.holds() for host in found.hosts))
    await found.until(lambda: all(host.peers.has_lease_holder() for host in found.hosts))


async def lose_writes(found):
    """Let all hosts see a version of the store that it then loses; return the older copy."""
    copy = found.store.copy()
    for number in range(LOST_VERSIONS):
        found.store.put("other", "row", str(number).encode())
    found.configure(version=2)
    await found.until(lambda: config_versions(found) == [2] * len(found.hosts))
    return copy


def drain(found, name):
    """Write in the store that an endpoint of the plain service drains."""
    found.store.put("servers", name, found.pages[name].entry("pages") | {"state": "draining"})


async def check_changes_are_seen(case, versions_given_out):
    """Make changes right after a restore, give out more versions, and check all hosts in time."""
    async with Deployment(hosts=3, pages=("p1", "p2")) as found:
        await until_ready(found)
        copy = await lose_writes(found)
        found.store.restore(copy)
        found.configure(version=3)
        drain(found, "p1")
        for number in range(versions_given_out):
            found.store.put("other", "row", str(number).encode())
        await asyncio.sleep(BOUNDS.drain)
        case.assertEqual([3, 3, 3], config_versions(found))
        case.assertTrue(all_know_leaving(found, "p1"))


class ChangesAfterRestoreTest(unittest.TestCase):
    """Guards against hosts that keep an old configuration and send to draining endpoints."""

    @run
    async def test_changes_are_seen_while_versions_are_below_those_of_hosts(self):
        await check_changes_are_seen(self, 0)

    @run
    async def test_changes_are_seen_once_versions_have_passed_those_of_hosts(self):
        await check_changes_are_seen(self, 2 * LOST_VERSIONS)


class StoreClientTest(unittest.IsolatedAsyncioTestCase):
    """The client's versions are never reused, although the store gives its numbers out again."""

    async def asyncSetUp(self):
        self.standin = await TableStandin().start()
        address = parse_address(self.standin.address)
        self.store = TableStore(address, Metrics(), StoreTime(time.monotonic))

    async def asyncTearDown(self):
        await self.store.close()
        await self.standin.stop()

    async def write(self, key, value, check=0):
        return await self.store.commit(Transaction({key: check}, {key: {"value": value}}))

    async def test_a_change_is_not_skipped_under_a_number_given_out_again(self):
        """Guards against a feed that goes on after a number that now belongs to a later change."""
        for passed, known_restored in ((0, False), (9, False), (0, True), (9, True)):
            with self.subTest(passed=passed, known_restored=known_restored):
                copy = self.standin.copy()
                self.standin.put("t", "row", b"lost")
                view = await self.store.read_table("t")
                self.standin.restore(copy)
                for number in range(passed):
                    self.standin.put("t", "row", str(number).encode())
                if known_restored:
                    await self.store.read(["row"])
                found = await self.store.follow("t", view.version, 0.1, 1.0)
                self.assertEqual(Kind.HISTORY_GONE, found.kind)
                again = await self.store.read_table("t")
                self.assertGreater(again.version, view.version)

    async def test_a_check_of_an_earlier_era_is_a_conflict(self):
        """Guards against a write over another row that has got the number of the one read."""
        for known_restored in (False, True):
            with self.subTest(known_restored=known_restored):
                copy = self.standin.copy()
                mine = await self.write("row", "mine")
                self.standin.restore(copy)
                other = {"value": "other", "write": "another host's"}
                self.standin.put("peridotdock", "row", other)
                self.assertEqual(number_of(mine.version), self.standin.version)
                if known_restored:
                    await self.store.read(["row"])
                found = await self.write("row", "mine again", mine.version)
                self.assertEqual(Kind.CONFLICT, found.kind)
                rows = await self.store.read(["row"])
                self.standin.remove("peridotdock", "row")
                if known_restored:
                    self.assertEqual("other", rows["row"].value["value"])

    async def test_an_answer_of_an_earlier_era_is_not_used(self):
        """Guards against a view that an answer delayed on its way sets back to lost rows."""
        await self.store.read_table("t")
        self.standin.restore(self.standin.copy())
        await self.store.read_table("t")
        self.standin.faults["late"] = 3
        self.assertEqual(Kind.PLATFORM_DOWN, (await self.store.read_table("t")).kind)
        self.assertEqual(Kind.OUTCOME_UNKNOWN, (await self.write("row", "x")).kind)
        found = await self.store.follow("t", make_version(2, 0), 0.1, 1.0)
        self.assertEqual(Kind.PLATFORM_DOWN, found.kind)

    async def test_a_table_is_read_in_one_era(self):
        """Guards against a view made of pages from before and after a restore."""
        for key in ("a", "b", "c", "d"):
            self.standin.put("t", key, b"x")
        restores = [lambda: None, lambda: self.standin.restore(self.standin.copy())]
        answer = self.standin._reply

        def reply(body, status=200):
            if restores:
                restores.pop(0)()
            return answer(body, status)

        self.standin._reply = reply
        self.assertEqual(Kind.PLATFORM_DOWN, (await self.store.read_table("t")).kind)
        found = await self.store.read_table("t")
        self.assertIsInstance(found, TableView)
        self.assertEqual(2, era_of(found.version))

    async def test_a_store_that_names_no_era_is_of_one_era(self):
        self.standin._reply = reply_without_era
        found = await self.write("row", "x")
        self.assertEqual(Committed(self.standin.version), found)
