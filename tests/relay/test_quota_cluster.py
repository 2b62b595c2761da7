"""Quotas of many hosts in simulated time: the bound holds in any window, whatever is lost."""

import itertools
import math
import random
import unittest

from nose2.tools import params

from peridotdock.decisions.quotas import Tolerance
from peridotdock.events import Filter
from peridotdock.relay.quotas import PATIENCE_SECONDS
from peridotdock.workspaces import Quota
from tests.relay.quota_cluster import Cluster

SMALL = Quota(29_000.0, 29_000.0, True, 200.0)
LARGE = Quota(187_000.0, 187_000.0, True, 200.0)
REQUESTS = Quota(30.0, 30.0)
# As in the soak: a host of four has a fourth of ten requests a second, by either unit.
FEW_TOKENS = Quota(9_200.0, 9_200.0, True, 920.0)
FEW_REQUESTS = Quota(10.0, 10.0)
TOLERANCE = {
    SMALL: Tolerance(8.0, 0.1, 110_000.0),
    LARGE: Tolerance(8.0, 0.1, 110_000.0),
    REQUESTS: Tolerance(8.0, 0.1, 20.0),
    FEW_TOKENS: Tolerance(8.0, 0.1, 10.0),
    FEW_REQUESTS: Tolerance(8.0, 0.1, 10.0),
}
# Units of the requests, each as likely as the others.
TOKENS = (9_200, 9_200, 9_200, 1_100, 200)
COSTS = {
    SMALL: TOKENS,
    LARGE: TOKENS,
    REQUESTS: (1,),
    FEW_TOKENS: (920,),
    FEW_REQUESTS: (1,),
}
# Number of hosts in plays that need not be as many as in the recorded deployment.
FEW_HOSTS = 24


def overload(now):
    """Return the usual load, or seven times as much between 6 s and 18 s."""
    return 0.6 if now < 6 or now > 18 else 4.2


def lose_hosts_at_random(seed, hosts, kind):
    """Return faults of any hosts: some are frozen again and again, others killed or cut off."""
    rng, faults, at, healed_at = random.Random(seed), [], 2.0, 0.0
    while at < 14.0:
        name, lasts = f"h{rng.randrange(hosts)}", rng.uniform(0.3, 3.0)
        if rng.random() < 0.5:
            faults.append((at, "freeze", name, lasts))
        elif kind == "kill":
            faults.append((at, "kill", name, lasts))
        elif at >= healed_at:
            healed_at = at + lasts
            faults.append((at, "part", 0.3, rng.random() < 0.5, lasts))
        at += rng.uniform(0.2, 1.5)
    return faults


def play(quota, faults, seed=1, load=overload, seconds=22.0, warm=8.0, **more):
    cluster = Cluster(quota, TOLERANCE[quota], load, COSTS[quota], seed=seed, **more)
    return cluster.play(seconds, faults, warm)


HUBS_LOST = [(6.1, "kill_hub"), (9.0, "kill_hub"), (12.0, "kill_hub")]
ALL_KILLED_TWICE = [(9.0, "kill_all"), (12.0, "kill_all")]
FAULTS = {
    "none": [],
    "hub lost as the load rises": [(6.0, "kill_hub")],
    "hub lost for good under overload": [(9.0, "kill_hub", math.inf)],
    "hub frozen, then the next": [(7.0, "freeze_hub", 2.0), (9.5, "freeze_hub", 0.8)],
    "all killed as the load rises": [(6.2, "kill_all")],
    "cut in two": [(8.0, "part", 0.35, False, 5.0)],
    "a third each cut off alone": [(8.0, "part", 0.35, True, 5.0)],
    "all cut off alone": [(8.0, "part", 1.0, True, 4.0)],
    "cut off for a moment, again and again": [
        (at, "part", 0.3, True, 0.7) for at in (7.0, 8.0, 9.0, 10.0)
    ],
    "cut off, and the hub killed": [(8.0, "part", 0.35, True, 5.0), (9.0, "kill_hub")],
}


