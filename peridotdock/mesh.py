"""The links of a host to other hosts, over which every fact is spread.

A link sends at most one frame at a time and only the newest version of each fact, so a slow peer
costs a set of names instead of a queue. Each side sends heartbeats; a link that has been silent for
four periods is closed and dialled again, since the other end may have lost its side of it.
"""

import asyncio
from collections.abc import Callable, Collection, Coroutine, Iterable
from functools import partial
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import WebSocketException

from peridotdock.context import Context
from peridotdock.descriptors import count_unproved, read_descriptors
from peridotdock.errors import Failure, failed
from peridotdock.fact_table import TOPICS, FactTable, Slot
from peridotdock.frames import (
    MAX_FRAME_BYTES,
    Frame,
    decode,
    encode,
    encode_update,
)
from peridotdock.handshake import perform_handshake
from peridotdock.links import Link, LinkSender, QueuedRows
from peridotdock.rendezvous import neighbours
from peridotdock.schema.messages import (
    Body,
    Fetch,
    Grant,
    GrantDropped,
    GrantWanted,
    Hello,
    LinksFact,
    PermitGiven,
    PermitWanted,
    Ping,
    PlaceReturned,
    QuotaGiven,
    QuotaReturned,
    QuotaWanted,
    Rows,
    RowsWanted,
    StockGiven,
    StockWanted,
    StreamFound,
    StreamsBegun,
    StreamWanted,
    TrialDropped,
    TrialGiven,
    TrialWanted,
    Update,
)

REDIAL_SECONDS = 0.5
# Characters of an address that are logged if it is none.
MAX_LOGGED_ADDRESS = 64
HANDSHAKE_SECONDS = 3.0
# Bytes that whoever has not proved to be a host may send: the head of a request and a hello.
MAX_HANDSHAKE_BYTES = 64 * 1024
FLUSH_SECONDS = 0.02
# Upper bound on the flushes of a host per second over all links: with more links, each waits longer
# and sends more facts at once.
FLUSHES_PER_SECOND = 400.0
# A link is kept for at least this long even if another one is wanted: several flushes.
MIN_LINK_SECONDS = 1.5
# After a lost link or a failed dial, other hosts are preferred to that host for this long.
FAILED_LINK_SECONDS = 3.0
FETCH_SECONDS = 3.0
# Frames with store rows queued on one link; a peer that misses some reads the store itself.
MAX_QUEUED_ROWS = 50
MAX_LINKS = 400
ENTRIES_PER_FRAME = 1000
GrantFrame = GrantWanted | Grant | GrantDropped
GRANT_FRAMES = (GrantWanted, Grant, GrantDropped)
QuotaFrame = QuotaWanted | QuotaGiven | QuotaReturned | StockWanted | StockGiven
PermitFrame = PermitWanted | PermitGiven | PlaceReturned
TrialFrame = TrialWanted | TrialGiven | TrialDropped
StreamFrame = StreamsBegun | StreamWanted | StreamFound
CallFrame = GrantFrame | QuotaFrame | PermitFrame | TrialFrame | StreamFrame
LINK_OPTIONS = {
    "max_size": MAX_FRAME_BYTES,
    "compression": None,
    "ping_interval": None,
    "max_queue": 16,
}


