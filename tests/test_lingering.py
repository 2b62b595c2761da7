"""Tests that callers which read nothing until they have written everything get their answers."""

import asyncio
import socket
import unittest
from contextlib import suppress
from unittest import mock

from blacksheep import Content, Request, Response
from nose2.tools import params

from peridotdock.loop_iterations import MeasuredLoop
from peridotdock.relay.stopping import STOP_MARGIN_SECONDS
from peridotdock.serving import Server, add_route, make_application
from tests.kept_connection import make_request

TIMEOUT_SECONDS = 30
LONG_BODY = b"x" * (4 * 1024 * 1024)
TRIES = 8
SHORT_SECONDS = 0.2
READ_BYTES = 65536


async def serve(request: Request) -> Response:
    return Response(200, None, Content(b"text/plain", b"served"))


async def refuse(request: Request) -> Response:
    return Response(404, None, Content(b"text/plain", b"unknown"))


async def refuse_and_close(request: Request) -> Response:
    return Response(503, [(b"connection", b"close")], Content(b"text/plain", b"behind"))


async def read_and_serve(request: Request) -> Response:
    await request.read()
    return await serve(request)


HANDLERS = {
    "/unknown": refuse,
    "/behind": refuse_and_close,
    "/read": read_and_serve,
}


async def start_server():
    app = make_application()
    for path, handler in HANDLERS.items():
        add_route(app, "POST", path, handler)
    return await Server(app).start()


def rows(server):
    """Return the connections of a server that are in use."""
    return [row for row in server._connections() if row.cycle and not row.transport.is_closing()]


def run(work):
    with asyncio.Runner(loop_factory=MeasuredLoop) as runner:
        return runner.run(asyncio.wait_for(work, TIMEOUT_SECONDS))


def connect(server):
    ip, port = server.address.split(":")
    sock = socket.create_connection((ip, int(port)))
    sock.settimeout(TIMEOUT_SECONDS)
    return sock


def write_then_read(sock, raw):
    """Write everything before anything is read; return what arrived, empty after a reset."""
    found = b""
    try:
        sock.sendall(raw)
        while part := sock.recv(READ_BYTES):
            found += part
    except ConnectionError:
        return b""
    finally:
        sock.close()
    return found


def status_lines(raw):
    return [line.split()[1] for line in raw.split(b"\r\n") if line.startswith(b"HTTP/1.1 ")]


class EarlyAnswerTest(unittest.TestCase):
    """Guards against early answers that a reset takes away, as the rest of a body is unread."""

    @params(
        ("refused by a stopping server", "/unknown", True, b"404"),
        ("refused with the connection", "/behind", False, b"503"),
    )
    def test_an_answer_before_the_end_of_a_body_arrives(self, name, path, stopping, status):
        raw = make_request(path, "a1", 1000, body=LONG_BODY)

        async def play():
            server = await start_server()
            if stopping:
                server.announce_close()
            works = [asyncio.to_thread(write_then_read, connect(server), raw) for _ in range(TRIES)]
            found = [await work for work in works]
            await server.stop()
            return found

        self.assertEqual([[status]] * TRIES, [status_lines(row) for row in run(play())], name)

    def test_a_body_under_way_is_read_on_as_the_server_stops(self):
        """Guards against a connection that counts as idle, as its answer went out early."""
        raw = make_request("/unknown", "a1", 1000, body=LONG_BODY)
        head = raw[: -len(LONG_BODY)]

        async def play():
            server = await start_server()
            found = []
            for _ in range(TRIES):
                sock = connect(server)
                sock.sendall(head)
                while not any(row.cycle.response_complete for row in rows(server)):
                    await asyncio.sleep(0.01)
                server.close_idle()
                drained = server.is_drained()
                answer = await asyncio.to_thread(write_then_read, sock, LONG_BODY)
                found.append((drained, status_lines(answer)))
            await server.stop()
            return found

        self.assertEqual([(False, [b"404"])] * TRIES, run(play()))

    def test_a_request_in_part_is_refused_and_read_on(self):
        raw = make_request("/read", "a1", 1000, body=LONG_BODY)
        head = raw[: -len(LONG_BODY)]

        async def play():
            server = await start_server()
            found = []
            for _ in range(TRIES):
                sock = connect(server)
                sock.sendall(head)
                while not any(row.is_busy for row in rows(server)):
                    await asyncio.sleep(0.01)
                server.refuse_unread()
                found.append(await asyncio.to_thread(write_then_read, sock, LONG_BODY))
            await server.stop()
            return found

        self.assertEqual([[b"503"]] * TRIES, [status_lines(row) for row in run(play())])


class StopTest(unittest.TestCase):
    @params(False, True)
    def test_callers_that_keep_connections_open_do_not_hold_up_a_stop(self, closed_before):
        """Guards against a process that is killed at the end of its grace while it stops."""
        raw = make_request("/read", "a1", 1000)

        async def play():
            server = await start_server()
            loop = asyncio.get_running_loop()
            socks = [connect(server) for _ in range(TRIES)]
            for sock in socks:
                sock.setblocking(False)
                await loop.sock_sendall(sock, raw)
                self.assertIn(b"served", await loop.sock_recv(sock, READ_BYTES))
            if closed_before:
                server.close_idle()
            async with asyncio.timeout(STOP_MARGIN_SECONDS):
                await server.stop()
            for sock in socks:
                sock.close()

        run(play())


class LimitTest(unittest.TestCase):
    """Guards against callers that hold a connection, which has ended for the host, for good."""

    def _play(self, send_on, **limits):
        raw = make_request("/behind", "a1", 1000, body=LONG_BODY)

        async def play():
            server = await start_server()
            sock = connect(server)
            sock.setblocking(False)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, raw[: -len(LONG_BODY)])
            self.assertIn(b"HTTP/1.1 503", await loop.sock_recv(sock, READ_BYTES))
            while server._connections():
                await send_on(loop, sock)
            sock.close()
            await server.stop()

        with mock.patch.multiple("peridotdock.lingering", **limits):
            run(play())

    def test_a_caller_that_sends_nothing_more(self):
        async def wait(loop, sock):
            await asyncio.sleep(0.01)

        self._play(wait, IDLE_SECONDS=SHORT_SECONDS)

    def test_a_caller_that_sends_forever(self):
        async def send(loop, sock):
            with suppress(ConnectionError):
                await loop.sock_sendall(sock, b"x" * 100)
            await asyncio.sleep(0.01)

        self._play(send, IDLE_SECONDS=SHORT_SECONDS, MAX_SECONDS=3 * SHORT_SECONDS)

    def test_a_caller_that_sends_too_much(self):
        async def send(loop, sock):
            with suppress(ConnectionError):
                await loop.sock_sendall(sock, LONG_BODY[:READ_BYTES])
            await asyncio.sleep(0.001)

        self._play(send, MAX_BYTES=1024 * 1024)
