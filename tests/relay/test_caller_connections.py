"""Callers' connections that end while requests on them are read, wait or are answered."""

import unittest

from nose2.tools import params

from tests.kept_connection import KeptConnection, make_request
from tests.relay.deployment import Deployment
from tests.relay.test_relay import run

DEADLINE_MS = 5000
# Seconds within which an endpoint must see that its request's caller has left.
LEFT_SECONDS = 0.5


class PipelineTest(unittest.TestCase):
    """Guards against endpoints that work for callers who have left with requests in a pipeline."""

    @params(
        ("alone", b""),
        ("a whole request behind it", make_request("/bind/x", "second", DEADLINE_MS)),
        ("a part of a head behind it", make_request("/bind/x", "second", DEADLINE_MS)[:-3]),
        (
            "a part of a body behind it",
            make_request("/bind/x", "second", DEADLINE_MS, body=b"x" * 9)[:-3],
        ),
    )
    @run
    async def test_an_endpoint_sees_that_the_caller_has_left(self, name, behind):
        async with Deployment() as found:
            (page,) = found.pages.values()
            page.script = ["silent"]
            conn = await KeptConnection.open(str(found.hosts[0].settings.listen.callers))
            conn.send(make_request("/bind/x", "first", DEADLINE_MS) + behind)
            await found.until(lambda: page.executed == ["first"])
            conn.close()
            await found.until(lambda: page.disconnected == ["first"], LEFT_SECONDS)
            self.assertEqual(["first"], page.executed, name)
