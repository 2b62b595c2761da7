"""Handles callers' HTTP requests: checks, routing, quotas, relaying and the response."""

import json

from blacksheep import Content, Request, Response

from peridotdock.answers import JSON
from peridotdock.context import Context
from peridotdock.decisions.choice import expected_prefill_seconds
from peridotdock.decisions.overload import RefusalReason, retry_after
from peridotdock.deployment import Deployment, Route
from peridotdock.errors import Failure, Kind, Ran, failed
from peridotdock.relay.caller import CallerConnection
from peridotdock.relay.identity import Identifier
from peridotdock.relay.item_waits import name_item
from peridotdock.relay.lag import HostMonitor
from peridotdock.relay.peers import Peers
from peridotdock.relay.progress import Progress
from peridotdock.relay.quotas import Quotas
from peridotdock.relay.requests import Identity, RelayRequest, RequestHead
from peridotdock.relay.responding import Responder
from peridotdock.relay.service import RelayService
from peridotdock.relay.stopping import PlannedStop
from peridotdock.relay.stream_versions import StreamVersions
from peridotdock.relay.wire import Wire
from peridotdock.serving import ARRIVAL_KEY, END_KEY, PACE_KEY, read_body

# Retry-after in seconds while a host has no configuration: by then it has read one, or the caller
# has fetched other host addresses.
NOT_READY_RETRY_SECONDS = 0.3
# Status of a refused request of which an earlier send may have run.
MAYBE_RAN_STATUS = 502


