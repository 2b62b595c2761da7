"""Finds out whether an endpoint still runs the start that its entry names.

An entry is a claim of some time ago. An endpoint that has crashed starts again under its id and
address, perhaps at another version of its software, and serves before its entry says so. A
connection leads to one start only, so one report is enough for all streams on it.
"""

from enum import StrEnum

from peridotdock.clients.engines import Engines
from peridotdock.context import Context
from peridotdock.errors import failed
from peridotdock.relay.endpoint import EndpointState

# Seconds after a report in which a request must be sent: an endpoint takes longer to start again.
CHECKED_SECONDS = 0.25


class Running(StrEnum):
    """Which start of an endpoint runs."""

    NAMED = "named"
    ANOTHER = "another"
    UNKNOWN = "unknown"


class EndpointStarts:
    """Asks endpoints for the start that runs, on one host."""

    def __init__(self, ctx: Context, engines: Engines):
        self._ctx = ctx
        self._engines = engines

    async def find_running(self, state: EndpointState) -> Running:
        """Return whether the start in an engine's entry runs; an engine may not tell its start."""
        if state.superseded:
            return Running.ANOTHER
        named = state.entry.started_ms
        if not named:
            return Running.NAMED
        found = await self._engines.report(state.entry)
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

    async def find_answering(self, state: EndpointState, connection: object) -> Running:
        """Return whether the start in an engine's entry is at the other end of a connection."""
        if connection in state.checked_connections:
            return Running.NAMED
        found = await self.find_running(state)
        if found is Running.NAMED:
            state.checked_connections.add(connection)
        return found
