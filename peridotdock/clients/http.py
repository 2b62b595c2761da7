"""Connection pools over aiohttp for one external system, which can be renewed.

aiohttp retries some methods by itself when a reused connection turns out to be dead.
:func:`send_once` prevents that, as a call that must run at most once could run twice.
"""

import asyncio
import fcntl
import math
import re
import socket
import struct
import termios
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable, Collection, Iterable, Iterator, Mapping
from contextlib import asynccontextmanager
from contextvars import Context, ContextVar
from dataclasses import dataclass
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError

from peridotdock.clients.answer_memory import AnswerMemory
from peridotdock.timeouts import IterationTimeout

CONNECT_TIMEOUT_SECONDS = 1.0
# Iterations of the event loop from the one in which the kernel has opened a connection to the first
# use of that connection.
CONNECT_ITERATIONS = 4
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
TRANSFER_ERRORS = (
    aiohttp.ClientError,
    HttpProcessingError,
    asyncio.TimeoutError,
    OSError,
    ValueError,
)

# Bytes that one answer may have besides its body: heads and the framing of chunks, which may be a
# multiple of a body in small chunks.
MAX_FRAMING_BYTES = 256 * 1024
FRAMING_FACTOR = 8
# Interim and further answers that a connection holds unread, and bytes that are parsed at once
# outside of a body: heads take up many times their size.
MAX_UNREAD_HEADS = 16
PARSED_BYTES = 16 * 1024
# Bytes from which a connection holds unread bytes of a body back.
READ_BYTES = 32 * 1024

# Failure guarded against: a network device drops the state of a connection, or the peer's machine
# fails, and the connection stays open forever. The kernel probes idle connections after 1 s and
# gives up 3 s after the last sign of life, whatever the number of probes: a sound endpoint may be
# silent for a second or so, and the last sign may be a second older than its silence.
DEAD_PEER_SECONDS = 3
DEAD_PEER_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, DEAD_PEER_SECONDS * 1_000),
)
# Number of bytes that the kernel holds of what was sent, until the peer has received them.
UNSENT_COUNT = struct.Struct("i")
# Seconds for which connections are watched: those of a process that ends are closed by then.
WATCH_SECONDS = 0.05
# Statuses of answers that end with their head.
BODILESS_STATUSES = frozenset({204, 304})
FINAL_STATUSES = range(200, 600)
# Transfer codings that a host reads; it passes none on.
READ_CODINGS = frozenset({"", "identity", "chunked"})
# Answers on a connection of which a copy may still come.
KEPT_EXCHANGES = 16
KEEP_ALIVE_PATTERN = re.compile(r"timeout\s*=\s*(\d+)")
# An idle connection is not reused in the last seconds before the server closes it: a request may
# take that long to arrive when the event loop or the link is slow.
KEEP_ALIVE_MARGIN_SECONDS = 0.5
# Headers that aiohttp would add; a relayed request must reach its endpoint unchanged.
AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


def open_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket that detects a dead peer by keep-alive probes and a send timeout."""
    family, kind, proto, _, _ = info
    sock = socket.socket(family, kind, proto)
    for level, option, value in DEAD_PEER_OPTIONS:
        sock.setsockopt(level, option, value)
    return sock


class SecondSend(aiohttp.ClientError):
    """aiohttp was about to send the same request again."""


def send_once() -> Any:
    """Return a middleware that sends one request and rejects aiohttp's own retry."""
    sent = False

    async def middleware(req: aiohttp.ClientRequest, handler: Any) -> aiohttp.ClientResponse:
        nonlocal sent
        if sent:
            raise SecondSend("request was already sent once; retry suppressed")
        sent = True
        return await handler(req)

    return middleware


class EndlessAnswer(aiohttp.ClientPayloadError):
    """A peer sends more bytes than its answer may have; its connection is closed."""


class UnreadableAnswer(aiohttp.ClientError):
    """An answer has a head that callers can't be given, or a body that can't be read."""


@dataclass(slots=True, eq=False)
class Exchange:
    """A request on its connection, and the id in its answer.

    ``named`` is the attempt id in the answer, empty if there is none or no answer yet. ``in_doubt``
    is set if the answer may be a copy of one before it on the connection.
    """

    attempt_id: str
    repeatable: bool
    named: str = ""
    in_doubt: bool = False


