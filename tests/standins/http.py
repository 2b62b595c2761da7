"""HTTP helpers of the stand-ins."""

import asyncio
import json

from blacksheep import Content, Request, Response


def reply(body, status=200, headers=()):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return Response(status, list(headers), Content(b"application/json", raw))


async def read_json(request: Request):
    raw = await request.read()
    return json.loads(raw) if raw else {}


async def abort_connection(request: Request):
    """Abort the connection without an answer; the handler never returns."""
    request.scope["abort"]()
    await asyncio.sleep(3600)
