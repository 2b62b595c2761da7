"""Answers whose status is none, at each client that reads answers."""

import asyncio
import unittest
from dataclasses import replace

from nose2.tools import params

from peridotdock.clients.endpoint import HttpEndpoints, read_all
from peridotdock.clients.platform import HttpPlatform
from peridotdock.errors import failed
from tests.relay.deployment import Deployment
from tests.relay.test_cut_answers import PARSERS, use_parser
from tests.relay.test_endless import GET, PAGES, Talker, open_table_store
from tests.relay.test_forwarding import cut_off
from tests.relay.test_relay import run

STATUSES = ("000", "0", "099", "0200", "600", "777", "999", "1000", "2000", "-200", "2e2", "٢٠٠")
FIELDS = "x-attempt-id: a1\r\nx-response-signature: s\r\n"
BODIES = {
    "length": "content-length: 4\r\n\r\nbody",
    "chunks": "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "neither": "\r\nbody",
}
INTERIM = "HTTP/1.1 100 Continue\r\n\r\n"
STORES = (
    ("the platform's store", open_table_store),
    ("the product's own platform", lambda talker: HttpPlatform(talker.url)),
)


def make_answer(status, body="length", before=""):
    """Return the bytes of an answer."""
    return f"{before}HTTP/1.1 {status} OK\r\n{FIELDS}{BODIES[body]}".encode()


async def open_answer(talker):
    """Return the answer to a request to an endpoint."""
    endpoints = HttpEndpoints("x-not-run")
    try:
        opened = await endpoints.open(talker.url, GET)
        if failed(opened):
            return opened
        found = await read_all(opened)
        await opened.release()
        return found
    finally:
        await endpoints.close()


async def call_control(talker):
    """Return the answer to an order, or to a call for a report."""
    endpoints = HttpEndpoints()
    try:
        return await endpoints.control_call("POST", talker.url, "/v1/order", 1.0, {})
    finally:
        await endpoints.close()


class StatusTest(unittest.TestCase):
    """Guards against a caller, or a host, that takes an answer of a server in trouble for one."""

    @params(
        *(
            (status, body, before, parser)
            for status in STATUSES
            for body in BODIES
            for before in ("", INTERIM)
            for parser in PARSERS
        )
    )
    def test_an_answer_of_an_endpoint(self, status, body, before, parser):
        async def check():
            async with Talker(make_answer(status, body, before), b"", repeat=1) as talker:
                return await open_answer(talker)

        with use_parser(parser):
            found = asyncio.run(check())
        self.assertTrue(failed(found), found)

    @params(*((status, parser) for status in ("1000", "1xx", "0100", "-100") for parser in PARSERS))
    def test_an_interim_head(self, status, parser):
        async def check():
            raw = f"HTTP/1.1 {status} Continue\r\n\r\n".encode() + make_answer("200")
            async with Talker(raw, b"", repeat=1) as talker:
                return await open_answer(talker)

        with use_parser(parser):
            found = asyncio.run(check())
        self.assertTrue(failed(found), found)

    @params(*STATUSES)
    def test_an_answer_to_an_order(self, status):
        async def check():
            async with Talker(make_answer(status), b"", repeat=1) as talker:
                return await call_control(talker)

        found = asyncio.run(check())
        self.assertTrue(failed(found), found)

    @params(*((*store, status) for store in STORES for status in STATUSES))
    def test_an_answer_of_a_store(self, name, open_store, status):
        async def check():
            async with Talker(make_answer(status), b"", repeat=1) as talker:
                store = open_store(talker)
                found = await store.get_object("a")
                await store.close()
            return found

        found = asyncio.run(check())
        self.assertTrue(failed(found), (name, found))

    @params(*STATUSES)
    def test_an_answer_of_another_host(self, status):
        """A request is forwarded to what answers so, and then to a third host."""

        @run
        async def check(self):
            async with (
                Talker(make_answer(status), b"", repeat=1) as talker,
                Deployment(hosts=3, pages=PAGES, gated=True) as found,
            ):
                await cut_off(found)
                lead_to(found.hosts[0], talker)
                answer = await found.send("/fetch/", "a1", x_deadline_ms="3000")
                self.assertTrue(talker.called)
                self.assertEqual((200, b"whole answer"), answer[::2])

        check(self)


def lead_to(host, talker):
    """Let a host forward requests to something else than a host first."""
    find_hosts = host.forwarder._find_hosts

    def find(tried):
        rows = find_hosts(tried)
        if tried or not rows:
            return rows
        return [replace(rows[0], fact=replace(rows[0].fact, relay=talker.address))]

    host.forwarder._find_hosts = find
