"""Client protocol for endpoints: requests, resumable streams, reports and orders.

:class:`HttpEndpoints` implements the HTTP interface of the stand-in engine; a real engine needs its
own adapter. docs/design/http-clients.md has the measurements that chose aiohttp over blacksheep's
client.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable, Iterator, Mapping
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from typing import Any, Protocol, TypeVar

import aiohttp
import msgspec
from aiohttp.http import HttpProcessingError
from yarl import URL

from peridotdock.clients.answer_memory import MAX_ANSWER_BYTES, AnswerMemory, KeptAnswer
from peridotdock.clients.http import (
    CONNECT_ERRORS,
    CONNECT_TIMEOUT_SECONDS,
    SEND_CHECK,
    TRANSFER_ERRORS,
    BoundedProtocol,
    ConnectionAwareResponse,
    EndlessAnswer,
    Exchange,
    Pool,
    SendCheck,
    UnreadableAnswer,
    Withdrawn,
    always,
    read_body,
    read_retry_after,
    send_once,
)
from peridotdock.errors import Failure, Kind, failed

REPORT_TIMEOUT_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 1.0
NOT_RUN_HEADER = "x-not-run"
MAX_REFUSAL_BYTES = 64 * 1024
MAX_REPORT_BYTES = 2 * 1024 * 1024
# Reasons of failures for which no answer arrived in time.
TIMEOUT_REASONS = frozenset(
    kind.__name__
    for kind in (
        TimeoutError,
        aiohttp.ServerTimeoutError,
        aiohttp.ConnectionTimeoutError,
        aiohttp.SocketTimeoutError,
    )
)
# Errors of bytes that are no answer.
NO_ANSWER_ERRORS = (
    EndlessAnswer,
    UnreadableAnswer,
    HttpProcessingError,
    aiohttp.ClientResponseError,
)
TOO_LONG = Failure(Kind.ENDPOINT_ERROR, "the answer is too long")
HEAD_ALONE = Failure(Kind.ANSWER_CUT, "ended with its head")
SUCCESS = range(200, 300)
CONNECTION_KINDS = frozenset({Kind.ENDPOINT_UNREACHABLE, Kind.ENDPOINT_LOST})

T = TypeVar("T")


@dataclass(frozen=True)
class LoadedItem:
    """An item that an engine reports: its accelerators, size, and whether it can serve."""

    accelerators: list[int]
    bytes: int
    ready: bool


@dataclass(frozen=True)
class EngineLoad:
    """The load of an engine; ``prefill`` in tokens, ``prefill_rate`` in tokens a second."""

    running: int
    waiting: int
    prefill: int
    batch_limit: int
    prefill_rate: float
    step_us: int


@dataclass(frozen=True)
class Report:
    """State that an engine reports. ``age`` is the age of ``load`` in seconds.

    ``events`` are cache events: (sequence, "add" or "drop", block). A missing sequence number means
    that events were lost.
    """

    boot: str
    items: dict[str, LoadedItem]
    load: EngineLoad
    leaving: bool = False
    age: float = 0.0
    events: list[tuple[int, str, int]] = field(default_factory=list)
    last: int = 0


@dataclass(frozen=True)
class Order:
    """An order to an engine. Orders with the same number are repeats of one order."""

    number: int
    action: str
    item: str
    bytes: int
    accelerators: tuple[int, ...]


@dataclass(frozen=True)
class Call:
    """A request to an endpoint, as it is sent.

    ``at_most_once`` disables the HTTP library's own retry. ``connect_timeout`` is the limit for
    opening a new connection, in seconds. ``still_wanted`` is called once there is a connection; the
    request is sent only if it returns true. ``exchange`` is set if the endpoint's answers name the
    request that they belong to.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    at_most_once: bool
    connect_timeout: float = CONNECT_TIMEOUT_SECONDS
    still_wanted: Callable[[], bool] = always
    exchange: Exchange | None = None


@dataclass(frozen=True)
class StreamState:
    """Progress of a stream on its engine."""

    tokens: int
    done: bool


