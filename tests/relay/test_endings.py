"""The ways in which an endpoint's answer may end, and which of them are complete."""

import asyncio
import socket
import struct
import unittest
from functools import partial

from nose2.tools import params

from peridotdock.clients.endpoint import Call, HttpEndpoints, read_all
from peridotdock.clients.http import still_listens
from peridotdock.errors import Kind, failed
from tests.kept_connection import KeptConnection, make_request
from tests.relay.deployment import Deployment
from tests.relay.test_relay import run

# Seconds after which a stream has sent its first events.
SETTLE_SECONDS = 0.1
HEAD = b"HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Endpoint:
    """Sends fixed bytes after a request's head, then closes or resets the connection."""

    def __init__(self, raw: bytes, reset: bool):
        self._raw = raw
        self._reset = reset
        self.url = ""
        self.read = asyncio.Event()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.url = "http://{}:{}".format(*self._server.sockets[0].getsockname())
        return self

    async def __aexit__(self, *exc):
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._raw)
        await writer.drain()
        if self._reset:
            # The reset discards unread bytes, so the client must have read them first.
            await self.read.wait()
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        else:
            writer.close()


async def fetch(raw: bytes, reset: bool):
    endpoints = HttpEndpoints("x-not-run")
    async with Endpoint(raw, reset) as endpoint:
        opened = await endpoints.open(endpoint.url, Call("GET", "/", {}, b"", at_most_once=True))
        first = await opened.read_chunk()
        endpoint.read.set()
        rest = await read_all(opened)
        await opened.release()
        await endpoints.close()
        return rest if failed(rest) else first + rest


class EndingsTest(unittest.TestCase):
    """Failure guarded against: a caller gets half of an answer without any error.

    The endpoint answers without a length, so the answer ends with the connection. The connection is
    reset after half of the body, and the reset is taken for the end of the answer.
    """

    @params(
        ("with a length", HEAD + b"content-length: 4\r\n\r\nbody", False, b"body"),
        ("with a length, cut", HEAD + b"content-length: 9\r\n\r\nbody", False, None),
        (
            "in chunks",
            HEAD + b"transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            False,
            b"body",
        ),
        ("in chunks, cut", HEAD + b"transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n", False, None),
        ("without a length", HEAD + b"\r\nbody", False, b"body"),
        ("without a length, reset", HEAD + b"\r\nbody", True, None),
    )
    def test_only_a_whole_answer_counts(self, name, raw, reset, expected):
        found = asyncio.run(fetch(raw, reset))
        if expected is None:
            self.assertTrue(failed(found), name)
            self.assertEqual(Kind.ANSWER_CUT, found.kind)
        else:
            self.assertEqual(expected, found, name)


class StillListensTest(unittest.TestCase):
    """Guards against an answer that counts as whole as a killed process still took a connection."""

    @params(
        ("it goes on", 0, False, True),
        ("it resets one connection, as it has too many", 1, False, True),
        ("it resets one and ends", 1, True, False),
    )
    @run
    async def test_a_listener_must_outlive_the_answer(self, name, resets, ends, expected):
        count = 0

        async def serve(reader, writer):
            nonlocal count
            count += 1
            if count > resets:
                return
            writer.transport.abort()
            if ends:
                server.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "{}:{}".format(*server.sockets[0].getsockname())
        self.assertEqual(expected, await still_listens(address, 1.0), name)
        server.close()


class BodilessAnswerTest(unittest.TestCase):
    """Guards against answers without a body that are taken for cut after a second."""

    @params((204, "No Content"), (304, "Not Modified"))
    @run
    async def test_an_answer_that_ends_with_its_head_is_whole(self, status, text):
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(f"HTTP/1.1 {status} {text}\r\nx-attempt-id: a1\r\n\r\n".encode())

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        url = "http://{}:{}".format(*server.sockets[0].getsockname())
        endpoints = HttpEndpoints("x-not-run")
        opened = await endpoints.open(url, Call("GET", "/", {}, b"", at_most_once=True))
        self.assertEqual(b"", await read_all(opened))
        await opened.release()
        await endpoints.close()
        server.close()


class HeaderBytesTest(unittest.TestCase):
    """Guards against a 500, and a stream that stays open, for one odd byte in an answer's head."""

    @params(("plain", "/fetch/x", ""), ("stream", "/recap/x", "m0"))
    @run
    async def test_bytes_of_a_header_reach_the_caller_as_they_came(self, name, path, model):
        async with Deployment() as found:
            for runner in (found.pages["p1"], found.engines["e1"]):
                runner.extra_headers = {"x-note": "caf\udce9"}
            conn = await KeptConnection.open(str(found.hosts[0].settings.listen.callers))
            conn.send(make_request(path, "a1", 6000, model))
            answer = await conn.read_answer()
            self.assertEqual((200, True), (answer.status, answer.whole))
            self.assertEqual("caf\xe9", answer.headers["x-note"])
            self.assertEqual(0, found.hosts[0].responder.in_progress)


