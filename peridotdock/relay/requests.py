"""Decoded requests of callers, endpoint entries and heads of endpoints' answers."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from peridotdock.credentials import NO_KEY
from peridotdock.deployment import Route
from peridotdock.requests import hash_content
from peridotdock.workspaces import Workspace

# Longer ids of prompt parts are hashed where hosts tell them to each other.
MAX_PART_ID = 32


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share; parts with equal ids have equal tokens."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class InferenceSpec:
    """Model, adapter and token counts of a request; ``adapter`` is empty for the base model."""

    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The decoded head of a request.

    ``timeout_seconds`` is the caller's timeout, None without one. ``resume_after`` is the id of the
    last event that the caller has received, ``resumed_attempt`` that of its attempt which brought
    the first one; both are empty for a new request. ``headers`` are forwarded to the endpoint
    unchanged. ``identity_headers``, by which a caller identifies itself, are forwarded only if the
    deployment has no workspaces. ``key`` is the digest of the caller's key. ``tokens`` is the
    number of prompt tokens plus the maximum of answer tokens, 0 if the request doesn't give them.
    """

    attempt_id: str
    host: str
    timeout_seconds: float | None
    resume_after: str
    inference: InferenceSpec | None
    headers: tuple[tuple[str, str], ...]
    identity_headers: tuple[tuple[str, str], ...] = field(default=(), repr=False)
    key: str = NO_KEY
    tokens: int = 0
    resumed_attempt: str = ""


@dataclass(frozen=True, slots=True)
class Identity:
    """The workspace of a request, and the caller's identity headers if they are forwarded."""

    workspace: Workspace | None = None
    headers: tuple[tuple[str, str], ...] = field(default=(), repr=False)


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """A request to be relayed. ``deadline`` and ``received_at`` are monotonic seconds.

    ``deadline`` is the earlier of the route's timeout and the caller's. ``seconds_per_byte`` is how
    long a byte of earlier answers waited for the caller to take it.
    """

    head: RequestHead
    route: Route
    method: str
    target: str
    body: bytes
    received_at: float
    deadline: float
    identity: Identity = Identity()
    seconds_per_byte: float = 0.0

    @property
    def rank(self) -> int:
        """Return the priority rank, 0 first: the workspace's if it has one, else the route's."""
        workspace = self.identity.workspace
        if workspace is None or workspace.rank is None:
            return self.route.rank
        return workspace.rank

    def next_event_deadline(self, last_event_at: float | None) -> float:
        """Return the monotonic time by which the next event must arrive.

        The caller disconnects after that. ``last_event_at`` is None before the first event.
        """
        since = self.received_at if last_event_at is None else last_event_at
        return min(self.deadline, since + self.route.stall_timeout)

    def on_time_until(self, last_event_at: float | None) -> float:
        """Return the monotonic time until which the next event is in time."""
        if last_event_at is None:
            return self.received_at + self.route.target
        return last_event_at + self.route.longest_pause

    @property
    def id(self) -> str:
        """Return the attempt id that the caller chose."""
        return self.head.attempt_id

    @property
    def content_id(self) -> str:
        """Return a hash that is equal for all attempts at the same request.

        Each attempt has its own id and may arrive at any host. Host name, method, target, model
        and body are the same in all of them.
        """
        inference = self.head.inference
        item = f"{inference.model}/{inference.adapter}" if inference is not None else ""
        return hash_content(self.body, self.head.host, self.method, self.target, item)

    @property
    def part_ids(self) -> tuple[str, ...]:
        """Return the ids of the prompt's parts that other requests may share, all but the last."""
        inference = self.head.inference
        parts = inference.parts[:-1] if inference is not None else ()
        return tuple(
            part.id if len(part.id) <= MAX_PART_ID else hash_content(part.id.encode())
            for part in parts
        )


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model that an endpoint has loaded, with the adapters loaded for it."""

    version: int
    adapters: frozenset[str]


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """An endpoint's entry, as the endpoint registered it.

    A restarted endpoint may reuse its ``endpoint_id`` with another ``started_ms``, the Unix
    milliseconds of its start, 0 if the endpoint does not report it. Nothing known of one start
    (loaded items, behaviour) applies to the next. ``software`` is the version of its software, not
    of the weights that it holds. ``taken_away`` is set if it drains and ends at a fixed time,
    whatever it runs.
    """

    endpoint_id: str
    service: str
    address: str
    domain: str
    slots: int
    draining: bool
    models: Mapping[str, LoadedModel] = field(default_factory=dict)
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    started_ms: int = 0
    software: str = ""
    taken_away: bool = False

    def items(self) -> set[str]:
        """Return the names of the loaded models and adapters."""
        adapters = (f"{name}/{a}" for name, row in self.models.items() for a in row.adapters)
        return {*self.models, *adapters}


@dataclass(frozen=True, slots=True)
class SendOptions:
    """Header values of one send; ``remaining_seconds`` is the time until the deadline."""

    endpoint_id: str
    remaining_seconds: float
    priority: int
    resume_after: str


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an endpoint's answer.

    ``not_run``: the endpoint states that it did not run the request. ``misdirected``: it is not the
    endpoint named in the request, or does not have the model or adapter. ``receipt`` proves that
    the answer comes from the endpoint itself. ``headers`` are returned to the caller unchanged.
    ``rate_limit`` is the number of requests per second that the endpoint currently accepts from all
    hosts together: infinite without a limit, None if the value can't be parsed. ``refusal_limit``
    is the same for requests a second that it refuses for want of room, beyond which it fails.
    ``draining``: the endpoint is shutting down. ``backoff`` is how many seconds this host must not
    send to it.
    """

    status: int
    attempt_id: str
    not_run: bool
    misdirected: bool
    receipt: str
    content_type: str
    headers: tuple[tuple[str, str], ...]
    rate_limit: float | None = math.inf
    refusal_limit: float | None = math.inf
    draining: bool = False
    backoff: float = 0.0
