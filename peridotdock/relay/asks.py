"""A caller's request on a route, and an endpoint as it registered itself, decoded."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from peridotdock.credentials import NO_KEY
from peridotdock.deployment import Route
from peridotdock.requests import hash_content
from peridotdock.workspaces import Workspace


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that other requests may share; equal ids are equal tokens."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ModelWish:
    """The model work that a request asks for; ``adapter`` is empty for the bare model."""

    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request as the wire's decoder found it.

    ``seconds`` is how long the caller waits, None when it does not say. ``resume_after`` is the id
    of the last event the caller has. ``headers`` are those that go on to the endpoint unchanged;
    ``own_identity``, with which a caller says who it is, go on only where a deployment has no
    workspaces. ``key`` is the digest of the caller's key.
    ``tokens`` are those of the prompt and the most of the answer, 0 where the request doesn't say.
    """

    attempt_id: str
    host: str
    seconds: float | None
    resume_after: str
    wish: ModelWish | None
    headers: tuple[tuple[str, str], ...]
    own_identity: tuple[tuple[str, str], ...] = field(default=(), repr=False)
    key: str = NO_KEY
    tokens: int = 0


@dataclass(frozen=True, slots=True)
class Identity:
    """Who sends a request, and the caller's own headers on that, where they go on."""

    workspace: Workspace | None = None
    headers: tuple[tuple[str, str], ...] = field(default=(), repr=False)


@dataclass(frozen=True, slots=True)
class RelayAsk:
    """A request to be relayed. ``deadline`` and ``began`` are monotonic seconds.

    ``deadline`` is the earlier of the route's time-out and of what the caller will wait.
    """

    head: RequestHead
    route: Route
    method: str
    target: str
    body: bytes
    began: float
    deadline: float
    identity: Identity = Identity()

    @property
    def rank(self) -> int:
        """Return the request's rank, 0 first: its workspace's, where that has one."""
        workspace = self.identity.workspace
        if workspace is None or workspace.rank is None:
            return self.route.rank
        return workspace.rank

    @property
    def first_by(self) -> float:
        """Return when the first sign of an answer must be there, or the caller leaves."""
        return min(self.deadline, self.began + self.route.patience)

    @property
    def id(self) -> str:
        """Return the caller's id for this attempt."""
        return self.head.attempt_id

    @property
    def content_id(self) -> str:
        """Return what all attempts at the same request share.

        Each attempt has an id of its own, and may come to any host. What is asked for stays the
        same: host name, method, target, model and body.
        """
        wish = self.head.wish
        item = f"{wish.model}/{wish.adapter}" if wish is not None else ""
        return hash_content(self.body, self.head.host, self.method, self.target, item)


@dataclass(frozen=True, slots=True)
class HeldModel:
    """A model on an endpoint, with the adapters that are loaded for it."""

    version: int
    adapters: frozenset[str]


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """What an endpoint registered about itself. ``incarnation`` is its id.

    A later start may take the same id again: then ``born``, the Unix milliseconds of the start,
    differs. It is 0 where the endpoint does not say. What is known of one start, as what it holds
    and how it behaves, is nothing of the next.
    """

    incarnation: str
    service: str
    address: str
    domain: str
    slots: int
    leaving: bool
    models: Mapping[str, HeldModel] = field(default_factory=dict)
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    born: int = 0

    def items(self) -> set[str]:
        """Return the names of the models and adapters that it holds."""
        adapters = (f"{name}/{a}" for name, row in self.models.items() for a in row.adapters)
        return {*self.models, *adapters}


@dataclass(frozen=True, slots=True)
class SendOptions:
    """What one send says beside the caller's request; ``seconds`` is the time left."""

    incarnation: str
    seconds: float
    priority: int
    resume_after: str


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of an endpoint's answer.

    ``not_run`` is the endpoint's word that it did not run the request; ``misdirected`` that it is
    not the one named, or does not hold the model or adapter. ``receipt`` proves that the answer is
    the endpoint's own. ``headers`` go back to the caller unchanged. ``rate_limit`` are the requests
    a second that the endpoint takes from all hosts together for now: infinite where it names no
    limit, None where what it names can't be read. ``leaving`` is its word that it leaves. ``rest``
    are the seconds for which it wants nothing from this host.
    """

    status: int
    attempt_id: str
    not_run: bool
    misdirected: bool
    receipt: str
    content_type: str
    headers: tuple[tuple[str, str], ...]
    rate_limit: float | None = math.inf
    leaving: bool = False
    rest: float = 0.0
