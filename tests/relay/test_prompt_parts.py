"""A prompt part that ends each engine which begins to write an answer on it."""

import asyncio
import unittest
from functools import partial
from types import SimpleNamespace

from nose2.tools import params

from peridotdock.blocklist import (
    MAX_ANSWERED,
    PART_BLOCKED_SECONDS,
    TRIAL_RETRY_SECONDS,
    Blocklist,
    EndpointStart,
)
from peridotdock.blocklist_store import BLOCKED_KEY, MAX_READS_AT_START, BlocklistStore
from peridotdock.decisions.poison import find_poison, part_cause
from peridotdock.errors import Failure, Kind
from peridotdock.events import Filter
from peridotdock.fact_table import FactTable
from peridotdock.relay.requests import MAX_PART_ID
from peridotdock.schema.messages import EndpointEnd
from tests.builders import facts_of, make_ctx
from tests.fakes import FakeClock, FakePlatform
from tests.relay.deployment import Deployment
from tests.relay.test_relay import run

# Time after which all hosts in touch must act on what any of them knows.
STABLE_WINDOW_SECONDS = 3.0
# Crashes after which the window begins, and requests with the part that may arrive later than it.
CRASHES = 5
MAX_LATER_ARRIVALS = 3
# Part of their usual share that sound requests must keep.
MIN_SHARE = 0.5
ENGINES = tuple((f"e{number}", ("m0",)) for number in range(5))
# Time from the crash of an engine to its next start.
RECOVERY_SECONDS = 1.0
CALM_SECONDS = 2.0
SOUND_INTERVAL_SECONDS = 0.1
BAD_INTERVAL_SECONDS = 0.25
SESSIONS = 7


