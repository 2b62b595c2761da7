"""Tests what hosts do when the store comes back from an older copy of its rows."""

import asyncio
import random
import time
import unittest
from dataclasses import replace

from nose2.tools import params

from peridotdock.clients.platform import Committed, Transaction
from peridotdock.clients.store_time import StoreTime
from peridotdock.clients.tables import TableView
from peridotdock.clients.versions import era_of, make_version, number_of
from peridotdock.errors import Kind
from peridotdock.events import Filter
from peridotdock.metrics import Metrics
from peridotdock.platform.store import TableStore
from peridotdock.relay.fleet import RETURN_SECONDS, RelayFleet
from peridotdock.relay.requests import EndpointEntry
from peridotdock.relay.settings import parse_address
from tests.fakes import FakeClock
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


def entry(name):
    return EndpointEntry(name, "pages", "10.0.0.1:80", "north", 8, False)


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

    @run
    async def test_log_lines_name_the_era_of_a_store_that_is_back_in_touch(self):
        """Operators can't tell an outage from a return from an older copy."""
        async with Deployment() as found:
            found.store.restore(found.store.copy())
            await found.replace_hosts()
            details = [
                event.detail
                for event in found.hosts[0].ctx.timeline.select(Filter())
                if event.name == "store_in_touch"
            ]
            self.assertEqual(2, len(details))
            self.assertTrue(all(detail.endswith("of era 1") for detail in details), details)


class EndpointsAfterRestoreTest(unittest.TestCase):
    """An older copy of the endpoints' rows undoes nothing that hosts know of endpoints."""

    async def restore(self, found, copy):
        """Bring back an older copy, and wait until all hosts have read it."""
        version = config_versions(found)[0] + 1
        found.store.restore(copy)
        found.configure(version=version)
        await found.until(lambda: config_versions(found) == [version] * len(found.hosts))
        await asyncio.sleep(0.5)

    async def lose_draining(self, found):
        """Let all hosts see that p1 drains, and bring the store back from before."""
        await until_ready(found)
        copy = found.store.copy()
        drain(found, "p1")
        await found.until(lambda: all_know_leaving(found, "p1"))
        await self.restore(found, copy)

    def usable(self, found):
        """Return the names of the plain service's endpoints that each host would choose from."""
        return [
            sorted(state.key for state in host.fleet.usable("pages", None)) for host in found.hosts
        ]

    @run
    async def test_an_endpoint_that_drains_keeps_draining(self):
        """Guards against requests to a draining endpoint that is ready by its restored row."""
        async with Deployment(hosts=3, pages=("p1", "p2")) as found:
            await self.lose_draining(found)
            self.assertTrue(all_know_leaving(found, "p1"))
            found.store.put("servers", "p1", found.pages["p1"].entry("pages"))
            await found.until(lambda: self.usable(found) == [["p1", "p2"]] * 3)

    @run
    async def test_an_endpoint_keeps_draining_when_the_history_is_dropped_too(self):
        """Guards against requests to a draining endpoint: hosts read the restored table twice."""
        async with Deployment(hosts=3, pages=("p1", "p2")) as found:
            await self.lose_draining(found)
            found.store.faults["forget"] = 20
            found.configure(version=9)
            await found.until(lambda: config_versions(found) == [9] * 3)
            await found.until(lambda: not found.store.faults["forget"])
            self.assertTrue(all_know_leaving(found, "p1"))

    @run
    async def test_an_endpoint_that_has_gone_is_not_used_before_it_writes_again(self):
        """Guards against requests to an endpoint that has gone and whose row was restored."""
        async with Deployment(hosts=3, pages=("p1", "p2")) as found:
            await until_ready(found)
            copy = found.store.copy()
            found.store.remove("servers", "p1")
            await found.until(lambda: self.usable(found) == [["p2"]] * 3)
            await self.restore(found, copy)
            self.assertEqual([["p2"]] * 3, self.usable(found))
            entry = found.pages["p1"].entry("pages") | {"slots": 7}
            found.store.put("servers", "p1", entry)
            await found.until(lambda: self.usable(found) == [["p1", "p2"]] * 3)