class OpenResponse:
    """An answer whose head has arrived; ``connection`` is the same object for all on it.

    It must be released. Its connection is reused only if the answer was read to its end.
    """

    def __init__(
        self,
        resp: ConnectionAwareResponse,
        stack: AsyncExitStack,
        find_others: Callable[[], Iterable[BoundedProtocol]],
        memory: AnswerMemory,
    ):
        self._resp = resp
        self._stack = stack
        self._find_others = find_others
        self._held = memory.begin(self.abort)
        self.framed = resp.framed
        self.status = resp.status
        self.headers = resp.headers
        self.connection = resp.connection_key

    @property
    def length(self) -> int | None:
        """The length of the body that the head names, None without one or without a body."""
        return None if self._resp.content.at_eof() else self._resp.content_length

    @property
    def is_head_alone(self) -> bool:
        """Whether the head frames no body, and no byte of one has arrived."""
        return not self.framed and not self._resp.content.total_bytes

    def read_share(self) -> float:
        """Return which share of the body has arrived, 0 if its length is unknown."""
        return self._resp.content.total_bytes / self.length if self.length else 0.0

    async def reserve(self, size: int) -> None:
        """Wait until there is memory for an answer of ``size`` bytes."""
        await self._held.reserve(size)

    def hold(self, size: int) -> None:
        """Record that ``size`` bytes are held; raises EndlessAnswer if there is no memory left."""
        if not self._held.set_size(size):
            raise EndlessAnswer("too many bytes are held of unfinished answers")

    async def read_chunk(self) -> bytes:
        """Return the next bytes, empty at the end. Raises the errors in :data:`TRANSFER_ERRORS`."""
        try:
            part = await self._resp.content.readany()
        except TRANSFER_ERRORS as exc:
            if self._held.given_up:
                raise EndlessAnswer("too many bytes are held of unfinished answers") from exc
            raise
        if not part and not await self._resp.is_complete(self._find_others):
            raise aiohttp.ClientPayloadError("connection ended before the end of the answer")
        return part

    def abort(self) -> None:
        """Close the connection now: a pending read fails, and the endpoint sees the close."""
        self._resp.close()

    def close_connection(self, exchange: Exchange) -> None:
        """Close the connection, even one that is idle again, unless another request has it."""
        self._resp.close()
        if self.connection is not None and self.connection.exchange is exchange:
            self.connection.abort()

    def keep(self) -> KeptAnswer | None:
        """Count the bytes of an answer that was read whole until the returned object is gone."""
        return self._held.keep()

    async def release(self) -> None:
        """Close the connection unless the answer was read to its end."""
        self._held.release()
        if not self._resp.content.at_eof():
            self._resp.close()
        await self._stack.aclose()


class Endpoints(Protocol):
    """Calls that peridotdock makes to endpoints."""

    async def open(self, url: str, call: Call) -> OpenResponse | Failure:
        """Send a request; the kind of a failure tells whether the request may have run."""

    async def report(self, url: str, since: int) -> Report | Failure:
        """Read an engine's report, with the cache events after ``since``."""

    async def order(self, url: str, order: Order, timeout: float) -> Failure | None:
        """Send an order and wait until it is carried out."""

    async def probe(self, url: str, stream: str) -> StreamState | None | Failure:
        """Return the progress of a stream, read over a new connection; None when it is unknown."""

    def cancel(self, url: str, stream: str) -> None:
        """Stop a stream, without waiting for it."""


