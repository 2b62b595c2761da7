"""Proxying of calls to plain services, with retries only where the manifest allows them."""

import asyncio
from collections.abc import Coroutine, Mapping
from typing import Any

from peridotdock.clients.endpoint import Call, HttpEndpoints, read_all
from peridotdock.context import Context
from peridotdock.errors import Failure, Kind, failed
from peridotdock.fleet import EndpointState, Fleet
from peridotdock.requests import (
    RETRY_KINDS,
    CallerConnection,
    Loss,
    Reply,
    RequestState,
    ServiceRequest,
    loss_failure,
    mark_maybe_ran,
)
from peridotdock.retries import MAX_SENDS, RetryBudget
from peridotdock.routing import find_retry_delay
from peridotdock.streams import CHECK_INTERVAL_SECONDS

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

# Minimum retry delay for a caller when no endpoint of a service takes a call.
RETRY_SECONDS = 1.0
# Headers of an answer that this host's own HTTP server sets.
SERVER_HEADERS = HOP_HEADERS | {"content-type", "date", "server"}


class ServiceCaller:
    """Sends calls to plain services on behalf of callers."""

    def __init__(self, ctx: Context, fleet: Fleet, endpoints: HttpEndpoints, budget: RetryBudget):
        self._ctx = ctx
        self._fleet = fleet
        self._endpoints = endpoints
        self._budget = budget
        self.services: dict[str, frozenset[str]] = {}

    async def run(self, req: ServiceRequest, caller: CallerConnection) -> Reply | Failure:
        """Send a call to a plain service; retry one that may have run only if it is repeatable."""
        maybe_ran = False
        tried: set[str] = set()
        outcome: Reply | Failure = self._no_endpoint(req)
        for attempt in range(MAX_SENDS):
            state = self._choose_endpoint(req, tried)
            if state is None:
                break
            if attempt == 0:
                self._budget.deposit()
            elif not self._budget.take():
                break
            tried.add(state.name)
            self._ctx.metrics.sends.labels(str(attempt + 1)).inc()
            outcome = await self._call_once(req, state, caller)
            if not failed(outcome):
                state.record_success()
                return outcome
            maybe_ran = maybe_ran or outcome.may_have_run
            now = self._ctx.clock.monotonic()
            if outcome.kind is Kind.ENDPOINT_REFUSED:
                state.record_rejection(outcome, now)
            else:
                state.record_failure(now)
            if outcome.kind not in RETRY_KINDS or not (req.repeatable or not maybe_ran):
                break
        return mark_maybe_ran(outcome, maybe_ran) if failed(outcome) else outcome

    def _service_endpoints(self, req: ServiceRequest) -> list[EndpointState]:
        """Return the endpoints of the call's service."""
        names = self.services.get(req.service, ())
        return [state for state in self._fleet.states.values() if state.name in names]

    def _no_endpoint(self, req: ServiceRequest) -> Failure:
        """Return the failure for a call that no endpoint takes."""
        now = self._ctx.clock.monotonic()
        retry = find_retry_delay(self._service_endpoints(req), now, RETRY_SECONDS)
        return Failure(Kind.NO_ENDPOINT, req.service, retry)

    def _choose_endpoint(self, req: ServiceRequest, tried: set[str]) -> EndpointState | None:
        now = self._ctx.clock.monotonic()
        states = self._service_endpoints(req)
        states = [s for s in states if s.name not in tried]
        states = [s for s in states if not s.leaving and s.backoff_until <= now]
        ready = [s for s in states if s.excluded_until <= now and not s.down] or states
        return min(ready, key=lambda s: (len(s.own_requests), self._ctx.rng.random()), default=None)

    async def _call_once(
        self, req: ServiceRequest, state: EndpointState, caller: CallerConnection
    ) -> Reply | Failure:
        headers = {k: v for k, v in req.headers.items() if k.lower() not in HOP_HEADERS}
        headers["x-request-id"] = req.request_id
        call = Call(req.method, req.path, headers, req.body, at_most_once=not req.repeatable)
        state.record_sent(req.request_id, self._ctx.clock.monotonic(), 0)
        whole = False
        try:
            reply = await self._wait_for_reply(self._exchange(state, call, req), req, caller)
            whole = not failed(reply)
            return reply
        finally:
            state.record_finished(req.request_id, self._ctx.clock.monotonic(), whole)

    async def _exchange(
        self, state: EndpointState, call: Call, req: ServiceRequest
    ) -> Reply | Failure:
        opened = await self._endpoints.open(state.url, call)
        if failed(opened):
            return opened
        try:
            if opened.headers.get("x-request-id", req.request_id) != req.request_id:
                return Failure(Kind.WRONG_ANSWER, "answer of another request")
            body = await read_all(opened)
        finally:
            await opened.release()
        if failed(body):
            return body
        content_type = opened.headers.get("content-type", "application/octet-stream")
        return Reply(opened.status, filter_headers(opened.headers), body, content_type)

    async def _wait_for_reply(
        self,
        work: Coroutine[Any, Any, Reply | Failure],
        req: ServiceRequest,
        caller: CallerConnection,
    ) -> Reply | Failure:
        """Wait until the deadline; a plain service offers no probe of a call's progress."""
        task = asyncio.ensure_future(work)
        try:
            while True:
                left = req.deadline - self._ctx.clock.monotonic()
                await asyncio.wait({task}, timeout=max(0.0, min(CHECK_INTERVAL_SECONDS, left)))
                if task.done():
                    return task.result()
                if left <= 0:
                    return loss_failure(RequestState.SENT, Loss.DEADLINE)
                if caller.is_disconnected():
                    return loss_failure(RequestState.SENT, Loss.CALLER_GONE)
        finally:
            if not task.done():
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)


def filter_headers(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    """Return the headers of an answer that are forwarded to the caller."""
    return tuple((k, v) for k, v in headers.items() if k.lower() not in SERVER_HEADERS)
