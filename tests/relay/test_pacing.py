"""The queue over the prompts of all hosts: on simulated engines, and with real hosts."""

import asyncio
import math
import random
import unittest
from dataclasses import replace
from unittest.mock import Mock, patch

from nose2.tools import params

from extras.engine_model import EngineShape, Load, Route, simulate
from extras.pacing_policies import LocalPolicy, PacedPolicy
from peridotdock.decisions.choice import Candidate, RequestCost
from peridotdock.decisions.pacing import (
    FULL_RECHECK_SECONDS,
    Denial,
    Grant,
    PaceControl,
    PaceLimit,
    Pacer,
    PrefillSchedule,
    QueuedPrompt,
    limit_pace,
)
from peridotdock.relay.grants import GrantServer, shortest_pauses
from peridotdock.schema.messages import GrantDropped, GrantWanted
from tests.relay.deployment import ENGINE_CONFIG, Deployment
from tests.relay.test_relay import ids, run

# Seconds after a new link within which a prompt is sent whose grant the old one has lost.
LINK_LOST_SECONDS = 1.0

# Three models get all requests of two routes, the first of them half; eight others are rare.
MODELS = (0.5, 0.27, 0.23)
RARE_MODELS = (0, 0, 0, *(1,) * 8)
HOLDERS = ((0, 1, 2), (0, 3), (4,), *((1 + n % 4,) for n in range(8)))


def peak_load(times=1.0, holders=HOLDERS):
    """Callers of three kinds, most of them for long answers, at a multiple of the usual rate."""
    routes = (
        Route(47 * times, 543, 0.9, 2310, 172, 46.6, 1, 0.3, 2.1, MODELS),
        Route(41 * times, 291, 1.4, 1830, 92, 7.5, 0, 0.3, 1.2, MODELS),
        Route(7 * times, 543, 0.9, 2310, 172, 46.6, 2, 1.2, 1.1, RARE_MODELS),
    )
    return Load(routes, holders, seconds=6.0)


def mean_worth(policy, load, shape, seeds=(1, 2, 3)):
    rows = [simulate(load, shape, lambda rng: policy(load, shape, rng), seed) for seed in seeds]
    return sum(row.worth for row in rows) / len(rows)


def scale(load, shape, times):
    """A load and engines that are ``times`` faster, with unchanged timeouts of callers."""
    routes = tuple(replace(row, rate=row.rate * times) for row in load.routes)
    faster = replace(
        shape,
        step_seconds=shape.step_seconds / times,
        seconds_per_token=shape.seconds_per_token / times,
    )
    return replace(load, routes=routes, seconds=load.seconds / max(1.0, times)), faster


class ReplayTest(unittest.TestCase):
    @params((1.0, 0.0), (1.5, 0.08), (2.0, 0.1))
    def test_streams_do_not_pause_when_many_prompts_come_together(self, times, gain):
        """Streams stall for a fifth of a second, again and again, at a busy hour.

        Several hosts send a prompt each to the same engine within a tenth of a second, as each saw
        it idle. It prefills all of them between two events of every stream that runs there.
        """
        load, shape = peak_load(times), EngineShape()
        alone, paced = mean_worth(LocalPolicy, load, shape), mean_worth(PacedPolicy, load, shape)
        self.assertGreater(paced, 0.97)
        self.assertGreater(paced, alone + gain)

    @params(1.0, 1.5)
    def test_a_model_with_one_copy_is_served_better(self, times):
        """The only engine with a model gets more prompts than it can prefill; some are denied."""
        load = peak_load(times, ((0,), (1, 3), (4,), *HOLDERS[3:]))
        shape = EngineShape()
        self.assertGreater(
            mean_worth(PacedPolicy, load, shape), mean_worth(LocalPolicy, load, shape) + 0.05
        )

    @params((0.25, 64), (0.25, 24), (1.0, 24), (4.0, 24), (4.0, 64))
    def test_engines_of_other_speeds_and_sizes(self, times, slots):
        load, shape = scale(peak_load(), EngineShape(slots=slots), times)
        load = replace(load, max_pause=max(load.max_pause, 5 * shape.event_seconds))
        alone, paced = mean_worth(LocalPolicy, load, shape), mean_worth(PacedPolicy, load, shape)
        self.assertGreaterEqual(paced, alone - 0.01)

    def test_no_prompt_is_delayed_at_a_low_rate(self):
        self.assertGreater(mean_worth(PacedPolicy, peak_load(0.3), EngineShape()), 0.995)


