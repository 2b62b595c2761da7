"""Prompts of all hosts in one queue: on a model of engines, and asked for by real hosts."""

import asyncio
import math
import random
import unittest
from dataclasses import replace
from unittest.mock import Mock, patch

from nose2.tools import params

from extras.engine_model import EngineShape, Load, Route, play
from extras.pacing_policies import Alone, Paced
from peridotdock.decisions.choice import Candidate, Work
from peridotdock.decisions.pacing import (
    FULL_SECONDS,
    Denial,
    Grant,
    PaceControl,
    PaceLimit,
    Pacer,
    PromptAsk,
    limit_pace,
)
from peridotdock.relay.grants import GrantServer, shortest_pauses
from peridotdock.schema.messages import GrantDropped, GrantWanted
from tests.relay.deployment import Deployment
from tests.relay.test_relay import run

# Three models are asked for, the first by half of all; eight others now and then.
MODELS = (0.5, 0.27, 0.23)
RARE = (0, 0, 0, *(1,) * 8)
HELD = ((0, 1, 2), (0, 3), (4,), *((1 + n % 4,) for n in range(8)))


def evening(times=1.0, holders=HELD):
    """Callers of three kinds, most of them for long answers, at so many times the usual rate."""
    routes = (
        Route(47 * times, 543, 0.9, 2310, 172, 46.6, 1, 0.3, 2.1, MODELS),
        Route(41 * times, 291, 1.4, 1830, 92, 7.5, 0, 0.3, 1.2, MODELS),
        Route(7 * times, 543, 0.9, 2310, 172, 46.6, 2, 1.2, 1.1, RARE),
    )
    return Load(routes, holders, seconds=6.0)


def mean_worth(policy, load, shape, seeds=(1, 2, 3)):
    rows = [play(load, shape, lambda rng: policy(load, shape, rng), seed) for seed in seeds]
    return sum(row.worth for row in rows) / len(rows)


def scale(load, shape, times):
    """A load and engines that are so many times faster, with callers as patient as before."""
    routes = tuple(replace(row, rate=row.rate * times) for row in load.routes)
    faster = replace(shape, step=shape.step / times, per_token=shape.per_token / times)
    return replace(load, routes=routes, seconds=load.seconds / max(1.0, times)), faster


class ReplayTest(unittest.TestCase):
    @params((1.0, 0.0), (1.5, 0.08), (2.0, 0.1))
    def test_streams_do_not_pause_when_many_prompts_come_together(self, times, gain):
        """Callers' answers stand still for a fifth of a second, again and again, at a busy hour.

        Several hosts send a prompt each to the same engine within a tenth of a second, as each saw
        it free. It reads all of them between two events of every stream that runs there.
        """
        load, shape = evening(times), EngineShape()
        alone, paced = mean_worth(Alone, load, shape), mean_worth(Paced, load, shape)
        self.assertGreater(paced, 0.97)
        self.assertGreater(paced, alone + gain)

    @params(1.0, 1.5)
    def test_a_model_with_one_copy_is_served_better(self, times):
        """The only engine with a model gets more than it can read: some are told to come back."""
        load = evening(times, ((0,), (1, 3), (4,), *HELD[3:]))
        shape = EngineShape()
        self.assertGreater(mean_worth(Paced, load, shape), mean_worth(Alone, load, shape) + 0.05)

    @params((0.25, 64), (0.25, 24), (1.0, 24), (4.0, 24), (4.0, 64))
    def test_engines_of_other_speeds_and_sizes(self, times, places):
        load, shape = scale(evening(), EngineShape(places=places), times)
        load = replace(load, pause=max(load.pause, 5 * shape.event))
        alone, paced = mean_worth(Alone, load, shape), mean_worth(Paced, load, shape)
        self.assertGreaterEqual(paced, alone - 0.01)

    def test_nothing_is_held_back_when_few_callers_come(self):
        self.assertGreater(mean_worth(Paced, evening(0.3), EngineShape()), 0.995)


