"""The callers' side of a relaying host: HTTP in, the route, the answer."""

import json

from blacksheep import Content, Request, Response

from peridotdock.answers import JSON, answer_reply
from peridotdock.context import Context
from peridotdock.decisions.choice import expected_prefill_seconds
from peridotdock.decisions.overload import RefusalReason, retry_after
from peridotdock.deployment import Deployment, Route
from peridotdock.errors import Failure, Kind, Ran, failed
from peridotdock.relay.attempt import CompleteAnswer, StreamSource
from peridotdock.relay.caller import CallerConnection
from peridotdock.relay.identity import Identifier
from peridotdock.relay.item_waits import name_item
from peridotdock.relay.lag import HostMonitor
from peridotdock.relay.peers import Peers
from peridotdock.relay.progress import Progress
from peridotdock.relay.quotas import Quotas
from peridotdock.relay.requests import Identity, RelayRequest, RequestHead
from peridotdock.relay.service import RelayService
from peridotdock.relay.streaming import relay_stream
from peridotdock.relay.wire import Wire
from peridotdock.requests import Reply
from peridotdock.serving import ARRIVAL_KEY, read_body

# Seconds until a caller may come back to a host that knows no configuration yet: by then it has
# read one, or the caller has asked for other addresses.
NOT_READY_RETRY_SECONDS = 0.3
# The status of a refused request whose earlier send may have run.
MAYBE_RAN_STATUS = 502
# Seconds after its deadline from which on an answer counts as late: timers of a host that is not
# behind fire some milliseconds late.
LATE_TOLERANCE_SECONDS = 0.05


class RequestHandler:
    """Takes callers' requests on one host."""

    def __init__(
        self,
        ctx: Context,
        wire: Wire,
        service: RelayService,
        peers: Peers,
        lag: HostMonitor,
        identifier: Identifier,
        quotas: Quotas,
    ):
        self._ctx = ctx
        self._wire = wire
        self._service = service
        self._peers = peers
        self._lag = lag
        self._identifier = identifier
        self._quotas = quotas
        self.deployment: Deployment | None = None
        self.in_progress = 0

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        head = self._wire.read_request(request.headers)
        if failed(head):
            return self._refuse(head, "")
        if self._lag.trouble is not None:
            return self._reject_overloaded(self._lag.trouble, head.attempt_id)
        deployment = self.deployment
        if deployment is None:
            return self._refuse(
                Failure(Kind.NOT_READY, "", NOT_READY_RETRY_SECONDS), head.attempt_id
            )
        path = request.url.path.decode("latin-1")
        route = deployment.match(head.host, path)
        if route is None:
            return self._refuse(Failure(Kind.NOT_FOUND, "no route"), head.attempt_id)
        identity = self._identifier.identify(deployment, route, head)
        if failed(identity):
            return self._refuse(identity, head.attempt_id)
        body = await read_body(request, deployment.limits.max_body_bytes)
        if failed(body):
            return self._refuse(body, head.attempt_id)
        req = make_request(request, head, route, body, identity)
        blocked = self._service.blocklist.refusal(req)
        if blocked is not None:
            # Before it is counted as demand: what is never sent needs no model loaded.
            return self._refuse(blocked, req.id)
        return await self._serve(request, req)

    async def _serve(self, request: Request, req: RelayRequest) -> Response:
        caller = CallerConnection(request.scope["receive"])
        streaming = False
        self.in_progress += 1
        try:
            limited = await self._quotas.admit(req, caller)
            if limited is not None:
                return self._refuse(limited, req.id)
            progress = self._service.begin(req.route)
            self._count_demand(req, progress)
            found = await self._service.open(req, caller, progress)
            if failed(found):
                if not found.may_have_run:
                    self._quotas.refund(req)
                self._count_late(req)
                return self._refuse(found, req.id)
            self._ctx.metrics.requests.labels("answered").inc()
            self._count_late(req)
            head = found.head
            if isinstance(found, CompleteAnswer):
                return answer_reply(Reply(head.status, head.headers, found.body, head.content_type))
            streaming = True
            body = self._stream_body(req, caller, progress, found)
            return answer_reply(Reply(head.status, head.headers, body, head.content_type))
        finally:
            if not streaming:
                self._finish(caller)

    def _count_late(self, req: RelayRequest) -> None:
        if self._ctx.clock.monotonic() > req.deadline + LATE_TOLERANCE_SECONDS:
            self._ctx.metrics.late_answers.inc()

    def _count_demand(self, req: RelayRequest, progress: Progress) -> None:
        """Count what a request asks of the engines, by model and adapter."""
        inference = req.head.inference
        if inference is not None:
            seconds = expected_prefill_seconds(
                self._service.fleet.estimate_work(progress.service, inference)
            )
            now = self._ctx.clock.monotonic()
            self._peers.demand_meter.add(name_item(progress.service, inference), seconds, now)

    async def _stream_body(self, req, caller, progress, source: StreamSource):
        """Pass a stream on, and count it as in work until it has ended."""
        try:
            async for part in relay_stream(self._service, req, caller, progress, source):
                yield part
        finally:
            self._finish(caller)

    def _finish(self, caller: CallerConnection) -> None:
        self.in_progress -= 1
        caller.stop_watching()

    def _reject_overloaded(self, trouble: RefusalReason, attempt_id: str) -> Response:
        """Refuse a request of a host that takes nothing new, and free its connection."""
        failure = Failure(Kind.HOST_BEHIND, trouble, retry_after(self._ctx.rng.random))
        response = self._refuse(failure, attempt_id)
        response.headers.add(b"connection", b"close")
        return response

    def _refuse(self, failure: Failure, attempt_id: str) -> Response:
        self._ctx.metrics.requests.labels(failure.kind.value).inc()
        self._ctx.timeline.add(
            "refused",
            failure.answer.level,
            request=attempt_id,
            detail=f"{failure.kind}: {failure.reason}",
        )
        # A refusal's status promises that nothing has run, which an earlier send may break.
        maybe_ran = failure.may_have_run and failure.answer.ran is Ran.NO
        headers = self._wire.write_refusal(attempt_id, failure.retry_after)
        body = json.dumps(failure.describe(attempt_id)).encode()
        status = MAYBE_RAN_STATUS if maybe_ran else failure.answer.status
        return Response(status, headers, Content(JSON, body))


def make_request(
    request: Request, head: RequestHead, route: Route, body: bytes, identity: Identity
) -> RelayRequest:
    """Return the request to relay; its time runs from when it can have come at the earliest."""
    received_at = request.scope[ARRIVAL_KEY]
    seconds = route.timeout if head.seconds is None else min(route.timeout, head.seconds)
    target = request.url.value.decode("latin-1")
    return RelayRequest(
        head, route, request.method, target, body, received_at, received_at + seconds, identity
    )
