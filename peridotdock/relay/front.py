"""The callers' side of a relaying host: HTTP in, the route, the answer."""

import json

from blacksheep import Content, Request, Response

from peridotdock.answers import JSON, answer_reply
from peridotdock.context import Context
from peridotdock.decisions.choice import read_seconds
from peridotdock.decisions.overload import Trouble, retry_after
from peridotdock.deployment import Deployment, Route
from peridotdock.errors import Failure, Kind, Ran, failed
from peridotdock.relay.absent import name_item
from peridotdock.relay.asks import Identity, RelayAsk, RequestHead
from peridotdock.relay.attempt import Source, Whole
from peridotdock.relay.caller import CallerEnd
from peridotdock.relay.identity import Identifier
from peridotdock.relay.lag import LagWatch
from peridotdock.relay.peers import Peers
from peridotdock.relay.progress import Progress
from peridotdock.relay.quotas import Quotas
from peridotdock.relay.service import RelayService
from peridotdock.relay.streaming import pass_on
from peridotdock.relay.wire import Wire
from peridotdock.requests import Reply
from peridotdock.serving import CAME, read_body

# Seconds until a caller may come back to a host that knows no configuration yet: by then it has
# read one, or the caller has asked for other addresses.
NOT_READY_RETRY_SECONDS = 0.3
# The status of a refused request whose earlier send may have run.
MAYBE_RAN_STATUS = 502
# Seconds after its deadline from which on an answer counts as late: timers of a host that is not
# behind fire some milliseconds late.
LATE_SECONDS = 0.05


class Front:
    """Takes callers' requests on one host."""

    def __init__(
        self,
        ctx: Context,
        wire: Wire,
        service: RelayService,
        peers: Peers,
        lag: LagWatch,
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
        self.in_work = 0

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        head = self._wire.read_request(request.headers)
        if failed(head):
            return self._refuse(head, "")
        if self._lag.trouble is not None:
            return self._turn_away(self._lag.trouble, head.attempt_id)
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
        ask = make_ask(request, head, route, body, identity)
        blocked = self._service.blocklist.refusal(ask)
        if blocked is not None:
            # Before it is counted as demand: what is never sent needs no model loaded.
            return self._refuse(blocked, ask.id)
        return await self._serve(request, ask)

    async def _serve(self, request: Request, ask: RelayAsk) -> Response:
        caller = CallerEnd(request.scope["receive"])
        streaming = False
        self.in_work += 1
        try:
            limited = await self._quotas.admit(ask, caller)
            if limited is not None:
                return self._refuse(limited, ask.id)
            progress = self._service.begin(ask.route)
            self._count_demand(ask, progress)
            found = await self._service.open(ask, caller, progress)
            if failed(found):
                if not found.may_have_run:
                    self._quotas.give_back(ask)
                self._count_late(ask)
                return self._refuse(found, ask.id)
            self._ctx.metrics.requests.labels("answered").inc()
            self._count_late(ask)
            head = found.head
            if isinstance(found, Whole):
                return answer_reply(Reply(head.status, head.headers, found.body, head.content_type))
            streaming = True
            body = self._hold(ask, caller, progress, found)
            return answer_reply(Reply(head.status, head.headers, body, head.content_type))
        finally:
            if not streaming:
                self._leave(caller)

    def _count_late(self, ask: RelayAsk) -> None:
        if self._ctx.clock.monotonic() > ask.deadline + LATE_SECONDS:
            self._ctx.metrics.late_answers.inc()

    def _count_demand(self, ask: RelayAsk, progress: Progress) -> None:
        """Count what a request asks of the engines, by model and adapter."""
        wish = ask.head.wish
        if wish is not None:
            seconds = read_seconds(self._service.fleet.work(progress.service, wish))
            now = self._ctx.clock.monotonic()
            self._peers.meter.add(name_item(progress.service, wish), seconds, now)

    async def _hold(self, ask, caller, progress, source: Source):
        """Pass a stream on, and count it as in work until it has ended."""
        try:
            async for part in pass_on(self._service, ask, caller, progress, source):
                yield part
        finally:
            self._leave(caller)

    def _leave(self, caller: CallerEnd) -> None:
        self.in_work -= 1
        caller.release()

    def _turn_away(self, trouble: Trouble, attempt_id: str) -> Response:
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
        unsure = failure.may_have_run and failure.answer.ran is Ran.NO
        headers = self._wire.write_refusal(attempt_id, failure.retry_after)
        body = json.dumps(failure.describe(attempt_id)).encode()
        status = MAYBE_RAN_STATUS if unsure else failure.answer.status
        return Response(status, headers, Content(JSON, body))


def make_ask(
    request: Request, head: RequestHead, route: Route, body: bytes, identity: Identity
) -> RelayAsk:
    """Return the request to relay; its time runs from when it can have come at the earliest."""
    came = request.scope[CAME]
    seconds = route.timeout if head.seconds is None else min(route.timeout, head.seconds)
    target = request.url.value.decode("latin-1")
    return RelayAsk(head, route, request.method, target, body, came, came + seconds, identity)
