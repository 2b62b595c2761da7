"""Headers of the platform: callers' requests, sends to endpoints, answers of both."""

import math
from collections.abc import Iterable, Mapping

from peridotdock.clients.http import read_rest
from peridotdock.credentials import NO_KEY, read_bearer
from peridotdock.errors import Failure, Kind
from peridotdock.relay.requests import (
    AnswerHead,
    InferenceSpec,
    PromptPart,
    RelayRequest,
    RequestHead,
    SendOptions,
)

ATTEMPT = "x-attempt-id"
DEADLINE = "x-deadline-ms"
RESUME = "last-event-id"
MODEL = "x-model"
# "PROMPT,OUTPUT": the tokens of the prompt and the most that may be generated.
TOKENS = "x-token-counts"
PARTS = "x-prompt-prefix"
PRIORITY = "x-request-priority"
# Names an endpoint's incarnation: any other that has its address now refuses.
TARGET = "x-target-instance"
# Whatever its value, it says that the endpoint has not run the request.
NOT_RUN = "x-not-executed"
# The endpoint's proof that an answer is its own.
RECEIPT = "x-response-signature"
RETRY_AFTER = "retry-after"
# The requests a second that an endpoint takes from all hosts together, a decimal number; an answer
# without it says that there is no such limit now.
RATE_LIMIT = "server-limit"
# "1" in all answers of an endpoint that leaves.
LEAVING = "server-leaving"
LEAVES = "1"
# "Bearer KEY": the key of a caller's workspace, which endpoints never see.
KEY = "authorization"
# The name of the workspace, which only a host may say.
WORKSPACE = "x-tenant"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
# Headers with which a host steers an engine: a caller that sends them must not reach it.
STEERING = frozenset(
    {
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        "x-expect-version",
        PRIORITY,
        TARGET,
    }
)
# With which a caller says who it is.
IDENTITY = frozenset({KEY, WORKSPACE})
# Written anew for each send.
OURS = frozenset({DEADLINE, RESUME})
# Of an endpoint's answer, those that the server towards the caller writes itself, and the time
# after which that endpoint takes requests again: another may take one at once.
SERVER_HEADERS = HOP_BY_HOP | {"date", "server", RETRY_AFTER}
MISDIRECTED = 421
UNAVAILABLE = 503


class PlatformWire:
    """The platform's form of requests and answers."""

    def read_request(self, headers: Iterable[tuple[bytes, bytes]]) -> RequestHead | Failure:
        """Decode the head of a caller's request."""
        rows = [(k.decode("latin-1").lower(), v.decode("latin-1")) for k, v in headers]
        named = dict(rows)
        listed = named.get("connection", "").lower().split(",")
        dropped = HOP_BY_HOP | STEERING | OURS | IDENTITY | {name.strip() for name in listed}
        if not named.get(ATTEMPT):
            return Failure(Kind.BAD_REQUEST, f"{ATTEMPT} is missing")
        try:
            return RequestHead(
                attempt_id=named[ATTEMPT],
                host=named.get("host", "").partition(":")[0].lower(),
                timeout_seconds=read_milliseconds(named.get(DEADLINE)),
                resume_after=named.get(RESUME, ""),
                inference=read_wish(named),
                headers=tuple((name, value) for name, value in rows if name not in dropped),
                identity_headers=tuple(row for row in rows if row[0] in IDENTITY),
                key=read_key(rows),
                tokens=count_tokens(named.get(TOKENS, "")),
            )
        except ValueError as exc:
            return Failure(Kind.BAD_REQUEST, str(exc))

    def write_send(self, req: RelayRequest, options: SendOptions) -> dict[str, str]:
        """Return the headers of one send; the host name goes on as the caller sent it."""
        headers = dict(req.head.headers + req.identity.headers)
        if req.identity.workspace is not None:
            headers[WORKSPACE] = req.identity.workspace.name
        headers["host"] = req.head.host
        headers[TARGET] = options.endpoint_id
        headers[DEADLINE] = str(max(1, int(options.remaining_seconds * 1000)))
        if req.head.inference is not None:
            headers[PRIORITY] = str(options.priority)
        if options.resume_after:
            headers[RESUME] = options.resume_after
        return headers

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHead:
        """Decode the head of an endpoint's answer; a misdirected request was never run."""
        rows = [(name.lower(), value) for name, value in headers.items()]
        return AnswerHead(
            status=status,
            attempt_id=headers.get(ATTEMPT, ""),
            not_run=status == MISDIRECTED or NOT_RUN in headers,
            misdirected=status == MISDIRECTED,
            receipt=headers.get(RECEIPT, ""),
            content_type=headers.get("content-type", "application/octet-stream"),
            rate_limit=read_rate(headers.get(RATE_LIMIT)),
            draining=headers.get(LEAVING, "").strip() == LEAVES,
            backoff=read_rest(headers) if status == UNAVAILABLE else 0.0,
            headers=tuple(
                row for row in rows if row[0] not in SERVER_HEADERS and row[0] != "content-type"
            ),
        )

    def write_refusal(
        self, attempt_id: str, retry_after: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an answer of our own; fractions of a second are understood."""
        headers = [(ATTEMPT.encode(), attempt_id.encode("latin-1"))] if attempt_id else []
        if retry_after is not None:
            headers.append((RETRY_AFTER.encode(), f"{retry_after:.3f}".encode()))
        return headers


def read_key(rows: Iterable[tuple[str, str]]) -> str:
    """Return the digest of the key; several such headers name nobody."""
    found = [value for name, value in rows if name == KEY]
    return read_bearer(found[0]) if len(found) == 1 else NO_KEY


def count_tokens(text: str) -> int:
    """Return the tokens of prompt and answer together; 0 where the header is missing or broken."""
    numbers = text.split(",")
    try:
        return max(0, sum(int(number) for number in numbers)) if len(numbers) == 2 else 0
    except ValueError:
        return 0


def read_rate(text: str | None) -> float | None:
    """Return requests a second, infinite where none are named; None where it can't be read."""
    if text is None:
        return math.inf
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if 0 <= rate < math.inf else None


def read_milliseconds(text: str | None) -> float | None:
    """Return seconds, or None where there is no value; raises ValueError for a bad one."""
    if text is None:
        return None
    value = float(text) / 1000
    if not 0 <= value < 1e6:
        raise ValueError(f"{DEADLINE}: {text!r} is out of range")
    return value


def read_wish(named: Mapping[str, str]) -> InferenceSpec | None:
    """Return the model work asked for; raises ValueError when a header can't be read."""
    if MODEL not in named:
        return None
    model, _, adapter = named[MODEL].partition("/")
    prompt, _, output = named.get(TOKENS, "0,0").partition(",")
    return InferenceSpec(
        model=model,
        adapter=adapter,
        prompt_tokens=int(prompt),
        output_tokens=int(output or 0),
        parts=tuple(read_part(text) for text in named.get(PARTS, "").split(",") if text.strip()),
    )


def read_part(text: str) -> PromptPart:
    """Read ID:TOKENS; raises ValueError for anything else."""
    name, colon, tokens = text.strip().rpartition(":")
    if not colon:
        raise ValueError(f"{PARTS}: {text!r} is not ID:TOKENS")
    return PromptPart(name, int(tokens))
