"""Rate limits that endpoints announce in answers: requests per second from all hosts."""

import asyncio
import itertools
import math
import random
import unittest
from dataclasses import replace

from nose2.tools import params

from peridotdock.blocklist import EndpointStart
from peridotdock.decisions.choice import Candidate, RequestCost
from peridotdock.decisions.health import Health
from peridotdock.decisions.pacing import Denial, PaceLimit, Pacer, QueuedPrompt
from peridotdock.decisions.permits import MAX_ADVANCE_SECONDS, Permits, retry_after
from peridotdock.platform.wire import PlatformWire
from peridotdock.relay.endpoint import EndpointState, new_start_state
from peridotdock.relay.endpoint_notices import PUBLISHED_TOPIC, RECEIVED_TOPIC
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.requests import EndpointEntry
from tests.fakes import FakeClock
from tests.relay.deployment import Deployment
from tests.relay.test_relay import run

ENTRY = EndpointEntry("e1", "s", "10.0.0.1:80", "north", 8, False)
# Window in seconds in which an endpoint may get 1.5 times its limit, plus five requests.
WINDOW = 4.0


class AnnouncedLimitTest(unittest.TestCase):
    @params(
        ({}, math.inf),
        ({"server-limit": "1.1"}, 1.1),
        ({"server-limit": "0"}, 0.0),
        ({"server-limit": " 20 "}, 20.0),
        ({"server-limit": "many"}, None),
        ({"server-limit": ""}, None),
        ({"server-limit": "nan"}, None),
        ({"server-limit": "inf"}, None),
        ({"server-limit": "-1"}, None),
    )
    def test_the_head_of_an_answer_names_the_limit(self, headers, expected):
        self.assertEqual(expected, PlatformWire().read_answer(200, headers).rate_limit)

    @params(
        ("it binds at once", [(2.0, 1.0, 1.1)], 2.0),
        ("the newest counts", [(2.0, 1.0, 1.1), (1.0, 1.0, 1.2)], 1.0),
        ("it ends", [(2.0, 1.0, 1.1), (math.inf, 1.2, 1.3)], math.inf),
        (
            "an answer received out of order ends nothing",
            [(2.0, 1.0, 1.1), (math.inf, 1.0, 1.3)],
            2.0,
        ),
        ("what can't be read changes nothing", [(2.0, 1.0, 1.1), (None, 1.2, 1.3)], 2.0),
    )
    def test_successive_limit_announcements(self, name, announcements, expected):
        state = EndpointState(ENTRY, Health())
        for rate, sent, now in announcements:
            state.update_limit(rate, sent, now)
        self.assertEqual(expected, state.limit.rate, name)


class World:
    """Simulates hosts that send to one endpoint with permits of the host they regard as the hub.

    ``limit`` returns the endpoint's limit at a time. ``groups`` is the number of equal partitions
    of the hosts, each with its own hub.
    """

    def __init__(self, limit, request_rate, seed, groups=1):
        self.limit, self.request_rate = limit, request_rate
        self.rng = random.Random(seed)
        self.hubs = [Permits() for _ in range(groups)]
        self.old_hubs = []
        self.arrivals, self.denied = [], 0

    def lose_hub(self, overlap):
        """Switch all hosts to a new hub, each at a random time within ``overlap`` seconds."""
        self.old_hubs, self.hubs = self.hubs, [Permits() for _ in self.hubs]
        self.lost_at, self.overlap = self.now, overlap

    def play(self, seconds, events=()):
        self.now, events = 0.0, list(events)
        while self.now < seconds:
            self.now += self.rng.expovariate(self.request_rate)
            while events and events[0][0] <= self.now:
                events.pop(0)[1](self)
            self.arrive()
        return self

    def arrive(self):
        hubs = self.hubs
        if self.old_hubs and self.rng.random() > (self.now - self.lost_at) / self.overlap:
            hubs = self.old_hubs
        hub = self.rng.choice(hubs)
        max_wait = self.rng.choice((0.0, 0.5, 2.0))
        permit = hub.take(START, self.limit(self.now) / len(hubs), max_wait, self.now)
        if permit.given:
            self.arrivals.append(self.now + permit.wait + self.rng.random() * 0.03)
        self.denied += not permit.given


