"""Serves requests that other hosts forward, as they can't connect to the endpoints themselves.

The forwarding host has identified the caller and counted the request against its quota. This host
chooses the endpoint, retries and streams as for its own callers, and never forwards it again.
"""

import hmac
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote

from blacksheep import Content, Request, Response

from peridotdock.context import Context
from peridotdock.decisions.connectivity import Connectivity
from peridotdock.decisions.overload import CONNECT_SECONDS, retry_after, takes_forwarded
from peridotdock.deployment import Deployment
from peridotdock.errors import Failure, Kind, failed
from peridotdock.loop_iterations import LoopIterations
from peridotdock.relay.caller import CallerConnection
from peridotdock.relay.forwarding import (
    ENDPOINT_HEADER,
    FORWARD_HEADER,
    PROOF_HEADER,
    REFUSAL_HEADER,
    SOFTWARE_HEADER,
    drop_forward_headers,
    read_header,
    sign,
    write_refusal,
)
from peridotdock.relay.progress import Progress
from peridotdock.relay.request_handler import make_request
from peridotdock.relay.requests import Identity, RelayRequest, RequestHead
from peridotdock.relay.responding import Responder
from peridotdock.relay.wire import Wire
from peridotdock.schema.messages import Forward
from peridotdock.serving import read_body

TEXT = b"text/plain"


@dataclass(frozen=True, slots=True)
class ForwardAdmission:
    """The admission of a forwarded request, which its caller's host has counted already."""

    progress: Progress

    async def admit(self, req: RelayRequest, caller: CallerConnection) -> Progress:
        """Return the service and the sends that the forwarding host named."""
        return self.progress

    def refund(self, req: RelayRequest) -> None:
        """Take nothing back: the forwarding host does."""


class ForwardedHandler:
    """Handles requests of other hosts. ``is_stopping`` tells whether this host drains."""

    def __init__(
        self,
        ctx: Context,
        wire: Wire,
        responder: Responder,
        links: Connectivity,
        iterations: LoopIterations,
        find_deployment: Callable[[], Deployment | None],
        is_stopping: Callable[[], bool],
    ):
        self._ctx = ctx
        self._wire = wire
        self._responder = responder
        self._links = links
        self._iterations = iterations
        self._find_deployment = find_deployment
        self._is_stopping = is_stopping

    async def handle(self, request: Request) -> Response:
        """Serve one request of another host, or refuse it."""
        head = self._wire.read_request(drop_forward_headers(request.headers.values))
        if failed(head):
            return self._refuse(head, "")
        forward = self._read_forward(request, head)
        if failed(forward):
            return self._refuse(forward, head.attempt_id)
        deployment = self._find_deployment()
        refusal = self._check_host(deployment, forward)
        if refusal is not None or deployment is None:
            return self._refuse(refusal or Failure(Kind.NOT_READY), head.attempt_id)
        req = await self._make_request(request, head, forward, deployment)
        if failed(req):
            return self._refuse(req, head.attempt_id)
        self._ctx.timeline.add("forward_taken", request=req.id, detail=f"from {forward.host}")
        working = forward.working or ()
        progress = Progress(
            forward.service,
            avoid=set(working),
            maybe_ran=forward.sends,
            software=forward.software or None,
            forwarded=True,
            working=set(working),
        )
        found = await self._responder.respond(request, req, ForwardAdmission(progress))
        if failed(found):
            return self._refuse(found, req.id, progress.arrived)
        if progress.software is not None:
            found.headers.add(SOFTWARE_HEADER.encode(), quote(progress.software).encode())
        # A host of an earlier version would pass the header on to its caller.
        if progress.endpoint and forward.working is not None:
            found.headers.add(ENDPOINT_HEADER.encode(), quote(progress.endpoint).encode())
        # The forwarding host ends its other send now.
        progress.working.clear()
        return found

    def _read_forward(self, request: Request, head: RequestHead) -> Forward | Failure:
        """Return what the forwarding host says, if it proves that it is a host."""
        rows = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in request.headers.values
        }
        text = rows.get(FORWARD_HEADER, "")
        proof = sign(self._ctx.cfg.cluster_key, text, head.attempt_id)
        if not hmac.compare_digest(rows.get(PROOF_HEADER, "").encode(), proof.encode()):
            return Failure(Kind.NOT_ALLOWED, "not signed by a host")
        forward = read_header(rows, FORWARD_HEADER, Forward)
        return Failure(Kind.BAD_REQUEST, f"bad {FORWARD_HEADER}") if forward is None else forward

    def _check_host(self, deployment: Deployment | None, forward: Forward) -> Failure | None:
        """Return why this host takes no requests of others now, or None.

        An older configuration than the one that admitted the request is not gone back to.
        """
        if self._is_stopping():
            return Failure(Kind.STOPPING)
        if self._links.doubtful:
            verdict_in = None if self._links.partitioned else CONNECT_SECONDS
            return Failure(Kind.NOT_READY, f"links {self._links.state}", verdict_in)
        if deployment is None or deployment.version < forward.version:
            return Failure(Kind.NOT_READY, "older configuration")
        if not takes_forwarded(self._iterations.lag(), self._iterations.median_length()):
            return Failure(Kind.HOST_BEHIND, "", retry_after(self._ctx.rng.random))
        return None

    async def _make_request(
        self, request: Request, head: RequestHead, forward: Forward, deployment: Deployment
    ) -> RelayRequest | Failure:
        route = deployment.match(head.host, request.url.path.decode("latin-1"))
        if route is None or forward.service not in [share.service for share in route.shares]:
            return Failure(Kind.NOT_FOUND, "no route")
        identity = find_identity(deployment, head, forward)
        if failed(identity):
            return identity
        body = await read_body(request, deployment.limits.max_body_bytes)
        return body if failed(body) else make_request(request, head, route, body, identity)

    def _refuse(self, failure: Failure, attempt_id: str, arrived: bool = False) -> Response:
        self._ctx.timeline.add(
            "forward_refused",
            failure.answer.level,
            request=attempt_id,
            detail=f"{failure.kind}: {failure.reason}",
        )
        headers = [(REFUSAL_HEADER.encode(), write_refusal(failure, arrived).encode())]
        return Response(failure.answer.status, headers, Content(TEXT, failure.kind.encode()))


def find_identity(
    deployment: Deployment, head: RequestHead, forward: Forward
) -> Identity | Failure:
    """Return the workspace that the forwarding host found; callers' keys stay with that host."""
    workspaces = deployment.workspaces
    if not workspaces:
        return Identity(headers=head.identity_headers)
    if not forward.workspace:
        return Identity()
    workspace = workspaces.get(forward.workspace)
    return Failure(Kind.UNKNOWN_CALLER) if workspace is None else Identity(workspace)
