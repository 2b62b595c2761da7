"""What connections may hold of heads, trailers and requests ahead, and what stays allowed."""

import asyncio
import unittest
from unittest import mock

from blacksheep import Content, Request, Response
from nose2.tools import params

from peridotdock.input_memory import FREE_BYTES, HeldInput, InputMemory
from peridotdock.mesh import Unproved
from peridotdock.serving import (
    MAX_HEADER_BYTES,
    MORE_HEAD_BYTES,
    IdleConnections,
    Server,
    add_route,
    make_application,
)
from tests.fakes import FakeClock
from tests.kept_connection import KeptConnection
from tests.test_pipelines import run

LIMIT = 100_000
POST = b"POST /echo HTTP/1.1\r\nhost: a\r\n"
CHUNKED = POST + b"transfer-encoding: chunked\r\n\r\n"
ONE_BYTE = b"1\r\nx\r\n"
END = b"0\r\n\r\n"
SHORT_FIELD = b"a:\r\n"
# What a caller may send, that a server allows header fields of this many bytes, and the answer.
ALLOWED = MAX_HEADER_BYTES - 100
SENT = (
    ("a long header field", POST + b"x: " + b"a" * ALLOWED + b"\r\n\r\n", 0, 200),
    ("many short header fields", POST + SHORT_FIELD * (ALLOWED // 4) + b"\r\n", 0, 200),
    ("empty lines before a request", b"\r\n" * 100 + POST + b"\r\n", 0, 200),
    ("a body in chunks of one byte", CHUNKED + ONE_BYTE * 50_000 + END, 0, 200),
    ("trailers", CHUNKED + b"0\r\n" + b"x: a\r\n" * 1000 + b"\r\n", 0, 200),
    ("a longer head where that is allowed", POST + b"x: " + b"a" * 90_000, 100_000, 0),
    ("a header field without end", POST + b"x: " + b"a" * 90_000, 0, 431),
    ("header fields without end", POST + SHORT_FIELD * 20_000, 0, 431),
    ("a path without end", b"GET /" + b"a" * 90_000, 0, 431),
    ("empty lines without end", b"\r\n" * 40_000, 0, 431),
    ("trailers without end", CHUNKED + b"0\r\n" + b"x: a\r\n" * 15_000, 0, 431),
    ("a chunk extension without end", CHUNKED + b"1;" + b"a" * 90_000, 0, 431),
    ("no request", b"\x00" * 100, 0, 400),
)
# Requests ahead of their answers; more of them than are parsed at once.
COUNTS = (1, 16, 17, 40, 400)
# Seconds within which an answer would have come.
NO_ANSWER_SECONDS = 0.3


async def echo_length(request: Request) -> Response:
    body = await request.read() or b""
    return Response(200, None, Content(b"text/plain", b"%d" % len(body)))


class InputTest(unittest.TestCase):
    """Guards against input without end, and against limits that ordinary callers meet."""

    @params(*SENT)
    def test_what_may_be_sent(self, name, sent, max_header_bytes, status):
        self.assertEqual(status, run(self._send(sent, max_header_bytes)))

    async def _send(self, sent, max_header_bytes):
        """Return the status of the answer, 0 if there is none."""
        app = make_application()
        add_route(app, "POST", "/echo", echo_length)
        server = await Server(app, max_header_bytes=lambda: max_header_bytes).start()
        conn = await KeptConnection.open(server.address)
        try:
            conn.send(sent)
            return (await asyncio.wait_for(conn.read_answer(), NO_ANSWER_SECONDS)).status
        except TimeoutError:
            return 0
        finally:
            conn.close()
            await server.stop()

    @params(*COUNTS)
    def test_requests_ahead_are_all_answered_in_order(self, count):
        self.assertEqual([b"%d" % n for n in range(count)], run(self._send_ahead(count)))

    async def _send_ahead(self, count):
        app = make_application()
        add_route(app, "POST", "/echo", echo_length)
        server = await Server(app).start()
        conn = await KeptConnection.open(server.address)
        try:
            rows = [b"%scontent-length: %d\r\n\r\n%s" % (POST, n, b"x" * n) for n in range(count)]
            conn.send(b"".join(rows))
            return [(await conn.read_answer()).body for _ in range(count)]
        finally:
            conn.close()
            await server.stop()

    def test_the_limit_leaves_room_for_what_is_always_allowed(self):
        server = Server(make_application())
        self.assertEqual(MAX_HEADER_BYTES + MORE_HEAD_BYTES, server._max_head_bytes())
        run(server.stop())


class InputMemoryTest(unittest.TestCase):
    """Guards against many connections that hold a little each."""

    def setUp(self):
        self.memory = InputMemory(FakeClock(), LIMIT)
        self.ended = []

    def add(self, name, size):
        held = HeldInput(self.memory, lambda: self.ended.append(name))
        held.add(FREE_BYTES + size)
        return held

    @params(
        ("all together hold no more than may be held", (50_000, 50_000), []),
        ("the one that holds the most is ended", (60_000, 50_000), [0]),
        ("also if others ask for more", (10_000, 70_000, 10_000, 20_000), [1]),
        ("one alone may not hold more either", (100_001,), [0]),
        ("ordinary heads don't count", (-1000,) * 1000, []),
    )
    def test_who_is_ended(self, name, sizes, ended):
        for number, size in enumerate(sizes):
            self.add(number, size)
        self.assertEqual(ended, self.ended, name)
        self.assertLessEqual(self.memory.held_bytes, LIMIT)

    def test_what_is_released_counts_no_more(self):
        for number in range(10):
            held = self.add(number, 50_000)
            held.add(-20_000)
            held.release()
        self.assertEqual(([], 0), (self.ended, self.memory.held_bytes))


class ConnectionCountTest(unittest.TestCase):
    """Guards against idle connections that leave no descriptor for others."""

    @params(
        ("room for all", 3, [], []),
        ("the longest idle one ends", 2, [], [0]),
        ("one with a request under way stays", 2, [0], [1]),
        ("a new one ends if none is idle", 2, [0, 1], [2]),
    )
    def test_who_is_ended(self, name, limit, busy, ended):
        idle = IdleConnections(limit)
        rows = [mock.Mock() for _ in range(3)]
        for number, row in enumerate(rows[:2]):
            idle.add_new(row, number + 1)
        for number in busy:
            idle.remove(rows[number])
        idle.add_new(rows[2], 3)
        found = [number for number, row in enumerate(rows) if row.transport.abort.called]
        self.assertEqual(ended, found, name)

    def test_those_who_are_no_hosts_end_first_to_last(self):
        unproved, rows = Unproved(2), [mock.Mock() for _ in range(4)]
        for row in rows[:2]:
            unproved.add(row)
        unproved.remove(rows[0])
        for row in rows[2:]:
            unproved.add(row)
        self.assertEqual([False, True, False, False], [r.transport.abort.called for r in rows])
