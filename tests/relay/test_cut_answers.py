"""Answers that stop midway, at all places and with all ends, over both of aiohttp's parsers."""

import asyncio
import contextlib
import json
import re
import socket
import time
import unittest
from unittest import mock

from aiohttp import http_parser
from nose2.tools import params

from peridotdock.clients.endpoint import Call, HttpEndpoints, read_all
from peridotdock.clients.store_time import StoreTime
from peridotdock.errors import Failure, Kind, failed
from peridotdock.metrics import Metrics
from peridotdock.platform.store import TableStore
from peridotdock.relay.settings import parse_address
from peridotdock.requests import BROKEN_CONNECTION_KINDS
from tests.relay.deployment import Deployment
from tests.relay.test_endings import HEAD, RESET_ON_CLOSE
from tests.relay.test_relay import run
from tests.standins.runner import RunnerStandin

GET = Call("GET", "/", {}, b"", at_most_once=True)
BODY = b"0123456789"
CHUNKS = b"5\r\n01234\r\n5\r\n56789\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n" + CHUNKS
LENGTH = HEAD + b"content-length: 10\r\n\r\n" + BODY
# Answers whose end is marked, so that none is whole without its last byte.
FRAMED = {
    "length": LENGTH,
    "length, then other fields": LENGTH.replace(b"\r\n\r\n", b"\r\nx-a: b\r\n\r\n"),
    "length in a folded field": LENGTH.replace(b"th: 10", b"th:\r\n 10"),
    "line ends without CR": LENGTH.replace(b"\r\n", b"\n"),
    "no reason": LENGTH.replace(b"200 OK", b"200"),
    "chunks": CHUNKED + b"0\r\n\r\n",
    "chunks and trailers": CHUNKED + b"0\r\nx-a: b\r\nx-c: d\r\n\r\n",
    "100 Continue": b"HTTP/1.1 100 Continue\r\n\r\n" + LENGTH,
    "103 and chunks": b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n" + CHUNKED + b"0\r\n\r\n",
}
# The C parser is missing where aiohttp was built without it.
PARSERS = {
    name: getattr(http_parser, name)
    for name in ("HttpResponseParserC", "HttpResponseParserPy")
    if hasattr(http_parser, name)
}
ENDS = ("close", "half-close", "reset")
RESET_AFTER_SECONDS = 0.005
# Seconds after which an endpoint that has stopped midway closes its connection: longer than the
# shortest timeout of a route, and than a silence after which a request is sent elsewhere.
LATE_SECONDS = 1.2


class CuttingEndpoint:
    """Sends the first ``cut`` bytes of ``raw`` after a request's head, those after ``split`` later.

    ``earlier`` answers go before it on the same connection.
    """

    def __init__(self, raw, earlier=0):
        self.raw = raw
        self.cut = len(raw)
        self.end = "close"
        self.split = 0
        self._earlier = earlier
        self._tasks = set()

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.url = "http://{}:{}".format(*self._server.sockets[0].getsockname())
        return self

    async def __aexit__(self, *exc):
        self._server.close()
        await asyncio.gather(*self._tasks)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            for _ in range(self._earlier):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(LENGTH)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.raw[: self.split])
            await asyncio.sleep(RESET_AFTER_SECONDS if self.split else 0)
            writer.write(self.raw[self.split : self.cut])
            await writer.drain()
            await self._end(reader, writer)
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()

    async def _end(self, reader, writer):
        if self.end == "half-close":
            writer.write_eof()
            await reader.read()
        elif self.end == "none":
            await reader.read()
        elif self.end == "reset":
            # The reset discards unread bytes, so the client must have read them first.
            await asyncio.sleep(RESET_AFTER_SECONDS)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()


async def fetch(endpoint, earlier=0):
    """Return the body of the endpoint's answer, or why it is none."""
    endpoints = HttpEndpoints("x-not-run")
    try:
        for _ in range(earlier + 1):
            opened = await endpoints.open(endpoint.url, GET)
            if failed(opened):
                return opened
            body = await read_all(opened)
            await opened.release()
        return body
    finally:
        await endpoints.close()


def use_parser(name):
    return mock.patch("aiohttp.client_proto.HttpResponseParser", PARSERS[name])


