"""What a host holds of requests whose bodies arrive slowly."""

import asyncio
import tracemalloc
import unittest
from itertools import product

from nose2.tools import params

from peridotdock.body_memory import FREE_BYTES, WAIT_SECONDS, BodyMemory, make_body_memory
from peridotdock.clock import SystemClock
from peridotdock.errors import Kind, failed
from tests.fakes import FakeClock
from tests.kept_connection import KeptConnection, make_request
from tests.relay.deployment import Deployment
from tests.relay.test_relay import run

MEBIBYTE = 1024 * 1024
MIDDLE = 0.5


def make_memory(limit, clock=None):
    return BodyMemory(clock or SystemClock(), lambda: MIDDLE, limit)


class BodyMemoryTest(unittest.IsolatedAsyncioTestCase):
    """Guards against hosts that pass their memory as callers send long bodies at a time."""

    async def test_a_body_waits_until_one_before_it_is_answered(self):
        memory = make_memory(2 * FREE_BYTES)
        first, second = memory.begin(), memory.begin()
        self.assertIsNone(await first.add(bytes(3 * FREE_BYTES)))
        first.take()
        waiting = asyncio.ensure_future(second.add(bytes(2 * FREE_BYTES)))
        await asyncio.sleep(WAIT_SECONDS / 4)
        self.assertFalse(waiting.done())
        first.release()
        self.assertIsNone(await waiting)
        self.assertEqual(FREE_BYTES, memory.held_bytes)

    async def test_the_body_that_arrives_slowest_is_given_up(self):
        clock = FakeClock()
        memory = make_memory(2 * FREE_BYTES, clock)
        slow = memory.begin()
        self.assertIsNone(await slow.add(bytes(3 * FREE_BYTES)))
        clock.advance(1.0)
        other = memory.begin()
        self.assertIsNone(await other.add(bytes(3 * FREE_BYTES)))
        self.assertEqual([], slow.parts)
        refusal = await slow.add(b"x")
        self.assertEqual(Kind.HOST_BEHIND, refusal.kind)
        self.assertFalse(refusal.may_have_run)
        self.assertEqual(2 * FREE_BYTES, memory.held_bytes)

    async def test_a_body_is_refused_while_whole_ones_take_all_room(self):
        memory = make_memory(2 * FREE_BYTES)
        first, second = memory.begin(), memory.begin()
        self.assertIsNone(await first.add(bytes(3 * FREE_BYTES)))
        body = first.take()
        self.assertTrue(failed(await second.add(bytes(3 * FREE_BYTES))))
        self.assertEqual(3 * FREE_BYTES, len(body))
        first.release()
        self.assertEqual(0, memory.held_bytes)

    async def test_short_bodies_and_one_alone_are_never_in_the_way(self):
        memory = make_memory(FREE_BYTES)
        long = memory.begin()
        self.assertIsNone(await long.add(bytes(8 * FREE_BYTES)))
        for _ in range(3):
            self.assertIsNone(await memory.begin().add(bytes(FREE_BYTES)))

    @params((150, 10_000_000), (200, 22_500_000), (1000, 64 * MEBIBYTE), (50, 8 * MEBIBYTE))
    def test_the_bound_follows_from_the_memory_of_the_host(self, megabytes, expected):
        memory = make_body_memory(SystemClock(), lambda: MIDDLE, megabytes * 1_000_000)
        self.assertEqual(expected, memory._limit)


class HeldBodyTest(unittest.TestCase):
    @params(*product((False, True), (0, 1, FREE_BYTES)))
    @run
    async def test_requests_that_take_no_room_do_not_wait_for_it(self, arrived, size):
        """Guards against refusals of requests without a body while one long body is held."""
        memory = make_memory(FREE_BYTES)
        long, short = memory.begin(), memory.begin()
        self.assertIsNone(await long.add(bytes(8 * FREE_BYTES)))
        if arrived:
            long.take()
        async with asyncio.timeout(WAIT_SECONDS / 4):
            self.assertIsNone(await short.add(bytes(size)))
        self.assertFalse(long.given_up)


class ArrivingTest(unittest.TestCase):
    """Guards against callers that stop in the middle of long bodies, which a host keeps."""

    CALLERS = 12
    SENT = MEBIBYTE
    # Buffers of a connection beside the account.
    SLACK = CALLERS * 3 * FREE_BYTES

    @run
    async def test_bodies_that_stop_arriving_are_given_up_for_others(self):
        async with Deployment() as found:
            host = found.hosts[0]
            host.server.bodies._limit = limit = 3 * MEBIBYTE
            address = str(host.settings.listen.callers)
            stopped = [await KeptConnection.open(address) for _ in range(self.CALLERS)]
            tracemalloc.start()
            before = tracemalloc.get_traced_memory()[0]
            for number, conn in enumerate(stopped):
                length = str(4 * MEBIBYTE)
                head = make_request("/fetch/x", f"s{number}", 5000, content_length=length)
                conn.send(head + bytes(self.SENT))
            await asyncio.sleep(self.CALLERS * WAIT_SECONDS)
            held = tracemalloc.get_traced_memory()[0] - before
            tracemalloc.stop()
            conn = await KeptConnection.open(address)
            conn.send(make_request("/fetch/x", "whole", 5000, body=bytes(MEBIBYTE)))
            answer = await conn.read_answer()
            self.assertEqual(200, answer.status)
            self.assertEqual(
                ["whole"], [row for page in found.pages.values() for row in page.executed]
            )
            self.assertLess(held, limit + self.SLACK)
            for row in (conn, *stopped):
                row.close()
            await found.until(lambda: host.server.bodies.held_bytes == 0)
