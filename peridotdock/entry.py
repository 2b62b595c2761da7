"""The callers' side of a host: HTTP in, checks and limits, then dispatch, then the answer."""

import hashlib
import hmac
import uuid
from collections.abc import AsyncIterator
from dataclasses import replace
from functools import partial

from blacksheep import Application, Content, Request, Response

from peridotdock.answers import answer_failure, answer_json, answer_reply
from peridotdock.asks import (
    FORMS,
    Headers,
    find_caller,
    list_models,
    make_service_ask,
    read_ask,
    read_headers,
)
from peridotdock.claims import find_owner
from peridotdock.clients.endpoint import Call, read_all
from peridotdock.discovery import describe_addresses
from peridotdock.errors import Failure, Kind, failed
from peridotdock.host import Host
from peridotdock.keys import Record, fingerprint
from peridotdock.requests import Ask, Reply, ServiceAsk
from peridotdock.schema.manifest import Caller
from peridotdock.service_calls import HOP_HEADERS, pass_headers
from peridotdock.serving import add_route, read_body

METHODS = ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD")
SERVICE_PREFIX = "/services/"
FORWARDED_HEADER = "x-peridotdock-forwarded"
MAX_KEPT_STREAM = 256 * 1024
STOPPING_RETRY_SECONDS = 0.0
FULL_RETRY_SECONDS = 0.5


class Connection:
    """The caller's end of a request."""

    def __init__(self, request: Request):
        self._transport = request.scope["abort"].__self__

    def gone(self) -> bool:
        """Tell whether the connection to the caller is closed."""
        return self._transport.is_closing()


