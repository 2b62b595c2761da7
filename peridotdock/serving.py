"""Serve an HTTP application on a socket of ours, within the running loop."""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import contextmanager
from typing import Any

import uvicorn
from blacksheep import Application, Request, Response, Router
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from peridotdock.errors import Failure, Kind
from peridotdock.loop_iterations import ACCEPTS_PER_ITERATION, find_iterations

# Connections that may wait with the kernel; beyond them a caller's first packet is dropped, and it
# tries again after a second.
BACKLOG = 1024
KEEP_ALIVE_SECONDS = 30
MAX_HEADER_BYTES = 32 * 1024
# Failure: something on the way forgets a connection, and no byte comes any more. It shows as a
# connection that stays open for good. The kernel probes idle ones and gives up on unanswered data.
KEEPALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 10),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 20_000),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
)
# Turns of the loop from the one that sets a connection up to its first read.
FIRST_READ_ITERATIONS = 1
# In a request's scope: the earliest monotonic time at which it can have come.
ARRIVAL_KEY = "came"

Handler = Callable[[Request], Awaitable[Response]]


def make_application() -> Application:
    """Return an application with a router of its own; blacksheep's default one is shared."""
    return Application(router=Router(), show_error_details=False)


def add_route(app: Application, method: str, path: str, handler: Handler) -> None:
    """Add a route; blacksheep marks the function it is given, which a bound method refuses."""

    async def handle(request: Request) -> Response:
        return await handler(request)

    app.router.add(method, path, handle)


async def read_body(request: Request, max_bytes: int) -> bytes | Failure:
    """Read a body of at most ``most`` bytes; a longer one is refused before it is held whole."""
    too_large = Failure(Kind.TOO_LARGE, f"at most {max_bytes} bytes")
    length = request.get_first_header(b"content-length")
    if length is not None and length.isdigit() and int(length) > max_bytes:
        return too_large
    parts: list[bytes] = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > max_bytes:
            return too_large
        parts.append(part)
    return b"".join(parts)


class _SignalFreeServer(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class TimedConnection(HttpToolsProtocol):
    """A connection that knows since when a request read from it can have waited unread.

    Failure guarded against: the loop is behind, requests lie with the kernel, and their time counts
    from when they are read. They are held on after their deadline, and endpoints are handed more
    time than is left. It shows as answers long after the time-out of their route.
    """

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Note when the connection can have come; its first request may have come with it."""
        super().connection_made(transport)
        self._iterations = find_iterations()
        self._arrived_at = self._iterations.count_accept()
        self._after_first_read = self._iterations.count + FIRST_READ_ITERATIONS + 1

    def on_message_begin(self) -> None:
        """Note for the request that begins when it can have come.

        One that was not there at the connection's first read came later.
        """
        super().on_message_begin()
        with_connection = self._iterations.count < self._after_first_read
        self.scope[ARRIVAL_KEY] = (
            self._arrived_at if with_connection else self._iterations.earliest_arrival()
        )


def bind_socket(ip: str, port: int) -> socket.socket:
    """Return a bound socket whose connections notice a dead peer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    for level, option, value in KEEPALIVE_OPTIONS:
        sock.setsockopt(level, option, value)
    sock.bind((ip, port))
    return sock


class Server:
    """An application on bound sockets; ``address`` is IP:PORT of the first."""

    def __init__(
        self,
        app: Application,
        ip: str = "127.0.0.1",
        port: int = 0,
        more_addresses: Iterable[tuple[str, int]] = (),
    ):
        self.app = app
        self._socks = [bind_socket(*address) for address in ((ip, port), *more_addresses)]
        self.address = "{}:{}".format(*self._socks[0].getsockname())
        self.url = f"http://{self.address}"
        self._server: _SignalFreeServer | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> "Server":
        """Begin to accept; returns when connections are taken."""
        await self.app.start()
        cfg = uvicorn.Config(
            self._serve,
            loop="asyncio",
            http=TimedConnection,
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
        # The loop takes the number that may wait for the number to accept in one turn.
        for sock in self._socks:
            sock.listen(BACKLOG)
        return self

    async def _serve(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        if scope["type"] == "http":
            transport = send.__self__.transport
            scope["abort"] = transport.abort
            scope["receive"] = receive
        await self.app(scope, receive, send)

    async def stop(self) -> None:
        """Close the socket and the connections that are left."""
        if self._server is None or self._task is None:
            for sock in self._socks:
                sock.close()
            return
        self._server.should_exit = True
        await self._task
        await self.app.stop()
