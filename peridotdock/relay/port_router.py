"""Dispatches requests by port: callers, other hosts, readiness, host directory and metrics."""

import random
from collections.abc import Callable

from blacksheep import Content, Request, Response

from peridotdock.context import Context
from peridotdock.membership import Membership
from peridotdock.relay.adapter import Adapter
from peridotdock.relay.forwarded import ForwardedHandler
from peridotdock.relay.request_handler import RequestHandler
from peridotdock.relay.settings import Listen
from peridotdock.relay.stopping import ADDRESS_SECONDS
from peridotdock.serving import Handler


class PortRouter:
    """Passes each request to the handler of the port that it arrived at."""

    def __init__(
        self,
        ctx: Context,
        adapter: Adapter,
        request_handler: RequestHandler,
        forwarded_handler: ForwardedHandler,
        membership: Membership,
        is_ready: Callable[[], bool],
        in_progress: Callable[[], int],
    ):
        self._ctx = ctx
        self._adapter = adapter
        self._request_handler = request_handler
        self._forwarded_handler = forwarded_handler
        self._membership = membership
        self._is_ready = is_ready
        self._in_progress = in_progress
        self._handlers: dict[int, Handler] = {}

    def set_ports(self, listen: Listen, metrics_port: int | None) -> None:
        """Set the handler of each port; ``metrics_port`` is None without a metrics listener."""
        self._handlers = {
            listen.callers.port: self._request_handler.handle,
            listen.readiness.port: self._readiness,
            listen.directory.port: self._directory,
        }
        if listen.relay is not None:
            self._handlers[listen.relay.port] = self._forwarded_handler.handle
        if metrics_port is not None:
            self._handlers[metrics_port] = self._metrics

    async def handle(self, request: Request) -> Response:
        """Answer a request with the handler of its port."""
        return await self._handlers[request.scope["server"][1]](request)

    async def _readiness(self, request: Request) -> Response:
        ready = self._is_ready()
        body = Content(b"text/plain", b"ready" if ready else b"not ready")
        return Response(200 if ready else 503, None, body)

    async def _metrics(self, request: Request) -> Response:
        self._ctx.metrics.in_work.set(self._in_progress())
        return Response(200, None, Content(b"text/plain", self._ctx.metrics.render()))

    async def _directory(self, request: Request) -> Response:
        addresses = [row.fact.entry for row in self._membership.directory()]
        random.shuffle(addresses)
        body = self._adapter.write_addresses(addresses, ADDRESS_SECONDS)
        return Response(200, None, Content(b"application/json", body))
