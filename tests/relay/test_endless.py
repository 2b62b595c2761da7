"""Endpoints whose answers never end, and long answers that do."""

import asyncio
import contextlib
import time
import tracemalloc
import unittest
from dataclasses import replace

from nose2.tools import params

from peridotdock.clients.answer_memory import FREE_BYTES, WAIT_SECONDS, AnswerMemory
from peridotdock.clients.endpoint import Call, HttpEndpoints, read_all
from peridotdock.clients.platform import HttpPlatform
from peridotdock.clients.store_time import StoreTime
from peridotdock.errors import Failure, Kind, failed
from peridotdock.events import Filter
from peridotdock.metrics import Metrics
from peridotdock.platform.store import TableStore
from peridotdock.relay.settings import parse_address
from tests.relay.deployment import BOUNDS, Deployment
from tests.relay.test_endings import HEAD, Endpoint, fetch
from tests.relay.test_forwarding import cut_off
from tests.relay.test_relay import ids, run
from tests.standins.runner import ENDLESS

MB = 1024 * 1024
# A host's process may grow to 300 MB and has 60 MB without load; 32 MB are for its control.
HOST_BYTES = 240 * MB
CONTROL_BYTES = 32 * MB
# Requests that the endpoint gets at once; the service has retries for all of them.
AT_ONCE = 8
RETRIES = replace(BOUNDS, retry_extra=20.0 * AT_ONCE)
LONG = 40 * MB
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
GET = Call("GET", "/", {}, b"", at_most_once=True)
GIVEN_UP = Failure(Kind.ENDPOINT_ERROR, "EndlessAnswer")
PAGES = ("p1", "p2", "p3")
ENGINES = tuple((name, ("m0",)) for name in ("e1", "e2", "e3"))


class Talker:
    """Sends some bytes after each head, then others again and again, until its caller closes."""

    def __init__(self, begin, part, repeat=10**9):
        self._begin, self._part, self._repeat = begin, part, repeat
        self.called = False

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        self.url = f"http://{self.address}"
        return self

    async def __aexit__(self, *exc):
        self._server.close()

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.called = True
        writer.write(self._begin)
        with contextlib.suppress(ConnectionError):
            for _ in range(self._repeat):
                await asyncio.sleep(0.05 if self._repeat == 1 else 0)
                writer.write(self._part)
                await writer.drain()
        writer.close()


def open_table_store(talker):
    return TableStore(parse_address(talker.address), Metrics(), StoreTime(time.monotonic))


async def call_control(talker):
    """Return the answers to some orders, or calls for reports."""
    endpoints = HttpEndpoints()
    calls = (endpoints.control_call("GET", talker.url, "/", 10.0) for _ in range(AT_ONCE))
    found = await asyncio.gather(*calls)
    await endpoints.close()
    return found


async def call_store(store):
    """Return what some calls of a store give."""
    found = await asyncio.gather(*(store.get_object("a") for _ in range(AT_ONCE)))
    await store.close()
    return found


# Clients of a host itself, and answers of which more than a body has no end.
CONTROL_CLIENTS = {
    "reports and orders": call_control,
    "the platform's store": lambda talker: call_store(open_table_store(talker)),
    "the product's own platform": lambda talker: call_store(HttpPlatform(talker.url)),
}
ENDLESS_HEADS = ("head line", "head fields", "interim heads", "chunk extension", "trailers", "body")
GIVEN_UP_SECONDS = 5.0


def avoid_others(found, *babblers):
    """Let the host send its next requests to some endpoints."""
    [host] = found.hosts
    for key, state in host.fleet.states.items():
        if key not in {babbler.name for babbler in babblers}:
            state.health.record_loss(host.ctx.clock.monotonic())


def is_suspect(found, babbler):
    [host] = found.hosts
    return host.fleet.states[babbler.name].health.suspect(host.ctx.clock.monotonic())


async def answer_beside(found, babbler, kind, send, trace=True):
    """Send requests that an endpoint babbles at.

    Return the answers, the peak of memory, the log events, and whether the endpoint was avoided. To
    trace memory slows the host down: where a byte takes many steps, it is left out.
    """
    [host] = found.hosts
    events = []
    host.ctx.timeline.listeners.append(lambda event: events.append((event.name, event.endpoint)))
    babbler.script = [kind] * 10 * AT_ONCE
    avoid_others(found, babbler)
    if trace:
        tracemalloc.start()
    try:
        sends = [send(f"a{number}") for number in range(AT_ONCE)]
        noticed = asyncio.ensure_future(found.until(lambda: is_suspect(found, babbler)))
        answers = await asyncio.gather(*sends)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    with contextlib.suppress(TimeoutError):
        await noticed
    return answers, peak, events, noticed.exception() is None


