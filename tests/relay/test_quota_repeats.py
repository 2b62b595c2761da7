"""Further runs of a request count against its workspace's quota."""

import asyncio
import unittest
from dataclasses import replace
from types import SimpleNamespace

from nose2.tools import params

from peridotdock.decisions.quotas import Tolerance
from peridotdock.relay.quota_usage import Decision
from peridotdock.workspaces import Quota
from tests.relay.deployment import BOUNDS, Deployment
from tests.relay.test_forwarding import cut_off
from tests.relay.test_relay import run
from tests.relay.test_silence import ENGINES
from tests.relay.test_workspaces import HILL, RIVER, configure

LIMIT = {"rate_per_s": 40, "burst": 10}
QUOTA = Quota(40.0, 10.0)
TOLERANCE = Tolerance(window=2.0, over=0.1, units=5.0)
BOUND = QUOTA.rate * TOLERANCE.window + QUOTA.burst + TOLERANCE.excess(QUOTA)
KEY = "Bearer key-one"
PAGES = ("p1", "p2", "p3")
# Requests of the callers a second, and for how many seconds they send.
ARRIVAL_RATE = 160.0
SECONDS = 5.0
# How the units of each decision count as taken.
SIGNS = dict.fromkeys(Decision, 1) | {Decision.REFUSED: 0, Decision.RETURNED: -1}
# Seconds for which endpoints are silent: second sends begin after one.
FROZEN_SECONDS = 1.3
CUT_A_THIRD = ["cut", "serve", "serve"] * 1000


async def overload(found, hosts):
    """Send several times the quota to some hosts; return the statuses."""
    calls = []
    for number in range(round(ARRIVAL_RATE * SECONDS)):
        to = hosts[number % len(hosts)]
        # One content that is cut at all endpoints would be blocked.
        call = found.send(f"/fetch/{number}", f"a{number}", to=to, authorization=KEY)
        calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(1 / ARRIVAL_RATE)
    return [status for status, _, _ in await asyncio.gather(*calls)]


def most_in_window(found):
    """Return the most requests that all pages together got in a window."""
    times = sorted(at for page in found.pages.values() for at, _ in page.request_times)
    return max(
        sum(first <= at < first + TOLERANCE.window for at in times[number:])
        for number, first in enumerate(times)
    )


class CutAnswersTest(unittest.TestCase):
    """Guards against a workspace that runs more than its quota, as its answers are cut.

    Each answer that is cut after its request ran is followed by another run.
    """

    @run
    async def test_no_window_holds_more_runs_than_the_quota(self):
        bounds = replace(BOUNDS, quota=TOLERANCE)
        async with Deployment(hosts=2, pages=PAGES, bounds=bounds) as found:
            await configure(found, 2, [RIVER | LIMIT, HILL])
            await found.until(lambda: found.hosts[1].request_handler.deployment.version == 2)
            await asyncio.sleep(TOLERANCE.window)
            for page in found.pages.values():
                page.script = list(CUT_A_THIRD)
            statuses = await overload(found, (0, 1))
            self.assertGreater(statuses.count(200), 0.6 * QUOTA.rate * SECONDS)
            self.assertLessEqual(most_in_window(found), BOUND)


TOKENS = {"rate_per_s": 20_000, "burst": 20_000, "unit": "tokens", "plain_tokens": 200}
FETCH, STREAM = ("/fetch/", "", 200), ("/recap/", "m0", 920)


def cut_first(runner):
    runner.script = ["cut"]


def refuse_first(runner):
    runner.script = ["refuse"]


def cut_then_refuse(runner):
    runner.script = ["cut"] if runner.name.endswith("1") else ["refuse"] * 50


def fail_first(runner):
    runner.script = ["error"]


def serve(runner):
    runner.script = []