class AcceptedConnection(ServerConnection):
    """A connection that another host may have dialled; ``proved`` is set once it has shown that.

    ``unproved`` are the connections that have not yet, oldest first.
    Failures guarded against: clients that are no hosts send frames as long as those of hosts, or
    open connections until no descriptor is left.
    """

    def __init__(self, *args: Any, unproved: "Unproved", **options: Any):
        super().__init__(*args, **options)
        self.proved = False
        self._unproved = unproved
        self._early_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a new connection; the oldest one without a proof may end for it."""
        super().connection_made(transport)
        self._unproved.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._unproved.remove(self)
        super().connection_lost(exc)

    def record_proof(self) -> None:
        """Record that another host is at the other end."""
        self.proved = True
        self._unproved.remove(self)

    def data_received(self, data: bytes) -> None:
        """Take bytes, a few of them before the handshake."""
        self._early_bytes += 0 if self.proved else len(data)
        if self._early_bytes > MAX_HANDSHAKE_BYTES:
            self.transport.abort()
        else:
            super().data_received(data)


class Unproved:
    """Connections that have not proved to be links of other hosts, ``limit`` at most."""

    def __init__(self, limit: float):
        self.limit = limit
        self._rows: dict[AcceptedConnection, None] = {}

    def add(self, conn: AcceptedConnection) -> None:
        """Add a connection; end the oldest one over the limit."""
        self._rows[conn] = None
        if len(self._rows) > self.limit:
            oldest = next(iter(self._rows))
            self.remove(oldest)
            oldest.transport.abort()

    def remove(self, conn: AcceptedConnection) -> None:
        """Remove a connection that has ended or proved itself."""
        self._rows.pop(conn, None)


class Mesh:
    """All links of this host.

    ``find_body`` returns the manifest body of a digest, or empty bytes; ``choose`` picks the hosts
    to dial from addresses by host; ``select_links`` picks the links that a fact is sent over.
    """

    def __init__(
        self,
        ctx: Context,
        facts: FactTable,
        find_body: Callable[[str], bytes],
        choose: Callable[[dict[str, str]], list[str]] | None = None,
        select_links: Callable[
            [Slot, Collection[Link]], Iterable[Link]
        ] = lambda slot, links: links,
    ):
        self._ctx = ctx
        self._choose = choose or self._choose_neighbours
        self._select_links = select_links
        self._facts = facts
        self._find_body = find_body
        self.on_rows: Callable[[Rows], bool] = lambda frame: False
        self.on_rows_wanted: Callable[[RowsWanted], Rows | None] = lambda frame: None
        self.on_grant: Callable[[str, GrantFrame], None] = lambda host, frame: None
        self.on_quota: Callable[[str, QuotaFrame], None] = lambda host, frame: None
        self.on_permit: Callable[[str, PermitFrame], None] = lambda host, frame: None
        self.on_trial: Callable[[str, TrialFrame], None] = lambda host, frame: None
        self.on_stream: Callable[[str, StreamFrame], None] = lambda host, frame: None
        self.unproved = Unproved(count_unproved(read_descriptors()))
        self._links: set[Link] = set()
        self._dialling: set[str] = set()
        self._bytes_in = ctx.metrics.peer_bytes.labels("in")
        self._fact_bytes = {topic: ctx.metrics.fact_bytes.labels(topic) for topic in TOPICS}
        self._sender = LinkSender(ctx)
        self._failed_at: dict[str, float] = {}
        self._last_received: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._body_waiters: dict[str, asyncio.Future[bytes]] = {}
        self._server: Server | None = None
        self._stopping = False
        self.address = ""
        facts.listen(self._on_changed)

    async def start(self) -> None:
        """Listen for links from other hosts."""
        cfg = self._ctx.cfg
        self._server = await serve(
            self._accept,
            cfg.peer_ip,
            cfg.peer_port,
            create_connection=partial(AcceptedConnection, unproved=self.unproved),
            **LINK_OPTIONS,
        )
        ip, port = next(iter(self._server.sockets)).getsockname()[:2]
        self.address = f"{ip}:{port}"

    async def stop(self) -> None:
        """Close all links and stop dialling, as each link that ends would be replaced."""
        self._stopping = True
        for task in list(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()
        for link in list(self._links):
            link.conn.transport.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if self._server is not None:
            await self._server.wait_closed()

    def links(self) -> list[Link]:
        """Return all links."""
        return list(self._links)

    def peers(self) -> set[str]:
        """Return the names of the linked hosts."""
        return {link.peer.host for link in self._links}

    def incarnation(self, host: str) -> str:
        """Return the incarnation at the other end of the newest link to a host, "" without one."""
        link = self.find_link(host)
        return link.peer.incarnation if link is not None else ""

    def last_received(self, host: str) -> float:
        """Return when the last frame came over the most recent ended link to a host."""
        return self._last_received.get(host, float("-inf"))

    def connect_to(self, addresses: dict[str, str]) -> None:
        """Dial the chosen hosts among ``addresses`` (IP:PORT by host) that have no link yet."""
        linked = self.peers()
        for host in self._choose(addresses):
            if host not in linked and addresses[host] not in self._dialling:
                self._spawn(self._dial(host, addresses[host]))

    def _choose_neighbours(self, addresses: dict[str, str]) -> list[str]:
        return neighbours(self._ctx.cfg.host_id, addresses, self._ctx.cfg.peer_degree)

    def keep_only(self, host: str) -> None:
        """Close the links that this host dialled, except the one to ``host``.

        A new link is kept for ``MIN_LINK_SECONDS``, so that both ends exchange what they know of
        other hosts first.
        """
        until = self._ctx.clock.monotonic() - MIN_LINK_SECONDS
        for link in self._links:
            if link.dialled and link.peer.host != host and link.up_at < until:
                link.released = True
                link.conn.transport.abort()

    def failed_hosts(self) -> set[str]:
        """Return hosts and addresses with a lost link or failed dial in ``FAILED_LINK_SECONDS``."""
        oldest = self._ctx.clock.monotonic() - FAILED_LINK_SECONDS
        self._failed_at = {name: at for name, at in self._failed_at.items() if at > oldest}
        return {*self._failed_at}

    def connect_to_seed(self, address: str) -> None:
        """Dial an address whose host is not known yet.

        Failure guarded against: a link comes up before the peer's own fact has arrived over it, and
        the address is dialled again with each other link that comes up meanwhile. Four hosts that
        started on one machine had up to three links to each other, and each fact went over all.
        """
        dialled = {link.address for link in self._links}
        busy = address in self._dialling or address in dialled or address in self.failed_hosts()
        if address and address != self.address and not busy:
            self._spawn(self._dial(address, address))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        if self._stopping:
            work.close()
            return
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, name: str, address: str) -> None:
        self._dialling.add(address)
        try:
            async with connect(
                f"ws://{address}", open_timeout=HANDSHAKE_SECONDS, proxy=None, **LINK_OPTIONS
            ) as conn:
                peer = await asyncio.wait_for(
                    perform_handshake(self._ctx, conn, dialled=True), HANDSHAKE_SECONDS
                )
                self._dialling.discard(address)
                if await self._run(conn, peer, dialled=True, address=address):
                    self._failed_at[name] = self._ctx.clock.monotonic()
        except (OSError, WebSocketException, TimeoutError, ValueError) as exc:
            # An address that is none raises ValueError; it may be another writer's.
            if isinstance(exc, ValueError) and name not in self._failed_at:
                detail = f"{address[:MAX_LOGGED_ADDRESS]!r}: {type(exc).__name__}: {exc}"
                self._ctx.timeline.add("dial_failed", "WARNING", detail=detail)
            self._failed_at[name] = self._ctx.clock.monotonic()
            await self._ctx.clock.sleep(REDIAL_SECONDS)
        finally:
            self._dialling.discard(address)

    async def _accept(self, conn: AcceptedConnection) -> None:
        if len(self._links) >= MAX_LINKS:
            return
        try:
            peer = await asyncio.wait_for(self._greet(conn), HANDSHAKE_SECONDS)
            await self._run(conn, peer, dialled=False)
        except (OSError, WebSocketException, TimeoutError):
            return

    async def _greet(self, conn: AcceptedConnection) -> Hello | Failure:
        peer = await perform_handshake(self._ctx, conn, dialled=False)
        if not failed(peer):
            conn.record_proof()
        return peer

    async def _run(
        self, conn: Connection, peer: Hello | Failure, dialled: bool, address: str = ""
    ) -> bool:
        """Serve a link until it ends; return whether it was lost rather than released."""
        if failed(peer):
            await conn.close(1008)
            return True
        link = Link(conn, peer, dialled, address)
        link.direct = self._peers_of(peer.host)
        link.received_at = link.up_at = self._ctx.clock.monotonic()
        self._links.add(link)
        self._publish_links()
        self._ctx.timeline.add("link_up", "DEBUG", detail=peer.host)
        self._mark_dirty(link, self._facts.slots())
        jobs = [asyncio.create_task(job(link)) for job in (self._write, self._sender.run_heartbeat)]
        try:
            await self._read(link)
        finally:
            self._links.discard(link)
            self._last_received[peer.host] = link.received_at
            self._publish_links()
            for job in jobs:
                job.cancel()
            conn.transport.abort()
            self._ctx.timeline.add("link_down", "DEBUG", detail=peer.host)
        return not link.released

    async def _read(self, link: Link) -> None:
        async for raw in link.conn:
            self._bytes_in.inc(len(raw))
            frame = decode(raw)
            if failed(frame):
                self._ctx.timeline.add(
                    "bad_frame", "WARNING", detail=f"{link.peer.host}: {frame.reason}"
                )
                return
            link.received_at = self._ctx.clock.monotonic()
            await self._handle(link, frame)

    async def _handle(self, link: Link, frame: Frame) -> None:
        if isinstance(frame, Update):
            self._ctx.timeline.clock.witness(frame.stamp)
            for slot in self._merge(link, frame):
                link.dirty.discard(slot)
        elif isinstance(frame, Rows):
            if self.on_rows(frame) and not frame.direct:
                self.send_rows(frame, link)
        elif isinstance(frame, RowsWanted):
            found = self.on_rows_wanted(frame)
            if found is not None:
                await self._sender.send(link, found)
        elif isinstance(frame, GRANT_FRAMES):
            self.on_grant(link.peer.host, frame)
        elif isinstance(frame, QuotaFrame):
            self.on_quota(link.peer.host, frame)
        elif isinstance(frame, PermitFrame):
            self.on_permit(link.peer.host, frame)
        elif isinstance(frame, TrialFrame):
            self.on_trial(link.peer.host, frame)
        elif isinstance(frame, StreamFrame):
            self.on_stream(link.peer.host, frame)
        elif isinstance(frame, Ping):
            self._ctx.timeline.clock.witness(frame.stamp)
        elif isinstance(frame, Fetch):
            body = self._find_body(frame.digest)
            await self._sender.send(link, Body("body", frame.digest, body))
        elif isinstance(frame, Body):
            waiter = self._body_waiters.get(frame.digest)
            if waiter is not None and frame.body and not waiter.done():
                waiter.set_result(frame.body)

    def find_link(self, host: str) -> Link | None:
        """Return the newest link to a host, None if there is none."""
        links = [link for link in self._links if link.peer.host == host]
        return max(links, key=lambda link: link.up_at, default=None)

    def is_up(self, link: Link) -> bool:
        """Return whether a link has not ended."""
        return link in self._links

    def send_to(self, host: str, frame: CallFrame) -> bool:
        """Send a frame to a linked host; return False if there is no link to it."""
        link = self.find_link(host)
        if link is None:
            return False
        self._spawn(self._sender.send_raw(link, encode(frame)))
        return True

    def send_rows(self, frame: Rows, source: Link | None = None) -> None:
        """Forward store rows over all links except the one that they came from."""
        waiting = QueuedRows(frame, self._ctx.clock.monotonic())
        for link in self._links:
            if link is not source:
                link.rows = [*link.rows[-MAX_QUEUED_ROWS:], waiting]
                link.wake.set()

    def request_rows(self, table: str, after: int) -> None:
        """Request a newer version of a table over a random dialled link, or any link if none.

        A host dials only the hub; the hub, which dials no host, asks any.
        """
        links = [link for link in self._links if link.dialled] or list(self._links)
        if links:
            link = self._ctx.rng.choice(links)
            self._spawn(self._sender.send(link, RowsWanted("rows_wanted", table, after)))

    def _merge(self, link: Link, frame: Update) -> list[Slot]:
        try:
            return self._facts.merge(frame.entries)
        except Exception as exc:
            # A fact that cannot be decoded ends only this update; later updates bring the rest.
            self._ctx.timeline.add("bad_fact", "WARNING", detail=f"{link.peer.host}: {exc!r}")
            return []

    def _on_changed(self, slots: list[Slot]) -> None:
        """Mark changed facts as dirty on each link whose peer may not have them yet.

        A fact is not forwarded to a peer that reports a link to the fact's origin. Most facts go
        over no link or over one, so only the links selected for a fact are visited.
        """
        for origin in {origin for origin, topic in slots if topic == "links"}:
            self._record_links(origin)
        for slot in slots:
            for link in self._select_links(slot, self._links):
                if slot[0] not in link.direct:
                    link.dirty.add(slot)
                    link.wake.set()

    def _record_links(self, host: str) -> None:
        """Update the links that a host reports.

        When a peer reports a lost link, it is sent all facts of the host at the other end again.
        """
        for link in self._links:
            if link.peer.host != host:
                continue
            before, link.direct = link.direct, self._peers_of(host)
            lost = before - link.direct
            if lost:
                self._mark_dirty(link, [slot for slot in self._facts.slots() if slot[0] in lost])

    def _mark_dirty(self, link: Link, slots: list[Slot]) -> None:
        """Mark as dirty on a link those facts that are selected for it."""
        wanted = [slot for slot in slots if self._select_links(slot, (link,))]
        if wanted:
            link.dirty.update(wanted)
            link.wake.set()

    def resend_facts(self, host: str, origin: str = "") -> None:
        """Send the facts selected for a host's link again: all of them, or one origin's."""
        slots = [slot for slot in self._facts.slots() if origin in ("", slot[0])]
        for link in self._links:
            if link.peer.host == host:
                self._mark_dirty(link, slots)

    def _peers_of(self, host: str) -> frozenset[str]:
        known = self._facts.get(host, "links")
        own = self._ctx.cfg.host_id
        return frozenset(known.fact.peers) - {own} if known else frozenset()

    def _publish_links(self) -> None:
        self._facts.publish("links", LinksFact(sorted(self.peers())))

    async def _write(self, link: Link) -> None:
        while True:
            await link.wake.wait()
            await self._ctx.clock.sleep(max(FLUSH_SECONDS, len(self._links) / FLUSHES_PER_SECOND))
            link.wake.clear()
            rows, link.rows = link.rows, []
            slots, link.dirty = link.dirty, set()
            encoded = self._facts.encode_entries(slot for slot in slots if link.should_send(slot))
            for (_, topic), raw in encoded.items():
                self._fact_bytes[topic].inc(len(raw))
            parts = list(encoded.values())
            link.echo_own_host = False
            for waiting in rows:
                await self._sender.send_raw(link, waiting.encoded(self._ctx.clock.monotonic()))
            for start in range(0, len(parts), ENTRIES_PER_FRAME):
                part = parts[start : start + ENTRIES_PER_FRAME]
                await self._sender.send_raw(
                    link, encode_update(part, self._ctx.timeline.clock.tick())
                )

    async def fetch(self, digest: str) -> bytes | None:
        """Request a manifest body from all peers; return None if none sends it in time."""
        waiter = self._body_waiters.setdefault(digest, asyncio.get_running_loop().create_future())
        for link in list(self._links):
            await self._sender.send(link, Fetch("fetch", digest))
        try:
            return await asyncio.wait_for(asyncio.shield(waiter), FETCH_SECONDS)
        except TimeoutError:
            return None
        finally:
            self._body_waiters.pop(digest, None)