class BoundedProtocol(ResponseHandler):
    """A connection that is closed once its peer sends too much that is no body.

    Failure guarded against: a peer sends heads one after another or the extension of a chunk
    without end. The request waits until its deadline; on an idle connection nobody waits, and the
    heads fill the memory.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self._received = 0
        self._body: aiohttp.StreamReader | None = None
        self._endless = False
        self._watched: asyncio.Future[None] | None = None
        # Whether the peer ended its answer with the connection before it had the whole request.
        self.closed_early = False
        self.exchange: Exchange | None = None
        self._exchanges: deque[Exchange] = deque(maxlen=KEPT_EXCHANGES)

    def may_copy_answer(self, attempt_id: str) -> bool:
        """Return whether a copy of an earlier answer could be taken for the one to an attempt.

        A copy may be so late that answers to other requests have come before it.
        """
        return any(row.named in ("", attempt_id) for row in self._exchanges)

    def begin(self, exchange: Exchange) -> None:
        """Begin an exchange: its request is sent now.

        Only the last answer puts this one in doubt, as a connection that is closed at each refusal
        is a new one at a full endpoint; what may run once is not sent on it for longer.
        """
        last = self.exchange
        exchange.in_doubt = last is not None and last.named in ("", exchange.attempt_id)
        self.exchange = exchange
        self._exchanges.append(exchange)

    @property
    def is_watched(self) -> bool:
        """Whether the connection is open, and its end would be seen at once."""
        return self.transport is not None and self.transport.is_reading()

    def watch_closed(self) -> asyncio.Future[None] | None:
        """Return the future that completes when the connection closes, None if it has.

        Its error counts as seen. The callback for that is added once, in a context of its own: it
        stays until the connection closes, and would hold the request of the current one.
        """
        closed = self.closed
        if closed is not None and closed is not self._watched:
            closed.add_done_callback(asyncio.Future.exception, context=Context())
            self._watched = closed
        return closed

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read, few bytes at once."""
        super().connection_made(transport)
        # asyncio receives 256 KB at once; parsing as many bytes of small chunks holds up the loop.
        if hasattr(transport, "max_size"):
            transport.max_size = READ_BYTES

    def eof_received(self) -> None:
        """Note whether the peer of an unfinished answer has not received the whole request."""
        if self._body is not None and not self._body.is_eof():
            self.closed_early = has_unsent(self.transport)
        super().eof_received()

    def set_response_params(self, **params: Any) -> None:
        """Begin the next answer of the connection."""
        self._received, self._body = 0, None
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take in a parsed head; those over the limit are dropped."""
        message, body = data
        interim = 100 <= message.code < 200 and message.code != 101
        if self._body is None and not interim:
            self._body = body
        if len(self._buffer) < MAX_UNREAD_HEADS:
            super().feed_data(data, size)
        else:
            self._endless = True

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, few at once unless they belong to a body."""
        in_body = self._body is not None and not self._body.is_eof()
        step = max(1, len(data)) if in_body else PARSED_BYTES
        for begin in range(0, max(1, len(data)), step):
            self._parse(data[begin : begin + step])
            if self._endless or self.exception() is not None:
                return

    def _parse(self, part: bytes) -> None:
        super().data_received(part)
        if self.exception() is not None:
            self._end_body(UnreadableAnswer("bytes that are no body"))
            return
        self._received += len(part)
        if self._reading_paused or self._parser is None:
            # Bytes that are not parsed yet may belong to the body.
            return
        body = 0 if self._body is None else self._body.total_bytes
        framing = self._received - body
        self._endless |= framing > MAX_FRAMING_BYTES + FRAMING_FACTOR * body
        if self._endless:
            self._give_up()

    def _end_body(self, exc: Exception) -> None:
        """Let the reader of an unfinished body know why no more of it comes.

        Failure guarded against: bytes in a body can't be parsed. aiohttp closes the connection, and
        the reader waits until the request's deadline.
        """
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(exc)

    def _give_up(self) -> None:
        """Close the connection; an answer that has arrived whole can still be read."""
        exc = EndlessAnswer("bytes without end that are no body")
        self._end_body(exc)
        self._parser = self._payload = None
        own = [row for row in self._buffer if row[0][1] is self._body]
        self._buffer.clear()
        self._buffer.extend(own)
        self.set_exception(exc)
        if self.transport is not None:
            self.transport.abort()


