"""Requests that would wait too long at an engine, against a small model of one engine."""

import random
import unittest
from collections import deque
from dataclasses import dataclass

from nose2.tools import params

from peridotdock.decisions.admission import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    ExcessiveWait,
    check_wait,
)
from peridotdock.decisions.choice import Candidate, Prediction, RequestCost, predict
from tests.relay.deployment import Deployment
from tests.relay.test_relay import run

SECONDS_PER_TOKEN = 1 / 38_400
SLOTS = 64
# Seconds for which callers stay without a first event.
CALLER_TIMEOUT_SECONDS = 2.0
TOKENS = 700


def predict_for(tokens=TOKENS, queued_tokens=0, running=40, slowness=1.0):
    candidate = Candidate("e1", queued_tokens, running, SLOTS, 0, False, slowness, True)
    work = RequestCost(tokens, 0, SECONDS_PER_TOKEN, 0.5)
    return Prediction(candidate, predict(candidate, work)), work


class JudgeTest(unittest.TestCase):
    @params(
        ("an idle engine", predict_for(running=0), 1, False),
        ("some prompts ahead", predict_for(queued_tokens=8_000), 1, False),
        ("late, but its caller stays", predict_for(queued_tokens=60_000), 1, False),
        ("longer than its caller stays", predict_for(queued_tokens=75_000), 1, True),
        ("the first rank goes before them", predict_for(queued_tokens=75_000), 0, False),
        ("not before a crowd", predict_for(queued_tokens=120_000), 0, True),
        (
            "few run there: the word may be old",
            predict_for(queued_tokens=75_000, running=10),
            1,
            False,
        ),
        ("a slow engine", predict_for(queued_tokens=40_000, slowness=2.0), 1, True),
        ("a large prompt with nothing ahead", predict_for(tokens=40_000), 1, False),
        ("all places are taken", predict_for(running=SLOTS + 260), 2, True),
        (
            "a plain service",
            (predict_for(queued_tokens=10**6)[0], RequestCost(0, 0, 0.0, 0.05)),
            2,
            False,
        ),
    )
    def test_which_requests_are_rejected(self, name, found, rank, expected):
        self.assertEqual(
            expected, check_wait(*found, CALLER_TIMEOUT_SECONDS, rank) is not None, name
        )

    @params((0.4, 0.3, 0.25), (2.0, 0.3, 1.85), (60.0, 0.3, MAX_RETRY_SECONDS), (0.2, 0.3, 0.2))
    def test_a_caller_comes_back_when_there_is_room(self, wait, allowed, expected):
        self.assertAlmostEqual(expected, ExcessiveWait(wait, allowed).retry_after(lambda: 0.5))

    def test_callers_rejected_together_retry_apart(self):
        draws = random.Random(1)
        times = [ExcessiveWait(2.0, 0.3).retry_after(draws.random) for _ in range(200)]
        self.assertGreater(max(times) - min(times), 0.5)
        self.assertGreaterEqual(min(times), MIN_RETRY_SECONDS)


@dataclass
class Outcome:
    """What became of callers: served in time or late, or gone after they waited for nothing."""

    served: int = 0
    left: int = 0


def simulate(reject, seed, rate=90.0, seconds=12.0):
    """Callers come to one engine that reads 55 prompts a second, and stay for two seconds.

    Each one turned away comes back once. The engine reads prompts in the order in which they
    arrived, and drops those whose callers have left.
    """
    rng = random.Random(seed)
    arrivals, now = [], 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        arrivals.append((now, now))
    found, queue, free_at = Outcome(), deque(), 0.0
    arrivals.sort(reverse=True)
    while arrivals or queue:
        if queue and (not arrivals or free_at <= arrivals[-1][0]):
            arrived = queue.popleft()
            begin = max(free_at, arrived)
            if begin - arrived > CALLER_TIMEOUT_SECONDS:
                found.left += 1
                continue
            free_at = begin + TOKENS * SECONDS_PER_TOKEN
            found.served += 1
            continue
        arrived, first = arrivals.pop()
        queued_tokens = max(0.0, free_at - arrived) / SECONDS_PER_TOKEN + TOKENS * len(queue)
        excess = check_wait(*predict_for(queued_tokens=queued_tokens), CALLER_TIMEOUT_SECONDS, 1)
        if not reject or excess is None:
            queue.append(arrived)
        elif arrived == first:
            arrivals.append((arrived + excess.retry_after(rng.random), first))
            arrivals.sort(reverse=True)
    return found


class ExcessiveWaitTest(unittest.TestCase):
    @params(*range(1, 6))
    def test_nobody_waits_for_nothing(self, seed):
        """Guests wait for two seconds, leave without an answer, and were never told to come back.

        Callers come half as often again as one engine with their model bears. All that arrived were
        sent on, and many were still in its queue when their callers left.
        """
        before, after = simulate(False, seed), simulate(True, seed)
        self.assertGreater(before.left, 100)
        self.assertEqual(0, after.left)
        self.assertGreaterEqual(after.served, 0.97 * before.served)

    @params(*range(1, 4))
    def test_callers_as_usual_are_all_served(self, seed):
        found = simulate(True, seed, rate=35.0)
        self.assertEqual(simulate(False, seed, rate=35.0), found)
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
            status, headers, _ = await found.send("/recap/", model="m0")
            self.assertEqual(503, status)
            self.assertGreater(float(headers["retry-after"]), 1.0)
            self.assertEqual([], found.engines["e1"].requests)
            state.in_flight.clear()
            state.pending_tokens = 0
            self.assertEqual(200, (await found.send("/recap/", "a2", "m0"))[0])
