"""Callers' requests, their states, and the error kind for a loss in each state."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from typing import Protocol

from peridotdock.errors import Failure, Kind, Ran

# Bytes of a content ID: among a million contents, two collide with a chance of 1 in 37 million.
CONTENT_ID_BYTES = 8


class RequestState(StrEnum):
    """The progress of a request."""

    RECEIVED = "received"
    ADMITTED = "admitted"
    CLAIMED = "claimed"
    SENT = "sent"
    FIRST_BYTE = "first_byte"
    ENDED = "ended"


class Loss(StrEnum):
    """The causes that end a request before its answer is complete."""

    CALLER_GONE = "caller_gone"
    ENDPOINT_GONE = "endpoint_gone"
    SILENCE = "silence"
    DEADLINE = "deadline"


# Up to CLAIMED no byte has been sent to an endpoint, so the request was not run. From SENT on it
# may have run, whatever the state of the connection.
KIND_BY_LOSS: dict[tuple[RequestState, Loss], Kind] = {
    (RequestState.RECEIVED, Loss.DEADLINE): Kind.DEADLINE_UNSENT,
    (RequestState.ADMITTED, Loss.DEADLINE): Kind.DEADLINE_UNSENT,
    (RequestState.CLAIMED, Loss.DEADLINE): Kind.DEADLINE_UNSENT,
    (RequestState.ADMITTED, Loss.ENDPOINT_GONE): Kind.ENDPOINT_UNREACHABLE,
    (RequestState.CLAIMED, Loss.ENDPOINT_GONE): Kind.ENDPOINT_UNREACHABLE,
    (RequestState.SENT, Loss.DEADLINE): Kind.DEADLINE,
    (RequestState.SENT, Loss.ENDPOINT_GONE): Kind.ENDPOINT_LOST,
    (RequestState.SENT, Loss.SILENCE): Kind.ENDPOINT_LOST,
    (RequestState.FIRST_BYTE, Loss.DEADLINE): Kind.DEADLINE,
    (RequestState.FIRST_BYTE, Loss.ENDPOINT_GONE): Kind.ANSWER_CUT,
    (RequestState.FIRST_BYTE, Loss.SILENCE): Kind.ANSWER_CUT,
    (RequestState.RECEIVED, Loss.CALLER_GONE): Kind.DEADLINE_UNSENT,
    (RequestState.ADMITTED, Loss.CALLER_GONE): Kind.DEADLINE_UNSENT,
    (RequestState.CLAIMED, Loss.CALLER_GONE): Kind.DEADLINE_UNSENT,
    (RequestState.SENT, Loss.CALLER_GONE): Kind.DEADLINE,
    (RequestState.FIRST_BYTE, Loss.CALLER_GONE): Kind.DEADLINE,
}


# Failures of one endpoint, after which the request may be sent to another.
RETRY_KINDS = frozenset(
    {
        Kind.ENDPOINT_REFUSED,
        Kind.ENDPOINT_LACKS,
        Kind.ENDPOINT_UNREACHABLE,
        Kind.ENDPOINT_LOST,
        Kind.ENDPOINT_ERROR,
        Kind.ANSWER_CUT,
        Kind.WRONG_ANSWER,
    }
)


# The kinds that result when an endpoint ends during a request.
BROKEN_CONNECTION_KINDS = frozenset({Kind.ENDPOINT_LOST, Kind.ANSWER_CUT})


def loss_failure(state: RequestState, loss: Loss, reason: str = "") -> Failure:
    """Return the failure for a loss in a state."""
    return Failure(KIND_BY_LOSS[(state, loss)], reason or loss.value)


def mark_maybe_ran(failure: Failure, earlier_send: bool) -> Failure:
    """Set ``ran`` to "maybe" when an earlier send of the same request may have run.

    Failure guarded against: the first send is lost midway and the retry is refused. The refusal
    alone would report "not run" to the caller, although the first send ran.
    """
    if not earlier_send or failure.may_have_run:
        return failure
    return Failure(failure.kind, failure.reason, failure.retry_after, Ran.MAYBE)


def connection_broke(failure: Failure) -> bool:
    """Return whether a request was lost because its connection closed, not because of silence."""
    return failure.kind in BROKEN_CONNECTION_KINDS and failure.reason != Loss.SILENCE


def hash_content(body: bytes, *names: str) -> str:
    """Return the content ID of a body and names, in hexadecimal digits."""
    digest = blake2b(digest_size=CONTENT_ID_BYTES)
    for name in names:
        raw = name.encode()
        digest.update(len(raw).to_bytes(4))
        digest.update(raw)
    digest.update(body)
    return digest.hexdigest()


class CallerConnection(Protocol):
    """The connection between a caller and this host."""

    def is_disconnected(self) -> bool:
        """Return whether the caller's connection is closed or closing."""


@dataclass(frozen=True)
class RoutingProfile:
    """The properties of a request that routing uses; the first-token target is in seconds."""

    item: str
    tokens: int
    blocks: tuple[int, ...]
    priority: int
    first_token_seconds: float
    domain: str


@dataclass(frozen=True)
class ModelRequest:
    """A request for a model or adapter; ``deadline`` is in monotonic seconds.

    ``send`` counts the sends of the request to endpoints, from one.
    """

    request_id: str
    caller_id: str
    path: str
    form: str
    stream: bool
    body: bytes
    profile: RoutingProfile
    repeatable: bool
    deadline: float
    traceparent: str
    send: int = 1

    @property
    def send_id(self) -> str:
        """Return the ID of this send on its endpoint.

        Failure guarded against: the cancel of a send that was lost arrives after the next send to
        the same endpoint, and stops it.
        """
        return self.request_id if self.send == 1 else f"{self.request_id}-{self.send}"

    @property
    def content_id(self) -> str:
        """Return the ID shared by all requests of a caller with the same content.

        Request IDs differ between a caller's attempts at the same request.
        """
        return hash_content(self.body, self.caller_id, self.path, self.profile.item)

    @property
    def part_ids(self) -> tuple[str, ...]:
        """Return nothing: callers of this interface do not name the parts of their prompts."""
        return ()


@dataclass(frozen=True)
class ServiceRequest:
    """A call to a plain service; ``deadline`` is in monotonic seconds."""

    request_id: str
    caller_id: str
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    repeatable: bool
    deadline: float


@dataclass(frozen=True)
class Reply:
    """An answer whose body is either complete bytes or an iterator over its parts."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | AsyncIterator[bytes]
    content_type: str = "application/json"
