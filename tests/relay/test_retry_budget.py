"""Retries of all hosts stay within their service's budget, in any window."""

import unittest
from dataclasses import replace
from types import SimpleNamespace

from nose2.tools import params

from peridotdock.decisions.retry_budget import MAX_ARRIVAL_SECONDS, STEP_SECONDS, SharedRetryBudget
from peridotdock.errors import Failure, Kind
from peridotdock.relay.progress import Progress
from peridotdock.relay.retry_budgets import RetryBudgets
from tests.builders import make_ctx
from tests.fakes import FakeClock
from tests.relay.deployment import BOUNDS
from tests.relay.retry_cluster import RetryCluster
from tests.relay.test_forwarding import cut_off, gated
from tests.relay.test_relay import run

SECONDS = 30.0


def steady(at):
    return 60.0


def falling(at):
    return 60.0 if at < 10.0 else 12.0


def burst(at):
    return 200.0 if 8.0 <= at < 10.0 else 12.0


def on_and_off(at):
    return 60.0 if at % 10.0 < 5.0 else 0.0


def silent_at_times(at):
    return at % 4.0 < 1.5


def wait_for_load(draw):
    return 2.5 * draw()


def many(load):
    """Return the load of a larger deployment."""
    return lambda at: 4 * load(at)


LOADS = (
    ("steady", steady, 8, {}),
    ("falling", falling, 8, {}),
    ("a burst", burst, 8, {}),
    ("on and off", on_and_off, 8, {}),
    ("waits before a retry", falling, 8, {"wait": wait_for_load}),
    ("silent endpoints", steady, 8, {"silent": silent_at_times}),
    ("falling, silent endpoints", falling, 8, {"silent": silent_at_times}),
    ("many hosts", many(falling), 86, {}),
    ("many hosts, waits", many(on_and_off), 86, {"wait": wait_for_load}),
)
# Hosts at first, changes of them, and the seconds from the first start to the first request.
CHANGES = (
    ("a first start, hosts not known yet", 86, ((0.0, "know", 1), (0.6, "know", 86)), 0.0),
    ("all killed", 8, ((12.0, "restart", 8),), 30.0),
    ("all killed twice", 86, ((9.0, "restart", 86), (13.0, "restart", 86)), 30.0),
    ("as many again start", 16, ((12.0, "start", 16),), 30.0),
    ("half of the hosts leave", 32, ((12.0, "leave", 16),), 30.0),
    ("all replaced", 16, ((12.0, "start", 16), (13.0, "leave", 16)), 30.0),
)


class WindowTest(unittest.TestCase):
    """Guards against more retries in a window than a service's budget allows."""

    def test_no_window_holds_more_retries_than_allowed(self):
        over = []
        for name, load, hosts, more in LOADS:
            for fails_from in (0.0, 3.0, 7.0, 8.5):
                found = RetryCluster(load, hosts, fails_from=fails_from, **more).play(SECONDS)
                retries, bound = found.worst_window()
                if retries > bound:
                    over.append((name, fails_from, retries, bound))
        self.assertEqual([], over)

    def test_no_window_holds_more_where_hosts_come_and_go(self):
        over = []
        for name, hosts, changes, warm in CHANGES:
            for fails_from in (0.0, 7.0, 11.5):
                found = RetryCluster(many(on_and_off), hosts, fails_from=fails_from)
                retries, bound = found.play(SECONDS, changes, warm).worst_window()
                if retries > bound:
                    over.append((name, fails_from, retries, bound))
        self.assertEqual([], over)

    @params(("few hosts", 8), ("many hosts", 86))
    def test_a_failing_service_gets_half_of_its_retries(self, name, hosts):
        """Guards against a budget that refuses requests which another endpoint would serve."""
        retries, bound = RetryCluster(many(steady), hosts).play(SECONDS).worst_window()
        self.assertGreaterEqual(retries, bound / 2, name)


