"""The caller's end of a relayed request."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

Receive = Callable[[], Awaitable[dict[str, Any]]]


class CallerConnection:
    """Tells when the caller has closed its connection; ``left`` is done from then on."""

    def __init__(self, receive: Receive):
        self.disconnected: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._watching = asyncio.ensure_future(self._watch(receive))

    async def _watch(self, receive: Receive) -> None:
        """Wait for the server's word; once the body was read, the next word is the close."""
        while (await receive())["type"] != "http.disconnect":
            continue
        if not self.disconnected.done():
            self.disconnected.set_result(None)

    def is_disconnected(self) -> bool:
        """Tell whether the caller has left."""
        return self.disconnected.done()

    def stop_watching(self) -> None:
        """Stop watching."""
        self._watching.cancel()