class EndlessAnswersTest(unittest.TestCase):
    """Failure guarded against: a caller of a sound service gets 504 while one endpoint babbles.

    The endpoint answers with bytes that are no answer until its caller closes the connection. They
    fill the host's memory, or the deadline passes before they are given up.
    """

    def check(self, name, found, babbler, peak, most, events, noticed):
        self.assertLessEqual(peak, most or HOST_BYTES, name)
        self.assertTrue(noticed, name)
        logged = {event for event, endpoint in events if endpoint == babbler.name}
        self.assertTrue(logged & {"send_lost", "send_silent"}, name)

    @params(
        ("head line", CONTROL_BYTES),
        ("head fields", CONTROL_BYTES),
        ("interim heads", CONTROL_BYTES),
        ("chunk extension", CONTROL_BYTES),
        ("chunk extensions", CONTROL_BYTES),
        ("trailers", CONTROL_BYTES),
        ("refusal", CONTROL_BYTES),
        ("body", HOST_BYTES),
        ("body in chunks", HOST_BYTES),
        ("body in small chunks", None),
        ("body of a huge length", CONTROL_BYTES),
        ("slow body", CONTROL_BYTES),
        ("server error", HOST_BYTES),
    )
    def test_requests_are_answered_by_another_endpoint(self, kind, most):
        @run
        async def check(self):
            async with Deployment(pages=PAGES, bounds=RETRIES) as found:
                babbler = found.pages["p1"]
                answers, peak, *seen = await answer_beside(
                    found,
                    babbler,
                    kind,
                    lambda attempt: found.send("/fetch/", attempt, x_deadline_ms="3000"),
                    trace=most is not None,
                )
                self.assertEqual({(200, b"whole answer")}, {row[::2] for row in answers}, kind)
                self.check(kind, found, babbler, peak, most, *seen)
                await found.until(lambda: not babbler.babbling)

        check(self)

    @params("event", "event of many lines", "comment", "comments", "blank lines")
    def test_streams_come_from_another_endpoint(self, kind):
        self._stream(kind)

    @params("head line", "head fields", "interim heads")
    def test_the_links_of_a_host_are_not_blamed(self, kind):
        """A stream is forwarded to a host that sends it to the same endpoint, and is lost."""

        @run
        async def check(self):
            async with Deployment(engines=ENGINES, pages=PAGES, bounds=RETRIES) as found:
                babblers = found.engines["e1"], found.pages["p1"]
                for babbler in babblers:
                    babbler.script = [kind] * 10 * AT_ONCE
                avoid_others(found, *babblers)
                sends = [found.send("/recap/", f"s{n}", model="m0") for n in range(AT_ONCE)]
                sends += [found.send("/fetch/", f"f{n}") for n in range(AT_ONCE)]
                answers = await asyncio.gather(*sends)
                [host] = found.hosts
                events = host.ctx.timeline.select(Filter())
                lost = {event.endpoint for event in events if event.name == "send_lost"}
                self.assertEqual({babbler.name for babbler in babblers}, lost)
                self.assertNotIn("endpoint_links_suspected", {event.name for event in events})
                self.assertEqual([200] * 2 * AT_ONCE, [status for status, _, _ in answers])

        check(self)

    @params("event", "event of many lines", "comment", "comments", "blank lines")
    def test_a_stream_without_an_alternative_is_given_up_early(self, kind):
        """The memory of a host is not filled until the deadline of the stream."""

        @run
        async def check(self):
            async with Deployment(engines=ENGINES[:1]) as found:
                babbler = found.engines["e1"]
                babbler.script = [kind] * 10
                began_at = asyncio.get_running_loop().time()
                await found.send("/once/", "a1", model="m0")
                took = asyncio.get_running_loop().time() - began_at
                self.assertLess(took, 3.0, kind)
                await found.until(lambda: not babbler.babbling)

        check(self)

    def test_a_stream_goes_on_at_another_endpoint(self):
        self._stream("event after others")

    @run
    async def _stream(self, kind):
        async with Deployment(engines=ENGINES, bounds=RETRIES) as found:
            babbler = found.engines["e1"]
            answers, peak, *seen = await answer_beside(
                found, babbler, kind, lambda attempt: found.send("/recap/", attempt, model="m0")
            )
            for status, _, body in answers:
                self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)), kind)
            self.check(kind, found, babbler, peak, CONTROL_BYTES, *seen)
            await found.until(lambda: not babbler.babbling)

    @params("heads", "answers")
    def test_what_follows_an_answer_is_not_kept(self, kind):
        @run
        async def check(self):
            async with Deployment() as found:
                babbler = found.pages["p1"]
                babbler.script = [kind]
                tracemalloc.start()
                try:
                    status, _, body = await found.send("/fetch/")
                    self.assertEqual((200, b"body"), (status, body), kind)
                    await found.until(lambda: not babbler.babbling, 3.0)
                    peak = tracemalloc.get_traced_memory()[1]
                finally:
                    tracemalloc.stop()
                self.assertLessEqual(peak, CONTROL_BYTES, kind)

        check(self)


