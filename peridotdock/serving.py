"""An HTTP server for an application on pre-bound sockets, within the running event loop."""

import array
import asyncio
import errno
import fcntl
import logging
import random
import socket
import termios
from collections import deque
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

import httptools
import uvicorn
from blacksheep import Application, Request, Response, Router
from blacksheep.exceptions import MessageAborted
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol, RequestResponseCycle

from peridotdock.body_memory import BodyMemory, HeldBody
from peridotdock.clock import SystemClock
from peridotdock.descriptors import count_connections, read_descriptors
from peridotdock.errors import Failure, Kind
from peridotdock.input_memory import FIELD_BYTES, REQUEST_BYTES, HeldInput, InputMemory
from peridotdock.lingering import LingeringTransport
from peridotdock.loop_iterations import ACCEPTS_PER_ITERATION, find_iterations
from peridotdock.send_pace import SendPace

# Connections that may wait in the kernel's accept queue. Beyond them a caller's SYN packet is
# dropped and retransmitted after a second.
BACKLOG = 1024
KEEP_ALIVE_SECONDS = 30
# Bytes of header fields that a caller may always send, and what its request line, its trailers and
# the framing of its body may take beside what the configuration allows for header fields.
MAX_HEADER_BYTES = 32 * 1024
MORE_HEAD_BYTES = 16 * 1024
# Bytes of framing that each byte of a body may have: chunks may be of any size.
FRAMING_PER_BYTE = 16
# Bytes that are read of a connection at a time, so that one turn of it at the loop is short.
READ_BYTES = 32 * 1024
# Bytes that are parsed at a time, unless they are known to be of a body. A request may be as short
# as 18 bytes.
PARSED_BYTES = 1024
# Failure guarded against: a device on the network path drops the state of a connection, no byte
# arrives any more, and the connection stays open forever. With these options the kernel probes idle
# connections and closes one whose probes or data stay unacknowledged.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 10),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 20_000),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
# Iterations of the loop from the one that sets a connection up to its first read.
FIRST_READ_ITERATIONS = 1
# Bytes that are read behind requests without an answer, so that the end of the connection is seen,
# and the requests among them.
AHEAD_BYTES = 65536
AHEAD_REQUESTS = 16
# Key of a request's scope for the earliest monotonic time at which it can have arrived.
ARRIVAL_KEY = "came"
# Key of a request's scope for the function that ends its connection at once.
ABORT_KEY = "abort"
# Key of a request's scope for what is held of its body, which counts until it is answered.
BODY_KEY = "body"

# Key of a request's scope for the function that ends its connection with the requests read by then.
END_KEY = "end"

# Key of a request's scope for how fast its caller takes what is sent.
PACE_KEY = "pace"

# The answer to a request that has not arrived when the server ends.
UNREAD_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0\r\ncontent-length: 0\r\n"
    b"connection: close\r\n\r\n"
)

# The answers to bytes that are no request, and to a head or trailers that are too long.
INVALID_ANSWER = (
    b"HTTP/1.1 400 Bad Request\r\ncontent-type: text/plain; charset=utf-8\r\n"
    b"content-length: 30\r\nconnection: close\r\n\r\nInvalid HTTP request received."
)
TOO_LONG_ANSWER = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\ncontent-length: 0\r\n"
    b"connection: close\r\n\r\n"
)

# Headers that tell where a request ends.
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})
# Errors of accept(2) when the process or the machine can open no more connections for now.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
# Errors of accept(2) that belong to one connection, which was lost while it waited.
LOST_IN_QUEUE = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)

Handler = Callable[[Request], Awaitable[Response]]

log = logging.getLogger("peridotdock")


def make_application() -> Application:
    """Return an application with a separate router; blacksheep's default router is shared."""
    return Application(router=Router(), show_error_details=False)


def add_route(app: Application, method: str, path: str, handler: Handler) -> None:
    """Add a route; blacksheep sets attributes on its handler, which a bound method rejects."""

    async def handle(request: Request) -> Response:
        return await handler(request)

    app.router.add(method, path, handle)