class RestoredEntriesTest(unittest.IsolatedAsyncioTestCase):
    """What a fleet makes of the entries of a restored store."""

    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.fleet = RelayFleet("north", self.clock)

    def usable(self):
        return [state.entry.started_ms for state in self.fleet.usable("pages", None)]

    async def test_an_entry_that_stays_is_used_again(self):
        """Guards against an endpoint left out for good: its entry had lapsed before the restore."""
        self.fleet.replace([entry("p1")])
        self.fleet.replace([])
        self.fleet.expect_restored_entries()
        self.fleet.replace([entry("p1")])
        self.assertEqual([], self.usable())
        self.clock.advance(RETURN_SECONDS)
        self.assertEqual([0], self.usable())

    async def test_an_earlier_start_of_an_endpoint_that_has_gone_is_left_out(self):
        """Guards against requests to a start that ended before the one that has gone."""
        self.fleet.replace([replace(entry("p1"), started_ms=200)])
        self.fleet.replace([])
        self.fleet.expect_restored_entries()
        self.fleet.replace([replace(entry("p1"), started_ms=100)])
        self.assertEqual([], self.usable())

    async def test_an_earlier_start_does_not_replace_the_known_one(self):
        """Guards against orders and requests by what an endpoint held before it restarted."""
        for known, restored, usable in ((200, 100, [200]), (100, 200, [200]), (0, 100, [100])):
            with self.subTest(known=known, restored=restored):
                await self.asyncSetUp()
                self.fleet.replace([replace(entry("p1"), started_ms=known)])
                self.fleet.expect_restored_entries()
                self.fleet.replace([replace(entry("p1"), started_ms=restored)])
                self.assertEqual(usable, self.usable())

    async def test_a_restored_entry_is_known_as_one_until_it_is_written_again(self):
        """Guards against requests to a draining endpoint: hosts read the restored table twice."""
        known = replace(entry("p1"), started_ms=200, draining=True)
        restored = replace(known, draining=False)
        earlier = replace(restored, started_ms=100)
        for name, first, then, usable in (
            ("whole table", restored, lambda: self.fleet.replace([restored]), []),
            ("whole table, earlier start", earlier, lambda: self.fleet.replace([earlier]), []),
            ("another changes", restored, lambda: self.fleet.update({"p2": entry("p2")}), [0]),
            ("written again", restored, lambda: self.fleet.update({"p1": restored}), [200]),
            (
                "written again, whole table",
                restored,
                lambda: self.fleet.replace([replace(restored, slots=7)]),
                [200],
            ),
        ):
            with self.subTest(name):
                await self.asyncSetUp()
                self.fleet.replace([known])
                self.fleet.expect_restored_entries()
                self.fleet.replace([first])
                self.assertEqual([], self.usable())
                then()
                self.assertEqual(usable, self.usable())

    async def test_entries_of_an_unrestored_store_are_used_at_once(self):
        self.fleet.replace([replace(entry("p1"), draining=True)])
        self.fleet.replace([entry("p1")])
        self.fleet.replace([])
        self.fleet.replace([entry("p1")])
        self.assertEqual([0], self.usable())


class RandomEndpoints:
    """Three endpoints, their table, its restores and the host that follows it, drawn from a seed.

    Endpoints never return to ready under the same start, and write again up to a second after a
    restore.
    """

    NAMES = ("p1", "p2", "p3")

    def __init__(self, seed):
        self.rng, self.clock = random.Random(seed), FakeClock()
        self.fleet = RelayFleet("north", self.clock)
        self.entries = {name: replace(entry(name), started_ms=1) for name in self.NAMES}
        self.rows, self.version, self.era = {}, 0, 0
        self.seen = None
        self.drained = set()
        self.copies = []
        self.write_at = dict.fromkeys(self.NAMES, 0.0)
        self.starts = 1

    def play_step(self):
        self.clock.advance(self.rng.choice((0.05, 0.2)))
        self.write_entries()
        actions = (self.drain, self.leave, self.start, self.copy, self.restore, self.read, None)
        action = self.rng.choices(actions, (8, 4, 8, 5, 3, 42, 30))[0]
        if action is not None:
            action(self.rng.choice(self.NAMES))
        for state in self.fleet.usable("pages", None):
            if (state.key, state.entry.started_ms) in self.drained:
                raise AssertionError(f"{state.key} is used though it drains")

    def write(self, name):
        self.version += 1
        self.rows[name] = self.entries[name], self.version
        self.write_at.pop(name, None)

    def write_entries(self):
        """Let the endpoints write whose time has come."""
        now = self.clock.monotonic()
        for name in [name for name, at in self.write_at.items() if now >= at]:
            self.write(name)

    def drain(self, name):
        if self.entries[name] is not None:
            self.entries[name] = replace(self.entries[name], draining=True)
            self.write(name)

    def leave(self, name):
        if self.entries[name] is not None and self.entries[name].draining:
            self.entries[name] = None
            self.write(name)

    def start(self, name):
        self.starts += 1
        self.entries[name] = replace(entry(name), started_ms=self.starts)
        self.write(name)

    def copy(self, name):
        self.copies = [*self.copies[-3:], (dict(self.rows), self.version)]

    def restore(self, name):
        if self.copies:
            rows, self.version = self.rng.choice(self.copies)
            self.rows, self.era = dict(rows), self.era + 1
            now = self.clock.monotonic()
            self.write_at = {name: now + self.rng.uniform(0.0, 1.0) for name in self.NAMES}

    def read(self, name):
        """Let the host read the table: its changes, or whole, as after each restore."""
        restored = self.seen is not None and self.seen[0] != self.era
        if restored:
            self.fleet.expect_restored_entries()
        if self.seen is None or restored or self.rng.random() < 0.3:
            self.fleet.replace(row for row, _ in self.rows.values() if row is not None)
        else:
            changed = {key: row for key, (row, ver) in self.rows.items() if ver > self.seen[1]}
            self.fleet.update(changed)
        self.seen = self.era, self.version
        rows = [row for row, _ in self.rows.values() if row is not None]
        self.drained |= {(row.endpoint_id, row.started_ms) for row in rows if row.draining}


class RandomEndpointsTest(unittest.TestCase):
    @params(*range(40))
    def test_a_start_that_was_seen_draining_is_never_used_again(self, seed):
        """Guards against requests to draining endpoints, however restores and reads interleave."""

        async def play():
            endpoints = RandomEndpoints(seed)
            for _ in range(200):
                endpoints.play_step()

        asyncio.run(play())


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
        self.assertEqual(self.standin.era, era_of(found.version))

    async def test_a_store_that_names_no_era_is_of_one_era(self):
        self.standin._reply = reply_without_era
        found = await self.write("row", "x")
        self.assertEqual(Committed(self.standin.version), found)