class HttpEndpoints:
    """Endpoints over HTTP, with one connection pool per endpoint.

    ``not_run_header`` is the response header that marks a request that the endpoint did not run;
    None when the sender checks the head of the answer itself. ``memory`` is for what is read of
    unfinished answers.
    """

    def __init__(
        self, not_run_header: str | None = NOT_RUN_HEADER, memory: AnswerMemory | None = None
    ) -> None:
        self._not_run_header = not_run_header
        self._memory = memory or AnswerMemory()
        self._pools: dict[str, Pool] = {}
        self._control: dict[str, Pool] = {}
        self._cancels: set[asyncio.Future[Any]] = set()

    def _pool(self, url: str) -> Pool:
        return self._pools.setdefault(url, Pool())

    def _control_pool(self, url: str) -> Pool:
        return self._control.setdefault(url, Pool(limit=32))

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(*self._cancels, return_exceptions=True)
        for pool in (*self._pools.values(), *self._control.values()):
            await pool.close()

    def renew_connections(self, url: str) -> None:
        """Stop reusing connections to ``url``: one of them was dead, so all may be."""
        self._pool(url).renew()
        self._control_pool(url).renew()

    async def open(self, url: str, call: Call) -> OpenResponse | Failure:
        """Send a request and wait for the head of its answer."""
        stack = AsyncExitStack()
        pool = self._pool(url)
        check = SendCheck(call.still_wanted, call.exchange)
        token = SEND_CHECK.set(check)
        try:
            session = await stack.enter_async_context(pool.use())
            resp = await session.request(
                call.method,
                URL(url + call.path, encoded=True),
                headers=call.headers,
                data=call.body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=call.connect_timeout),
                middlewares=(send_once(),) if call.at_most_once else (),
            )
        except (*CONNECT_ERRORS, Withdrawn) as exc:
            await stack.aclose()
            return Failure(Kind.ENDPOINT_UNREACHABLE, type(exc).__name__)
        except TRANSFER_ERRORS as exc:
            await stack.aclose()
            return transfer_failure(exc, Kind.ENDPOINT_LOST)
        except BaseException:
            await stack.aclose()
            raise
        finally:
            SEND_CHECK.reset(token)
            check.close()
        pool.apply_keep_alive(resp.headers)
        refused = self._not_run_header is not None and self._not_run_header in resp.headers
        if refused and resp.status in (429, 503):
            resp.close()
            await stack.aclose()
            return Failure(
                Kind.ENDPOINT_REFUSED, retry_after=read_retry_after(resp.headers) or None
            )
        return OpenResponse(resp, stack, lambda: self._connections(url), self._memory)

    def _connections(self, url: str) -> Iterator[BoundedProtocol]:
        """Yield the connections to an endpoint."""
        for pools in (self._pools, self._control):
            pool = pools.get(url)
            if pool is not None:
                yield from pool.connections()

    async def control_call(
        self,
        method: str,
        url: str,
        path: str,
        timeout: float,
        body: Any = None,
        headers: Mapping[str, str] | None = None,
    ) -> tuple[int, bytes] | Failure:
        """Make a small control call, on connections apart from those of requests.

        Returns the status and the body, which has at most ``MAX_REPORT_BYTES``.
        Failure guarded against: a report arrives in two parts, and the first one alone is read.
        """
        limit = aiohttp.ClientTimeout(total=timeout, sock_connect=timeout)
        pool = self._control_pool(url)
        try:
            async with (
                pool.use() as session,
                session.request(
                    method, url + path, json=body, headers=headers, timeout=limit
                ) as resp,
            ):
                return resp.status, await read_body(resp, self._memory, MAX_REPORT_BYTES)
        except CONNECT_ERRORS as exc:
            return Failure(Kind.ENDPOINT_UNREACHABLE, type(exc).__name__)
        except TRANSFER_ERRORS as exc:
            if isinstance(exc, asyncio.TimeoutError):
                pool.renew()
            return transfer_failure(exc, Kind.ENDPOINT_LOST)

    async def report(self, url: str, since: int) -> Report | Failure:
        """Read a report; one that can't be decoded is a failure of the endpoint."""
        path = f"/control/report?since={since}"
        outcome = await self.control_call("GET", url, path, REPORT_TIMEOUT_SECONDS)
        return outcome if failed(outcome) else read_as(outcome, Report)

    async def order(self, url: str, order: Order, timeout: float) -> Failure | None:
        """Send an order; the failure for an outdated number has the kind fenced."""
        body = {
            "order": order.number,
            "action": order.action,
            "item": order.item,
            "bytes": order.bytes,
            "accelerators": order.accelerators,
        }
        outcome = await self.control_call("POST", url, "/control/orders", timeout, body)
        if failed(outcome):
            return outcome
        if outcome[0] == 409:
            return Failure(Kind.FENCED)
        return None if outcome[0] == 200 else Failure(Kind.ENDPOINT_ERROR, f"status {outcome[0]}")

    async def probe(self, url: str, stream: str) -> StreamState | None | Failure:
        """Read the state of a stream, always over a new connection."""
        self._control_pool(url).renew()
        path = f"/v1/streams/{stream}?probe=1"
        outcome = await self.control_call("GET", url, path, PROBE_TIMEOUT_SECONDS)
        if failed(outcome):
            return outcome
        return None if outcome[0] == 404 else read_as(outcome, StreamState)

    def cancel(self, url: str, stream: str) -> None:
        """Stop a stream in the background; if the call is lost, the engine's own limit stops it.

        The call is not awaited, so that a dead engine can't delay the caller's final answer.
        """
        work = self.control_call("DELETE", url, f"/v1/streams/{stream}", PROBE_TIMEOUT_SECONDS)
        task = asyncio.ensure_future(work)
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)


