"""Serves a relayed request: chooses endpoints, sends, and retries where that is safe."""

import asyncio
import math
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

from peridotdock.blocklist import Blocklist
from peridotdock.clients.endpoint import HttpEndpoints, read_all
from peridotdock.context import Context
from peridotdock.decisions.choice import Prediction, uncached_tokens
from peridotdock.decisions.health import is_overdue
from peridotdock.decisions.overload import ITERATIONS_TO_ANSWER
from peridotdock.decisions.promises import may_pass_on
from peridotdock.decisions.stream_versions import UNKNOWN_SOFTWARE
from peridotdock.deployment import Route
from peridotdock.errors import Failure, Kind, failed
from peridotdock.loop_iterations import find_iterations
from peridotdock.membership import Member
from peridotdock.relay.attempt import ENDED_WITH_ENDPOINT, CompleteAnswer, StreamSource
from peridotdock.relay.caller import Caller, SendCaller
from peridotdock.relay.choosing import Chooser
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.endpoint_starts import (
    CHECKED_SECONDS,
    EndpointStarts,
    Running,
    StartCheck,
)
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.forwarding import Forwarder, host_state
from peridotdock.relay.item_waits import name_item
from peridotdock.relay.progress import Origin, Progress
from peridotdock.relay.replacing import (
    FORWARDED_SILENCE_SECONDS,
    OVERLAP_SECONDS,
    Replacement,
    SilentSend,
)
from peridotdock.relay.requests import RelayRequest
from peridotdock.relay.retry_budgets import RetryBudgets
from peridotdock.relay.sending import NOT_RUN_KINDS, SUCCESS, PendingAnswer, Sender, wait_for
from peridotdock.relay.wire import Wire
from peridotdock.requests import (
    RETRY_KINDS,
    Loss,
    RequestState,
    connection_broke,
    loss_failure,
    mark_maybe_ran,
)

T = TypeVar("T")
# Maximum of refused sends of one request; a refused send does not run, but loads the service.
MAX_REFUSALS = 2
# Time after which an endpoint counts as silent before the first event: a multiple of the predicted
# time plus a constant. After it another endpoint is tried.
FIRST_EVENT_TIMEOUT_FACTOR = 3.0
FIRST_EVENT_TIMEOUT_SECONDS = 0.8
# Failures that may come from this host's own link to the endpoint.
LOST_KINDS = frozenset({Kind.ENDPOINT_UNREACHABLE, Kind.ENDPOINT_LOST, Kind.ANSWER_CUT})
# Failures of sends that reached no endpoint.
NOT_SENT_KINDS = frozenset({Kind.ENDPOINT_UNREACHABLE, Kind.BLOCKED})
# Retry-after in seconds of a request that needs a retry when none is left: others that were refused
# with it return within this time.
NO_RETRY_SECONDS = 1.0
# The answer to a request whose retry was left when it was decided, and none when it was to be sent.
NO_RETRY_LEFT = Failure(Kind.OVERLOADED, "no retry left", NO_RETRY_SECONDS)
# The failure of a send beside a silent one for which no other engine is known to work.
NOT_ANSWERING = Failure(Kind.OVERLOADED, "the other engine is silent too", NO_RETRY_SECONDS)
# The failure of an endpoint that is silent: it may run the request, or not.
SILENT = loss_failure(RequestState.SENT, Loss.SILENCE)
# The end of a stream that was begun at a software version that nobody knows.
SOFTWARE_UNKNOWN = Failure(Kind.NO_ENDPOINT, "software of the stream unknown")
# A stream that has lasted for this many seconds did not crash its endpoint: a request that does
# crashes it as soon as it runs, though its events may still be in transit for a while.
BLAMELESS_STREAM_SECONDS = 0.3