LIMIT = PaceLimit(0.15, 0.1)
WORK = RequestCost(1000, 0, 0.00004, 1.0)
PREFILL_SECONDS = WORK.tokens * WORK.seconds_per_token


def candidate(key="e1", running=0, slots=64, slowness=1.0, queued_tokens=0):
    return Candidate(key, queued_tokens, running, slots, 0, False, slowness, True)


def make_prompt(number, rank=1, send_by=0.2, disconnect_by=2.0, work=WORK, item="m0"):
    return QueuedPrompt(number, item, work, rank, send_by, disconnect_by)


class PacerTest(unittest.TestCase):
    """A queue for the engines in ``rows``; the prefill of :data:`WORK` takes 0.04 s."""

    def setUp(self):
        self.pacer = Pacer(random.Random(1))
        self.rows = [candidate()]

    def dispatch(self, now, limit=LIMIT):
        decided, again = self.pacer.dispatch(now, limit, lambda prompt: self.rows)
        granted = [row.prompt.id for row in decided if isinstance(row, Grant)]
        denied = [row.prompt.id for row in decided if isinstance(row, Denial)]
        return granted, denied, again

    def play(self, begin, end):
        """Dispatch whenever the queue asks for it; return the granted prompts in order."""
        found, now = [], begin
        while now < end:
            granted, _, again = self.dispatch(now)
            found += granted
            now = again
        return found

    def add(self, *prompts):
        for prompt in prompts:
            self.pacer.add(prompt)

    def test_no_more_prefill_is_granted_than_fits_between_two_events(self):
        self.add(*(make_prompt(number) for number in range(4)))
        self.assertEqual([0, 1], self.play(0.0, LIMIT.prefill))
        self.assertEqual([2, 3], self.play(LIMIT.prefill, 2 * LIMIT.window))

    def test_no_window_has_more_prefill(self):
        rng, prefills, free_at = random.Random(3), [], 0.0
        for step in range(2000):
            now = step * 0.003
            if rng.random() < 0.3:
                work = replace(WORK, tokens=rng.randint(50, 2000))
                self.add(make_prompt(step, send_by=now + 0.2, disconnect_by=now + 2, work=work))
            decided, _ = self.pacer.dispatch(now, LIMIT, lambda prompt: self.rows)
            for row in decided:
                if isinstance(row, Grant):
                    begin = max(now, free_at)
                    free_at = begin + row.prompt.work.tokens * row.prompt.work.seconds_per_token
                    prefills.append((begin, free_at))
        self.assertGreater(len(prefills), 100)
        for _, until in prefills:
            since = until - LIMIT.window
            total = sum(
                max(0.0, end - max(begin, since)) for begin, end in prefills if end <= until
            )
            self.assertLessEqual(total, LIMIT.prefill + 1e-9)

    def test_the_most_urgent_goes_first(self):
        self.add(make_prompt(1, rank=2), make_prompt(2, rank=0), make_prompt(3, rank=1))
        self.assertEqual([2, 3], self.play(0.0, LIMIT.prefill))

    def test_late_prompts_go_after_timely_ones(self):
        self.add(make_prompt(1, rank=0, send_by=-0.1), make_prompt(2), make_prompt(3))
        self.assertEqual([2, 3], self.play(0.0, LIMIT.prefill))
        self.assertEqual([1], self.play(LIMIT.prefill, 2 * LIMIT.window))

    def test_a_large_prompt_does_not_starve(self):
        """The largest prompts are never served, as small ones always fit before them."""
        large, small = replace(WORK, tokens=2400), replace(WORK, tokens=10)
        self.add(make_prompt(1, work=large))
        self.assertEqual([1], self.dispatch(0.0)[0])
        self.add(make_prompt(2, send_by=0.19, work=large), make_prompt(3, work=small))
        self.assertEqual([], self.dispatch(0.1)[0])
        self.assertEqual([2, 3], self.play(0.1, 0.4))

    def test_a_prompt_larger_than_a_window_goes_alone(self):
        self.add(make_prompt(1, work=replace(WORK, tokens=10_000)))
        self.assertEqual([1], self.dispatch(0.0)[0])
        self.add(make_prompt(2))
        self.assertEqual([], self.dispatch(0.35)[0])

    def test_a_full_engine_gets_nothing(self):
        self.rows = [candidate(running=64)]
        self.add(make_prompt(1))
        granted, denied, again = self.dispatch(0.0)
        self.assertEqual(([], []), (granted, denied))
        self.assertAlmostEqual(FULL_RECHECK_SECONDS, again)
        self.rows = [candidate(running=63)]
        self.assertEqual([1], self.dispatch(again)[0])

    def test_another_engine_takes_what_one_has_no_capacity_for(self):
        self.rows = [candidate("e1"), candidate("e2")]
        self.add(*(make_prompt(number) for number in range(4)))
        self.assertEqual([0, 1, 2, 3], self.play(0.0, LIMIT.prefill))

    def test_a_slow_engine_gets_less(self):
        self.rows = [candidate(slowness=2.4)]
        self.add(make_prompt(1), make_prompt(2))
        self.assertEqual([1], self.play(0.0, LIMIT.prefill))

    def test_a_stalled_engine_gets_no_more(self):
        """Prompts are still sent to an engine that has stalled, and their callers get no answer.

        By its schedule it should have prefilled all, but no host has reported a first token.
        """
        self.rows = [candidate("stalled", queued_tokens=100_000), candidate("e2")]
        self.add(*(make_prompt(number) for number in range(4)))
        decided, _ = self.pacer.dispatch(0.0, LIMIT, lambda prompt: self.rows)
        self.assertEqual({"e2"}, {row.prediction.candidate.key for row in decided})

    def test_a_prompt_that_cannot_be_sent_in_time_is_denied_at_once(self):
        """Callers wait for two seconds and disconnect, though the queue ahead of them was known."""
        self.add(*(make_prompt(number, disconnect_by=1.0) for number in range(60)))
        granted, denied, _ = self.dispatch(0.0)
        self.assertEqual([0], granted)
        self.assertIn(59, denied)
        self.assertLess(len(denied), 50)

    def test_a_late_prompt_behind_a_backlog_is_denied(self):
        """A late prompt waits behind a stream of timely ones until its caller disconnects."""
        denied_at = None
        self.add(make_prompt("late", send_by=-1.0, disconnect_by=2.0))
        for step in range(100):
            now = step * 0.02
            more = [(step, number) for number in range(2)]
            self.add(
                *(make_prompt(name, send_by=now + 0.2, disconnect_by=now + 2) for name in more)
            )
            if "late" in self.dispatch(now)[1]:
                denied_at = now
                break
        self.assertIsNotNone(denied_at)
        self.assertLess(denied_at, 1.0)

    def test_a_dropped_prompt_is_removed(self):
        self.add(*(make_prompt(number) for number in range(2)))
        self.dispatch(0.0)
        self.pacer.drop(1)
        self.assertEqual(([], [], math.inf), self.dispatch(1.0))

    def test_without_a_pause_to_keep_the_engine_prefills_all_the_time(self):
        self.add(*(make_prompt(number) for number in range(20)))
        found, now = [], 0.0
        while now < 20 * PREFILL_SECONDS:
            granted, _, again = self.dispatch(now, PaceLimit(0.0, math.inf))
            found += granted
            now = again
        self.assertEqual([*range(20)], found)


