"""The platform client: one contract for the fake and the HTTP adapter, and their faults."""

import asyncio
import unittest

from nose2.tools import params

from peridotdock import claims
from peridotdock.clients.platform import (
    Committed,
    HttpPlatform,
    Transaction,
    commit_and_resolve,
)
from peridotdock.errors import Kind, failed
from peridotdock.keys import KeyTable
from peridotdock.leases import HostLease, LeaseTable
from tests.fakes import FakeClock, FakePlatform
from tests.standins.platform import PlatformStandin


class Contract:
    """Tests that every platform client must pass; run for each subclass."""

    async def test_a_write_is_read_back(self):
        await self.platform.commit(Transaction({"a": 0}, {"a": {"n": 1}}))
        rows = await self.platform.read(["a", "b"])
        self.assertEqual(list(rows), ["a"])
        self.assertEqual(rows["a"].value["n"], 1)

    async def test_a_transaction_is_all_or_nothing(self):
        first = await self.platform.commit(Transaction({"a": 0}, {"a": {"n": 1}}))
        tx = Transaction({"a": first.version + 5, "b": 0}, {"a": {"n": 2}, "b": {"n": 2}})
        outcome = await self.platform.commit(tx)
        self.assertEqual(outcome.kind, Kind.CONFLICT)
        rows = await self.platform.read(["a", "b"])
        self.assertEqual({key: row.value["n"] for key, row in rows.items()}, {"a": 1})

    async def test_a_version_is_never_used_twice(self):
        seen = set()
        for _ in range(3):
            made = await self.platform.commit(Transaction({"a": 0}, {"a": {"n": 1}}))
            self.assertNotIn(made.version, seen)
            seen.add(made.version)
            await self.platform.commit(Transaction({"a": made.version}, {"a": None}))

    async def test_scan_gives_a_prefix(self):
        for key in ("x/1", "x/2", "y/1"):
            await self.platform.commit(Transaction({key: 0}, {key: {}}))
        self.assertEqual(sorted(await self.platform.scan("x/")), ["x/1", "x/2"])

    async def test_objects(self):
        self.assertIsNone(await self.platform.get_object("none"))
        await self.platform.put_object("some/name", b"\x00body")
        self.assertEqual(await self.platform.get_object("some/name"), b"\x00body")

    async def test_of_two_inserts_one_wins(self):
        txs = [Transaction({"a": 0}, {"a": {"n": n}}) for n in range(2)]
        outcomes = await asyncio.gather(*(commit_and_resolve(self.platform, tx) for tx in txs))
        self.assertEqual(sum(not failed(outcome) for outcome in outcomes), 1)


