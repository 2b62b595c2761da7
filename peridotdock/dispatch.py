"""Requests for models: choose an endpoint, send, watch, retry where that is safe and affordable."""

import asyncio
import json
from collections.abc import AsyncIterator, Coroutine
from dataclasses import replace
from typing import Any, TypeVar

from peridotdock.blocklist import Blocklist
from peridotdock.clients.endpoint import Call, HttpEndpoints, Opened, read_all
from peridotdock.context import Context
from peridotdock.demand import Demand
from peridotdock.errors import Failure, Kind, failed
from peridotdock.fleet import EndpointState, Fleet
from peridotdock.requests import (
    RETRY_KINDS,
    Ask,
    Caller,
    Loss,
    Reply,
    State,
    admit_maybe,
    broke_off,
    lose,
)
from peridotdock.retries import MAX_SENDS, RetryBudget
from peridotdock.routing import EVERY_DECISION, Choice, admit, choose
from peridotdock.streams import SLICE_SECONDS, FrameUsage, Relay, read_head

EVENT_STREAM = "text/event-stream"
TAKE_UP_SECONDS = 2.0
READY = "the answer stands ready on the engine"
T = TypeVar("T")


class Dispatcher:
    """Sends requests to endpoints on behalf of callers."""

    def __init__(self, ctx: Context, fleet: Fleet, endpoints: HttpEndpoints, blocklist: Blocklist):
        self._ctx = ctx
        self._blocklist = blocklist
        self._fleet = fleet
        self._endpoints = endpoints
        self._using = EVERY_DECISION - ctx.off
        self.budget = RetryBudget()
        self.demand = Demand()

    async def run(self, ask: Ask, caller: Caller) -> Reply | Failure:
        """Answer a request for a model or adapter, or say why not."""
        key = self._fleet.find_servable(ask.wish.item)
        if key != ask.wish.item:
            ask = replace(ask, wish=replace(ask.wish, item=key))
        self._count_demand(ask)
        maybe = False
        tried: set[str] = set()
        outcome: Reply | Failure = Failure(Kind.NO_ENDPOINT)
        for attempt in range(MAX_SENDS):
            choice = self._choose(ask, tried, first=attempt == 0)
            if failed(choice):
                return admit_maybe(choice if attempt == 0 else outcome, maybe)
            if attempt == 0:
                self.budget.deposit()
            elif not self.budget.take():
                return admit_maybe(outcome, maybe)
            tried.add(choice.state.name)
            self._ctx.metrics.sends.labels(str(attempt + 1)).inc()
            outcome = await self._attempt(ask, choice, caller)
            if not failed(outcome):
                return outcome
            maybe = maybe or outcome.may_have_run
            if broke_off(outcome):
                self._blocklist.note_end(ask, choice.state.start)
            self._note_loss(ask, choice.state, outcome)
            if not self._may_retry(ask, outcome, maybe):
                break
        return admit_maybe(outcome, maybe)

    def _count_demand(self, ask: Ask) -> None:
        holders = self._fleet.holders(ask.wish.item)
        load = holders[0].load if holders else None
        rate = load.prefill_rate if load else 10_000.0
        mean = min((state.mean_seconds for state in holders), default=0.3)
        limit = load.batch_limit if load else 8
        work = ask.wish.tokens / max(1.0, rate) + mean / max(1, limit)
        self.demand.add(ask.wish.item, work, self._ctx.clock.monotonic())

    def _choose(self, ask: Ask, tried: set[str], first: bool) -> Choice | Failure:
        now = self._ctx.clock.monotonic()
        if now >= ask.deadline:
            return lose(State.ADMITTED, Loss.DEADLINE)
        refusal = self._blocklist.refusal(ask)
        if refusal is not None:
            return refusal
        holders = self._fleet.holders(ask.wish.item)
        fresh = [state for state in holders if state.name not in tried] or holders
        choice = choose(fresh, ask.wish, now, self._ctx.rng, self._using)
        if failed(choice):
            return choice
        if first and self._ctx.allows("admission"):
            refusal = admit(choice, ask.wish)
            if refusal is not None:
                return refusal
        return choice

    def _may_retry(self, ask: Ask, outcome: Failure, maybe: bool) -> bool:
        if not self._ctx.allows("retries") or outcome.kind not in RETRY_KINDS:
            return False
        return ask.repeatable or not maybe

    def _note_loss(self, ask: Ask, state: EndpointState, outcome: Failure) -> None:
        now = self._ctx.clock.monotonic()
        if outcome.kind is Kind.ENDPOINT_REFUSED:
            state.note_rejection(outcome, now)
        elif outcome.kind in RETRY_KINDS:
            state.note_failure(now)
        self._ctx.timeline.add(
            "attempt_failed",
            outcome.answer.level,
            request=ask.request_id,
            endpoint=state.name,
            item=ask.wish.item,
            detail=f"{outcome.kind}: {outcome.reason}",
        )

    async def _attempt(self, ask: Ask, choice: Choice, caller: Caller) -> Reply | Failure:
        state = choice.state
        now = self._ctx.clock.monotonic()
        state.note_sent(ask.request_id, now, ask.wish.tokens - choice.cached)
        state.add_cached_blocks(ask.wish.blocks, now)
        relay = Relay(self._ctx, self._endpoints, state, ask, caller)
        handed_on = False
        try:
            opened = await self._open(ask, state, caller)
            if failed(opened):
                if opened.may_have_run:
                    self._endpoints.cancel(state.url, ask.request_id)
                return opened
            if opened.status != 200 or not ask.stream:
                return await self._read_whole(ask, choice, opened)
            if opened.headers.get("x-request-id", ask.request_id) != ask.request_id:
                await opened.release()
                return Failure(Kind.WRONG_ANSWER, "head of another request")
            relay.attach(opened)
            frames = relay.frames()
            first = await anext(frames)
            if failed(first):
                return first
            self._note_first(ask, choice, now)
            body = self._pass_on(ask, choice, relay, first, frames)
            handed_on = True
            return Reply(200, (("x-request-id", ask.request_id),), body, EVENT_STREAM)
        finally:
            if not handed_on:
                state.note_finished(ask.request_id, self._ctx.clock.monotonic(), False)
                await relay.release()

    async def _open(self, ask: Ask, state: EndpointState, caller: Caller) -> Opened | Failure:
        headers = {
            "content-type": "application/json",
            "x-request-id": ask.request_id,
            "x-item": ask.wish.item,
            "x-priority": str(ask.wish.priority),
            "traceparent": ask.traceparent,
        }
        call = Call("POST", ask.path, headers, ask.body, once=not ask.repeatable)
        work = self._endpoints.open(state.url, call)
        outcome = await self._watch(work, ask.request_id, state, ask.deadline, caller)
        if failed(outcome) and outcome.reason == READY:
            return await self._take_up(ask, state, outcome)
        return outcome

    async def _take_up(self, ask: Ask, state: EndpointState, lost: Failure) -> Opened | Failure:
        """Fetch an answer that stands ready on the engine, over a new connection."""
        part = "offset=0" if ask.stream else "whole=1"
        path = f"/v1/streams/{ask.request_id}?{part}&form={ask.form}"
        try:
            async with asyncio.timeout(TAKE_UP_SECONDS):
                opened = await self._endpoints.open(state.url, Call("GET", path, {}, b"", False))
        except TimeoutError:
            return lost
        if failed(opened):
            return lost
        if opened.status != 200:
            await opened.release()
            return lost
        return opened

    async def _watch(
        self,
        work: Coroutine[Any, Any, T | Failure],
        request_id: str,
        state: EndpointState,
        deadline: float,
        caller: Caller,
    ) -> T | Failure:
        """Wait for ``work`` while looking out for deadline, caller and a lost endpoint.

        Failure guarded against: the connection has gone silent for good. After the silence
        allowed, a fresh connection asks whether the engine knows the request; when it does not,
        or does not answer, or was done already a period before, the wait is over.
        """
        clock = self._ctx.clock
        task = asyncio.ensure_future(work)
        probe_at = clock.monotonic() + self._ctx.cfg.silence_seconds
        was_done = False
        try:
            while True:
                now = clock.monotonic()
                wait = max(0.0, min(SLICE_SECONDS, deadline - now))
                await asyncio.wait({task}, timeout=wait)
                if task.done():
                    return task.result()
                now = clock.monotonic()
                if now >= deadline:
                    return lose(State.SENT, Loss.DEADLINE)
                if caller.gone():
                    return lose(State.SENT, Loss.CALLER_GONE)
                if now < probe_at:
                    continue
                found = await self._endpoints.probe(state.url, request_id)
                if failed(found) or found is None or was_done:
                    self._endpoints.suspect(state.url)
                    ready = was_done and not failed(found) and found is not None
                    return lose(State.SENT, Loss.SILENCE, READY if ready else "")
                was_done = found.done
                probe_at = clock.monotonic() + self._ctx.cfg.silence_seconds
        finally:
            if not task.done():
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    async def _read_whole(self, ask: Ask, choice: Choice, opened: Opened) -> Reply | Failure:
        state = choice.state
        if opened.status >= 500:
            await opened.release()
            return Failure(Kind.ENDPOINT_ERROR, f"status {opened.status}")
        if opened.headers.get("x-request-id", ask.request_id) != ask.request_id:
            await opened.release()
            return Failure(Kind.WRONG_ANSWER, "head of another request")
        try:
            body = await read_all(opened)
        finally:
            await opened.release()
        if failed(body):
            return body
        if opened.status == 200:
            checked = read_head(body, ask.request_id)
            if failed(checked):
                return checked
            self._learn(ask, choice, checked.usage)
        now = self._ctx.clock.monotonic()
        state.note_success()
        state.note_finished(ask.request_id, now, whole=True)
        if opened.status == 200:
            self._blocklist.note_answer(ask)
        content_type = opened.headers.get("content-type", "application/json")
        head = (("x-request-id", ask.request_id), ("x-endpoint", state.name))
        return Reply(opened.status, head, body, content_type)

    def _learn(self, ask: Ask, choice: Choice, usage: FrameUsage | None) -> None:
        """Compare what was thought to be cached with what the request found cached."""
        if usage is not None and ask.wish.blocks:
            choice.state.learn_from_hits(choice.cached, usage.prompt_tokens_details.cached_tokens)

    def _note_first(self, ask: Ask, choice: Choice, began: float) -> None:
        choice.state.note_first_token(ask.request_id)
        choice.state.note_success()
        seconds = self._ctx.clock.monotonic() - began
        label = self._ctx.metrics.item_label(ask.wish.item)
        self._ctx.metrics.first_token.labels(label).observe(seconds)

    async def _pass_on(
        self,
        ask: Ask,
        choice: Choice,
        relay: Relay,
        first: bytes,
        frames: AsyncIterator[bytes | Failure],
    ) -> AsyncIterator[bytes]:
        """Give the caller the frames; the end is either the engine's or an error frame."""
        state = choice.state
        outcome: Failure | None = None
        count = 0
        try:
            yield first
            async for frame in frames:
                if failed(frame):
                    outcome = frame
                    self._note_loss(ask, state, frame)
                    yield write_error(frame, ask.request_id)
                    break
                count += 1
                yield frame
        finally:
            self._ctx.metrics.tokens.inc(count)
            state.note_finished(ask.request_id, self._ctx.clock.monotonic(), relay.whole)
            if relay.whole:
                self._blocklist.note_answer(ask)
            self._learn(ask, choice, relay.usage)
            self._ctx.timeline.add(
                "stream_ended",
                "DEBUG",
                request=ask.request_id,
                endpoint=state.name,
                detail=str(outcome.kind) if outcome else "whole" if relay.whole else "left",
            )
            await relay.release()


def write_error(failure: Failure, request_id: str) -> bytes:
    """Return the frame that tells a caller that its answer is cut."""
    return b"data: " + json.dumps(failure.describe(request_id)).encode() + b"\n\n"
