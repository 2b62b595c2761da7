"""Relaying of streamed answers: each frame is verified, passed on once, and resumed after a break.

After a stream breaks or goes silent, the engine is probed over a new connection. If it still has
the stream, the stream resumes where the caller's copy ends. If not, the caller gets an error frame
and no closing ``[DONE]``, which distinguishes an incomplete answer from a complete one.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import msgspec

from peridotdock.clients.endpoint import Call, HttpEndpoints, OpenResponse
from peridotdock.clients.http import TRANSFER_ERRORS
from peridotdock.context import Context
from peridotdock.errors import Failure, Kind, failed
from peridotdock.fleet import EndpointState
from peridotdock.requests import CallerConnection, Loss, ModelRequest, RequestState, loss_failure

SEPARATOR = b"\n\n"
DATA = b"data: "
DONE = b"[DONE]"
MAX_FRAME_BYTES = 1024 * 1024
MAX_RESUMES = 5
CHECK_INTERVAL_SECONDS = 0.25


@dataclass(frozen=True)
class CachedTokens:
    """The number of prompt tokens that the engine had cached."""

    cached_tokens: int = 0


@dataclass(frozen=True)
class FrameUsage:
    """The token counts that an engine reports at the end of a request."""

    prompt_tokens: int = 0
    prompt_tokens_details: CachedTokens = field(default_factory=CachedTokens)


@dataclass(frozen=True)
class FrameHead:
    """The fields of a frame that are checked; the frame is passed on unchanged."""

    id: str = ""
    offset: int | None = None
    usage: FrameUsage | None = None


HEAD_DECODER = msgspec.json.Decoder(FrameHead)


def read_head(data: bytes, request_id: str) -> FrameHead | Failure:
    """Parse and check the head of a frame or of a whole answer.

    Failure guarded against: answers are mixed up within an engine or on the network path, and a
    caller gets part of another caller's answer. The engine sets the request ID in each frame; any
    other ID ends the attempt.
    """
    try:
        head = HEAD_DECODER.decode(data)
    except msgspec.MsgspecError as exc:
        return Failure(Kind.ENDPOINT_ERROR, f"unreadable answer: {exc}")
    if head.id != request_id:
        return Failure(Kind.WRONG_ANSWER, f"answer to {head.id!r}")
    return head


class StreamSilent(Exception):
    """No byte arrived for ``silence_seconds``."""


class StreamRelay:
    """Relays one streamed answer from an endpoint to a caller."""

    def __init__(
        self,
        ctx: Context,
        endpoints: HttpEndpoints,
        state: EndpointState,
        req: ModelRequest,
        caller: CallerConnection,
    ):
        self._ctx = ctx
        self._endpoints = endpoints
        self._state = state
        self._req = req
        self._caller = caller
        self._opened: OpenResponse | None = None
        self._buffer = b""
        self._next_offset = 0
        self._resumes = 0
        self.usage: FrameUsage | None = None
        self.whole = False

    def attach(self, opened: OpenResponse) -> None:
        """Continue to read from ``opened``."""
        self._opened = opened
        self._buffer = b""

    async def release(self) -> None:
        """Release the connection; unless the answer is complete, also cancel it on the engine."""
        opened, self._opened = self._opened, None
        if opened is None:
            return
        await opened.release()
        if not self.whole:
            self._endpoints.cancel(self._state.url, self._req.request_id)

    async def frames(self) -> AsyncIterator[bytes | Failure]:
        """Yield each frame once; a failure ends the iteration."""
        while True:
            found = await self._next_frame()
            if failed(found):
                found = await self._recover(found)
                if failed(found):
                    yield found
                    return
                continue
            checked = self._check(found)
            if failed(checked):
                yield checked
                return
            if checked:
                yield checked
            if self.whole:
                return

    def _check(self, frame: bytes) -> bytes | Failure:
        """Return the frame to pass on, empty bytes for a duplicate, or a failure."""
        data = frame[len(DATA) :] if frame.startswith(DATA) else b""
        if data == DONE:
            self.whole = True
            return frame + SEPARATOR
        if not data:
            return b""
        head = read_head(data, self._req.request_id)
        if failed(head):
            return head
        if head.usage is not None:
            if self.usage is not None:
                # The engine repeats the closing frame when a stream is resumed at its end.
                return b""
            self.usage = head.usage
        if head.offset is not None:
            if head.offset < self._next_offset:
                self._ctx.metrics.late_frames.inc()
                return b""
            if head.offset > self._next_offset:
                return Failure(Kind.ANSWER_CUT, f"frame {self._next_offset} is missing")
            self._next_offset += 1
        return frame + SEPARATOR

    async def _next_frame(self) -> bytes | Failure:
        while SEPARATOR not in self._buffer:
            if len(self._buffer) > MAX_FRAME_BYTES:
                return Failure(Kind.ENDPOINT_ERROR, "a frame is too long")
            try:
                part = await self._read()
            except StreamSilent:
                return Failure(Kind.ANSWER_CUT, Loss.SILENCE)
            except TRANSFER_ERRORS as exc:
                return Failure(Kind.ANSWER_CUT, type(exc).__name__)
            if failed(part):
                return part
            if not part:
                return Failure(Kind.ANSWER_CUT, "the answer ended early")
            self._buffer += part
        frame, _, self._buffer = self._buffer.partition(SEPARATOR)
        return frame

    async def _read(self) -> bytes | Failure:
        """Read some bytes, unless the deadline passes, the caller disconnects or none arrive."""
        clock = self._ctx.clock
        silence_deadline = clock.monotonic() + self._ctx.cfg.silence_seconds
        while True:
            now = clock.monotonic()
            if self._caller.is_disconnected():
                return loss_failure(RequestState.FIRST_BYTE, Loss.CALLER_GONE)
            if now >= self._req.deadline:
                return loss_failure(RequestState.FIRST_BYTE, Loss.DEADLINE)
            if now >= silence_deadline:
                raise StreamSilent
            wait = min(CHECK_INTERVAL_SECONDS, silence_deadline - now, self._req.deadline - now)
            try:
                async with asyncio.timeout(wait):
                    return await self._opened.read_chunk()
            except TimeoutError:
                continue

    async def _recover(self, failure: Failure) -> Failure | None:
        """Probe a stream that broke or went silent, and resume it if the engine still has it."""
        if failure.kind is not Kind.ANSWER_CUT:
            return failure
        silent = failure.reason == Loss.SILENCE
        found = await self._endpoints.probe(self._state.url, self._req.request_id)
        if failed(found) or found is None:
            return loss_failure(
                RequestState.FIRST_BYTE, Loss.SILENCE if silent else Loss.ENDPOINT_GONE
            )
        if silent and found.tokens <= self._next_offset and not found.done:
            # The engine is slow, not lost: the caller already has all tokens generated so far.
            return None
        if self._resumes >= MAX_RESUMES:
            return loss_failure(RequestState.FIRST_BYTE, Loss.ENDPOINT_GONE, "resumed too often")
        self._resumes += 1
        return await self._resume(silent)

    async def _resume(self, silent: bool) -> Failure | None:
        if silent:
            self._endpoints.renew_connections(self._state.url)
        if self._opened is not None:
            await self._opened.release()
        query = f"?offset={self._next_offset}&form={self._req.form}"
        path = f"/v1/streams/{self._req.request_id}{query}"
        opened = await self._endpoints.open(self._state.url, Call("GET", path, {}, b"", False))
        if failed(opened) or opened.status != 200:
            return loss_failure(RequestState.FIRST_BYTE, Loss.ENDPOINT_GONE, "not resumed")
        self.attach(opened)
        self._ctx.timeline.add(
            "stream_resumed",
            request=self._req.request_id,
            endpoint=self._state.name,
            detail=f"at {self._next_offset}",
        )
        return None
