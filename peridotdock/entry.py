"""The HTTP API for callers: validation, limits, idempotency keys, dispatch and responses."""

import hashlib
import hmac
import uuid
from collections.abc import AsyncIterator
from dataclasses import replace
from functools import partial

from blacksheep import Application, Content, Request, Response

from peridotdock.answers import answer_failure, answer_json, answer_reply
from peridotdock.clients.endpoint import Call, read_all
from peridotdock.discovery import describe_addresses
from peridotdock.errors import Failure, Kind, failed
from peridotdock.host import Host
from peridotdock.keys import Record, fingerprint
from peridotdock.request_parsing import (
    FORM_BY_PATH,
    Headers,
    find_caller,
    list_models,
    make_service_request,
    parse_model_request,
    read_headers,
)
from peridotdock.requests import ModelRequest, Reply, ServiceRequest
from peridotdock.schema.manifest import Caller
from peridotdock.service_calls import HOP_HEADERS, filter_headers
from peridotdock.serving import add_route, read_body

METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD")
SERVICE_PREFIX = "/services/"
FORWARDED_HEADER = "x-peridotdock-forwarded"
MAX_KEPT_STREAM_BYTES = 256 * 1024
STOPPING_RETRY_SECONDS = 0.0
FULL_RETRY_SECONDS = 0.5


class HttpCallerConnection:
    """The connection between a caller and this host."""

    def __init__(self, request: Request):
        self._transport = request.scope["abort"].__self__

    def is_disconnected(self) -> bool:
        """Return whether the caller's connection is closed or closing."""
        return self._transport.is_closing()


