"""Requests that would wait too long at an engine, against a small model of one engine."""

import random
import unittest
from collections import deque
from dataclasses import dataclass

from nose2.tools import params

from peridotdock.decisions.admission import LONGEST_RETRY, SHORTEST_RETRY, Crowd, judge_wait
from peridotdock.decisions.choice import Candidate, Prediction, Work, predict
from tests.relay.deployment import Deployment
from tests.relay.test_relay import run

PER_TOKEN = 1 / 38_400
SLOTS = 64
# Seconds for which callers stay without a first event.
PATIENCE = 2.0
TOKENS = 700


def look(tokens=TOKENS, ahead=0, running=40, slowness=1.0):
    candidate = Candidate("e1", ahead, running, SLOTS, 0, False, slowness, True)
    work = Work(tokens, 0, PER_TOKEN, 0.5)
    return Prediction(candidate, predict(candidate, work)), work


class JudgeTest(unittest.TestCase):
    @params(
        ("an idle engine", look(running=0), 1, False),
        ("some prompts ahead", look(ahead=8_000), 1, False),
        ("late, but its caller stays", look(ahead=60_000), 1, False),
        ("longer than its caller stays", look(ahead=75_000), 1, True),
        ("the first rank goes before them", look(ahead=75_000), 0, False),
        ("not before a crowd", look(ahead=120_000), 0, True),
        ("few run there: the word may be old", look(ahead=75_000, running=10), 1, False),
        ("a slow engine", look(ahead=40_000, slowness=2.0), 1, True),
        ("a large prompt with nothing ahead", look(tokens=40_000), 1, False),
        ("all places are taken", look(running=SLOTS + 260), 2, True),
        ("a plain service", (look(ahead=10**6)[0], Work(0, 0, 0.0, 0.05)), 2, False),
    )
    def test_who_is_turned_away(self, name, found, rank, expected):
        self.assertEqual(expected, judge_wait(*found, PATIENCE, rank) is not None, name)

    @params((0.4, 0.3, 0.25), (2.0, 0.3, 1.85), (60.0, 0.3, LONGEST_RETRY), (0.2, 0.3, 0.2))
    def test_a_caller_comes_back_when_there_is_room(self, wait, allowed, expected):
        self.assertAlmostEqual(expected, Crowd(wait, allowed).retry_after(lambda: 0.5))

    def test_those_turned_away_together_come_back_apart(self):
        draws = random.Random(1)
        times = [Crowd(2.0, 0.3).retry_after(draws.random) for _ in range(200)]
        self.assertGreater(max(times) - min(times), 0.5)
        self.assertGreaterEqual(min(times), SHORTEST_RETRY)


@dataclass
class Outcome:
    """What became of callers: served in time or late, or gone after they waited for nothing."""

    served: int = 0
    left: int = 0


def play(turn_away, seed, rate=90.0, seconds=12.0):
    """Callers come to one engine that reads 55 prompts a second, and stay for two seconds.

    Each one turned away comes back once. The engine reads prompts in the order in which they came,
    and drops those whose callers have left.
    """
    rng = random.Random(seed)
    coming, now = [], 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        coming.append((now, now))
    found, queue, free_at = Outcome(), deque(), 0.0
    coming.sort(reverse=True)
    while coming or queue:
        if queue and (not coming or free_at <= coming[-1][0]):
            came = queue.popleft()
            begin = max(free_at, came)
            if begin - came > PATIENCE:
                found.left += 1
                continue
            free_at = begin + TOKENS * PER_TOKEN
            found.served += 1
            continue
        came, first = coming.pop()
        ahead = max(0.0, free_at - came) / PER_TOKEN + TOKENS * len(queue)
        crowd = judge_wait(*look(ahead=ahead), PATIENCE, 1)
        if not turn_away or crowd is None:
            queue.append(came)
        elif came == first:
            coming.append((came + crowd.retry_after(rng.random), first))
            coming.sort(reverse=True)
    return found


class CrowdTest(unittest.TestCase):
    @params(*range(1, 6))
    def test_nobody_waits_for_nothing(self, seed):
        """Guests wait for two seconds, leave without an answer, and were never told to come back.

        Callers come half as often again as one engine with their model bears. All that came were
        sent on, and many were still in its queue when their callers left.
        """
        before, after = play(False, seed), play(True, seed)
        self.assertGreater(before.left, 100)
        self.assertEqual(0, after.left)
        self.assertGreaterEqual(after.served, 0.97 * before.served)

    @params(*range(1, 4))
    def test_callers_as_usual_are_all_served(self, seed):
        found = play(True, seed, rate=35.0)
        self.assertEqual(play(False, seed, rate=35.0), found)
        self.assertEqual(0, found.left)


class RefusedTest(unittest.TestCase):
    @run
    async def test_a_caller_is_told_at_once_when_to_come_back(self):
        """A caller waits for two seconds and leaves; the host knew that it would."""
        async with Deployment() as found:
            state = found.hosts[0].fleet.states["e1"]
            state.pending_tokens = 10**6
            for number in range(8):
                state.in_flight[f"f{number}"] = None
            status, headers, _ = await found.ask("/recap/", model="m0")
            self.assertEqual(503, status)
            self.assertGreater(float(headers["retry-after"]), 1.0)
            self.assertEqual([], found.engines["e1"].seen)
            state.in_flight.clear()
            state.pending_tokens = 0
            self.assertEqual(200, (await found.ask("/recap/", "a2", "m0"))[0])
