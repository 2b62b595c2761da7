"""The interface of a wire format; :mod:`peridotdock.platform` implements it."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from peridotdock.errors import Failure
from peridotdock.relay.requests import AnswerHead, RelayRequest, RequestHead, SendOptions


class Wire(Protocol):
    """Decodes heads of requests and answers, and encodes the headers of sends and refusals."""

    def read_request(self, headers: Iterable[tuple[bytes, bytes]]) -> RequestHead | Failure:
        """Decode the head of a caller's request; return a failure for an invalid one."""

    def write_send(self, req: RelayRequest, options: SendOptions) -> dict[str, str]:
        """Return the headers of one send to an endpoint."""

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHead:
        """Decode the head of an endpoint's answer."""

    def write_refusal(
        self, attempt_id: str, retry_after: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of this host's own refusal; ``retry_after`` in seconds."""
