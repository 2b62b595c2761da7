"""Parsing and validation of callers' requests, before any of their work begins."""

import math
import re
import uuid
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from peridotdock.credentials import read_bearer
from peridotdock.errors import Failure, Kind, failed
from peridotdock.items import Item
from peridotdock.manifest import Accepted
from peridotdock.prefix import count_tokens, hash_blocks
from peridotdock.requests import ModelRequest, RoutingProfile, ServiceRequest
from peridotdock.schema.manifest import Caller, Service

MODEL_DEADLINE_SECONDS = 120.0
SERVICE_DEADLINE_FACTOR = 20
MAX_DEADLINE_SECONDS = 3600.0
DEFAULT_PRIORITY = 5
DEADLINE_HEADER = "x-deadline-ms"
PRIORITY_HEADER = "x-priority"
KEY_HEADER = "idempotency-key"
TRACE_HEADER = "traceparent"
TRACE_PATTERN = re.compile(r"00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")
FORM_BY_PATH = {"/v1/chat/completions": "chat", "/v1/completions": "text"}


@dataclass(frozen=True)
class Part:
    """A content part of a chat message; parts other than text have no text."""

    text: str = ""


@dataclass(frozen=True)
class Message:
    """A chat message; its content is text or a list of parts."""

    role: str
    content: str | list[Part] | None = None


@dataclass(frozen=True)
class ModelBody:
    """The fields of a request that routing reads; the body is forwarded unchanged."""

    model: str
    messages: list[Message] = field(default_factory=list)
    prompt: str | list[str] = ""
    stream: bool | None = False


BODY_DECODER = msgspec.json.Decoder(ModelBody)


@dataclass(frozen=True)
class Headers:
    """The parsed headers of a caller's request; ``key`` is empty without an idempotency key."""

    key: str
    deadline_seconds: float | None
    priority: int | None
    traceparent: str


def read_headers(raw: Mapping[str, str]) -> Headers | Failure:
    """Parse and check the headers, whose names are in lower case."""
    deadline = read_number(raw.get(DEADLINE_HEADER), 1, MAX_DEADLINE_SECONDS * 1000)
    priority = read_number(raw.get(PRIORITY_HEADER), 0, 9)
    for name, value in ((DEADLINE_HEADER, deadline), (PRIORITY_HEADER, priority)):
        if failed(value):
            return Failure(Kind.BAD_REQUEST, f"{name}: {value.reason}")
    key = raw.get(KEY_HEADER, "")
    if len(key) > 256 or not key.isascii() or not key.isprintable():
        return Failure(Kind.BAD_REQUEST, f"{KEY_HEADER}: at most 256 printable characters")
    trace = raw.get(TRACE_HEADER, "")
    return Headers(
        key=key,
        deadline_seconds=None if deadline is None else deadline / 1000,
        priority=None if priority is None else int(priority),
        traceparent=trace if TRACE_PATTERN.fullmatch(trace) else make_trace(),
    )


def read_number(text: str | None, minimum: float, maximum: float) -> float | None | Failure:
    """Parse a number between two inclusive bounds; None when ``text`` is None."""
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not minimum <= value <= maximum:
        return Failure(Kind.BAD_REQUEST, f"expected a number from {minimum:g} to {maximum:g}")
    return value


def make_trace() -> str:
    """Return a new W3C ``traceparent`` header value."""
    return f"00-{uuid.uuid4().hex}-{uuid.uuid4().hex[:16]}-01"


def find_caller(accepted: Accepted, authorization: str) -> Caller | Failure:
    """Return the caller whose bearer token an ``authorization`` header holds."""
    return accepted.callers.get(read_bearer(authorization)) or Failure(Kind.UNKNOWN_CALLER)


def choose_priority(caller: Caller, headers: Headers) -> int:
    """Return the priority of a request: the requested one, capped by the caller's own."""
    requested = DEFAULT_PRIORITY if headers.priority is None else headers.priority
    return min(requested, caller.priority)


def read_text(body: ModelBody) -> str:
    """Return the prompt as one text, in the order in which an engine processes it."""
    if isinstance(body.prompt, list):
        return "\n".join(body.prompt)
    if body.prompt:
        return body.prompt
    return "".join(f"{row.role}:{flatten(row.content)}\n" for row in body.messages)


def flatten(content: str | list[Part] | None) -> str:
    """Return the text of a message's content, with its parts joined."""
    if isinstance(content, list):
        return "".join(part.text for part in content)
    return content or ""


def parse_model_request(
    path: str,
    raw: bytes,
    caller: Caller,
    headers: Headers,
    accepted: Accepted,
    domain: str,
    now: float,
) -> ModelRequest | Failure:
    """Build the request for a model or adapter; a failure when the body is invalid.

    ``now`` is monotonic seconds; the deadline is counted from it.
    """
    try:
        body = BODY_DECODER.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return Failure(Kind.BAD_REQUEST, str(exc))
    if not body.messages and not body.prompt:
        return Failure(Kind.BAD_REQUEST, "messages or prompt is needed")
    item = accepted.items.get(body.model)
    if item is None:
        return Failure(Kind.UNKNOWN_MODEL, body.model[:128])
    text = read_text(body)
    return ModelRequest(
        request_id=uuid.uuid4().hex,
        caller_id=caller.id,
        path=path,
        form=FORM_BY_PATH[path],
        stream=bool(body.stream),
        body=raw,
        profile=make_routing_profile(item, text, choose_priority(caller, headers), domain),
        repeatable=not headers.key,
        deadline=now + (headers.deadline_seconds or MODEL_DEADLINE_SECONDS),
        traceparent=headers.traceparent,
    )


def make_routing_profile(item: Item, text: str, priority: int, domain: str) -> RoutingProfile:
    """Return the routing profile of a prompt for an item."""
    return RoutingProfile(
        item=item.key,
        tokens=count_tokens(text),
        blocks=hash_blocks(item.key, text),
        priority=priority,
        first_token_seconds=item.target.first_token_ms / 1000,
        domain=domain,
    )


def is_repeatable(service: Service, method: str, path: str) -> bool:
    """Return whether the manifest allows a call to be sent more than once."""
    for rule in service.repeatable:
        if rule.method not in ("*", method):
            continue
        if rule.path == path or (rule.path.endswith("*") and path.startswith(rule.path[:-1])):
            return True
    return False


def make_service_request(
    service: Service,
    method: str,
    path: str,
    query: str,
    raw_headers: dict[str, str],
    body: bytes,
    caller: Caller,
    headers: Headers,
    now: float,
) -> ServiceRequest:
    """Build a call to a plain service; ``path`` is the part after the service's prefix."""
    deadline = headers.deadline_seconds or service.target_ms / 1000 * SERVICE_DEADLINE_FACTOR
    return ServiceRequest(
        request_id=uuid.uuid4().hex,
        caller_id=caller.id,
        service=service.id,
        method=method,
        path=path + (f"?{query}" if query else ""),
        headers={**raw_headers, TRACE_HEADER: headers.traceparent},
        body=body,
        repeatable=is_repeatable(service, method, path) and not headers.key,
        deadline=now + deadline,
    )


def list_models(accepted: Accepted) -> dict[str, Any]:
    """Return the response body of ``/v1/models``."""
    rows = [
        {"id": name, "object": "model", "created": 0, "owned_by": accepted.manifest.deployment.name}
        for name in accepted.items
    ]
    return {"object": "list", "data": rows}
