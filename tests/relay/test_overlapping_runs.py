"""A stream that goes on at another engine while its first one is silent, and both at work."""

import asyncio
import unittest

from tests.relay.deployment import STREAM, Deployment
from tests.relay.test_relay import ids, run
from tests.relay.test_replacing import THREE_ENGINES
from tests.relay.test_silence import ALL_EVENTS, ENGINES, begin_stream

# Seconds after which the engine before may not work on a stream that goes on at another one.
MAX_OVERLAP_SECONDS = 0.4
# Seconds for which an engine reads a long prompt, and for which reports are late.
LONG_PROMPT_SECONDS = 0.8
LATE_REPORT_SECONDS = 0.38
# Seconds between two events of an engine that is slow and not silent.
EVENT_SECONDS = 0.3

# Seconds from the second send until the first engine goes on.
WAKE_SECONDS = 0.05
# Seconds for which two engines are silent together.
SILENCE_SECONDS = 2.0

# What a second engine takes its time with: its prompt, its reports and its events, in seconds.
SLOW_SECONDS = (
    ("a long prompt", LONG_PROMPT_SECONDS, 0.0, 0.0),
    ("late reports", 0.0, LATE_REPORT_SECONDS, 0.0),
    ("a long prompt and late reports", LONG_PROMPT_SECONDS, LATE_REPORT_SECONDS, 0.0),
    ("slow events", 0.0, 0.0, EVENT_SECONDS),
)


async def begin_first(found):
    """Begin a stream that stops half way at any engine; return its task and its engine."""
    gate = asyncio.Event()
    for engine in found.engines.values():
        engine.halfway_event = gate
    sent = asyncio.ensure_future(found.send("/recap/", "a1", model="m0"))
    await found.until(lambda: any(row.runs for row in found.engines.values()))
    await asyncio.sleep(0.1)
    return sent, gate, next(row for row in found.engines.values() if row.runs)


def slow_down(engine, prompt, report, event):
    engine.prompt_seconds, engine.delay_seconds = prompt, event
    engine.report_delay_seconds = report


def find_overlaps(play):
    """Return by name for how long both engines worked, where that is too long."""
    rows = {name: asyncio.run(play(*seconds)) for name, *seconds in SLOW_SECONDS}
    return {name: seconds for name, seconds in rows.items() if seconds >= MAX_OVERLAP_SECONDS}


class OverlappingRunsTest(unittest.TestCase):
    """Guards against streams that two engines are at work on for longer than allowed."""

    def test_a_stream_is_not_left_at_two_engines(self):
        self.assertEqual({}, find_overlaps(self._go_on))

    async def _go_on(self, prompt, report, event):
        async with Deployment(engines=ENGINES) as found:
            sent, gate, first, other = await begin_stream(found)
            other.halfway_event = None
            slow_down(other, prompt, report, event)
            return await self._finish(found, sent, first, other)

    def test_a_request_without_an_event_is_not_left_at_two_engines(self):
        self.assertEqual({}, find_overlaps(self._begin))

    async def _begin(self, prompt, report, event):
        async with Deployment(engines=ENGINES) as found:
            engines = list(found.engines.values())
            for engine in engines:
                engine.script = ["silent"]
            sent = asyncio.ensure_future(found.send("/recap/", "a1", model="m0"))
            await found.until(lambda: any(row.runs for row in engines))
            [first] = [row for row in engines if row.runs]
            [other] = [row for row in engines if not row.runs]
            other.script = []
            slow_down(other, prompt, report, event)
            return await self._finish(found, sent, first, other)

    async def _finish(self, found, sent, first, other):
        """Return for how long both engines worked at once on a stream that arrives whole."""
        status, _, body = await sent
        self.assertEqual((200, ALL_EVENTS), (status, ids(body) if status else body))
        await found.until(lambda: first.disconnected)
        [before], [after] = first.runs, other.runs
        return before.ended_at - max(after.taken_at, before.awake_since)

    @run
    async def test_a_stream_does_not_go_to_an_engine_that_is_silent_too(self):
        """Nothing shows that such an engine would serve it sooner than the first one."""
        async with Deployment(engines=ENGINES) as found:
            sent, gate, first, other = await begin_stream(found)
            freeze = asyncio.ensure_future(other.freeze(SILENCE_SECONDS + 0.2))
            await asyncio.sleep(SILENCE_SECONDS)
            gate.set()
            status, _, body = await sent
            await freeze
            self.assertEqual((200, ALL_EVENTS), (status, ids(body) if status else body))
            self.assertEqual([], other.executed)

    @run
    async def test_a_stream_whose_second_engine_ends_goes_on_at_a_third(self):
        """The silent send may have been ended by then."""
        async with Deployment(engines=THREE_ENGINES) as found:
            found.configure(version=2, routes=[STREAM | {"max_attempts": 3}])
            await found.until(lambda: found.hosts[0].request_handler.deployment.version == 2)
            engines = list(found.engines.values())
            sent, gate, first = await begin_first(found)
            for engine in engines:
                engine.halfway_event, engine.prompt_seconds = None, LONG_PROMPT_SECONDS
            rest = [row for row in engines if row is not first]
            await found.until(lambda: any(row.runs for row in rest))
            await found.until(lambda: first.disconnected)
            next(row for row in rest if row.runs).crash()
            status, _, body = await sent
            self.assertEqual((200, ALL_EVENTS), (status, ids(body) if status else body))

    @run
    async def test_a_stream_whose_second_engine_has_begun_does_not_go_back(self):
        """The first engine goes on while the host waits for the second one's report."""
        async with Deployment(engines=ENGINES) as found:
            sent, gate, first, other = await begin_stream(found)
            slow_down(other, 0.0, 0.0, EVENT_SECONDS)
            other.halfway_event, first.delay_seconds = None, EVENT_SECONDS
            await found.until(lambda: other.runs)
            other.report_delay_seconds = LATE_REPORT_SECONDS
            await asyncio.sleep(WAKE_SECONDS)
            first.delay_seconds = 0.0
            gate.set()
            self.assertLess(await self._finish(found, sent, first, other), MAX_OVERLAP_SECONDS)

    @run
    async def test_a_stream_passes_over_engines_that_are_silent_too(self):
        """The third one is asked at once, not after the next pause."""
        async with Deployment(engines=THREE_ENGINES) as found:
            sent, gate, first = await begin_first(found)
            rest = [row for row in found.engines.values() if row is not first]
            rest[1].halfway_event = None
            freeze = asyncio.ensure_future(rest[0].freeze(SILENCE_SECONDS + 1.0))
            status, _, body = await sent
            self.assertEqual((200, ALL_EVENTS), (status, ids(body) if status else body))
            self.assertEqual([], rest[0].executed)
            await freeze