START = EndpointStart("e1", "1")


class PermitTest(unittest.TestCase):
    @params(
        *itertools.product(
            (0.0, 0.3, 1.0, 1.3, 5.0, 20.0),
            (
                ("no fault", 1, ()),
                ("the hub is lost", 1, ((10.0, lambda world: world.lose_hub(2.0)),)),
                (
                    "two hubs are lost in turn",
                    1,
                    (
                        (10.0, lambda world: world.lose_hub(0.5)),
                        (12.0, lambda world: world.lose_hub(2.0)),
                    ),
                ),
                ("hosts are cut in two", 2, ()),
            ),
        )
    )
    def test_no_window_holds_more_than_the_limit_allows(self, limit, case):
        name, groups, events = case
        for seed in range(5):
            world = World(lambda now: limit, 6 * limit + 6, seed, groups).play(30.0, events)
            most = most_in_window(world.arrivals, 0.0)
            self.assertLessEqual(most, 1.5 * WINDOW * limit + 5, (name, seed))

    @params(0.5, 1.0, 1.3, 5.0, 20.0)
    def test_an_endpoint_gets_nearly_its_whole_limit(self, limit):
        world = World(lambda now: limit, 6 * limit, 1).play(40.0)
        self.assertGreater(len(world.arrivals), 0.9 * limit * 40.0 - 2)

    def test_a_limit_that_falls_binds_at_once(self):
        world = World(lambda now: 20.0 if now < 10.0 else 1.0, 60.0, 1).play(30.0)
        after = [at for at in world.arrivals if at > 11.1]
        self.assertLessEqual(most_in_window(after, 11.1), 1.5 * WINDOW + 5)

    def test_an_endpoint_with_a_zero_limit_is_probed(self):
        """Failure guarded against: the end of a limit of 0 is missed, as only answers report it."""
        world = World(lambda now: 0.0, 5.0, 1).play(60.0)
        self.assertGreater(len(world.arrivals), 5)

    def test_retry_after_the_given_time_gets_a_permit(self):
        permits = Permits()
        permits.take(START, 1.0, 0.0, 0.0)
        denied = permits.take(START, 1.0, 0.0, 10.0), permits.take(START, 1.0, 0.0, 10.0)
        self.assertEqual([True, False], [permit.given for permit in denied])
        wait = retry_after(denied[1].wait, lambda: 0.0)
        self.assertTrue(permits.take(START, 1.0, 0.0, 10.0 + wait).given)

    def test_a_limit_of_a_previous_start_does_not_apply(self):
        known = EndpointState(ENTRY, Health())
        known.update_limit(1.0, 1.0, 1.1)
        self.assertFalse(new_start_state(known, replace(ENTRY, started_ms=7)).limited)

    @run
    async def test_a_limit_survives_a_missing_entry(self):
        """Failure guarded against: a limit is lost when the entry lapses during a store outage."""
        fleet = RelayFleet("north", FakeClock())
        fleet.replace([ENTRY])
        fleet.states["e1"].update_limit(1.0, 1.0, 1.1)
        fleet.replace([])
        fleet.replace([ENTRY])
        self.assertTrue(fleet.states["e1"].limited)
        self.assertTrue(fleet.states["e1"].accepts_requests())