class GivenBackTest(unittest.TestCase):
    """Guards against prompts that wait for a prefill which an engine has refused, or given up."""

    def dispatch(self, pacer, now):
        decided, _ = pacer.dispatch(now, LIMIT, lambda prompt: [candidate()])
        return [(row.prompt.id, isinstance(row, Grant)) for row in decided]

    def test_a_refused_prompt_makes_room_at_once(self):
        pacer = Pacer(random.Random(1))
        large = RequestCost(1_000_000, 0, 0.00004, 1.0)
        pacer.add(make_prompt("large", work=large))
        self.assertEqual([("large", True)], self.dispatch(pacer, 0.0))
        pacer.add(make_prompt("small"))
        self.assertEqual([("small", False)], self.dispatch(pacer, 0.01))
        self.assertTrue(pacer.cancel("large", 0.02))
        self.assertFalse(pacer.cancel("large", 0.02))
        pacer.add(make_prompt("small"))
        self.assertEqual([("small", True)], self.dispatch(pacer, 0.03))

    def test_prompts_behind_one_that_was_given_back_begin_earlier(self):
        schedule = PrefillSchedule()
        for name, seconds in (("first", 1.0), ("second", 2.0), ("third", 1.0)):
            schedule.schedule(name, seconds, 0.0, True)
        schedule.cancel("second", 1.5)
        self.assertAlmostEqual(1.0, schedule.backlog(1.5))
        schedule.cancel("third", 1.5)
        self.assertAlmostEqual(0.0, schedule.backlog(1.5))
        schedule.cancel("first", 1.5)
        self.assertAlmostEqual(1.5, schedule.scheduled_seconds(1.5, PaceLimit(10.0, 5.0)))

    def test_bookings_of_prompts_that_were_prefilled_do_not_pile_up(self):
        pacer = Pacer(random.Random(1))
        for number in range(50):
            pacer.add(make_prompt(number, send_by=number + 1.0, disconnect_by=number + 2.0))
            self.assertEqual([(number, True)], self.dispatch(pacer, float(number)))
        self.assertLessEqual(len(pacer._booked), 2)

    @params(("one host", 1), ("another host than the hub", 2))
    def test_a_prompt_that_all_engines_refuse_is_in_nobodys_way(self, name, hosts):
        @run
        async def check(self):
            engines = (("e1", ("m0",)), ("e2", ("m0",)))
            async with Deployment(hosts, engines) as found:
                if hosts > 1:
                    await found.until(lambda: len({row.peers.hub() for row in found.hosts}) == 1)
                to = next(
                    n for n, host in enumerate(found.hosts) if host.peers.is_hub() == (hosts == 1)
                )
                for engine in found.engines.values():
                    engine.script = ["refuse"] * 3
                large = {"x_token_counts": "2000000,20", "x_prompt_prefix": "aa:600,cc:1999400"}
                status, _, _ = await found.send("/recap/", "large", "m0", to, **large)
                self.assertEqual(503, status)
                for engine in found.engines.values():
                    engine.script = []
                status, _, _ = await found.send("/recap/", "small", "m0", to)
                self.assertEqual(200, status)

        check(self)

    @run
    async def test_a_prompt_that_no_engine_can_hold_is_refused_without_a_grant(self):
        async with Deployment() as found:
            engine = ENGINE_CONFIG | {"kv_capacity_tokens": 232_000}
            services = [{"name": "engines", "engine": engine}, {"name": "pages"}]
            found.configure(version=2, services=services)
            [host] = found.hosts
            await found.until(lambda: host.request_handler.deployment.version == 2)
            for tokens, expected in ((232_001, 413), (232_000, 200)):
                more = {"x_token_counts": f"{tokens},20"}
                status, _, _ = await found.send("/recap/", f"a{tokens}", "m0", **more)
                self.assertEqual(expected, status)
            self.assertEqual(["a232000"], found.engines["e1"].executed)


