"""The closed set of error kinds and the table of the responses for them.

A function that can fail returns a :class:`Failure` in place of its result, and its caller checks
for one with :func:`failed`. ``ran`` states whether the request may have run on an endpoint, which
tells a caller whether it may send the request again.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any, TypeGuard


class Kind(StrEnum):
    """The kinds of errors; the values are the ``code`` in responses."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_CALLER = "unknown_caller"
    NOT_ALLOWED = "not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    PROMPT_TOO_LARGE = "prompt_too_large"
    TOO_MANY_STREAMS = "too_many_streams"
    CALLER_LIMIT = "caller_limit"
    OVERLOADED = "overloaded"
    HOST_BEHIND = "host_behind"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    NO_ENDPOINT = "no_endpoint"
    BLOCKED = "blocked"
    DEADLINE_UNSENT = "deadline_unsent"
    DEADLINE = "deadline"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_LACKS = "endpoint_lacks"
    ENDPOINT_UNREACHABLE = "endpoint_unreachable"
    ENDPOINT_LOST = "endpoint_lost"
    ENDPOINT_ERROR = "endpoint_error"
    ANSWER_CUT = "answer_cut"
    WRONG_ANSWER = "wrong_answer"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_OWNER_GONE = "key_owner_gone"
    KEY_EXPIRED = "key_expired"
    KEY_RAN = "key_ran"
    KEY_REUSED = "key_reused"
    KEYS_FULL = "keys_full"
    PLATFORM_DOWN = "platform_down"
    OPERATOR_REFUSED = "operator_refused"
    MANIFEST_INVALID = "manifest_invalid"
    MANIFEST_CONFLICT = "manifest_conflict"
    MANIFEST_STALE = "manifest_stale"
    OUTCOME_UNKNOWN = "outcome_unknown"
    HISTORY_GONE = "history_gone"
    CONFLICT = "conflict"
    FENCED = "fenced"
    NO_ROOM = "no_room"
    LAST_COPY = "last_copy"
    INTERNAL = "internal"


