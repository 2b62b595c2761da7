"""Detects that a caller closed its connection during a relayed request."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

Receive = Callable[[], Awaitable[dict[str, Any]]]


class CallerConnection:
    """A caller's connection; the future ``disconnected`` is done once the caller closed it."""

    def __init__(self, receive: Receive):
        self.disconnected: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._watching = asyncio.ensure_future(self._watch(receive))

    async def _watch(self, receive: Receive) -> None:
        """Wait for the disconnect message, which is the next one after the body."""
        while (await receive())["type"] != "http.disconnect":
            continue
        if not self.disconnected.done():
            self.disconnected.set_result(None)

    def is_disconnected(self) -> bool:
        """Whether the caller has closed its connection."""
        return self.disconnected.done()

    def stop_watching(self) -> None:
        """Cancel the task that waits for the disconnect."""
        self._watching.cancel()
