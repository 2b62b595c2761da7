"""Planned stops of host processes, whose callers keep using them until the process is gone."""

import asyncio
import json
import signal
import tempfile
import time
import unittest
from dataclasses import dataclass
from pathlib import Path

import aiohttp
from nose2.tools import params

from extras.soak.deployment import READY, HostProcess, ready_status
from tests.kept_connection import Answer, KeptConnection, make_request
from tests.relay.deployment import CONFIG, ENGINE_CONFIG, ROUTES, STREAM
from tests.standins.runner import RunnerStandin
from tests.standins.tables import TableStandin

# Seconds from SIGTERM to SIGKILL, and those after it for which callers may not know of it.
GRACE_SECONDS = 8.0
UNKNOWN_SECONDS = 3.0
# Last part of the grace period, in which what an endpoint still works at may be cut.
LAST_SECONDS = GRACE_SECONDS / 6
# Seconds before its connection ends within which an unanswered request may have been sent.
CROSSING_SECONDS = 0.2
START_SECONDS = 30.0
# Seconds of traffic before the stop; of long streams the second one begins just after it.
CALM_SECONDS = 1.5
LONG_CALM_SECONDS = 3.6
CALLERS_PER_KIND = 3
# Events of a stream that outlasts its host, a deadline that does, and times of late requests.
HOLDING_EVENTS = 30
LONG_DEADLINE_MS = 30000
LATE_TIMES = (2.0, 2.9, 3.3, 4.0, 4.7, 5.3, 5.9, 6.4, 6.8, 7.1)
DEADLINE_MS = 9000
BIG_ANSWER_BYTES = 4 * 1024 * 1024
# Slow callers read their answers within six seconds.
SLOW_RATE = BIG_ANSWER_BYTES / 6
# An answer that a caller's link takes eight seconds for, and when it is asked for again.
LONG_ANSWER_BYTES = 16 * 1024 * 1024
LINK_RATE = LONG_ANSWER_BYTES / 8
AFTER_SIGNAL_SECONDS = 2.0
NOT_RUN = {429, 503}
MAYBE_RAN = 502
FILES = {
    "name": "files",
    "host": "shop.example",
    "prefix": "/files/",
    "kind": "non_idempotent",
    "timeout_ms": 10000,
    "service": "files",
    "max_attempts": 1,
}
LONG = {"name": "long", "prefix": "/long/", "resumable": False, "max_attempts": 1}
MODELS = [row | {"name": name} for row in ENGINE_CONFIG["models"][:1] for name in ("m0", "m1")]


@dataclass(frozen=True)
class Sent:
    """A request that a caller sent; times in seconds since the host got SIGTERM."""

    attempt: str
    sent_at: float
    ended_at: float
    answer: Answer

    @property
    def refused(self):
        """Return whether the caller was told that the request has not run."""
        return self.answer.whole and self.answer.status in NOT_RUN

    @property
    def served(self):
        return self.answer.whole and self.answer.status == 200