async def read_body(request: Request, max_bytes: int) -> bytes | Failure:
    """Read a body of at most ``max_bytes``; a longer one is refused before it is fully read."""
    too_large = Failure(Kind.TOO_LARGE, f"at most {max_bytes} bytes")
    length = request.get_first_header(b"content-length")
    if length is not None and length.isdigit() and int(length) > max_bytes:
        return too_large
    held: HeldBody = request.scope[BODY_KEY]
    try:
        async for part in request.stream():
            if held.size + len(part) > max_bytes:
                return too_large
            refusal = await held.add(part)
            if refusal is not None:
                return refusal
    except MessageAborted:
        return Failure(Kind.BAD_REQUEST, "the caller left before the end of the body")
    return held.take()


class _SignalFreeServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers; the daemon handles signals."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class RequestParser(httptools.HttpRequestParser):
    """Parses a request that offers an upgrade like any other, as none is taken up.

    Failure guarded against: the base class ends such a request at its head. It runs without its
    body, and the bytes of the body are read as the next request.
    """

    def __init__(self, conn: "Connection"):
        super().__init__(conn)
        self.set_dangerous_leniencies(lenient_data_after_close=True)
        self._conn = conn

    def feed_data(self, data: bytes) -> None:
        """Parse received bytes."""
        rest = memoryview(data)
        while rest:
            try:
                super().feed_data(rest)
                return
            except httptools.HttpParserUpgrade as exc:
                rest = rest[exc.args[0] :]
                self._conn.in_second_head = True
                super().feed_data(write_framing(self._conn.scope["headers"]))
                self._conn.in_second_head = False


