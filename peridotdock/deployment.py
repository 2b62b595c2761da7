"""A decoded configuration: routes, services and the models of their engines.

All times are seconds and all memory is megabytes. A deployment is one accepted version of the
operators' configuration and is immutable.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from peridotdock.workspaces import Workspaces


class RouteKind(StrEnum):
    """Whether requests of a route may be repeated, and whether their answers are streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Share:
    """A service that receives part of a route's requests, in proportion to ``weight``."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The services, limits and targets for requests with a host name and a path prefix.

    ``stall_timeout`` is how long callers wait without a first event of an answer; rank 0 is served
    first. A ``public`` route needs no key.
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
        """Return whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.resumable

    @property
    def streams(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.kind is RouteKind.STREAM


@dataclass(frozen=True, slots=True)
class ModelSize:
    """What a model and each of its adapters occupy on an engine, in megabytes."""

    weights_mb: float
    adapter_mb: float

    def largest(self, other: "ModelSize") -> "ModelSize":
        """Return the larger of each of two sizes."""
        return ModelSize(
            max(self.weights_mb, other.weights_mb), max(self.adapter_mb, other.adapter_mb)
        )


@dataclass(frozen=True, slots=True)
class Model:
    """A model that an engine can load, with its sizes and load times.

    ``load_seconds`` is the load time from the weight store; ``disk_load_seconds`` and
    ``memory_load_seconds`` are the load times from weights cached on the engine's machine.
    """

    name: str
    weights_mb: float
    load_seconds: float
    disk_load_seconds: float
    memory_load_seconds: float
    adapters: int
    adapter_mb: float

    @property
    def size(self) -> ModelSize:
        """What the model occupies where it is loaded by this configuration."""
        return ModelSize(self.weights_mb, self.adapter_mb)


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """The capacity of each engine of a service."""

    slots: int
    weights_mb: float
    adapter_slots: int
    cache_tokens: int
    cache_token_bytes: float
    loads_per_second: float
    models: Mapping[str, Model] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable endpoints; ``engine`` is None for a plain service."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size limits of callers' requests and the idle timeout of their connections."""

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
        """Return the route of ``host`` with the longest prefix of ``path``.

        Prefixes end with a slash, so only the slashes of the path are tried: the cost grows with
        the depth of the path, not with the number of routes.
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

    def largest_prompt(self, route: Route) -> float:
        """Return the most tokens that an engine of a route holds, infinite if that is not known."""
        found = [self.services.get(share.service) for share in route.shares]
        engines = [service.engine if service is not None else None for service in found]
        sizes = [engine.cache_tokens if engine is not None else 0 for engine in engines]
        return max(size or math.inf for size in sizes) if sizes else math.inf


def index_routes(routes: Iterable[Route]) -> dict[str, dict[str, Route]]:
    """Return the routes by host name and prefix."""
    index: dict[str, dict[str, Route]] = {}
    for route in routes:
        index.setdefault(route.host, {})[route.prefix] = route
    return index