def places(raw):
    """Return where an answer is cut: around each line's end and field's name, and in its body."""
    found = [found.start() for found in re.finditer(rb"\r|\n|: ", raw)]
    cuts = {0, 1, *found, *(place + 1 for place in found), *range(len(raw) - 12, len(raw))}
    return sorted(cuts - {len(raw)})


def all_ways(answers):
    return [(parser, end, name) for parser in PARSERS for end in ENDS for name in answers]


class CutAnswerTest(unittest.TestCase):
    """Failure guarded against: an answer that stops midway counts as whole.

    Or as an answer of a sound endpoint, so that nothing is recorded against that endpoint.
    """

    @params(*all_ways(FRAMED))
    @run
    async def test_an_answer_without_its_last_bytes_is_cut(self, parser, end, name):
        with use_parser(parser):
            async with CuttingEndpoint(FRAMED[name]) as endpoint:
                endpoint.end = end
                for cut in places(endpoint.raw):
                    endpoint.cut = cut
                    found = await fetch(endpoint)
                    self.assertTrue(failed(found), f"{cut}: {found}")
                    self.assertIn(found.kind, BROKEN_CONNECTION_KINDS, cut)

    @params(*((parser, name) for parser in PARSERS for name in FRAMED))
    @run
    async def test_a_later_answer_of_a_connection_is_cut(self, parser, name):
        with use_parser(parser):
            async with CuttingEndpoint(FRAMED[name], earlier=1) as endpoint:
                for cut in places(endpoint.raw):
                    endpoint.cut = cut
                    found = await fetch(endpoint, earlier=1)
                    self.assertTrue(failed(found), f"{cut}: {found}")

    @params(*((parser, name) for parser in PARSERS for name in FRAMED))
    @run
    async def test_an_answer_that_pauses_midway_is_whole(self, parser, name):
        with use_parser(parser):
            async with CuttingEndpoint(FRAMED[name]) as endpoint:
                for split in places(endpoint.raw):
                    endpoint.split = split
                    self.assertEqual(BODY, await fetch(endpoint), split)


# Codings of a body that only the end of the connection ends.
OTHER_CODINGS = ("gzip", "identity", "chunked, gzip", "xchunked")


class TransferCodingTest(unittest.TestCase):
    """Failure guarded against: a caller gets half of an answer as whole after a reset.

    Its head names a transfer coding, but not chunks at last, so that it ends with its connection.
    """

    @params(*((parser, coding) for parser in PARSERS for coding in OTHER_CODINGS))
    @run
    async def test_a_reset_is_no_end(self, parser, coding):
        raw = HEAD + f"transfer-encoding: {coding}\r\n\r\n".encode() + BODY
        with use_parser(parser):
            async with CuttingEndpoint(raw) as endpoint:
                endpoint.end = "reset"
                for cut in range(len(raw) - len(BODY), len(raw) + 1):
                    endpoint.cut = cut
                    found = await fetch(endpoint)
                    self.assertTrue(failed(found), f"{cut}: {found}")

    @params(*((parser, coding) for parser in PARSERS for coding in ("gzip", "gzip, chunked")))
    @run
    async def test_a_body_in_an_unknown_coding_is_none(self, parser, coding):
        """Guards against a body that its caller can't decode, as the coding is not passed on."""
        raw = HEAD + f"transfer-encoding: {coding}\r\n\r\n".encode() + CHUNKS + b"0\r\n\r\n"
        with use_parser(parser):
            async with CuttingEndpoint(raw) as endpoint:
                found = await fetch(endpoint)
                self.assertEqual(Kind.ENDPOINT_ERROR, found.kind)

    @params(*((parser, coding) for parser in PARSERS for coding in ("Chunked", " chunked ")))
    @run
    async def test_chunks_by_another_spelling_are_read(self, parser, coding):
        raw = CHUNKED.replace(b"chunked", coding.encode()) + b"0\r\n\r\n"
        with use_parser(parser):
            async with CuttingEndpoint(raw) as endpoint:
                self.assertEqual(BODY, await fetch(endpoint))


