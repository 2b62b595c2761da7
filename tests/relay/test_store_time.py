"""A host's bounds on the store's clock."""

import asyncio
import time
import unittest

from nose2.tools import params

from peridotdock.clients.platform import Transaction
from peridotdock.clients.store_time import ROUNDING_SECONDS, StoreTime
from peridotdock.metrics import Metrics
from peridotdock.platform.adapter import PlatformAdapter
from peridotdock.relay.settings import parse_address
from tests.fakes import FakeClock
from tests.standins.tables import TableStandin


class BoundsTest(unittest.TestCase):
    def test_nothing_is_known_before_an_answer(self):
        found = StoreTime(FakeClock().monotonic)
        self.assertEqual((None, None), (found.earliest(), found.latest()))

    @params(("at once", 0.0, 0.0), ("a slow answer", 0.4, 0.0), ("some time ago", 0.4, 2.0))
    def test_the_time_is_between_the_bounds_of_the_call(self, name, took, past):
        clock = FakeClock()
        found, sent_at = StoreTime(clock.monotonic), clock.monotonic()
        clock.time += took
        found.record(7000.0, sent_at)
        clock.time += past
        self.assertAlmostEqual(7000.0 + past, found.earliest(), msg=name)
        self.assertAlmostEqual(7000.0 + ROUNDING_SECONDS + took + past, found.latest(), msg=name)


class ClientTest(unittest.TestCase):
    @params("read", "write")
    def test_each_answer_of_the_store_sets_its_time(self, call):
        """Hosts wait too long for the lease of a lost holder if no answer's time is recorded."""

        async def play():
            standin = await TableStandin().start()
            clock = StoreTime(time.monotonic)
            address = parse_address(standin.address)
            client = PlatformAdapter().open_store(address, Metrics(), clock)
            if call == "read":
                await client.read(["leader"])
            else:
                await client.commit(Transaction({"leader": 0}, {"leader": {"term": 1}}))
            self.assertLessEqual(clock.earliest(), time.monotonic())
            self.assertGreaterEqual(clock.latest(), time.monotonic())
            await client.close()
            await standin.stop()

        asyncio.run(play())