class RelayService:
    """Serves relayed requests on one host, within the retry budget of each service."""

    def __init__(
        self,
        ctx: Context,
        wire: Wire,
        fleet: RelayFleet,
        endpoints: HttpEndpoints,
        retries: RetryBudgets,
        chooser: Chooser,
        blocklist: Blocklist,
        forwarder: Forwarder,
        starts: EndpointStarts,
    ):
        self.ctx = ctx
        self.fleet = fleet
        self._chooser = chooser
        self.blocklist = blocklist
        self._forwarder = forwarder
        self._starts = starts
        self.sender = Sender(wire, endpoints, ctx.clock)
        self._retries = retries
        self._iterations = find_iterations()
        self.replacing: set[asyncio.Task[None]] = set()
        self.on_unreachable: Callable[[str], None] = lambda key: None
        self.on_gap: Callable[[str, str, float], None] = lambda service, key, seconds: None
        self.on_lost: Callable[[str], None] = lambda key: None
        self.on_silent: Callable[[str], None] = lambda key: None
        self.on_answered: Callable[[str], None] = lambda key: None
        self.on_repeat: Callable[[RelayRequest], None] = lambda req: None
        self.on_repeat_not_run: Callable[[RelayRequest], None] = lambda req: None
        self.on_unbound: Callable[[RelayRequest, Progress], None] = lambda req, progress: None
        # Why a request that has not run is not sent any more, as this host stops.
        self.stop_refusal: Callable[[RelayRequest], Failure | None] = lambda req: None
        # Whether endpoints of several software versions may serve a service.
        self.has_versions: Callable[[str], bool] = lambda service: False

    def choose_service(self, route: Route) -> Progress:
        """Choose a request's service at random by the route's weights, and count the request."""
        names = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        name = names[0] if len(names) == 1 else self.ctx.rng.choices(names, weights)[0]
        self._retries.count_request(name)
        return Progress(name)

    async def open_answer(
        self, req: RelayRequest, caller: Caller, progress: Progress
    ) -> CompleteAnswer | StreamSource | Failure:
        """Send until an endpoint returns a complete answer or the first events of a stream.

        An endpoint's own 5xx answer is passed on unchanged if no other endpoint does better.
        """
        try:
            found = await self._send_until_answered(req, caller, progress)
        finally:
            self._retries.release(progress)
        if not isinstance(found, CompleteAnswer):
            return found
        if may_pass_on(found.head.status, req.route.repeatable):
            return found
        failure = Failure(Kind.ENDPOINT_ERROR, f"status {found.head.status}, but it may have run")
        self.ctx.timeline.add(
            "answer_replaced",
            failure.answer.level,
            request=req.id,
            endpoint=found.state.key,
            detail=failure.reason,
        )
        return failure

    async def _send_until_answered(
        self, req: RelayRequest, caller: Caller, progress: Progress
    ) -> CompleteAnswer | StreamSource | Failure:
        fallback: CompleteAnswer | None = None
        outcome: Failure | None = None
        while True:
            host = self._forwarder.choose_host(req, progress)
            if host is not None:
                found = await self._forward(req, caller, progress, host)
            else:
                prediction = await self._admit(req, caller, progress)
                if failed(prediction) and self._may_forward_now(prediction, req, progress):
                    continue
                if failed(prediction):
                    # A failure with a retry-after takes precedence over that of the last send.
                    refusal = (
                        prediction if prediction.retry_after is not None else outcome or prediction
                    )
                    return fallback or mark_maybe_ran(refusal, progress.maybe_ran > 0)
                found = await self._attempt(req, caller, progress, prediction)
            if isinstance(found, CompleteAnswer) and found.is_server_error:
                fallback = found
            elif not failed(found):
                return found
            else:
                outcome = found
            if not self.may_retry(req, caller, progress, found):
                if fallback is not None:
                    return fallback
                return mark_maybe_ran(outcome, progress.maybe_ran > 0)

    def _may_forward_now(self, refusal: Failure, req: RelayRequest, progress: Progress) -> bool:
        """Return whether a host can be found that was not there before a wait."""
        if refusal.kind is not Kind.NO_ENDPOINT:
            return False
        return self._forwarder.can_forward(req, progress)

    async def _forward(
        self, req: RelayRequest, caller: Caller, progress: Progress, host: Member
    ) -> CompleteAnswer | StreamSource | Failure:
        """Send a request through another host, which reaches the endpoints."""
        refusal = self.blocklist.refusal(req) or self._stop_refusal(req, progress)
        if refusal is not None:
            return refusal
        failure = await self._check_origin(req, caller, progress)
        if failure is not None:
            return failure
        if not self._retries.take(progress, req.id):
            return NO_RETRY_LEFT
        progress.sends += 1
        state = host_state(host, progress.service)
        silent = SilentSend(req, caller, progress, state, endpoint="", streaming=False)
        first = SendCaller(caller)
        replacement = Replacement(self, silent, first.end)
        streaming = False
        try:
            found = await self._send_through(silent, first, host, replacement)
            streaming = isinstance(found, StreamSource) and found.caller is first
            return found
        finally:
            await replacement.close()
            if not streaming:
                first.close()

    async def _send_through(
        self, silent: SilentSend, caller: SendCaller, host: Member, replacement: Replacement
    ) -> CompleteAnswer | StreamSource | Failure:
        """Send through another host; return its answer, or that of what replaced it."""
        req, progress = silent.req, silent.progress
        if req.route.repeatable:
            replacement.start_timer(FORWARDED_SILENCE_SECONDS)
        found = await self._forwarder.send(req, caller, progress, host)
        if not failed(found):
            if not begins_stream(req, found):
                replacement.await_body(found.opened.read_share)
            found = await self._read(req, caller, progress, found)
            if failed(found) and not caller.is_disconnected():
                self._forwarder.record_lost(req, host.fact.host, found)
        if replacement.took_over:
            await self.discard(req, progress, found)
            return await replacement.take() or SILENT
        may_have_run = not failed(found) or found.may_have_run
        progress.maybe_ran += may_have_run - replacement.began
        if not replacement.began:
            self._retries.settle(progress, progress.arrived or has_arrived(found))
        better = None if is_answer(found) else await replacement.take()
        # A complete answer is the best of the other host's own sends.
        progress.final = progress.final or isinstance(found, CompleteAnswer)
        return better or found

    async def _admit(
        self, req: RelayRequest, caller: Caller, progress: Progress
    ) -> Prediction | Failure:
        """Choose an endpoint; refuse a request that is blocked before or after the choice."""
        refusal = self.blocklist.refusal(req)
        if refusal is not None:
            return refusal
        prediction = await self._chooser.choose_endpoint(req, caller, progress)
        if failed(prediction):
            return prediction
        refusal = self.blocklist.refusal(req) or self._stop_refusal(req, progress)
        if refusal is not None:
            self._chooser.withdraw(prediction)
        return refusal or prediction

    def _stop_refusal(self, req: RelayRequest, progress: Progress) -> Failure | None:
        """Return why a request is not sent as this host stops; a stream that has begun goes on."""
        return self.stop_refusal(req) if progress.last_event_at is None else None

    def record_gap(self, state: EndpointState, service: str, seconds: float, events: int) -> None:
        """Record the seconds since the previous events of a stream; ``events`` arrived at once."""
        if state.is_host:
            return
        state.heard_at = self.ctx.clock.monotonic()
        self.on_answered(state.key)
        self.fleet.record_event_gap(service, seconds / events)
        self.on_gap(service, state.key, seconds)

    def may_retry(
        self,
        req: RelayRequest,
        caller: Caller,
        progress: Progress,
        found: CompleteAnswer | Failure,
    ) -> bool:
        """Whether a retry is safe, allowed by the route, and within the retry budget."""
        if not self._retry_allowed(req, caller, progress, found):
            return False
        cause = str(found.kind) if failed(found) else f"status {found.head.status}"
        return self._retries.reserve(progress, req.id, cause)

    def _retry_allowed(
        self,
        req: RelayRequest,
        caller: Caller,
        progress: Progress,
        found: CompleteAnswer | Failure,
        uncounted: int = 0,
    ) -> bool:
        """Whether a retry is safe and allowed by the route.

        ``uncounted`` is the number of sends that may run and do not count in ``progress`` yet.
        """
        now = self.ctx.clock.monotonic()
        if caller.is_disconnected() or now >= req.deadline or progress.final:
            return False
        if progress.software == UNKNOWN_SOFTWARE or progress.unnumbered:
            return False
        if failed(found) and found.kind not in RETRY_KINDS:
            return False
        may_have_run = not failed(found) or found.may_have_run
        if may_have_run and not req.route.repeatable:
            return False
        sends_left = progress.maybe_ran + uncounted < req.route.max_sends
        return sends_left and progress.refusals <= MAX_REFUSALS

    def may_replace(self, silent: SilentSend, uncounted: int, suspects: bool) -> bool:
        """Return whether the request may be sent elsewhere while a send is silent.

        ``uncounted`` is 1 if that send does not count yet as one that may run, else 0. ``suspects``
        tells whether it may go to an endpoint that failed lately.
        """
        if not self._has_alternative(silent, suspects):
            return False
        return self._retry_allowed(silent.req, silent.caller, silent.progress, SILENT, uncounted)

    def _has_alternative(self, silent: SilentSend, suspects: bool) -> bool:
        """Return whether another endpoint than the silent one may serve a request.

        Failure guarded against: the only endpoint with the model is overloaded and sends no event
        for a second. The request is sent there once more, and both sends wait longer.
        """
        req, progress, cut_off = silent.req, silent.progress, self._forwarder.is_cut_off()
        working = progress.working | {silent.endpoint}
        serving = self.fleet.serving(progress.service, req.head.inference, progress.software)
        if all(row.key in working for row in serving):
            return False
        if (silent.state.is_host or cut_off) and self._forwarder.can_forward(req, progress):
            return True
        if cut_off:
            return False
        now = self.ctx.clock.monotonic()
        states = self.fleet.usable(progress.service, req.head.inference, progress.software)
        others = [row for row in states if row.key not in working]
        if not silent.streaming:
            return bool(others)
        # Within a stream a suspect endpoint is worth a try unless it is silent too, as where all
        # endpoints are silent at once.
        return any(
            not row.health.suspect(now) or (suspects and not row.silent_sends) for row in others
        )

    def reserve_replacement(self, silent: SilentSend) -> bool:
        """Reserve a retry for the send elsewhere; return False if none is left."""
        progress = silent.progress
        if not self._retries.available(progress.service):
            return False
        self._retries.settle(progress, arrived=True)
        return self._retries.reserve(progress, silent.req.id, "silence")

    def record_silence(self, state: EndpointState) -> None:
        """Record a silence against an endpoint, so that other requests avoid it for a while."""
        if state.is_host:
            self._forwarder.avoid(state.key)
            return
        state.health.record_loss(self.ctx.clock.monotonic())
        self.on_lost(state.key)

    async def discard(
        self, req: RelayRequest, progress: Progress, found: CompleteAnswer | StreamSource | Failure
    ) -> None:
        """Close the connection of an answer that is not needed."""
        if isinstance(found, StreamSource):
            self.fleet.request_ended(found.state, req.id, progress.service, complete=False)
            await found.close()

    def report_silent(self, silent: SilentSend) -> None:
        """Report that an endpoint is silent, and log what else could serve."""
        req, progress, state = silent.req, silent.progress, silent.state
        if not state.is_host:
            self.on_silent(state.key)
        now = self.ctx.clock.monotonic()
        states = self.fleet.usable(progress.service, req.head.inference, progress.software)
        others = [other for other in states if other.key != state.key]
        suspects = sum(other.health.suspect(now) for other in others)
        budget = "left" if self._retries.available(progress.service) else "used up"
        self.ctx.metrics.silent_sends.inc()
        self.ctx.timeline.add(
            "send_silent",
            request=req.id,
            endpoint=state.key,
            detail=f"last event {progress.last_id}, {len(others)} others, "
            f"{suspects} of them suspect, retries {budget}, "
            f"links {'in doubt' if self.fleet.links_in_doubt() else 'good'}, "
            f"{req.deadline - now:.2f} s left",
        )

    async def _attempt(
        self,
        req: RelayRequest,
        caller: Caller,
        progress: Progress,
        prediction: Prediction,
    ) -> CompleteAnswer | StreamSource | Failure:
        state = self.fleet.states.get(prediction.candidate.key)
        if state is None:
            self._chooser.give_back(prediction)
            return Failure(Kind.ENDPOINT_UNREACHABLE, "gone meanwhile")
        valid_until = await self._check_software(req, caller, progress, state)
        silence = await self._check_answering(req, caller, progress, state)
        if failed(valid_until) or silence is not None:
            self._chooser.withdraw(prediction)
            return valid_until if failed(valid_until) else silence
        if not self._retries.take(progress, req.id):
            self._chooser.withdraw(prediction)
            return NO_RETRY_LEFT
        if progress.maybe_ran > 0:
            progress.charged += 1
            self.on_repeat(req)
        progress.sends += 1
        progress.avoid.add(state.key)
        self.ctx.metrics.sends.labels(str(progress.sends)).inc()
        self._log_send(req, progress, prediction)
        inference = req.head.inference
        tokens = (
            uncached_tokens(
                prediction.candidate, self.fleet.estimate_work(progress.service, inference)
            )
            if inference
            else 0
        )
        alone = prediction.candidate.queued_tokens == 0 if prediction.granted else None
        sent = self.fleet.request_sent(state, req.id, inference, tokens, alone, prediction.placed)
        silent = SilentSend(req, caller, progress, state, state.key, streaming=False)
        first = SendCaller(caller)
        replacement = Replacement(self, silent, first.end)
        streaming = answered = False
        try:
            found = await self._send_chosen(silent, first, prediction, replacement, valid_until)
            answered = is_answer(found)
            streaming = isinstance(found, StreamSource) and found.caller is first
            return found
        finally:
            if not answered:
                self._chooser.give_back(prediction)
            await replacement.close()
            if not streaming:
                first.close()
                self.fleet.request_ended(state, req.id, progress.service, complete=False, sent=sent)

    async def _send_chosen(
        self,
        silent: SilentSend,
        caller: SendCaller,
        prediction: Prediction,
        replacement: Replacement,
        valid_until: float,
    ) -> CompleteAnswer | StreamSource | Failure:
        """Send to the chosen endpoint; return its answer, or that of the one that replaced it."""
        req, progress, state = silent.req, silent.progress, silent.state
        started_at = self.ctx.clock.monotonic()
        if req.route.repeatable:
            replacement.start_timer(first_event_timeout(prediction.seconds))
        resume = req.head.resume_after if progress.last_id is None else str(progress.last_id)
        sent = await self._send(req, state, caller, resume, valid_until)
        if not failed(sent) and not begins_stream(req, sent):
            replacement.await_body(sent.opened.read_share)
        elif not failed(sent):
            caller.record_answered()
        confirm = valid_until < math.inf
        found = sent if failed(sent) else await self._read(req, caller, progress, sent, confirm)
        if failed(found):
            caller.record_failed()
        if replacement.took_over:
            # The other endpoint was first, or has the request.
            await self.discard(req, progress, found)
            return await replacement.take() or SILENT
        if not replacement.began:
            self._retries.settle(progress, has_arrived(found))
        self._record_outcome(req, state, found, progress, replacement.began)
        # Of a send and its replacement, either is covered by the charge of the first run.
        if progress.charged and failed(found) and not found.may_have_run:
            progress.charged -= 1
            self.on_repeat_not_run(req)
        self._record_overdue(req, state, found, prediction.seconds, started_at)
        if is_answer(found):
            return found
        # The send elsewhere may go to this endpoint from now on.
        self.fleet.request_ended(state, req.id, progress.service, complete=False)
        return await replacement.take() or found

    async def _send(
        self,
        req: RelayRequest,
        state: EndpointState,
        caller: SendCaller,
        resume: str,
        valid_until: float,
    ) -> PendingAnswer | Failure:
        """Send to an endpoint, unless the request is blocked while the connection is opened.

        It is not sent after ``valid_until`` (monotonic seconds) either.
        """

        def is_wanted() -> bool:
            late = self.ctx.clock.monotonic() > valid_until
            wanted = not late and state.accepts_requests() and self.blocklist.refusal(req) is None
            if wanted:
                caller.record_written()
            return wanted

        sent = await self.sender.send(req, state, caller, choose_priority(req), resume, is_wanted)
        if failed(sent) and sent.kind is Kind.ENDPOINT_UNREACHABLE:
            return self.blocklist.refusal(req) or sent
        return sent

    def _log_send(self, req: RelayRequest, progress: Progress, prediction: Prediction) -> None:
        """Log the chosen endpoint and the state by which it was chosen."""
        chosen, inference = prediction.candidate, req.head.inference
        self.ctx.timeline.add(
            "sent",
            request=req.id,
            endpoint=chosen.key,
            item=name_item(progress.service, inference),
            detail=f"send {progress.sends}, expected in {prediction.seconds:.3f} s, "
            f"{chosen.running} running, {chosen.queued_tokens} tokens ahead, "
            f"{inference.prompt_tokens if inference else 0} to read, {chosen.cached_tokens} cached"
            f"{', preferred' if chosen.preferred else ''}, {chosen.slowness:.2f} times slower, "
            f"software {self.fleet.states[chosen.key].entry.software}, "
            f"parts {' '.join(req.part_ids)}",
        )

    def _log_first_event(self, req: RelayRequest, state: EndpointState, started_at: float) -> None:
        """Record and log the seconds until the first event."""
        seconds = self.ctx.clock.monotonic() - started_at
        label = self.ctx.metrics.item_label(req.route.name)
        self.ctx.metrics.first_token.labels(label).observe(seconds)
        self.ctx.timeline.add(
            "first_event",
            request=req.id,
            endpoint=state.key,
            detail=f"after {seconds:.3f} s of {req.route.target:.3f}{describe_start(state)}",
        )

    async def _check_software(
        self, req: RelayRequest, caller: Caller, progress: Progress, state: EndpointState
    ) -> float | Failure:
        """Return until when a stream may be sent on to an endpoint (monotonic seconds), or why not.

        Failure guarded against: an endpoint has restarted at another software version, and its
        entry does not say so yet. Streams go on there, or go on elsewhere after it began them.
        """
        if progress.software is None or req.head.inference is None:
            return math.inf
        checks = [self._starts.find_running(state)]
        if progress.origin is not None:
            checks.append(self._starts.find_answering(*progress.origin))
        found = await self._wait_unsent(asyncio.gather(*checks), req, caller)
        if failed(found):
            return found
        target, *began = found
        progress.origin = None
        if any(check.running is Running.ANOTHER for check in began):
            return self._unbind(req, progress)
        if target.running is Running.ANOTHER:
            progress.avoid.add(state.key)
            return Failure(Kind.ENDPOINT_UNREACHABLE, "another start runs")
        named = target.running is Running.NAMED
        return target.asked_at + CHECKED_SECONDS if named else math.inf

    async def _check_answering(
        self, req: RelayRequest, caller: Caller, progress: Progress, state: EndpointState
    ) -> Failure | None:
        """Return why a request may not be sent to an engine beside a silent one, or None.

        Failure guarded against: engines fall silent together, a request is sent from one to the
        other, and the silent send is ended though it would have gone on first.
        """
        asks = progress.works_elsewhere and progress.asks_reports
        if not asks or req.head.inference is None:
            return None
        found = await self._wait_unsent(self._starts.is_answering(state), req, caller)
        if failed(found):
            return found
        if found:
            return None
        if state.key in progress.avoid:
            return NOT_ANSWERING
        # Another one is chosen now, if there is one.
        progress.avoid.add(state.key)
        return Failure(Kind.ENDPOINT_UNREACHABLE, "no report")

    async def _check_origin(
        self, req: RelayRequest, caller: Caller, progress: Progress
    ) -> Failure | None:
        """Return why a stream may not go on through another host, or None.

        Only this host has the connection that tells which start began the stream. A host that
        reaches no endpoint can't ask, and the entry counts.
        """
        asks = req.head.inference is not None and not self._forwarder.is_cut_off()
        if progress.origin is None or not asks:
            return None
        check = self._starts.find_answering(*progress.origin)
        found = await self._wait_unsent(check, req, caller)
        if failed(found):
            return found
        progress.origin = None
        return self._unbind(req, progress) if found.running is Running.ANOTHER else None

    async def _wait_unsent(
        self, work: Awaitable[T], req: RelayRequest, caller: Caller
    ) -> T | Failure:
        """Wait for what must be known before a send, until the caller leaves or the deadline."""
        found = await wait_for(work, caller, req.deadline - self.ctx.clock.monotonic())
        if not failed(found):
            return found
        loss = Loss.CALLER_GONE if caller.is_disconnected() else Loss.DEADLINE
        return loss_failure(RequestState.ADMITTED, loss)

    def _unbind(self, req: RelayRequest, progress: Progress) -> Failure:
        """Record that nobody knows the software version of a stream; return why it ends."""
        progress.unbind()
        self.on_unbound(req, progress)
        return SOFTWARE_UNKNOWN

    async def _read(
        self,
        req: RelayRequest,
        caller: SendCaller,
        progress: Progress,
        sent: PendingAnswer,
        confirm: bool = False,
    ) -> CompleteAnswer | StreamSource | Failure:
        """Read a complete answer, or a stream up to its first events.

        ``confirm`` tells whether the stream must be from the start in the endpoint's entry.
        """
        remaining = req.deadline - self.ctx.clock.monotonic()
        if begins_stream(req, sent):
            return await self._read_first_events(req, caller, progress, sent, confirm)
        try:
            body = await wait_for(read_all(sent.opened), caller, remaining)
            if not failed(body) and not sent.opened.framed and await self._has_ended(req, sent):
                body = ENDED_WITH_ENDPOINT
            kept = None if failed(body) else sent.opened.keep()
        finally:
            await sent.opened.release()
        if failed(body):
            return body
        self.fleet.request_ended(sent.state, req.id, progress.service, complete=True)
        if sent.head.status in SUCCESS:
            self.blocklist.record_answer(req)
        return CompleteAnswer(sent.state, sent.head, body, kept)

    async def _read_first_events(
        self,
        req: RelayRequest,
        caller: SendCaller,
        progress: Progress,
        sent: PendingAnswer,
        confirm: bool,
    ) -> StreamSource | Failure:
        """Read a stream up to its first events, and find the software version that it is from.

        Failure guarded against: an endpoint restarts at another version after the report that it
        runs the start in its entry, and the stream goes on there over a new connection.
        """
        source = StreamSource(
            sent.state, sent.head, sent.opened, caller, sent.software, sent.endpoint
        )
        source.check = self._begin_check(req, progress, source, confirm)
        source.has_ended = partial(self._has_ended, req, sent)
        failure = await source.fill(req.deadline - self.ctx.clock.monotonic())
        new = not req.head.resume_after and progress.last_id is None
        if failure is None and new and source.is_empty:
            failure = Failure(Kind.ANSWER_CUT, "ended before the first event")
        if failure is None and source.check is not None and (progress.forwarded or confirm):
            # The head of a forwarded answer tells the caller's host the version. A stream that goes
            # on has its events held back until then.
            waits = {source.check, caller.disconnected}
            # The other host ends the silent send once it has the head.
            seconds = OVERLAP_SECONDS if progress.forwarded and progress.working else None
            await asyncio.wait(waits, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
            if caller.is_disconnected():
                failure = loss_failure(RequestState.FIRST_BYTE, Loss.CALLER_GONE)
        if failure is None and confirm and source.is_of_another_start():
            failure = Failure(Kind.WRONG_ANSWER, "another start runs")
        if failure is not None:
            await source.close()
            return failure
        source.started_at = self.ctx.clock.monotonic()
        self.fleet.first_token_received(sent.state, req.id, req.head.inference)
        self._log_first_event(req, sent.state, req.received_at)
        return source

    async def _has_ended(self, req: RelayRequest, sent: PendingAnswer) -> bool:
        """Return whether the start of an engine that was sent a request is known to have ended.

        Failure guarded against: an engine crashes, which ends an answer with neither length nor
        chunks, and its next start listens at its address before this host asks.
        """
        if req.head.inference is None or sent.state.is_host or sent.software == UNKNOWN_SOFTWARE:
            return False
        return await self._starts.has_ended(sent.state)

    def _begin_check(
        self, req: RelayRequest, progress: Progress, source: StreamSource, confirm: bool
    ) -> asyncio.Task[StartCheck] | None:
        """Begin to find out which start an answer is from, if that is needed and not known."""
        state, connection = source.state, source.opened.connection
        if req.head.inference is None or state.is_host:
            return None
        # The host of a forwarded stream's caller can't ask the endpoint once this host is lost.
        new = progress.forwarded or self.has_versions(progress.service)
        needed = confirm or (new and progress.software is None)
        if not needed or connection in state.checked_connections:
            return None
        return asyncio.ensure_future(self._starts.find_answering(state, connection))

    def _record_outcome(
        self,
        req: RelayRequest,
        state: EndpointState,
        found: CompleteAnswer | StreamSource | Failure,
        progress: Progress,
        counted: bool,
    ) -> None:
        """Update the endpoint's health and the request's progress from the result of a send.

        ``counted`` tells whether the send already counts as one that may have run.
        """
        now = self.ctx.clock.monotonic()
        may_have_run = not failed(found) or found.may_have_run
        progress.maybe_ran += may_have_run - counted
        if not failed(found):
            self.on_answered(state.key)
            erred = isinstance(found, CompleteAnswer) and found.is_server_error
            state.health.record_error(now) if erred else state.health.record_success()
            return
        progress.refusals += found.kind in NOT_RUN_KINDS
        self.record_loss(req, state, found)

    def _record_overdue(
        self,
        req: RelayRequest,
        state: EndpointState,
        found: CompleteAnswer | StreamSource | Failure,
        expected: float,
        started_at: float,
    ) -> None:
        """Record against a plain service's endpoint that a request's deadline passed there.

        Failure guarded against: an endpoint accepts requests and answers none. A request that may
        run only once waits until its deadline, which by itself does not count against the endpoint,
        and the next request is sent there again.
        """
        if not failed(found) or found.kind is not Kind.DEADLINE or req.head.inference is not None:
            return
        now = self.ctx.clock.monotonic()
        if is_overdue(
            now - started_at, expected, ITERATIONS_TO_ANSWER * self._iterations.median_length()
        ):
            state.health.record_overdue(now)
            self.on_silent(state.key)
            self.on_lost(state.key)

    def record_streaming(self, req: RelayRequest, source: StreamSource) -> None:
        """Record that a stream goes on, which shows that its prompt's parts are harmless.

        It is recorded once after each end of an endpoint.
        """
        if source.recorded == self.blocklist.revision:
            return
        if self.ctx.clock.monotonic() - source.started_at >= BLAMELESS_STREAM_SECONDS:
            source.recorded = self.blocklist.revision
            self.blocklist.record_streaming(req)

    def record_lost_stream(
        self, req: RelayRequest, source: StreamSource, progress: Progress, found: Failure
    ) -> None:
        """Record that a stream was lost, and what that tells of its prompt's parts."""
        streamed = self.ctx.clock.monotonic() - source.started_at
        last = progress.last_event_at
        since_first = last - source.started_at if last is not None else 0.0
        if connection_broke(found) and since_first >= BLAMELESS_STREAM_SECONDS:
            self.blocklist.record_lost_stream(req)
        self.record_loss(req, source.state, found, streamed)

    def record_loss(
        self, req: RelayRequest, state: EndpointState, found: Failure, streamed: float | None = None
    ) -> None:
        """Record a lost send against the endpoint, unless the caller or the deadline ended it.

        ``streamed`` is the seconds since the endpoint's first event, None without one.
        """
        now = self.ctx.clock.monotonic()
        if state.is_host:
            self._forwarder.record_lost(req, state.key, found)
            return
        if found.kind is Kind.ENDPOINT_REFUSED:
            state.health.record_error(now)
        elif found.kind is Kind.ENDPOINT_LACKS and req.head.inference is not None:
            state.record_missing(req.head.inference, now)
        elif found.kind is Kind.ENDPOINT_LACKS:
            # A plain service has no items to miss: another service now runs at its address.
            state.health.record_unreachable(now)
        elif found.kind is Kind.ENDPOINT_UNREACHABLE:
            state.health.record_unreachable(now)
            self.on_unreachable(state.key)
        elif found.kind in RETRY_KINDS:
            state.health.record_loss(now)
        just_begun = streamed is None or streamed < BLAMELESS_STREAM_SECONDS
        if found.kind in LOST_KINDS:
            self.on_lost(state.key)
        if connection_broke(found):
            begun = "nothing" if streamed is None else "start" if just_begun else "stream"
            self.ctx.metrics.broken_answers.labels(begun).inc()
            if just_begun:
                self.blocklist.record_end(req, state.start)
        self.ctx.timeline.add(
            "send_lost",
            found.answer.level,
            request=req.id,
            endpoint=state.key,
            detail=f"{found.kind}: {found.reason}{describe_broken(req, found, streamed)}",
        )


def begins_stream(req: RelayRequest, sent: PendingAnswer) -> bool:
    """Return whether the body of an answer is a stream of events."""
    return sent.head.status in SUCCESS and req.route.streams


def is_answer(found: CompleteAnswer | StreamSource | Failure) -> bool:
    """Return whether a result is an answer for the caller, not a failure of an endpoint."""
    return isinstance(found, StreamSource) or (not failed(found) and not found.is_server_error)


def first_event_timeout(predicted: float) -> float:
    """Return the seconds without an event after which an endpoint counts as silent."""
    return FIRST_EVENT_TIMEOUT_SECONDS + FIRST_EVENT_TIMEOUT_FACTOR * predicted


def has_arrived(found: CompleteAnswer | StreamSource | Failure) -> bool:
    """Return whether a send with this result may have reached an endpoint."""
    return not failed(found) or found.kind not in NOT_SENT_KINDS


def bind_software(progress: Progress, found: StreamSource) -> None:
    """Bind a request to the software version of the events that its caller gets first.

    What two versions write doesn't fit together, and endpoints don't check it. Another send of the
    request may have had events too.
    """
    if progress.software is not None:
        return
    progress.software = UNKNOWN_SOFTWARE if found.is_of_another_start() else found.software
    if not found.state.is_host:
        progress.origin = Origin(found.state, found.opened.connection)


def describe_start(state: EndpointState) -> str:
    """Return log details of the start of an endpoint that its entry names; none for a host."""
    entry = state.entry
    return "" if state.is_host else f", software {entry.software}, born {entry.started_ms}"


def describe_broken(req: RelayRequest, found: Failure, streamed: float | None) -> str:
    """Return log details of a broken-off answer, to find a request that crashes endpoints.

    The content id is the same in all attempts at one request, and a prompt part in all requests
    that hold it. A request that crashes its endpoint as it starts to run has no event yet; others
    on that endpoint have streamed for a while.
    """
    if not connection_broke(found):
        return ""
    since = "no event" if streamed is None else f"streamed for {streamed:.3f} s"
    return f", content {req.content_id}, {since}, parts {' '.join(req.part_ids)}"


def choose_priority(req: RelayRequest) -> int:
    """Return the engine's priority of a request, 0 to 9, by its rank, then its route's target."""
    slow = req.route.target > 1.0
    return min(9, 2 + 2 * req.rank + slow)