class PacingTest(unittest.TestCase):
    def test_prompts_wait_for_the_permits_of_the_only_engine(self):
        """Failure guarded against: a limited engine gets prompts as fast as its prefill allows."""
        permits, pacer, granted, denied, now = Permits(), Pacer(random.Random(1)), [], 0, 0.0
        work = RequestCost(900, 0, 0.00002, 0.5)

        def candidates(ask):
            wait = permits.wait(START, 1.0, now)
            return [Candidate("e1", 0.0, 0, 8, 0, False, 1.0, True, False, wait, 1.0)]

        for step in range(2000):
            now = step * 0.01
            if step % 20 == 0:
                pacer.add(QueuedPrompt(step, "m0", work, 0, now + 0.5, now + 2.0))
            decided, _ = pacer.dispatch(now, PaceLimit(0.0, math.inf), candidates)
            for row in decided:
                if isinstance(row, Denial):
                    denied += 1
                else:
                    permits.spend(START, 1.0, now)
                    granted.append(now)
        self.assertLessEqual(most_in_window(granted, 0.0), WINDOW + 1)
        self.assertGreater(len(granted), 16)
        self.assertGreater(denied, 70)

    def test_one_of_many_simultaneous_prompts_gets_the_permit(self):
        """Failure guarded against: all waiting prompts are sent on one permit."""
        pacer = Pacer(random.Random(1))
        for number in range(20):
            pacer.add(QueuedPrompt(number, "m0", RequestCost(10, 0, 0.00002, 0.5), 0, 1.0, 30.0))
        engine = Candidate("e1", 0.0, 0, 64, 0, False, 1.0, True, False, 0.0, 1.0)
        decided, _ = pacer.dispatch(0.0, PaceLimit(0.0, math.inf), lambda prompt: [engine])
        self.assertEqual(1, len(decided))


def most_in_window(times, since, window=WINDOW):
    """Return the maximum number of ``times`` in a window that ends after ``since``."""
    ends = [at for at in times if at >= since]
    return max((sum(end - window < at <= end for at in times) for end in ends), default=0)


async def burst(found, path, model, seconds, gap=0.05):
    """Send requests to all hosts in turn; return the answers and the seconds of each."""
    loop, tasks = asyncio.get_running_loop(), []

    async def ask(number):
        started_at = loop.time()
        status, headers, _ = await found.send(
            path, f"{path}{number}", model=model, to=number % len(found.hosts)
        )
        return status, headers, loop.time() - started_at

    for number in range(int(seconds / gap)):
        tasks.append(asyncio.ensure_future(ask(number)))
        await asyncio.sleep(gap)
    return await asyncio.gather(*tasks)