class BudgetTest(unittest.TestCase):
    """Guards against retries that are lost, or counted though nothing was sent."""

    def budgets(self):
        clock = FakeClock()
        found = RetryBudgets(make_ctx(clock), replace(BOUNDS, retry_extra=16.0), True)
        return found, clock

    def request(self):
        return Progress("pages", arrived=True)

    @params(
        ("nothing", (), 2),
        ("one is reserved", ("reserve",), 1),
        ("one is reserved and given back", ("reserve", "release"), 2),
        ("one is sent", ("reserve", "take"), 1),
        ("one is sent and arrives", ("reserve", "take", "arrive"), 1),
        ("one is sent and reaches no endpoint", ("reserve", "take", "miss"), 2),
        ("one is sent that was not reserved", ("take", "arrive"), 1),
    )
    def test_what_is_left(self, name, steps, left):
        found, _ = self.budgets()
        progress = self.request()
        calls = {
            "reserve": lambda: found.reserve(progress, "r1", "refused"),
            "release": lambda: found.release(progress),
            "take": lambda: found.take(progress, "r1"),
            "arrive": lambda: found.settle(progress, arrived=True),
            "miss": lambda: found.settle(progress, arrived=False),
        }
        for step in steps:
            calls[step]()
        reserved = [found.reserve(self.request(), "r2", "refused") for _ in range(3)]
        self.assertEqual(left, reserved.count(True), name)

    def test_a_send_after_one_that_reached_no_endpoint_is_no_retry(self):
        found, _ = self.budgets()
        progress = Progress("pages")
        for _ in range(5):
            self.assertTrue(found.reserve(progress, "r1", "unreachable"))
            self.assertTrue(found.take(progress, "r1"))
            found.settle(progress, arrived=False)
        self.assertTrue(found.reserve(self.request(), "r2", "refused"))

    def test_a_retry_that_waited_is_not_sent_when_its_requests_are_too_long_ago(self):
        budget = SharedRetryBudget(0.2, 0.0, 10.0)
        for at in (0.0, 8.0):
            for _ in range(10):
                budget.count_request(at)
        self.assertTrue(budget.reserve(8.5, 8))
        budget.release()
        self.assertFalse(budget.take(20.0, 8))

    def test_a_process_that_started_again_leaves_the_fixed_number_alone(self):
        clock = FakeClock()
        found = RetryBudgets(make_ctx(clock), BOUNDS, first_start=False)
        clock.advance(BOUNDS.retry_window)
        self.assertFalse(found.available("pages"))
        clock.advance(MAX_ARRIVAL_SECONDS)
        self.assertTrue(found.available("pages"))

    def test_a_host_that_knows_no_number_of_hosts_leaves_the_fixed_number_alone(self):
        found, _ = self.budgets()
        found.knows_hosts = lambda: False
        self.assertFalse(found.available("pages"))
        found.knows_hosts = lambda: True
        self.assertTrue(found.available("pages"))
        # It has once known it, and counts at least the hosts that it knows.
        found.knows_hosts = lambda: False
        self.assertTrue(found.available("pages"))

    def test_hosts_that_have_left_count_until_their_retries_are_over(self):
        found, clock = self.budgets()
        found.host_count = lambda: 100
        found.refresh()
        found.host_count = lambda: 8
        self.assertFalse(found.available("pages"))
        clock.advance(BOUNDS.retry_window + MAX_ARRIVAL_SECONDS)
        self.assertTrue(found.available("pages"))

    def test_retries_are_left_again_one_window_later(self):
        found, clock = self.budgets()
        while found.take(self.request(), "r1"):
            pass
        clock.advance(BOUNDS.retry_window)
        self.assertFalse(found.available("pages"))
        clock.advance(MAX_ARRIVAL_SECONDS + STEP_SECONDS)
        self.assertTrue(found.available("pages"))


class ForwardedTest(unittest.TestCase):
    """Guards against sends that no budget is charged for, as each host counts its own alone."""

    @run
    async def test_a_request_that_several_hosts_send_is_charged_for_all_but_the_first(self):
        async with gated(hosts=3) as found:
            await cut_off(found)
            before = taken(found)
            for page in found.pages.values():
                page.script = ["refuse"] * 10
            for host in found.hosts[1:]:
                fall_behind_after_refusal(host.service)
            await found.send("/fetch/", "a1")
            sent = [name for page in found.pages.values() for _, name, *_ in page.refusals]
            sent = sent.count("a1")
            self.assertGreater(sent, 1)
            self.assertEqual(sent - 1, taken(found) - before)


def fall_behind_after_refusal(service):
    """Let a host be too slow to send a request again that was refused."""
    choose_endpoint = service._chooser.choose_endpoint

    async def choose(req, caller, progress):
        if progress.refusals:
            return Failure(Kind.HOST_BEHIND, "", 0.1)
        return await choose_endpoint(req, caller, progress)

    service._chooser = SimpleNamespace(choose_endpoint=choose, give_back=lambda found: None)


def taken(found):
    """Return the retries that were taken from the budgets of all hosts."""
    return sum(host.ctx.metrics.retries.labels("taken")._value.get() for host in found.hosts)