class LongQueueTest(unittest.TestCase):
    """Two hundred prompts wait for the two engines of a model, and the hub's processor is full."""

    def setUp(self):
        self.pacer = Pacer(random.Random(1))
        self.scans = 0

    def find_candidates(self, prompt):
        self.scans += 1
        return [candidate("e1"), candidate("e2")]

    def fill(self, now=0.0):
        for number in range(200):
            self.pacer.add(make_prompt(number, send_by=now + 60, disconnect_by=now + 60))

    def test_a_saturated_item_is_not_scanned_at_each_pass(self):
        self.fill()
        self.pacer.dispatch(0.0, LIMIT, self.find_candidates)
        self.scans = 0
        for step in range(1, 20):
            self.pacer.dispatch(0.002 * step, LIMIT, self.find_candidates)
        self.assertLess(self.scans, 19 * 10)

    def test_as_many_are_sent_as_with_full_scans(self):
        sent = []
        for every in (0.0, 0.05):
            with patch("peridotdock.decisions.pacing.FULL_SCAN_SECONDS", every):
                self.setUp()
                self.fill()
                passes = [
                    self.pacer.dispatch(0.005 * n, LIMIT, self.find_candidates)[0]
                    for n in range(200)
                ]
            sent.append([row.prompt.id for decided in passes for row in decided])
        self.assertEqual(*sent)

    def test_a_restricted_prompt_saturates_no_item(self):
        rows = {True: [candidate("e1")], False: [candidate("e1"), candidate("e2")]}
        self.pacer.add(make_prompt(0))
        self.pacer.dispatch(0.0, LIMIT, lambda prompt: rows[True])
        self.pacer.add(replace(make_prompt(1, send_by=0.1), restricted=True))
        self.pacer.add(make_prompt(2, send_by=0.15))
        decided, _ = self.pacer.dispatch(0.001, LIMIT, lambda prompt: rows[prompt.restricted])
        self.assertEqual([2], [row.prompt.id for row in decided])

    def test_a_prompt_that_cannot_be_sent_in_time_is_denied_soon(self):
        self.fill()
        self.pacer.dispatch(0.0, LIMIT, self.find_candidates)
        self.pacer.add(make_prompt("late", send_by=61, disconnect_by=0.2))
        found = []
        for step in range(1, 30):
            found += self.pacer.dispatch(0.002 * step, LIMIT, self.find_candidates)[0]
        self.assertIn("late", [row.prompt.id for row in found if isinstance(row, Denial)])