class WindowTest(unittest.TestCase):
    @params(
        ("hubs lost in turn", LARGE, HUBS_LOST, {}),
        ("all killed twice, with slow links", SMALL, ALL_KILLED_TWICE, {"discovery": 1.5}),
    )
    def test_no_window_holds_more_than_the_quota(self, name, quota, faults, more):
        """Guards against hosts that serve units of a quota which another host counts too."""
        found = play(quota, faults, **more)
        self.assertLessEqual(found.max_in_window(), found.bound(), name)
        self.assertLessEqual(found.max_part, 1.0 + 1e-9, name)

    @params(*itertools.product((SMALL, LARGE, REQUESTS, FEW_TOKENS, FEW_REQUESTS), FAULTS))
    def test_no_fault_lets_a_window_hold_more(self, quota, fault):
        found = play(quota, FAULTS[fault], hosts=FEW_HOSTS, seconds=17.0)
        self.assertLessEqual(found.max_in_window(), found.bound())
        self.assertLessEqual(found.max_part, 1.0 + 1e-9)

    @params(*itertools.product((SMALL, LARGE, REQUESTS), ("none", "cut off, and the hub killed")))
    def test_runs_of_repeats_count(self, quota, fault):
        """Guards against repeats that run beside a full quota, as they take no units."""
        more = {"hosts": 8, "seconds": 17.0, "repeats": lambda now: 0.4}
        found = play(quota, FAULTS[fault], **more)
        self.assertLessEqual(found.max_in_window(), found.bound())
        self.assertGreater(found.units(), 0.8 * quota.rate * 11.0)

    @params(1, 2, 3)
    def test_a_hub_that_hands_over_uses_no_share(self, seed):
        """Guards against the hub of the time in between, which goes on when the first is back."""
        found = play(SMALL, [(4.0, "kill_hub")], seed, hosts=6, seconds=10.0, lag=0.02)
        self.assertLessEqual(found.max_part, 1.0 + 1e-9)

    @params(*itertools.product((SMALL, LARGE), (0.6, 1.2)))
    def test_facts_that_take_long_let_no_window_hold_more(self, quota, lag):
        """Guards against a bound that holds only where links and loops are quick."""
        found = play(quota, HUBS_LOST, hosts=FEW_HOSTS, seconds=17.0, lag=lag)
        self.assertLessEqual(found.max_in_window(), found.bound())

    @params(*itertools.product((SMALL, REQUESTS), (0.8, 1.2), FAULTS))
    def test_longer_loans_let_no_window_hold_more(self, quota, lag, fault):
        """Guards against a share that two hosts use, as a hub lengthens its loans."""
        found = play(quota, FAULTS[fault], hosts=8, seconds=17.0, lag=lag)
        self.assertLessEqual(found.max_in_window(), found.bound())
        self.assertLessEqual(found.max_part, 1.0 + 1e-9)

    @params(*itertools.product((LARGE, REQUESTS), (0.25, 0.8), ("kill", "part"), (1, 2)))
    def test_hosts_lost_at_random_let_no_window_hold_more(self, quota, lag, kind, seed):
        """Guards against a share used by its host while the hub that has it may still be there."""
        faults = lose_hosts_at_random(seed, 8, kind)
        found = play(quota, faults, seed, hosts=8, seconds=17.0, lag=lag)
        self.assertLessEqual(found.max_in_window(), found.bound())
        self.assertLessEqual(found.max_part, 1.0 + 1e-9)


class UsageTest(unittest.TestCase):
    @params(("refused by h0", 0.5, 4.0), ("expired by h0", 100.0, 0.5))
    def test_the_log_tells_what_was_refused_at_once_and_what_waited_in_vain(
        self, label, discovery, load
    ):
        """Guards against a 429 of which nobody can tell whether units or a counter were missing."""
        more = {"hosts": 1, "discovery": discovery}
        found = play(REQUESTS, [], 1, lambda now: load, 6.0, **more)
        rows = found.hosts["h0"].ctx.timeline.select(Filter())
        lines = [row.detail for row in rows if row.name == "quota_used"]
        self.assertTrue(any(label in line for line in lines), lines)