LIMIT = PaceLimit(0.15, 0.1)
WORK = Work(1000, 0, 0.00004, 1.0)
READING = WORK.tokens * WORK.per_token


def candidate(key="e1", running=0, slots=64, slowness=1.0, ahead=0):
    return Candidate(key, ahead, running, slots, 0, False, slowness, True)


def make_ask(number, rank=1, send_by=0.2, leave_by=2.0, work=WORK, item="m0"):
    return PromptAsk(number, item, work, rank, send_by, leave_by)


class PacerTest(unittest.TestCase):
    """A queue before ``rows``; a prompt of :data:`WORK` is read for 0.04 s."""

    def setUp(self):
        self.pacer = Pacer(random.Random(1))
        self.rows = [candidate()]

    def pump(self, now, limit=LIMIT):
        decided, again = self.pacer.pump(now, limit, lambda ask: self.rows)
        granted = [row.ask.id for row in decided if isinstance(row, Grant)]
        denied = [row.ask.id for row in decided if isinstance(row, Denial)]
        return granted, denied, again

    def play(self, begin, end):
        """Pump whenever the queue says so; return who was granted, in order."""
        found, now = [], begin
        while now < end:
            granted, _, again = self.pump(now)
            found += granted
            now = again
        return found

    def add(self, *asks):
        for ask in asks:
            self.pacer.add(ask)

    def test_no_more_is_given_than_fits_between_two_events(self):
        self.add(*(make_ask(number) for number in range(4)))
        self.assertEqual([0, 1], self.play(0.0, LIMIT.reading))
        self.assertEqual([2, 3], self.play(LIMIT.reading, 2 * LIMIT.window))

    def test_in_no_window_is_more_read(self):
        rng, reads, free_at = random.Random(3), [], 0.0
        for step in range(2000):
            now = step * 0.003
            if rng.random() < 0.3:
                work = replace(WORK, tokens=rng.randint(50, 2000))
                self.add(make_ask(step, send_by=now + 0.2, leave_by=now + 2, work=work))
            decided, _ = self.pacer.pump(now, LIMIT, lambda ask: self.rows)
            for row in decided:
                if isinstance(row, Grant):
                    begin = max(now, free_at)
                    free_at = begin + row.ask.work.tokens * row.ask.work.per_token
                    reads.append((begin, free_at))
        self.assertGreater(len(reads), 100)
        for _, until in reads:
            since = until - LIMIT.window
            total = sum(max(0.0, end - max(begin, since)) for begin, end in reads if end <= until)
            self.assertLessEqual(total, LIMIT.reading + 1e-9)

    def test_the_most_urgent_goes_first(self):
        self.add(make_ask(1, rank=2), make_ask(2, rank=0), make_ask(3, rank=1))
        self.assertEqual([2, 3], self.play(0.0, LIMIT.reading))

    def test_what_is_late_goes_behind_what_is_not(self):
        self.add(make_ask(1, rank=0, send_by=-0.1), make_ask(2), make_ask(3))
        self.assertEqual([2, 3], self.play(0.0, LIMIT.reading))
        self.assertEqual([1], self.play(LIMIT.reading, 2 * LIMIT.window))

    def test_a_large_prompt_is_not_passed_by_for_good(self):
        """The largest prompts are never served, as small ones always fit before them."""
        large, small = replace(WORK, tokens=2400), replace(WORK, tokens=10)
        self.add(make_ask(1, work=large))
        self.assertEqual([1], self.pump(0.0)[0])
        self.add(make_ask(2, send_by=0.19, work=large), make_ask(3, work=small))
        self.assertEqual([], self.pump(0.1)[0])
        self.assertEqual([2, 3], self.play(0.1, 0.4))

    def test_a_prompt_larger_than_a_window_goes_alone(self):
        self.add(make_ask(1, work=replace(WORK, tokens=10_000)))
        self.assertEqual([1], self.pump(0.0)[0])
        self.add(make_ask(2))
        self.assertEqual([], self.pump(0.35)[0])

    def test_a_full_engine_gets_nothing(self):
        self.rows = [candidate(running=64)]
        self.add(make_ask(1))
        granted, denied, again = self.pump(0.0)
        self.assertEqual(([], []), (granted, denied))
        self.assertAlmostEqual(FULL_SECONDS, again)
        self.rows = [candidate(running=63)]
        self.assertEqual([1], self.pump(again)[0])

    def test_another_engine_takes_what_one_has_no_room_for(self):
        self.rows = [candidate("e1"), candidate("e2")]
        self.add(*(make_ask(number) for number in range(4)))
        self.assertEqual([0, 1, 2, 3], self.play(0.0, LIMIT.reading))

    def test_a_slow_engine_gets_less(self):
        self.rows = [candidate(slowness=2.4)]
        self.add(make_ask(1), make_ask(2))
        self.assertEqual([1], self.play(0.0, LIMIT.reading))

    def test_an_engine_that_does_not_read_gets_no_more(self):
        """Prompts go on to an engine that has stalled, and their callers leave without a word.

        By what it was given it should have read all; no host has heard of a first token.
        """
        self.rows = [candidate("stalled", ahead=100_000), candidate("e2")]
        self.add(*(make_ask(number) for number in range(4)))
        decided, _ = self.pacer.pump(0.0, LIMIT, lambda ask: self.rows)
        self.assertEqual({"e2"}, {row.found.candidate.key for row in decided})

    def test_who_would_wait_for_nothing_is_told_at_once(self):
        """Callers wait for two seconds and leave, though the queue before them was known."""
        self.add(*(make_ask(number, leave_by=1.0) for number in range(60)))
        granted, denied, _ = self.pump(0.0)
        self.assertEqual([0], granted)
        self.assertIn(59, denied)
        self.assertLess(len(denied), 50)

    def test_who_is_late_in_a_crowd_is_told_to_come_back(self):
        """What is late waits behind a stream of others that are not, until its caller leaves."""
        denied_at = None
        self.add(make_ask("late", send_by=-1.0, leave_by=2.0))
        for step in range(100):
            now = step * 0.02
            more = [(step, number) for number in range(2)]
            self.add(*(make_ask(name, send_by=now + 0.2, leave_by=now + 2) for name in more))
            if "late" in self.pump(now)[1]:
                denied_at = now
                break
        self.assertIsNotNone(denied_at)
        self.assertLess(denied_at, 1.0)

    def test_what_nobody_waits_for_is_forgotten(self):
        self.add(*(make_ask(number) for number in range(2)))
        self.pump(0.0)
        self.pacer.drop(1)
        self.assertEqual(([], [], math.inf), self.pump(1.0))

    def test_without_a_pause_to_keep_the_engine_reads_all_the_time(self):
        self.add(*(make_ask(number) for number in range(20)))
        found, now = [], 0.0
        while now < 20 * READING:
            granted, _, again = self.pump(now, PaceLimit(0.0, math.inf))
            found += granted
            now = again
        self.assertEqual([*range(20)], found)


