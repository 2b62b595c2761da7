"""Conversion of replies and failures to blacksheep responses."""

import json
import math
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from typing import Any

from blacksheep import Content, Response, StreamedContent

from peridotdock.errors import Failure, Kind, Ran
from peridotdock.requests import Reply

JSON = b"application/json"
# Kinds after which the same request may be retried at once, on this host or another.
RETRYABLE_KINDS = frozenset(
    {
        Kind.CALLER_LIMIT,
        Kind.OVERLOADED,
        Kind.NOT_READY,
        Kind.STOPPING,
        Kind.NO_ENDPOINT,
        Kind.ENDPOINT_REFUSED,
        Kind.ENDPOINT_LACKS,
        Kind.ENDPOINT_UNREACHABLE,
        Kind.PLATFORM_DOWN,
        Kind.KEYS_FULL,
        Kind.KEY_IN_PROGRESS,
        Kind.TOO_MANY_STREAMS,
    }
)
# Kinds after which every host refuses the request, so clients must not retry it automatically.
NEVER_RETRYABLE_KINDS = frozenset({Kind.BLOCKED})


def answer_json(body: Any, status: int = 200) -> Response:
    """Return a JSON response."""
    return Response(status, None, Content(JSON, json.dumps(body).encode()))


def answer_failure(failure: Failure, request_id: str, keyed: bool = False) -> Response:
    """Return the response for a failure, as :data:`ANSWERS` defines it.

    The ``openai`` clients read ``x-should-retry``. Without it they would retry a request that may
    have run and must not run twice. ``keyed`` is True for a request with an idempotency key.
    """
    headers = [(b"x-request-id", request_id.encode()), (b"x-ran", reported_ran(failure).encode())]
    if failure.retry_after is not None:
        headers.append((b"retry-after", str(max(1, math.ceil(failure.retry_after))).encode()))
        milliseconds = str(max(1, math.ceil(failure.retry_after * 1000)))
        headers.append((b"retry-after-ms", milliseconds.encode()))
    unkeyed_error = failure.answer.status >= 500 and not keyed
    retryable = failure.kind in RETRYABLE_KINDS or (
        unkeyed_error and failure.kind not in NEVER_RETRYABLE_KINDS
    )
    headers.append((b"x-should-retry", b"true" if retryable else b"false"))
    body = json.dumps(failure.describe(request_id)).encode()
    return Response(failure.answer.status, headers, Content(JSON, body))


def reported_ran(failure: Failure) -> Ran:
    """Return whether the request ran, as reported to the caller in ``x-ran``."""
    return failure.ran or failure.answer.ran


def answer_reply(reply: Reply) -> Response:
    """Return the response for an endpoint's reply, whole or streamed."""
    headers = [(name.encode("latin-1"), encode_header(value)) for name, value in reply.headers]
    content_type = encode_header(reply.content_type)
    if isinstance(reply.body, bytes):
        return Response(reply.status, headers, Content(content_type, reply.body))
    return Response(
        reply.status, headers, StreamedContent(content_type, make_body_reader(reply.body))
    )


def encode_header(value: str) -> bytes:
    """Return the bytes of a header's value as they came: aiohttp decodes them in this way."""
    return value.encode("utf-8", "surrogateescape")


def make_body_reader(body: AsyncIterator[bytes]) -> Callable[[], AsyncIterator[bytes]]:
    """Return the generator function that blacksheep calls once to read a streamed body."""

    async def parts() -> AsyncIterator[bytes]:
        async with aclosing(body):
            async for part in body:
                yield part

    return parts
