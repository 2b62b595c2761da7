"""Calls to plain services: carried whole, and sent again only where the manifest allows it."""

import asyncio
from collections.abc import Coroutine, Mapping
from typing import Any

from peridotdock.clients.endpoint import Call, HttpEndpoints, read_all
from peridotdock.context import Context
from peridotdock.errors import Failure, Kind, failed
from peridotdock.fleet import EndpointState, Fleet
from peridotdock.requests import (
    RETRY_KINDS,
    Caller,
    Loss,
    Reply,
    ServiceAsk,
    State,
    admit_maybe,
    lose,
)
from peridotdock.retries import MAX_SENDS, RetryBudget
from peridotdock.routing import find_retry
from peridotdock.streams import SLICE_SECONDS

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "host",
        "content-length",
        "authorization",
        "proxy-authorization",
        "expect",
        "x-peridotdock-forwarded",
    }
)

# Seconds until a caller may come back when no endpoint of a service takes a call.
RETRY_SECONDS = 1.0
# The server that answers the caller writes these itself.
OWN_HEADERS = HOP_HEADERS | {"content-type", "date", "server"}


class ServiceCaller:
    """Carries calls to plain services."""

    def __init__(self, ctx: Context, fleet: Fleet, endpoints: HttpEndpoints, budget: RetryBudget):
        self._ctx = ctx
        self._fleet = fleet
        self._endpoints = endpoints
        self._budget = budget
        self.services: dict[str, frozenset[str]] = {}

    async def run(self, ask: ServiceAsk, caller: Caller) -> Reply | Failure:
        """Carry a call to a plain service; only one that may be repeated is sent again."""
        maybe = False
        tried: set[str] = set()
        outcome: Reply | Failure = self._refuse(ask)
        for attempt in range(MAX_SENDS):
            state = self._choose_service(ask, tried)
            if state is None:
                break
            if attempt == 0:
                self._budget.deposit()
            elif not self._budget.take():
                break
            tried.add(state.name)
            self._ctx.metrics.sends.labels(str(attempt + 1)).inc()
            outcome = await self._call_once(ask, state, caller)
            if not failed(outcome):
                state.note_success()
                return outcome
            maybe = maybe or outcome.may_have_run
            now = self._ctx.clock.monotonic()
            if outcome.kind is Kind.ENDPOINT_REFUSED:
                state.note_rejection(outcome, now)
            else:
                state.note_failure(now)
            if outcome.kind not in RETRY_KINDS or not (ask.repeatable or not maybe):
                break
        return admit_maybe(outcome, maybe) if failed(outcome) else outcome

    def _serving(self, ask: ServiceAsk) -> list[EndpointState]:
        """Return the endpoints of a service."""
        names = self.services.get(ask.service, ())
        return [state for state in self._fleet.states.values() if state.name in names]

    def _refuse(self, ask: ServiceAsk) -> Failure:
        """Return the refusal of a call where no endpoint takes one."""
        now = self._ctx.clock.monotonic()
        retry = find_retry(self._serving(ask), now, RETRY_SECONDS)
        return Failure(Kind.NO_ENDPOINT, ask.service, retry)

    def _choose_service(self, ask: ServiceAsk, tried: set[str]) -> EndpointState | None:
        now = self._ctx.clock.monotonic()
        states = self._serving(ask)
        states = [s for s in states if s.name not in tried]
        states = [s for s in states if not s.leaving and s.backoff_until <= now]
        ready = [s for s in states if s.excluded_until <= now and not s.down] or states
        return min(ready, key=lambda s: (len(s.own_requests), self._ctx.rng.random()), default=None)

    async def _call_once(
        self, ask: ServiceAsk, state: EndpointState, caller: Caller
    ) -> Reply | Failure:
        headers = {k: v for k, v in ask.headers.items() if k.lower() not in HOP_HEADERS}
        headers["x-request-id"] = ask.request_id
        call = Call(ask.method, ask.path, headers, ask.body, once=not ask.repeatable)
        state.note_sent(ask.request_id, self._ctx.clock.monotonic(), 0)
        whole = False
        try:
            reply = await self._wait_service(self._exchange(state, call, ask), ask, caller)
            whole = not failed(reply)
            return reply
        finally:
            state.note_finished(ask.request_id, self._ctx.clock.monotonic(), whole)

    async def _exchange(self, state: EndpointState, call: Call, ask: ServiceAsk) -> Reply | Failure:
        opened = await self._endpoints.open(state.url, call)
        if failed(opened):
            return opened
        try:
            if opened.headers.get("x-request-id", ask.request_id) != ask.request_id:
                return Failure(Kind.WRONG_ANSWER, "answer of another request")
            body = await read_all(opened)
        finally:
            await opened.release()
        if failed(body):
            return body
        content_type = opened.headers.get("content-type", "application/octet-stream")
        return Reply(opened.status, pass_headers(opened.headers), body, content_type)

    async def _wait_service(
        self, work: Coroutine[Any, Any, Reply | Failure], ask: ServiceAsk, caller: Caller
    ) -> Reply | Failure:
        """Wait until the deadline; a plain service cannot be asked how far it is."""
        task = asyncio.ensure_future(work)
        try:
            while True:
                left = ask.deadline - self._ctx.clock.monotonic()
                await asyncio.wait({task}, timeout=max(0.0, min(SLICE_SECONDS, left)))
                if task.done():
                    return task.result()
                if left <= 0:
                    return lose(State.SENT, Loss.DEADLINE)
                if caller.gone():
                    return lose(State.SENT, Loss.CALLER_GONE)
        finally:
            if not task.done():
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)


def pass_headers(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    """Return the headers of an answer that go on to the caller."""
    return tuple((k, v) for k, v in headers.items() if k.lower() not in OWN_HEADERS)