# Heads that name two lengths, or a length beside chunks.
TWO_LENGTHS = {
    "the shorter one first": b"content-length: 5\r\ncontent-length: 10\r\n\r\n" + BODY,
    "the longer one first": b"content-length: 10\r\ncontent-length: 5\r\n\r\n" + BODY,
    "a list": b"content-length: 5, 10\r\n\r\n" + BODY,
    "before chunks": b"content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n"
    + CHUNKS
    + b"0\r\n\r\n",
    "behind chunks": b"transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n"
    + CHUNKS
    + b"0\r\n\r\n",
}


class TwoLengthsTest(unittest.TestCase):
    @params(*((parser, name) for parser in PARSERS for name in TWO_LENGTHS))
    @run
    async def test_an_answer_of_two_lengths_is_none(self, parser, name):
        """Guards against a body that ends at the shorter one: a part of it, framed as whole."""
        with use_parser(parser):
            async with CuttingEndpoint(HEAD + TWO_LENGTHS[name]) as endpoint:
                self.assertEqual(Failure(Kind.ENDPOINT_ERROR, mock.ANY), await fetch(endpoint))


BAD_CHUNKS = (b"-5\r\n01234\r\n", b"x\r\n", b"5\r\n0123456789", b"5;a\n\r\n01234\r\n")
# The Python parser reads a line that ends without CR, and a size of any number of digits.
LENIENT_CHUNKS = (b"5\n01234", b"f" * 20 + b"\r\n")


def unreadable_chunks(parser):
    return BAD_CHUNKS + (LENIENT_CHUNKS if parser == "HttpResponseParserC" else ())


class BadChunkTest(unittest.TestCase):
    @params(*((parser, chunk) for parser in PARSERS for chunk in unreadable_chunks(parser)))
    @run
    async def test_an_answer_ends_with_a_chunk_that_is_none(self, parser, chunk):
        """Guards against a request that waits until its deadline for a body that was given up.

        Its connection was closed, and the body's reader not told, or told by an error of another
        kind than those of transfers.
        """
        with use_parser(parser):
            async with CuttingEndpoint(CHUNKED + chunk) as endpoint:
                endpoint.split, endpoint.end = len(CHUNKED), "none"
                async with asyncio.timeout(1.0):
                    found = await fetch(endpoint)
                self.assertEqual(Failure(Kind.ENDPOINT_ERROR, mock.ANY), found)


class ScriptedRunner(RunnerStandin):
    """A runner that answers with the bytes that a function of attempt and signature returns."""

    def __init__(self, name, models=()):
        super().__init__(name, models)
        self.write_answer = None
        self.end = "close"

    async def _answer(self, reader, writer, headers, body):
        attempt = headers["x-attempt-id"]
        self.executed.append(attempt)
        signed = f"x-attempt-id: {attempt}\r\nx-response-signature: by {self.name}\r\n"
        writer.write(self.write_answer(attempt, signed.encode()))
        await writer.drain()
        if self.end == "reset":
            await asyncio.sleep(RESET_AFTER_SECONDS)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        elif self.end == "late close":
            await asyncio.sleep(LATE_SECONDS)
        return False


def scripted(write_answer, end="close"):
    """Return a deployment whose runners all answer so."""
    found = Deployment()
    found.engines = {"e1": ScriptedRunner("e1", ("m0",))}
    found.pages = {"p1": ScriptedRunner("p1")}
    for runner in (*found.engines.values(), *found.pages.values()):
        runner.write_answer, runner.end = write_answer, end
    return found


ROUTES = (("/fetch/", ""), ("/bind/", ""), ("/once/", "m0"), ("/recap/", "m0"))


class OddStatusTest(unittest.TestCase):
    @params(
        *((path, model, status) for path, model in ROUTES for status in (99, 101, 600, 700, 999))
    )
    @run
    async def test_a_status_of_no_answer_is_an_error(self, path, model, status):
        """Guards against a caller without an answer, as the server can't write such a status."""
        head = b"HTTP/1.1 %03d Odd\r\n" % status
        framing = b"content-length: 4\r\n\r\nbody"
        async with scripted(lambda _, signed: head + signed + framing) as found:
            answered, _, body = await found.send(path, "a1", model)
            self.assertEqual(502, answered, body)
            self.assertEqual("endpoint_error", json.loads(body)["error"]["code"])