class ServiceTest(unittest.TestCase):
    """What is within a quota is served, whatever one fault does."""

    @params(SMALL, LARGE, REQUESTS)
    def test_an_overloaded_workspace_gets_its_full_quota(self, quota):
        found = play(quota, [], load=lambda now: 4.5, hosts=FEW_HOSTS, seconds=20.0)
        self.assertGreater(found.units(), 0.95 * quota.rate * 20.0)

    @params(*itertools.product((LARGE, REQUESTS), (0.4, 0.7), (1, 2)))
    def test_nothing_within_the_quota_is_refused(self, quota, load, seed):
        found = play(quota, [], seed, lambda now: load, 20.0, hosts=FEW_HOSTS)
        self.assertEqual([], found.refused)

    @params(*itertools.product((LARGE, REQUESTS), (0.4, 0.6), (1, 2), (0.6, math.inf)))
    def test_nothing_within_is_refused_when_the_hub_is_lost(self, quota, load, seed, back):
        """Guards against callers within a quota who are refused while no host counts its units."""
        faults = [(12.0, "kill_hub", back)]
        found = play(quota, faults, seed, lambda now: load, 18.0, hosts=FEW_HOSTS)
        self.assertEqual([], found.refused)
        self.assertLess(max(found.waits), PATIENCE_SECONDS)

    @params(1, 2, 3)
    def test_a_new_hub_lets_requests_wait(self, seed):
        """Guards against a 429 for what the shares would allow that are about to be lent."""
        faults = [(4.0, "kill_all"), (5.5, "kill_hub")]
        found = play(REQUESTS, faults, seed, lambda now: 0.3, 10.0, hosts=10)
        self.assertEqual([], found.refused)

    @params(1, 2)
    def test_a_hub_that_stands_still_for_a_moment_refuses_nothing_within(self, seed):
        faults = [(12.0, "freeze_hub", 0.6)]
        found = play(LARGE, faults, seed, lambda now: 0.6, 18.0, hosts=FEW_HOSTS)
        self.assertEqual([], found.refused)

    @params(*itertools.product((LARGE, REQUESTS), (1.2, 1.6, 2.0), (1, 2, 3)))
    def test_hosts_serve_by_their_own_shares_while_the_hub_is_silent(self, quota, seconds, seed):
        """Guards against a 429 within a quota where no host uses the shares of a paused hub."""
        faults = [(8.0, "freeze_hub", seconds)]
        found = play(quota, faults, seed, lambda now: 0.5, 14.0, hosts=4)
        self.assertEqual([], found.refused)
        self.assertLessEqual(found.max_part, 1.0 + 1e-9)

    @params(*itertools.product((LARGE, REQUESTS), ((0.0, 1.5), (-0.5, 2.0)), (4, 8), (1, 2)))
    def test_a_hub_that_takes_over_at_once_lets_requests_wait(self, quota, pause, hosts, seed):
        """Guards against a 429 by a hub that got all shares before it had any units."""
        at, seconds = pause
        more = {"hosts": hosts, "lag": 0.02, "warm": 1.0}
        found = play(quota, [(at, "freeze_hub", seconds)], seed, lambda now: 0.5, 9.0, **more)
        self.assertEqual([], found.refused)
        self.assertLessEqual(found.max_part, 1.0 + 1e-9)

    @params(*itertools.product((LARGE, REQUESTS), (1.2, 2.0), (0.02, 0.25), (4, 8), (1, 2)))
    def test_later_requests_do_not_take_what_an_earlier_one_waits_for(
        self, quota, seconds, lag, hosts, seed
    ):
        """Guards against a 429 within a quota after two seconds in which others were admitted."""
        more = {"hosts": hosts, "lag": lag, "warm": 3.0}
        found = play(quota, [(2.0, "freeze_hub", seconds)], seed, lambda now: 0.5, 9.0, **more)
        self.assertEqual([], found.refused)
        self.assertLessEqual(found.max_part, 1.0 + 1e-9)

    @params((2.0, 3), (1.8, 3), (2.0, 43), (1.8, 43), (1.8, 56))
    def test_the_time_without_a_hub_leaves_a_request_time_to_wait(self, killed_at, seed):
        """Guards against a 429 within a quota where a hub is paused for long and lost once back."""
        faults = [(0.0, "freeze", "h0", 1.4), (killed_at, "kill", "h0")]
        more = {"hosts": 4, "lag": 0.02, "warm": 1.0}
        found = play(FEW_TOKENS, faults, seed, lambda now: 0.5, 5.0, **more)
        self.assertEqual([], found.refused)
        self.assertGreater(found.units(), FEW_TOKENS.rate)
        self.assertLessEqual(found.max_part, 1.0 + 1e-9)

    @params(*itertools.product((LARGE, REQUESTS), (0.6, 1.5), (2, 3)))
    def test_a_hub_has_units_again_once_it_has_its_shares(self, quota, seconds, seed):
        """Guards against a 429 within a quota by a hub whose loans were over for a moment."""
        faults = [(8.0, "freeze_hub", seconds)]
        found = play(quota, faults, seed, lambda now: 0.5, 14.0, hosts=8)
        self.assertEqual([], found.refused)
        self.assertLessEqual(found.max_part, 1.0 + 1e-9)

    @params(*itertools.product((LARGE, REQUESTS), (1, 2, 3)))
    def test_a_host_that_is_cut_off_serves_by_its_own_share(self, quota, seed):
        """Guards against a 429 within a quota on a host that waits for a hub it can't reach."""
        faults = [(8.0, "part", 0.25, True, 5.0)]
        found = play(quota, faults, seed, lambda now: 0.5, 16.0, hosts=4)
        self.assertEqual([], found.refused)
        self.assertLessEqual(found.max_part, 1.0 + 1e-9)

    @params(1, 2, 3)
    def test_a_call_that_is_lost_with_its_link_is_made_again(self, seed):
        """Guards against a request that waits for two seconds for a reply which can't come."""
        faults = [
            (8.0, "freeze", "h0", 0.5),
            (8.4, "reset_links", "h1"),
            (8.4, "reset_links", "h2"),
        ]
        found = play(LARGE, faults, seed, lambda now: 0.5, 12.0, hosts=4)
        self.assertEqual([], found.refused)
        self.assertLess(max(found.waits), PATIENCE_SECONDS - 0.5)

    @params(*itertools.product((LARGE, REQUESTS), (0.8, 1.2), (8, FEW_HOSTS), (1, 2)))
    def test_nothing_within_is_refused_where_facts_take_long(self, quota, lag, hosts, seed):
        """Guards against loans that are over before the hub hears of their acceptance."""
        found = play(quota, [], seed, lambda now: 0.5, 14.0, hosts=hosts, lag=lag)
        self.assertEqual([], found.refused)
        self.assertLessEqual(found.max_part, 1.0 + 1e-9)
