"""A prompt part that ends each engine which begins to write an answer on it."""

import asyncio
import unittest
from functools import partial

from nose2.tools import params

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