def shows_end(failure: Failure) -> bool:
    """Return whether a failed call shows that the endpoint has ended.

    Its connection was refused or reset. A call without an answer in time, or with an error as its
    answer, says nothing of the endpoint's other connections.
    """
    return failure.kind in CONNECTION_KINDS and failure.reason not in TIMEOUT_REASONS


def transfer_failure(exc: Exception, lost: Kind) -> Failure:
    """Return the failure for an error in a transfer; ``lost`` is the kind if the connection broke.

    An endpoint that sends too much, or a head that is none, has not ended, and its connection was
    closed on purpose.
    """
    kind = Kind.ENDPOINT_ERROR if isinstance(exc, NO_ANSWER_ERRORS) else lost
    return Failure(kind, type(exc).__name__)


def read_as(outcome: tuple[int, bytes], shape: type[T]) -> T | Failure:
    """Decode a JSON answer into ``shape``; a bad one is a failure of the endpoint."""
    status, raw = outcome
    if status != 200:
        return Failure(Kind.ENDPOINT_ERROR, f"status {status}")
    try:
        return msgspec.json.decode(raw, type=shape)
    except msgspec.MsgspecError as exc:
        return Failure(Kind.ENDPOINT_ERROR, str(exc))


async def read_all(opened: OpenResponse, limit: int = MAX_ANSWER_BYTES) -> bytes | Failure:
    """Read an answer to its end; one that is cut off or exceeds ``limit`` bytes is a failure.

    Failures guarded against: an endpoint sends a body without end. Several of these fill the memory
    of the host, and each is read for so long that the deadline passes. Or it stops after the head,
    which frames no body, and an empty one counts as whole.
    """
    if (opened.length or 0) > limit:
        return TOO_LONG
    await opened.reserve(opened.length or 0)
    parts: list[bytes] = []
    size = 0
    async for part in iter_chunks(opened):
        if failed(part):
            return part
        size += len(part)
        if size > limit:
            return TOO_LONG
        try:
            opened.hold(size)
        except EndlessAnswer as exc:
            return transfer_failure(exc, Kind.ANSWER_CUT)
        parts.append(part)
    if opened.is_head_alone and opened.status in SUCCESS:
        return HEAD_ALONE
    return b"".join(parts)


async def iter_chunks(opened: OpenResponse) -> AsyncIterator[bytes | Failure]:
    """Yield the chunks of an answer; if it is cut off, the last item is a failure."""
    while True:
        try:
            part = await opened.read_chunk()
        except TRANSFER_ERRORS as exc:
            yield transfer_failure(exc, Kind.ANSWER_CUT)
            return
        if not part:
            return
        yield part