def read_length(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Return the length that a request names for its body, 0 if it names none."""
    values = [value for name, value in headers if name == b"content-length"]
    return int(values[0]) if values and values[0].isdigit() else 0


def write_framing(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return a request's head with nothing but what tells where the request ends."""
    rows = [b"%s: %s" % row for row in headers if row[0] in FRAMING_HEADERS]
    return b"\r\n".join([b"POST / HTTP/1.1", *rows, b"", b""])


class HeldFlow(FlowControl):
    """Flow control of a connection whose bytes may have been read and not parsed yet.

    ``paused`` is set while no more bytes may be parsed; ``parse`` is called when they may be.
    ``pace`` is told while no more bytes may be written.
    """

    def __init__(self, transport: asyncio.Transport, parse: Callable[[], None], pace: SendPace):
        super().__init__(transport)
        self._parse = parse
        self._pace = pace
        self.paused = False

    def pause_writing(self) -> None:
        """Write no more bytes until the caller has taken some."""
        super().pause_writing()
        self._pace.block()

    def resume_writing(self) -> None:
        """Write again."""
        super().resume_writing()
        self._pace.unblock()

    def pause_reading(self) -> None:
        """Read and parse no more bytes."""
        self.paused = True
        super().pause_reading()

    def resume_reading(self) -> None:
        """Parse what has been read, and read on once that is done."""
        self.paused = False
        self._parse()

    def set_reading(self, reads: bool) -> None:
        """Read on or not; what has been read comes first."""
        if reads and not self.paused:
            super().resume_reading()
        else:
            super().pause_reading()


class Connection(HttpToolsProtocol):
    """A connection that knows when its requests can have arrived, and what it still has to send.

    Failure guarded against: the loop lags, requests wait in kernel buffers, and their deadlines are
    counted from when they are read. Requests are then kept after their deadline, endpoints are
    given more time than is left, and answers arrive long after the timeout of their route.
    """

    # Whether answers from now on are the last ones of their connections.
    is_closing: Callable[[], bool]
    # The most bytes of a head, of trailers, or of framing.
    max_head_bytes: Callable[[], int]
    # The connections of the server that may be ended, this one among them while it is idle.
    idle: "IdleConnections"

    def __init__(self, inputs: InputMemory, **arguments: Any):
        super().__init__(**arguments)
        self.parser = RequestParser(self)
        # Set while the parser reads a second head for a request that has begun.
        self.in_second_head = False
        self._bytes_ahead = 0
        # The answer to the bytes behind the requests that are still to be answered.
        self._invalid: bytes | None = None
        # What is read and not parsed yet.
        self._unparsed = b""
        self._parsing = False
        # Bytes of the request that is being read, those of its body among them, and those of the
        # body that are still to come, if it names its length.
        self._message_bytes = 0
        self._body_bytes = 0
        self._body_left = 0
        self._held = HeldInput(inputs, self._abort)
        # What the head that is being read holds, and the heads of the requests without an answer.
        self._head_size = 0
        self._head_sizes: deque[int] = deque()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Record the earliest arrival of the connection, which its first request may share."""
        transport.max_size = READ_BYTES
        self._linger = LingeringTransport(transport, self._disconnect_request)
        super().connection_made(self._linger)
        self._pace = SendPace(self.loop.time)
        self.flow = HeldFlow(self._linger, self._parse, self._pace)
        self._read_at = 0.0
        self._answering: RequestResponseCycle | None = None
        self._ending = False
        self._iterations = find_iterations()
        self._arrived_at = self._iterations.count_accept()
        self._after_first_read = self._iterations.count + FIRST_READ_ITERATIONS + 1
        self.idle.add_new(self, len(self.connections))

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the request under way too; the server tells only the last one of a pipeline."""
        self._disconnect_request()
        self.idle.remove(self)
        self._unparsed = b""
        self._held.release()
        super().connection_lost(exc)

    def _abort(self) -> None:
        """End the connection, and drop at once what it holds, as many may end together."""
        self.transport.abort()
        self._unparsed = b""
        self.headers.clear()
        self.pipeline.clear()

    def data_received(self, data: bytes) -> None:
        """Read requests, until the connection is closed or is to end; drop what comes then.

        A request of which the head was read is read to its end.
        """
        if self._linger.lingers:
            self._linger.drop(data)
            return
        if self._ending and self.is_busy and not self.cycle.more_body:
            return
        if not self._unparsed:
            self._read_at = self._iterations.earliest_arrival()
        self._unparsed += data
        self._parse()

    def _parse(self) -> None:
        """Parse what has been read, as far as it may be held; nothing behind invalid bytes.

        Bytes are parsed a few at a time, as a few of them may be many requests.
        """
        if self._parsing:
            return
        self._parsing = True
        while self._unparsed and not self.flow.paused and len(self.pipeline) <= AHEAD_REQUESTS:
            if self.transport.is_closing() or self._invalid is not None:
                self._unparsed = b""
                break
            size = max(PARSED_BYTES, self._body_left)
            part, self._unparsed = self._unparsed[:size], self._unparsed[size:]
            self._message_bytes += len(part)
            super().data_received(part)
            self._read_ahead(len(part))
            self._check_length()
        self._parsing = False
        self.flow.set_reading(not self._unparsed)

    def _check_length(self) -> None:
        """End a connection that sends a head, trailers or framing without end."""
        over = self._message_bytes - self._body_bytes - FRAMING_PER_BYTE * self._body_bytes
        if over > self.max_head_bytes() and not self.transport.is_closing():
            self._answer_invalid(TOO_LONG_ANSWER)

    def _read_ahead(self, size: int) -> None:
        """Go on reading behind a request without an answer, up to a limit.

        Failure guarded against: a caller sends another request and leaves. Nothing is read until
        the one before has its answer, so its endpoint works on for nobody.
        """
        self._bytes_ahead = self._bytes_ahead + size if self.pipeline else 0
        few = self._bytes_ahead <= AHEAD_BYTES and len(self.pipeline) <= AHEAD_REQUESTS
        if self._bytes_ahead and few:
            self.flow.resume_reading()

    def send_400_response(self, msg: str) -> None:
        """Answer bytes that are no request."""
        self._answer_invalid(INVALID_ANSWER)

    def _answer_invalid(self, answer: bytes) -> None:
        """Answer invalid bytes, once the requests before them have their answers.

        Failure guarded against: a request runs, and its caller gets the answer to what follows it.
        """
        cycle = self._answering
        in_body = cycle is not None and cycle is self.cycle and cycle.more_body
        if in_body and cycle.response_started:
            self.transport.close()
        elif in_body or cycle is None or cycle.response_complete:
            self._end_invalid(answer)
        else:
            self._invalid = answer
            if self.cycle.more_body:
                # The newest request of the pipeline is the invalid one.
                self.pipeline.popleft()

    def _end_invalid(self, answer: bytes) -> None:
        self.transport.write(answer)
        self.transport.close()

    def on_response_complete(self) -> None:
        """Answer the next request of the pipeline, or the invalid bytes behind the last one."""
        self._held.add(-self._head_sizes.popleft())
        written = self._linger.written
        if self._pace.is_due(written):
            self._pace.record(written - self.unsent_bytes - self._count_unreceived())
        super().on_response_complete()
        if not self.is_busy and not self.transport.is_closing():
            self.idle.add(self)
        all_answered = self._answering is not None and self._answering.response_complete
        if self._invalid is not None and all_answered and not self.transport.is_closing():
            self._end_invalid(self._invalid)

    def on_message_begin(self) -> None:
        """Record the earliest arrival of the request in its scope.

        A request that begins after the connection's first read arrived after the connection.
        """
        if self.in_second_head:
            self.headers = []
            return
        super().on_message_begin()
        with_connection = self._iterations.count < self._after_first_read
        self.scope[ARRIVAL_KEY] = self._arrived_at if with_connection else self._read_at
        self.scope[END_KEY] = self._end_soon
        self.scope[PACE_KEY] = self._pace

    def on_url(self, url: bytes) -> None:
        """Keep a part of the request's target."""
        super().on_url(url)
        self._hold(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header field, or a trailer field."""
        super().on_header(name, value)
        self._hold(FIELD_BYTES + len(name) + len(value))

    def _hold(self, size: int) -> None:
        """Count what is kept of the head that is being read."""
        self._head_size += size
        self._held.add(size)

    def on_body(self, body: bytes) -> None:
        """Keep a part of a body."""
        self._body_bytes += len(body)
        self._body_left -= len(body)
        super().on_body(body)

    def on_headers_complete(self) -> None:
        """Keep the connection for a request that comes while the one before it has no answer.

        Failure guarded against: the parser reads trailer fields as it reads headers, and they
        replace headers of the request, such as its attempt id.
        """
        if self.in_second_head:
            return
        super().on_headers_complete()
        self.idle.remove(self)
        self.headers = []
        if self.pipeline:
            self._hold(REQUEST_BYTES)
        self._head_sizes.append(self._head_size)
        self._head_size = 0
        self._body_left = read_length(self.scope["headers"])
        cycle = self._answering
        if self.pipeline and cycle is not None and not cycle.response_started:
            cycle.keep_alive = True

    def on_message_complete(self) -> None:
        """Note the end of a request, which is not that of the head that offers an upgrade.

        The answer may have gone out before the body's end.
        """
        if self.parser.should_upgrade():
            return
        self._held.add(-self._head_size)
        self._head_size = self._message_bytes = self._body_bytes = self._body_left = 0
        self.cycle.more_body = False
        super().on_message_complete()

    def _disconnect_request(self) -> None:
        """Let the request under way see that its caller gets nothing more."""
        cycle = self._answering
        if cycle is not None and not cycle.response_complete:
            cycle.disconnected = True
            cycle.message_event.set()

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self._answering = cycle
        if self._ending or self.is_closing():
            # What was read with the head is parsed by then, and the answer has not begun.
            self.loop.call_soon(self.end_with_answer)
        super()._start_asgi_task(cycle, app)

    def _end_soon(self) -> None:
        """End the connection with the last answer to what was read, and read no more requests.

        Failure guarded against: the connection ends with a refusal, and what waits behind it in
        the pipeline was read and is never answered.
        """
        self._ending = True
        self.end_with_answer()

    def end_with_answer(self) -> None:
        """Let the connection end with the answer under way, and let its head say so.

        Requests that were read behind that one get their answers first.
        """
        cycle = self._answering
        if cycle is None or cycle.response_started:
            return
        reads_body = cycle is self.cycle and cycle.more_body
        if not self.pipeline and (reads_body or not self._unparsed):
            cycle.keep_alive = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def awaits_body(self) -> bool:
        """Whether the rest of a body is due, and is read so that the answer before it arrives."""
        return self._linger.lingers and self.cycle is not None and self.cycle.more_body

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes of answers that the kernel has not taken yet."""
        return self.transport.get_write_buffer_size()

    @property
    def has_unread(self) -> bool:
        """Whether the caller has sent bytes that are not parsed yet, and may still be answered."""
        unread = bool(self._unparsed) or self._count_unread() > 0
        return unread and not self.transport.is_closing()

    def _count_unread(self) -> int:
        """Return the number of bytes that have arrived and are not read yet."""
        # If the kernel can't tell, what comes now crosses the close.
        return self._count_bytes(termios.FIONREAD)

    def _count_unreceived(self) -> int:
        """Return the number of bytes that the kernel has taken and the caller has not received."""
        return self._count_bytes(termios.TIOCOUTQ)

    def _count_bytes(self, queue: int) -> int:
        """Return the number of bytes in a queue of the socket, 0 if the kernel can't tell."""
        found = array.array("i", [0])
        try:
            fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), queue, found)
        except OSError:
            return 0
        return found[0]

    def shutdown(self) -> None:
        """Close the connection as the server ends; only one that gets bytes is read on.

        Failure guarded against: the server waits for callers that keep their side open, and the
        process is killed before it has ended.
        """
        super().shutdown()
        if self._linger.lingers and not self.awaits_body and not self._count_unread():
            self._linger.end()

    def close_idle(self) -> None:
        """Close the connection if nothing of it is under way; what is unsent is sent first."""
        if not (self.is_busy or self.transport.is_closing() or self.has_unread):
            self.transport.close()

    def refuse_unread(self) -> None:
        """Answer a request of which a part has not arrived, so that it can't have run."""
        cycle = self._answering
        if self.transport.is_closing() or not self.is_busy:
            return
        if not cycle.response_started and cycle.more_body:
            self.transport.write(UNREAD_ANSWER)
            self.transport.close()


