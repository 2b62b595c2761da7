"""Streams at endpoints that have restarted at another software version, under the entry before."""

import asyncio
import math
import unittest
from functools import partial

from nose2.tools import params

from peridotdock.decisions.connectivity import LinkState
from peridotdock.decisions.stream_versions import UNKNOWN_SOFTWARE
from peridotdock.relay.stream_versions import hash_attempt
from tests.relay.test_forwarding import cut_off
from tests.relay.test_partition import wait_linked
from tests.relay.test_relay import ids, run
from tests.relay.test_software_versions import allow_retries, begin, cut_first_engine, deploy

MIXED = (("e1", "v1"), ("e2", "v1"), ("e3", "v2"))
ALL_OLD = tuple((name, "v1") for name, _ in MIXED)
STREAMS = 8
# Seconds between two events, in which other engines accept requests again.
EVENT_SECONDS = 0.03
# Seconds until a late report, longer than hosts wait for one.
LATE_SECONDS = 0.6
# Seconds until a report that hosts wait for, longer than a stream that its engine cuts.
REPORT_SECONDS = 0.2
SERVICES = (("two versions", MIXED), ("one version", ALL_OLD))
WAYS = (("by the caller's host", False), ("by another host", True))
ROWS = tuple((*service, *way) for service in SERVICES for way in WAYS)


def versions(found, *attempts):
    """Return the software versions at which attempts ran."""
    rows = (row.software_by_attempt for row in found.engines.values())
    return set().union(*(row.get(attempt, ()) for row in rows for attempt in attempts))


async def receive_cut(found, name, attempt, full="", on_begun=lambda: None):
    """Send a stream that one engine begins and cuts, while another is full; return the ids."""
    return ids(await send_cut(found, name, attempt, full, on_begun))


async def send_cut(found, name, attempt, full="", on_begun=lambda: None):
    """Send such a stream; return its body, empty if the answer broke off.

    ``on_begun`` is called once the engine runs it.
    """
    allow_retries(found)
    first = found.engines[name]
    for engine in found.engines.values():
        engine.script = ["cut", "refuse"] if engine is first else []
        engine.room = math.inf if engine is first else 0
        engine.delay_seconds = EVENT_SECONDS
    sent = asyncio.ensure_future(found.send("/recap/", attempt, model="m0"))
    await found.until(lambda: attempt in first.executed or sent.done())
    for engine in found.engines.values():
        engine.room = 0 if engine.name == full else math.inf
    on_begun()
    _, _, body = await sent
    return body if isinstance(body, bytes) else b""


def restart_after_report(found, name):
    """Let an engine restart at another version as soon as a host has asked which start runs."""

    def wrap(find):
        async def find_and_restart(state, after=None):
            check = await find(state, after)
            engine = found.engines[name]
            if state.key == name and engine.software == "v1":
                engine.restart_unseen("v2")
                # Hosts notice that their connections to the start before have ended.
                await asyncio.sleep(EVENT_SECONDS)
            return check

        return find_and_restart

    for host in found.hosts:
        starts = host.service._starts
        starts.find_running = wrap(starts.find_running)


async def take_up(found, first, second, to=1):
    """Take a stream up at a host, by default another; the endpoint that began it refuses."""
    allow_retries(found)
    for engine in found.engines.values():
        engine.script = ["refuse"] * 3 if first in engine.executed else []
    more = {"resumes": first, "last_event_id": "3"}
    return await found.send("/recap/", second, model="m0", to=to, **more)


def knows_unknown(host, attempt):
    """Return whether a host knows that the version of a stream is unknown."""
    binding = host.stream_versions._find_binding(hash_attempt(attempt))
    return binding is not None and binding.software == UNKNOWN_SOFTWARE


