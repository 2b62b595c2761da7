"""An endpoint that answers before it has read a long body, and reads on."""

import asyncio
import unittest

from peridotdock.clients.endpoint import Call, HttpEndpoints, read_all
from peridotdock.errors import failed

BODY = bytes(range(256)) * 8192
ANSWER = b"HTTP/1.1 413 Too Large\r\ncontent-length: 2\r\n\r\nno"


class EarlyEndpoint:
    """Answers after each head, then reads the body; ``bodies`` holds the bytes received."""

    def __init__(self):
        self.bodies = []
        self.connections = 0

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                rows = dict(
                    row.split(": ", 1) for row in head.decode().lower().split("\r\n")[1:] if row
                )
                writer.write(ANSWER)
                await writer.drain()
                self.bodies.append(await reader.readexactly(int(rows.get("content-length", 0))))
        except asyncio.IncompleteReadError as exc:
            if exc.partial:
                self.bodies.append(exc.partial)
        finally:
            writer.close()


class EarlyAnswerTest(unittest.TestCase):
    """Failure guarded against: a runner reads one request as the rest of another's body.

    It answers a long request before it has read the body and keeps the connection. The next request
    is sent on that connection while the rest of the first body is still missing.
    """

    def test_the_next_request_is_never_read_as_the_rest_of_a_body(self):
        async def check():
            endpoint = EarlyEndpoint()
            server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
            url = "http://{}:{}".format(*server.sockets[0].getsockname())
            endpoints = HttpEndpoints("x-not-run")
            for body in (BODY, b"short", BODY, b""):
                opened = await endpoints.open(url, Call("POST", "/", {}, body, at_most_once=True))
                self.assertFalse(failed(opened))
                self.assertEqual(b"no", await read_all(opened))
                await opened.release()
            await endpoints.close()
            async with asyncio.timeout(5):
                while len(endpoint.bodies) < 4:
                    await asyncio.sleep(0.01)
            server.close()
            return endpoint.bodies

        for got, sent in zip(asyncio.run(check()), (BODY, b"short", BODY, b""), strict=False):
            self.assertTrue(sent.startswith(got), "bytes of another request")
