"""Tests of what has reached the kernel when a server stops: connections and requests unread."""

import asyncio
import errno
import os
import socket
import unittest
from unittest import mock

from blacksheep import Content, Request, Response
from nose2.tools import params

from peridotdock.loop_iterations import MeasuredLoop
from peridotdock.serving import Accepted, Server, accept_waiting, add_route, make_application
from tests.kept_connection import KeptConnection, make_request

DEADLINE_MS = 1000
TIMEOUT_SECONDS = 10
POLL_SECONDS = 0.01


async def serve(request: Request) -> Response:
    return Response(200, None, Content(b"text/plain", b"served"))


async def start_server():
    app = make_application()
    add_route(app, "POST", "/x", serve)
    return await Server(app).start()


def connect(server):
    """Connect without letting the loop of the server run."""
    ip, port = server.address.split(":")
    return socket.create_connection((ip, int(port)))


async def keep(sock):
    sock.setblocking(False)
    return KeptConnection(*await asyncio.open_connection(sock=sock))


async def end(server):
    """Stop a server as a host does: listen no more, then wait until all is answered."""
    server.announce_close()
    server.stop_listening()
    server.close_idle()
    while not server.is_drained():
        await asyncio.sleep(POLL_SECONDS)
        server.close_idle()
    await server.stop()


def run(work):
    with asyncio.Runner(loop_factory=MeasuredLoop) as runner:
        return runner.run(asyncio.wait_for(work, TIMEOUT_SECONDS))


class UnreadTest(unittest.TestCase):
    """Guards against requests that a lagging host leaves unread in the kernel as it stops."""

    @params(("one", 1), ("several", 40))
    def test_connections_that_wait_to_be_accepted_are_served(self, name, count):
        async def play():
            server = await start_server()
            socks = [connect(server) for _ in range(count)]
            for sock in socks:
                sock.sendall(make_request("/x", "a1", DEADLINE_MS))
            stopping = asyncio.ensure_future(end(server))
            answers = [await (await keep(sock)).read_answer() for sock in socks]
            await stopping
            return answers

        answers = run(play())
        self.assertEqual([(200, True)] * count, [(row.status, row.whole) for row in answers], name)
        self.assertTrue(all(row.closes for row in answers))

    def test_a_request_that_is_not_read_yet_keeps_its_connection(self):
        async def play():
            server = await start_server()
            sock = connect(server)
            conn = await keep(sock)
            conn.send(make_request("/x", "a1", DEADLINE_MS))
            first = await conn.read_answer()
            sock.send(make_request("/x", "a2", DEADLINE_MS))
            server.close_idle()
            drained = server.is_drained()
            second = await conn.read_answer()
            await end(server)
            return first, drained, second

        first, drained, second = run(play())
        self.assertFalse(drained)
        self.assertEqual([(200, True)] * 2, [(row.status, row.whole) for row in (first, second)])

    def test_a_connection_that_sends_nothing_does_not_hold_the_server(self):
        async def play():
            server = await start_server()
            sock = connect(server)
            await end(server)
            answer = await (await keep(sock)).read_answer()
            with self.assertRaises(OSError):
                connect(server)
            return answer

        self.assertFalse(run(play()).whole)


class Listener:
    """A listening socket with connections that wait, and errors of the kernel between them."""

    def __init__(self, found):
        self._found = [*found, errno.EAGAIN]
        self.socks = [mock.Mock() for row in found if row is None]
        self._left = iter(self.socks)

    def accept(self):
        found = self._found.pop(0)
        if found is not None:
            raise OSError(found, os.strerror(found))
        return next(self._left), None


class AcceptTest(unittest.TestCase):
    """Guards against connections that a stopping host takes for none, as one can't be accepted."""

    @params(
        ("none wait", [], 0, None, False),
        ("one waits", [None], 1, None, False),
        ("one was reset while it waited", [errno.ECONNABORTED, None], 1, None, False),
        ("a link is down", [None, errno.ENETDOWN, None], 2, None, False),
        ("no descriptor is left", [None, errno.EMFILE, None], 1, errno.EMFILE, True),
        ("no descriptor is left on the machine", [errno.ENFILE], 0, errno.ENFILE, True),
        ("no memory is left", [errno.ENOBUFS], 0, errno.ENOBUFS, True),
        ("the socket is closed", [errno.EBADF], 0, errno.EBADF, False),
    )
    def test_errors_of_the_kernel(self, name, found, count, error, more_wait):
        listener = Listener(found)
        accepted = accept_waiting(listener)
        self.assertEqual(listener.socks[:count], accepted.socks, name)
        self.assertEqual(error, accepted.error.errno if accepted.error else None)
        self.assertEqual(more_wait, accepted.more_wait)

    def test_connections_wait_until_there_are_descriptors(self):
        """Guards against a listening socket that is closed with connections waiting at it."""

        async def play():
            server = await start_server()
            sock = connect(server)
            sock.sendall(make_request("/x", "a1", DEADLINE_MS))
            with (
                mock.patch("peridotdock.serving.accept_waiting") as accept,
                self.assertLogs("peridotdock", "WARNING") as logs,
            ):
                accept.return_value = Accepted([], OSError(errno.EMFILE, "none left"))
                server.stop_listening()
                server.stop_listening()
            drained = server.is_drained()
            stopping = asyncio.ensure_future(end(server))
            answer = await (await keep(sock)).read_answer()
            await stopping
            return drained, len(logs.output), answer

        drained, lines, answer = run(play())
        self.assertEqual((False, 1), (drained, lines))
        self.assertEqual((200, True), (answer.status, answer.whole))
