"""Permits of the hub for requests to endpoints that announced a rate limit.

A host that gets no reply from the hub sends nothing to an endpoint with a limit.
"""

from peridotdock.context import Context
from peridotdock.decisions.permits import (
    MAX_ADVANCE_SECONDS,
    NO_WAIT,
    Permit,
    Permits,
    permit_interval,
)
from peridotdock.hub_calls import HubCalls
from peridotdock.loop_iterations import LoopIterations
from peridotdock.relay.caller import CallerConnection
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.peers import Peers
from peridotdock.schema.messages import PermitGiven, PermitWanted

# Seconds without requests to an endpoint after the hub did not reply to a call for its permit.
SILENT_HUB_BACKOFF_SECONDS = 0.25
# Minimum seconds until a host requests a permit again after a denial.
MIN_DENIED_WAIT_SECONDS = 0.01


class EndpointPermits:
    """Requests and issues permits on one host, which may itself be the hub."""

    def __init__(
        self, ctx: Context, host: str, peers: Peers, fleet: RelayFleet, iterations: LoopIterations
    ):
        self._ctx = ctx
        self._host = host
        self._peers = peers
        self._fleet = fleet
        self._hub_calls: HubCalls[PermitGiven] = HubCalls(iterations)
        self._permits = Permits()

    def refresh(self) -> None:
        """Drop endpoints without a limit; as the hub, start counting for those with one."""
        states = self._fleet.states.values()
        self._permits.prune({state.start for state in states if state.limited})
        if self._peers.is_hub():
            for state in states:
                self.wait_and_gap(state)

    # On every host

    async def request_permit(
        self, state: EndpointState, max_wait: float = 0.0, caller: CallerConnection | None = None
    ) -> Permit:
        """Request a permit for one request, which can wait for ``max_wait`` seconds.

        It is denied while the endpoint wants this host to back off.
        """
        now = self._ctx.clock.monotonic()
        if state.backoff_until > now:
            return Permit(False, state.backoff_until - now)
        if not state.limited:
            return NO_WAIT
        if state.next_permit_at > now + min(max_wait, MAX_ADVANCE_SECONDS):
            return Permit(False, state.next_permit_at - now)
        hub = self._peers.hub()
        permit = (
            self.issue(state, max_wait)
            if hub == self._host
            else await self._call_hub(hub, state, max_wait, caller)
        )
        if not permit.given:
            state.next_permit_at = self._ctx.clock.monotonic() + max(
                MIN_DENIED_WAIT_SECONDS, permit.wait
            )
        return permit

    async def request_by_key(self, key: str) -> Permit:
        """Request a permit for one immediate call to the endpoint with this id."""
        state = self._fleet.states.get(key)
        return NO_WAIT if state is None else await self.request_permit(state)

    async def _call_hub(
        self, hub: str, state: EndpointState, max_wait: float, caller: CallerConnection | None
    ) -> Permit:
        def send(number: int) -> bool:
            frame = PermitWanted("permit_wanted", number, state.key, int(1000 * max_wait))
            return self._peers.mesh.send_to(hub, frame)

        reply = await self._hub_calls.call(send, caller)
        if reply is not None:
            return Permit(reply.given, reply.wait / 1000)
        self._ctx.timeline.add(
            "hub_silent", "WARNING", endpoint=state.key, detail=f"{hub}, on a permit"
        )
        return Permit(False, SILENT_HUB_BACKOFF_SECONDS)

    # On the hub

    def on_frame(self, host: str, frame: PermitWanted | PermitGiven) -> None:
        """Handle a frame of another host."""
        if isinstance(frame, PermitGiven):
            self._hub_calls.on_reply(frame.number, frame)
            return
        state = self._fleet.states.get(frame.endpoint)
        if state is None or not self._peers.is_hub():
            permit = Permit(False, SILENT_HUB_BACKOFF_SECONDS)
        else:
            permit = self.issue(state, frame.stays / 1000)
        wait = round(1000 * permit.wait)
        answer = PermitGiven("permit_given", frame.number, permit.given, wait)
        self._peers.mesh.send_to(host, answer)

    def issue(self, state: EndpointState, max_wait: float) -> Permit:
        """Issue a permit as the hub, or deny it."""
        if not state.limited:
            return NO_WAIT
        now = self._ctx.clock.monotonic()
        return self._permits.take(state.start, self._hub_share(state), max_wait, now)

    def spend(self, state: EndpointState) -> None:
        """Count a prompt that this host granted as the hub."""
        if state.limited:
            now = self._ctx.clock.monotonic()
            self._permits.spend(state.start, self._hub_share(state), now)

    def wait_and_gap(self, state: EndpointState) -> tuple[float, float]:
        """Return the seconds until the next permit and between permits, 0 without a limit."""
        if not state.limited:
            return 0.0, 0.0
        share = self._hub_share(state)
        wait = self._permits.wait(state.start, share, self._ctx.clock.monotonic())
        return wait, permit_interval(share)

    def _hub_share(self, state: EndpointState) -> float:
        """Return the requests per second of the limit that this hub may issue."""
        return state.limit.rate * self._peers.hub_share()