class ConnectionAwareResponse(aiohttp.ClientResponse):
    """A response that knows whether its connection was closed cleanly.

    Failure guarded against: a response without a length ends when its connection closes, and
    aiohttp treats a reset as that end too. A truncated answer would be relayed as a complete one.
    A process that crashes also closes its connections cleanly, all of them; then nothing listens
    any more. Where the request was not received whole, the end of the connection says nothing of
    the answer.
    """

    connection_closed: asyncio.Future[None] | None = None
    connection_key: BoundedProtocol | None = None

    async def start(self, connection: Any) -> "ConnectionAwareResponse":
        """Start to read, and keep what outlives the end of the answer.

        That is an object that stands for the connection, the same for all answers on it, and the
        future that completes when the connection closes.
        """
        protocol = connection.protocol
        self.connection_key = protocol
        self.connection_closed = protocol.watch_closed()
        await super().start(connection)
        fault = self._find_fault()
        if fault:
            # An answer that has arrived whole has given its connection back already.
            protocol.close()
            raise UnreadableAnswer(fault)
        return self

    def _find_fault(self) -> str:
        """Return what makes the head unreadable, or an empty string."""
        if self.status not in FINAL_STATUSES:
            # The server has no status line for it, or 101 would begin another protocol.
            return f"status {self.status}"
        if self._transfer_coding not in READ_CODINGS:
            return f"transfer coding {self._transfer_coding}"
        # aiohttp's Python parser, used where the C one is missing, goes by the first length.
        lengths = set(self.headers.getall("Content-Length", ()))
        return "two lengths" if len(lengths) > 1 else ""

    @property
    def _transfer_coding(self) -> str:
        return ", ".join(self.headers.getall("Transfer-Encoding", ())).strip().lower()

    @property
    def framed(self) -> bool:
        """Whether the end of the body is marked by something other than the connection's end.

        Failure guarded against: a body in another coding than chunks ends with its connection, and
        counts as whole after a reset.
        """
        named = "Content-Length" in self.headers or self._transfer_coding == "chunked"
        return named or self.method == "HEAD" or self.status in BODILESS_STATUSES

    async def is_complete(self, find_others: "Callable[[], Iterable[BoundedProtocol]]") -> bool:
        """Return whether the answer is complete; call it after the end was read.

        ``find_others`` returns the open connections to the same process. An end that can't be told
        from a break counts as one.
        """
        if self.framed:
            return True
        if self.connection_closed is None or self.connection_key is None:
            return False
        await asyncio.wait({self.connection_closed}, timeout=CONNECT_TIMEOUT_SECONDS)
        if not self.connection_closed.done() or self.connection_closed.exception() is not None:
            return False
        if self.connection_key.closed_early:
            return False
        others = [conn for conn in find_others() if conn.is_watched]
        return await lives_on(f"{self.url.host}:{self.url.port}", others)


class Withdrawn(aiohttp.ClientError):
    """A request was not sent: it was withdrawn, or its new connection can't be used."""


def always() -> bool:
    """Return True: the request is sent in any case."""
    return True


def no_others() -> "Iterable[BoundedProtocol]":
    """Return no connections."""
    return ()


class SendCheck:
    """Whether a request is still wanted once it has a connection, until it is sent or given up.

    Failure guarded against: a connection keeps the context in which it was opened, and with it the
    request for which that was done, for as long as it lives.
    """

    def __init__(self, still_wanted: Callable[[], bool] = always, exchange: Exchange | None = None):
        self.still_wanted = still_wanted
        self.exchange = exchange

    def may_use(self, conn: BoundedProtocol) -> bool:
        """Return whether the request may be sent on an idle connection.

        Failure guarded against: a server sends an answer twice. The copy is read as the answer to
        the next request on the connection: a request that runs counts as refused.
        """
        if conn.should_close:
            return False
        exchange = self.exchange
        if exchange is None or exchange.repeatable:
            return True
        return not conn.may_copy_answer(exchange.attempt_id)

    def close(self) -> None:
        """Forget the request."""
        self.still_wanted = always


# Checked when a request has its connection, right before its first byte is sent.
SEND_CHECK: ContextVar[SendCheck] = ContextVar("SEND_CHECK", default=SendCheck())  # noqa: B039


