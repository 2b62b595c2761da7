"""A request that ends each endpoint that begins it, and comes again and again."""

import asyncio
import re
import unittest

from peridotdock.events import Filter
from tests.relay.deployment import Deployment
from tests.relay.test_relay import run

POISON = b"a prompt that no engine survives"
ALL = Filter()
# Seconds after which one host's word has reached the others.
TOLD_SECONDS = 0.3
ENGINES = tuple((f"e{number}", ("m0",)) for number in range(8))


def spoil(found):
    """Let the request end each engine; return what tells which have ended."""
    for runner in found.engines.values():
        runner.fatal = {POISON}
    return lambda: [name for name, runner in found.engines.items() if runner.ended]


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


class ManyHostsTest(unittest.TestCase):
    """Streams of all callers break off each second or two, for half a minute.

    One request ends each engine that begins it. Its caller repeats it, each time under another id
    and at another host. Within an attempt a host avoids the engines that it has tried; the next
    attempt starts with a clean slate, so the next engine gets it.
    """

    @run
    async def test_it_reaches_no_engine_after_the_third(self):
        async with Deployment(hosts=2, engines=ENGINES) as found:
            ended = spoil(found)
            for number in range(6):
                await found.ask("/recap/", f"bad{number}", "m0", to=number % 2, body=POISON)
                await asyncio.sleep(TOLD_SECONDS)
            self.assertEqual(3, len(ended()), ended())
            status, headers, _ = await found.ask("/recap/", "bad", "m0", body=POISON)
            self.assertEqual(503, status)
            self.assertGreater(float(headers["retry-after"]), 1.0)
            status, _, _ = await found.ask("/recap/", "good", "m0", body=b"another prompt")
            self.assertEqual(200, status)

    @run
    async def test_it_is_known_after_all_hosts_have_lost_power(self):
        """The same begins anew when all hosts were replaced: none of them keeps anything."""
        async with Deployment(hosts=2, engines=ENGINES) as found:
            ended = spoil(found)
            for number in range(3):
                await found.ask("/recap/", f"bad{number}", "m0", to=number % 2, body=POISON)
                await asyncio.sleep(TOLD_SECONDS)
            await found.replace_hosts()
            before = ended()
            for number in range(3):
                await found.ask("/recap/", f"new{number}", "m0", to=number % 2, body=POISON)
            self.assertEqual(before, ended())
