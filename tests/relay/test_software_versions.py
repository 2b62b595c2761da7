"""Streams in a service whose endpoints have several software versions."""

import asyncio
import math
import unittest
from dataclasses import replace

from peridotdock.decisions.stream_versions import Binding
from peridotdock.events import Filter
from peridotdock.relay.stream_versions import hash_attempt
from tests.relay.deployment import BOUNDS, Deployment
from tests.relay.test_forwarding import PAGES, abort, cut_off
from tests.relay.test_partition import MAX_REFUSAL_SECONDS
from tests.relay.test_relay import ids, run

PAIRS = (("e1", "v1"), ("e2", "v2"), ("e3", "v1"), ("e4", "v2"))
STREAMS = 12
MANY_RETRIES = 1000.0
# Seconds until an engine's first event, longer than a host waits before it tries another engine.
FIRST_EVENT_SECONDS = 1.4
# Seconds until a late report, and within which a stream ends after its last event.
LATE_REPORT_SECONDS = 1.0
MAX_END_SECONDS = 0.2


def deploy(pairs=PAIRS, hosts=1, gated=False):
    """Return a deployment of engines with the same model and the given software versions."""
    engines = [(name, ("m0",)) for name, _ in pairs]
    found = Deployment(hosts=hosts, engines=engines, pages=PAGES, gated=gated)
    for name, software in pairs:
        found.engines[name].software = software
    return found


def versions(found, attempt):
    """Return the software versions of the engines that ran an attempt."""
    engines = found.engines.values()
    return {engine.software for engine in engines if attempt in engine.executed}


def cut_first_engine(found, software):
    """Let the first engine of a version, and no other, cut the next stream there."""
    engines = found.engines.values()
    first = next(engine for engine in engines if engine.software == software)
    for engine in engines:
        engine.script = ["cut"] if engine is first else []


def turn(number):
    """Return the version at which a stream begins, by turns."""
    return f"v{number % 2 + 1}"


def allow_retries(found):
    """Let refusals, by which tests send requests to other engines, use up no retry budget."""
    for host in found.hosts:
        host.retries._bounds = replace(BOUNDS, retry_extra=MANY_RETRIES)


async def begin(found, attempt, to=0, software=""):
    """Receive the first events of a stream at a host, from engines of a version, and leave."""
    allow_retries(found)
    engines = found.engines.values()
    for engine in engines:
        engine.halfway_event = asyncio.Event()
        engine.script = ["refuse"] if software not in ("", engine.software) else []
    sent = asyncio.ensure_future(found.send("/recap/", attempt, model="m0", to=to))
    timeline = found.hosts[to].ctx.timeline
    wanted = Filter(request=attempt)
    await found.until(lambda: any(event.name == "first_event" for event in timeline.select(wanted)))
    await asyncio.sleep(0.02)
    sent.cancel()
    for engine in engines:
        engine.halfway_event = None


class OneAnswerTest(unittest.TestCase):
    """Guards against an answer that joins events of two software versions."""

    @run
    async def test_a_stream_is_resumed_at_the_version_that_began_it(self):
        for name, hosts, gated in (("by the caller's host", 1, False), ("by another", 3, True)):
            async with deploy(hosts=hosts, gated=gated) as found:
                if gated:
                    await cut_off(found)
                for number in range(STREAMS):
                    cut_first_engine(found, f"v{number % 2 + 1}")
                    status, _, body = await found.send("/recap/", f"a{number}", model="m0")
                    self.assertEqual(1, len(versions(found, f"a{number}")), (name, number))
                    self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)), name)

    @run
    async def test_a_stream_is_not_resumed_where_no_endpoint_of_its_version_is_left(self):
        async with deploy(PAIRS[:2]) as found:
            for engine in found.engines.values():
                engine.script = ["cut"] * 2
            began = asyncio.get_running_loop().time()
            for number in range(4):
                await found.send("/recap/", f"a{number}", model="m0")
                self.assertEqual(1, len(versions(found, f"a{number}")), number)
            self.assertLess(asyncio.get_running_loop().time() - began, 4 * MAX_REFUSAL_SECONDS)

    @run
    async def test_a_forwarded_stream_is_resumed_at_its_version_where_the_other_host_is_lost(self):
        async with deploy(hosts=3, gated=True) as found:
            await cut_off(found)
            allow_retries(found)
            for engine in found.engines.values():
                engine.halfway_event = asyncio.Event()
            sent = asyncio.ensure_future(found.send("/recap/", "a1", model="m0"))
            await found.until(lambda: versions(found, "a1"))
            [began] = versions(found, "a1")
            busy = next(host for host in found.hosts[1:] if host.responder.in_progress)
            await asyncio.sleep(0.1)
            # Both engines of the version that began it refuse first, those of the other take it.
            for engine in found.engines.values():
                engine.script = ["refuse"] * (engine.software == began)
            found.hosts.remove(busy)
            await abort(busy)
            for engine in found.engines.values():
                engine.halfway_event.set()
            status, _, body = await sent
            self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)))
            self.assertEqual({began}, versions(found, "a1"))
            refusing = [engine for engine in found.engines.values() if engine.software == began]
            self.assertEqual(2, sum(len(engine.refusals) for engine in refusing))


