"""Endpoints that send a refusal twice, where the copy may be read as the next request's answer."""

import asyncio
import random
import unittest
from collections import Counter
from dataclasses import replace
from itertools import product

from nose2.tools import params

from peridotdock.errors import Kind
from peridotdock.relay.requests import AnswerHead
from peridotdock.relay.sending import check_answer_head
from tests.relay.deployment import BOUNDS, Deployment
from tests.relay.test_relay import run
from tests.standins.runner import COPY_TIMES

# Statuses that tell a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
RETRIES = replace(BOUNDS, retry_extra=500.0)
COPIES = tuple(product(COPY_TIMES, (False, True)))


def broken_promises(answers, runners):
    """Return the attempts that ran more than once, or that ran and were refused as not run."""
    runs = Counter(attempt for runner in runners for attempt in runner.executed)
    twice = sorted(attempt for attempt, count in runs.items() if count > 1)
    refused = [at for at, (status, _, _) in answers.items() if status in NOT_RUN_STATUSES]
    return {"twice": twice, "refused": sorted(at for at in refused if runs[at])}


# Seconds within which an endpoint ends its work on a request that goes on elsewhere.
STILL_AT_WORK_SECONDS = 0.4
NOTHING = {"twice": [], "refused": []}


class CopiedRefusalsTest(unittest.TestCase):
    @params(*COPIES)
    @run
    async def test_a_copy_of_its_own_refusal_does_not_end_a_second_send(self, copy_at, named):
        """Guards against a request that runs twice as it is sent again on the same connection."""
        async with Deployment() as found:
            runner = found.pages["p1"]
            runner.copy_at, runner.names_refusals = copy_at, named
            runner.script = ["refuse twice"]
            answers = {"a1": await found.send("/bind/", "a1")}
            self.assertEqual(NOTHING, broken_promises(answers, [runner]))
            self.assertEqual(200, answers["a1"][0])

    @params(*COPIES)
    @run
    async def test_a_copy_of_a_refusal_does_not_answer_another_request(self, copy_at, named):
        """Guards against "not run" for a request that runs, which its caller sends again."""
        async with Deployment(bounds=RETRIES) as found:
            runner = found.pages["p1"]
            runner.copy_at, runner.names_refusals = copy_at, named
            answers = {}
            for number in range(3):
                runner.script = ["refuse", "refuse", "refuse twice"]
                for attempt in (f"refused{number}", f"served{number}"):
                    answers[attempt] = await found.send("/bind/", attempt)
            self.assertEqual(NOTHING, broken_promises(answers, [runner]))
            served = [row[0] for at, row in answers.items() if at.startswith("served")]
            if not named:
                self.assertEqual([200] * 3, served)

    @params(*COPIES)
    @run
    async def test_a_copy_does_not_answer_a_request_after_one_that_was_answered(
        self, copy_at, named
    ):
        """Guards against a connection that counts as sound once an answer on it has an id."""
        async with Deployment(bounds=RETRIES) as found:
            runner = found.pages["p1"]
            runner.copy_at, runner.names_refusals = copy_at, named
            runner.script = ["refuse twice"]
            answers = {"first": await found.send("/fetch/", "first")}
            answers["second"] = await found.send("/bind/", "second")
            self.assertEqual(200, answers["first"][0])
            once = {"second": answers["second"]}
            broken = broken_promises(once, [runner])
            broken["twice"] = [at for at in broken["twice"] if at in once]
            self.assertEqual(NOTHING, broken)
            if not named:
                self.assertEqual(200, answers["second"][0])

    @params(*COPIES)
    @run
    async def test_many_requests_at_endpoints_that_refuse_often(self, copy_at, named):
        """Guards against both where requests of all kinds share the connections."""
        async with Deployment(pages=("p1", "p2"), bounds=RETRIES) as found:
            rng = random.Random(f"{copy_at} {named}")
            runners = list(found.pages.values())
            steps = ("serve", "refuse", "refuse twice")
            for runner in runners:
                runner.copy_at, runner.names_refusals = copy_at, named
                runner.script = rng.choices(steps, (6, 2, 2), k=200)
            answers = {}

            async def ask(caller):
                for number in range(15):
                    once = rng.random() < 0.5
                    attempt = f"{'once' if once else 'often'}{caller}.{number}"
                    path = "/bind/" if once else "/fetch/"
                    answers[attempt] = await found.send(path, attempt)

            await asyncio.gather(*(ask(caller) for caller in range(4)))
            once = {at: row for at, row in answers.items() if at.startswith("once")}
            broken = broken_promises(once, runners)
            broken["twice"] = [at for at in broken["twice"] if at.startswith("once")]
            self.assertEqual(NOTHING, broken)
            for status, headers, body in answers.values():
                if status == 200:
                    self.assertEqual(b"whole answer", body, headers)

    @params(*product(("at once", "with the body", "idle"), (False, True)))
    @run
    async def test_a_connection_with_unread_bytes_is_not_used(self, copy_at, named):
        """Guards against a request that is sent three times as a copy is read as its answer."""
        async with Deployment() as found:
            runner = found.pages["p1"]
            runner.copy_at, runner.names_refusals = copy_at, named
            runner.script, unreachable = ["refuse twice"], []
            found.hosts[0].service.on_unreachable = unreachable.append
            self.assertEqual(200, (await found.send("/fetch/", "a1"))[0])
            self.assertEqual((2, []), (len(runner.requests), unreachable))

    @params(False, True)
    @run
    async def test_an_endpoint_that_may_run_a_refused_request_sees_a_close(self, named):
        """Guards against a request that goes on elsewhere while its first endpoint works on it."""
        async with Deployment() as found:
            runner = found.pages["p1"]
            runner.copy_at, runner.names_refusals = "next request", named
            runner.script = ["refuse twice", "silent"]
            asked = asyncio.create_task(found.send("/fetch/", "a1"))
            await found.until(lambda: runner.executed)
            await found.until(lambda: runner.disconnected, STILL_AT_WORK_SECONDS)
            self.assertEqual(200, (await asked)[0])


class AnswerHeadTest(unittest.TestCase):
    @params(
        ("named", 503, "a1", True, True, Kind.ENDPOINT_REFUSED),
        ("names none", 503, "", True, False, Kind.ENDPOINT_REFUSED),
        ("another one's", 503, "a2", True, False, Kind.WRONG_ANSWER),
        ("own failure", 500, "a1", False, True, None),
        ("own failure names none", 500, "", False, False, None),
        ("own failure names none, in doubt", 500, "", False, True, Kind.WRONG_ANSWER),
    )
    def test_an_answer_in_doubt_must_name_its_request(
        self, name, status, attempt, not_run, in_doubt, expected
    ):
        """Guards against an endpoint's failure that is passed on as another request's answer."""
        head = AnswerHead(status, attempt, not_run, False, "", "text/plain", ())
        failure = check_answer_head(head, "a1", in_doubt)
        self.assertEqual(expected, failure and failure.kind, name)
