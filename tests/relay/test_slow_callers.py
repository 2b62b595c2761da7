"""What a host holds for callers that read their answers slowly."""

import asyncio
import unittest

from nose2.tools import params

from peridotdock.clients.answer_memory import (
    FREE_BYTES,
    MAX_UNFINISHED_BYTES,
    WAIT_SECONDS,
    AnswerMemory,
    make_host_memory,
)
from tests.kept_connection import KeptConnection, make_request
from tests.relay.deployment import Deployment
from tests.relay.test_relay import run

ANSWER_BYTES = 4 * 1024 * 1024
SLOW_RATE = ANSWER_BYTES / 2
CALLERS = 3


def hold(memory, size):
    """Hold a whole answer; return what stands for it."""
    held = memory.begin(lambda: None)
    held.set_size(size)
    kept = held.keep()
    held.release()
    return kept


class KeptAnswerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against hosts that pass their memory as whole answers wait for slow callers."""

    async def test_an_answer_waits_until_one_before_it_is_sent(self):
        memory = AnswerMemory(limit=3 * FREE_BYTES, reservable=2 * FREE_BYTES)
        kept = hold(memory, 2 * FREE_BYTES)
        self.assertEqual(2 * FREE_BYTES, memory.held_bytes)
        waiting = asyncio.ensure_future(memory.begin(self.fail).reserve(2 * FREE_BYTES))
        await asyncio.sleep(1.5 * WAIT_SECONDS)
        self.assertFalse(waiting.done())
        del kept
        await asyncio.wait_for(waiting, WAIT_SECONDS)

    async def test_an_unfinished_answer_is_given_up_before_a_whole_one(self):
        memory, given_up = AnswerMemory(limit=3 * FREE_BYTES), []
        kept = hold(memory, 2 * FREE_BYTES)
        other = memory.begin(lambda: given_up.append("unfinished"))
        self.assertFalse(other.set_size(4 * FREE_BYTES))
        self.assertEqual(["unfinished"], given_up)
        self.assertIsNotNone(kept)
        self.assertEqual(2 * FREE_BYTES, memory.held_bytes)

    async def test_a_short_answer_is_not_counted(self):
        memory = AnswerMemory()
        self.assertIsNone(hold(memory, FREE_BYTES))
        self.assertEqual(0, memory.held_bytes)

    @params((150, 24_000_000), (200, 54_000_000), (300, MAX_UNFINISHED_BYTES), (50, 8 * 1024**2))
    def test_the_bound_follows_from_the_memory_of_the_host(self, megabytes, expected):
        self.assertEqual(expected, make_host_memory(megabytes * 1_000_000)._limit)

    async def test_an_overdue_answer_is_cut_before_an_unfinished_one(self):
        memory, cut = AnswerMemory(limit=5 * FREE_BYTES, reservable=4 * FREE_BYTES), []
        kept = hold(memory, 2 * FREE_BYTES)
        kept.cut = lambda: cut.append("overdue")
        await memory.begin(self.fail).reserve(2 * FREE_BYTES)
        waiting = asyncio.ensure_future(memory.begin(self.fail).reserve(2 * FREE_BYTES))
        kept.overdue = lambda: True
        await asyncio.wait_for(waiting, 2 * WAIT_SECONDS)
        self.assertEqual(["overdue"], cut)

    @run
    async def test_callers_that_stop_reading_do_not_hold_up_others_after_their_deadline(self):
        async with Deployment() as found:
            found.pages["p1"].page = b"x" * ANSWER_BYTES
            host = found.hosts[0]
            host.answer_memory._reservable = 2 * ANSWER_BYTES
            address = str(host.settings.listen.callers)
            stopped = [await KeptConnection.open(address) for _ in range(2)]
            for number, conn in enumerate(stopped):
                conn.stop_reading()
                conn.send(make_request("/fetch/x", f"s{number}", 1500))
            await found.until(lambda: host.answer_memory.held_bytes == 2 * ANSWER_BYTES)
            conn = await KeptConnection.open(address)
            conn.send(make_request("/fetch/x", "a", 6000))
            answer = await conn.read_answer()
            self.assertEqual((200, ANSWER_BYTES), (answer.status, len(answer.body)))
            await found.until(lambda: host.answer_memory.held_bytes <= ANSWER_BYTES)
            for row in (conn, *stopped):
                row.close()

    @run
    async def test_an_answer_counts_until_its_caller_has_read_it(self):
        async with Deployment() as found:
            found.pages["p1"].page = b"x" * ANSWER_BYTES
            host = found.hosts[0]
            callers = []
            for number in range(CALLERS):
                address = str(host.settings.listen.callers)
                conn = await KeptConnection.open(address, SLOW_RATE)
                conn.send(make_request("/fetch/x", f"a{number}", 6000))
                callers.append(asyncio.ensure_future(conn.read_answer()))
            await found.until(lambda: host.answer_memory.held_bytes >= CALLERS * ANSWER_BYTES)
            await asyncio.sleep(0.2)
            self.assertGreaterEqual(host.answer_memory.held_bytes, CALLERS * ANSWER_BYTES)
            answers = await asyncio.gather(*callers)
            self.assertEqual({(True, ANSWER_BYTES)}, {(a.whole, len(a.body)) for a in answers})
            self.assertEqual({str(ANSWER_BYTES)}, {a.headers["content-length"] for a in answers})
            await found.until(lambda: host.answer_memory.held_bytes == 0)
