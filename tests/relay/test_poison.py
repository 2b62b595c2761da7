"""A request that ends each endpoint that begins it, and comes again and again."""

import re
import unittest

from peridotdock.events import Filter
from tests.relay.deployment import Deployment
from tests.relay.test_relay import run

POISON = b"a prompt that no engine survives"
ALL = Filter()
ENGINES = tuple((f"e{number}", ("m0",)) for number in range(8))


def lost_contents(host):
    """Return the contents that a host's lines on broken answers name, by request."""
    lines = [event for event in host.ctx.timeline.select(ALL) if event.name == "send_lost"]
    found = [(line.request, re.search(r"content (\w+), no event", line.detail)) for line in lines]
    return {request: match[1] for request, match in found if match}


class SightTest(unittest.TestCase):
    @run
    async def test_lines_tell_which_attempts_are_the_same_request(self):
        """Operators see engines end, and can't tell which of a hundred requests did it."""
        async with Deployment(engines=ENGINES) as found:
            for runner in found.engines.values():
                runner.fatal = {POISON, b"another"}
            for attempt, body in (("a1", POISON), ("a2", POISON), ("a3", b"another")):
                await found.ask("/once/", attempt, "m0", body=body)
            contents = lost_contents(found.hosts[0])
            self.assertEqual({"a1", "a2", "a3"}, contents.keys())
            self.assertEqual(contents["a1"], contents["a2"])
            self.assertNotEqual(contents["a1"], contents["a3"])
