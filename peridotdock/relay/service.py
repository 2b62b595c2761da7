"""Serving one relayed request: place it, send it, repeat it where that is safe."""

from collections.abc import Callable

from peridotdock.blocklist import Blocklist
from peridotdock.clients.endpoint import HttpEndpoints, read_all
from peridotdock.context import Context
from peridotdock.decisions.allowance import RetryAllowance
from peridotdock.decisions.choice import Prediction, unread
from peridotdock.decisions.health import is_overdue
from peridotdock.decisions.overload import TURNS_TO_ANSWER
from peridotdock.deployment import Route
from peridotdock.errors import Failure, Kind, failed
from peridotdock.relay.absent import name_item
from peridotdock.relay.asks import RelayAsk
from peridotdock.relay.attempt import Source, Whole
from peridotdock.relay.caller import CallerEnd
from peridotdock.relay.choosing import Chooser
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.progress import Progress
from peridotdock.relay.sending import NOT_RUN, SUCCESS, Sender, Sent, wait_for
from peridotdock.relay.settings import Bounds
from peridotdock.relay.wire import Wire
from peridotdock.requests import RETRY_KINDS, admit_maybe, broke_off
from peridotdock.turns import find_turns

# Refused sends of one request: each was not run, but each is an arrival at the service.
MOST_REFUSALS = 2
# The first sign of an answer may take so many times its prediction, and so many seconds more,
# before another endpoint is asked.
PATIENCE_FACTOR = 3.0
PATIENCE_SECONDS = 0.8
# Seconds of a stream from which on its request is not what ended the endpoint: one that does ends
# it as soon as it runs, and events may be on their way for a while.
STARTED_SECONDS = 0.3


