"""Forwards requests that this host can't send to an endpoint through a host that can.

The other host chooses the endpoint, retries and streams as for its own callers; see
:mod:`peridotdock.relay.forwarded`. This host has admitted the request, and reads the answer as if
it came from an endpoint. Closing the connection ends the work at its other end.
"""

import base64
import binascii
import hashlib
import hmac
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import replace
from typing import Any, TypeVar
from urllib.parse import unquote

import cbor2
import msgspec

from peridotdock.clients.endpoint import (
    MAX_REFUSAL_BYTES,
    Call,
    HttpEndpoints,
    OpenResponse,
    read_all,
)
from peridotdock.context import Context
from peridotdock.decisions.connectivity import Connectivity
from peridotdock.decisions.health import Health
from peridotdock.decisions.overload import connect_timeout
from peridotdock.errors import Failure, Kind, Ran, failed
from peridotdock.membership import Member, Membership
from peridotdock.relay.caller import Caller
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.progress import Progress
from peridotdock.relay.requests import AnswerHead, EndpointEntry, RelayRequest, SendOptions
from peridotdock.relay.sending import (
    REFUSAL_BODY_SECONDS,
    PendingAnswer,
    check_answer_head,
    wait_for,
)
from peridotdock.relay.wire import Wire
from peridotdock.schema.messages import Forward, ForwardRefusal

# Header of a forwarded request, its signature, and the header of a host's own answer to it.
FORWARD_HEADER = "x-peridotdock-forward"
PROOF_HEADER = "x-peridotdock-proof"
REFUSAL_HEADER = "x-peridotdock-refusal"
# Header of a host's answer: the version of the software of the endpoint that the answer is from.
SOFTWARE_HEADER = "x-peridotdock-software"
# Header of a host's stream: the id of the endpoint that it is from.
ENDPOINT_HEADER = "x-peridotdock-endpoint"
# Headers of a host's answer that callers don't get.
HOST_HEADERS = frozenset({SOFTWARE_HEADER, ENDPOINT_HEADER})
# Hosts to which one request is forwarded at most.
MAX_FORWARDS = 3
# Seconds without requests to a host that was lost, or that took none and did not say until when.
LOST_HOST_SECONDS = 1.0
# Seconds for which an endpoint counts as unreachable for other hosts too, after one reported so.
CONFIRMED_SECONDS = 1.0
# Kinds that say nothing of a host: the caller or the deadline ended the request, or an endpoint may
# have ended in its answer. Where the host was lost, the next connection to it fails as well.
NOT_THE_HOST_KINDS = frozenset({Kind.DEADLINE, Kind.ANSWER_CUT})
# Kinds with which a host says that another one may take the request.
OTHER_HOST_KINDS = frozenset({Kind.STOPPING, Kind.HOST_BEHIND, Kind.NOT_READY})

UNREADABLE_REFUSAL = Failure(Kind.WRONG_ANSWER, "refusal of an unknown form")

T = TypeVar("T")