class LimitTest(unittest.TestCase):
    @params((0.15, None), (0.15, 0.032), (0.4, 0.022), (0.15, 0.4))
    def test_prefill_and_an_event_fit_into_the_pause(self, pause, event):
        limit = limit_pace(pause, event)
        self.assertGreater(limit.prefill, 0)
        if event is not None and event < pause / 2:
            self.assertLess(limit.prefill + event, pause)

    def test_engines_with_chunked_prefill_get_more(self):
        """A prompt waits at its host though the engine could have taken it.

        The engine has chunked prefill and generates tokens in between, so no stream pauses for
        long.
        """
        control = PaceControl()
        for step in range(200):
            control.record_gap(step * 0.1, 0.2, 0.4, 0.35, PaceLimit(0.4, 0.35))
        self.assertGreater(control.factor, 0.4 / 0.35)

    def test_a_pause_near_the_limit_resets_the_factor_at_once(self):
        control = PaceControl()
        for step in range(40):
            control.record_gap(step * 0.1, 0.05, 0.15, 0.1, LIMIT)
        self.assertGreater(control.factor, 1.0)
        control.record_gap(4.1, 0.145, 0.15, 0.12, LIMIT)
        self.assertEqual(1.0, control.factor)

    def test_gaps_on_idle_engines_change_nothing(self):
        control = PaceControl()
        for step in range(200):
            control.record_gap(step * 0.1, 0.03, 0.15, 0.01, LIMIT)
        self.assertEqual(1.0, control.factor)


def wanted(number, model="m0", spare=300, stays=2000, tokens=900, **more):
    return GrantWanted(
        "grant_wanted",
        number,
        "engines",
        model,
        "",
        tokens,
        ["aa", "bb"],
        [600, 300],
        1,
        spare,
        stays,
        **more,
    )


