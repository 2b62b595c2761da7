"""Dispatch of requests for models: choose an endpoint, send, monitor, and retry where safe."""

import asyncio
import json
from collections.abc import AsyncIterator, Coroutine, Mapping
from dataclasses import dataclass, replace
from typing import Any

from peridotdock.attempts import Attempt, Attempts
from peridotdock.blocklist import Blocklist
from peridotdock.clients.endpoint import Call, HttpEndpoints, OpenResponse, read_all
from peridotdock.context import Context
from peridotdock.demand import Demand
from peridotdock.errors import Failure, Kind, failed
from peridotdock.fleet import EndpointState, Fleet
from peridotdock.requests import (
    RETRY_KINDS,
    CallerConnection,
    Loss,
    ModelRequest,
    Reply,
    RequestState,
    connection_broke,
    loss_failure,
    mark_maybe_ran,
)
from peridotdock.retries import MAX_SENDS, RetryBudget
from peridotdock.routing import ROUTING_DECISIONS, Choice, admit, choose
from peridotdock.searches import EngineEnded, Finding, Search, classify, discard
from peridotdock.streams import CHECK_INTERVAL_SECONDS, FrameUsage, StreamRelay, read_head

EVENT_STREAM = "text/event-stream"


@dataclass(frozen=True)
class WholeAnswer:
    """An answer that was read to its end, or the failure of its head or body."""

    status: int
    headers: Mapping[str, str]
    body: bytes | Failure