class HeadAloneTest(unittest.TestCase):
    """Failure guarded against: a caller gets a 200 with an empty body, framed as whole.

    The answer has neither length nor chunks, and its endpoint stops right after the head, and
    closes the connection.
    """

    @params(("/fetch/", ""), ("/bind/", ""), ("/once/", "m0"), ("/recap/", "m0"))
    @run
    async def test_a_head_alone_is_no_answer(self, path, model):
        async with scripted(lambda _, signed: b"HTTP/1.1 200 OK\r\n" + signed + b"\r\n") as found:
            status, _, body = await found.send(path, "a1", model)
            self.assertEqual(502, status, body)
            self.assertEqual("answer_cut", json.loads(body)["error"]["code"])


class CutObjectTest(unittest.TestCase):
    @params(*PARSERS)
    @run
    async def test_an_object_that_a_reset_cuts_is_no_object(self, parser):
        """Guards against a part of an object of the store, read as the whole one."""
        raw = HEAD + b"\r\n" + BODY
        with use_parser(parser):
            async with CuttingEndpoint(raw) as endpoint:
                endpoint.end, endpoint.cut = "reset", len(raw) - 5
                address = parse_address(endpoint.url.removeprefix("http://"))
                store = TableStore(address, Metrics(), StoreTime(time.monotonic))
                found = await store.get_object("x")
                await store.close()
                self.assertTrue(failed(found), found)


EVENTS = b"".join(b"id: %d\ndata: e %d\n\n" % (number, number) for number in range(1, 4))
# Heads and bodies of relayed answers, with the signature's place.
RELAYED = {
    "length": b"HTTP/1.1 200 OK\r\n%%scontent-length: %d\r\n\r\n%s" % (len(EVENTS), EVENTS),
    "chunks": b"HTTP/1.1 200 OK\r\n%%stransfer-encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n"
    % (len(EVENTS), EVENTS),
}
RELAYED["100 and trailers"] = b"HTTP/1.1 100 Continue\r\n\r\n" + RELAYED["chunks"].replace(
    b"0\r\n\r\n", b"0\r\nx-a: b\r\n\r\n"
)
AT_ONCE = 8
# Of the places at which answers are cut, each so many is played through a host.
PLACE_STEP = 5


RELAYED_ENDS = (
    *((name, end) for name in RELAYED for end in ("close", "reset")),
    ("length", "late close"),
)


class RelayedCutAnswerTest(unittest.TestCase):
    """Failure guarded against: a caller gets a success whose body is short, framed as whole.

    Or "not run" for a request that may have run, where its endpoint stopped midway in its answer.
    """

    async def play(self, found, path, model, raw, to):
        """Send a request for each place at which the answer is cut; check all that ran."""
        runner = found.engines["e1"] if model else found.pages["p1"]
        cuts = {f"a{cut}": cut for cut in places(raw.replace(b"%s", b"x" * 60))[::-PLACE_STEP]}
        for running in (*found.engines.values(), *found.pages.values()):
            running.write_answer = lambda attempt, signed: raw.replace(b"%s", signed)[
                : cuts.get(attempt)
            ]
        limit = asyncio.Semaphore(AT_ONCE)

        async def ask(attempt):
            async with limit:
                parts = f"{attempt[1:]}:9"
                return await found.send(path, attempt, model, to, x_prompt_prefix=parts)

        answers = await asyncio.gather(*map(ask, cuts))
        executed = set(runner.executed)
        self.assertTrue(executed)
        for attempt, (status, _, body) in zip(cuts, answers, strict=True):
            if status == 200:
                self.assertEqual(EVENTS, body, cuts[attempt])
            elif attempt in executed:
                # A stream that has begun is broken off, and the client raises an error.
                self.assertIn(status, (502, 504, 0), cuts[attempt])

    @params(*((path, model, name, end) for path, model in ROUTES for name, end in RELAYED_ENDS))
    @run
    async def test_a_cut_answer_is_no_success(self, path, model, name, end):
        async with scripted(None, end) as found:
            await self.play(found, path, model, RELAYED[name], to=0)