class RelayService:
    """Serves relayed requests on one host."""

    def __init__(
        self,
        ctx: Context,
        wire: Wire,
        fleet: RelayFleet,
        endpoints: HttpEndpoints,
        bounds: Bounds,
        chooser: Chooser,
        blocklist: Blocklist,
        first_start: bool,
    ):
        self.ctx = ctx
        self.fleet = fleet
        self._chooser = chooser
        self.blocklist = blocklist
        self.sender = Sender(wire, endpoints, ctx.clock)
        self._bounds = bounds
        self._allowances: dict[str, RetryAllowance] = {}
        self._turns = find_turns()
        self._began = float("-inf") if first_start else ctx.clock.monotonic()
        self.hosts = 1
        self.on_down: Callable[[str], None] = lambda key: None
        self.on_gap: Callable[[str, str, float], None] = lambda service, key, seconds: None

    def _allowance(self, service: str) -> RetryAllowance:
        bounds = self._bounds
        found = self._allowances.get(service)
        if found is None:
            share, extra, window = bounds.retry_share, bounds.retry_extra, bounds.retry_window
            found = RetryAllowance(share, extra, window, self._began)
            self._allowances[service] = found
        return found

    def begin(self, route: Route) -> Progress:
        """Draw the service for one request by the route's weights, and count it there."""
        names = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        name = names[0] if len(names) == 1 else self.ctx.rng.choices(names, weights)[0]
        self._allowance(name).count_request(self.ctx.clock.monotonic())
        return Progress(name)

    async def open(
        self, ask: RelayAsk, caller: CallerEnd, progress: Progress
    ) -> Whole | Source | Failure:
        """Send until an endpoint gives a whole answer or the first events of a stream.

        An endpoint's own failure is passed on as it came when it can't be had better elsewhere.
        """
        fallback: Whole | None = None
        outcome: Failure | None = None
        while True:
            place = await self._admit(ask, caller, progress)
            if failed(place):
                # What tells when to come back goes before why the last send was lost.
                told = place if place.retry_after is not None else outcome or place
                return fallback or admit_maybe(told, progress.maybe_ran > 0)
            found = await self._attempt(ask, caller, progress, place)
            if isinstance(found, Whole) and found.erred:
                fallback = found
            elif not failed(found):
                return found
            else:
                outcome = found
            if not self.may_repeat(ask, caller, progress, found):
                if fallback is not None:
                    return fallback
                return admit_maybe(outcome, progress.maybe_ran > 0)

    async def _admit(
        self, ask: RelayAsk, caller: CallerEnd, progress: Progress
    ) -> Prediction | Failure:
        """Choose an endpoint, unless the request is blocked, or is by the time one is found."""
        refusal = self.blocklist.refusal(ask)
        if refusal is not None:
            return refusal
        place = await self._chooser.find(ask, caller, progress)
        return place if failed(place) else self.blocklist.refusal(ask) or place

    def note_gap(self, state: EndpointState, service: str, seconds: float, events: int) -> None:
        """Learn from the time until some events of a stream came, since those before."""
        self.fleet.record_event_gap(service, seconds / events)
        self.on_gap(service, state.key, seconds)

    def may_repeat(
        self, ask: RelayAsk, caller: CallerEnd, progress: Progress, found: Whole | Failure
    ) -> bool:
        """Tell whether to send again: safe, allowed by the route, and within the allowance."""
        now = self.ctx.clock.monotonic()
        if caller.gone() or now >= ask.deadline:
            return False
        if failed(found) and found.kind not in RETRY_KINDS:
            return False
        may_have_run = not failed(found) or found.may_have_run
        if may_have_run and not ask.route.repeatable:
            return False
        if progress.maybe_ran >= ask.route.max_sends or progress.refusals > MOST_REFUSALS:
            return False
        if failed(found) and found.kind is Kind.ENDPOINT_UNREACHABLE:
            return True
        return self._allowance(progress.service).take(now, self.hosts)

    def may_move(self, ask: RelayAsk, progress: Progress, state: EndpointState) -> bool:
        """Tell whether a stream that falls silent at an endpoint may be taken up at another.

        Failure guarded against: the only endpoint with the model is crowded and gives no event for
        a second. The stream is taken back and sent there again, waits for its turn anew, and is
        broken off when it is silent once more, though the endpoint was at work on it.
        """
        if not ask.route.resumable or progress.maybe_ran >= ask.route.max_sends:
            return False
        now = self.ctx.clock.monotonic()
        if not self._allowance(progress.service).has_left(now, self.hosts):
            return False
        states = self.fleet.usable(progress.service, ask.head.wish)
        return any(other is not state and not other.health.suspect(now) for other in states)

    async def _attempt(
        self, ask: RelayAsk, caller: CallerEnd, progress: Progress, place: Prediction
    ) -> Whole | Source | Failure:
        state = self.fleet.states.get(place.candidate.key)
        if state is None:
            return Failure(Kind.ENDPOINT_UNREACHABLE, "gone meanwhile")
        progress.sends += 1
        progress.avoid.add(state.key)
        self.ctx.metrics.sends.labels(str(progress.sends)).inc()
        self._note_send(ask, progress, place)
        wish = ask.head.wish
        tokens = (
            unread(place.candidate, self.fleet.estimate_work(progress.service, wish)) if wish else 0
        )
        alone = place.candidate.ahead == 0 if place.granted else None
        self.fleet.request_sent(state, ask.id, wish, tokens, alone)
        began = self.ctx.clock.monotonic()
        streaming = False
        try:
            resume = ask.head.resume_after if progress.last_id is None else str(progress.last_id)
            patience = self._patience(ask, progress, place.seconds)
            sent = await self.sender.send(
                ask, state, caller, choose_priority(ask), resume, patience
            )
            found = (
                sent
                if failed(sent)
                else await self._read(ask, caller, progress.service, sent, patience)
            )
            self._judge(ask, state, found, progress)
            self._note_overdue(ask, state, found, place.seconds, began)
            streaming = isinstance(found, Source)
            return found
        finally:
            if not streaming:
                self.fleet.request_ended(state, ask.id, progress.service, complete=False)

    def _note_send(self, ask: RelayAsk, progress: Progress, place: Prediction) -> None:
        """Log which endpoint was chosen, and what was known of it."""
        chosen, wish = place.candidate, ask.head.wish
        self.ctx.timeline.add(
            "sent",
            request=ask.id,
            endpoint=chosen.key,
            item=name_item(progress.service, wish),
            detail=f"send {progress.sends}, expected in {place.seconds:.3f} s, "
            f"{chosen.running} running, {chosen.ahead} tokens ahead, "
            f"{wish.prompt_tokens if wish else 0} to read, {chosen.cached} cached"
            f"{', preferred' if chosen.preferred else ''}, {chosen.slowness:.2f} times slower",
        )

    def _note_first(self, ask: RelayAsk, state: EndpointState, began: float) -> None:
        """Log how long the first event took."""
        seconds = self.ctx.clock.monotonic() - began
        label = self.ctx.metrics.item_label(ask.route.name)
        self.ctx.metrics.first_token.labels(label).observe(seconds)
        self.ctx.timeline.add(
            "first_event",
            request=ask.id,
            endpoint=state.key,
            detail=f"after {seconds:.3f} s of {ask.route.target:.3f}",
        )

    def _patience(self, ask: RelayAsk, progress: Progress, predicted: float) -> float:
        """Return how long to wait for a first sign; for good where it can't be had elsewhere.

        Failure guarded against: the only endpoint with a model is crowded, its requests are taken
        back when they are slow and sent there again, and lose their place in its queue each time.
        """
        if not ask.route.repeatable or progress.maybe_ran + 1 >= ask.route.max_sends:
            return ask.route.timeout
        states = self.fleet.usable(progress.service, ask.head.wish)
        if all(state.key in progress.avoid for state in states):
            return ask.route.timeout
        return PATIENCE_SECONDS + PATIENCE_FACTOR * predicted

    async def _read(
        self, ask: RelayAsk, caller: CallerEnd, service: str, sent: Sent, patience: float
    ) -> Whole | Source | Failure:
        """Read a whole answer, or a stream up to its first events."""
        left = ask.deadline - self.ctx.clock.monotonic()
        if sent.head.status in SUCCESS and ask.route.streams:
            source = Source(sent.state, sent.head, sent.opened)
            caller.left.add_done_callback(source.abort)
            fault = await source.fill(caller, min(left, patience), silent=patience < left)
            if fault is not None:
                await source.close(caller)
                return fault
            source.began = self.ctx.clock.monotonic()
            self.fleet.first_token_received(sent.state, ask.id, ask.head.wish)
            self._note_first(ask, sent.state, ask.began)
            return source
        try:
            body = await wait_for(read_all(sent.opened), caller, left)
        finally:
            await sent.opened.release()
        if failed(body):
            return body
        self.fleet.request_ended(sent.state, ask.id, service, complete=True)
        if sent.head.status in SUCCESS:
            self.blocklist.note_answer(ask)
        return Whole(sent.state, sent.head, body)

    def _judge(
        self,
        ask: RelayAsk,
        state: EndpointState,
        found: Whole | Source | Failure,
        progress: Progress,
    ) -> None:
        """Learn from an outcome what the endpoint is worth, and where the request may have run."""
        now = self.ctx.clock.monotonic()
        if not failed(found):
            erred = isinstance(found, Whole) and found.erred
            progress.maybe_ran += 1
            state.health.erred(now) if erred else state.health.succeeded()
            return
        progress.maybe_ran += found.may_have_run
        progress.refusals += found.kind in NOT_RUN
        self.note_loss(ask, state, found)

    def _note_overdue(
        self,
        ask: RelayAsk,
        state: EndpointState,
        found: Whole | Source | Failure,
        expected: float,
        began: float,
    ) -> None:
        """Hold it against a plain service's endpoint that the request's time ran out there.

        Failure guarded against: an endpoint takes requests and answers none. What may run once only
        waits for its answer to the end, which tells nothing by itself, and the next request is sent
        there again.
        """
        if not failed(found) or found.kind is not Kind.DEADLINE or ask.head.wish is not None:
            return
        now = self.ctx.clock.monotonic()
        if is_overdue(now - began, expected, TURNS_TO_ANSWER * self._turns.usual()):
            state.health.overdue(now)

    def note_loss(
        self, ask: RelayAsk, state: EndpointState, found: Failure, streamed: float | None = None
    ) -> None:
        """Hold a loss against the endpoint, unless it is the caller's or the deadline's.

        ``streamed`` are the seconds since the endpoint's first event, None when none came.
        """
        now = self.ctx.clock.monotonic()
        if found.kind is Kind.ENDPOINT_REFUSED:
            state.health.erred(now)
        elif found.kind is Kind.ENDPOINT_LACKS and ask.head.wish is not None:
            state.record_missing(ask.head.wish, now)
        elif found.kind is Kind.ENDPOINT_LACKS:
            # A plain service lacks nothing: its address has been taken by another.
            state.health.unreachable(now)
        elif found.kind is Kind.ENDPOINT_UNREACHABLE:
            state.health.unreachable(now)
            self.on_down(state.key)
        elif found.kind in RETRY_KINDS:
            state.health.lost(now)
        just_begun = streamed is None or streamed < STARTED_SECONDS
        if broke_off(found) and just_begun:
            self.blocklist.note_end(ask, state.start)
        self.ctx.timeline.add(
            "send_lost",
            found.answer.level,
            request=ask.id,
            endpoint=state.key,
            detail=f"{found.kind}: {found.reason}{describe_broken(ask, found, streamed)}",
        )


def describe_broken(ask: RelayAsk, found: Failure, streamed: float | None) -> str:
    """Return what tells, for an answer that broke off, whose request ended its endpoint.

    The content is the same in all attempts at one request; the one that ends an endpoint as it
    begins to run has no event yet, those that only were there have streamed for a while.
    """
    if not broke_off(found):
        return ""
    since = "no event" if streamed is None else f"streamed for {streamed:.3f} s"
    return f", content {ask.content_id}, {since}"


def choose_priority(ask: RelayAsk) -> int:
    """Return the engine's priority for a request, 0 to 9: its rank, then its route's target."""
    slow = ask.route.target > 1.0
    return min(9, 2 + 2 * ask.rank + slow)