class Entry:
    """Serves callers on one host."""

    def __init__(self, host: Host):
        self._host = host
        self._ctx = host.ctx
        self._streams: dict[str, int] = {}
        self.in_work = 0

    def add_routes(self, app: Application) -> None:
        """Put the callers' paths into an application."""
        add = partial(add_route, app)
        add("GET", "/v1/addresses", self.addresses)
        add("GET", "/v1/models", self.models)
        for path in FORMS:
            add("POST", path, self.generate)
        for method in METHODS:
            add(method, SERVICE_PREFIX + "*", self.service)
        add("GET", "/healthz", self.health)
        add("GET", "/readyz", self.readiness)
        add("GET", "/metrics", self.metrics)

    async def health(self, request: Request) -> Response:
        """Say that the process runs."""
        return answer_json({"status": "ok"})

    async def readiness(self, request: Request) -> Response:
        """Say whether callers can be served."""
        if self._host.ready():
            return answer_json({"status": "ready"})
        return answer_failure(Failure(Kind.NOT_READY, "", 1.0), "")

    async def metrics(self, request: Request) -> Response:
        """Give the metrics to a scraper."""
        self._ctx.metrics.in_work.set(self.in_work)
        return Response(200, None, Content(b"text/plain", self._ctx.metrics.render()))

    def _know_caller(self, request: Request) -> Caller | Failure:
        if self._host.accepted is None:
            return Failure(Kind.NOT_READY, "", 1.0)
        token = (request.get_first_header(b"authorization") or b"").decode("latin-1")
        return find_caller(self._host.accepted, token)

    async def addresses(self, request: Request) -> Response:
        """Say which addresses to use, for how long, and how keys may begin."""
        caller = self._know_caller(request)
        if failed(caller):
            return answer_failure(caller, "")
        domain = (request.query.get("domain") or [self._ctx.cfg.domain])[0]
        members = [m for m in self._host.membership.members().values() if m.accepts_work]
        ttl = self._ctx.cfg.address_seconds
        body = describe_addresses(members, domain, ttl, self._ctx.rng)
        return answer_json(body | {"key_prefix": self._host.keys.prefix()})

    async def models(self, request: Request) -> Response:
        """List models and adapters."""
        caller = self._know_caller(request)
        if failed(caller):
            return answer_failure(caller, "")
        return answer_json(list_models(self._host.accepted))

    async def generate(self, request: Request) -> Response:
        """Answer a request for a model or adapter."""
        return await self._serve(request, request.url.path.decode())

    async def service(self, request: Request) -> Response:
        """Carry a call to a plain service."""
        return await self._serve(request, request.url.path.decode())

    async def _serve(self, request: Request, path: str) -> Response:
        caller = self._know_caller(request)
        if failed(caller):
            return self._refuse(caller)
        head = {k.decode("latin-1").lower(): v.decode("latin-1") for k, v in request.headers}
        headers = read_headers(head)
        if failed(headers):
            return self._refuse(headers)
        refusal = self._admit_caller(caller, self._was_forwarded(head))
        if refusal is not None:
            return self._refuse(refusal)
        handed_on = False
        self._enter(caller)
        try:
            outcome = await self._work(request, path, caller, head, headers)
            if failed(outcome):
                return self._refuse(outcome, keyed=bool(headers.key))
            self._ctx.metrics.requests.labels("answered").inc()
            if not isinstance(outcome.body, bytes):
                outcome = replace(outcome, body=self._hold(caller, outcome.body))
                handed_on = True
            return answer_reply(outcome)
        finally:
            if not handed_on:
                self._leave(caller)

    def _was_forwarded(self, head: dict[str, str]) -> bool:
        """Tell whether another host forwarded this, and so counted it.

        Failure guarded against: a caller sets the header itself and passes its limit. Only a host
        can make the proof.
        """
        proof = self._prove_forward(self._ctx.incarnation, head.get("authorization", ""))
        return hmac.compare_digest(head.get(FORWARDED_HEADER, "").encode(), proof.encode())

    def _prove_forward(self, owner: str, authorization: str) -> str:
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
        """Hold a caller to its limits; a forwarded request was counted where it came in."""
        if self._host.membership.own.state == "gone":
            return Failure(Kind.STOPPING, "", STOPPING_RETRY_SECONDS)
        if self.in_work >= self._ctx.cfg.max_requests:
            return Failure(Kind.OVERLOADED, "this host is full", FULL_RETRY_SECONDS)
        if self._streams.get(caller.id, 0) >= caller.streams:
            return Failure(Kind.TOO_MANY_STREAMS, "", FULL_RETRY_SECONDS)
        if forwarded:
            return None
        now = self._ctx.clock.monotonic()
        return self._host.limits.take(caller.id, caller.requests_per_second, now)

    def _enter(self, caller: Caller) -> None:
        self.in_work += 1
        self._streams[caller.id] = self._streams.get(caller.id, 0) + 1

    def _leave(self, caller: Caller) -> None:
        self.in_work -= 1
        self._streams[caller.id] -= 1
        if not self._streams[caller.id]:
            del self._streams[caller.id]

    async def _hold(self, caller: Caller, body: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
        """Count a streamed answer as in work until it has ended."""
        try:
            async for part in body:
                yield part
        finally:
            self._leave(caller)

    async def _work(
        self,
        request: Request,
        path: str,
        caller: Caller,
        head: dict[str, str],
        headers: Headers,
    ) -> Reply | Failure:
        body = await read_body(request, self._ctx.cfg.max_body_bytes)
        if failed(body):
            return body
        ask = self._read(request, path, caller, head, headers, body)
        if failed(ask):
            return ask
        caller_end = Connection(request)
        if not headers.key:
            return await self._dispatch(ask, caller_end)
        return await self._run_keyed(request, ask, caller_end, headers.key, head, body)

    def _read(
        self,
        request: Request,
        path: str,
        caller: Caller,
        head: dict[str, str],
        headers: Headers,
        body: bytes,
    ) -> Ask | ServiceAsk | Failure:
        accepted, now = self._host.accepted, self._ctx.clock.monotonic()
        if path in FORMS:
            domain = self._ctx.cfg.domain
            return read_ask(path, body, caller, headers, accepted, domain, now)
        name, slash, rest = path.removeprefix(SERVICE_PREFIX).partition("/")
        service = accepted.services.get(name)
        if service is None:
            return Failure(Kind.NOT_FOUND, f"no service {name[:64]!r}")
        query = (request.url.query or b"").decode("latin-1")
        return make_service_ask(
            service, request.method, slash + rest or "/", query, head, body, caller, headers, now
        )

    async def _dispatch(self, ask: Ask | ServiceAsk, caller: Connection) -> Reply | Failure:
        if isinstance(ask, Ask):
            return await self._host.dispatcher.run(ask, caller)
        return await self._host.service_caller.run(ask, caller)

    async def _run_keyed(
        self,
        request: Request,
        ask: Ask | ServiceAsk,
        caller: Connection,
        key: str,
        head: dict[str, str],
        body: bytes,
    ) -> Reply | Failure:
        """Run a request with a key at its owner, which may be another host."""
        keys = self._host.keys
        now = self._ctx.clock.now().timestamp()
        owner = await find_owner(
            self._host.platform, keys, self._ctx.incarnation, ask.caller_id, key, now
        )
        if failed(owner):
            return owner
        if owner.incarnation != self._ctx.incarnation:
            return await self._forward(request, owner.incarnation, head, body)
        mark = fingerprint(request.method, request.url.path.decode(), body)
        record = keys.begin(ask.caller_id, key, owner, mark)
        if not isinstance(record, Record):
            return record
        return await self._run_record(ask, caller, record)

    async def _run_record(
        self, ask: Ask | ServiceAsk, caller: Connection, record: Record
    ) -> Reply | Failure:
        keys = self._host.keys
        unknown = Failure(Kind.ENDPOINT_LOST, "the request was broken off")
        outcome: Reply | Failure = unknown
        try:
            outcome = await self._dispatch(ask, caller)
        finally:
            if failed(outcome) or isinstance(outcome.body, bytes):
                keys.end(record, outcome)
        if failed(outcome) or isinstance(outcome.body, bytes):
            return outcome
        return replace(outcome, body=self._record_stream(record, outcome, outcome.body))

    async def _record_stream(
        self, record: Record, reply: Reply, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Keep a streamed answer while it passes, so that a retry gets it whole."""
        parts: list[bytes] = []
        size = 0
        whole = False
        try:
            async for part in body:
                size += len(part)
                if size <= MAX_KEPT_STREAM:
                    parts.append(part)
                whole = part.endswith(b"[DONE]\n\n")
                yield part
        finally:
            kept = b"".join(parts) if size <= MAX_KEPT_STREAM else b"\0" * (MAX_KEPT_STREAM + 1)
            cut = Failure(Kind.ANSWER_CUT, "the answer was not kept whole")
            self._host.keys.end(record, replace(reply, body=kept) if whole else cut)

    async def _forward(
        self, request: Request, incarnation: str, head: dict[str, str], body: bytes
    ) -> Reply | Failure:
        """Hand a request to the life that alone may run its key.

        A forwarded request is never forwarded again: the one that got it is then another life.
        """
        member = self._host.membership.find(incarnation)
        if member is None or not member.alive or FORWARDED_HEADER in head:
            return Failure(Kind.KEY_OWNER_GONE)
        headers = {k: v for k, v in head.items() if k not in HOP_HEADERS}
        authorization = head.get("authorization", "")
        proof = self._prove_forward(incarnation, authorization)
        headers |= {"authorization": authorization, FORWARDED_HEADER: proof}
        path = request.url.value.decode("latin-1")
        call = Call(request.method, path, headers, body, once=True)
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
        return Reply(opened.status, pass_headers(opened.headers), answer, content_type)