class HubTest(unittest.TestCase):
    """A hub with two engines; ``sent`` are its replies."""

    async def start(self, found, domains=()):
        self.sent = []
        host = found.hosts[0]
        find_domain = dict(domains).get
        server = GrantServer(
            host.ctx, host.fleet, lambda to, frame: self.sent.append((to, frame)), find_domain
        )
        server.set_deployment(host.request_handler.deployment)
        return server

    @run
    async def test_prompts_of_all_hosts_are_spread(self):
        """Two hosts send to the same engine at the same moment, while the other engine is idle."""
        async with Deployment(engines=(("e1", ("m0",)), ("e2", ("m0",)))) as found:
            server = await self.start(found)
            for number in range(4):
                server.enqueue(f"h{number}", wanted(number, tokens=4000))
            engines = [frame.endpoint for _, frame in self.sent]
            self.assertEqual(["", "", "e1", "e2"], sorted(engines))
            await found.until(lambda: len(self.sent) == 6)
            engines = [frame.endpoint for _, frame in self.sent]
            self.assertEqual(["", "", "e1", "e1", "e2", "e2"], sorted(engines))

    @params(("north", "e1"), ("south", "e2"))
    @run
    async def test_of_equal_engines_one_in_the_domain_of_the_host_is_chosen(self, domain, engine):
        """Traffic crosses failure domains: prompts go to engines near the hub, not the host."""
        async with Deployment(engines=(("e1", ("m0",)), ("e2", ("m0",)))) as found:
            found.engines["e2"].zone = "south"
            found.engines["e2"].on_change()
            state = found.hosts[0].fleet.states["e2"]
            await found.until(lambda: state.entry.domain == "south")
            server = await self.start(found, {"h1": domain})
            server.enqueue("h1", wanted(1))
            self.assertEqual(engine, self.sent[-1][1].endpoint)

    @run
    async def test_a_prompt_goes_where_another_host_had_its_prefix_cached(self):
        """The long prefix that a group of prompts shares is prefilled on one engine after another.

        No host knows to which engine the others sent their prompts.
        """
        async with Deployment(engines=(("e1", ("m0",)), ("e2", ("m0",)))) as found:
            server = await self.start(found)
            server.enqueue("h1", wanted(1, tokens=900))
            await asyncio.sleep(0.1)
            server.enqueue("h2", wanted(2, tokens=900))
            first, second = (frame.endpoint for _, frame in self.sent)
            self.assertEqual(first, second)

    @run
    async def test_an_endpoint_that_failed_the_host_is_avoided(self):
        async with Deployment(engines=(("e1", ("m0",)), ("e2", ("m0",)))) as found:
            server = await self.start(found)
            for number in range(8):
                server.enqueue("h1", wanted(number, avoid=["e1"]))
            self.assertEqual({"e2", ""}, {frame.endpoint for _, frame in self.sent} | {""})

    @run
    async def test_a_queued_prompt_is_acknowledged_and_granted_later(self):
        async with Deployment(engines=(("e1", ("m0",)),)) as found:
            server = await self.start(found)
            for number in range(3):
                server.enqueue("h1", wanted(number, tokens=9000))
            self.assertEqual(["e1", ""], [frame.endpoint for _, frame in self.sent[:2]])
            server.drop("h1", GrantDropped("grant_dropped", 1))
            await found.until(lambda: ("h1", 2) not in server._queued_grants)
            self.assertEqual((2, "e1"), (self.sent[-1][1].number, self.sent[-1][1].endpoint))

    @run
    async def test_parts_without_tokens_are_no_prompt(self):
        async with Deployment() as found:
            server = await self.start(found)
            server.enqueue("h1", replace(wanted(1), part_tokens=[1]))
            self.assertEqual([], self.sent)

    def test_the_shortest_pause_of_a_service_counts(self):
        routes = [
            Mock(streams=True, longest_pause=pause, shares=(Mock(service="engines"),))
            for pause in (0.4, 0.15, 0.0)
        ]
        plain = Mock(streams=False, longest_pause=0.01, shares=(Mock(service="pages"),))
        found = shortest_pauses(Mock(routes={"shop": dict(enumerate([*routes, plain]))}))
        self.assertEqual({"engines": 0.15}, found)