class LongQueueTest(unittest.TestCase):
    """Two hundred prompts wait for the two engines of a model, and the hub's processor is full."""

    def setUp(self):
        self.pacer = Pacer(random.Random(1))
        self.looks = 0

    def look(self, ask):
        self.looks += 1
        return [candidate("e1"), candidate("e2")]

    def fill(self, now=0.0):
        for number in range(200):
            self.pacer.add(make_ask(number, send_by=now + 60, leave_by=now + 60))

    def test_a_closed_item_is_not_looked_through_at_each_turn(self):
        self.fill()
        self.pacer.pump(0.0, LIMIT, self.look)
        self.looks = 0
        for turn in range(1, 20):
            self.pacer.pump(0.002 * turn, LIMIT, self.look)
        self.assertLess(self.looks, 19 * 10)

    def test_as_many_are_sent_as_when_all_are_looked_at(self):
        sent = []
        for every in (0.0, 0.05):
            with patch("peridotdock.decisions.pacing.ALL_SECONDS", every):
                self.setUp()
                self.fill()
                turns = [self.pacer.pump(0.005 * n, LIMIT, self.look)[0] for n in range(200)]
            sent.append([row.ask.id for decided in turns for row in decided])
        self.assertEqual(*sent)

    def test_one_that_may_not_go_everywhere_closes_nothing(self):
        rows = {True: [candidate("e1")], False: [candidate("e1"), candidate("e2")]}
        self.pacer.add(make_ask(0))
        self.pacer.pump(0.0, LIMIT, lambda ask: rows[True])
        self.pacer.add(replace(make_ask(1, send_by=0.1), picky=True))
        self.pacer.add(make_ask(2, send_by=0.15))
        decided, _ = self.pacer.pump(0.001, LIMIT, lambda ask: rows[ask.picky])
        self.assertEqual([2], [row.ask.id for row in decided])

    def test_who_waits_in_vain_is_told_soon(self):
        self.fill()
        self.pacer.pump(0.0, LIMIT, self.look)
        self.pacer.add(make_ask("late", send_by=61, leave_by=0.2))
        found = []
        for turn in range(1, 30):
            found += self.pacer.pump(0.002 * turn, LIMIT, self.look)[0]
        self.assertIn("late", [row.ask.id for row in found if isinstance(row, Denial)])


