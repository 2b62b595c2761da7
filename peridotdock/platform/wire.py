"""Headers of the platform: requests of callers, requests to endpoints, and their answers."""

import math
from collections.abc import Iterable, Mapping

from peridotdock.clients.http import read_retry_after
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

ATTEMPT_HEADER = "x-attempt-id"
DEADLINE_HEADER = "x-deadline-ms"
RESUME_HEADER = "last-event-id"
# Attempt id of the caller's attempt that brought the first event of the stream that it takes up.
RESUMED_HEADER = "resumes"
MODEL_HEADER = "x-model"
# "PROMPT,OUTPUT": the tokens of the prompt, and the maximum of tokens to generate.
TOKENS_HEADER = "x-token-counts"
PARTS_HEADER = "x-prompt-prefix"
PRIORITY_HEADER = "x-request-priority"
# Id of the endpoint that the request is for: another one that now has its address refuses it.
TARGET_HEADER = "x-target-instance"
# Marks, whatever its value, a request that the endpoint has not run.
NOT_RUN_HEADER = "x-not-executed"
# The signature by which an endpoint proves that an answer is its own.
SIGNATURE_HEADER = "x-response-signature"
RETRY_AFTER_HEADER = "retry-after"
# Limit of the requests a second that an endpoint accepts from all hosts together, as a decimal
# number; an answer without it means that there is no limit now.
RATE_LIMIT_HEADER = "server-limit"
# Requests a second, of all hosts together, beyond which an endpoint fails if it has to refuse them;
# an answer without it means that there is no such limit now.
REFUSAL_LIMIT_HEADER = "server-brittle"
# "1" in all answers of an endpoint that drains.
DRAINING_HEADER = "server-leaving"
DRAINING_VALUE = "1"
# "Bearer KEY": the key of a caller's workspace, which is never sent to endpoints.
KEY_HEADER = "authorization"
# Name of the workspace, which only hosts may set.
WORKSPACE_HEADER = "x-tenant"

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
# Headers with which a host controls an engine; they are removed from callers' requests.
ENGINE_CONTROL_HEADERS = frozenset(
    {
        "x-hold",
        "x-pin-ms",
        "x-kv-backup",
        "kv-from",
        "kv-fetch",
        "x-expect-version",
        PRIORITY_HEADER,
        TARGET_HEADER,
    }
)
# Headers that identify the caller.
IDENTITY_HEADERS = frozenset({KEY_HEADER, WORKSPACE_HEADER})
# Headers that are written anew for each send.
REWRITTEN_HEADERS = frozenset({DEADLINE_HEADER, RESUME_HEADER})
# Headers of an endpoint's answer that aren't relayed: those that the host's server writes itself,
# and Retry-After, which holds for that endpoint only: another one may accept a request at once.
SERVER_HEADERS = HOP_BY_HOP | {"date", "server", RETRY_AFTER_HEADER}
# Digits of the largest number of tokens that is read, and of one that is none in a log line.
MAX_COUNT_DIGITS = 9
MAX_LOGGED_DIGITS = 20
MISDIRECTED = 421
UNAVAILABLE = 503