class HostTest(unittest.TestCase):
    @run
    async def test_hosts_ask_the_hub(self):
        async with Deployment(hosts=2) as found:
            await found.until(lambda: len({host.peers.hub() for host in found.hosts}) == 1)
            for number in range(2):
                status, _, _ = await found.send("/recap/", f"a{number}", "m0", to=number)
                self.assertEqual(200, status)
            hub = next(host for host in found.hosts if host.peers.is_hub())
            pacer = hub.grants.server._pacers["engines"]
            self.assertEqual(2, len(pacer._schedules["e1"]._prefills))

    @run
    async def test_a_silent_hub_is_not_waited_for(self):
        """Callers wait for answers of idle engines while one host, the hub, is stalled."""
        async with Deployment(hosts=2) as found:
            await found.until(lambda: len({host.peers.hub() for host in found.hosts}) == 1)
            other = next(n for n, host in enumerate(found.hosts) if not host.peers.is_hub())
            hub = found.hosts[1 - other]
            hub.peers.mesh.on_grant = lambda host, frame: None
            loop = asyncio.get_running_loop()
            began = loop.time()
            for number in range(4):
                status, _, _ = await found.send("/recap/", f"a{number}", "m0", to=other)
                self.assertEqual(200, status)
            asked = found.hosts[other].grants
            self.assertEqual({}, asked._calls)
            self.assertGreater(asked._backoff_until, began)

    @run
    async def test_the_prompt_of_a_disconnected_caller_is_dropped(self):
        """A caller disconnects while its prompt is queued; the prompt must not be sent later."""
        async with Deployment() as found:
            host = found.hosts[0]
            state = host.fleet.states["e1"]
            for number in range(8):
                state.in_flight[f"f{number}"] = None
            task = asyncio.ensure_future(found.send("/recap/", "a1", "m0"))
            await found.until(lambda: host.grants._calls)
            task.cancel()
            await found.until(lambda: not host.grants._calls)
            self.assertEqual({}, host.grants.server._queued_grants)
            state.in_flight.clear()
            await asyncio.sleep(2 * FULL_RECHECK_SECONDS)
            self.assertEqual([], found.engines["e1"].requests)


class LostGrantTest(unittest.TestCase):
    """Guards against prompts that wait until their deadline for a grant that a link has lost."""

    @run
    async def test_a_prompt_is_sent_where_its_grant_was_lost_with_the_link(self):
        async with Deployment(hosts=2) as found:
            await found.until(lambda: len({host.peers.hub() for host in found.hosts}) == 1)
            number = next(n for n, host in enumerate(found.hosts) if not host.peers.is_hub())
            hub, host = found.hosts[1 - number], found.hosts[number]
            server, [link] = hub.grants.server, host.peers.mesh.links()
            schedule, server._schedule = server._schedule, lambda service: None
            sent = asyncio.ensure_future(found.send("/recap/", "a1", model="m0", to=number))
            await found.until(lambda: server._queued_grants)
            awake = hold_frames(hub)
            server._schedule = schedule
            schedule("engines")
            # The host ends the link to the silent hub, and has a new one at once.
            await found.until(
                lambda: link not in host.peers.mesh.links() and host.peers.mesh.links()
            )
            awake()
            status, _, body = await asyncio.wait_for(sent, LINK_LOST_SECONDS)
            self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)))


def hold_frames(host):
    """Let a host send nothing over its links; return what lets it go on."""
    awake, sender = asyncio.Event(), host.peers.mesh._sender
    send_raw = sender.send_raw

    async def hold(link, raw):
        await awake.wait()
        await send_raw(link, raw)

    def go_on():
        sender.send_raw = send_raw
        awake.set()

    sender.send_raw = hold
    return go_on
