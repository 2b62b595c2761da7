"""Rejection of requests that would wait too long, in a small simulation of one engine."""

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
        ("some queued prompts", predict_for(queued_tokens=8_000), 1, False),
        ("late, but its caller stays", predict_for(queued_tokens=60_000), 1, False),
        ("longer than its caller stays", predict_for(queued_tokens=75_000), 1, True),
        ("the first rank is served before them", predict_for(queued_tokens=75_000), 0, False),
        ("but not before so many", predict_for(queued_tokens=120_000), 0, True),
        (
            "few run there: the report may be old",
            predict_for(queued_tokens=75_000, running=10),
            1,
            False,
        ),
        ("a slow engine", predict_for(queued_tokens=40_000, slowness=2.0), 1, True),
        ("a large prompt with an empty queue", predict_for(tokens=40_000), 1, False),
        ("all slots are occupied", predict_for(running=SLOTS + 260), 2, True),
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
    def test_the_retry_time_follows_the_wait(self, wait, allowed, expected):
        self.assertAlmostEqual(expected, ExcessiveWait(wait, allowed).retry_after(lambda: 0.5))

    def test_callers_rejected_together_retry_apart(self):
        draws = random.Random(1)
        times = [ExcessiveWait(2.0, 0.3).retry_after(draws.random) for _ in range(200)]
        self.assertGreater(max(times) - min(times), 0.5)
        self.assertGreaterEqual(min(times), MIN_RETRY_SECONDS)


@dataclass
class Outcome:
    """Counts of callers that were served, in time or late, and that disconnected unserved."""

    served: int = 0
    disconnected: int = 0


def simulate(reject, seed, rate=90.0, seconds=12.0):
    """Callers arrive at one engine that prefills 55 prompts per second, and stay for two seconds.

    Each rejected caller retries once. The engine handles prompts in order of arrival and drops
    those whose callers have disconnected.
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
                found.disconnected += 1
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
    def test_no_caller_waits_in_vain(self, seed):
        """Callers wait for two seconds and disconnect without an answer or a time to retry.

        Requests arrive at one and a half times the rate that one engine can serve. All of them were
        sent, and many were still queued when their callers disconnected.
        """
        before, after = simulate(False, seed), simulate(True, seed)
        self.assertGreater(before.disconnected, 100)
        self.assertEqual(0, after.disconnected)
        self.assertGreaterEqual(after.served, 0.97 * before.served)

    @params(*range(1, 4))
    def test_all_callers_are_served_at_a_usual_rate(self, seed):
        found = simulate(True, seed, rate=35.0)
        self.assertEqual(simulate(False, seed, rate=35.0), found)
        self.assertEqual(0, found.disconnected)


class RefusedTest(unittest.TestCase):
    @run
    async def test_a_caller_gets_a_retry_time_at_once(self):
        """A caller waits for two seconds and disconnects, though the wait was predictable."""
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
