"""The watcher's role: for each endpoint one host reads its reports and tells the others.

Rendezvous hashing over the live hosts says which; two for a moment is harmless. Every host
reading every endpoint would be hosts times endpoints; this is one read an endpoint and period.
"""

import asyncio
from dataclasses import dataclass

from peridotdock.clients.endpoint import HttpEndpoints, Report
from peridotdock.columns import pack
from peridotdock.context import Context
from peridotdock.errors import failed
from peridotdock.fact_table import FactTable
from peridotdock.fleet import AGE_UNIT_SECONDS, PREFILL_UNIT_TOKENS, Fleet
from peridotdock.manifest import Accepted
from peridotdock.rendezvous import Assignment
from peridotdock.schema.manifest import Endpoint
from peridotdock.schema.messages import HeldFact, LoadFact

FAILURES_UNTIL_DOWN = 2


@dataclass
class WatchedEndpoint:
    """What the watcher remembers of one endpoint."""

    report: Report | None = None
    read_at: float = 0.0
    failures: int = 0
    last_event: int = 0


class Watcher:
    """Reads the reports of the endpoints that are this host's to watch."""

    def __init__(self, ctx: Context, facts: FactTable, endpoints: HttpEndpoints, fleet: Fleet):
        self._ctx = ctx
        self._facts = facts
        self._endpoints = endpoints
        self._fleet = fleet
        self._watched: dict[str, WatchedEndpoint] = {}
        self._assignment = Assignment(ctx.cfg.host_id)
        self.listed_leaving: set[str] = set()

    async def read_all(self, accepted: Accepted, live: list[str]) -> None:
        """Read all endpoints that are ours, then publish."""
        own = self._assignment.own_keys(accepted.engines, live)
        self._watched = {name: seen for name, seen in self._watched.items() if name in own}
        await asyncio.gather(*(self._read(accepted.engines[name]) for name in own))
        self._publish()

    async def _read(self, endpoint: Endpoint) -> None:
        seen = self._watched.setdefault(endpoint.id, WatchedEndpoint())
        report = await self._endpoints.report(endpoint.url, seen.last_event)
        if failed(report):
            seen.failures += 1
            return
        if seen.report is not None and seen.report.boot != report.boot:
            seen.last_event = 0
        self._apply_events(endpoint.id, seen, report)
        seen.report = report
        seen.read_at = self._ctx.clock.monotonic()
        seen.failures = 0

    def _apply_events(self, name: str, seen: WatchedEndpoint, report: Report) -> None:
        """Follow the engine's cache. After a gap, what it might have dropped is not trusted."""
        state = self._fleet.states.get(name)
        if state is None:
            return
        for sequence, what, block in report.events:
            if seen.last_event and sequence > seen.last_event + 1:
                state.trust *= 0.7
            seen.last_event = sequence
            if what == "add":
                state.add_cached_blocks((block,), self._ctx.clock.monotonic())
            else:
                state.drop_cached_block(block)

    def _publish(self) -> None:
        now = self._ctx.clock.monotonic()
        ready = {
            n: s for n, s in self._watched.items() if s.report and s.failures < FAILURES_UNTIL_DOWN
        }
        down = [n for n, s in self._watched.items() if s.failures >= FAILURES_UNTIL_DOWN]
        leaving = {n for n, s in ready.items() if s.report.leaving} | self.listed_leaving
        held = {
            name: sorted(key for key, item in seen.report.items.items() if item.ready)
            for name, seen in ready.items()
        }
        boots = {name: seen.report.boot for name, seen in ready.items()}
        fact = HeldFact(held=held, down=sorted(down), leaving=sorted(leaving), boots=boots)
        known = self._facts.get(self._ctx.cfg.host_id, "held")
        if known is None or known.fact != fact:
            self._facts.publish("held", fact)
        if ready:
            self._facts.publish("load", self._pack(ready, now))

    def _pack(self, ready: dict[str, WatchedEndpoint], now: float) -> LoadFact:
        names = sorted(ready)
        loads = [ready[name].report.load for name in names]
        ages = [now - ready[name].read_at + ready[name].report.age for name in names]
        return LoadFact(
            endpoints=names,
            running=pack("H", (load.running for load in loads)),
            waiting=pack("H", (load.waiting for load in loads)),
            prefill=pack("H", (load.prefill / PREFILL_UNIT_TOKENS for load in loads)),
            age=pack("H", (age / AGE_UNIT_SECONDS for age in ages)),
            batch_limit=pack("H", (load.batch_limit for load in loads)),
            prefill_rate=pack("I", (load.prefill_rate for load in loads)),
            step_us=pack("I", (load.step_us for load in loads)),
        )