class DeploymentTest(unittest.TestCase):
    """Failure guarded against: an endpoint announces a limit, and hosts do not reduce requests."""

    async def check_limited(self, path, model, service):
        engines = (("e1", ("m0",)), ("e2", ("m0",)))
        async with Deployment(hosts=3, engines=engines, pages=("p1", "p2")) as found:
            limited, other = getattr(found, service).values()
            limited.extra_headers = {"server-limit": "1.0"}
            announced_at = asyncio.get_running_loop().time()
            answers = await burst(found, path, model, 5.0)
            self.assertLessEqual(
                most_in_window(limited.call_times, announced_at + 1.0), 1.5 * WINDOW + 5
            )
            self.assertEqual({200}, {status for status, _, _ in answers})
            self.assertGreater(len(other.call_times), 60)

    @run
    async def test_a_plain_service_gets_no_more_than_the_limit_it_names(self):
        await self.check_limited("/fetch/", "", "pages")

    @run
    async def test_requests_that_run_once_keep_to_the_limit_that_is_named(self):
        await self.check_limited("/bind/", "", "pages")

    @run
    async def test_an_engine_gets_no_more_prompts_than_the_limit_it_names(self):
        await self.check_limited("/recap/", "m0", "engines")

    @run
    async def test_callers_of_the_only_endpoint_get_a_retry_after(self):
        """Failure guarded against: callers wait until the deadline at a limited endpoint."""
        async with Deployment(hosts=3) as found:
            found.pages["p1"].extra_headers = {"server-limit": "2.0"}
            named = asyncio.get_running_loop().time()
            answers = await burst(found, "/fetch/", "", 5.0)
            self.assertLessEqual(most_in_window(found.pages["p1"].call_times, named + 1.0), 17)
            refused = [row for row in answers if row[0] != 200]
            self.assertEqual({503}, {status for status, _, _ in refused})
            self.assertGreater(len(refused), 20)
            self.assertLess(max(seconds for _, _, seconds in refused), MAX_ADVANCE_SECONDS)
            self.assertTrue(all(float(headers["retry-after"]) >= 0.2 for _, headers, _ in refused))

    @run
    async def test_a_limit_that_ends_is_forgotten_on_all_hosts(self):
        """Failure guarded against: an endpoint gets hardly any requests after its limit ended."""
        async with Deployment(hosts=3) as found:
            page, name = found.pages["p1"], "p1"
            page.extra_headers = {"server-limit": "5"}
            await found.send("/fetch/", "a1")
            states = [host.fleet.states[name] for host in found.hosts]
            await found.until(lambda: all(state.limited for state in states))
            page.extra_headers = {}
            await asyncio.sleep(1.3)
            status, _, _ = await found.send("/fetch/", "a2", to=2)
            self.assertEqual(200, status)
            await found.until(lambda: not any(state.limited for state in states))
            answers = await burst(found, "/fetch/", "", 1.0)
            self.assertEqual({200}, {status for status, _, _ in answers})

    @run
    async def test_hosts_publish_nothing_about_endpoints_without_a_limit(self):
        """Failure guarded against: every answer is published to all hosts and fills their links."""
        async with Deployment(hosts=2) as found:
            await burst(found, "/fetch/", "", 0.5)
            told = [
                host.peers.facts.by_origin(topic)
                for host in found.hosts
                for topic in (RECEIVED_TOPIC, PUBLISHED_TOPIC)
            ]
            self.assertEqual(
                [], [row for rows in told for known in rows.values() for row in known.fact.rows]
            )

    @run
    async def test_a_new_hub_knows_the_limits_that_hosts_had_read(self):
        """Failure guarded against: after a hub is lost, each host uses the whole limit."""
        async with Deployment(hosts=3) as found:
            page = found.pages["p1"]
            page.extra_headers = {"server-limit": "1"}
            await found.send("/fetch/", "a1")
            states = [host.fleet.states["p1"] for host in found.hosts]
            await found.until(lambda: all(state.limited for state in states))
            hub = next(host for host in found.hosts if host.peers.is_hub())
            found.hosts.remove(hub)
            await hub.stop()
            await burst(found, "/fetch/", "", 5.0)
            self.assertLessEqual(most_in_window(page.call_times, page.call_times[0] + 1.0), 11)
            self.assertGreaterEqual(len(page.call_times), 3)

    @run
    async def test_reports_and_orders_keep_to_the_limit_too(self):
        """Failure guarded against: a limited engine gets three requests for reports a second."""
        async with Deployment(hosts=3) as found:
            engine = found.engines["e1"]
            await found.until(lambda: any(host.leadership.holds() for host in found.hosts))
            engine.extra_headers = {"server-limit": "1"}
            await found.send("/recap/", "a1", model="m0")
            states = [host.fleet.states["e1"] for host in found.hosts]
            await found.until(lambda: all(state.limited for state in states))
            named = asyncio.get_running_loop().time()
            leader = next(host for host in found.hosts if host.leadership.holds())
            until = named + 5.0
            while asyncio.get_running_loop().time() < until:
                leader.orderer.records["e1"].needs_report = True
                leader.orderer.changed.set()
                await asyncio.sleep(0.05)
            self.assertLessEqual(most_in_window(engine.call_times, named + 0.5), 8)
            self.assertGreater(len([at for at in engine.call_times if at > named]), 1)