class Dispatcher:
    """Sends callers' requests for models to endpoints."""

    def __init__(self, ctx: Context, fleet: Fleet, endpoints: HttpEndpoints, blocklist: Blocklist):
        self._ctx = ctx
        self._blocklist = blocklist
        self._fleet = fleet
        self._endpoints = endpoints
        self._decisions = ROUTING_DECISIONS - ctx.disabled_decisions
        self.budget = RetryBudget()
        self.demand = Demand()

    async def run(self, req: ModelRequest, caller: CallerConnection) -> Reply | Failure:
        """Run a request for a model or adapter on one endpoint after another until one answers.

        It is sent again only while its deadline, the retry budget and the block list allow it, and
        after a send that may have run only when it may run twice.
        """
        key = self._fleet.find_servable(req.profile.item)
        if key != req.profile.item:
            req = replace(req, profile=replace(req.profile, item=key))
        self._count_demand(req)
        refusal = await self._blocklist.admit(req)
        if refusal is not None:
            return refusal
        outcome = await self._run_admitted(req, caller)
        if failed(outcome):
            self._blocklist.trials.drop(req)
        return outcome

    async def _run_admitted(self, req: ModelRequest, caller: CallerConnection) -> Reply | Failure:
        attempts = Attempts(
            lambda attempt: self._attempt(replace(req, send=attempt.number), attempt, caller),
            lambda choice, outcome: self._on_attempt_failed(req, choice, outcome),
            lambda choice: self._on_attempt_silent(req, choice),
        )
        try:
            return await self._send_until_answered(req, attempts)
        finally:
            await attempts.close()

    async def _send_until_answered(self, req: ModelRequest, attempts: Attempts) -> Reply | Failure:
        for number in range(MAX_SENDS):
            choice = self._choose(req, attempts, first=number == 0)
            if number == 0:
                if failed(choice):
                    return choice
                self.budget.deposit()
            elif failed(choice) or not self.budget.take():
                break
            self._ctx.metrics.sends.labels(str(number + 1)).inc()
            attempts.start(choice)
            outcome = await attempts.wait()
            if not failed(outcome):
                return outcome
            if not self._may_retry(req, outcome, attempts.maybe_ran):
                break
        outcome = await attempts.wait_for_all()
        return mark_maybe_ran(outcome, attempts.maybe_ran) if failed(outcome) else outcome

    def _on_attempt_failed(self, req: ModelRequest, choice: Choice, outcome: Failure) -> None:
        if connection_broke(outcome):
            self._blocklist.record_end(req, choice.state.start)
        self._record_failure(req, choice.state, outcome)

    def _on_attempt_silent(self, req: ModelRequest, choice: Choice) -> None:
        """Send to other endpoints while one does not answer its probes."""
        choice.state.record_failure(self._ctx.clock.monotonic())
        self._ctx.timeline.add(
            "attempt_silent",
            "WARNING",
            request=req.request_id,
            endpoint=choice.state.name,
            item=req.profile.item,
        )

    def _count_demand(self, req: ModelRequest) -> None:
        holders = self._fleet.holders(req.profile.item)
        load = holders[0].load if holders else None
        rate = load.prefill_rate if load else 10_000.0
        mean = min((state.mean_seconds for state in holders), default=0.3)
        limit = load.batch_limit if load else 8
        work = req.profile.tokens / max(1.0, rate) + mean / max(1, limit)
        self.demand.add(req.profile.item, work, self._ctx.clock.monotonic())

    def _choose(self, req: ModelRequest, attempts: Attempts, first: bool) -> Choice | Failure:
        now = self._ctx.clock.monotonic()
        if now >= req.deadline:
            return loss_failure(RequestState.ADMITTED, Loss.DEADLINE)
        refusal = self._blocklist.refusal(req)
        if refusal is not None:
            return refusal
        holders = self._fleet.holders(req.profile.item)
        holders = [state for state in holders if not attempts.is_open_on(state.name)]
        fresh = [state for state in holders if state.name not in attempts.tried] or holders
        choice = choose(fresh, req.profile, now, self._ctx.rng, self._decisions)
        if failed(choice):
            return choice
        if first and self._ctx.decision_enabled("admission"):
            refusal = admit(choice, req.profile)
            if refusal is not None:
                return refusal
        return choice

    def _may_retry(self, req: ModelRequest, outcome: Failure, maybe_ran: bool) -> bool:
        if not self._ctx.decision_enabled("retries") or outcome.kind not in RETRY_KINDS:
            return False
        return req.repeatable or not maybe_ran

    def _record_failure(self, req: ModelRequest, state: EndpointState, outcome: Failure) -> None:
        now = self._ctx.clock.monotonic()
        if outcome.kind is Kind.ENDPOINT_REFUSED:
            state.record_rejection(outcome, now)
        elif outcome.kind in RETRY_KINDS:
            state.record_failure(now)
        self._ctx.timeline.add(
            "attempt_failed",
            outcome.answer.level,
            request=req.request_id,
            endpoint=state.name,
            item=req.profile.item,
            detail=f"{outcome.kind}: {outcome.reason}",
        )

    async def _attempt(
        self, req: ModelRequest, attempt: Attempt, caller: CallerConnection
    ) -> Reply | Failure:
        choice = attempt.choice
        state = choice.state
        now = self._ctx.clock.monotonic()
        state.record_sent(req.request_id, now, req.profile.tokens - choice.cached)
        state.add_cached_blocks(req.profile.blocks, now)
        relay = StreamRelay(self._ctx, self._endpoints, state, req, caller, attempt.record_probe)
        body_returned = False
        try:
            opened = await self._open(req, attempt, caller)
            if failed(opened):
                if opened.may_have_run:
                    self._endpoints.cancel(state.url, req.send_id)
                return opened
            if isinstance(opened, WholeAnswer):
                return self._check_whole(req, choice, opened)
            if opened.headers.get("x-request-id", req.send_id) != req.send_id:
                await opened.release()
                return Failure(Kind.WRONG_ANSWER, "head of another request")
            relay.attach(opened)
            frames = relay.frames()
            first = await anext(frames)
            if failed(first):
                return first
            self._record_first_token(req, choice, now)
            body = self._relay_frames(req, choice, relay, first, frames)
            body_returned = True
            return Reply(200, (("x-request-id", req.request_id),), body, EVENT_STREAM)
        except asyncio.CancelledError:
            self._endpoints.cancel(state.url, req.send_id)
            raise
        finally:
            if not body_returned:
                state.record_finished(req.request_id, self._ctx.clock.monotonic(), False)
                await relay.release()

    async def _open(
        self, req: ModelRequest, attempt: Attempt, caller: CallerConnection
    ) -> OpenResponse | WholeAnswer | Failure:
        headers = {
            "content-type": "application/json",
            "x-request-id": req.send_id,
            "x-item": req.profile.item,
            "x-priority": str(req.profile.priority),
            "traceparent": req.traceparent,
        }
        call = Call("POST", req.path, headers, req.body, at_most_once=not req.repeatable)
        url = attempt.choice.state.url
        search = Search(self._endpoints, url, req, attempt.record_probe)
        return await self._wait_for_answer(self._send(req, url, call), search, req, caller)

    async def _wait_for_answer(
        self,
        work: Coroutine[Any, Any, OpenResponse | WholeAnswer | Failure],
        search: Search,
        req: ModelRequest,
        caller: CallerConnection,
    ) -> OpenResponse | WholeAnswer | Failure:
        """Wait for ``work``, at most until the deadline, a disconnect or the loss of the endpoint.

        Failures guarded against: the connection is silent for good although it is open; a sound
        engine is silent for longer than a probe may take; and a probe overtakes the request. After
        ``silence_seconds`` the engine is asked for the request over a new connection, while the
        wait goes on. The wait ends when two probes in a row find the request unknown, or when the
        engine sends over a new connection an answer that two probes in a row found finished.
        """
        clock = self._ctx.clock
        task = asyncio.ensure_future(work)
        query: asyncio.Future[OpenResponse | WholeAnswer | Finding | Failure] | None = None
        probe_at = clock.monotonic() + self._ctx.cfg.silence_seconds
        last = Finding.UNANSWERED
        try:
            while True:
                now = clock.monotonic()
                if now >= req.deadline:
                    return loss_failure(RequestState.SENT, Loss.DEADLINE)
                if caller.is_disconnected():
                    return loss_failure(RequestState.SENT, Loss.CALLER_GONE)
                if query is None and now >= probe_at:
                    query = asyncio.ensure_future(self._find_answer(search, req, last))
                await asyncio.wait(
                    {task} if query is None else {task, query},
                    timeout=min(CHECK_INTERVAL_SECONDS, req.deadline - now),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if task.done():
                    answered, task = task, None
                    return answered.result()
                if query is None or not query.done():
                    continue
                found, query = query.result(), None
                if not isinstance(found, Finding):
                    return found
                last = found
                probe_at = clock.monotonic() + self._ctx.cfg.silence_seconds
        finally:
            for unused in (task, query):
                if unused is not None:
                    await discard(unused)

    async def _find_answer(
        self, search: Search, req: ModelRequest, last: Finding
    ) -> OpenResponse | WholeAnswer | Finding | Failure:
        """Ask the engine how far a request is; act on a finding that is the same as the ``last``.

        Return the answer if the engine has finished it, and a failure if it lost the request. A
        probe without an answer leaves the last finding as it is.
        """
        lost = loss_failure(RequestState.SENT, Loss.SILENCE)
        try:
            found = classify(await search.probe())
            if found is Finding.UNANSWERED:
                return last
            if found is not last or found is Finding.RUNNING:
                return found
            self._endpoints.renew_connections(search.url)
            if found is Finding.UNKNOWN:
                return lost
            opened = await search.open("offset=0" if req.stream else "whole=1")
            if opened is None:
                return found
            answer = await self._read_unless_stream(req, opened)
            unread = isinstance(answer, WholeAnswer) and failed(answer.body)
            return found if unread else answer
        except EngineEnded:
            self._endpoints.renew_connections(search.url)
            return lost

    async def _send(
        self, req: ModelRequest, url: str, call: Call
    ) -> OpenResponse | WholeAnswer | Failure:
        opened = await self._endpoints.open(url, call)
        return opened if failed(opened) else await self._read_unless_stream(req, opened)

    async def _read_unless_stream(
        self, req: ModelRequest, opened: OpenResponse
    ) -> OpenResponse | WholeAnswer:
        if req.stream and opened.status == 200:
            return opened
        try:
            body = find_fault(req, opened) or await read_all(opened)
        finally:
            await opened.release()
        return WholeAnswer(opened.status, opened.headers, body)

    def _check_whole(
        self, req: ModelRequest, choice: Choice, answer: WholeAnswer
    ) -> Reply | Failure:
        state = choice.state
        body = answer.body
        if failed(body):
            return body
        if answer.status == 200:
            checked = read_head(body, req.send_id)
            if failed(checked):
                return checked
            self._record_cache_hits(req, choice, checked.usage)
        now = self._ctx.clock.monotonic()
        state.record_success()
        state.record_finished(req.request_id, now, whole=True)
        if answer.status == 200:
            self._blocklist.record_answer(req)
        content_type = answer.headers.get("content-type", "application/json")
        head = (("x-request-id", req.request_id), ("x-endpoint", state.name))
        return Reply(answer.status, head, body, content_type)

    def _record_cache_hits(
        self, req: ModelRequest, choice: Choice, usage: FrameUsage | None
    ) -> None:
        """Compare the expected number of cached tokens with the number that the engine reports."""
        if usage is not None and req.profile.blocks:
            choice.state.learn_from_hits(choice.cached, usage.prompt_tokens_details.cached_tokens)

    def _record_first_token(self, req: ModelRequest, choice: Choice, began: float) -> None:
        choice.state.record_first_token(req.request_id)
        choice.state.record_success()
        seconds = self._ctx.clock.monotonic() - began
        label = self._ctx.metrics.item_label(req.profile.item)
        self._ctx.metrics.first_token.labels(label).observe(seconds)

    async def _relay_frames(
        self,
        req: ModelRequest,
        choice: Choice,
        relay: StreamRelay,
        first: bytes,
        frames: AsyncIterator[bytes | Failure],
    ) -> AsyncIterator[bytes]:
        """Yield the frames to the caller; the last is the engine's own or an error frame."""
        state = choice.state
        outcome: Failure | None = None
        count = 0
        try:
            yield first
            async for frame in frames:
                if failed(frame):
                    outcome = frame
                    self._record_failure(req, state, frame)
                    yield encode_error_frame(frame, req.request_id)
                    break
                count += 1
                yield frame
        finally:
            self._ctx.metrics.tokens.inc(count)
            state.record_finished(req.request_id, self._ctx.clock.monotonic(), relay.whole)
            if relay.whole:
                self._blocklist.record_answer(req)
            self._record_cache_hits(req, choice, relay.usage)
            self._ctx.timeline.add(
                "stream_ended",
                "DEBUG",
                request=req.request_id,
                endpoint=state.name,
                detail=str(outcome.kind) if outcome else "whole" if relay.whole else "left",
            )
            await relay.release()


def find_fault(req: ModelRequest, opened: OpenResponse) -> Failure | None:
    """Return the failure of an answer whose head is wrong."""
    if opened.status >= 500:
        return Failure(Kind.ENDPOINT_ERROR, f"status {opened.status}")
    if opened.headers.get("x-request-id", req.send_id) != req.send_id:
        return Failure(Kind.WRONG_ANSWER, "head of another request")
    return None


def encode_error_frame(failure: Failure, request_id: str) -> bytes:
    """Return the frame that reports a failure to the caller of a stream."""
    return b"data: " + json.dumps(failure.describe(request_id)).encode() + b"\n\n"
