"""Endpoints whose answers never end, and long answers that do."""

import asyncio
import contextlib
import tracemalloc
import unittest
from dataclasses import replace

from nose2.tools import params

from tests.relay.deployment import BOUNDS, Deployment
from tests.relay.test_endings import HEAD, fetch
from tests.relay.test_relay import run

MB = 1024 * 1024
# Memory of a host that is for its control.
CONTROL_BYTES = 32 * MB
# Requests that the endpoint gets at once; the service has retries for all of them.
AT_ONCE = 8
RETRIES = replace(BOUNDS, retry_extra=20.0 * AT_ONCE)
LONG = 40 * MB
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
PAGES = ("p1", "p2", "p3")


def avoid_others(found, babbler):
    """Let the host send its next requests to one endpoint."""
    [host] = found.hosts
    for key, state in host.fleet.states.items():
        if key != babbler.name:
            state.health.record_loss(host.ctx.clock.monotonic())


def is_suspect(found, babbler):
    [host] = found.hosts
    return host.fleet.states[babbler.name].health.suspect(host.ctx.clock.monotonic())


async def answer_beside(found, babbler, kind, send):
    """Send requests that an endpoint babbles at; return answers, peak memory and log events."""
    [host] = found.hosts
    events = []
    host.ctx.timeline.listeners.append(lambda event: events.append((event.name, event.endpoint)))
    babbler.script = [kind] * 10 * AT_ONCE
    avoid_others(found, babbler)
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
        self.assertLessEqual(peak, most, name)
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
                )
                self.assertEqual({(200, b"whole answer")}, {row[::2] for row in answers}, kind)
                self.check(kind, found, babbler, peak, most, *seen)
                await found.until(lambda: not babbler.babbling)

        check(self)

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
