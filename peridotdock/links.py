"""One link to another host: what waits to be sent over it, the sending, its heartbeat."""

import asyncio
import math
from dataclasses import replace

from websockets.asyncio.connection import Connection
from websockets.exceptions import WebSocketException

from peridotdock.context import Context
from peridotdock.fact_table import Slot
from peridotdock.frames import Frame, encode
from peridotdock.schema.messages import Hello, Ping, Rows

# Seconds between two words on a link that is otherwise silent, and after how many such periods the
# other end counts as lost: well before its hosts' heartbeats count as missing, at four seconds.
PING_SECONDS = 0.3
SILENT_PERIODS = 4
SILENT_SECONDS = SILENT_PERIODS * PING_SECONDS

# Seconds for which rows that were written for one link are sent over others as they are. Their age
# is overstated by as much, so that nobody takes an old view for a new one.
ROWS_REUSE_SECONDS = 0.02


class QueuedRows:
    """Rows of the store that wait on links, written once for all links that are written to now.

    The host that reads the store tells of each table several times a second, over all links.
    """

    def __init__(self, frame: Rows, since: float):
        self._frame = frame
        self._since = since
        self._raw = b""
        self._until = float("-inf")

    def encoded(self, now: float) -> bytes:
        """Return the frame; what the rows waited here counts to their age."""
        if now > self._until:
            self._until = now + ROWS_REUSE_SECONDS
            waited = math.ceil((self._until - self._since) * 1000)
            self._raw = encode(replace(self._frame, age=self._frame.age + waited))
        return self._raw


class Link:
    """An authenticated connection to a peer.

    ``direct`` are the hosts that the peer reports links to: it receives their facts without this
    host. ``dialled`` tells whether this side opened the link, ``address`` is the address it
    dialled, and ``released`` is set once this side closes a link that it no longer wants.
    ``echo_own_host`` is set until the peer has been sent what is known of an earlier incarnation
    of its host. ``send_started_at`` is the start of a send in progress, else None.
    """

    def __init__(self, conn: Connection, peer: Hello, dialled: bool, address: str = ""):
        self.conn = conn
        self.peer = peer
        self.dialled = dialled
        self.address = address
        self.direct: frozenset[str] = frozenset()
        self.dirty: set[Slot] = set()
        self.wake = asyncio.Event()
        self.received_at = 0.0
        self.sent_at = 0.0
        self.send_started_at: float | None = None
        self.up_at = 0.0
        self.rows: list[QueuedRows] = []
        self.released = False
        self.echo_own_host = True

    def should_send(self, slot: Slot) -> bool:
        """Tell whether to send a fact: not the peer's own, but for its name's earlier life."""
        origin, topic = slot
        return origin != self.peer.host or (self.echo_own_host and topic == "host")


class LinkSender:
    """Sends over links, and sees to it that no silent peer is waited for."""

    def __init__(self, ctx: Context):
        self._ctx = ctx
        self._bytes_out = ctx.metrics.peer_bytes.labels("out")

    async def run_heartbeat(self, link: Link) -> None:
        """Say a word when the link is otherwise silent, and end it when the peer is."""
        sequence = 0
        while True:
            await self._ctx.clock.sleep(PING_SECONDS)
            sequence += 1
            now = self._ctx.clock.monotonic()
            if now - link.received_at > SILENT_SECONDS:
                # Abort, not close: a closing handshake would wait on the silent connection.
                self._ctx.timeline.add("link_silent", "WARNING", detail=link.peer.host)
                link.conn.transport.abort()
                return
            if link.send_started_at is not None and now - link.send_started_at > SILENT_SECONDS:
                # The peer takes nothing any more.
                link.conn.transport.abort()
                return
            if link.send_started_at is None and now - link.sent_at >= PING_SECONDS:
                await self.send(link, Ping("ping", sequence, self._ctx.timeline.clock.tick()))

    async def send(self, link: Link, frame: Frame) -> None:
        """Send a frame of the kind that is seldom sent; a peer that takes nothing is cut off."""
        try:
            async with asyncio.timeout(SILENT_SECONDS):
                await self.send_raw(link, encode(frame))
        except TimeoutError:
            # Without this, the heartbeat would wait on the peer too.
            link.conn.transport.abort()

    async def send_raw(self, link: Link, raw: bytes) -> None:
        """Send bytes; the heartbeat sees to it that this doesn't wait for good.

        A timer for each send took a twentieth of the hub's processor time.
        """
        began = link.sent_at = self._ctx.clock.monotonic()
        if link.send_started_at is None:
            link.send_started_at = began
        self._bytes_out.inc(len(raw))
        try:
            await link.conn.send(raw)
        except (OSError, WebSocketException):
            return
        finally:
            link.send_started_at = None
