"""Relaying of streamed answers: each frame is verified, passed on once, and resumed after a break.

After a stream breaks or goes silent, the engine is probed over a new connection. If it still has
the stream, the stream resumes where the caller's copy ends; a silent connection stays in use until
then. If the engine lost the stream, the caller gets an error frame and no closing ``[DONE]``, which
distinguishes an incomplete answer from a complete one.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import msgspec

from peridotdock.clients.endpoint import HttpEndpoints, OpenResponse
from peridotdock.clients.http import TRANSFER_ERRORS
from peridotdock.context import Context
from peridotdock.errors import Failure, Kind, failed
from peridotdock.fleet import EndpointState
from peridotdock.requests import CallerConnection, Loss, ModelRequest, RequestState, loss_failure
from peridotdock.searches import EngineEnded, Search, cancel, discard

SEPARATOR = b"\n\n"
DATA = b"data: "
DONE = b"[DONE]"
MAX_FRAME_BYTES = 1024 * 1024
# Resumes of a stream without a new frame between them.
MAX_RESUMES = 5
CHECK_INTERVAL_SECONDS = 0.25
# Time in which a stream whose connection closed is searched for: a sound engine may be silent for a
# second or so.
RECOVERY_SECONDS = 3.0


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


def read_head(data: bytes, send_id: str) -> FrameHead | Failure:
    """Parse and check the head of a frame or of a whole answer.

    Failure guarded against: answers are mixed up within an engine or on the network path, and a
    caller gets part of another caller's answer. The engine sets the ID of the send in each frame;
    any other ID ends the attempt.
    """
    try:
        head = HEAD_DECODER.decode(data)
    except msgspec.MsgspecError as exc:
        return Failure(Kind.ENDPOINT_ERROR, f"unreadable answer: {exc}")
    if head.id != send_id:
        return Failure(Kind.WRONG_ANSWER, f"answer to {head.id!r}")
    return head


class StreamBroke(Exception):
    """The connection closed before the end of the answer."""


class StreamRelay:
    """Relays one streamed answer from an endpoint to a caller."""

    def __init__(
        self,
        ctx: Context,
        endpoints: HttpEndpoints,
        state: EndpointState,
        req: ModelRequest,
        caller: CallerConnection,
        on_probe: Callable[[bool], None],
    ):
        self._ctx = ctx
        self._endpoints = endpoints
        self._search = Search(endpoints, state.url, req, on_probe)
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
            self._endpoints.cancel(self._state.url, self._req.send_id)

    async def frames(self) -> AsyncIterator[bytes | Failure]:
        """Yield each frame once; a failure ends the iteration."""
        while True:
            try:
                found = await self._next_frame()
            except StreamBroke:
                found = await self._recover()
                if found is None:
                    continue
            if failed(found):
                yield found
                return
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
        head = read_head(data, self._req.send_id)
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
            self._resumes = 0
        return frame + SEPARATOR

    async def _next_frame(self) -> bytes | Failure:
        while SEPARATOR not in self._buffer:
            if len(self._buffer) > MAX_FRAME_BYTES:
                return Failure(Kind.ENDPOINT_ERROR, "a frame is too long")
            try:
                part = await self._read()
            except TRANSFER_ERRORS as exc:
                raise StreamBroke from exc
            if failed(part):
                return part
            if not part:
                raise StreamBroke
            self._buffer += part
        frame, _, self._buffer = self._buffer.partition(SEPARATOR)
        return frame

    async def _read(self) -> bytes | Failure:
        """Read some bytes, unless the deadline passes, the caller disconnects or the engine ends.

        Failure guarded against: a sound engine is silent for longer than a probe may take, and its
        stream is ended. The open connection stays in use until the engine goes on with the stream
        over a new one.
        """
        while True:
            found = await self._read_until_silent()
            if found is None:
                found = await self._read_beside_search()
            if found is not None:
                return found

    async def _read_until_silent(self) -> bytes | Failure | None:
        """Read some bytes; None if none arrive for ``silence_seconds``."""
        clock = self._ctx.clock
        silence_deadline = clock.monotonic() + self._ctx.cfg.silence_seconds
        while True:
            now = clock.monotonic()
            ended = self._find_end(now)
            if ended is not None:
                return ended
            if now >= silence_deadline:
                return None
            wait = min(CHECK_INTERVAL_SECONDS, silence_deadline - now, self._req.deadline - now)
            try:
                async with asyncio.timeout(wait):
                    return await self._opened.read_chunk()
            except TimeoutError:
                continue

    async def _read_beside_search(self) -> bytes | Failure | None:
        """Read some bytes while the engine is asked for the stream; None if it had no news."""
        read = asyncio.ensure_future(self._opened.read_chunk())
        try:
            found = await self._find_rest_beside(read)
        finally:
            await cancel(read)
        if not isinstance(found, OpenResponse):
            return found
        await self._switch_to(found)
        return None

    async def _find_rest_beside(
        self, read: asyncio.Future[bytes] | None
    ) -> bytes | OpenResponse | Failure | None:
        """Ask the engine for the stream until ``read`` ends, if there is an open connection."""
        search = asyncio.ensure_future(self._find_rest(silent=read is not None))
        try:
            while not search.done():
                now = self._ctx.clock.monotonic()
                ended = self._find_end(now)
                if ended is not None:
                    return ended
                await asyncio.wait(
                    {search} if read is None else {read, search},
                    timeout=min(CHECK_INTERVAL_SECONDS, self._req.deadline - now),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if read is not None and read.done():
                    return read.result()
            found, search = search.result(), None
            return found
        finally:
            if search is not None:
                await discard(search)

    def _find_end(self, now: float) -> Failure | None:
        """Return the failure if the caller has disconnected or its deadline has passed."""
        if self._caller.is_disconnected():
            return loss_failure(RequestState.FIRST_BYTE, Loss.CALLER_GONE)
        if now >= self._req.deadline:
            return loss_failure(RequestState.FIRST_BYTE, Loss.DEADLINE)
        return None

    async def _recover(self) -> Failure | None:
        """Resume a stream whose connection closed, if the engine still has it.

        Failure guarded against: the engine is silent at that moment, and the stream is ended after
        one probe although the engine goes on with it.
        """
        clock = self._ctx.clock
        give_up_at = clock.monotonic() + RECOVERY_SECONDS
        while True:
            found = await self._find_rest_beside(None)
            if isinstance(found, OpenResponse):
                await self._switch_to(found)
                return None
            if found is not None:
                return found
            if clock.monotonic() >= give_up_at:
                return loss_failure(RequestState.FIRST_BYTE, Loss.ENDPOINT_GONE)
            await clock.sleep(CHECK_INTERVAL_SECONDS)

    async def _find_rest(self, silent: bool) -> OpenResponse | Failure | None:
        """Ask the engine for the stream, and open the rest of it over a new connection.

        Return a failure if the engine lost the stream, and None if there is no reason to leave the
        open connection: the engine has nothing new, or it did not answer.
        """
        loss = Loss.SILENCE if silent else Loss.ENDPOINT_GONE
        lost = loss_failure(RequestState.FIRST_BYTE, loss)
        try:
            found = await self._search.probe()
            if failed(found):
                return None
            if found is None:
                return lost
            if silent and found.tokens <= self._next_offset and not found.done:
                # The engine is slow, not lost: the caller has all tokens generated so far.
                return None
            if self._resumes >= MAX_RESUMES:
                return loss_failure(
                    RequestState.FIRST_BYTE, Loss.ENDPOINT_GONE, "resumed too often"
                )
            if silent:
                self._endpoints.renew_connections(self._state.url)
            return await self._search.open(f"offset={self._next_offset}")
        except EngineEnded:
            return lost

    async def _switch_to(self, opened: OpenResponse) -> None:
        """Release the present connection and read on from ``opened``."""
        self._resumes += 1
        previous = self._opened
        self.attach(opened)
        if previous is not None:
            await previous.release()
        self._ctx.timeline.add(
            "stream_resumed",
            request=self._req.request_id,
            endpoint=self._state.name,
            detail=f"at {self._next_offset}",
        )
