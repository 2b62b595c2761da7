"""What a deployment serves: routes, services and the models of their engines.

All times are seconds and all memory is megabytes. A deployment is one accepted version of the
operators' configuration, decoded; it never changes after that.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from peridotdock.workspaces import Workspaces


class RouteKind(StrEnum):
    """What may be done with a request of a route more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Share:
    """A service that takes part of a route's requests; ``weight`` is relative to the others'."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests with a host name and a path prefix go, and what they are promised.

    ``patience`` is how long callers stay without a first sign of an answer; ``rank`` 0 comes first.
    A ``public`` route needs no key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout: float
    target: float
    rank: int
    max_sends: int
    resumable: bool
    longest_pause: float
    stall_timeout: float
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    @property
    def streams(self) -> bool:
        """Tell whether the answer is a series of events."""
        return self.kind is RouteKind.STREAM


@dataclass(frozen=True, slots=True)
class Model:
    """A model that an engine can hold, and how long it takes to get it there.

    ``load`` is the time from the weight store, ``from_disk`` and ``from_memory`` from copies that
    the engine's machine kept.
    """

    name: str
    weights_mb: float
    load_seconds: float
    disk_load_seconds: float
    memory_load_seconds: float
    adapters: int
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What every engine of a service can hold and do at once."""

    slots: int
    weights_mb: float
    adapter_slots: int
    cache_tokens: int
    cache_token_bytes: float
    loads_per_second: float
    models: Mapping[str, Model] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Service:
    """Endpoints that do the same work; ``engine`` is None for a plain service."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send and how long it may stay idle on a connection."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    idle_timeout: float = 15.0


@dataclass(frozen=True)
class Deployment:
    """One version of the operators' configuration.

    Without ``workspaces`` no request needs a key.
    """

    version: int
    services: Mapping[str, Service]
    limits: CallerLimits
    routes: Mapping[str, Mapping[str, Route]]
    workspaces: Workspaces = field(default_factory=Workspaces)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix that begins ``path``.

        Prefixes end with a slash, so only the slashes of the path are looked at: the cost follows
        the depth of the path, not the number of routes.
        """
        prefixes = self.routes.get(host)
        if not prefixes:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def index_routes(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    """Return the routes by host name and prefix."""
    index: dict[str, dict[str, Route]] = {}
    for route in routes:
        index.setdefault(route.host, {})[route.prefix] = route
    return index