class OneAnswerTest(unittest.TestCase):
    """Guards against an answer of two software versions, one of them not in any entry yet."""

    @params(*ROWS)
    def test_a_stream_that_began_at_a_restarted_endpoint(self, name, pairs, way, cut):
        @run
        async def check(self):
            async with deploy(pairs, hosts=3 if cut else 1, gated=cut) as found:
                if cut:
                    await cut_off(found)
                found.engines["e1"].restart_unseen("v2")
                for number in range(STREAMS):
                    await receive_cut(found, "e1", f"a{number}")
                    self.assertEqual({"v2"}, versions(found, f"a{number}"), (name, way))

        check(self)

    @params(*ROWS)
    def test_a_stream_that_goes_on_where_a_restarted_endpoint_is(self, name, pairs, way, cut):
        @run
        async def check(self):
            async with deploy(pairs, hosts=3 if cut else 1, gated=cut) as found:
                if cut:
                    await cut_off(found)
                found.engines["e1"].restart_unseen("v2")
                for number in range(STREAMS):
                    arrived = await receive_cut(found, "e2", f"a{number}", full="e3")
                    self.assertEqual({"v1"}, versions(found, f"a{number}"), (name, way))
                    self.assertEqual([1, 2, 3, 4, 5, 6][: len(arrived)], arrived)

        check(self)


class RestartAfterReportTest(unittest.TestCase):
    """Guards against a stream that goes on at an endpoint which restarts before it gets it."""

    @params(*ROWS)
    def test_a_stream_does_not_go_on_within_its_answer(self, name, pairs, way, cut):
        @run
        async def check(self):
            async with deploy(pairs, hosts=3 if cut else 1, gated=cut) as found:
                if cut:
                    await cut_off(found)
                found.engines["e2"].source = "another"
                restart_after_report(found, "e2")
                body = await send_cut(found, "e1", "a1", full="e3")
                self.assertIn("a1", found.engines["e2"].executed, (name, way))
                self.assertNotIn(b"another", body, (name, way))

        check(self)

    @params(*SERVICES)
    def test_a_caller_takes_a_stream_up(self, name, pairs):
        @run
        async def check(self):
            async with deploy(pairs, hosts=2) as found:
                await wait_linked(found)
                for engine in found.engines.values():
                    engine.room = math.inf if engine.name == "e1" else 0
                await begin(found, "a1", 0)
                found.engines["e2"].room = math.inf
                found.engines["e2"].source = "another"
                restart_after_report(found, "e2")
                _, _, body = await take_up(found, "a1", "b1")
                self.assertIn("b1", found.engines["e2"].executed, name)
                self.assertNotIn(b"another", body, name)

        check(self)


class SuspectedLinksTest(unittest.TestCase):
    """Guards against an answer that goes on through another host at another version.

    Failing endpoints make a host doubt its links just when the streams there break off, before it
    knows which start began them. The other host can't find that out.
    """

    async def receive_through(self, found, attempt):
        """Receive a stream that e1 cuts while its host doubts its links; return the ids."""
        found.engines["e1"].report_delay_seconds = REPORT_SECONDS
        links = found.hosts[0].connectivity.links

        def suspect():
            links.state = LinkState.SUSPECTED

        arrived = await receive_cut(found, "e1", attempt, on_begun=suspect)
        links.state = LinkState.CONNECTED
        return arrived

    @params(*SERVICES)
    def test_a_stream_that_began_at_a_restarted_endpoint(self, name, pairs):
        @run
        async def check(self):
            async with deploy(pairs, hosts=2) as found:
                await wait_linked(found)
                found.engines["e1"].restart_unseen("v2")
                for number in range(STREAMS):
                    await self.receive_through(found, f"a{number}")
                    self.assertEqual({"v2"}, versions(found, f"a{number}"), (name, number))

        check(self)

    @params(*SERVICES)
    def test_a_stream_that_began_at_a_sound_endpoint(self, name, pairs):
        @run
        async def check(self):
            async with deploy(pairs, hosts=2) as found:
                await wait_linked(found)
                for number in range(STREAMS):
                    arrived = await self.receive_through(found, f"a{number}")
                    self.assertEqual({"v1"}, versions(found, f"a{number}"), (name, number))
                    self.assertEqual([1, 2, 3, 4, 5, 6], arrived, (name, number))

        check(self)


