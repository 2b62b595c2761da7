"""Chooses the endpoint for one send of a request."""

from collections.abc import Sequence
from dataclasses import replace

from peridotdock.context import Context
from peridotdock.decisions.admission import check_wait
from peridotdock.decisions.choice import Candidate, Prediction, choose, predict
from peridotdock.decisions.overload import check_send, retry_after
from peridotdock.errors import Failure, Kind, failed
from peridotdock.loop_iterations import find_iterations
from peridotdock.relay.caller import Caller
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.grants import GrantedEndpoint, Grants
from peridotdock.relay.permits import EndpointPermits
from peridotdock.relay.progress import Progress
from peridotdock.relay.requests import RelayRequest
from peridotdock.relay.waits import EndpointWaits
from peridotdock.requests import Loss, RequestState, loss_failure

# Retry-after in seconds when no endpoint has the requested item.
NO_ENDPOINT_RETRY_SECONDS = 0.5


class Chooser:
    """Chooses endpoints on one host, following the hub's grants where prompts are paced."""

    def __init__(
        self,
        ctx: Context,
        fleet: RelayFleet,
        waits: EndpointWaits,
        grants: Grants,
        permits: EndpointPermits,
    ):
        self._ctx = ctx
        self._fleet = fleet
        self._waits = waits
        self._grants = grants
        self._permits = permits
        self._iterations = find_iterations()

    async def choose_endpoint(
        self, req: RelayRequest, caller: Caller, progress: Progress
    ) -> Prediction | Failure:
        """Choose an endpoint; wait for one if none can serve the request yet."""
        refusal = await self._waits.wait_until_usable(req, caller, progress)
        if refusal is not None:
            return refusal
        grant = await self._request_grant(req, caller, progress)
        if failed(grant):
            return grant
        found = None if grant is None else self._use_grant(grant, req, progress)
        if found is None:
            found = await self._choose_locally(req, caller, progress)
        if failed(found):
            return found
        remaining = req.deadline - self._ctx.clock.monotonic()
        reason = check_send(remaining, found.seconds, self._iterations.median_length())
        if reason is not None:
            self.withdraw(found)
            return Failure(Kind.HOST_BEHIND, reason, retry_after(self._ctx.rng.random))
        return found

    def withdraw(self, found: Prediction) -> None:
        """Give back the place and the grant of a request that is not sent after all."""
        self.give_back(found)
        state = self._fleet.states.get(found.candidate.key)
        if found.placed and state is not None:
            self._permits.give_back(state)

    def give_back(self, found: Prediction) -> None:
        """Give the hub's grant back of a request that did not come to its first token."""
        if found.granted:
            self._grants.give_back(found.granted_by, found.granted)

    def _candidates(self, req: RelayRequest, progress: Progress) -> list[Candidate]:
        """Return the endpoints not tried yet, or all of them if none is left.

        An endpoint that cut a stream may still be able to resume it. One that may still work on the
        request is never among them; the others that are silent too are left out if possible.
        """
        states = self._fleet.usable(progress.service, req.head.inference, progress.software)
        return self._fleet.candidates(states, req.head.inference, find_avoided(states, progress))

    async def _request_grant(
        self, req: RelayRequest, caller: Caller, progress: Progress
    ) -> GrantedEndpoint | Failure | None:
        """Request a grant for a prompt from the hub; None if this host chooses itself."""
        candidates = self._candidates(req, progress)
        accepting = [row for row in candidates if not row.backoff]
        if req.head.inference is None or not accepting:
            return None
        avoid = find_suspects(accepting) | {row.key for row in candidates if row.backoff}
        if progress.avoid:
            states = self._fleet.usable(progress.service, req.head.inference, progress.software)
            avoid |= find_avoided(states, progress)
        if progress.software is not None:
            avoid |= self._fleet.other_software(progress.service, progress.software)
        return await self._grants.request_grant(req, progress, frozenset(avoid), caller)

    def _use_grant(
        self, grant: GrantedEndpoint, req: RelayRequest, progress: Progress
    ) -> Prediction | None:
        """Return the granted endpoint, or None if this host knows that it can't serve."""
        inference = req.head.inference
        state = self._fleet.states.get(grant.endpoint)
        if state is None:
            self._grants.give_back(grant.hub, grant.number)
            return None
        now = self._ctx.clock.monotonic()
        usable = state in self._fleet.usable(progress.service, inference, progress.software)
        if not usable or state.backoff_until > now or state.key in progress.working:
            if state.brittle:
                self._permits.give_back(state)
            self._grants.give_back(grant.hub, grant.number)
            return None
        work = self._fleet.estimate_work(progress.service, inference)
        row = self._fleet.hub_candidates([state], inference, frozenset(), "")[0]
        row = replace(row, queued_tokens=grant.ahead / work.seconds_per_token)
        return Prediction(row, predict(row, work), grant.number, state.brittle, grant.hub)

    async def _choose_locally(
        self, req: RelayRequest, caller: Caller, progress: Progress
    ) -> Prediction | Failure:
        """Choose among the endpoints that accept requests now, by this host's own state.

        An endpoint with an announced limit needs a permit.
        """
        while not caller.is_disconnected():
            rows = self._candidates(req, progress)
            accepting = [row for row in rows if not row.available_in]
            if rows and not accepting:
                found = await self._waits.wait_until_accepting(req, caller, progress, rows)
                if found is None:
                    continue
                return found
            found = self._choose_among(accepting, req, progress)
            if failed(found) or not found.candidate.needs_permit:
                return found
            permit = await self._permits.request_permit(
                self._fleet.states[found.candidate.key], caller=caller
            )
            if permit.given:
                return replace(found, placed=found.candidate.brittle)
        return loss_failure(RequestState.ADMITTED, Loss.CALLER_GONE)

    def _choose_among(
        self, candidates: Sequence[Candidate], req: RelayRequest, progress: Progress
    ) -> Prediction | Failure:
        """Choose among ``candidates``; reject the request if it would wait for too long."""
        work = self._fleet.estimate_work(progress.service, req.head.inference)
        found = choose(candidates, work, self._ctx.rng)
        if found is None:
            return Failure(Kind.NO_ENDPOINT, progress.service, NO_ENDPOINT_RETRY_SECONDS)
        deadline = req.next_event_deadline(progress.last_event_at)
        max_wait = deadline - self._ctx.clock.monotonic()
        excessive = check_wait(found, work, max_wait, req.rank)
        if excessive is None or progress.maybe_ran:
            return found
        reason = f"a wait of {excessive.wait:.2f} s, {excessive.allowed:.2f} allowed"
        return Failure(Kind.OVERLOADED, reason, excessive.retry_after(self._ctx.rng.random))


def find_avoided(states: Sequence[EndpointState], progress: Progress) -> frozenset[str]:
    """Return the endpoints not to be chosen for the next send of a request."""
    avoid = frozenset(progress.avoid)
    if all(state.key in avoid for state in states):
        avoid = frozenset(progress.working)
    if not progress.working:
        return avoid
    rest = [state for state in states if state.key not in avoid]
    silent = {state.key for state in rest if state.silent_sends}
    return avoid | silent if len(silent) < len(rest) else avoid


def find_suspects(candidates: Sequence[Candidate]) -> set[str]:
    """Return the candidates that failed recently on this host, or none if all did."""
    suspects = {candidate.key for candidate in candidates if candidate.suspect}
    return suspects if len(suspects) < len(candidates) else set()
