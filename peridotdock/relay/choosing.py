"""Finding the endpoint that one send of a request goes to."""

from collections.abc import Sequence
from dataclasses import replace

from peridotdock.context import Context
from peridotdock.decisions.admission import judge_wait
from peridotdock.decisions.choice import Candidate, Prediction, choose, predict
from peridotdock.decisions.overload import judge_send, retry_after
from peridotdock.errors import Failure, Kind, failed
from peridotdock.relay.asks import RelayAsk
from peridotdock.relay.caller import CallerEnd
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.grants import Granted, Grants
from peridotdock.relay.permits import EndpointPermits
from peridotdock.relay.progress import Progress
from peridotdock.relay.waits import Waits
from peridotdock.requests import Loss, State, lose
from peridotdock.turns import find_turns

# Seconds until a caller may come back when no endpoint has what it asks for.
ABSENT_RETRY_SECONDS = 0.5


class Chooser:
    """Chooses endpoints on one host, by the hub's word where prompts are paced."""

    def __init__(
        self,
        ctx: Context,
        fleet: RelayFleet,
        waits: Waits,
        grants: Grants,
        permits: EndpointPermits,
    ):
        self._ctx = ctx
        self._fleet = fleet
        self._waits = waits
        self._grants = grants
        self._permits = permits
        self._turns = find_turns()

    async def find(
        self, ask: RelayAsk, caller: CallerEnd, progress: Progress
    ) -> Prediction | Failure:
        """Choose an endpoint, after waiting for one where none can serve the request yet."""
        refusal = await self._waits.until_usable(ask, caller, progress)
        if refusal is not None:
            return refusal
        granted = await self._ask_hub(ask, caller, progress)
        if failed(granted):
            return granted
        found = None if granted is None else self._follow(granted, ask, progress)
        if found is None:
            found = await self._choose_alone(ask, caller, progress)
        if failed(found):
            return found
        left = ask.deadline - self._ctx.clock.monotonic()
        trouble = judge_send(left, found.seconds, self._turns.usual())
        if trouble is not None:
            return Failure(Kind.HOST_BEHIND, trouble, retry_after(self._ctx.rng.random))
        return found

    def _candidates(self, ask: RelayAsk, progress: Progress) -> list[Candidate]:
        """Return the endpoints not tried yet, or all: one that cut a stream may still have it."""
        states = self._fleet.usable(progress.service, ask.head.wish)
        avoid = frozenset(progress.avoid)
        if all(state.key in avoid for state in states):
            avoid = frozenset()
        return self._fleet.candidates(states, ask.head.wish, avoid)

    async def _ask_hub(
        self, ask: RelayAsk, caller: CallerEnd, progress: Progress
    ) -> Granted | Failure | None:
        """Ask when a prompt may be sent and to whom; None where this host is to choose."""
        candidates = self._candidates(ask, progress)
        awake = [row for row in candidates if not row.rest]
        if ask.head.wish is None or not awake:
            return None
        avoid = find_suspects(awake) | {row.key for row in candidates if row.rest}
        if candidates[0].key not in progress.avoid:
            avoid |= progress.avoid
        return await self._grants.ask(ask, progress.service, frozenset(avoid), caller)

    def _follow(self, granted: Granted, ask: RelayAsk, progress: Progress) -> Prediction | None:
        """Return the endpoint that the hub named, unless this host knows that it can't serve."""
        wish = ask.head.wish
        state = self._fleet.states.get(granted.endpoint)
        if state is None or state not in self._fleet.usable(progress.service, wish):
            return None
        if state.backoff_until > self._ctx.clock.monotonic():
            return None
        work = self._fleet.estimate_work(progress.service, wish)
        row = self._fleet.hub_candidates([state], wish, frozenset(), "")[0]
        row = replace(row, ahead=granted.ahead / work.per_token)
        return Prediction(row, predict(row, work), granted=True)

    async def _choose_alone(
        self, ask: RelayAsk, caller: CallerEnd, progress: Progress
    ) -> Prediction | Failure:
        """Choose by what this host knows, of the endpoints that take a request of it now.

        One that has named a limit needs a permit.
        """
        while not caller.gone():
            rows = self._candidates(ask, progress)
            open_ones = [row for row in rows if not row.opens_in]
            if rows and not open_ones:
                found = await self._waits.until_open(ask, caller, progress, rows)
                if found is None:
                    continue
                return found
            found = self._choose_among(open_ones, ask, progress)
            if failed(found) or not found.candidate.limited:
                return found
            permit = await self._permits.ask(self._fleet.states[found.candidate.key], caller=caller)
            if permit.given:
                return found
        return lose(State.ADMITTED, Loss.CALLER_GONE)

    def _choose_among(
        self, candidates: Sequence[Candidate], ask: RelayAsk, progress: Progress
    ) -> Prediction | Failure:
        """Choose one of some endpoints, and turn away what would wait for too long."""
        work = self._fleet.estimate_work(progress.service, ask.head.wish)
        found = choose(candidates, work, self._ctx.rng)
        if found is None:
            return Failure(Kind.NO_ENDPOINT, progress.service, ABSENT_RETRY_SECONDS)
        stays = ask.first_by - self._ctx.clock.monotonic()
        crowd = judge_wait(found, work, stays, ask.rank)
        if crowd is None or progress.maybe_ran:
            return found
        reason = f"a wait of {crowd.wait:.2f} s, {crowd.allowed:.2f} allowed"
        return Failure(Kind.OVERLOADED, reason, crowd.retry_after(self._ctx.rng.random))


def find_suspects(candidates: Sequence[Candidate]) -> set[str]:
    """Return the endpoints that failed this host lately, unless all have."""
    suspects = {candidate.key for candidate in candidates if candidate.suspect}
    return suspects if len(suspects) < len(candidates) else set()