class LongAnswersTest(unittest.TestCase):
    """Failure guarded against: an answer that is only long is taken for one without end."""

    @params(
        (
            "fields",
            HEAD + b"x: %s\r\n" % (b"a" * 2000) * 100 + b"content-length: 4\r\n\r\nbody",
            b"body",
        ),
        ("interim heads", INTERIM * 8 + HEAD + b"content-length: 4\r\n\r\nbody", b"body"),
        ("small chunks", HEAD + CHUNKED + b"1\r\nx\r\n" * 400_000 + b"0\r\n\r\n", b"x" * 400_000),
        ("without a length", HEAD + b"\r\n" + b"x" * LONG, b"x" * LONG),
        ("with a length", HEAD + b"content-length: %d\r\n\r\n" % LONG + b"x" * LONG, b"x" * LONG),
    )
    def test_a_long_answer_is_whole(self, name, raw, expected):
        self.assertTrue(asyncio.run(fetch(raw, reset=False)) == expected, name)

    @params(
        ("of a known length", b"content-length: 700000\r\n\r\n", 4),
        ("of unknown length", b"\r\n", 1),
    )
    def test_long_answers_have_a_bounded_memory_together(self, name, field, whole):
        """An answer that names its length waits for others, one that doesn't is given up."""

        async def check():
            endpoints = HttpEndpoints("x-not-run", AnswerMemory(1_100_000, 1_000_000))
            raw = HEAD + field + b"x" * 700_000
            async with Endpoint(raw, reset=False) as endpoint:
                opened = [await endpoints.open(endpoint.url, GET) for _ in range(4)]
                found = await asyncio.gather(*(read_all(answer) for answer in opened))
                for answer in opened:
                    await answer.release()
            await endpoints.close()
            return found

        found = asyncio.run(check())
        self.assertGreaterEqual(sum(row == b"x" * 700_000 for row in found), whole, name)
        for row in found:
            self.assertIn(row if failed(row) else None, (None, GIVEN_UP), name)