class StoppingDeployment:
    """Two hosts, of which the first is stopped, with engines, pages and an endpoint of big files.

    The engine of ``m1`` takes four seconds for a stream, that of ``m0`` one and a half.
    """

    def __init__(self, folder):
        self.hosts = [HostProcess(name, folder) for name in ("h0", "h1")]
        self.fast = RunnerStandin("e0", ["m0"])
        self.slow = RunnerStandin("e1", ["m1"])
        self.pages = RunnerStandin("p0")
        self.files = RunnerStandin("f0")
        self.fast.delay_seconds, self.slow.delay_seconds = 0.25, 0.65
        self.pages.delay_seconds = 0.2
        self.files.page = b"x" * BIG_ANSWER_BYTES
        self.stopped_at = float("inf")
        self.sent = []

    async def __aenter__(self):
        self.store = await TableStandin().start()
        services = {"engines": (self.fast, self.slow), "pages": (self.pages,)}
        for service, runners in (services | {"files": (self.files,)}).items():
            for runner in runners:
                await runner.start()
                self.store.put("servers", runner.name, runner.entry(service))
        routes = [*ROUTES, FILES, STREAM | LONG]
        engine = ENGINE_CONFIG | {"models": MODELS}
        services = [{"name": "engines", "engine": engine}, {"name": "pages"}, {"name": "files"}]
        config = CONFIG | {"routes": routes, "services": services}
        self.store.put("op", "config", json.dumps(config).encode())
        seeds = [host.address("control") for host in self.hosts]
        for host in self.hosts:
            host.write_settings(self.store.address, seeds, grace_s=GRACE_SECONDS)
            host.start()
        async with aiohttp.ClientSession() as session, asyncio.timeout(START_SECONDS):
            for host in self.hosts:
                while await ready_status(session, host) != READY:
                    await asyncio.sleep(0.05)
        return self

    async def __aexit__(self, *exc):
        for host in self.hosts:
            host.signal(signal.SIGKILL)
            await host.wait(1.0)
        for runner in (self.fast, self.slow, self.pages, self.files):
            await runner.stop()
        await self.store.stop()

    def now(self):
        return time.monotonic() - self.stopped_at

    async def stop_first(self):
        """Stop the first host; return the seconds until it has ended."""
        self.stopped_at = time.monotonic()
        self.hosts[0].signal(signal.SIGTERM)
        await self.hosts[0].wait(GRACE_SECONDS)
        return self.now()

    def executed(self):
        runners = (self.fast, self.slow, self.pages, self.files)
        return [attempt for runner in runners for attempt in runner.executed]

    def lost(self):
        """Return the requests of which a caller knows nothing, though they ran or were read."""
        executed = set(self.executed())
        lost = [row for row in self.sent if not row.answer.whole]
        lost = [
            row
            for row in lost
            if row.attempt in executed or row.ended_at - row.sent_at > CROSSING_SECONDS
        ]
        return [row for row in lost if not may_be_cut(row)]

    async def call(self, conn, request, attempt):
        sent_at = self.now()
        conn.send(request)
        answer = await conn.read_answer()
        self.sent.append(Sent(attempt, sent_at, self.now(), answer))
        return answer

    def start_callers(self, path, model):
        """Start callers that use the first host until it is gone, each at a pace of its own."""
        return [
            asyncio.ensure_future(self.use_until_gone(f"c{n}", path, model, 0.05 * n))
            for n in range(CALLERS_PER_KIND)
        ]

    async def use_until_gone(self, name, path, model="", pause=0.0):
        """Send one request after the other to the first host until it accepts no connection."""
        address, count = self.hosts[0].address("front"), 0
        while True:
            try:
                conn = await KeptConnection.open(address)
            except OSError:
                return
            closes = False
            while not closes:
                count += 1
                attempt = f"{name}-{count}"
                request = make_request(path, attempt, DEADLINE_MS, model)
                closes = (await self.call(conn, request, attempt)).closes
                await asyncio.sleep(pause)
            conn.close()


def may_be_cut(row):
    """Return whether a request was sent in time, and ended in the last part of the grace period."""
    return row.sent_at <= UNKNOWN_SECONDS and row.ended_at >= GRACE_SECONDS - LAST_SECONDS


def play(scenario):
    """Play a scenario against a deployment; return the deployment and what the scenario returns."""

    async def run():
        with tempfile.TemporaryDirectory() as folder:
            async with StoppingDeployment(Path(folder)) as found:
                return found, await asyncio.wait_for(scenario(found), 60)

    return asyncio.run(run())


class KeptConnectionTest(unittest.TestCase):
    """Guards against requests on kept connections that are cut as the host ends."""

    def test_callers_that_stay_get_whole_answers_or_refusals(self):
        """Short streams, long ones, and requests that run once."""
        for path, model, calm in (
            ("/recap/x", "m0", CALM_SECONDS),
            ("/long/x", "m1", LONG_CALM_SECONDS),
            ("/bind/x", "", CALM_SECONDS),
        ):
            self._check(path, model, calm)

    def _check(self, path, model, calm):
        async def scenario(found):
            callers = found.start_callers(path, model)
            await asyncio.sleep(calm)
            took = await found.stop_first()
            await asyncio.gather(*callers)
            return took

        found, took = play(scenario)
        executed = found.executed()
        self.assertEqual([], found.lost(), path)
        self.assertEqual([], [row for row in found.sent if row.refused and row.attempt in executed])
        self.assertTrue(any(row.sent_at > 0 and row.served for row in found.sent))
        self.assertLess(took, GRACE_SECONDS)