class FakeContract(Contract, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = FakePlatform()


class HttpContract(Contract, unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = await PlatformStandin().start()
        self.platform = HttpPlatform(self.standin.url, timeout=0.2)

    async def asyncTearDown(self):
        await self.platform.close()
        await self.standin.stop()

    async def test_down_is_not_done(self):
        self.standin.faults["down"] = True
        outcome = await self.platform.commit(Transaction({"a": 0}, {"a": {}}))
        self.assertEqual(outcome.kind, Kind.PLATFORM_DOWN)
        self.assertEqual(self.standin.rows, {})

    async def test_silence_is_unknown_and_a_new_connection_is_taken_after_it(self):
        """
        The platform stops answering on an open connection. The write's outcome is unknown, and
        later calls must not reuse the dead connections.
        """
        self.standin.faults["hang"] = True
        outcome = await self.platform.commit(Transaction({"a": 0}, {"a": {}}))
        self.assertEqual(outcome.kind, Kind.OUTCOME_UNKNOWN)
        self.standin.faults["hang"] = False
        self.assertEqual(await self.platform.read(["a"]), {})

    async def test_a_refused_connection_is_not_done(self):
        unreachable = HttpPlatform("http://127.0.0.1:9", timeout=0.2)
        outcome = await unreachable.commit(Transaction({"a": 0}, {"a": {}}))
        self.assertEqual(outcome.kind, Kind.PLATFORM_DOWN)
        await unreachable.close()

    async def test_the_outcome_of_a_lost_answer_is_found(self):
        self.standin.faults["lose"] = 1
        outcome = await commit_and_resolve(self.platform, Transaction({"a": 0}, {"a": {}}))
        self.assertIsInstance(outcome, Committed)


class LostAnswers(unittest.TestCase):
    """The outcome of ``commit_and_resolve`` is right after each short series of faults."""

    @params(
        (["ok"], Committed),
        (["lost"], Committed),
        (["late"], Committed),
        (["lost", "lost"], Committed),
        (["late", "lost"], Committed),
        (["lost", "down"], Committed),
        (["late", "down"], Committed),
        (["down"], Kind.PLATFORM_DOWN),
        (["late", "late", "late", "late"], Kind.OUTCOME_UNKNOWN),
        (["lost", "down", "down", "down"], Kind.OUTCOME_UNKNOWN),
    )
    def test_series(self, faults, expected):
        platform = FakePlatform()
        platform.faults = list(faults)
        outcome = asyncio.run(commit_and_resolve(platform, Transaction({"a": 0}, {"a": {"n": 1}})))
        self.assertEqual(outcome.kind if failed(outcome) else type(outcome), expected)

    def test_a_late_write_after_a_confirmed_one_does_nothing(self):
        platform = FakePlatform()
        platform.faults = ["late"]
        asyncio.run(commit_and_resolve(platform, Transaction({"a": 0}, {"a": {"n": 1}})))
        before = platform.rows["a"].version
        self.assertTrue(all(failed(outcome) for outcome in platform.apply_delayed()))
        self.assertEqual(platform.rows["a"].version, before)


class Leases(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.platform = FakePlatform()
        self.lease = HostLease("h0", "h0-life1", 6.0, self.clock)
        self.lease_table = LeaseTable(6.0, self.clock)

    async def update_leases(self):
        self.lease_table.update(await self.platform.scan("hosts/"), self.platform.era.current)

    async def test_a_lease_counts_from_before_the_renewal_was_sent(self):
        """
        The answer to a renewal takes 5 s. A holder that counts its lease from the answer would
        still act when other hosts may already have taken over.
        """

        async def slow_commit(tx):
            self.clock.advance(5.0)
            return await FakePlatform.commit(self.platform, tx)

        self.platform.commit = slow_commit
        await self.lease.renew(self.platform)
        self.assertTrue(self.lease.valid())
        self.clock.advance(1.5)
        self.assertFalse(self.lease.valid())

    async def test_a_lease_lapses_for_its_holder_first(self):
        await self.lease.renew(self.platform)
        await self.update_leases()
        for _ in range(100):
            self.clock.advance(0.1)
            if self.lease_table.prove_lapsed("h0-life1") is not None:
                self.assertFalse(self.lease.valid())
                return
        self.fail("never lapsed")

    async def test_a_renewal_between_read_and_write_stops_a_take_over(self):
        """
        A paused holder resumes and renews its lease just before another host takes over. The
        take-over was decided on the old row, so its transaction must fail.
        """
        await self.lease.renew(self.platform)
        await self.update_leases()
        self.clock.advance(10)
        checks = self.lease_table.prove_lapsed("h0-life1")
        self.assertIsNotNone(checks)
        await self.lease.renew(self.platform)
        outcome = await self.platform.commit(Transaction(checks, {"ledger/e0": {}}))
        self.assertEqual(outcome.kind, Kind.CONFLICT)

    async def test_an_earlier_incarnation_of_a_host_is_over_at_once(self):
        await HostLease("h0", "h0-life2", 6.0, self.clock).renew(self.platform)
        await self.update_leases()
        self.assertIsNotNone(self.lease_table.prove_lapsed("h0-life1"))
        self.assertIsNone(self.lease_table.prove_lapsed("h0-life2"))

    async def test_a_lease_that_a_restored_platform_lacks_has_not_lapsed_at_once(self):
        """Guards against two controllers of one engine after the platform lost a lease's row."""
        await self.update_leases()
        copy = self.platform.copy()
        await self.lease.renew(self.platform)
        await self.update_leases()
        self.platform.restore(copy)
        await self.update_leases()
        self.assertIsNone(self.lease_table.prove_lapsed("h0-life1"))
        self.clock.advance(6.0)
        self.assertFalse(self.lease.valid())
        self.clock.advance(6.0)
        self.assertIsNotNone(self.lease_table.prove_lapsed("h0-life1"))

    async def test_a_host_that_starts_after_a_restore_waits_for_a_missing_lease(self):
        """Guards against two controllers of one engine: one saw the lost lease, one starts now."""
        copy = self.platform.copy()
        await self.lease.renew(self.platform)
        self.platform.restore(copy)
        await self.update_leases()
        self.assertIsNone(self.lease_table.prove_lapsed("h0-life1"))
        self.clock.advance(12.0)
        self.assertIsNotNone(self.lease_table.prove_lapsed("h0-life1"))

    async def test_lost_leases_have_lapsed_some_time_after_a_restore(self):
        await self.update_leases()
        self.assertEqual(float("inf"), self.lease_table.seconds_after_lost(0))
        self.platform.restore(self.platform.copy())
        self.assertEqual(-9.0, self.lease_table.seconds_after_lost(1))
        await self.update_leases()
        self.assertEqual(-9.0, self.lease_table.seconds_after_lost(1))
        self.clock.advance(10.0)
        self.assertEqual(1.0, self.lease_table.seconds_after_lost(1))

    async def test_a_lease_is_renewed_after_a_restore(self):
        copy = self.platform.copy()
        await self.lease.renew(self.platform)
        self.platform.restore(copy)
        for _ in range(2):
            self.clock.advance(2.0)
            await self.lease.renew(self.platform)
            self.assertTrue(self.lease.valid())
        self.assertIn("hosts/h0", self.platform.rows)

    async def test_nothing_has_lapsed_before_the_first_read(self):
        self.assertIsNone(self.lease_table.prove_lapsed("h9-life1"))

    async def test_a_released_lease_has_lapsed_at_once(self):
        await self.lease.renew(self.platform)
        await self.lease.release(self.platform)
        await self.update_leases()
        self.assertIsNotNone(self.lease_table.prove_lapsed("h0-life1"))
        self.assertFalse(self.lease.valid())


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    # Longer than the time in which a lease of 6 s lapses.
    SETTLE_SECONDS = 9.5

    def setUp(self):
        self.platform, self.clock = FakePlatform(), FakeClock()
        self.lease_table = LeaseTable(6.0, self.clock)
        self.hosts = {name: self.start(name) for name in ("h0", "h1")}

    def start(self, name):
        table = KeyTable(f"{name}-" + "a" * 16, self.clock, 10)
        return claims.Claims(self.platform, table, name, self.clock, self.lease_table)

    async def find(self, name, key="key", at=0.0):
        """Return the owner's incarnation, or None if the request must not run."""
        self.lease_table.update({}, self.platform.era.current)
        found = await self.hosts[name].find_owner("c", key, at)
        if failed(found):
            self.assertEqual((Kind.PLATFORM_DOWN, False), (found.kind, found.may_have_run))
            self.assertGreater(found.retry_after, 0.0)
            return None
        return found.incarnation

    async def test_only_claims_older_than_a_day_are_removed(self):
        for key, at in (("old", 0.0), ("new", claims.CLAIM_RETENTION_SECONDS)):
            await self.find("h0", key, at)
        now = claims.CLAIM_RETENTION_SECONDS + 1
        self.assertEqual(await claims.sweep(self.platform, now), 1)
        self.assertEqual(list(self.platform.rows), [claims.claim_row_key("c", "new")])

    @params(["ok"], ["lost"], ["late"], ["late", "lost"])
    def test_two_hosts_agree_on_one_owner(self, *faults):
        self.platform.faults = list(faults)

        async def both():
            return [await self.find(name) for name in ("h0", "h1")]

        found = asyncio.run(both())
        self.assertEqual(1, len(set(found)))
        self.assertIsNotNone(found[0])

    async def lose_claim(self):
        """Let h0 claim the key, and restore the platform from before."""
        copy = self.platform.copy()
        self.assertEqual("h0", await self.find("h0"))
        self.platform.restore(copy)

    async def test_a_claim_that_a_restored_platform_lacks_is_written_again(self):
        """Guards against a request that runs twice under one key after a restore."""
        await self.lose_claim()
        self.assertIsNone(await self.find("h1"))
        self.clock.advance(1.0)
        self.hosts["h0"].expect_lost()
        self.assertEqual(1, await self.hosts["h0"].write_again())
        self.assertEqual("h0", await self.find("h1"))
        self.clock.advance(self.SETTLE_SECONDS)
        self.assertEqual("h0", await self.find("h1"))
        self.assertEqual(0, await self.hosts["h0"].write_again())

    async def test_a_host_that_starts_after_a_restore_claims_nothing_at_once(self):
        """Guards against a request that runs twice: the new host has seen no other era."""
        await self.lose_claim()
        self.lease_table = LeaseTable(6.0, self.clock)
        self.hosts["h2"] = self.start("h2")
        self.assertIsNone(await self.find("h2"))
        self.clock.advance(self.SETTLE_SECONDS)
        self.assertEqual("h2", await self.find("h2", "another key"))

    async def test_writing_again_is_retried_while_the_platform_is_down(self):
        await self.lose_claim()
        self.hosts["h0"].expect_lost()
        self.platform.down = True
        self.assertEqual(0, await self.hosts["h0"].write_again())
        self.platform.down = False
        self.assertEqual(1, await self.hosts["h0"].write_again())

    async def test_a_claim_made_while_the_platform_is_restored_is_withdrawn(self):
        """Guards against a second owner that did not know of the restore as it claimed the key.

        Its claim stays in the table where the withdrawal fails; it must not run the key then.
        """
        await self.lose_claim()
        copy, commit = self.platform.copy(), self.platform.commit
        self.clock.advance(self.SETTLE_SECONDS)
        await self.find("h1", "another key")
        self.clock.advance(self.SETTLE_SECONDS)

        async def restore_and_commit(tx):
            self.platform.commit = commit
            self.platform.restore(copy)
            self.platform.faults = ["ok", "down"]
            return await commit(tx)

        self.platform.commit = restore_and_commit
        self.assertIsNone(await self.find("h1"))
        self.assertIn(claims.claim_row_key("c", "key"), self.platform.rows)
        self.platform.faults = ["down"]
        self.assertIsNone(await self.find("h1"))
        self.assertIsNone(await self.find("h1"))
        self.assertNotIn(claims.claim_row_key("c", "key"), self.platform.rows)