class Connector(aiohttp.TCPConnector):
    """A connector with an adjustable idle timeout, which can withdraw requests.

    Failures guarded against: opening a connection may take a second, in which the endpoint may
    announce that it drains; the request would then arrive later than the endpoint has promised to
    serve. And a host that stalls for a second would take all endpoints that it was connecting to
    for unreachable, so the connect timeout also requires iterations of the event loop.
    """

    def __init__(self, **options: Any):
        super().__init__(**options)
        self._factory = partial(BoundedProtocol, loop=self._loop)

    async def connect(self, req: Any, traces: Any, timeout: aiohttp.ClientTimeout) -> Any:
        """Return a connection; raises Withdrawn if the request is no longer wanted by then."""
        if timeout.sock_connect is None:
            conn = await super().connect(req, traces, timeout)
        else:
            async with IterationTimeout(timeout.sock_connect, CONNECT_ITERATIONS):
                conn = await super().connect(req, traces, aiohttp.ClientTimeout(total=None))
        check = SEND_CHECK.get()
        if conn.protocol.should_close or not check.still_wanted():
            conn.release()
            raise Withdrawn("request was not sent")
        if check.exchange is not None:
            conn.protocol.begin(check.exchange)
        return conn

    async def _get(self, key: Any, traces: Any) -> Any:
        """Return a pooled connection that the request may use, or None.

        If there are only others, the one that is idle for longest is closed: a new connection takes
        its place at the server.
        """
        check, idle = SEND_CHECK.get(), self._conns.pop(key, ())
        usable = deque(row for row in idle if check.may_use(row[0]))
        others = deque(row for row in idle if not check.may_use(row[0]))
        if usable:
            self._conns[key] = usable
        elif others:
            others.popleft()[0].close()
        conn = await super()._get(key, traces)
        if others:
            self._conns[key].extend(others)
        return conn

    def connections(self) -> Iterator[BoundedProtocol]:
        """Yield the connections in use, and the idle ones."""
        yield from self._acquired
        for rows in self._conns.values():
            yield from (conn for conn, _ in rows)

    def limit_idle_time(self, seconds: float) -> None:
        """Stop reusing connections that have been idle for more than ``seconds``."""
        self._keepalive_timeout = min(self._keepalive_timeout, seconds)


class Pool:
    """A connection pool whose connections can be replaced all at once.

    A network device can lose the state of every open connection while new ones work; all pooled
    connections are then silent. :meth:`renew` leaves them to the requests that still use them, and
    all later requests open new ones.
    """

    def __init__(self, limit: int = 0, idle_seconds: float = 15.0):
        self._limit = limit
        self._idle_seconds = idle_seconds
        self._current: aiohttp.ClientSession | None = None
        self._use_counts: Counter[aiohttp.ClientSession] = Counter()
        self._closing: set[asyncio.Future[None]] = set()

    def _get_session(self) -> aiohttp.ClientSession:
        if self._current is None:
            connector = Connector(
                limit=self._limit, keepalive_timeout=self._idle_seconds, socket_factory=open_socket
            )
            self._current = aiohttp.ClientSession(
                connector=connector,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=AUTO_HEADERS,
                response_class=ConnectionAwareResponse,
                read_bufsize=READ_BYTES,
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
            )
        return self._current

    @asynccontextmanager
    async def use(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Provide the current session for one request."""
        session = self._get_session()
        self._use_counts[session] += 1
        try:
            yield session
        finally:
            self._use_counts[session] -= 1
            if not self._use_counts[session]:
                del self._use_counts[session]
                if session is not self._current:
                    await session.close()

    def connections(self) -> Iterator[BoundedProtocol]:
        """Yield the connections that requests use, and the idle ones."""
        for session in {*self._use_counts, *([self._current] if self._current else [])}:
            yield from session.connector.connections()

    def apply_keep_alive(self, headers: Mapping[str, str]) -> None:
        """Limit the idle time of connections to the server's ``Keep-Alive`` timeout.

        Failure guarded against: a request is sent on a connection that the server is closing at
        that moment, and is lost. If it may run at most once, it is unknown whether it has run, and
        its caller gets a 502.
        """
        found = KEEP_ALIVE_PATTERN.search(headers.get("Keep-Alive", ""))
        if found is None or self._current is None:
            return
        self._idle_seconds = min(
            self._idle_seconds, max(0.0, int(found[1]) - KEEP_ALIVE_MARGIN_SECONDS)
        )
        self._current.connector.limit_idle_time(self._idle_seconds)

    def renew(self) -> None:
        """Stop reusing the present connections; those in use stay open until their request ends."""
        session, self._current = self._current, None
        if session is None or self._use_counts[session]:
            return
        closing = asyncio.ensure_future(session.close())
        self._closing.add(closing)
        closing.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close every connection."""
        sessions = {*self._use_counts, *([self._current] if self._current else [])}
        self._current = None
        for session in sessions:
            await session.close()
        await asyncio.gather(*self._closing, return_exceptions=True)


def has_unsent(transport: asyncio.Transport | None) -> bool:
    """Return whether the peer of a connection has not received all that was sent.

    Failure guarded against: a server closes its connection while a request is on its way, and the
    kernel resets it for the rest. A reader sees the first alone: once the end of the connection has
    arrived, its reads return no error.
    """
    if transport is None or transport.get_write_buffer_size():
        return True
    sock = transport.get_extra_info("socket")
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return True
    raw = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(UNSENT_COUNT.size))
    return UNSENT_COUNT.unpack(raw)[0] > 0


