"""Callers' requests that stop midway."""

import asyncio
import socket
import unittest

from nose2.tools import params

from tests.relay.deployment import Deployment
from tests.relay.test_cut_answers import BODY, CHUNKS, places
from tests.relay.test_endings import RESET_ON_CLOSE
from tests.relay.test_relay import run

HEAD = b"POST /bind/ HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: a%03d\r\n"
REQUESTS = {
    "length": b"content-length: 10\r\n\r\n" + BODY,
    "chunks": b"transfer-encoding: chunked\r\n\r\n" + CHUNKS + b"0\r\n\r\n",
    "trailers": b"transfer-encoding: chunked\r\n\r\n" + CHUNKS + b"0\r\nx-a: b\r\n\r\n",
}
# Requests with two ends, or none that a host knows.
UNCLEAR = {
    "two lengths": b"content-length: 5\r\ncontent-length: 10\r\n\r\n" + BODY,
    "length and chunks": b"content-length: 5\r\n" + REQUESTS["chunks"],
    "bad chunk": b"transfer-encoding: chunked\r\n\r\n5\r\n01234\r\n-5\r\n56789\r\n0\r\n\r\n",
    "unknown coding": b"transfer-encoding: gzip\r\n\r\n" + BODY,
}
# Time in which a request that was taken for whole would have been relayed.
SETTLE_SECONDS = 0.2


async def send_and_end(address, raw, end):
    """Send bytes on a connection of their own and end it."""
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write(raw)
    await writer.drain()
    await asyncio.sleep(SETTLE_SECONDS / 10)
    if end == "half-close":
        writer.write_eof()
        await asyncio.wait_for(reader.read(), SETTLE_SECONDS * 10)
    elif end == "reset":
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.transport.abort()
    writer.close()


class CutRequestTest(unittest.TestCase):
    @params(*((name, end) for name in REQUESTS for end in ("close", "half-close", "reset")))
    @run
    async def test_a_request_without_its_last_bytes_is_not_relayed(self, name, end):
        """Guards against an endpoint that runs a part of a request, and an uncaught error."""
        raw = HEAD + REQUESTS[name]
        async with Deployment() as found:
            address = str(found.hosts[0].settings.listen.callers)
            with self.assertNoLogs("blacksheep.server", "ERROR"):
                cuts = places(raw % 0)
                await asyncio.gather(
                    *(send_and_end(address, (raw % cut)[:cut], end) for cut in cuts)
                )
                await asyncio.sleep(SETTLE_SECONDS)
            self.assertEqual([], found.pages["p1"].requests)
            self.assertEqual(0, found.hosts[0].responder.in_progress)

    @params(*UNCLEAR)
    @run
    async def test_a_request_without_a_clear_end_is_not_relayed(self, name):
        async with Deployment() as found:
            address = str(found.hosts[0].settings.listen.callers)
            await send_and_end(address, HEAD % 0 + UNCLEAR[name], "close")
            await asyncio.sleep(SETTLE_SECONDS)
            self.assertEqual([], found.pages["p1"].requests)
