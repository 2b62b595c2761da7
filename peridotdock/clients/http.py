"""Connections to one kind of outside system, over aiohttp, that can be renewed.

aiohttp sends some methods a second time by itself when a kept connection turns out dead.
:func:`send_once` stops that: a call that must run at most once would run twice.
"""

import asyncio
import math
import re
import socket
from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from contextvars import ContextVar
from typing import Any

import aiohttp

from peridotdock.timeouts import IterationTimeout

CONNECT_TIMEOUT_SECONDS = 1.0
# Turns of the loop from the one in which the system has made a connection to its first use.
CONNECT_ITERATIONS = 4
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
TRANSFER_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError)


# Failure: something on the way forgets a connection, or the other end's machine is gone. It shows
# as a connection that stays open for good. The kernel probes idle ones after a second and gives up
# on unanswered data after two: longer than any round trip, well under what callers wait.
DEAD_PEER_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2_000),
)
KEEP_ALIVE_PATTERN = re.compile(r"timeout\s*=\s*(\d+)")
# Seconds before the other end closes an idle connection from which on it is not taken again: a
# request may be on its way for as long, beside a loop or a link that is behind.
KEEP_ALIVE_MARGIN_SECONDS = 0.5
# Headers that the library would add; a relayed request must reach its endpoint as it was sent.
AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


def open_socket(info: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket that notices when its peer is gone."""
    family, kind, proto, _, _ = info
    sock = socket.socket(family, kind, proto)
    for level, option, value in DEAD_PEER_OPTIONS:
        sock.setsockopt(level, option, value)
    return sock


class SecondSend(aiohttp.ClientError):
    """The library was about to send the same request again."""


def send_once() -> Any:
    """Return a middleware that lets one request out and refuses the library's own repeat."""
    sent = False

    async def middleware(req: aiohttp.ClientRequest, handler: Any) -> aiohttp.ClientResponse:
        nonlocal sent
        if sent:
            raise SecondSend("not sent a second time")
        sent = True
        return await handler(req)

    return middleware


class ConnectionAwareResponse(aiohttp.ClientResponse):
    """An answer that can tell how its connection ended.

    Failure guarded against: an answer without a length ends with its connection, and the library
    takes a reset for that end too. Half an answer would then be passed on as the whole.
    """

    connection_closed: asyncio.Future[None] | None = None

    async def start(self, connection: Any) -> "ConnectionAwareResponse":
        """Begin to read, with an eye on the connection."""
        self.connection_closed = connection.protocol.closed
        if self.connection_closed is not None:
            self.connection_closed.add_done_callback(asyncio.Future.exception)
        await super().start(connection)
        return self

    async def is_complete(self) -> bool:
        """Tell whether the answer, read to its end, is whole."""
        framed = "Content-Length" in self.headers or "Transfer-Encoding" in self.headers
        if framed or self.method == "HEAD":
            return True
        if self.connection_closed is None:
            return False
        await asyncio.wait({self.connection_closed}, timeout=CONNECT_TIMEOUT_SECONDS)
        return self.connection_closed.done() and self.connection_closed.exception() is None


class Withdrawn(aiohttp.ClientError):
    """A request was not sent: while it waited for its connection, it was no longer wanted."""


def always() -> bool:
    """Send whatever has happened meanwhile."""
    return True


# Asked when a request has its connection, right before its first byte.
STILL_WANTED: ContextVar[Callable[[], bool]] = ContextVar("STILL_WANTED", default=always)


class Connector(aiohttp.TCPConnector):
    """Connections whose time to be kept idle can be shortened, and requests that can be withdrawn.

    Failures guarded against: a connection may take a second, and meanwhile its endpoint says that
    it leaves; the request would go there later than the endpoint has promised to serve. And a host
    that stands still for as long takes all endpoints that it was connecting to for unreachable.
    """

    async def connect(self, req: Any, traces: Any, timeout: aiohttp.ClientTimeout) -> Any:
        """Return a connection, unless the request is no longer wanted when it is there."""
        if timeout.sock_connect is None:
            conn = await super().connect(req, traces, timeout)
        else:
            async with IterationTimeout(timeout.sock_connect, CONNECT_ITERATIONS):
                conn = await super().connect(req, traces, aiohttp.ClientTimeout(total=None))
        if STILL_WANTED.get()():
            return conn
        conn.release()
        raise Withdrawn("not sent")

    def limit_idle_time(self, seconds: float) -> None:
        """Take no connection again that has been idle for longer."""
        self._keepalive_timeout = min(self._keepalive_timeout, seconds)


class Pool:
    """Kept connections that can be abandoned all at once.

    A device on the way can lose track of every open connection while new ones work. It shows
    as silence, on all kept connections alike. :meth:`renew` leaves them to the requests that
    still use them, and all later requests open new ones.
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
                timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_SECONDS),
            )
        return self._current

    @asynccontextmanager
    async def use(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Lend the session in use for one request."""
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

    def apply_keep_alive(self, headers: Mapping[str, str]) -> None:
        """Keep idle connections no longer than the other end says that it does.

        Failure guarded against: a request goes out on a connection that the other end is closing at
        that moment, and is lost. If it may run once only, nobody can tell whether it has, and its
        caller is told 502.
        """
        found = KEEP_ALIVE_PATTERN.search(headers.get("Keep-Alive", ""))
        if found is None or self._current is None:
            return
        self._idle_seconds = min(
            self._idle_seconds, max(0.0, int(found[1]) - KEEP_ALIVE_MARGIN_SECONDS)
        )
        self._current.connector.limit_idle_time(self._idle_seconds)

    def renew(self) -> None:
        """Take no kept connection again; those in use go on until their request ends."""
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


def read_retry_after(headers: Mapping[str, str]) -> float:
    """Return the seconds of Retry-After, 0 where there is none or it can't be read.

    Dates are not read: what refuses a request speaks of moments.
    """
    try:
        seconds = float(headers.get("retry-after") or 0)
    except ValueError:
        return 0.0
    return seconds if 0 < seconds < math.inf else 0.0
