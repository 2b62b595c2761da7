"""Search for a request on the engine that it was sent to, over new connections.

The connection that the request was sent on stays in use meanwhile: an engine that does not answer
a search may still be working on the request.
"""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from peridotdock.clients.endpoint import (
    Call,
    HttpEndpoints,
    OpenResponse,
    StreamState,
    shows_end,
)
from peridotdock.errors import Failure, failed
from peridotdock.requests import ModelRequest

OPEN_TIMEOUT_SECONDS = 2.0


class Finding(StrEnum):
    """What an engine says of a request."""

    UNANSWERED = "unanswered"
    UNKNOWN = "unknown"
    RUNNING = "running"
    DONE = "done"


class EngineEnded(Exception):
    """The engine refused or reset a new connection, or it no longer has the request."""


class Search:
    """Asks one engine for one request.

    ``on_probe`` is called after each probe, with whether the engine said that it has the request.
    """

    def __init__(
        self,
        endpoints: HttpEndpoints,
        url: str,
        req: ModelRequest,
        on_probe: Callable[[bool], None],
    ):
        self._endpoints = endpoints
        self.url = url
        self._req = req
        self._on_probe = on_probe

    async def probe(self) -> StreamState | Failure | None:
        """Return the progress of the request, None if unknown, or a failure without an answer.

        Raises EngineEnded if the connection is refused or reset.
        """
        found = await self._endpoints.probe(self.url, self._req.send_id)
        if failed(found) and shows_end(found):
            raise EngineEnded
        self._on_probe(isinstance(found, StreamState))
        return found

    async def open(self, part: str) -> OpenResponse | None:
        """Open ``part`` of the answer; None if the engine does not send it now.

        Raises EngineEnded if the connection is refused or reset, or the request is unknown.
        """
        path = f"/v1/streams/{self._req.send_id}?{part}&form={self._req.form}"
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_SECONDS):
                opened = await self._endpoints.open(self.url, Call("GET", path, {}, b"", False))
        except TimeoutError:
            return None
        if failed(opened):
            if shows_end(opened):
                raise EngineEnded
            return None
        if opened.status == 200:
            return opened
        await opened.release()
        if opened.status == 404:
            raise EngineEnded
        return None


def classify(found: StreamState | Failure | None) -> Finding:
    """Return the finding of a probe."""
    if failed(found):
        return Finding.UNANSWERED
    if found is None:
        return Finding.UNKNOWN
    return Finding.DONE if found.done else Finding.RUNNING


async def cancel(task: asyncio.Future[Any]) -> None:
    """Cancel a task and wait until it has ended."""
    if not task.done():
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def discard(task: asyncio.Future[Any]) -> None:
    """Cancel a task that opens an answer, and release the answer if there is one."""
    await cancel(task)
    if not task.cancelled() and task.exception() is None:
        opened = task.result()
        if isinstance(opened, OpenResponse):
            await opened.release()