class Entry:
    """Handles callers' requests on one host; ``in_flight`` counts those not yet answered."""

    def __init__(self, host: Host):
        self._host = host
        self._ctx = host.ctx
        self._streams: dict[str, int] = {}
        self.in_flight = 0

    def add_routes(self, app: Application) -> None:
        """Register the callers' routes in an application."""
        add = partial(add_route, app)
        add("GET", "/v1/addresses", self.addresses)
        add("GET", "/v1/models", self.models)
        for path in FORM_BY_PATH:
            add("POST", path, self.generate)
        for method in METHODS:
            add(method, SERVICE_PREFIX + "*", self.service)
        add("GET", "/healthz", self.health)
        add("GET", "/readyz", self.readiness)
        add("GET", "/metrics", self.metrics)

    async def health(self, request: Request) -> Response:
        """Report that the process is running."""
        return answer_json({"status": "ok"})

    async def readiness(self, request: Request) -> Response:
        """Report whether this host can serve callers."""
        if self._host.ready():
            return answer_json({"status": "ready"})
        return answer_failure(Failure(Kind.NOT_READY, "", 1.0), "")

    async def metrics(self, request: Request) -> Response:
        """Return the metrics in the Prometheus text format."""
        self._ctx.metrics.in_work.set(self.in_flight)
        return Response(200, None, Content(b"text/plain", self._ctx.metrics.render()))

    def _authenticate(self, request: Request) -> Caller | Failure:
        if self._host.accepted is None:
            return Failure(Kind.NOT_READY, "", 1.0)
        token = (request.get_first_header(b"authorization") or b"").decode("latin-1")
        return find_caller(self._host.accepted, token)

    async def addresses(self, request: Request) -> Response:
        """Return the hosts' addresses, their time to live, and the prefix for idempotency keys."""
        caller = self._authenticate(request)
        if failed(caller):
            return answer_failure(caller, "")
        domain = (request.query.get("domain") or [self._ctx.cfg.domain])[0]
        members = [m for m in self._host.membership.members().values() if m.accepts_work]
        ttl = self._ctx.cfg.address_seconds
        body = describe_addresses(members, domain, ttl, self._ctx.rng)
        return answer_json(body | {"key_prefix": self._host.keys.prefix()})

    async def models(self, request: Request) -> Response:
        """Return the models and adapters that the manifest defines."""
        caller = self._authenticate(request)
        if failed(caller):
            return answer_failure(caller, "")
        return answer_json(list_models(self._host.accepted))

    async def generate(self, request: Request) -> Response:
        """Handle a request for a model or adapter."""
        return await self._serve(request, request.url.path.decode())

    async def service(self, request: Request) -> Response:
        """Handle a call to a plain service."""
        return await self._serve(request, request.url.path.decode())

    async def _serve(self, request: Request, path: str) -> Response:
        caller = self._authenticate(request)
        if failed(caller):
            return self._refuse(caller)
        raw_headers = {k.decode("latin-1").lower(): v.decode("latin-1") for k, v in request.headers}
        headers = read_headers(raw_headers)
        if failed(headers):
            return self._refuse(headers)
        refusal = self._admit_caller(caller, self._was_forwarded(raw_headers))
        if refusal is not None:
            return self._refuse(refusal)
        body_returned = False
        self._begin_request(caller)
        try:
            outcome = await self._handle(request, path, caller, raw_headers, headers)
            if failed(outcome):
                return self._refuse(outcome, keyed=bool(headers.key))
            self._ctx.metrics.requests.labels("answered").inc()
            if not isinstance(outcome.body, bytes):
                outcome = replace(outcome, body=self._count_until_end(caller, outcome.body))
                body_returned = True
            return answer_reply(outcome)
        finally:
            if not body_returned:
                self._end_request(caller)

    def _was_forwarded(self, raw_headers: dict[str, str]) -> bool:
        """Return whether another host forwarded this request, and so counted it.

        Failure guarded against: a caller sets the header itself to evade its limit. The header
        holds an HMAC under the cluster key, which only hosts can compute.
        """
        proof = self._sign_forward(self._ctx.incarnation, raw_headers.get("authorization", ""))
        return hmac.compare_digest(raw_headers.get(FORWARDED_HEADER, "").encode(), proof.encode())

    def _sign_forward(self, owner: str, authorization: str) -> str:
        text = f"{owner}|{authorization}".encode()
        return hmac.new(self._ctx.cfg.cluster_key.encode(), text, hashlib.sha256).hexdigest()

    def _refuse(self, failure: Failure, keyed: bool = False) -> Response:
        request_id = uuid.uuid4().hex
        self._ctx.metrics.requests.labels(failure.kind.value).inc()
        self._ctx.timeline.add(
            "refused",
            "DEBUG" if failure.answer.level == "INFO" else failure.answer.level,
            request=request_id,
            detail=f"{failure.kind}: {failure.reason}",
        )
        return answer_failure(failure, request_id, keyed)

    def _admit_caller(self, caller: Caller, forwarded: bool) -> Failure | None:
        """Enforce a caller's limits; a forwarded request was counted by the host that sent it."""
        if self._host.membership.own.state == "gone":
            return Failure(Kind.STOPPING, "", STOPPING_RETRY_SECONDS)
        if self.in_flight >= self._ctx.cfg.max_requests:
            return Failure(Kind.OVERLOADED, "this host is full", FULL_RETRY_SECONDS)
        if self._streams.get(caller.id, 0) >= caller.streams:
            return Failure(Kind.TOO_MANY_STREAMS, "", FULL_RETRY_SECONDS)
        if forwarded:
            return None
        now = self._ctx.clock.monotonic()
        return self._host.limits.take(caller.id, caller.requests_per_second, now)

    def _begin_request(self, caller: Caller) -> None:
        self.in_flight += 1
        self._streams[caller.id] = self._streams.get(caller.id, 0) + 1

    def _end_request(self, caller: Caller) -> None:
        self.in_flight -= 1
        self._streams[caller.id] -= 1
        if not self._streams[caller.id]:
            del self._streams[caller.id]

    async def _count_until_end(
        self, caller: Caller, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Pass a streamed answer on and count its request as in flight until it ends."""
        try:
            async for part in body:
                yield part
        finally:
            self._end_request(caller)

    async def _handle(
        self,
        request: Request,
        path: str,
        caller: Caller,
        raw_headers: dict[str, str],
        headers: Headers,
    ) -> Reply | Failure:
        body = await read_body(request, self._ctx.cfg.max_body_bytes)
        if failed(body):
            return body
        req = self._parse(request, path, caller, raw_headers, headers, body)
        if failed(req):
            return req
        caller_end = HttpCallerConnection(request)
        if not headers.key:
            return await self._dispatch(req, caller_end)
        return await self._run_keyed(request, req, caller_end, headers.key, raw_headers, body)

    def _parse(
        self,
        request: Request,
        path: str,
        caller: Caller,
        raw_headers: dict[str, str],
        headers: Headers,
        body: bytes,
    ) -> ModelRequest | ServiceRequest | Failure:
        accepted, now = self._host.accepted, self._ctx.clock.monotonic()
        if path in FORM_BY_PATH:
            domain = self._ctx.cfg.domain
            return parse_model_request(path, body, caller, headers, accepted, domain, now)
        name, slash, rest = path.removeprefix(SERVICE_PREFIX).partition("/")
        service = accepted.services.get(name)
        if service is None:
            return Failure(Kind.NOT_FOUND, f"no service {name[:64]!r}")
        query = (request.url.query or b"").decode("latin-1")
        return make_service_request(
            service,
            request.method,
            slash + rest or "/",
            query,
            raw_headers,
            body,
            caller,
            headers,
            now,
        )

    async def _dispatch(
        self, req: ModelRequest | ServiceRequest, caller: HttpCallerConnection
    ) -> Reply | Failure:
        if isinstance(req, ModelRequest):
            return await self._host.dispatcher.run(req, caller)
        return await self._host.service_caller.run(req, caller)

    async def _run_keyed(
        self,
        request: Request,
        req: ModelRequest | ServiceRequest,
        caller: HttpCallerConnection,
        key: str,
        raw_headers: dict[str, str],
        body: bytes,
    ) -> Reply | Failure:
        """Run a request with an idempotency key on the key's owner, which may be another host."""
        keys = self._host.keys
        now = self._ctx.clock.now().timestamp()
        owner = await self._host.claims.find_owner(req.caller_id, key, now)
        if failed(owner):
            return owner
        if owner.incarnation != self._ctx.incarnation:
            return await self._forward(request, owner.incarnation, raw_headers, body)
        digest = fingerprint(request.method, request.url.path.decode(), body)
        record = keys.begin(req.caller_id, key, owner, digest)
        if not isinstance(record, Record):
            return record
        return await self._run_record(req, caller, record)

    async def _run_record(
        self, req: ModelRequest | ServiceRequest, caller: HttpCallerConnection, record: Record
    ) -> Reply | Failure:
        keys = self._host.keys
        unknown = Failure(Kind.ENDPOINT_LOST, "the request was broken off")
        outcome: Reply | Failure = unknown
        try:
            outcome = await self._dispatch(req, caller)
        finally:
            if failed(outcome) or isinstance(outcome.body, bytes):
                keys.end(record, outcome)
        if failed(outcome) or isinstance(outcome.body, bytes):
            return outcome
        return replace(outcome, body=self._record_stream(record, outcome, outcome.body))

    async def _record_stream(
        self, record: Record, reply: Reply, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Record a streamed answer as it is passed on, so that a retry gets the whole answer."""
        parts: list[bytes] = []
        size = 0
        whole = False
        try:
            async for part in body:
                size += len(part)
                if size <= MAX_KEPT_STREAM_BYTES:
                    parts.append(part)
                whole = part.endswith(b"[DONE]\n\n")
                yield part
        finally:
            kept = (
                b"".join(parts)
                if size <= MAX_KEPT_STREAM_BYTES
                else b"\0" * (MAX_KEPT_STREAM_BYTES + 1)
            )
            cut = Failure(Kind.ANSWER_CUT, "the answer was not kept whole")
            self._host.keys.end(record, replace(reply, body=kept) if whole else cut)

    async def _forward(
        self, request: Request, incarnation: str, raw_headers: dict[str, str], body: bytes
    ) -> Reply | Failure:
        """Forward a request to the incarnation that owns its key.

        A forwarded request is never forwarded again: when its receiver is not the owner, the
        owner's host has restarted under a new incarnation.
        """
        member = self._host.membership.find(incarnation)
        if member is None or not member.alive or FORWARDED_HEADER in raw_headers:
            return Failure(Kind.KEY_OWNER_GONE)
        headers = {k: v for k, v in raw_headers.items() if k not in HOP_HEADERS}
        authorization = raw_headers.get("authorization", "")
        proof = self._sign_forward(incarnation, authorization)
        headers |= {"authorization": authorization, FORWARDED_HEADER: proof}
        path = request.url.value.decode("latin-1")
        call = Call(request.method, path, headers, body, at_most_once=True)
        opened = await self._host.endpoints.open(f"http://{member.fact.entry}", call)
        if failed(opened):
            return Failure(Kind.KEY_OWNER_GONE, opened.reason)
        try:
            answer = await read_all(opened)
        finally:
            await opened.release()
        if failed(answer):
            return Failure(Kind.KEY_OWNER_GONE, answer.reason)
        content_type = opened.headers.get("content-type", "application/json")
        return Reply(opened.status, filter_headers(opened.headers), answer, content_type)