class IdleConnections:
    """The connections of a server without a request under way, longest idle first.

    One that has sent part of a head is idle. ``limit`` is the most connections, idle or not.
    """

    def __init__(self, limit: float):
        self._limit = limit
        self._rows: dict[Connection, None] = {}

    def add_new(self, connection: Connection, count: int) -> None:
        """Add a new connection, the last of ``count``; end the longest idle one over the limit."""
        self.add(connection)
        if count > self._limit:
            longest = next(iter(self._rows))
            self.remove(longest)
            longest.transport.abort()

    def add(self, connection: Connection) -> None:
        """Add a connection that is idle from now on."""
        self._rows[connection] = None

    def remove(self, connection: Connection) -> None:
        """Remove a connection that is idle no more."""
        self._rows.pop(connection, None)


def bind_socket(ip: str, port: int) -> socket.socket:
    """Return a bound socket whose connections detect a dead peer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    for level, option, value in KEEPALIVE_OPTIONS:
        sock.setsockopt(level, option, value)
    sock.bind((ip, port))
    return sock


@dataclass(frozen=True)
class Accepted:
    """Connections that waited at a listening socket, and the error after them, if any."""

    socks: list[socket.socket]
    error: OSError | None = None

    @property
    def more_wait(self) -> bool:
        """Whether more connections may wait, which can't be accepted for now."""
        return self.error is not None and self.error.errno in EXHAUSTED


