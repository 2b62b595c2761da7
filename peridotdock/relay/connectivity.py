"""Watches whether this host reaches endpoints at all, by connections that it opens to some."""

import asyncio
from collections.abc import Callable

from peridotdock.clients.http import can_connect
from peridotdock.context import Context
from peridotdock.decisions.connectivity import PROBE_INTERVAL_SECONDS, Connectivity, LinkState
from peridotdock.decisions.overload import CONNECT_SECONDS
from peridotdock.relay.fleet import RelayFleet

# Seconds between two steps while nothing is suspected.
IDLE_INTERVAL_SECONDS = 30.0
EVENTS = {
    LinkState.CONNECTED: "endpoints_reached",
    LinkState.SUSPECTED: "endpoint_links_suspected",
    LinkState.PARTITIONED: "endpoints_unreachable",
}


class ConnectivityMonitor:
    """Confirms or refutes the suspicion that this host has lost its links to all endpoints."""

    def __init__(self, ctx: Context, fleet: RelayFleet):
        self._ctx = ctx
        self._fleet = fleet
        self.links = Connectivity()
        self.due = asyncio.Event()
        self.on_change: Callable[[LinkState], None] = lambda before: None
        ctx.metrics.endpoints_unreachable.set_function(lambda: float(self.links.partitioned))

    def record_lost(self, key: str) -> None:
        """Record that a connection to an endpoint was refused, lost or silent."""
        before = self.links.state
        now = self._ctx.clock.monotonic()
        if self.links.record_failure(key, len(self._fleet.states), now):
            self._report(before, f"after a failure at {key}")
            self.due.set()

    def record_silence(self, key: str) -> None:
        """Record that an endpoint is silent on an open connection."""
        self.links.record_silence(key, self._ctx.clock.monotonic())

    def record_answer(self, key: str) -> None:
        """Record that an endpoint has answered on an open connection."""
        self.links.record_answer(key, self._ctx.clock.monotonic())

    def interval(self) -> float:
        """Return the seconds until the next step."""
        return PROBE_INTERVAL_SECONDS if self.links.doubtful else IDLE_INTERVAL_SECONDS

    async def step(self) -> None:
        """While the links are in doubt, try to connect to some endpoints."""
        if not self.links.doubtful:
            return
        keys = self.links.choose_probes(sorted(self._fleet.states), self._ctx.rng)
        addresses = [self._fleet.states[key].entry.address for key in keys]
        found = await asyncio.gather(*(can_connect(row, CONNECT_SECONDS) for row in addresses))
        before = self.links.state
        if self.links.record_probes(any(found), self._ctx.clock.monotonic()):
            reached = [key for key, ok in zip(keys, found, strict=True) if ok]
            self._report(before, f"tried {' '.join(keys)}, reached {' '.join(reached) or 'none'}")

    def _report(self, before: LinkState, detail: str) -> None:
        state = self.links.state
        level = "WARNING" if state is LinkState.PARTITIONED else "INFO"
        self._ctx.timeline.add(EVENTS[state], level, detail=detail)
        self.on_change(before)