class Forwarder:
    """Chooses hosts and forwards this host's requests to them."""

    def __init__(
        self,
        ctx: Context,
        wire: Wire,
        endpoints: HttpEndpoints,
        fleet: RelayFleet,
        membership: Membership,
        links: Connectivity,
    ):
        self._ctx = ctx
        self._wire = wire
        self._endpoints = endpoints
        self._fleet = fleet
        self._membership = membership
        self._links = links
        self._avoided_until: dict[str, float] = {}
        self._confirmed_until: dict[str, float] = {}
        self.config_version: Callable[[], int] = lambda: 0

    def choose_host(self, req: RelayRequest, progress: Progress) -> Member | None:
        """Return the host to forward a request to, None if this host serves it itself.

        It is forwarded while this host's links are in doubt, and where it can't connect to any of
        the endpoints that could serve the request. Any host in touch may be chosen, so that no one
        host carries the requests of all that are cut off.
        """
        if progress.forwarded or len(progress.hosts) >= MAX_FORWARDS:
            return None
        own = progress.working - progress.relayed
        if own and not self._links.partitioned:
            # A host of an earlier version might choose an endpoint that may work on the request.
            return None
        service, inference, software = progress.service, req.head.inference, progress.software
        if not self._links.doubtful and self._fleet.usable(service, inference, software):
            return None
        if not self._served_elsewhere(req, progress):
            return None
        hosts = self._find_hosts(progress.hosts)
        return self._ctx.rng.choice(hosts) if hosts else None

    def can_forward(self, req: RelayRequest, progress: Progress) -> bool:
        """Return whether there is a host to forward a request to."""
        return self.choose_host(req, progress) is not None

    def is_cut_off(self) -> bool:
        """Return whether this host reaches no endpoint itself."""
        return self._links.partitioned

    def _served_elsewhere(self, req: RelayRequest, progress: Progress) -> bool:
        """Return whether some endpoint may serve the request for a host that reaches it."""
        now = self._ctx.clock.monotonic()
        confirmed = self._confirmed_until
        states = self._fleet.serving(progress.service, req.head.inference, progress.software)
        return any(confirmed.get(state.key, 0.0) <= now for state in states)

    def has_hosts(self) -> bool:
        """Return whether any host takes requests of this one."""
        return bool(self._find_hosts(frozenset()))

    def _find_hosts(self, tried: Collection[str]) -> list[Member]:
        now = self._ctx.clock.monotonic()
        members = self._membership.members()
        return [
            members[name]
            for name in self._membership.live()
            if name != self._membership.own.host
            and name not in tried
            and members[name].fact.relay
            and self._avoided_until.get(name, 0.0) <= now
        ]

    async def send(
        self, req: RelayRequest, caller: Caller, progress: Progress, host: Member
    ) -> PendingAnswer | Failure:
        """Forward a request to a host, and wait for the head of the answer.

        A host that did not take it gives a failure of the kind endpoint_unreachable.
        """
        name = host.fact.host
        progress.hosts.add(name)
        remaining = req.deadline - self._ctx.clock.monotonic()
        self._ctx.timeline.add(
            "forwarded",
            request=req.id,
            detail=f"to {name}, links {self._links.state}, {remaining:.3f} s left",
        )
        call = Call(
            req.method,
            req.target,
            self._write_headers(req, progress, remaining),
            req.body,
            at_most_once=True,
            connect_timeout=connect_timeout(remaining),
        )
        work = self._endpoints.open(f"http://{host.fact.relay}", call)
        opened = await wait_for(work, caller, remaining)
        if failed(opened):
            self.record_lost(req, name, opened)
            return opened
        refusal = read_header(opened.headers, REFUSAL_HEADER, ForwardRefusal)
        if refusal is not None:
            await wait_for(read_all(opened, MAX_REFUSAL_BYTES), caller, REFUSAL_BODY_SECONDS)
            await opened.release()
            return self._apply_refusal(req, progress, name, refusal)
        if REFUSAL_HEADER in opened.headers:
            # Its status would tell the caller that nothing has run, which the header may deny.
            return await self._give_up(req, name, opened, UNREADABLE_REFUSAL)
        return await self._check_answer(req, progress, host, opened)

    async def _check_answer(
        self, req: RelayRequest, progress: Progress, host: Member, opened: OpenResponse
    ) -> PendingAnswer | Failure:
        head = self._wire.read_answer(opened.status, opened.headers)
        failure = check_answer_head(head, req.id)
        if failure is None:
            software = unquote(opened.headers.get(SOFTWARE_HEADER, "")) or None
            state = host_state(host, progress.service)
            endpoint = unquote(opened.headers.get(ENDPOINT_HEADER, ""))
            return PendingAnswer(state, opened, without_host_headers(head), software, endpoint)
        return await self._give_up(req, host.fact.host, opened, failure)

    async def _give_up(
        self, req: RelayRequest, host: str, opened: OpenResponse, failure: Failure
    ) -> Failure:
        """Close the connection of an answer that can't be passed on, and return why."""
        opened.abort()
        await opened.release()
        self.record_lost(req, host, failure)
        return failure

    def _write_headers(
        self, req: RelayRequest, progress: Progress, remaining: float
    ) -> dict[str, str]:
        resume = req.head.resume_after if progress.last_id is None else str(progress.last_id)
        workspace = req.identity.workspace
        forward = Forward(
            self._membership.own.host,
            self.config_version(),
            progress.service,
            workspace.name if workspace is not None else "",
            progress.maybe_ran,
            progress.software or "",
            sorted(progress.working),
        )
        text = write_header(forward)
        headers = self._wire.write_send(req, SendOptions("", remaining, 0, resume))
        headers[FORWARD_HEADER] = text
        headers[PROOF_HEADER] = sign(self._ctx.cfg.cluster_key, text, req.id)
        return headers

    def record_lost(self, req: RelayRequest, host: str, failure: Failure) -> None:
        """Avoid a host that was lost, unless something else may have ended the request."""
        if failure.kind not in NOT_THE_HOST_KINDS:
            self.avoid(host)
        self._log_lost(req, host, failure)

    def avoid(self, host: str, seconds: float | None = None) -> None:
        """Send nothing to a host for a while."""
        wait = LOST_HOST_SECONDS if seconds is None else seconds
        self._avoided_until[host] = self._ctx.clock.monotonic() + wait

    def _log_lost(self, req: RelayRequest, host: str, failure: Failure) -> None:
        detail = f"{host}: {failure.kind}: {failure.reason}"
        self._ctx.timeline.add("forward_lost", failure.answer.level, request=req.id, detail=detail)

    def _apply_refusal(
        self, req: RelayRequest, progress: Progress, name: str, refusal: ForwardRefusal
    ) -> Failure:
        """Return the failure for a host's own answer."""
        failure = read_refusal(refusal)
        progress.arrived = progress.arrived or refusal.arrived
        self._log_lost(req, name, failure)
        now = self._ctx.clock.monotonic()
        if failure.kind in OTHER_HOST_KINDS:
            self.avoid(name, failure.retry_after)
            # A send before the refusal may have run.
            ran = failure.ran if refusal.arrived else None
            return Failure(Kind.ENDPOINT_UNREACHABLE, f"{name}: {failure.kind}", ran=ran)
        if failure.kind is Kind.NO_ENDPOINT and not failure.may_have_run:
            inference, software = req.head.inference, progress.software
            for state in self._fleet.serving(progress.service, inference, software):
                self._confirmed_until[state.key] = now + CONFIRMED_SECONDS
            return Failure(Kind.ENDPOINT_UNREACHABLE, f"{name} reaches none")
        # That host has retried as far as the route and the budget allow.
        progress.final = True
        return failure

    def prune(self) -> None:
        """Forget hosts and endpoints that are not avoided any more."""
        now = self._ctx.clock.monotonic()
        for rows in (self._avoided_until, self._confirmed_until):
            for name in [name for name, until in rows.items() if until <= now]:
                del rows[name]