class AnswerMemoryTest(unittest.TestCase):
    """Guards against a short answer that fails because of long ones beside it."""

    def setUp(self):
        self.given_up = []
        self.memory = AnswerMemory(limit=2 * MB, reservable=MB)

    def begin(self, name):
        return self.memory.begin(lambda: self.given_up.append(name))

    def test_the_longest_answer_is_given_up_first(self):
        short, long, longer = (self.begin(name) for name in ("short", "long", "longer"))
        for _ in range(3):
            self.assertTrue(short.set_size(100_000))
        self.assertTrue(long.set_size(900_000))
        self.assertFalse(longer.set_size(2 * MB))
        self.assertTrue(long.set_size(MB))
        self.assertEqual(["longer"], self.given_up)

    def test_any_number_of_short_answers_is_held(self):
        answers = [self.begin(number) for number in range(1000)]
        self.assertTrue(all(answer.set_size(FREE_BYTES) for answer in answers))

    def test_a_reservation_takes_the_memory_of_answers_without_a_length(self):
        endless = self.begin("endless")
        endless.set_size(MB + MB // 2)
        asyncio.run(self.begin("known").reserve(MB))
        self.assertEqual(["endless"], self.given_up)

    def test_a_reservation_that_is_not_used_is_given_up(self):
        async def check():
            stuck, whole = self.begin("stuck"), self.begin("whole")
            await stuck.reserve(MB)
            await asyncio.wait_for(whole.reserve(MB), 4 * WAIT_SECONDS)
            self.assertFalse(stuck.set_size(1))

        asyncio.run(check())
        self.assertEqual(["stuck"], self.given_up)

    def test_a_cancelled_wait_reserves_nothing(self):
        async def check():
            first, second, third = (self.begin(name) for name in range(3))
            await first.reserve(MB)
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(second.reserve(MB), 0.01)
            first.release()
            await asyncio.wait_for(third.reserve(MB), 0.01)

        asyncio.run(check())
        self.assertEqual([], self.given_up)


class ControlCallTest(unittest.TestCase):
    """Reports, orders and the store, whose answers are read whole."""

    @run
    async def test_a_report_in_two_parts_is_whole(self):
        """Guards against an engine that counts as failing as its long report arrives in parts."""
        async with Talker(HEAD + b"content-length: 6\r\n\r\n[1, ", b"2]", repeat=1) as talker:
            endpoints = HttpEndpoints()
            found = await endpoints.control_call("GET", talker.url, "/", 1.0)
            await endpoints.close()
        self.assertEqual((200, b"[1, 2]"), found)

    @run
    async def test_a_report_without_end_is_given_up_at_once(self):
        async with Talker(HEAD + b"\r\n", b"x" * 65536) as talker:
            endpoints = HttpEndpoints()
            found = await endpoints.control_call("GET", talker.url, "/", 10.0)
            await endpoints.close()
        self.assertEqual(GIVEN_UP, found)

    @params(
        ("the platform's store", open_table_store),
        ("the product's own platform", lambda talker: HttpPlatform(talker.url)),
    )
    def test_the_answers_of_a_store_have_a_bounded_memory(self, name, open_store):
        """Guards against a host that ends for want of memory while its store babbles."""

        @run
        async def check(self):
            async with Talker(HEAD + b"\r\n", b"x" * 65536) as talker:
                store = open_store(talker)
                tracemalloc.start()
                try:
                    calls = (store.get_object("a") for _ in range(AT_ONCE))
                    found = await asyncio.gather(*calls)
                    peak = tracemalloc.get_traced_memory()[1]
                finally:
                    tracemalloc.stop()
                await store.close()
            self.assertLessEqual(peak, CONTROL_BYTES, name)
            self.assertEqual([Failure(Kind.PLATFORM_DOWN, "EndlessAnswer")] * AT_ONCE, found, name)

        check(self)

    @params(*((client, kind) for client in CONTROL_CLIENTS for kind in ENDLESS_HEADS))
    def test_bytes_without_end_in_an_answer_to_a_host(self, client, kind):
        """Guards against a host that ends for want of memory while what it follows babbles."""
        begin, unit, _ = ENDLESS[kind]

        @run
        async def check(self):
            part = unit * (65536 // len(unit))
            async with Talker(begin.replace(b"%s", b""), part) as talker:
                began_at = time.monotonic()
                tracemalloc.start()
                try:
                    found = await CONTROL_CLIENTS[client](talker)
                    peak = tracemalloc.get_traced_memory()[1]
                finally:
                    tracemalloc.stop()
            self.assertLessEqual(peak, CONTROL_BYTES)
            self.assertLess(time.monotonic() - began_at, GIVEN_UP_SECONDS)
            self.assertTrue(all(map(failed, found)), found)

        check(self)

    @params(1000, 8 * MB)
    def test_a_long_object_is_whole(self, size):
        async def check():
            head = HEAD + b"content-length: %d\r\n\r\n" % size
            async with Talker(head, b"x" * size, repeat=1) as talker:
                store = open_table_store(talker)
                found = await store.get_object("a")
                await store.close()
            return found

        self.assertTrue(asyncio.run(check()) == b"x" * size)


class EndlessHostTest(unittest.TestCase):
    """Guards against a caller that gets 504 as another host, or what answers for it, babbles."""

    @params(
        ("a body", b"\r\n", b"x" * 65536),
        ("a chunk's extension", CHUNKED + b"4;", b"a" * 65536),
        ("a head line", b"x: ", b"a" * 65536),
        ("head fields", b"", b"x: a\r\n" * 10000),
        ("trailers", CHUNKED + b"0\r\n", b"x: a\r\n" * 10000),
    )
    def test_a_request_is_answered_through_a_third_host(self, name, begin, part):
        @run
        async def check(self):
            head = HEAD + b"x-response-signature: s\r\n"
            async with (
                Talker(head + begin, part) as talker,
                Deployment(hosts=3, pages=PAGES, gated=True) as found,
            ):
                await cut_off(found)
                forwarder = found.hosts[0].forwarder
                find_hosts = forwarder._find_hosts

                def find(tried):
                    rows = find_hosts(tried)
                    if tried or not rows:
                        return rows
                    return [replace(rows[0], fact=replace(rows[0].fact, relay=talker.address))]

                forwarder._find_hosts = find
                answer = await found.send("/fetch/", "a1", x_deadline_ms="3000")
                self.assertTrue(talker.called, name)
                self.assertEqual((200, b"whole answer"), answer[::2], name)

        check(self)
