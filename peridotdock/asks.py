"""Reading callers' requests: bodies, headers and limits, each checked before anything is done."""

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
from peridotdock.requests import Ask, ServiceAsk, Wish
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
FORMS = {"/v1/chat/completions": "chat", "/v1/completions": "text"}


@dataclass(frozen=True)
class Part:
    """A part of a chat message."""

    text: str = ""


@dataclass(frozen=True)
class Message:
    """A chat message; its content is text or a list of parts."""

    role: str
    content: str | list[Part] | None = None


@dataclass(frozen=True)
class ModelBody:
    """The fields of a request that routing reads; all others are passed on untouched."""

    model: str
    messages: list[Message] = field(default_factory=list)
    prompt: str | list[str] = ""
    stream: bool | None = False


BODY = msgspec.json.Decoder(ModelBody)


@dataclass(frozen=True)
class Headers:
    """The headers of a caller's request that peridotdock reads."""

    key: str
    deadline_seconds: float | None
    priority: int | None
    traceparent: str


def read_headers(raw: Mapping[str, str]) -> Headers | Failure:
    """Read and check the headers; names in lower case."""
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


def read_number(text: str | None, least: float, most: float) -> float | None | Failure:
    """Read a number within bounds; None when there is none."""
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not least <= value <= most:
        return Failure(Kind.BAD_REQUEST, f"expected a number from {least:g} to {most:g}")
    return value


def make_trace() -> str:
    """Return a new W3C traceparent."""
    return f"00-{uuid.uuid4().hex}-{uuid.uuid4().hex[:16]}-01"


def find_caller(accepted: Accepted, authorization: str) -> Caller | Failure:
    """Return the caller whose token this is."""
    return accepted.callers.get(read_bearer(authorization)) or Failure(Kind.UNKNOWN_CALLER)


def choose_priority(caller: Caller, headers: Headers) -> int:
    """Return the class of a request: what was asked for, at most what the caller may have."""
    wanted = DEFAULT_PRIORITY if headers.priority is None else headers.priority
    return min(wanted, caller.priority)


def read_text(body: ModelBody) -> str:
    """Return the prompt as one text, in the order in which an engine reads it."""
    if isinstance(body.prompt, list):
        return "\n".join(body.prompt)
    if body.prompt:
        return body.prompt
    return "".join(f"{row.role}:{flatten(row.content)}\n" for row in body.messages)


def flatten(content: str | list[Part] | None) -> str:
    """Return the text of a message's content."""
    if isinstance(content, list):
        return "".join(part.text for part in content)
    return content or ""


def read_ask(
    path: str,
    raw: bytes,
    caller: Caller,
    headers: Headers,
    accepted: Accepted,
    domain: str,
    now: float,
) -> Ask | Failure:
    """Build the request for a model or adapter, or say what is wrong with it."""
    try:
        body = BODY.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return Failure(Kind.BAD_REQUEST, str(exc))
    if not body.messages and not body.prompt:
        return Failure(Kind.BAD_REQUEST, "messages or prompt is needed")
    item = accepted.items.get(body.model)
    if item is None:
        return Failure(Kind.UNKNOWN_MODEL, body.model[:128])
    text = read_text(body)
    return Ask(
        request_id=uuid.uuid4().hex,
        caller_id=caller.id,
        path=path,
        form=FORMS[path],
        stream=bool(body.stream),
        body=raw,
        wish=make_wish(item, text, choose_priority(caller, headers), domain),
        repeatable=not headers.key,
        deadline=now + (headers.deadline_seconds or MODEL_DEADLINE_SECONDS),
        traceparent=headers.traceparent,
    )


def make_wish(item: Item, text: str, priority: int, domain: str) -> Wish:
    """Return what routing needs to know."""
    return Wish(
        item=item.key,
        tokens=count_tokens(text),
        blocks=hash_blocks(item.key, text),
        priority=priority,
        first_token=item.target.first_token_ms / 1000,
        domain=domain,
    )


def is_repeatable(service: Service, method: str, path: str) -> bool:
    """Tell whether the manifest allows a call to be sent more than once."""
    for rule in service.repeatable:
        if rule.method not in ("*", method):
            continue
        if rule.path == path or (rule.path.endswith("*") and path.startswith(rule.path[:-1])):
            return True
    return False


def make_service_ask(
    service: Service,
    method: str,
    path: str,
    query: str,
    head: dict[str, str],
    body: bytes,
    caller: Caller,
    headers: Headers,
    now: float,
) -> ServiceAsk:
    """Build a call to a plain service; the path is the part behind its prefix."""
    deadline = headers.deadline_seconds or service.target_ms / 1000 * SERVICE_DEADLINE_FACTOR
    return ServiceAsk(
        request_id=uuid.uuid4().hex,
        caller_id=caller.id,
        service=service.id,
        method=method,
        path=path + (f"?{query}" if query else ""),
        headers={**head, TRACE_HEADER: headers.traceparent},
        body=body,
        repeatable=is_repeatable(service, method, path) and not headers.key,
        deadline=now + deadline,
    )


def list_models(accepted: Accepted) -> dict[str, Any]:
    """Return the answer to ``/v1/models``."""
    rows = [
        {"id": name, "object": "model", "created": 0, "owned_by": accepted.manifest.deployment.name}
        for name in accepted.items
    ]
    return {"object": "list", "data": rows}
