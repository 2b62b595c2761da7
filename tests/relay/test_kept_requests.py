"""What hosts keep of requests that have ended."""

import asyncio
import gc
import unittest

from peridotdock.relay.requests import RelayRequest
from tests.relay.deployment import Deployment
from tests.relay.test_relay import run

REQUESTS = 60
AT_ONCE = 4
BODY = b"x" * 20_000


def count_requests():
    """Return the number of requests that the hosts of this process still hold."""
    gc.collect()
    return sum(isinstance(row, RelayRequest) for row in gc.get_objects())


class KeptRequestsTest(unittest.TestCase):
    """Guards against hosts that run out of memory as connections hold all requests sent on them."""

    @run
    async def test_requests_are_forgotten_while_their_connections_stay_open(self):
        async with Deployment() as found:
            page, before = found.pages["p1"], count_requests()
            for first in range(0, REQUESTS, AT_ONCE):
                names = [f"a{first + number}" for number in range(AT_ONCE)]
                sent = (found.send("/fetch/x", name, body=BODY) for name in names)
                self.assertEqual({200}, {row[0] for row in await asyncio.gather(*sent)})
            self.assertLessEqual(page.connection_count, 4 * AT_ONCE)
            await asyncio.sleep(0.1)
            self.assertLessEqual(count_requests() - before, 0)

    @run
    async def test_an_idle_connection_holds_no_request(self):
        """The request for which a connection was opened is the one that it would hold."""
        async with Deployment() as found:
            before = count_requests()
            await found.send("/fetch/x", "a1", body=BODY)
            await asyncio.sleep(0.1)
            self.assertEqual(0, count_requests() - before)
