"""What a host sees of its own state: how late its loop is, connections, descriptors."""

import asyncio
import time
import unittest

from nose2.tools import params

from peridotdock.context import build_context
from peridotdock.decisions.overload import UNREADY_SECONDS
from peridotdock.events import Filter
from peridotdock.loop_iterations import LoopIterations, MeasuredLoop
from peridotdock.relay.lag import OVERLOADED_CHECK_SECONDS, DescriptorCount, HostMonitor
from peridotdock.schema.settings import Settings
from tests.fakes import FakeClock

CFG = Settings("h1", "north", "http://unused", "a key of sixteen")
COUNT = DescriptorCount(40, 4100)
# Seconds of each turn of a host that is behind.
ITERATION_SECONDS = 0.21


def run(work):
    with asyncio.Runner(loop_factory=MeasuredLoop) as runner:
        return runner.run(work)


class TurnsTest(unittest.TestCase):
    @params(
        ("read at once: it may have come since the turn before began", 0.4, 0.0, 0.4),
        ("waited for: it has come just now", 0.4, 0.2, 0.0),
    )
    def test_what_is_read_has_an_earliest_time(self, name, busy, idle, expected):
        clock = FakeClock()
        turns = LoopIterations(clock.monotonic)
        clock.time += busy
        turns.end()
        clock.time += idle
        turns.begin(None)
        self.assertAlmostEqual(expected, clock.time - turns.earliest_arrival(), msg=name)

    @params(
        ("a long turn", 0.7, 0.0, 0.0, 0.7),
        ("a wait that ended too late", 0.0, 0.9, 0.2, 0.7),
        ("a wait that was to last", 0.0, 0.2, 0.2, 0.0),
    )
    def test_lag_is_how_late_a_timer_was(self, name, busy, waited, timeout, expected):
        clock = FakeClock()
        turns = LoopIterations(clock.monotonic)
        clock.time += busy
        turns.end()
        clock.time += waited
        turns.begin(timeout)
        self.assertAlmostEqual(expected, turns.lag(), msg=name)
        turns.end()
        clock.time += 2.5
        turns.begin(None)
        self.assertAlmostEqual(0.0, turns.lag(), msg="the last second only")

    def test_a_blocked_loop_shows_lag(self):
        async def check():
            loop = asyncio.get_running_loop()
            loop.call_soon(time.sleep, 0.15)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            return loop.iterations.lag()

        self.assertGreaterEqual(run(check()), 0.15)


class HostMonitorTest(unittest.TestCase):
    """An operator looks for why callers of one host wait, and finds nothing.

    The host's loop is seconds behind: all it logs is as usual, only later.
    """

    def make_monitor(self, count=COUNT):
        clock = FakeClock()
        ctx = build_context(CFG, clock)
        turns = LoopIterations(clock.monotonic)
        return clock, ctx, turns, HostMonitor(ctx, turns, lambda: 7, lambda: count)

    def run_late_iteration(self, clock, turns, seconds):
        turns.end()
        turns.begin(0)
        clock.time += seconds
        turns.end()
        turns.begin(0)

    def wait(self, clock, turns, seconds):
        turns.end()
        clock.time += seconds
        turns.begin(seconds)

    def test_a_late_loop_is_logged_at_most_every_five_seconds(self):
        clock, ctx, turns, monitor = self.make_monitor()
        for _ in range(12):
            self.run_late_iteration(clock, turns, 1.0)
            turns.accepted += 30
            asyncio.run(monitor.check())
        lines = [event.detail for event in ctx.timeline.select(Filter()) if "behind" in event.name]
        self.assertEqual(3, len(lines), "one each five seconds")
        self.assertEqual(
            "a timer was 1.000 s late, 30 connections a second, 7 requests in work, "
            "40 of 4100 descriptors",
            lines[-1],
        )
        turns.end()
        clock.time += 3.0
        turns.begin(None)
        asyncio.run(monitor.check())
        self.assertEqual("loop_caught_up", ctx.timeline.select(Filter())[-1].name)

    def test_metrics_show_the_same(self):
        clock, ctx, turns, monitor = self.make_monitor()
        self.run_late_iteration(clock, turns, 0.5)
        turns.accepted = 3
        asyncio.run(monitor.check())
        text = ctx.metrics.render().decode()
        self.assertIn("peridotdock_loop_lag_seconds 0.5", text)
        self.assertIn("peridotdock_accepted_total 3.0", text)
        self.assertIn('peridotdock_descriptors{state="open"} 40.0', text)
        self.assertIn("peridotdock_late_answers_total 0.0", text)

    def test_an_unknown_descriptor_count_is_no_fault(self):
        _, ctx, _, monitor = self.make_monitor(count=None)
        asyncio.run(monitor.check())
        self.assertEqual([], ctx.timeline.select(Filter()))

    def test_a_host_in_trouble_is_looked_at_more_often(self):
        """Callers miss a host for up to 3.1 s after it has caught up.

        Its calm shows two seconds after its last long turn, and was looked for once a second.
        """
        _, _, _, monitor = self.make_monitor()
        usual = monitor.check_interval()
        monitor.count = lambda: DescriptorCount(4090, 4100)
        asyncio.run(monitor.check())
        self.assertLessEqual(monitor.check_interval(), usual / 4)
        monitor.count = lambda: COUNT
        asyncio.run(monitor.check())
        self.assertEqual(usual, monitor.check_interval())

    @params(0.0, 0.3, 0.6, 0.9)
    def test_a_host_is_found_behind_in_the_time_it_is_allowed(self, phase):
        """Callers wait at a host that has been behind for four seconds and counts as ready.

        It got behind right after a look, and the time was counted from the next one, a second
        later; then it was looked at once a second, with a jitter of a tenth.
        """
        clock, _, turns, monitor = self.make_monitor()
        asyncio.run(monitor.check())
        due = clock.time + 1.1 * monitor.check_interval()
        self.wait(clock, turns, phase)
        began = clock.time
        while monitor.trouble is None:
            self.run_late_iteration(clock, turns, ITERATION_SECONDS)
            if clock.time >= due:
                asyncio.run(monitor.check())
                due = clock.time + 1.1 * monitor.check_interval()
        found = clock.time - began
        self.assertGreaterEqual(found, UNREADY_SECONDS)
        self.assertLessEqual(
            found, UNREADY_SECONDS + 1.1 * OVERLOADED_CHECK_SECONDS + ITERATION_SECONDS
        )
