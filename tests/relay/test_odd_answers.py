"""Tests that answers of the store with odd numbers or shapes count as failed calls."""

import asyncio
import json
import unittest

from nose2.tools import params

from peridotdock.clients.platform import Transaction
from peridotdock.clients.versions import parse_era
from peridotdock.errors import failed
from tests.relay.deployment import Deployment
from tests.relay.test_endless import Talker, open_table_store
from tests.relay.test_entries import DEEP, DEEP_OBJECTS, ODD_NUMBERS, spliced, used

MB = 1024 * 1024
ROW = {"table": "servers", "part": "", "key": "e1", "value": "e30=", "ver": 4}
ANSWER = {"rows": [ROW], "ver": 7, "now_ms": 3, "has_more": False}
CALLS = {
    "read_table": lambda store: store.read_table("servers"),
    "follow": lambda store: store.follow("servers", 3, 0.2, 1.0),
    "scan": lambda store: store.scan(""),
    "commit": lambda store: store.commit(Transaction({}, {"a": {}})),
}
# Calls of which the answer's time counts; that of a call that is held does not.
TIMED_CALLS = ("read_table", "scan", "commit")
# Those that can be read as JSON: else the whole answer can't.
UNREADABLE_NUMBERS = ("infinite", "not a number", "beyond the digits that are read")
ODD_TIMES = [text for name, text in ODD_NUMBERS.items() if name not in UNREADABLE_NUMBERS]
SHAPES = (DEEP, DEEP_OBJECTS, "[]", "null", "7", '"x"', "{}", "{")


def odd_answers():
    numbers = [spliced(ANSWER, "ver", text) for text in (*ODD_NUMBERS.values(), str(2**48), "-1")]
    bodies = [*numbers, *(text.encode() for text in SHAPES)]
    return [(call, body) for call in CALLS for body in bodies]


async def call_store(call, body, era="0"):
    """Return what a call of the store gives if it is answered with this body and era."""
    head = f"HTTP/1.1 200 OK\r\nstore-era: {era}\r\ncontent-length: {len(body)}\r\n\r\n"
    async with Talker(head.encode(), body, repeat=1) as talker:
        store = open_table_store(talker)
        try:
            return await CALLS[call](store), store
        finally:
            await store.close()


class OddAnswersTest(unittest.TestCase):
    @params(*odd_answers())
    def test_an_odd_answer_is_a_failed_call(self, call, body):
        """Guards against a host whose jobs end as an answer of the store has an odd number.

        Or that takes the number for the newest version, and every later answer for an older one.
        """
        found, _ = asyncio.run(call_store(call, body))
        self.assertTrue(failed(found), found)

    @params(*CALLS)
    def test_a_sound_answer_is_taken(self, call):
        found, _ = asyncio.run(call_store(call, json.dumps(ANSWER).encode()))
        self.assertFalse(failed(found), found)

    @params(*((call, text) for call in TIMED_CALLS for text in ODD_TIMES))
    def test_an_odd_time_of_the_store_is_left_out(self, call, text):
        found, store = asyncio.run(call_store(call, spliced(ANSWER, "now_ms", text)))
        self.assertFalse(failed(found), found)
        self.assertIsNone(store._time.earliest())

    @params(None, "", "x", "-1", "1.5", "\u0661", "1" + "0" * 400, "9" * 5000, str(2**31))
    def test_an_odd_era_is_none(self, text):
        """Guards against all later answers taken for those of an earlier era."""
        self.assertIsNone(parse_era(text))

    @params("0", "7", str(2**31 - 1))
    def test_an_era_is_read(self, text):
        self.assertEqual(int(text), parse_era(text))


class LargeChangeTest(unittest.TestCase):
    def test_changes_too_large_for_one_answer_are_followed(self):
        """Guards against a host that never sees a change again after one with too many bytes.

        Each call for the changes since was answered with all of them again, and given up.
        """

        async def play():
            async with Deployment(engines=(("e1", ("m0",)), ("e2", ("m0",)))) as found:
                host, late = found.hosts[0], found.engines["e2"]
                found.store.remove("servers", "e2")
                await found.until(lambda: used(host) == ["e1"], 3.0)
                for place in range(6):
                    found.store.put("servers", f"odd{place}", b"x" * (2 * MB))
                late.on_change()
                await found.until(lambda: used(host) == ["e1", "e2"], 5.0)

        asyncio.run(play())
