"""A request on its way: what was asked, where it stands, and what each loss means there."""

from collections.abc import AsyncIterator
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from typing import Protocol

from peridotdock.errors import Failure, Kind, Ran

# Bytes of a content id: among a million contents, two share one with a chance of 1 in 37 million.
CONTENT_ID_BYTES = 8


class RequestState(StrEnum):
    """How far a request has come."""

    RECEIVED = "received"
    ADMITTED = "admitted"
    CLAIMED = "claimed"
    SENT = "sent"
    FIRST_BYTE = "first_byte"
    ENDED = "ended"


class Loss(StrEnum):
    """What can end a request before its answer is whole."""

    CALLER_GONE = "caller_gone"
    ENDPOINT_GONE = "endpoint_gone"
    SILENCE = "silence"
    DEADLINE = "deadline"


# Up to CLAIMED no byte has left for an endpoint, so the request was not run. From SENT on it may
# have run, whatever we know of the connection.
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


# Failures of one endpoint, after which another one may be asked.
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


# What is found when an endpoint ends while it has a request.
BROKEN_CONNECTION_KINDS = frozenset({Kind.ENDPOINT_LOST, Kind.ANSWER_CUT})


def loss_failure(state: RequestState, loss: Loss, reason: str = "") -> Failure:
    """Return what a loss in a state means to the caller."""
    return Failure(KIND_BY_LOSS[(state, loss)], reason or loss.value)


def mark_maybe_ran(failure: Failure, earlier_send: bool) -> Failure:
    """Say "maybe" when an earlier send of the same request may have run.

    Failure guarded against: the first send is lost in the middle, the retry is refused, and the
    caller is told "not run" by the last word alone, although the first send ran.
    """
    if not earlier_send or failure.may_have_run:
        return failure
    return Failure(failure.kind, failure.reason, failure.retry_after, Ran.MAYBE)


def connection_broke(failure: Failure) -> bool:
    """Tell whether a request was lost as its endpoint closed the connection, not by silence."""
    return failure.kind in BROKEN_CONNECTION_KINDS and failure.reason != Loss.SILENCE


def hash_content(body: bytes, *names: str) -> str:
    """Return what all attempts with the same content share, in hexadecimal digits."""
    digest = blake2b(digest_size=CONTENT_ID_BYTES)
    for name in names:
        raw = name.encode()
        digest.update(len(raw).to_bytes(4))
        digest.update(raw)
    digest.update(body)
    return digest.hexdigest()


class CallerConnection(Protocol):
    """The caller's end of a request."""

    def disconnected(self) -> bool:
        """Tell whether the connection to the caller is closed."""


@dataclass(frozen=True)
class RoutingProfile:
    """What routing needs to know of a request."""

    item: str
    tokens: int
    blocks: tuple[int, ...]
    priority: int
    first_token_seconds: float
    domain: str


@dataclass(frozen=True)
class ModelRequest:
    """A request for a model or adapter. ``deadline`` in monotonic seconds."""

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

    @property
    def content_id(self) -> str:
        """Return what all attempts at the same request share; each has another request id."""
        return hash_content(self.body, self.caller_id, self.path, self.profile.item)


@dataclass(frozen=True)
class ServiceRequest:
    """A call to a plain service, to be carried whole."""

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
    """An answer: its body is whole, or comes in parts that end with the whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | AsyncIterator[bytes]
    content_type: str = "application/json"