async def lives_on(address: str, connections: Collection[BoundedProtocol]) -> bool:
    """Return whether a process listens at IP:PORT, or its ``connections`` stay open.

    A server that stops as planned listens no more while it sends its last answers.
    """
    if await still_listens(address, CONNECT_TIMEOUT_SECONDS):
        return True
    if connections:
        await asyncio.sleep(WATCH_SECONDS)
    return any(conn.is_watched for conn in connections)


async def still_listens(address: str, seconds: float) -> bool:
    """Return whether a process listens at IP:PORT, and goes on to.

    Failure guarded against: of a process that is killed, connections end some moments before its
    listener, which still takes a connection then and resets it. A server with too many connections
    resets one too, and takes the next one.
    """
    for _ in range(2):
        ended = await open_and_watch(address, seconds)
        if ended is None:
            return False
        if not ended:
            return True
    return True


async def open_and_watch(address: str, seconds: float) -> bool | None:
    """Return whether a new connection to IP:PORT ends at once, None if none can be opened."""
    found = await try_connect(address, seconds)
    if found is None:
        return None
    reader, writer = found
    try:
        async with asyncio.timeout(WATCH_SECONDS):
            return not await reader.read(1)
    except TimeoutError:
        return False
    except OSError:
        return True
    finally:
        writer.close()


async def can_connect(address: str, seconds: float) -> bool:
    """Return whether a connection to IP:PORT can be opened in time; it is closed at once."""
    found = await try_connect(address, seconds)
    if found is not None:
        found[1].close()
    return found is not None


async def try_connect(
    address: str, seconds: float
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
    """Return a new connection to IP:PORT, or None."""
    ip, _, port = address.rpartition(":")
    try:
        async with IterationTimeout(seconds, CONNECT_ITERATIONS):
            return await asyncio.open_connection(ip, int(port))
    except (OSError, ValueError):
        return None


async def read_body(resp: ConnectionAwareResponse, memory: AnswerMemory, limit: int) -> bytes:
    """Read a small answer to its end; raises EndlessAnswer if it takes up too much memory.

    Failure guarded against: a part of an object counts as the whole one, as its connection was
    reset and it has neither length nor chunks.
    """
    if (resp.content_length or 0) > limit:
        raise EndlessAnswer("the answer is too long")
    held = memory.begin(resp.close)
    parts: list[bytes] = []
    size = 0
    try:
        while part := await resp.content.readany():
            parts.append(part)
            size += len(part)
            if size > limit or not held.set_size(size):
                raise EndlessAnswer("the answer is too long")
        if not await resp.is_complete(no_others):
            raise aiohttp.ClientPayloadError("connection ended before the end of the answer")
    except aiohttp.ClientError as exc:
        if held.given_up:
            raise EndlessAnswer("too many bytes are held of unfinished answers") from exc
        raise
    finally:
        held.release()
    return b"".join(parts)


def read_retry_after(headers: Mapping[str, str]) -> float:
    """Return the seconds of Retry-After; 0 when it is missing or can't be parsed.

    HTTP dates are not parsed: endpoints that refuse a request name a short delay in seconds.
    """
    try:
        seconds = float(headers.get("retry-after") or 0)
    except ValueError:
        return 0.0
    return seconds if 0 < seconds < math.inf else 0.0