class PlatformWire:
    """Encodes and decodes the headers of the platform's requests and answers."""

    def read_request(self, headers: Iterable[tuple[bytes, bytes]]) -> RequestHead | Failure:
        """Decode the head of a caller's request; a bad one is a failure of kind bad_request."""
        rows = [(k.decode("latin-1").lower(), v.decode("latin-1")) for k, v in headers]
        named = dict(rows)
        connection_names = named.get("connection", "").lower().split(",")
        dropped = (
            HOP_BY_HOP
            | ENGINE_CONTROL_HEADERS
            | REWRITTEN_HEADERS
            | IDENTITY_HEADERS
            | {name.strip() for name in connection_names}
        )
        if not named.get(ATTEMPT_HEADER):
            return Failure(Kind.BAD_REQUEST, f"{ATTEMPT_HEADER} is missing")
        try:
            return RequestHead(
                attempt_id=named[ATTEMPT_HEADER],
                host=named.get("host", "").partition(":")[0].lower(),
                timeout_seconds=read_deadline(named.get(DEADLINE_HEADER)),
                resume_after=named.get(RESUME_HEADER, ""),
                inference=read_inference(named),
                headers=tuple((name, value) for name, value in rows if name not in dropped),
                identity_headers=tuple(row for row in rows if row[0] in IDENTITY_HEADERS),
                key=read_key(rows),
                tokens=count_tokens(named.get(TOKENS_HEADER, "")),
                resumed_attempt=named.get(RESUMED_HEADER, ""),
            )
        except ValueError as exc:
            return Failure(Kind.BAD_REQUEST, str(exc))

    def write_send(self, req: RelayRequest, options: SendOptions) -> dict[str, str]:
        """Return the headers of one send; the caller's host name is kept."""
        headers = dict(req.head.headers + req.identity.headers)
        if req.identity.workspace is not None:
            headers[WORKSPACE_HEADER] = req.identity.workspace.name
        headers["host"] = req.head.host
        headers[TARGET_HEADER] = options.endpoint_id
        headers[DEADLINE_HEADER] = str(max(1, int(options.remaining_seconds * 1000)))
        if req.head.inference is not None:
            headers[PRIORITY_HEADER] = str(options.priority)
        if options.resume_after:
            headers[RESUME_HEADER] = options.resume_after
        return headers

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerHead:
        """Decode the head of an endpoint's answer; a misdirected request was not run."""
        rows = [(name.lower(), value) for name, value in headers.items()]
        return AnswerHead(
            status=status,
            attempt_id=headers.get(ATTEMPT_HEADER, ""),
            not_run=status == MISDIRECTED or NOT_RUN_HEADER in headers,
            misdirected=status == MISDIRECTED,
            receipt=headers.get(SIGNATURE_HEADER, ""),
            content_type=headers.get("content-type", "application/octet-stream"),
            rate_limit=read_rate(headers.get(RATE_LIMIT_HEADER)),
            refusal_limit=read_rate(headers.get(REFUSAL_LIMIT_HEADER)),
            draining=headers.get(DRAINING_HEADER, "").strip() == DRAINING_VALUE,
            backoff=read_retry_after(headers) if status == UNAVAILABLE else 0.0,
            headers=tuple(
                row for row in rows if row[0] not in SERVER_HEADERS and row[0] != "content-type"
            ),
        )

    def write_refusal(
        self, attempt_id: str, retry_after: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of a host's own answer; clients accept fractions in Retry-After."""
        headers = [(ATTEMPT_HEADER.encode(), attempt_id.encode("latin-1"))] if attempt_id else []
        if retry_after is not None:
            headers.append((RETRY_AFTER_HEADER.encode(), f"{retry_after:.3f}".encode()))
        return headers


def read_key(rows: Iterable[tuple[str, str]]) -> str:
    """Return the digest of the caller's key; NO_KEY unless there is exactly one such header."""
    found = [value for name, value in rows if name == KEY_HEADER]
    return read_bearer(found[0]) if len(found) == 1 else NO_KEY


def count_tokens(text: str) -> int:
    """Return the tokens of prompt and answer together; 0 if the header is missing or invalid."""
    numbers = text.split(",")
    try:
        return sum(map(read_count, numbers)) if len(numbers) == 2 else 0
    except ValueError:
        return 0


def read_count(text: str) -> int:
    """Decode a number of tokens; raises ValueError for one that no prompt has.

    Failure guarded against: a count of hundreds of digits is no number that can be calculated with.
    """
    digits = text.strip()
    if not (digits.isascii() and digits.isdigit() and len(digits) <= MAX_COUNT_DIGITS):
        raise ValueError(f"{digits[:MAX_LOGGED_DIGITS]!r} is no number of tokens")
    return int(digits)


def read_rate(text: str | None) -> float | None:
    """Return the requests a second, infinite without a header; None if it is invalid."""
    if text is None:
        return math.inf
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if 0 <= rate < math.inf else None


def read_deadline(text: str | None) -> float | None:
    """Return seconds from milliseconds, None without a value; raises ValueError for a bad one."""
    if text is None:
        return None
    value = float(text) / 1000
    if not 0 <= value < 1e6:
        raise ValueError(f"{DEADLINE_HEADER}: {text!r} is out of range")
    return value


def read_inference(named: Mapping[str, str]) -> InferenceSpec | None:
    """Return the model, adapter and prompt, None without a model; raises ValueError if invalid."""
    if MODEL_HEADER not in named:
        return None
    model, _, adapter = named[MODEL_HEADER].partition("/")
    prompt, _, output = named.get(TOKENS_HEADER, "0,0").partition(",")
    return InferenceSpec(
        model=model,
        adapter=adapter,
        prompt_tokens=read_count(prompt),
        output_tokens=read_count(output or "0"),
        parts=tuple(
            read_part(text) for text in named.get(PARTS_HEADER, "").split(",") if text.strip()
        ),
    )


def read_part(text: str) -> PromptPart:
    """Decode ID:TOKENS; raises ValueError for anything else."""
    name, colon, tokens = text.strip().rpartition(":")
    if not colon:
        raise ValueError(f"{PARTS_HEADER}: {text!r} is not ID:TOKENS")
    return PromptPart(name, read_count(tokens))
