"""Endpoints that fail with a status by which callers are told that their request has not run."""

import itertools
import unittest

from nose2.tools import params

from peridotdock.decisions.promises import NOT_RUN_STATUSES, may_pass_on
from tests.relay.deployment import Deployment
from tests.relay.test_forwarding import cut_off, gated
from tests.relay.test_relay import run

# Path, model, and whether the request may be repeated.
REQUESTS = (
    ("/bind/", "", False),
    ("/once/", "m0", False),
    ("/fetch/", "", True),
    ("/recap/", "m0", True),
)
FAILURES = ("status 408", "status 429", "status 503", "status 500", "status 504", "status 404")
CASES = tuple(itertools.product(REQUESTS, FAILURES))
# The status of this system for a request that may have run.
MAYBE_RAN = 502


def expected_status(own, repeatable):
    return own if repeatable or own not in NOT_RUN_STATUSES else MAYBE_RAN


class OwnFailureTest(unittest.TestCase):
    """Guards against "not run" for a request that may run once, and that its endpoint ran."""

    async def check(self, found, request, failure):
        path, model, repeatable = request
        runners = [*found.engines.values(), *found.pages.values()]
        for runner in runners:
            runner.script = [failure] * 9
        own = int(failure.split()[1])
        status, headers, _ = await found.send(path, "a1", model=model)
        self.assertEqual(expected_status(own, repeatable), status)
        # Only an endpoint's own status may carry its signature.
        self.assertEqual(status == own, "x-response-signature" in headers)
        self.assertEqual("a1", headers["x-attempt-id"])
        executed = [attempt for runner in runners for attempt in runner.executed]
        self.assertIn("a1", executed)
        if not repeatable:
            self.assertEqual(1, executed.count("a1"))

    @params(*CASES)
    @run
    async def test_a_status_that_promises_too_much_is_replaced(self, request, failure):
        async with Deployment() as found:
            await self.check(found, request, failure)

    @params(*CASES[:12:2])
    @run
    async def test_the_same_through_another_host(self, request, failure):
        async with gated() as found:
            await cut_off(found)
            await self.check(found, request, failure)

    @params(*itertools.product((200, 404, 500, 504, *sorted(NOT_RUN_STATUSES)), (False, True)))
    def test_decision(self, status, repeatable):
        promises = status in (408, 421, 429, 503)
        self.assertEqual(repeatable or not promises, may_pass_on(status, repeatable))
