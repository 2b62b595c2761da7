"""Finds out whether an endpoint still runs the start that its entry names.

An entry is a claim of some time ago. An endpoint that has crashed starts again under its id and
address, perhaps at another version of its software, and serves before its entry says so. A
connection leads to one start only, so one report is enough for all streams on it. A report that is
late tells nothing: streams go on as the entry says.
"""

import asyncio
from dataclasses import dataclass
from enum import StrEnum

from peridotdock.blocklist import EndpointStart
from peridotdock.clients.endpoint import shows_end
from peridotdock.clients.engines import Engines
from peridotdock.context import Context
from peridotdock.errors import failed
from peridotdock.relay.endpoint import EndpointState

# Seconds to wait for a report, and after its request those in which a stream may be sent on.
REPORT_SECONDS = 0.4
CHECKED_SECONDS = 0.5
# Seconds after which an engine that has sent nothing may be silent.
HEARD_SECONDS = 0.25


class Running(StrEnum):
    """Which start of an endpoint runs."""

    NAMED = "named"
    ANOTHER = "another"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StartCheck:
    """Which start ran at a time or later (monotonic seconds)."""

    running: Running
    asked_at: float


class EndpointStarts:
    """Asks endpoints for the start that runs, on one host."""

    def __init__(self, ctx: Context, engines: Engines):
        self._ctx = ctx
        self._engines = engines
        # Reports that are being read, and when they were asked for.
        self._reading: dict[EndpointStart, tuple[asyncio.Task[Running], float]] = {}

    async def find_running(self, state: EndpointState, after: float | None = None) -> StartCheck:
        """Return whether the start in an engine's entry runs; an engine may not tell its start.

        ``after`` is the time after which it must be asked, None if a report that is being read will
        do.
        """
        now = self._ctx.clock.monotonic()
        if state.superseded:
            return StartCheck(Running.ANOTHER, now)
        if not state.entry.started_ms:
            return StartCheck(Running.NAMED, now)
        task, asked_at = self._ask(state, now, after)
        await asyncio.wait({task}, timeout=REPORT_SECONDS)
        return StartCheck(task.result() if task.done() else Running.UNKNOWN, asked_at)

    async def is_answering(self, state: EndpointState) -> bool:
        """Return whether an engine sends something now: it has lately, or answers with a report."""
        now = self._ctx.clock.monotonic()
        if state.heard_at >= now - HEARD_SECONDS:
            return True
        task, _ = self._ask(state, now)
        await asyncio.wait({task}, timeout=REPORT_SECONDS)
        return state.heard_at >= now

    def _ask(
        self, state: EndpointState, now: float, after: float | None = None
    ) -> tuple[asyncio.Task[Running], float]:
        """Return the report that is being read, and when it was asked for; ask if needed."""
        reading = self._reading.get(state.start)
        if reading is None or (after is not None and reading[1] < after):
            reading = asyncio.ensure_future(self._read(state)), now
            self._reading[state.start] = reading
            reading[0].add_done_callback(lambda task: self._forget(state.start, task))
        return reading

    def _forget(self, start: EndpointStart, task: asyncio.Task[Running]) -> None:
        reading = self._reading.get(start)
        if reading is not None and reading[0] is task:
            del self._reading[start]

    async def _read(self, state: EndpointState) -> Running:
        named = state.entry.started_ms
        found = await self._engines.report(state.entry)
        if failed(found) and shows_end(found):
            # A kept connection of the start before has ended: a new one leads to what runs.
            found = await self._engines.report(state.entry)
        if not failed(found):
            state.heard_at = self._ctx.clock.monotonic()
        if failed(found) or 0 < found.started_ms < named:
            # A report may be some hundred milliseconds old, and of the start before.
            return Running.UNKNOWN
        if found.started_ms <= named:
            return Running.NAMED
        if not state.superseded:
            detail = f"born {found.started_ms}, its entry says {named}"
            self._ctx.timeline.add("endpoint_restarted", endpoint=state.key, detail=detail)
        state.seen_start = max(state.seen_start, found.started_ms)
        return Running.ANOTHER

    async def find_answering(self, state: EndpointState, connection: object) -> StartCheck:
        """Return whether the start in an engine's entry is at the other end of a connection."""
        now = self._ctx.clock.monotonic()
        if connection in state.checked_connections:
            return StartCheck(Running.NAMED, now)
        found = await self.find_running(state, after=now)
        if found.running is Running.NAMED:
            state.checked_connections.add(connection)
        return found

    async def has_ended(self, state: EndpointState) -> bool:
        """Return whether another start of an engine than the one in its entry is known to run."""
        found = await self.find_running(state, after=self._ctx.clock.monotonic())
        return found.running is Running.ANOTHER
