"""Callers' connections that end while requests on them are read, wait or are answered."""

import asyncio
import unittest

from nose2.tools import params

from tests.kept_connection import KeptConnection, make_request
from tests.relay.deployment import Deployment
from tests.relay.test_relay import run

DEADLINE_MS = 5000
# Seconds within which an endpoint must see that its request's caller has left.
LEFT_SECONDS = 0.5


class PipelineTest(unittest.TestCase):
    """Guards against endpoints that work for callers who have left with requests in a pipeline."""

    @params(
        ("alone", b""),
        ("a whole request behind it", make_request("/bind/x", "second", DEADLINE_MS)),
        ("a part of a head behind it", make_request("/bind/x", "second", DEADLINE_MS)[:-3]),
        (
            "a part of a body behind it",
            make_request("/bind/x", "second", DEADLINE_MS, body=b"x" * 9)[:-3],
        ),
    )
    @run
    async def test_an_endpoint_sees_that_the_caller_has_left(self, name, behind):
        async with Deployment() as found:
            (page,) = found.pages.values()
            page.script = ["silent"]
            conn = await KeptConnection.open(str(found.hosts[0].settings.listen.callers))
            conn.send(make_request("/bind/x", "first", DEADLINE_MS) + behind)
            await found.until(lambda: page.executed == ["first"])
            conn.close()
            await found.until(lambda: page.disconnected == ["first"], LEFT_SECONDS)
            self.assertEqual(["first"], page.executed, name)

    @params(1, 3)
    @run
    async def test_an_endpoint_sees_it_though_more_was_sent_meanwhile(self, count):
        """Guards against a connection that is not read, so that its end is not seen either."""
        async with Deployment() as found:
            (page,) = found.pages.values()
            page.script = ["silent"]
            conn = await KeptConnection.open(str(found.hosts[0].settings.listen.callers))
            conn.send(make_request("/bind/x", "first", DEADLINE_MS))
            await found.until(lambda: page.executed == ["first"])
            for number in range(count):
                conn.send(make_request("/bind/x", f"behind{number}", DEADLINE_MS))
                await asyncio.sleep(0.02)
            conn.close()
            await found.until(lambda: page.disconnected == ["first"], LEFT_SECONDS)
            self.assertEqual(["first"], page.executed)


class UpgradeTest(unittest.TestCase):
    """Guards against a request that offers an upgrade, and runs without its body.

    Some clients offer HTTP/2 with the first request of each connection. The bytes of the body are
    then read as the next request, and run as one if they look like it.
    """

    @params(
        ("HTTP/2, length, at once", "h2c", False, False),
        ("HTTP/2, length, in parts", "h2c", False, True),
        ("HTTP/2, chunks, at once", "h2c", True, False),
        ("HTTP/2, chunks, in parts", "h2c", True, True),
        ("a web socket, length, at once", "websocket", False, False),
        ("a web socket, length, in parts", "websocket", False, True),
        ("no upgrade, length, in parts", "", False, True),
    )
    @run
    async def test_a_request_that_offers_an_upgrade_is_read_whole(
        self, name, offer, chunked, split
    ):
        body = make_request("/bind/x", "inside", DEADLINE_MS)
        head, raw = make_request("/bind/x", "first", DEADLINE_MS, body=body).split(b"\r\n\r\n", 1)
        if offer:
            head += b"\r\nconnection: Upgrade\r\nupgrade: " + offer.encode()
        if chunked:
            head = head.replace(b"content-length: %d" % len(body), b"transfer-encoding: chunked")
            raw = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        second = make_request("/bind/x", "second", DEADLINE_MS, body=b"more")
        parts = [head + b"\r\n\r\n", raw, second]
        async with Deployment() as found:
            (page,) = found.pages.values()
            conn = await KeptConnection.open(str(found.hosts[0].settings.listen.callers))
            for part in parts if split else [b"".join(parts)]:
                conn.send(part)
                await asyncio.sleep(0.05)
            answers = [await conn.read_answer() for _ in range(2)]
            ran = [(row[2]["x-attempt-id"], row[3]) for row in page.requests]
        self.assertEqual([(200, True)] * 2, [(row.status, row.whole) for row in answers], name)
        self.assertEqual([("first", body), ("second", b"more")], ran, name)

    @run
    async def test_many_offers_in_one_pipeline_are_read(self):
        rows = [
            make_request("/bind/x", f"a{n}", DEADLINE_MS, connection="Upgrade", upgrade="h2c")
            for n in range(50)
        ]
        async with Deployment() as found:
            (page,) = found.pages.values()
            conn = await KeptConnection.open(str(found.hosts[0].settings.listen.callers))
            conn.send(b"".join(rows))
            answers = [await conn.read_answer() for _ in rows]
        self.assertEqual([200] * len(rows), [row.status for row in answers])
        self.assertEqual([f"a{n}" for n in range(len(rows))], page.executed)


class InvalidBytesTest(unittest.TestCase):
    """Guards against a request that runs, and whose caller gets the answer to invalid bytes."""

    @params(
        ("behind it", b"\0\r\n\r\n", []),
        ("behind another one", make_request("/fetch/x", "second", DEADLINE_MS) + b"\0", [200]),
        (
            "in the body behind it",
            make_request("/bind/x", "second", DEADLINE_MS, transfer_encoding="chunked").replace(
                b"content-length: 0\r\n", b""
            )
            + b"no length\r\n",
            [],
        ),
    )
    @run
    async def test_requests_before_invalid_bytes_get_their_answers(self, name, behind, statuses):
        async with Deployment() as found:
            (page,) = found.pages.values()
            page.delay_seconds = 0.3
            conn = await KeptConnection.open(str(found.hosts[0].settings.listen.callers))
            conn.send(make_request("/bind/x", "first", DEADLINE_MS) + behind)
            answers = [await conn.read_answer() for _ in range(len(statuses) + 3)]
            ran = page.executed
        expected = [200, *statuses, 400, 0]
        self.assertEqual(expected, [row.status for row in answers][: len(expected)], name)
        self.assertEqual(["first", "second"][: len(statuses) + 1], ran, name)


class TrailerTest(unittest.TestCase):
    """Guards against trailer fields that replace a request's headers, such as its attempt id."""

    @params(("at once", "", False), ("in parts", "", True), ("with an offer", "h2c", False))
    @run
    async def test_trailer_fields_are_no_headers(self, name, offer, split):
        raw = make_request("/bind/x", "first", DEADLINE_MS, connection="Upgrade", upgrade=offer)
        if not offer:
            raw = make_request("/bind/x", "first", DEADLINE_MS)
        raw = raw.replace(b"content-length: 0", b"transfer-encoding: chunked")
        trailer = b"4\r\nbody\r\n0\r\nx-attempt-id: other\r\nx-deadline-ms: 1\r\nx-note: a\r\n\r\n"
        async with Deployment() as found:
            (page,) = found.pages.values()
            conn = await KeptConnection.open(str(found.hosts[0].settings.listen.callers))
            for part in (raw, trailer) if split else (raw + trailer,):
                conn.send(part)
                await asyncio.sleep(0.05)
            answer = await conn.read_answer()
            ran = [(row[2]["x-attempt-id"], row[2].get("x-note"), row[3]) for row in page.requests]
        self.assertEqual((200, "first"), (answer.status, answer.headers["x-attempt-id"]), name)
        self.assertEqual([("first", None, b"body")], ran, name)
