"""The planner role: one host at a time computes a plan from manifest, ledgers and demand.

The planner sends no orders. A second planner or a stale plan can cost a needless move, but the
ledgers protect memory and last copies whatever the plan contains.
"""

from collections.abc import Mapping

import msgspec

from peridotdock.clients.platform import Platform, Row, Transaction, commit_and_resolve
from peridotdock.context import Context
from peridotdock.drafts import Copy, EngineView, Move, Plan
from peridotdock.errors import failed
from peridotdock.leases import HostLease, LeaseTable
from peridotdock.ledger import read_ledger
from peridotdock.manifest import Accepted
from peridotdock.placement import make_plan

PLAN_KEY = "plan/head"
# An engine that is down for this long counts as lost, and its items are loaded elsewhere.
ENGINE_LOST_SECONDS = 4.0


class Planner:
    """Writes plans while this host holds the planner role."""

    def __init__(self, ctx: Context, platform: Platform, lease: HostLease, lease_table: LeaseTable):
        self._ctx = ctx
        self._platform = platform
        self._lease = lease
        self._lease_table = lease_table
        self._row: Row | None = None
        self._down_since: dict[str, float] = {}
        self.plan = Plan(())
        self.generation = 0

    def read_row(self, row: Row | None) -> None:
        """Apply the plan's row as read from the platform; None if there is none."""
        self._row = row
        if row is None:
            return
        self.generation = row.value["generation"]
        self.plan = msgspec.convert(row.value["plan"], Plan)

    @property
    def holder(self) -> str:
        """Return the incarnation that holds the role, or an empty string if none is known."""
        return self._row.value["planner"] if self._row else ""

    async def update_plan(
        self,
        accepted: Accepted,
        ledgers: Mapping[str, Row],
        down: set[str],
        demand: Mapping[str, float],
        chosen: bool,
    ) -> None:
        """Write a new plan if this host holds the role, or may take it over.

        ``chosen`` tells whether rendezvous hashing assigns the role to this host, ``down`` names
        the engines that are down or draining, and ``demand`` is the request rate by item key.
        """
        if not self._lease.valid(0.2):
            return
        checks = {PLAN_KEY: self._row.version if self._row else 0}
        if self.holder != self._ctx.incarnation:
            if not chosen:
                return
            lapsed = self._lease_table.prove_lapsed(self.holder) if self.holder else {}
            if lapsed is None:
                return
            checks |= lapsed
        engines = self._engine_views(accepted, ledgers, down)
        plan = make_plan(accepted, engines, demand, self._ctx.decision_enabled("planner_copies"))
        if plan == self.plan and self.holder == self._ctx.incarnation:
            return
        await self._write(plan, checks, accepted.generation)

    async def _write(self, plan: Plan, checks: dict[str, int], manifest: int) -> None:
        value = {
            "planner": self._ctx.incarnation,
            "generation": self.generation + 1,
            "manifest": manifest,
            "plan": msgspec.to_builtins(plan),
        }
        outcome = await commit_and_resolve(self._platform, Transaction(checks, {PLAN_KEY: value}))
        if failed(outcome):
            return
        self.read_row(Row(value, outcome.version))
        for move in plan.moves:
            self._ctx.timeline.add(
                "planned",
                endpoint=move.endpoint,
                item=move.item,
                detail=f"{move.action}: {move.reason}",
            )

    def _engine_views(
        self, accepted: Accepted, ledgers: Mapping[str, Row], down: set[str]
    ) -> list[EngineView]:
        """Return the engines' current state.

        One that is down for less than ``ENGINE_LOST_SECONDS`` counts as alive, since reloading its
        items elsewhere would cost needless moves.
        """
        now = self._ctx.clock.monotonic()
        self._down_since = {name: self._down_since.get(name, now) for name in down}
        views = []
        for name, row in accepted.engines.items():
            found = ledgers.get(name)
            copies = read_ledger(found.value).reservations if found else ()
            away = now - self._down_since.get(name, now)
            views.append(
                EngineView(
                    name=name,
                    domain=row.domain,
                    capacity=tuple(accelerator.bytes for accelerator in row.accelerators),
                    alive=away < ENGINE_LOST_SECONDS,
                    copies=tuple(Copy(c.item, c.state, c.bytes, c.places) for c in copies),
                )
            )
        return views

    def moves_by_endpoint(self) -> dict[str, list[Move]]:
        """Return the moves of the newest plan, grouped by endpoint."""
        found: dict[str, list[Move]] = {}
        for move in self.plan.moves:
            found.setdefault(move.endpoint, []).append(move)
        return found