def without_host_headers(head: AnswerHead) -> AnswerHead:
    """Return the head of another host's answer as callers get it."""
    return replace(head, headers=tuple(row for row in head.headers if row[0] not in HOST_HEADERS))


def host_state(host: Member, service: str) -> EndpointState:
    """Return a host in the place of an endpoint that answers a request."""
    entry = EndpointEntry(host.fact.host, service, host.fact.relay, host.fact.domain, 1, False)
    return EndpointState(entry, Health(), is_host=True)


def sign(key: str, text: str, attempt_id: str) -> str:
    """Return the HMAC-SHA-256 that proves that the sender of a forwarded request is a host."""
    return hmac.digest(key.encode(), f"{attempt_id} {text}".encode(), hashlib.sha256).hex()


def write_header(message: Forward | ForwardRefusal) -> str:
    """Return a message as the text of a header."""
    return base64.b64encode(cbor2.dumps(msgspec.to_builtins(message))).decode()


def read_header(headers: Mapping[str, str], name: str, shape: type[T]) -> T | None:
    """Return the message in a header, None if it is missing or can't be decoded."""
    try:
        found: Any = cbor2.loads(base64.b64decode(headers.get(name, ""), validate=True))
        return msgspec.convert(found, shape)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, binascii.Error, ValueError):
        return None


def write_refusal(failure: Failure, arrived: bool) -> str:
    """Return a failure as the text of a header; ``arrived`` if an endpoint got the request."""
    seconds = failure.retry_after
    retry_after = -1 if seconds is None else round(1000 * seconds)
    refusal = ForwardRefusal(
        failure.kind.value, failure.reason, failure.may_have_run, retry_after, arrived
    )
    return write_header(refusal)


def read_refusal(refusal: ForwardRefusal) -> Failure:
    """Return the failure that a host answered; a kind of a newer version is an internal error."""
    try:
        kind = Kind(refusal.kind)
    except ValueError:
        kind = Kind.INTERNAL
    retry_after = None if refusal.retry_after < 0 else refusal.retry_after / 1000
    ran = Ran.MAYBE if refusal.ran else Ran.NO
    return Failure(kind, refusal.reason, retry_after, ran)


def drop_forward_headers(
    headers: Sequence[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request without those between hosts."""
    names = {FORWARD_HEADER.encode(), PROOF_HEADER.encode()}
    return [row for row in headers if row[0].lower() not in names]