class ChargeTest(unittest.TestCase):
    """Guards against runs that are charged to no quota, and charges for what did not run."""

    def _charged(self, found):
        """Return the units that were taken and not returned, over all hosts."""
        total = 0.0
        for host in found.hosts:
            for decision in Decision:
                units = host.ctx.metrics.quota_units.labels(decision.value)._value.get()
                total += SIGNS[decision] * units
        return total

    async def _prepare(self, found):
        await configure(found, 2, [RIVER | TOKENS, HILL])
        deployments = [host.request_handler for host in found.hosts]
        await found.until(lambda: all(row.deployment.version == 2 for row in deployments))
        servers = [host.quotas.server for host in found.hosts]
        await found.until(lambda: any(server.levels()["river"] > 9_000 for server in servers))

    async def _check(self, found, cost, runs):
        runners = (*found.pages.values(), *found.engines.values())
        executed = sum(len(runner.executed) for runner in runners)
        self.assertIn(executed, runs)
        self.assertEqual(cost * executed, self._charged(found))

    @params(
        (FETCH, serve, (1,)),
        (FETCH, cut_first, (2,)),
        (FETCH, refuse_first, (1,)),
        (FETCH, cut_then_refuse, (1, 2)),
        (FETCH, fail_first, (2,)),
        (STREAM, cut_first, (2,)),
        (STREAM, refuse_first, (1,)),
        (STREAM, cut_then_refuse, (1, 2)),
    )
    @run
    async def test_each_run_is_charged_once(self, request, fault, runs):
        path, model, cost = request
        async with Deployment(engines=ENGINES, pages=("p1", "p2")) as found:
            await self._prepare(found)
            for runner in (*found.pages.values(), *found.engines.values()):
                fault(runner)
            await found.send(path, "a1", model, authorization=KEY)
            await self._check(found, cost, runs)

    @params((False, (2,)), (True, (1,)))
    @run
    async def test_a_replacement_of_a_silent_send_is_charged(self, refused, runs):
        path, model, cost = FETCH
        async with Deployment(engines=ENGINES, pages=("p1", "p2")) as found:
            await self._prepare(found)
            for runner in found.pages.values():
                runner.delay_seconds = 1.6
            sent = asyncio.ensure_future(found.send(path, "a1", model, authorization=KEY))
            await found.until(lambda: any(page.executed for page in found.pages.values()))
            [other] = [page for page in found.pages.values() if not page.executed]
            other.delay_seconds, other.script = 0.0, ["refuse"] * 50 * refused
            status, _, _ = await sent
            self.assertEqual(200, status)
            await self._check(found, cost, runs)

    @params(("both are refused", 50), ("the first is refused late", 1))
    @run
    async def test_what_did_not_run_beside_a_silent_send_is_not_charged(self, name, count):
        """Guards against refunds of more than was charged, which let a workspace run too much."""
        path, model, cost = FETCH
        async with Deployment(engines=ENGINES, pages=("p1", "p2")) as found:
            await self._prepare(found)
            for page in found.pages.values():
                page.script = ["refuse"] * count
                asyncio.ensure_future(page.freeze(FROZEN_SECONDS))
            sent = asyncio.ensure_future(found.send(path, "a1", model, authorization=KEY))
            await found.until(lambda: any(page.requests for page in found.pages.values()))
            if count == 1:
                [other] = [page for page in found.pages.values() if not page.requests]
                host = found.hosts[0]
                # The second send gets no endpoint.
                host.fleet.states[other.name].backoff_until = host.ctx.clock.monotonic() + 9.0
            await sent
            await self._check(found, cost, (0,))

    @params((FETCH, cut_first, (2,)), (FETCH, refuse_first, (1,)), (STREAM, cut_first, (2, 3)))
    @run
    async def test_repeats_of_a_forwarded_request_are_charged(self, request, fault, runs):
        path, model, cost = request
        async with Deployment(hosts=3, engines=ENGINES, pages=("p1", "p2"), gated=True) as found:
            await cut_off(found)
            await self._prepare(found)
            for runner in (*found.pages.values(), *found.engines.values()):
                runner.executed.clear()
                fault(runner)
            await found.send(path, "a1", model, authorization=KEY)
            await self._check(found, cost, runs)


class OwedUnitsTest(unittest.TestCase):
    @run
    async def test_a_repeat_is_charged_once_the_hub_is_linked(self):
        """Guards against repeats that are charged to nobody while no host counts."""
        async with Deployment() as found:
            [host] = found.hosts
            await configure(found, 2, [RIVER | TOKENS, HILL])
            await found.until(lambda: host.quotas.server.levels()["river"] > 9_000)
            grantor, host.shares.grantor = host.shares.grantor, lambda: "another"
            host.quotas.stocks.clear_debt("river")
            charged = SimpleNamespace(
                identity=SimpleNamespace(workspace=SimpleNamespace(name="river")),
                head=SimpleNamespace(tokens=500),
            )
            host.quotas.charge_repeat(charged)
            self.assertEqual({"river": 500.0}, host.quotas.stocks.debts())
            host.shares.grantor = grantor
            await found.until(lambda: not host.quotas.stocks.debts())
