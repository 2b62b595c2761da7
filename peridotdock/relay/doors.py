"""The addresses at which a relaying host is asked besides callers' requests."""

import random
from collections.abc import Callable

from blacksheep import Content, Request, Response

from peridotdock.context import Context
from peridotdock.membership import Membership
from peridotdock.relay.adapter import Adapter
from peridotdock.relay.front import Front
from peridotdock.relay.settings import Listen
from peridotdock.serving import Handler

# Seconds that callers keep an answer where to connect.
ADDRESS_SECONDS = 1.0


class Doors:
    """Takes each request to what listens at its port."""

    def __init__(
        self,
        ctx: Context,
        adapter: Adapter,
        front: Front,
        membership: Membership,
        is_ready: Callable[[], bool],
    ):
        self._ctx = ctx
        self._adapter = adapter
        self._front = front
        self._membership = membership
        self._is_ready = is_ready
        self._handlers: dict[int, Handler] = {}

    def open(self, listen: Listen, metrics_port: int | None) -> None:
        """Take requests at these ports from now on."""
        self._handlers = {
            listen.callers.port: self._front.handle,
            listen.readiness.port: self._readiness,
            listen.directory.port: self._directory,
        }
        if metrics_port is not None:
            self._handlers[metrics_port] = self._metrics

    async def handle(self, request: Request) -> Response:
        """Answer a request at whichever port it came."""
        return await self._handlers[request.scope["server"][1]](request)

    async def _readiness(self, request: Request) -> Response:
        ready = self._is_ready()
        body = Content(b"text/plain", b"ready" if ready else b"not ready")
        return Response(200 if ready else 503, None, body)

    async def _metrics(self, request: Request) -> Response:
        self._ctx.metrics.in_work.set(self._front.in_work)
        return Response(200, None, Content(b"text/plain", self._ctx.metrics.render()))

    async def _directory(self, request: Request) -> Response:
        rows = self._membership.members().values()
        addresses = [row.fact.entry for row in rows if row.takes_work]
        random.shuffle(addresses)
        body = self._adapter.write_addresses(addresses, ADDRESS_SECONDS)
        return Response(200, None, Content(b"application/json", body))