class Day:
    """Sound requests at all hosts, and from some time on requests that hold a bad part."""

    def __init__(self, found, bad, head="", unframed=False, hosts_replaced=False):
        self._found = found
        self._bad = bad
        self._hosts_replaced = hosts_replaced
        self._loop = asyncio.get_running_loop()
        self._tasks = set()
        self.bad_since = float("inf")
        self.crash_times = {part: [] for part in bad}
        self.sound = []
        self.bad = []
        for runner in found.engines.values():
            runner.fatal_parts, runner.fatal_head, runner.unframed = {*bad}, head, unframed
            runner.delay_seconds = 0.05
            runner.events = 12
            runner.on_crash = partial(self._on_crash, runner, runner.on_crash)

    def _on_crash(self, runner, expire):
        self.crash_times[self._part(runner.fatal[-1])].append(self._loop.time())
        expire()
        self._start(self._recover(runner))

    def _start(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _recover(self, runner):
        await asyncio.sleep(RECOVERY_SECONDS)
        await runner.recover()

    async def _send(self, records, name, parts, to):
        sent = self._loop.time()
        status, _, body = await self._found.send(
            "/recap/", name, "m0", to=to, body=name.encode(), x_prompt_prefix=parts
        )
        records.append((sent, status, body))

    async def _send_sound(self, number):
        parts = f"system:300,session{number % SESSIONS}:200,turn{number}:100"
        await self._send(self.sound, f"sound{number}", parts, number % len(self._found.hosts))

    def _part(self, attempt):
        """Return the bad part of an attempt by its number."""
        return self._bad[int(attempt.removeprefix("bad")) % len(self._bad)]

    async def _send_bad(self, number):
        parts = f"system:300,{self._part(f'bad{number}')}:200,odd{number}:100"
        await self._send(self.bad, f"bad{number}", parts, number % len(self._found.hosts))

    async def _repeat(self, send, interval):
        number = 0
        while True:
            self._start(send(number))
            number += 1
            await asyncio.sleep(interval)

    async def _replace_hosts(self):
        """Replace the hosts one after the other, from the fifth crash on."""
        while max(map(len, self.crash_times.values())) < CRASHES and not self._is_over():
            await asyncio.sleep(0.05)
        for place in range(len(self._found.hosts)):
            await self._found.replace_host(place)
            await asyncio.sleep(0.5)

    def turning_point(self, part):
        """Return the time of the fifth crash by a part, of the last if there are fewer."""
        times = self.crash_times[part]
        return times[min(CRASHES, len(times)) - 1] if times else self.bad_since

    def settled_at(self):
        """Return the time from which sound requests must be served as usual."""
        return max(map(self.turning_point, self._bad)) + 2 * STABLE_WINDOW_SECONDS

    def _is_over(self):
        return self._loop.time() > self.settled_at() + CALM_SECONDS

    async def play(self):
        sound = asyncio.ensure_future(self._repeat(self._send_sound, SOUND_INTERVAL_SECONDS))
        await asyncio.sleep(CALM_SECONDS)
        self.bad_since = self._loop.time()
        bad = asyncio.ensure_future(self._repeat(self._send_bad, BAD_INTERVAL_SECONDS))
        if self._hosts_replaced:
            self._start(self._replace_hosts())
        while not self._is_over():
            await asyncio.sleep(0.05)
        sound.cancel()
        bad.cancel()
        await asyncio.gather(sound, bad, return_exceptions=True)
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def later_arrivals(self, part):
        """Return how many requests with a part arrived later than the window allows."""
        since = self.turning_point(part) + STABLE_WINDOW_SECONDS
        arrivals = [row for runner in self._found.engines.values() for row in runner.request_times]
        late = [attempt for at, attempt in arrivals if at > since and attempt.startswith("bad")]
        return sum(self._part(attempt) == part for attempt in late)

    def served_share(self, since, until=float("inf")):
        """Return the part of the sound requests sent in a time that were served."""
        statuses = [status for sent, status, _ in self.sound if since <= sent < until]
        return statuses.count(200) / len(statuses)


class PromptPartTest(unittest.TestCase):
    """Engine after engine ends under requests of which no two are alike.

    They share a part of their prompts, which ends each engine that begins an answer on it. Blame
    went to whole requests, and none of these came to three ends. Sound requests share the caller,
    the model and the first part, and are at every end too.
    """

    @params(
        ("before the head", ("bad",), {}),
        ("after the head", ("bad",), {"head": "chunked"}),
        ("after a head without framing", ("bad",), {"head": "unframed", "unframed": True}),
        ("two parts by turns", ("bad", "worse"), {"head": "chunked"}),
        ("hosts replaced", ("bad",), {"head": "chunked", "hosts_replaced": True}),
    )
    @run
    async def test_a_prompt_part_that_ends_engines_is_not_sent_on(self, name, bad, options):
        async with Deployment(hosts=4, engines=ENGINES) as found:
            day = Day(found, bad, **options)
            await day.play()
            arrivals = {part: day.later_arrivals(part) for part in bad}
            self.assertLessEqual(max(arrivals.values()), MAX_LATER_ARRIVALS, arrivals)
            self.assertNotIn(200, [status for _, status, _ in day.bad])
            usual = day.served_share(0.0, day.bad_since)
            self.assertGreaterEqual(day.served_share(day.settled_at()), MIN_SHARE * usual)


class SendingTest(unittest.TestCase):
    """What a host does with blocked parts while it connects and streams."""

    @run
    async def test_a_stream_that_goes_on_clears_its_parts(self):
        """Guards against a first part that is refused until an answer has ended."""
        async with Deployment() as found:
            found.engines["e1"].delay_seconds, found.engines["e1"].events = 0.1, 20
            blocklist = found.hosts[0].blocklist
            blocklist._has_ended = lambda start, at: True
            asking = asyncio.create_task(found.send("/recap/", "a1", "m0"))
            await found.until(lambda: found.engines["e1"].executed)
            for number in range(3):
                other = SimpleNamespace(content_id=f"c{number}", part_ids=("aa",))
                blocklist.record_end(other, EndpointStart(f"gone{number}", ""))
            self.assertEqual({part_cause("aa")}, blocklist.blocked())
            await found.until(lambda: not blocklist.blocked())
            self.assertFalse(asking.done())
            await asking

    @run
    async def test_a_request_blocked_while_it_connects_is_not_sent(self):
        """Guards against one more arrival for each request that waits for its connection."""
        async with Deployment() as found:
            host = found.hosts[0]
            answers = [None, None, None]
            blocked = Failure(Kind.BLOCKED, "part bad", 1.0)
            host.blocklist.refusal = lambda req: answers.pop() if answers else blocked
            status, _, _ = await found.send("/recap/", "a1", "m0")
            self.assertEqual((503, []), (status, found.engines["e1"].executed))
            self.assertEqual([], answers)
            self.assertTrue(host.fleet.states["e1"].usable(host.ctx.clock.monotonic()))

    @run
    async def test_long_part_ids_are_told_by_their_hash(self):
        async with Deployment() as found:
            found.engines["e1"].fatal_parts = {"b" * 1000}
            await found.send("/once/", "a1", "m0", x_prompt_prefix=f"{'b' * 1000}:300,last:1")
            events = found.hosts[0].ctx.timeline.select(Filter())
            lost = [event.detail for event in events if event.name == "send_lost"]
            self.assertLessEqual(len(lost[0].split("parts ")[1]), MAX_PART_ID)


class FindPartTest(unittest.TestCase):
    """What is blamed; capital letters are prompt parts, small ones whole requests."""

    @params(
        ("what unlike requests share", "a P|b P|c P", "P", ""),
        ("two may be chance", "a P|b P", "", ""),
        ("a harmless part at fewer ends", "a F P|b F P|c P", "P", ""),
        ("a harmless part at as many ends", "a F P|b F P|c F P", "F P", "F P"),
        ("requests that were sent again", "a P|a P|b P|b P", "P", ""),
        ("a whole request, whatever its parts", "a P x|a Q|a R", "a", ""),
        ("two parts", "a P|b P|c P|d Q|e Q|f Q", "P Q", ""),
        ("a harmless part that two bad ones share", "a F P|b F Q|c F P|d F Q", "F", "F"),
        ("a harmless part that a bad one explains", "a P|b P S|c P S|d P S", "P", ""),
        ("a bad part behind a harmless one", "a S P|b S P|c S Q|d S Q|e S P|f P", "P S", "S"),
        ("what parts at single ends do not explain", "a F P|b F Q|c F R", "F", ""),
    )
    def test_the_part_at_the_most_ends_is_blamed(self, name, ends, blocked, doubtful):
        found = find_poison(
            frozenset(part_cause(word) if word.isupper() else word for word in end.split())
            for end in ends.split("|")
        )
        words = [{cause[-1] for cause in causes} for causes in (found.blocked, found.doubtful)]
        self.assertEqual([{*blocked.split()}, {*doubtful.split()}], words, name)


class PartBlocklistTest(unittest.IsolatedAsyncioTestCase):
    """The lists of two hosts; ``bad`` ends engines, all requests have the part ``system``."""

    def setUp(self):
        self.clock, self.store = FakeClock(), FakePlatform()
        self.count = 0
        self.first, self.second = self.host("h0"), self.host("h1")

    def host(self, name):
        facts = FactTable(name, 1, self.clock)
        ctx, tries = make_ctx(self.clock, name), name == "h0"
        found = Blocklist(ctx, facts, lambda start, at: True, lambda: tries)
        found.facts = facts
        return found

    def ask(self, *parts):
        """Return a request that is like no other."""
        self.count += 1
        return SimpleNamespace(content_id=f"c{self.count}", part_ids=("system", *parts))

    def end(self, host, *parts, ends=1):
        for _ in range(ends):
            self.count += 1
            host.record_end(self.ask(*parts), EndpointStart(f"e{self.count}", ""))

    def share(self, *, to, by):
        by.publish_changes()
        to.facts.merge(facts_of(by.facts))

    def test_a_stream_that_goes_on_speaks_for_its_parts_at_all_hosts(self):
        self.end(self.first, "bad", ends=3)
        self.share(to=self.second, by=self.first)
        self.second.record_streaming(self.ask("session"))
        self.share(to=self.first, by=self.second)
        self.share(to=self.second, by=self.first)
        for host in (self.first, self.second):
            self.assertIsNone(host.refusal(self.ask("session")))
            refusal = host.refusal(self.ask("bad"))
            self.assertAlmostEqual(PART_BLOCKED_SECONDS[0], refusal.retry_after)

    def test_a_stream_that_an_end_broke_off_speaks_for_its_parts(self):
        """Guards against a first part that is blocked: the end is counted a moment later."""
        self.first.record_lost_stream(self.ask("session"))
        for _ in range(3):
            self.clock.advance(0.1)
            self.end(self.second, "bad")
        self.share(to=self.second, by=self.first)
        self.share(to=self.first, by=self.second)
        for host in (self.first, self.second):
            self.assertEqual({part_cause("bad")}, host.blocked())
            self.assertIsNone(host.refusal(self.ask("session")))
            self.assertIsNotNone(host.refusal(self.ask("bad")))

    def test_parts_in_doubt_are_told_apart_by_a_harmless_request(self):
        """Guards against an engine that ends to learn what a harmless request shows."""
        self.end(self.first, "bad", ends=3)
        refusal = self.first.refusal(self.ask("bad"))
        self.assertLess(TRIAL_RETRY_SECONDS, refusal.retry_after)
        harmless = self.ask("session")
        self.assertIsNone(self.first.refusal(harmless))
        self.assertIsNotNone(self.first.refusal(self.ask("session")))
        self.first.record_streaming(harmless)
        self.assertIsNone(self.first.refusal(self.ask("session")))
        self.assertIsNotNone(self.first.refusal(self.ask("bad")))

    def test_trials_of_a_part_end_few_engines_in_a_day(self):
        self.first.record_lost_stream(self.ask())
        self.end(self.first, "bad", ends=5)
        self.clock.advance(STABLE_WINDOW_SECONDS)
        later = 0
        for _ in range(24 * 60 * 6):
            self.clock.advance(10)
            if self.first.refusal(self.ask("bad")) is None:
                self.end(self.first, "bad")
                later += 1
            if later > MAX_LATER_ARRIVALS:
                break
            self.first.record_streaming(self.ask())
        self.assertLessEqual(later, MAX_LATER_ARRIVALS)

    def test_a_trial_is_granted_by_what_the_coordinator_knows(self):
        """Guards against one more end: the host that asks has not heard of the last trial's."""
        self.first.record_lost_stream(self.ask())
        self.end(self.first, "bad", ends=3)
        self.first.record_streaming(self.ask())
        self.clock.advance(PART_BLOCKED_SECONDS[0] + 1)
        cause = part_cause("bad")
        self.assertTrue(self.first.trials.reserve(cause))
        self.end(self.first, "bad")
        self.assertFalse(self.first.trials.reserve(cause))

    def test_a_harmless_part_is_blocked_for_seconds_alone(self):
        """Engines are killed, and three held requests with one part that none had answered yet."""
        self.end(self.first, "session", ends=3)
        self.first.record_streaming(self.ask())
        self.assertIsNotNone(self.first.refusal(self.ask("session")))
        self.clock.advance(PART_BLOCKED_SECONDS[0])
        tried = self.ask("session")
        self.assertIsNone(self.first.refusal(tried))
        self.first.record_answer(tried)
        self.assertIsNone(self.first.refusal(self.ask("session")))

    def test_nothing_is_recorded_before_an_endpoint_ends(self):
        self.assertEqual(0, self.first.revision)
        self.first.record_answer(SimpleNamespace())
        self.assertIsNone(self.first.refusal(SimpleNamespace()))
        self.first.publish_changes()
        self.assertEqual([], facts_of(self.first.facts))

    def test_remembered_answers_are_bounded(self):
        for number in range(MAX_ANSWERED + 50):
            self.first.record_lost_stream(self.ask(f"s{number}"))
            self.clock.advance(0.001)
        self.end(self.first, "bad", ends=3)
        self.first.blocked()
        self.assertLessEqual(len(self.first._answered), MAX_ANSWERED)

    def test_rows_of_earlier_versions_name_no_parts(self):
        self.second.learn([EndpointEnd(f"e{number}", "", 1.0, ["c"]) for number in range(3)])
        self.assertEqual({"c"}, self.second.blocked())

    async def test_the_stored_row_tells_hosts_that_start_which_parts_are_blocked(self):
        """Guards against hosts replaced one after the other, those that saw the ends among them."""
        self.first.record_lost_stream(self.ask())
        self.clock.advance(2)
        self.end(self.first, "bad", ends=3)
        self.first.record_streaming(self.ask())
        ctx = make_ctx(self.clock, "h0")
        await BlocklistStore(ctx, self.store, lambda: True, self.first).step()
        self.assertIn(BLOCKED_KEY, self.store.rows)
        started = self.host("h9")
        await BlocklistStore(ctx, self.store, lambda: False, started).step()
        self.assertIsNotNone(started.refusal(self.ask("bad")))
        self.assertIsNone(started.refusal(self.ask("session")))

    async def test_a_host_that_starts_without_the_store_asks_it_a_few_times(self):
        calls = []

        async def read(keys):
            calls.append(keys)
            return Failure(Kind.ENDPOINT_UNREACHABLE)

        store = SimpleNamespace(read=read, era=self.store.era)
        ctx = make_ctx(self.clock, "h9")
        blocklist_store = BlocklistStore(ctx, store, lambda: False, self.host("h9"))
        for _ in range(3 * MAX_READS_AT_START):
            await blocklist_store.step()
        self.assertEqual(MAX_READS_AT_START, len(calls))
