"""Permits for requests to endpoints that have named a limit: asking the hub, and its part.

A host that gets no word from the hub sends nothing to such an endpoint.
"""

from peridotdock.context import Context
from peridotdock.decisions.permits import NO_WAIT, PROMISE_SECONDS, Permit, Permits, permit_gap
from peridotdock.relay.caller import CallerEnd
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.peers import Peers
from peridotdock.relay.questions import Questions
from peridotdock.schema.messages import PermitGiven, PermitWanted
from peridotdock.turns import Turns

# Seconds for which an endpoint is left alone that the hub gave no word on.
REST_SECONDS = 0.25
# Least time, in seconds, until a host asks again for an endpoint on which it was denied a permit.
LEAST_WAIT = 0.01


class EndpointPermits:
    """Permits on one host, which may be the hub."""

    def __init__(self, ctx: Context, host: str, peers: Peers, fleet: RelayFleet, turns: Turns):
        self._ctx = ctx
        self._host = host
        self._peers = peers
        self._fleet = fleet
        self._questions: Questions[PermitGiven] = Questions(turns)
        self._permits = Permits()

    def look(self) -> None:
        """Forget endpoints without a limit; as the hub, begin to count for those that have one."""
        states = self._fleet.states.values()
        self._permits.forget({state.start for state in states if state.limited})
        if self._peers.is_hub():
            for state in states:
                self.waits(state)

    # A host's part

    async def ask(
        self, state: EndpointState, stays: float = 0.0, caller: CallerEnd | None = None
    ) -> Permit:
        """Ask for a permit for one request, which can wait for so many seconds.

        There is none for an endpoint that wants a rest from this host.
        """
        now = self._ctx.clock.monotonic()
        if state.backoff_until > now:
            return Permit(False, state.backoff_until - now)
        if not state.limited:
            return NO_WAIT
        if state.next_permit_at > now + min(stays, PROMISE_SECONDS):
            return Permit(False, state.next_permit_at - now)
        hub = self._peers.hub()
        permit = (
            self.take_here(state, stays)
            if hub == self._host
            else await self._ask_hub(hub, state, stays, caller)
        )
        if not permit.given:
            state.next_permit_at = self._ctx.clock.monotonic() + max(LEAST_WAIT, permit.wait)
        return permit

    async def ask_for(self, key: str) -> Permit:
        """Ask for a permit for one call now to the endpoint of an id."""
        state = self._fleet.states.get(key)
        return NO_WAIT if state is None else await self.ask(state)

    async def _ask_hub(
        self, hub: str, state: EndpointState, stays: float, caller: CallerEnd | None
    ) -> Permit:
        def send(number: int) -> bool:
            frame = PermitWanted("permit_wanted", number, state.key, int(1000 * stays))
            return self._peers.mesh.send_to(hub, frame)

        word = await self._questions.ask(send, caller)
        if word is not None:
            return Permit(word.given, word.wait / 1000)
        self._ctx.timeline.add(
            "hub_silent", "WARNING", endpoint=state.key, detail=f"{hub}, on a permit"
        )
        return Permit(False, REST_SECONDS)

    # The hub's part

    def take(self, host: str, frame: PermitWanted | PermitGiven) -> None:
        """Take a frame of another host."""
        if isinstance(frame, PermitGiven):
            self._questions.hear(frame.number, frame)
            return
        state = self._fleet.states.get(frame.endpoint)
        if state is None or not self._peers.is_hub():
            permit = Permit(False, REST_SECONDS)
        else:
            permit = self.take_here(state, frame.stays / 1000)
        wait = round(1000 * permit.wait)
        answer = PermitGiven("permit_given", frame.number, permit.given, wait)
        self._peers.mesh.send_to(host, answer)

    def take_here(self, state: EndpointState, stays: float) -> Permit:
        """Give a permit as the hub, where there is one."""
        if not state.limited:
            return NO_WAIT
        now = self._ctx.clock.monotonic()
        return self._permits.take(state.start, self._part(state), stays, now)

    def spend(self, state: EndpointState) -> None:
        """Count a prompt that is granted as the hub."""
        if state.limited:
            now = self._ctx.clock.monotonic()
            self._permits.spend(state.start, self._part(state), now)

    def waits(self, state: EndpointState) -> tuple[float, float]:
        """Return the seconds until a permit, and between two, as the hub; 0 without a limit."""
        if not state.limited:
            return 0.0, 0.0
        part = self._part(state)
        wait = self._permits.wait(state.start, part, self._ctx.clock.monotonic())
        return wait, permit_gap(part)

    def _part(self, state: EndpointState) -> float:
        """Return the part of a limit that this hub may give."""
        return state.limit.rate * self._peers.hub_share()
