"""Retries of all hosts stay within their service's budget, in any window."""

import unittest
from types import SimpleNamespace

from nose2.tools import params

from peridotdock.errors import Failure, Kind
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

    service._chooser = SimpleNamespace(choose_endpoint=choose)


def taken(found):
    """Return the retries that were taken from the budgets of all hosts."""
    return sum(host.ctx.metrics.retries.labels("taken")._value.get() for host in found.hosts)