class SilentTest(unittest.TestCase):
    """Guards against a stream bound to the version of a send whose events were not passed on."""

    @run
    async def test_a_silent_endpoint_goes_on_once_another_one_has_begun(self):
        """The stream is of the other one then, and so is its version."""
        async with deploy(PAIRS[:2]) as found:
            host, first = found.hosts[0], found.engines["e1"]
            first.delay_seconds = FIRST_EVENT_SECONDS
            answer = host.service.open_answer

            async def answer_late(req, caller, progress):
                result = await answer(req, caller, progress)
                if progress.working:
                    await asyncio.sleep(FIRST_EVENT_SECONDS)
                return result

            host.service.open_answer = answer_late
            found.engines["e2"].room = 0
            sent = asyncio.ensure_future(found.send("/recap/", "a0", model="m0"))
            await found.until(lambda: "a0" in first.executed)
            found.engines["e2"].room = math.inf
            await found.until(lambda: "a0" in found.engines["e2"].executed)
            first.delay_seconds = 0
            status, _, body = await sent
            self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)))
            self.assertNotIn(b"e1", body)
            versions = host.stream_versions
            now = host.ctx.clock.monotonic()
            bound = versions._own.find(hash_attempt("a0"), now, versions.seconds)
            self.assertEqual(Binding("engines", "v2"), bound)

    @run
    async def test_a_stream_ends_while_a_send_elsewhere_waits_for_a_report(self):
        """The answer's end waits for a send that is not needed any more."""
        async with deploy((("e1", "v1"), ("e2", "v1"))) as found:
            engines = found.engines
            engines["e2"].room = 0
            engines["e1"].halfway_event = asyncio.Event()
            sent = asyncio.ensure_future(found.send("/recap/", "a0", model="m0"))
            await found.until(lambda: "a0" in engines["e1"].executed)
            engines["e2"].room = math.inf
            engines["e2"].report_delay_seconds = LATE_REPORT_SECONDS
            await found.until(lambda: found.hosts[0].service._starts._reading)
            began = asyncio.get_running_loop().time()
            engines["e1"].halfway_event.set()
            status, _, body = await sent
            self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)))
            self.assertEqual([], engines["e2"].executed)
            self.assertLess(asyncio.get_running_loop().time() - began, MAX_END_SECONDS)


class TriesTest(unittest.TestCase):
    """Guards against a stream that a caller takes up at another version than began it."""

    @run
    async def test_a_stream_is_taken_up_at_another_host_at_the_version_that_began_it(self):
        async with deploy(hosts=2) as found:
            mixed = []
            for number in range(STREAMS):
                first, second = f"a{number}", f"b{number}"
                await begin(found, first, 0, turn(number))
                for engine in found.engines.values():
                    engine.script = ["refuse"] * 3 if first in engine.executed else []
                more = {"resumes": first, "last_event_id": "3"}
                status, _, body = await found.send("/recap/", second, model="m0", to=1, **more)
                self.assertEqual((200, [4, 5, 6]), (status, ids(body)))
                if versions(found, first) != versions(found, second):
                    mixed.append(second)
            self.assertEqual([], mixed)