class UnframedAnswerTest(unittest.TestCase):
    """An answer with neither length nor chunks ends with its connection, as does its endpoint.

    An engine that ends closes its connections like one that has written its answer, so a caller
    gets a stream without an event, or with some of its events, as a whole one.
    """

    def deployment(self):
        engines = tuple((f"e{number}", ("m0",)) for number in range(2))
        found = Deployment(engines=engines, pages=("p0", "p1"))
        for runner in (*found.engines.values(), *found.pages.values()):
            runner.unframed = True
        return found

    @params(("a stream", "/recap/", "m0"), ("a plain answer", "/fetch/", ""))
    @run
    async def test_the_head_of_an_answer_is_no_answer(self, name, path, model):
        async with self.deployment() as found:
            for runner in (*found.engines.values(), *found.pages.values()):
                runner.fatal_parts, runner.fatal_head = {"bad"}, "unframed"
            status, _, _ = await found.send(path, "a1", model, x_prompt_prefix="bad:300,last:100")
            self.assertNotEqual(200, status)

    @run
    async def test_a_stream_that_ends_with_its_engine_is_not_whole(self):
        async with self.deployment() as found:
            for runner in found.engines.values():
                runner.halfway_event = asyncio.Event()
            asking = asyncio.create_task(found.send("/recap/", "a1", "m0"))
            runners = found.engines.values()
            await found.until(lambda: any(runner.executed for runner in runners))
            await asyncio.sleep(0.3)
            for runner in runners:
                if runner.executed:
                    runner.crash()
                runner.halfway_event.set()
            status, _, body = await asking
            self.assertTrue(status == 0 or body.count(b"id: ") == 6, body)

    def _recover(self, runner):
        self.recovering = asyncio.ensure_future(runner.recover())

    @params(
        ("an entry that tells of the new start", "/recap/", True),
        ("an entry of the start before", "/recap/", False),
        ("a stream that can't go on elsewhere", "/once/", False),
    )
    @run
    async def test_a_stream_that_ends_as_its_engine_starts_again_is_not_whole(
        self, name, path, told
    ):
        """Guards against a listener of the next start that is taken for the one that ended."""
        async with self.deployment() as found:
            runners, gate = found.engines.values(), asyncio.Event()
            for runner in runners:
                runner.halfway_event = gate
                runner.on_crash = lambda: None
                runner.on_change = runner.on_change if told else lambda: None
            asking = asyncio.create_task(found.send(path, "a1", "m0"))
            await found.until(lambda: any(runner.executed for runner in runners))
            await asyncio.sleep(0.3)
            ended = next(runner for runner in runners if runner.executed)
            ended.crash()
            await ended.recover()
            gate.set()
            status, _, body = await asking
            self.assertTrue(status == 0 or body.count(b"id: ") == 6, body)

    @run
    async def test_a_stream_that_goes_on_at_an_engine_that_starts_again_is_not_whole(self):
        """Guards against an answer without events that is taken for the rest of a stream."""
        async with self.deployment() as found:
            for runner in found.engines.values():
                runner.fatal_parts, runner.fatal_head = {"bad"}, "unframed"
                runner.on_crash = partial(self._recover, runner)
            status, _, body = await found.send(
                "/recap/", "a1", "m0", x_prompt_prefix="bad:300,last:100", last_event_id="3"
            )
            self.assertTrue(status != 200 or body.count(b"id: ") == 3, (status, body))

    @run
    async def test_a_stream_that_ends_as_its_engine_is_taken_away_is_not_whole(self):
        async with self.deployment() as found:
            for runner in found.engines.values():
                runner.halfway_event = asyncio.Event()
            asking = asyncio.create_task(found.send("/recap/", "a1", "m0"))
            runners = found.engines.values()
            await found.until(lambda: any(runner.executed for runner in runners))
            leaving = next(runner for runner in runners if runner.executed)
            notice = leaving.entry("engines", state="draining", remaining_ms=500)
            found.store.put("servers", leaving.name, notice)
            states = found.hosts[0].fleet.states
            await found.until(lambda: states[leaving.name].leaving)
            await asyncio.sleep(0.3)
            leaving.crash()
            for runner in runners:
                runner.halfway_event.set()
            status, _, body = await asking
            self.assertEqual((200, 6), (status, body.count(b"id: ")), body)

    @params(("a stream", "/recap/", "m0", 6), ("a plain answer", "/fetch/", "", 0))
    @run
    async def test_an_answer_of_an_endpoint_that_lives_is_whole(self, name, path, model, events):
        async with self.deployment() as found:
            status, _, body = await found.send(path, "a1", model)
            self.assertEqual((200, events), (status, body.count(b"id: ")))
            self.assertEqual(
                1,
                sum(len(row.executed) for row in found.engines.values())
                + sum(len(row.executed) for row in found.pages.values()),
            )

    @params(("it has answered", False), ("it crashes", True))
    def test_the_answers_of_an_endpoint_that_listens_no_more(self, name, crashes):
        """Guards against planned stops that break answers, and crashes of endpoints that drain.

        As long as other connections to it stay open, it lives. The end of the last one can't be
        told from a break, and does not look whole.
        """

        @run
        async def check(self):
            async with Deployment() as found:
                engine = found.engines["e1"]
                engine.unframed = True
                streams, gates = [], []
                for number in range(2):
                    engine.halfway_event = asyncio.Event()
                    gates.append(engine.halfway_event)
                    work = found.send("/once/", f"a{number}", "m0")
                    streams.append(asyncio.ensure_future(work))
                    await found.until(lambda: len(engine.executed) == len(streams))
                    await asyncio.sleep(SETTLE_SECONDS)
                found.hosts[0].fleet.states["e1"].announced_leaving = True
                engine.stop_listening()
                gates[0].set()
                status, _, body = await streams[0]
                self.assertEqual((200, 6), (status, body.count(b"id: ")))
                if crashes:
                    # A process that is killed closes its connections without a reset.
                    for writer in engine._writers:
                        writer.close()
                gates[1].set()
                _, _, body = await streams[1]
                self.assertIsInstance(body, Exception)

        check(self)