class Ran(StrEnum):
    """Whether the request ran on an endpoint."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


@dataclass(frozen=True)
class Answer:
    """The response for a kind: HTTP status, whether the request ran, log level and texts."""

    status: int
    ran: Ran
    level: str
    meaning: str
    remedy: str


ANSWERS: dict[Kind, Answer] = {
    Kind.BAD_REQUEST: Answer(
        400, Ran.NO, "INFO", "The request cannot be read.", "Mend the request."
    ),
    Kind.UNKNOWN_CALLER: Answer(
        401, Ran.NO, "INFO", "No caller has this token.", "Check the bearer token."
    ),
    Kind.NOT_ALLOWED: Answer(
        403, Ran.NO, "INFO", "The caller may not do this.", "Ask the operators."
    ),
    Kind.UNKNOWN_MODEL: Answer(
        404, Ran.NO, "INFO", "The manifest has no such model or adapter.", "See /v1/models."
    ),
    Kind.NOT_FOUND: Answer(404, Ran.NO, "INFO", "Nothing is served at this path.", "See CALLERS."),
    Kind.TOO_LARGE: Answer(
        413, Ran.NO, "INFO", "The body is larger than this host takes.", "Send less."
    ),
    Kind.PROMPT_TOO_LARGE: Answer(
        413, Ran.NO, "INFO", "The prompt is larger than the memory of any engine.", "Send less."
    ),
    Kind.TOO_MANY_STREAMS: Answer(
        429, Ran.NO, "INFO", "The caller has too many requests in work.", "Wait for some to end."
    ),
    Kind.CALLER_LIMIT: Answer(
        429, Ran.NO, "INFO", "The caller is above its rate.", "Come back after Retry-After."
    ),
    Kind.OVERLOADED: Answer(
        503,
        Ran.NO,
        "WARNING",
        "No endpoint can answer within the target now.",
        "Come back after Retry-After; see peridotdock placement if it lasts.",
    ),
    Kind.HOST_BEHIND: Answer(
        503,
        Ran.NO,
        "INFO",
        "This host is behind with its work and could not answer in time.",
        "Use another address; operators look at the host's loop_behind lines.",
    ),
    Kind.NOT_READY: Answer(
        503, Ran.NO, "INFO", "This host knows no manifest yet.", "Use another address."
    ),
    Kind.STOPPING: Answer(
        503, Ran.NO, "INFO", "This host takes no new work.", "Use another address."
    ),
    Kind.NO_ENDPOINT: Answer(
        503,
        Ran.NO,
        "WARNING",
        "No live endpoint holds this model or service now.",
        "Come back after Retry-After; operators look at peridotdock placement.",
    ),
    Kind.BLOCKED: Answer(
        503,
        Ran.NO,
        "WARNING",
        "Endpoints ended each time they began this request, so it is not sent to another one.",
        "Change the request, or come back after Retry-After; operators see OPERATIONS.",
    ),
    Kind.DEADLINE_UNSENT: Answer(
        504, Ran.NO, "INFO", "The deadline passed before the request was sent.", "Ask again."
    ),
    Kind.DEADLINE: Answer(
        504,
        Ran.MAYBE,
        "INFO",
        "The deadline passed after the request was sent.",
        "Allow more time.",
    ),
    Kind.ENDPOINT_REFUSED: Answer(
        503, Ran.NO, "INFO", "The endpoint said that it did not run it.", "Ask again."
    ),
    Kind.ENDPOINT_LACKS: Answer(
        503, Ran.NO, "INFO", "The endpoint did not hold what was asked for.", "Ask again."
    ),
    Kind.ENDPOINT_UNREACHABLE: Answer(
        503, Ran.NO, "WARNING", "No connection to an endpoint could be made.", "Ask again."
    ),
    Kind.ENDPOINT_LOST: Answer(
        502,
        Ran.MAYBE,
        "WARNING",
        "The endpoint was lost after the request was sent.",
        "Ask again if it may run twice.",
    ),
    Kind.ENDPOINT_ERROR: Answer(
        502, Ran.MAYBE, "WARNING", "The endpoint answered with an error.", "See its log."
    ),
    Kind.ANSWER_CUT: Answer(
        502,
        Ran.MAYBE,
        "WARNING",
        "The answer broke off and could not be resumed.",
        "Drop what came; ask again if it may run twice.",
    ),
    Kind.WRONG_ANSWER: Answer(
        502, Ran.MAYBE, "ERROR", "An endpoint gave the answer of another request.", "See its log."
    ),
    Kind.KEY_IN_PROGRESS: Answer(
        409,
        Ran.MAYBE,
        "INFO",
        "A request with this key is in work.",
        "Ask with the same key later.",
    ),
    Kind.KEY_OWNER_GONE: Answer(
        409,
        Ran.MAYBE,
        "WARNING",
        "The host that alone may run this key is gone.",
        "Find out from the service whether it ran; a new key is a new request.",
    ),
    Kind.KEY_EXPIRED: Answer(
        409, Ran.MAYBE, "INFO", "The key is older than keys are kept.", "Use a new key."
    ),
    Kind.KEY_RAN: Answer(
        409, Ran.YES, "INFO", "The key has run; its answer is not kept.", "Do not send it again."
    ),
    Kind.KEY_REUSED: Answer(
        422, Ran.NO, "INFO", "The key stands for another request.", "Use a key once."
    ),
    Kind.KEYS_FULL: Answer(
        503, Ran.NO, "WARNING", "This host can remember no more keys.", "Use another address."
    ),
    Kind.PLATFORM_DOWN: Answer(
        503,
        Ran.NO,
        "WARNING",
        "The platform does not answer and the request needs it.",
        "Use a key with a prefix from /v1/addresses.",
    ),
    Kind.OPERATOR_REFUSED: Answer(
        401, Ran.NO, "WARNING", "Not an operator token.", "Check PERIDOTDOCK_OPERATOR_TOKEN."
    ),
    Kind.MANIFEST_INVALID: Answer(
        422, Ran.NO, "WARNING", "The manifest breaks a rule.", "Mend every error listed."
    ),
    Kind.MANIFEST_CONFLICT: Answer(
        409,
        Ran.NO,
        "WARNING",
        "Another manifest was accepted first.",
        "Build on the generation in force.",
    ),
    Kind.MANIFEST_STALE: Answer(
        409, Ran.NO, "WARNING", "A newer release is in force.", "Publish a newer release."
    ),
    Kind.OUTCOME_UNKNOWN: Answer(
        503,
        Ran.MAYBE,
        "WARNING",
        "The platform did not say whether the write took effect.",
        "Publish the same again: it is a no-op if it was accepted.",
    ),
    Kind.HISTORY_GONE: Answer(
        409,
        Ran.NO,
        "INFO",
        "The store no longer has the changes asked for.",
        "The table is read whole; done by itself.",
    ),
    Kind.CONFLICT: Answer(
        409, Ran.NO, "INFO", "A row changed since it was read.", "Read again; done by itself."
    ),
    Kind.FENCED: Answer(
        409, Ran.NO, "WARNING", "An order carried an old fencing number.", "None: it was refused."
    ),
    Kind.NO_ROOM: Answer(
        409, Ran.NO, "INFO", "The accelerators have no room for the item.", "See placement."
    ),
    Kind.LAST_COPY: Answer(
        409, Ran.NO, "INFO", "It is the last ready copy.", "None: it is kept on purpose."
    ),
    Kind.INTERNAL: Answer(
        500, Ran.MAYBE, "ERROR", "A fault of peridotdock.", "Report it with the request id."
    ),
}


@dataclass(frozen=True)
class Failure:
    """An error result: its kind, the reason in this case and the retry delay in seconds.

    ``ran`` overrides the value of the table for this kind.
    """

    kind: Kind
    reason: str = ""
    retry_after: float | None = None
    ran: Ran | None = None

    @property
    def answer(self) -> Answer:
        """Return the row of :data:`ANSWERS` for this kind."""
        return ANSWERS[self.kind]

    @property
    def may_have_run(self) -> bool:
        """Return whether the request may have run on an endpoint."""
        return (self.ran or self.answer.ran) is not Ran.NO

    def describe(self, request_id: str) -> dict[str, Any]:
        """Return the response body, in the format of OpenAI's errors."""
        message = self.answer.meaning if not self.reason else f"{self.answer.meaning} {self.reason}"
        error = {
            "message": message,
            "type": self.kind.value,
            "code": self.kind.value,
            "param": None,
            "ran": str(self.ran or self.answer.ran),
            "request_id": request_id,
        }
        if self.retry_after is not None:
            error["retry_after"] = round(self.retry_after, 3)
        return {"error": error}


def failed(value: object) -> TypeGuard[Failure]:
    """Return whether a result is a :class:`Failure`."""
    return isinstance(value, Failure)
