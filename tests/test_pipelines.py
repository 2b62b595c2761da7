"""Tests of requests that are under way while others wait behind them on the same connection."""

import asyncio
import unittest

from blacksheep import Content, Request, Response
from nose2.tools import params

from peridotdock.loop_iterations import MeasuredLoop
from peridotdock.relay.caller import CallerConnection
from peridotdock.serving import Server, add_route, make_application
from tests.kept_connection import KeptConnection, make_request

TIMEOUT_SECONDS = 10
# Seconds within which a host notices that a caller has left.
NOTICED_SECONDS = 0.5
ANSWER_SECONDS = 0.2
# The head of a request whose body is sent in chunks, and that is followed by bytes that are none.
BROKEN_BODY = b"POST /slow HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\n"


class SlowServer:
    """A server whose requests take a moment, and that records those whose callers leave."""

    def __init__(self):
        self.begun = asyncio.Event()
        self.left = asyncio.Event()

    async def start(self):
        app = make_application()
        add_route(app, "POST", "/wait", self._wait)
        add_route(app, "POST", "/slow", self._answer_slowly)
        return await Server(app).start()

    async def _wait(self, request: Request) -> Response:
        await request.read()
        self.begun.set()
        await CallerConnection(request.scope["receive"]).disconnected
        self.left.set()
        return Response(204)

    async def _answer_slowly(self, request: Request) -> Response:
        await request.read()
        await asyncio.sleep(ANSWER_SECONDS)
        return Response(200, None, Content(b"text/plain", b"served"))


def run(work):
    with asyncio.Runner(loop_factory=MeasuredLoop) as runner:
        return runner.run(asyncio.wait_for(work, TIMEOUT_SECONDS))


class LeavingTest(unittest.TestCase):
    """Guards against endpoints that go on working for a caller that has left its pipeline."""

    @params(("alone", 0), ("one waits behind", 1), ("several wait behind", 5))
    def test_the_request_under_way_sees_that_its_caller_left(self, name, count):
        async def play():
            slow = SlowServer()
            server = await slow.start()
            conn = await KeptConnection.open(server.address)
            conn.send(b"".join(make_request("/wait", f"a{n}", 1000) for n in range(count + 1)))
            await slow.begun.wait()
            conn.close()
            try:
                async with asyncio.timeout(NOTICED_SECONDS):
                    await slow.left.wait()
                return True
            except TimeoutError:
                return False
            finally:
                await server.stop()

        self.assertTrue(run(play()), name)


class InvalidTest(unittest.TestCase):
    """Guards against an error that reaches the caller in place of the answer before it."""

    @params(
        ("a request", [], 1),
        ("a pipeline", [], 3),
        ("a pipeline, in a body", [BROKEN_BODY], 2),
        ("nothing, in a body", [BROKEN_BODY], 0),
        ("nothing", [], 0),
    )
    def test_bytes_that_are_no_request_are_answered_last(self, name, broken, count):
        async def play():
            server = await SlowServer().start()
            conn = await KeptConnection.open(server.address)
            raw = [make_request("/slow", f"a{n}", 1000) for n in range(count)]
            conn.send(b"".join([*raw, *broken, b"\0\1 no request\r\n\r\n"]))
            answers = [await conn.read_answer() for _ in range(count + 1)]
            after = await conn.read_answer()
            conn.close()
            await server.stop()
            return answers, after

        answers, after = run(play())
        expected = [(200, True)] * count + [(400, True)]
        self.assertEqual(expected, [(row.status, row.whole) for row in answers], name)
        self.assertTrue(answers[-1].closes)
        self.assertFalse(after.whole)