class LimitTest(unittest.TestCase):
    @params((0.15, None), (0.15, 0.032), (0.4, 0.022), (0.15, 0.4))
    def test_reading_and_an_event_fit_into_the_pause(self, pause, event):
        limit = limit_pace(pause, event)
        self.assertGreater(limit.reading, 0)
        if event is not None and event < pause / 2:
            self.assertLess(limit.reading + event, pause)

    def test_engines_that_go_on_while_they_read_get_more(self):
        """A prompt waits at its host though the engine would have borne it.

        The engine reads in small pieces and gives tokens between them, so no stream pauses long.
        """
        control = PaceControl()
        for step in range(200):
            control.note_gap(step * 0.1, 0.2, 0.4, 0.35, PaceLimit(0.4, 0.35))
        self.assertGreater(control.factor, 0.4 / 0.35)

    def test_a_pause_near_the_limit_takes_it_back_at_once(self):
        control = PaceControl()
        for step in range(40):
            control.note_gap(step * 0.1, 0.05, 0.15, 0.1, LIMIT)
        self.assertGreater(control.factor, 1.0)
        control.note_gap(4.1, 0.145, 0.15, 0.12, LIMIT)
        self.assertEqual(1.0, control.factor)

    def test_idle_engines_tell_nothing(self):
        control = PaceControl()
        for step in range(200):
            control.note_gap(step * 0.1, 0.03, 0.15, 0.01, LIMIT)
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
    """A hub with two engines; ``told`` is what it answered."""

    async def start(self, found, domains=()):
        self.told = []
        host = found.hosts[0]
        find_domain = dict(domains).get
        server = GrantServer(
            host.ctx, host.fleet, lambda to, frame: self.told.append((to, frame)), find_domain
        )
        server.set_deployment(host.front.deployment)
        return server

    @run
    async def test_prompts_of_all_hosts_are_spread(self):
        """Two hosts send to the same engine at once, while the other one rests."""
        async with Deployment(engines=(("e1", ("m0",)), ("e2", ("m0",)))) as found:
            server = await self.start(found)
            for number in range(4):
                server.enqueue(f"h{number}", wanted(number, tokens=4000))
            engines = [frame.endpoint for _, frame in self.told]
            self.assertEqual(["", "", "e1", "e2"], sorted(engines))
            await found.until(lambda: len(self.told) == 6)
            engines = [frame.endpoint for _, frame in self.told]
            self.assertEqual(["", "", "e1", "e1", "e2", "e2"], sorted(engines))

    @params(("north", "e1"), ("south", "e2"))
    @run
    async def test_of_equal_engines_the_one_near_the_asking_host_is_chosen(self, domain, engine):
        """Bytes go between failure domains: prompts go to engines near the hub, not the host."""
        async with Deployment(engines=(("e1", ("m0",)), ("e2", ("m0",)))) as found:
            found.engines["e2"].zone = "south"
            found.engines["e2"].on_change()
            state = found.hosts[0].fleet.states["e2"]
            await found.until(lambda: state.entry.domain == "south")
            server = await self.start(found, {"h1": domain})
            server.enqueue("h1", wanted(1))
            self.assertEqual(engine, self.told[-1][1].endpoint)

    @run
    async def test_a_prompt_goes_where_its_beginning_was_read_for_another_host(self):
        """The long notes that all prompts of a group share are read on one engine after another.

        No host knows to which engine the others sent them.
        """
        async with Deployment(engines=(("e1", ("m0",)), ("e2", ("m0",)))) as found:
            server = await self.start(found)
            server.enqueue("h1", wanted(1, tokens=900))
            await asyncio.sleep(0.1)
            server.enqueue("h2", wanted(2, tokens=900))
            first, second = (frame.endpoint for _, frame in self.told)
            self.assertEqual(first, second)

    @run
    async def test_an_endpoint_that_failed_the_host_is_avoided(self):
        async with Deployment(engines=(("e1", ("m0",)), ("e2", ("m0",)))) as found:
            server = await self.start(found)
            for number in range(8):
                server.enqueue("h1", wanted(number, avoid=["e1"]))
            self.assertEqual({"e2", ""}, {frame.endpoint for _, frame in self.told} | {""})

    @run
    async def test_what_waits_is_told_and_granted_later(self):
        async with Deployment(engines=(("e1", ("m0",)),)) as found:
            server = await self.start(found)
            for number in range(3):
                server.enqueue("h1", wanted(number, tokens=9000))
            self.assertEqual(["e1", ""], [frame.endpoint for _, frame in self.told[:2]])
            server.drop("h1", GrantDropped("grant_dropped", 1))
            await found.until(lambda: ("h1", 2) not in server._queued_grants)
            self.assertEqual((2, "e1"), (self.told[-1][1].number, self.told[-1][1].endpoint))

    @run
    async def test_parts_without_tokens_are_no_prompt(self):
        async with Deployment() as found:
            server = await self.start(found)
            server.enqueue("h1", replace(wanted(1), part_tokens=[1]))
            self.assertEqual([], self.told)

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
                status, _, _ = await found.ask("/recap/", f"a{number}", "m0", to=number)
                self.assertEqual(200, status)
            hub = next(host for host in found.hosts if host.peers.is_hub())
            pacer = hub.grants.server._pacers["engines"]
            self.assertEqual(2, len(pacer._lanes["e1"]._reads))

    @run
    async def test_a_hub_without_a_word_is_not_waited_for(self):
        """Callers wait for answers of idle engines while one host, the hub, is stalled."""
        async with Deployment(hosts=2) as found:
            await found.until(lambda: len({host.peers.hub() for host in found.hosts}) == 1)
            other = next(n for n, host in enumerate(found.hosts) if not host.peers.is_hub())
            hub = found.hosts[1 - other]
            hub.peers.mesh.on_grant = lambda host, frame: None
            loop = asyncio.get_running_loop()
            began = loop.time()
            for number in range(4):
                status, _, _ = await found.ask("/recap/", f"a{number}", "m0", to=other)
                self.assertEqual(200, status)
            asked = found.hosts[other].grants
            self.assertEqual({}, asked._calls)
            self.assertGreater(asked._backoff_until, began)

    @run
    async def test_a_caller_that_leaves_the_queue_is_dropped(self):
        """A caller closes its connection while its prompt waits; it must not be sent later."""
        async with Deployment() as found:
            host = found.hosts[0]
            state = host.fleet.states["e1"]
            for number in range(8):
                state.flights[f"f{number}"] = None
            task = asyncio.ensure_future(found.ask("/recap/", "a1", "m0"))
            await found.until(lambda: host.grants._calls)
            task.cancel()
            await found.until(lambda: not host.grants._calls)
            self.assertEqual({}, host.grants.server._queued_grants)
            state.flights.clear()
            await asyncio.sleep(2 * FULL_SECONDS)
            self.assertEqual([], found.engines["e1"].seen)
