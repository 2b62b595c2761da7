"""What endpoints say in their answers: that they leave, and that they want a rest."""

import asyncio
import unittest

from nose2.tools import params

from peridotdock.platform.wire import PlatformWire
from tests.relay.deployment import Deployment
from tests.relay.test_rate_limits import burst
from tests.relay.test_relay import run

TWO_ENGINES = (("e1", ("m0",)), ("e2", ("m0",)))


class HeadTest(unittest.TestCase):
    @params(
        (200, {}, False, 0.0),
        (200, {"server-leaving": "1"}, True, 0.0),
        (200, {"server-leaving": "0"}, False, 0.0),
        (503, {"server-leaving": " 1"}, True, 0.0),
        (503, {"retry-after": "3"}, False, 3.0),
        (503, {"retry-after": "0.25"}, False, 0.25),
        (503, {"retry-after": "-1"}, False, 0.0),
        (503, {"retry-after": "nan"}, False, 0.0),
        (503, {"retry-after": "Wed, 21 Oct 2026 07:28:00 GMT"}, False, 0.0),
        (500, {"retry-after": "3"}, False, 0.0),
    )
    def test_the_head_of_an_answer(self, status, headers, leaving, rest):
        head = PlatformWire().read_answer(status, headers)
        self.assertEqual((leaving, rest), (head.leaving, head.rest))


class LeavingTest(unittest.TestCase):
    """An endpoint says in its answers that it leaves while the store is away, and gets new work."""

    async def check_leaving(self, path, model, service):
        async with Deployment(hosts=2, engines=TWO_ENGINES, pages=("p1", "p2")) as found:
            leaving, other = getattr(found, service).values()
            found.store.faults["down"] = True
            leaving.says = {"server-leaving": "1"}
            await burst(found, path, model, 1.0)
            self.assertTrue(leaving.calls)
            told = asyncio.get_running_loop().time()
            answers = await burst(found, f"{path}later", model, 2.0)
            self.assertEqual(0, sum(at > told for at in leaving.calls))
            self.assertEqual({200}, {status for status, _, _ in answers})
            self.assertGreater(len(other.calls), 30)

    @run
    async def test_a_plain_service_that_said_it_leaves_gets_nothing_new(self):
        await self.check_leaving("/fetch/", "", "pages")

    @run
    async def test_an_engine_that_said_it_leaves_gets_nothing_new(self):
        await self.check_leaving("/recap/", "m0", "engines")