class RequestHandler:
    """Handles callers' requests on one host, and counts those in progress.

    Once ``closed`` is set, no request is sent to an endpoint any more.
    """

    def __init__(
        self,
        ctx: Context,
        wire: Wire,
        service: RelayService,
        responder: Responder,
        peers: Peers,
        monitor: HostMonitor,
        identifier: Identifier,
        quotas: Quotas,
        stream_versions: StreamVersions,
        stop: PlannedStop,
    ):
        self._ctx = ctx
        self._wire = wire
        self._service = service
        self._responder = responder
        self._peers = peers
        self._monitor = monitor
        self._identifier = identifier
        self._quotas = quotas
        self._stream_versions = stream_versions
        self._stop = stop
        self.deployment: Deployment | None = None
        self.closed = False

    @property
    def max_header_bytes(self) -> int:
        """Bytes of header fields that the configuration in force allows, 0 without one."""
        return self.deployment.limits.max_header_bytes if self.deployment is not None else 0

    async def handle(self, request: Request) -> Response:
        """Check and relay one request, and return the response or a refusal."""
        head = self._wire.read_request(request.headers)
        if failed(head):
            return self._refuse(head, "")
        if self._monitor.refusal_reason is not None:
            reason = self._monitor.refusal_reason
            return self._reject_overloaded(request, reason, head.attempt_id)
        deployment = self.deployment
        if deployment is None:
            return self._refuse(
                Failure(Kind.NOT_READY, "", NOT_READY_RETRY_SECONDS), head.attempt_id
            )
        path = request.url.path.decode("latin-1")
        route = deployment.match(head.host, path)
        if route is None:
            return self._refuse(Failure(Kind.NOT_FOUND, "no route"), head.attempt_id)
        too_large = check_prompt(head, deployment.largest_prompt(route))
        if too_large is not None:
            return self._refuse(too_large, head.attempt_id)
        identity = self._identifier.identify(deployment, route, head)
        if failed(identity):
            return self._refuse(identity, head.attempt_id)
        body = await read_body(request, deployment.limits.max_body_bytes)
        if failed(body):
            return self._refuse(body, head.attempt_id)
        req = make_request(request, head, route, body, identity)
        blocked = await self._service.blocklist.admit(req)
        if blocked is not None:
            # Before it counts as demand: a request that is never sent needs no loaded model.
            return self._refuse(blocked, req.id)
        return await self._serve(request, req)

    async def _serve(self, request: Request, req: RelayRequest) -> Response:
        if self.closed:
            failure = Failure(Kind.NOT_READY, "the host has stopped", NOT_READY_RETRY_SECONDS)
            return self._refuse_and_close(request, failure, req.id)
        stopping = self._stop.refusal(req)
        if stopping is not None:
            return self._refuse(stopping, req.id)
        found = await self._responder.respond(request, req, self)
        return self._refuse(found, req.id) if failed(found) else found

    async def admit(self, req: RelayRequest, caller: CallerConnection) -> Progress | Failure:
        """Admit a request within its workspace's quota, and choose its service."""
        limited = await self._quotas.admit(req, caller)
        if limited is not None:
            return limited
        progress = self._service.choose_service(req.route)
        if req.head.resumed_attempt and req.route.streams:
            unknown = await self._stream_versions.bind(req, caller, progress)
            if unknown is not None:
                self.refund(req)
                return unknown
        self._count_demand(req, progress)
        return progress

    def refund(self, req: RelayRequest) -> None:
        """Return the quota units of a request that did not run."""
        self._quotas.refund(req)

    def _count_demand(self, req: RelayRequest, progress: Progress) -> None:
        """Add the request's engine seconds to the demand for its model or adapter."""
        inference = req.head.inference
        if inference is not None:
            seconds = expected_prefill_seconds(
                self._service.fleet.estimate_work(progress.service, inference)
            )
            now = self._ctx.clock.monotonic()
            self._peers.demand_meter.add(name_item(progress.service, inference), seconds, now)

    def _reject_overloaded(
        self, request: Request, refusal_reason: RefusalReason, attempt_id: str
    ) -> Response:
        """Refuse a request while the host is overloaded, and close its connection."""
        failure = Failure(Kind.HOST_BEHIND, refusal_reason, retry_after(self._ctx.rng.random))
        return self._refuse_and_close(request, failure, attempt_id)

    def _refuse_and_close(self, request: Request, failure: Failure, attempt_id: str) -> Response:
        """Refuse a request; its connection ends once what was read of it is answered."""
        request.scope[END_KEY]()
        return self._refuse(failure, attempt_id)

    def _refuse(self, failure: Failure, attempt_id: str) -> Response:
        self._ctx.metrics.requests.labels(failure.kind.value).inc()
        self._ctx.timeline.add(
            "refused",
            failure.answer.level,
            request=attempt_id,
            detail=f"{failure.kind}: {failure.reason}",
        )
        # The usual status states that nothing has run, which is wrong if an earlier send may have.
        maybe_ran = failure.may_have_run and failure.answer.ran is Ran.NO
        headers = self._wire.write_refusal(attempt_id, failure.retry_after)
        body = json.dumps(failure.describe(attempt_id)).encode()
        status = MAYBE_RAN_STATUS if maybe_ran else failure.answer.status
        return Response(status, headers, Content(JSON, body))


def check_prompt(head: RequestHead, largest: float) -> Failure | None:
    """Return why a prompt of more than ``largest`` tokens can't be served, or None."""
    tokens = head.inference.prompt_tokens if head.inference is not None else 0
    if tokens <= largest:
        return None
    return Failure(Kind.PROMPT_TOO_LARGE, f"{tokens} tokens, {largest:.0f} at most")


def make_request(
    request: Request, head: RequestHead, route: Route, body: bytes, identity: Identity
) -> RelayRequest:
    """Return the request to relay; its timeout runs from its earliest possible arrival."""
    received_at = request.scope[ARRIVAL_KEY]
    seconds = (
        route.timeout if head.timeout_seconds is None else min(route.timeout, head.timeout_seconds)
    )
    target = request.url.value.decode("latin-1")
    deadline = received_at + seconds
    pace = request.scope[PACE_KEY].seconds_per_byte
    return RelayRequest(
        head, route, request.method, target, body, received_at, deadline, identity, pace
    )