class TriesTest(unittest.TestCase):
    """Guards against a caller's stream at two software versions, one not in any entry yet."""

    @run
    async def test_a_stream_that_began_at_a_restarted_endpoint(self):
        async with deploy(MIXED, hosts=2) as found:
            await wait_linked(found)
            found.engines["e1"].restart_unseen("v2")
            for number in range(STREAMS):
                first, second = f"a{number}", f"b{number}"
                await receive_cut(found, "e1", first)
                await take_up(found, first, second)
                self.assertEqual({"v2"}, versions(found, first, second), number)

    @run
    async def test_a_stream_that_began_at_a_restarted_endpoint_of_the_only_version(self):
        """Its host knows that the version is unknown, and the others see a single one."""
        async with deploy(ALL_OLD, hosts=3) as found:
            await wait_linked(found)
            found.engines["e1"].restart_unseen("v2")
            hub = next(host for host in found.hosts if host.peers.is_hub())
            for number in range(STREAMS):
                first, second = f"a{number}", f"b{number}"
                await receive_cut(found, "e1", first)
                # Nothing is held back; the frame may still be on its way.
                self.assertEqual({}, found.hosts[0].stream_versions._untold)
                await found.until(partial(knows_unknown, hub, first))
                await take_up(found, first, second, to=1 + number % 2)
                self.assertEqual({"v2"}, versions(found, first, second), number)

    @params(*SERVICES)
    def test_a_stream_that_its_host_could_not_resume(self, name, pairs):
        """The host finds where it began only as it breaks off, and forgets that at once."""

        @run
        async def check(self):
            async with deploy(pairs) as found:
                found.engines["e1"].restart_unseen("v2")
                for number in range(STREAMS):
                    first, second = f"a{number}", f"b{number}"
                    await receive_cut(found, "e1", first)
                    await take_up(found, first, second, to=0)
                    self.assertEqual({"v2"}, versions(found, first, second), (name, number))

        check(self)

    @params(*SERVICES)
    def test_a_stream_that_goes_on_where_a_restarted_endpoint_is(self, name, pairs):
        @run
        async def check(self):
            async with deploy(pairs, hosts=2) as found:
                await wait_linked(found)
                for engine in found.engines.values():
                    engine.room = math.inf if engine.name == "e2" else 0
                for number in range(STREAMS):
                    await begin(found, f"a{number}", 0)
                found.engines["e1"].room = math.inf
                found.engines["e1"].restart_unseen("v2")
                for number in range(STREAMS):
                    await take_up(found, f"a{number}", f"b{number}")
                    self.assertEqual({"v1"}, versions(found, f"a{number}", f"b{number}"), name)

        check(self)


class LateReportTest(unittest.TestCase):
    """Guards against streams that end at sound endpoints, as these are late to name their start."""

    @params(*SERVICES)
    def test_a_stream_goes_on_within_its_answer(self, name, pairs):
        @run
        async def check(self):
            async with deploy(pairs) as found:
                allow_retries(found)
                for engine in found.engines.values():
                    engine.report_delay_seconds = LATE_SECONDS
                for number in range(STREAMS):
                    cut_first_engine(found, "v1")
                    status, _, body = await found.send("/recap/", f"a{number}", model="m0")
                    self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)), name)
                    self.assertEqual(1, len(versions(found, f"a{number}")))

        check(self)

    @run
    async def test_a_stream_goes_on_at_another_host(self):
        async with deploy(MIXED, hosts=2) as found:
            await wait_linked(found)
            for engine in found.engines.values():
                engine.report_delay_seconds = LATE_SECONDS
            for engine in found.engines.values():
                engine.room = 0 if engine.name == "e3" else math.inf
            for number in range(STREAMS):
                first, second = f"a{number}", f"b{number}"
                await begin(found, first, 0)
                status, _, body = await take_up(found, first, second)
                self.assertEqual((200, [4, 5, 6]), (status, ids(body)), number)
                self.assertEqual({"v1"}, versions(found, first, second))