def accept_waiting(listener: socket.socket) -> Accepted:
    """Accept the connections that wait at a listening socket, as far as descriptors last."""
    found: list[socket.socket] = []
    while True:
        try:
            sock, _ = listener.accept()
        except BlockingIOError:
            return Accepted(found)
        except OSError as exc:
            if exc.errno in LOST_IN_QUEUE:
                continue
            return Accepted(found, exc)
        sock.setblocking(False)
        found.append(sock)


class Server:
    """A server for an application on bound sockets; ``address`` is IP:PORT of the first.

    ``bodies`` is the memory for the bodies of its requests, ``inputs`` that for their heads.
    ``max_header_bytes`` returns how long the configuration lets heads be. Of more connections than
    ``max_connections`` the longest idle ones are ended.
    """

    def __init__(
        self,
        app: Application,
        ip: str = "127.0.0.1",
        port: int = 0,
        more_addresses: Iterable[tuple[str, int]] = (),
        bodies: BodyMemory | None = None,
        inputs: InputMemory | None = None,
        max_header_bytes: Callable[[], int] = lambda: 0,
        max_connections: float | None = None,
    ):
        self.app = app
        self.bodies = bodies or BodyMemory(SystemClock(), random.random)
        self._inputs = inputs or InputMemory(SystemClock())
        self._max_header_bytes = max_header_bytes
        self._idle = IdleConnections(max_connections or count_connections(read_descriptors()))
        self._socks = [bind_socket(*address) for address in ((ip, port), *more_addresses)]
        self.address = "{}:{}".format(*self._socks[0].getsockname())
        self.url = f"http://{self.address}"
        self._server: _SignalFreeServer | None = None
        self._task: asyncio.Task[None] | None = None
        self._closing = False
        self._listening = True
        self._exhausted = False
        self._adopting: set[asyncio.Task[None]] = set()

    def _connect(self, **arguments: Any) -> Connection:
        connection = Connection(self._inputs, **arguments)
        connection.is_closing = lambda: self._closing
        connection.max_head_bytes = self._max_head_bytes
        connection.idle = self._idle
        return connection

    def _max_head_bytes(self) -> int:
        return max(MAX_HEADER_BYTES, self._max_header_bytes()) + MORE_HEAD_BYTES

    async def start(self) -> "Server":
        """Start the server; return once it accepts connections."""
        await self.app.start()
        cfg = uvicorn.Config(
            self._serve,
            loop="asyncio",
            http=self._connect,
            ws="none",
            lifespan="off",
            interface="asgi3",
            proxy_headers=False,
            log_config=None,
            access_log=False,
            backlog=ACCEPTS_PER_ITERATION,
            server_header=False,
            timeout_keep_alive=KEEP_ALIVE_SECONDS,
            timeout_graceful_shutdown=1,
        )
        self._server = _SignalFreeServer(cfg)
        self._task = asyncio.create_task(self._server.serve(sockets=self._socks))
        while not self._server.started:
            if self._task.done():
                self._task.result()
            await asyncio.sleep(0.001)
        # asyncio uses ``backlog`` also as the number of connections to accept per iteration, so the
        # larger accept queue is set afterwards.
        for sock in self._socks:
            sock.listen(BACKLOG)
        return self

    async def _serve(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            transport = send.__self__.transport
            scope[ABORT_KEY] = transport.abort
            scope["receive"] = receive
        scope[BODY_KEY] = held = self.bodies.begin()
        try:
            await self.app(scope, receive, send)
        finally:
            held.release()

    # Draining

    def _connections(self) -> list[Connection]:
        return list(self._server.server_state.connections) if self._server is not None else []

    def announce_close(self) -> None:
        """End connections with their next answers, whose heads say so."""
        self._closing = True
        for connection in self._connections():
            connection.end_with_answer()

    def stop_listening(self) -> None:
        """Accept no more connections at the first address than those that wait there.

        Without descriptors for them the socket stays open, and the next call tries again.

        Failure guarded against: the loop lags, callers have connected and sent requests meanwhile,
        and the kernel resets what was not accepted as the socket is closed.
        """
        if self._server is None or not self._listening:
            return
        waiting = accept_waiting(self._socks[0])
        if waiting.error is not None and not self._exhausted:
            log.warning("can't accept what waits", extra={"error": str(waiting.error)})
        self._exhausted = waiting.more_wait
        if not waiting.more_wait:
            self._listening = False
            self._server.servers[0].close()
        for sock in waiting.socks:
            task = asyncio.ensure_future(self._adopt(self._server, sock))
            self._adopting.add(task)
            task.add_done_callback(self._adopting.discard)

    async def _adopt(self, server: uvicorn.Server, sock: socket.socket) -> None:
        """Serve a connection that the loop has not accepted itself."""
        loop = asyncio.get_running_loop()
        arguments = {
            "config": server.config,
            "server_state": server.server_state,
            "app_state": server.lifespan.state,
        }
        await loop.connect_accepted_socket(lambda: self._connect(**arguments), sock)

    def close_idle(self) -> None:
        """Close the connections without a request under way."""
        for connection in self._connections():
            connection.close_idle()

    def refuse_unread(self) -> None:
        """Refuse the requests that have arrived in part only."""
        for connection in self._connections():
            connection.refuse_unread()

    def is_drained(self) -> bool:
        """Return whether all requests that came are answered, and all answers are sent."""
        rows = self._connections()
        left = any(row.is_busy or row.unsent_bytes or row.has_unread for row in rows)
        arriving = any(row.awaits_body for row in rows)
        return not (left or arriving or self._adopting or self._exhausted)

    def unsent_bytes(self) -> int:
        """Return the number of bytes of answers that are not sent yet."""
        return sum(row.unsent_bytes for row in self._connections())

    async def stop(self) -> None:
        """Close the sockets and the remaining connections."""
        if self._server is None or self._task is None:
            for sock in self._socks:
                sock.close()
            return
        self._server.should_exit = True
        await self._task
        await self.app.stop()
