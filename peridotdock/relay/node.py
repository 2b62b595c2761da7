"""A relaying host: its parts, from start to planned stop."""

import asyncio
import signal
from collections.abc import Mapping

from blacksheep import Content, Request, Response

from peridotdock.clients.endpoint import HttpEndpoints
from peridotdock.context import Context
from peridotdock.deployment import Deployment
from peridotdock.errors import failed
from peridotdock.relay.adapter import Adapter
from peridotdock.relay.book import EndpointBook
from peridotdock.relay.following import Follower
from peridotdock.relay.front import Front
from peridotdock.relay.service import RelayService
from peridotdock.relay.settings import HostSettings
from peridotdock.serving import Server, make_application

# Seconds between two calls on the endpoints' table: it changes with each load and each leaving.
ENDPOINTS_PAUSE = 0.5
CONFIG_PAUSE = 0.05
# Seconds that callers keep an answer where to connect.
ADDRESS_SECONDS = 1.0
# Some callers keep an answer three times as long as they were told.
ADDRESS_FACTOR = 3.0
# Seconds before the platform's SIGKILL at which a planned stop ends.
STOP_MARGIN = 0.7
DRAIN_POLL_SECONDS = 0.05


class Node:
    """One relaying host."""

    def __init__(self, ctx: Context, settings: HostSettings, adapter: Adapter):
        self.ctx = ctx
        self.settings = settings
        self.adapter = adapter
        self.store = adapter.open_store(settings.store, ctx.metrics)
        self.endpoints = HttpEndpoints(adapter.wire.not_run_header)
        self.book = EndpointBook(settings.domain, ctx.clock)
        self.service = RelayService(ctx, adapter.wire, self.book, self.endpoints, settings.bounds)
        self.front = Front(ctx, adapter.wire, self.service)
        self.leaving = False
        self._tasks: list[asyncio.Task[None]] = []
        listen = settings.listen
        self._doors = {
            listen.callers.port: self.front.handle,
            listen.readiness.port: self._readiness,
            listen.directory.port: self._directory,
        }
        app = make_application()
        app.router.fallback = self._handle
        more = [(door.ip, door.port) for door in (listen.readiness, listen.directory)]
        self.server = Server(app, listen.callers.ip, listen.callers.port, more)

    async def start(self) -> None:
        """Listen, and begin to follow the store."""
        await self.server.start()
        for table, take, pause in (
            (self.adapter.config_table, self._take_config, CONFIG_PAUSE),
            (self.adapter.endpoint_table, self._take_endpoints, ENDPOINTS_PAUSE),
        ):
            follower = Follower(self.ctx, self.store, table, take, pause)
            self._tasks.append(asyncio.create_task(follower.run()))
        self.ctx.timeline.add("started", detail=str(self.settings.listen.callers))

    async def _handle(self, request: Request) -> Response:
        return await self._doors[request.scope["server"][1]](request)

    async def _readiness(self, request: Request) -> Response:
        ready = self.front.deployment is not None and not self.leaving
        return Response(
            200 if ready else 503, None, Content(b"text/plain", b"ready" if ready else b"no")
        )

    async def _directory(self, request: Request) -> Response:
        addresses = [str(self.settings.listen.callers)]
        body = self.adapter.write_addresses(addresses, ADDRESS_SECONDS)
        return Response(200, None, Content(b"application/json", body))

    def _take_config(self, rows: Mapping[str, bytes | None], whole: bool) -> None:
        raw = rows.get(self.adapter.config_key)
        if raw is None:
            return
        found = self.adapter.decode_deployment(raw)
        if failed(found):
            self.ctx.timeline.add("config_refused", "ERROR", detail=found.reason)
            return
        self._put_in_force(found)

    def _put_in_force(self, found: Deployment) -> None:
        """Serve by this configuration from now on, never by an older one again."""
        current = self.front.deployment
        if current is not None and found.version <= current.version:
            return
        self.front.deployment = found
        self.ctx.metrics.generation.set(found.version)
        self.ctx.timeline.add("config_in_force", detail=f"version {found.version}")

    def _take_endpoints(self, rows: Mapping[str, bytes | None], whole: bool) -> None:
        entries = {}
        for key, raw in rows.items():
            entry = None if raw is None else self.adapter.decode_endpoint(key, raw)
            if entry is not None and failed(entry):
                self.ctx.timeline.add("entry_refused", "WARNING", detail=entry.reason)
                continue
            entries[key] = entry
        if whole:
            self.book.replace(entry for entry in entries.values() if entry is not None)
        else:
            self.book.update(entries)

    async def run(self) -> None:
        """Serve until told to stop, then leave without cutting anything off."""
        told = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, told.set)
        loop.add_signal_handler(signal.SIGHUP, lambda: None)
        await self.start()
        await told.wait()
        await self._drain()

    async def _drain(self) -> None:
        """Leave: out of the answers first, then closed, then all requests ended."""
        clock, bounds = self.ctx.clock, self.settings.bounds
        began = clock.monotonic()
        self.leaving = True
        self.ctx.timeline.add("leaving")
        await clock.sleep(min(ADDRESS_SECONDS * ADDRESS_FACTOR, bounds.stopping / 2))
        until = began + bounds.stopping - STOP_MARGIN
        while self.front.in_work and clock.monotonic() < until:
            await clock.sleep(DRAIN_POLL_SECONDS)
        self.ctx.timeline.add("stopped", detail=f"{self.front.in_work} requests left")