class SlowReaderTest(unittest.TestCase):
    """Guards against answers cut in a stopping host's buffers, which endpoints have sent whole."""

    @params(("whole answer", "/files/x", ""), ("stream", "/recap/x", "m0"))
    def test_an_answer_that_is_read_slowly_ends_whole(self, name, path, model):
        async def scenario(found):
            found.fast.event_padding = b"x" * (BIG_ANSWER_BYTES // found.fast.events)
            found.fast.delay_seconds = 0.0
            callers = []
            for number in range(CALLERS_PER_KIND):
                conn = await KeptConnection.open(found.hosts[0].address("front"), SLOW_RATE)
                attempt = f"s-{number}"
                request = make_request(path, attempt, DEADLINE_MS, model)
                callers.append(asyncio.ensure_future(found.call(conn, request, attempt)))
            await asyncio.sleep(0.5)
            await found.stop_first()
            return await asyncio.gather(*callers)

        _, answers = play(scenario)
        self.assertEqual([(200, True)] * 3, [(row.status, row.whole) for row in answers])


class SlowLinkTest(unittest.TestCase):
    """Guards against answers that a stopping host takes on and that their callers read too slowly.

    A caller on the same host whose link is fast is served.
    """

    def test_a_caller_is_refused_that_would_read_for_too_long(self):
        async def scenario(found):
            found.files.page = b"x" * LONG_ANSWER_BYTES
            address = found.hosts[0].address("front")
            slow, fast = [await KeptConnection.open(address, rate) for rate in (LINK_RATE, 0)]
            answers = []
            for number in range(2):
                raw = [make_request("/files/x", f"{n}-{number}", LONG_DEADLINE_MS) for n in "sf"]
                calls = [found.call(slow, raw[0], f"s-{number}")]
                calls.append(found.call(fast, raw[1], f"f-{number}"))
                if number:
                    stopping = asyncio.ensure_future(found.stop_first())
                    await asyncio.sleep(AFTER_SIGNAL_SECONDS)
                answers.append(await asyncio.gather(*calls))
            await stopping
            return answers

        found, answers = play(scenario)
        rows = [[(row.status, row.whole) for row in pair] for pair in answers]
        self.assertEqual([[(200, True), (200, True)], [(503, True), (200, True)]], rows)
        self.assertNotIn("s-1", found.executed())


class ArrivingBodyTest(unittest.TestCase):
    """Guards against requests that a stopping host has begun to read and never answers."""

    def test_a_request_whose_body_arrives_during_the_stop_is_answered(self):
        async def scenario(found):
            conn = await KeptConnection.open(found.hosts[0].address("front"))
            raw = make_request("/bind/x", "slow", DEADLINE_MS, body=b"x" * 2000)
            conn.send(raw[:-1000])
            await asyncio.sleep(0.2)
            stopping = asyncio.ensure_future(found.stop_first())
            # The host would end after UNKNOWN_SECONDS if it owed no answer.
            await asyncio.sleep(UNKNOWN_SECONDS + 0.5)
            conn.send(raw[-1000:])
            answer = await conn.read_answer()
            await stopping
            return answer

        _, answer = play(scenario)
        self.assertTrue(answer.whole, answer)
        self.assertIn(answer.status, {200} | NOT_RUN)


class UnansweredTest(unittest.TestCase):
    """Guards against a request that ran and has no answer, or a 500, as its host ends."""

    def test_a_request_at_a_silent_endpoint_is_answered_before_the_end(self):
        async def scenario(found):
            found.files.script = ["silent"]
            conn = await KeptConnection.open(found.hosts[0].address("front"))
            request = make_request("/files/x", "last", DEADLINE_MS)
            asked = asyncio.ensure_future(found.call(conn, request, "last"))
            await asyncio.sleep(0.2)
            await found.stop_first()
            return await asked

        found, answer = play(scenario)
        self.assertEqual((MAYBE_RAN, True), (answer.status, answer.whole))
        self.assertIn("last", found.executed())


class PipelineTest(unittest.TestCase):
    """Guards against requests that wait behind another one, and are dropped with the connection."""

    def test_requests_in_a_pipeline_are_all_answered(self):
        async def scenario(found):
            conn = await KeptConnection.open(found.hosts[0].address("front"))
            stopping = asyncio.ensure_future(found.stop_first())
            await asyncio.sleep(UNKNOWN_SECONDS - 0.2)
            paths = (("/recap/x", "m0"), ("/bind/x", ""), ("/fetch/x", ""))
            raw = [
                make_request(*row[:1], f"p{n}", DEADLINE_MS, row[1]) for n, row in enumerate(paths)
            ]
            conn.send(b"".join(raw))
            answers = [await conn.read_answer() for _ in raw]
            await stopping
            return answers

        _, answers = play(scenario)
        self.assertEqual([True] * 3, [row.whole for row in answers])

    def test_a_request_in_part_behind_an_unanswered_one_is_refused(self):
        """Guards against a 500 for a request that begins only as the one before it is given up."""

        async def scenario(found):
            found.files.script = ["silent"]
            conn = await KeptConnection.open(found.hosts[0].address("front"))
            part = make_request("/bind/x", "part", DEADLINE_MS, body=b"x" * 2000)[:-1000]
            conn.send(make_request("/files/x", "first", DEADLINE_MS) + part)
            await asyncio.sleep(0.5)
            stopping = asyncio.ensure_future(found.stop_first())
            answers = [await conn.read_answer() for _ in range(2)]
            await stopping
            return answers

        _, answers = play(scenario)
        self.assertEqual([(MAYBE_RAN, True), (503, True)], [(a.status, a.whole) for a in answers])


class AnnouncedTest(unittest.TestCase):
    """Guards against callers that go on using a connection as nobody told them that it ends."""

    def test_answers_of_a_stopping_host_end_their_connections(self):
        async def scenario(found):
            conn = await KeptConnection.open(found.hosts[0].address("front"))
            before = await found.call(conn, make_request("/fetch/x", "a1", DEADLINE_MS), "a1")
            stopping = asyncio.ensure_future(found.stop_first())
            await asyncio.sleep(0.2)
            after = await found.call(conn, make_request("/fetch/x", "a2", DEADLINE_MS), "a2")
            await stopping
            return before, after

        _, (before, after) = play(scenario)
        self.assertFalse(before.closes)
        self.assertEqual((200, True), (after.status, after.closes))

    def test_an_idle_connection_does_not_hold_the_host(self):
        async def scenario(found):
            conn = await KeptConnection.open(found.hosts[0].address("front"))
            await found.call(conn, make_request("/fetch/x", "a1", DEADLINE_MS), "a1")
            took = await found.stop_first()
            return took, await conn.read_answer()

        _, (took, after) = play(scenario)
        self.assertLess(took, GRACE_SECONDS - LAST_SECONDS)
        self.assertFalse(after.whole)


class LongPromptTest(unittest.TestCase):
    """Guards against answers that are cut as few tokens were to follow a prompt read for long."""

    def test_an_answer_of_few_tokens_is_refused_where_its_prompt_takes_too_long(self):
        async def scenario(found):
            # All the time passes before the first event, whatever tokens are allowed.
            found.slow.events, found.slow.delay_seconds = 1, 5.0
            conn = await KeptConnection.open(found.hosts[0].address("front"))
            raw = make_request("/long/x", "many", DEADLINE_MS, "m1", x_token_counts="900,2000")
            before = await found.call(conn, raw, "many")
            stopping = asyncio.ensure_future(found.stop_first())
            await asyncio.sleep(UNKNOWN_SECONDS - 0.5)
            raw = make_request("/long/x", "few", DEADLINE_MS, "m1", x_token_counts="900,20")
            after = await found.call(conn, raw, "few")
            await stopping
            return before, after

        found, (before, after) = play(scenario)
        self.assertEqual((200, True), (before.status, before.whole))
        self.assertTrue(after.whole, after)
        self.assertIn(after.status, NOT_RUN)
        self.assertNotIn("few", found.executed())


class UnknownRouteTest(unittest.TestCase):
    """Guards against hosts that refuse all requests of routes that they have not served yet."""

    def test_a_short_answer_is_served_at_the_start_of_a_stop(self):
        async def scenario(found):
            stopping = asyncio.ensure_future(found.stop_first())
            await asyncio.sleep(0.2)
            conn = await KeptConnection.open(found.hosts[0].address("front"))
            answer = await found.call(conn, make_request("/files/x", "new", DEADLINE_MS), "new")
            await stopping
            return answer

        self.assertEqual(200, play(scenario)[1].status)


class SilentEngineTest(unittest.TestCase):
    """Guards against streams that last longer than foreseen, as sound engines fall silent."""

    def test_streams_end_whole_though_the_engine_is_silent_for_a_while(self):
        async def scenario(found):
            callers = found.start_callers("/recap/x", "m0")
            await asyncio.sleep(CALM_SECONDS)
            stopping = asyncio.ensure_future(found.stop_first())
            await asyncio.sleep(UNKNOWN_SECONDS)
            await found.fast.freeze(1.3)
            await stopping
            await asyncio.gather(*callers)

        found, _ = play(scenario)
        self.assertEqual([], found.lost())


class LateRequestTest(unittest.TestCase):
    """Guards against requests that come late in the grace period, and are cut after they ran.

    One long answer keeps the host until its end, and answers take longer than before the signal.
    """

    @params(
        *(
            (way, path, model, slower)
            for way, slower in (
                ("body", 4.0),
                ("body", 16.0),
                ("pipeline", 4.0),
                ("new connection", 4.0),
            )
            for path, model in (("/bind/x", ""), ("/recap/x", "m0"), ("/once/x", "m0"))
        )
    )
    def test_late_requests_are_answered(self, way, path, model, slower):
        async def scenario(found):
            address = found.hosts[0].address("front")
            found.slow.events = HOLDING_EVENTS
            holder = await KeptConnection.open(address)
            callers = found.start_callers(path, model)
            await asyncio.sleep(CALM_SECONDS)
            held = make_request("/long/x", "held", LONG_DEADLINE_MS, "m1")
            late = [asyncio.ensure_future(found.call(holder, held, "held"))]
            await asyncio.sleep(0.3)
            stopping = asyncio.ensure_future(found.stop_first())
            for at in LATE_TIMES:
                late.append(asyncio.ensure_future(self.send_late(found, way, path, model, at)))
            await asyncio.sleep(UNKNOWN_SECONDS / 2)
            found.pages.delay_seconds *= slower
            found.fast.delay_seconds *= slower
            took = await stopping
            await asyncio.gather(*callers, *late)
            return took

        found, took = play(scenario)
        executed = found.executed()
        self.assertEqual([], [row for row in found.lost() if row.attempt != "held"])
        self.assertEqual([], [row for row in found.sent if row.refused and row.attempt in executed])
        self.assertGreater(took, GRACE_SECONDS - LAST_SECONDS)

    async def send_late(self, found, way, path, model, at):
        """Send a request that arrives so many seconds after the signal."""
        address, attempt = found.hosts[0].address("front"), f"late-{at}"
        raw = make_request(path, attempt, LONG_DEADLINE_MS, model, body=b"x" * 2000)
        begin, end = (raw[:-1000], raw[-1000:]) if way == "body" else (b"", raw)
        opens_at = at if way == "new connection" else min(at, UNKNOWN_SECONDS - 0.1)
        await asyncio.sleep(max(0.0, opens_at - found.now()))
        try:
            conn = await KeptConnection.open(address)
        except OSError:
            return
        if way == "pipeline":
            first = make_request("/recap/x", f"before-{at}", LONG_DEADLINE_MS, "m0")
            before = asyncio.ensure_future(found.call(conn, first, f"before-{at}"))
        conn.send(begin)
        await asyncio.sleep(max(0.0, at - found.now()))
        if way != "pipeline":
            await found.call(conn, end, attempt)
            return
        conn.send(end)
        sent_at = found.now()
        if not (await before).closes:
            found.sent.append(Sent(attempt, sent_at, found.now(), await conn.read_answer()))
