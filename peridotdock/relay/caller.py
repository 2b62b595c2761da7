"""Detects that a caller closed its connection during a relayed request."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

Receive = Callable[[], Awaitable[dict[str, Any]]]


class Caller(Protocol):
    """Whoever waits for an answer; the future ``disconnected`` is done once nobody does."""

    disconnected: asyncio.Future[None]

    def is_disconnected(self) -> bool:
        """Whether nobody waits for the answer any more."""


class CallerConnection:
    """A caller's connection; the future ``disconnected`` is done once the caller closed it.

    ``given_up`` tells that the host ends the request, and the caller still waits.
    """

    def __init__(self, receive: Receive):
        self.disconnected: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._watching = asyncio.ensure_future(self._watch(receive))
        self.given_up = False

    async def _watch(self, receive: Receive) -> None:
        """Wait for the disconnect message, which is the next one after the body."""
        while (await receive())["type"] != "http.disconnect":
            continue
        if not self.disconnected.done():
            self.disconnected.set_result(None)

    def is_disconnected(self) -> bool:
        """Whether the caller has closed its connection."""
        return self.disconnected.done()

    def give_up(self) -> None:
        """End the request as if the caller had left: the host must answer it now."""
        self.given_up = True
        if not self.disconnected.done():
            self.disconnected.set_result(None)

    def stop_watching(self) -> None:
        """Cancel the task that waits for the disconnect."""
        self._watching.cancel()


class SendWatch(Protocol):
    """Whoever has to know when a request is at an endpoint."""

    def record_written(self) -> None:
        """Record that the request is written to an endpoint's connection now."""

    def record_answered(self) -> None:
        """Record that the endpoint has begun to answer the request."""

    def record_failed(self) -> None:
        """Record that the endpoint has refused or lost the request, or never got it."""


class SendCaller:
    """The caller of one of several sends of a request, which ends if its answer is not needed.

    ``watch`` is told of the sends that are made for this caller.
    """

    def __init__(self, caller: Caller, watch: SendWatch | None = None):
        self.disconnected: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._caller = caller
        self._watch = watch or (caller if isinstance(caller, SendCaller) else None)
        caller.disconnected.add_done_callback(self._on_disconnect)

    def record_written(self) -> None:
        """Record that the request is written to an endpoint's connection now."""
        if self._watch is not None:
            self._watch.record_written()

    def record_answered(self) -> None:
        """Record that the endpoint has begun to answer the request."""
        if self._watch is not None:
            self._watch.record_answered()

    def record_failed(self) -> None:
        """Record that the endpoint has refused or lost the request, or never got it."""
        if self._watch is not None:
            self._watch.record_failed()

    def _on_disconnect(self, _: object) -> None:
        self.end()

    def close(self) -> None:
        """Stop watching the caller: this send has ended."""
        self._caller.disconnected.remove_done_callback(self._on_disconnect)

    def end(self) -> None:
        """End this send, as another one has answered."""
        if not self.disconnected.done():
            self.disconnected.set_result(None)

    def is_disconnected(self) -> bool:
        """Whether the send is ended or the caller has closed its connection."""
        return self.disconnected.done() or self._caller.is_disconnected()
