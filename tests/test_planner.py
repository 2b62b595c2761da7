"""The planner role: one host writes, another takes over, and a paused one changes nothing."""

import unittest

from peridotdock.clients.platform import Row
from peridotdock.errors import failed
from peridotdock.ledger import Ledger
from peridotdock.planner import ENGINE_LOST_SECONDS, PLAN_KEY, Planner
from tests import builders
from tests.fakes import FakeClock, FakeLease, FakeLeaseTable, FakePlatform


class PlannerRole(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.platform = FakePlatform()
        self.lease_table = FakeLeaseTable()
        self.accepted = builders.accepted(
            engines=[builders.engine("e0"), builders.engine("e1")],
            models=[builders.model("m0"), builders.model("m1")],
        )
        self.ledgers = {name: Row(Ledger(name).to_value(), 1) for name in self.accepted.engines}
        self.first, self.second = (self.make(name) for name in ("h0", "h1"))

    def make(self, name):
        ctx = builders.make_ctx(self.clock, name)
        return Planner(ctx, self.platform, FakeLease(), self.lease_table)

    async def update_plan(self, planner, chosen=True, down=(), read=True):
        if read:
            rows = await self.platform.read([PLAN_KEY])
            planner.read_row(None if failed(rows) else rows.get(PLAN_KEY))
        await planner.update_plan(self.accepted, self.ledgers, set(down), {}, chosen)

    def holder(self):
        return self.platform.rows[PLAN_KEY].value["planner"]

    async def test_of_two_that_start_at_once_one_has_the_role(self):
        for planner in (self.first, self.second):
            planner.read_row(None)
        for planner in (self.first, self.second):
            await self.update_plan(planner, read=False)
        self.assertEqual(self.holder(), self.first._ctx.incarnation)
        self.assertEqual(self.platform.rows[PLAN_KEY].value["generation"], 1)

    async def test_another_takes_over_only_after_the_lease_has_lapsed(self):
        await self.update_plan(self.first)
        await self.update_plan(self.second)
        self.assertEqual(self.holder(), self.first._ctx.incarnation)
        self.lease_table.lapsed.add(self.first._ctx.incarnation)
        await self.update_plan(self.second)
        self.assertEqual(self.holder(), self.second._ctx.incarnation)

    async def test_a_paused_planner_that_resumes_writes_nothing(self):
        """
        The planner is paused, its lease lapses, another takes over. The first resumes with a plan
        made from old data and still considers its lease valid. Its write must fail.
        """
        await self.update_plan(self.first)
        self.lease_table.lapsed.add(self.first._ctx.incarnation)
        await self.update_plan(self.second)
        self.ledgers = {}
        self.clock.advance(100)
        await self.update_plan(self.first, read=False)
        self.assertEqual(self.holder(), self.second._ctx.incarnation)

    async def test_an_engine_briefly_down_is_not_lost(self):
        """Reloading all items of an engine after a short outage would cost needless moves."""
        await self.update_plan(self.first)
        before = self.first.plan
        await self.update_plan(self.first, down=["e0"])
        self.clock.advance(ENGINE_LOST_SECONDS / 2)
        await self.update_plan(self.first, down=["e0"])
        self.assertEqual(self.first.plan, before)
        self.clock.advance(ENGINE_LOST_SECONDS)
        await self.update_plan(self.first, down=["e0"])
        self.assertEqual({move.endpoint for move in self.first.plan.moves}, {"e1"})

    async def test_no_plan_without_the_platform(self):
        self.platform.down = True
        await self.update_plan(self.first)
        self.assertNotIn(PLAN_KEY, self.platform.rows)
