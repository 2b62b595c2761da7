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
from peridotdock.decisions.places import Places, retry_seconds
from peridotdock.hub_calls import HubCalls
from peridotdock.loop_iterations import LoopIterations
from peridotdock.relay.caller import Caller
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.peers import Peers
from peridotdock.schema.messages import PermitGiven, PermitWanted, PlaceReturned

# Seconds without requests to an endpoint after the hub did not reply to a call for its permit.
SILENT_HUB_BACKOFF_SECONDS = 0.25
# Minimum seconds until a host requests a permit again after a denial.
MIN_DENIED_WAIT_SECONDS = 0.01
# Seconds for which a new hub gives no places: not all hosts have reported their requests yet.
NEW_HUB_SECONDS = 0.5


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
        self._places = Places()
        self._hub_since: float | None = None
        fleet.on_place_left = self.give_back

    def refresh(self) -> None:
        """Drop endpoints without a limit; as the hub, start counting for those with one."""
        states = self._fleet.states.values()
        self._permits.prune({state.start for state in states if state.limited})
        brittle = {state.start for state in states if state.brittle}
        now = self._ctx.clock.monotonic()
        self._places.prune(brittle, self._peers.live_hosts(), now)
        if not self._peers.is_hub():
            self._hub_since = None
        elif self._hub_since is None:
            self._hub_since = now
        if self._peers.is_hub():
            for state in states:
                self.wait_and_gap(state)

    # On every host

    async def request_permit(
        self,
        state: EndpointState,
        max_wait: float = 0.0,
        caller: Caller | None = None,
        needs_slot: bool = True,
    ) -> Permit:
        """Request a permit for one request, which can wait for ``max_wait`` seconds.

        It is denied while the endpoint wants this host to back off.
        """
        now = self._ctx.clock.monotonic()
        if state.backoff_until > now:
            return Permit(False, state.backoff_until - now)
        if not (state.limited or (needs_slot and state.brittle)):
            return NO_WAIT
        if state.next_permit_at > now + min(max_wait, MAX_ADVANCE_SECONDS):
            return Permit(False, state.next_permit_at - now)
        hub = self._peers.hub()
        permit = (
            self.issue(state, max_wait, self._host)
            if hub == self._host
            else await self._call_hub(hub, state, max_wait, caller)
        )
        if not permit.given:
            state.next_permit_at = self._ctx.clock.monotonic() + max(
                MIN_DENIED_WAIT_SECONDS, permit.wait
            )
        return permit

    async def request_by_key(self, key: str) -> Permit:
        """Request a permit for one immediate call to the endpoint with this id.

        Such calls need no slot: where a place came with the permit, it is given back at once.
        """
        state = self._fleet.states.get(key)
        if state is None:
            return NO_WAIT
        permit = await self.request_permit(state, needs_slot=False)
        if permit.given and state.limited and state.brittle:
            self.give_back(state)
        return permit

    def give_back_unused(self, key: str) -> None:
        """Give back the place that came with a grant for the endpoint with this id, if any."""
        state = self._fleet.states.get(key)
        if state is not None and state.brittle:
            self.give_back(state)

    def give_back(self, state: EndpointState) -> None:
        """Tell the hub that a request which had a place has ended or was not sent."""
        hub = self._peers.hub()
        if hub == self._host:
            self._places.give_back(state.start, self._host)
        else:
            self._peers.mesh.send_to(hub, PlaceReturned("place_returned", state.key))

    async def _call_hub(
        self, hub: str, state: EndpointState, max_wait: float, caller: Caller | None
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

    def on_frame(self, host: str, frame: PermitWanted | PermitGiven | PlaceReturned) -> None:
        """Handle a frame of another host."""
        if isinstance(frame, PermitGiven):
            self._hub_calls.on_reply(frame.number, frame)
            return
        state = self._fleet.states.get(frame.endpoint)
        if isinstance(frame, PlaceReturned):
            if state is not None:
                self._places.give_back(state.start, host)
            return
        if state is None or not self._peers.is_hub():
            permit = Permit(False, SILENT_HUB_BACKOFF_SECONDS)
        else:
            permit = self.issue(state, frame.stays / 1000, host)
        wait = round(1000 * permit.wait)
        answer = PermitGiven("permit_given", frame.number, permit.given, wait)
        self._peers.mesh.send_to(host, answer)

    def issue(self, state: EndpointState, max_wait: float, host: str) -> Permit:
        """Issue a permit to a host as the hub, or deny it."""
        now = self._ctx.clock.monotonic()
        if state.brittle and not self._has_place(state, now):
            seconds = self._fleet.estimate_work(state.entry.service, None).service_seconds
            wait = retry_seconds(seconds, state.entry.slots, self._ctx.rng.random)
            return Permit(False, wait)
        permit = NO_WAIT
        if state.limited:
            permit = self._permits.take(state.start, self._hub_share(state), max_wait, now)
        if permit.given and state.brittle:
            self._places.add(state.start, host, now)
        return permit

    def _has_place(self, state: EndpointState, now: float) -> bool:
        """Return whether a brittle endpoint has a free slot, as far as the hub knows."""
        if self._hub_since is None or now < self._hub_since + NEW_HUB_SECONDS:
            return False
        slots = int(state.entry.slots * self._peers.hub_share())
        return self._places.is_free(state.start, slots, state.load(now)[0])

    def spend(self, state: EndpointState, host: str) -> None:
        """Count a prompt that this host granted to another as the hub."""
        now = self._ctx.clock.monotonic()
        if state.limited:
            self._permits.spend(state.start, self._hub_share(state), now)
        if state.brittle:
            self._places.add(state.start, host, now)

    def running(self, state: EndpointState) -> int:
        """Return the requests at an endpoint, as far as this host knows as the hub."""
        reported = state.load(self._ctx.clock.monotonic())[0]
        return max(reported, self._places.taken(state.start)) if state.brittle else reported

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
