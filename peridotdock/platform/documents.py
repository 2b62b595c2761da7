"""Decoding of the operators' configuration, which is one row of the platform's store.

A number or a name out of its range makes the configuration invalid (see :mod:`peridotdock.ranges`).
"""

from collections.abc import Iterable
from typing import Any

import msgspec

from peridotdock.credentials import digest_key
from peridotdock.deployment import (
    CallerLimits,
    Deployment,
    EngineSpec,
    Model,
    Route,
    RouteKind,
    Service,
    Share,
    index_routes,
)
from peridotdock.errors import Failure, Kind
from peridotdock.ranges import (
    ROW_ERRORS,
    AdapterCount,
    Amount,
    ByteCount,
    Counter,
    DurationMs,
    DurationSeconds,
    Name,
    PlaceCount,
    Rank,
    SendCount,
    SlotCount,
    UrlPart,
)
from peridotdock.workspaces import Quota, Workspace, Workspaces

KEYS_FIELD = "api_keys"
# Replaces the keys in a configuration that hosts send each other.
KEY_DIGESTS_FIELD = "key_digests"


class ShareRow(msgspec.Struct):
    """A service that receives part of a route's requests."""

    service: Name
    weight: Amount


class RouteRow(msgspec.Struct):
    """A route, to one service or to several with weights."""

    name: Name
    host: UrlPart
    prefix: UrlPart
    kind: RouteKind
    timeout_ms: DurationMs
    service: Name | None = None
    traffic_split: list[ShareRow] | None = None
    target_latency_ms: DurationMs | None = None
    gap_aim_ms: DurationMs | None = None
    priority: Rank | None = None
    max_attempts: SendCount | None = None
    resumable: bool | None = None
    public: bool | None = None


class ModelRow(msgspec.Struct):
    """A model; ``adapters`` is a count, from which the adapters' names are derived."""

    name: Name
    weights_mb: Amount
    load_s: DurationSeconds
    disk_s: DurationSeconds | None = None
    warm_s: DurationSeconds | None = None
    adapters: AdapterCount | None = None
    adapter_mb: Amount | None = None


class EngineRow(msgspec.Struct):
    """The engines of a service; ``slots`` and ``weights_mb`` are required if they have models."""

    models: list[ModelRow] | None = None
    slots: SlotCount | None = None
    weights_mb: Amount | None = None
    adapter_slots: PlaceCount | None = None
    kv_capacity_tokens: Counter | None = None
    kv_token_bytes: Amount | None = None
    loads_per_s: Amount | None = None


class ServiceRow(msgspec.Struct):
    """A service; one without engines is a plain service."""

    name: Name
    health_path: UrlPart | None = None
    max_connections: PlaceCount | None = None
    engine: EngineRow | None = None


class LimitsRow(msgspec.Struct):
    """The limits on callers' requests."""

    max_header_bytes: ByteCount | None = None
    max_body_bytes: ByteCount | None = None
    idle_timeout_ms: DurationMs | None = None


class WorkspaceRow(msgspec.Struct):
    """A workspace; a rate of 0 or none means that it has no quota."""

    name: Name
    api_keys: list[Any] | None = None
    key_digests: list[str] | None = None
    rate_per_s: Amount | None = None
    burst: Amount | None = None
    unit: str | None = None
    plain_tokens: Amount | None = None
    priority: Rank | None = None


class DocumentRow(msgspec.Struct):
    """The whole configuration."""

    version: Counter
    services: list[ServiceRow]
    routes: list[RouteRow]
    limits: LimitsRow | None = None
    tenants: list[WorkspaceRow] | None = None


# Numbers may be written as text.
DOCUMENT = msgspec.json.Decoder(DocumentRow, strict=False)


def decode_deployment(raw: bytes) -> Deployment | Failure:
    """Decode the configuration; a bad one is a failure of kind manifest_invalid."""
    try:
        row = DOCUMENT.decode(raw)
        services = [read_service(service) for service in row.services]
        return Deployment(
            version=row.version,
            services={service.name: service for service in services},
            limits=read_limits(row.limits or LimitsRow()),
            routes=index_routes(map(read_route, row.routes)),
            workspaces=Workspaces(map(read_workspace, row.tenants or ())),
        )
    except ROW_ERRORS as exc:
        return Failure(Kind.MANIFEST_INVALID, f"configuration: {type(exc).__name__}: {exc}")


def read_limits(row: LimitsRow) -> CallerLimits:
    """Return the limits on callers' requests; a missing field keeps its default."""
    default = CallerLimits()
    header, body, idle = row.max_header_bytes, row.max_body_bytes, row.idle_timeout_ms
    return CallerLimits(
        max_header_bytes=default.max_header_bytes if header is None else header,
        max_body_bytes=default.max_body_bytes if body is None else body,
        idle_timeout=default.idle_timeout if idle is None else idle / 1000,
    )


def hide_keys(raw: bytes) -> bytes:
    """Return a configuration with its keys replaced by their digests, empty if it is bad."""
    try:
        document = msgspec.json.decode(raw)
        for row in document.get("tenants") or ():
            row[KEY_DIGESTS_FIELD] = list_digests(row.get(KEY_DIGESTS_FIELD), row.get(KEYS_FIELD))
            row.pop(KEYS_FIELD, None)
        return msgspec.json.encode(document)
    except ROW_ERRORS:
        # No host accepts a bad configuration, so there is no use in sending its contents.
        return b""


def list_digests(digests: Iterable[str] | None, keys: Iterable[Any] | None) -> list[str]:
    """Return the digests of a workspace's keys, whether its row holds keys or digests."""
    return [*(digests or ()), *(digest_key(str(key)) for key in keys or ())]


def read_workspace(row: WorkspaceRow) -> tuple[Workspace, list[str]]:
    """Return a workspace, and the digests of its keys."""
    digests = list_digests(row.key_digests, row.api_keys)
    return Workspace(row.name, row.priority, read_quota(row)), digests


def read_quota(row: WorkspaceRow) -> Quota | None:
    """Return the quota of a workspace; None for no limit, that is a rate of 0 or no rate."""
    if not row.rate_per_s:
        return None
    by_tokens = row.unit == "tokens"
    units = (row.plain_tokens or 0.0) if by_tokens else 1.0
    return Quota(row.rate_per_s, row.burst or 0.0, by_tokens, units)


def read_route(row: RouteRow) -> Route:
    """Return one route, to one service or to several with weights."""
    split = row.traffic_split or [ShareRow(row.service or "", 1.0)]
    timeout = row.timeout_ms / 1000
    target = (row.target_latency_ms or row.timeout_ms) / 1000
    pause = (row.gap_aim_ms or 0.0) / 1000
    streams = row.kind is RouteKind.STREAM
    return Route(
        name=row.name,
        host=row.host.lower(),
        prefix=row.prefix,
        kind=row.kind,
        shares=tuple(Share(share.service, share.weight) for share in split),
        timeout=timeout,
        target=target,
        # In the platform's "priority", 0 is the highest.
        rank=row.priority or 0,
        max_sends=row.max_attempts or 1,
        resumable=streams and bool(row.resumable),
        longest_pause=pause,
        stall_timeout=compute_stall_timeout(target, pause) if streams else timeout,
        public=bool(row.public),
    )


def compute_stall_timeout(target: float, pause: float) -> float:
    """Return the seconds after which callers disconnect from a stream that sends no event.

    ``target`` and ``pause`` are the route's target latency and longest pause, in seconds.
    """
    return max(2.0, 4 * target, 8 * pause)


def read_service(row: ServiceRow) -> Service:
    """Return one service; its engine is None where the row names no models."""
    engine = row.engine
    return Service(
        name=row.name,
        health_path=row.health_path or "",
        max_connections=row.max_connections or 0,
        engine=read_engine(engine) if engine is not None and engine.models else None,
    )


def read_engine(row: EngineRow) -> EngineSpec:
    """Return the capacity and the models of a service's engines; raises ValueError without it."""
    if row.slots is None or row.weights_mb is None:
        raise ValueError("engines with models have no slots or no weights_mb")
    models = [read_model(model) for model in row.models or ()]
    return EngineSpec(
        slots=row.slots,
        weights_mb=row.weights_mb,
        adapter_slots=row.adapter_slots or 0,
        cache_tokens=row.kv_capacity_tokens or 0,
        cache_token_bytes=row.kv_token_bytes or 0.0,
        loads_per_second=row.loads_per_s or 0.0,
        models={model.name: model for model in models},
    )


def read_model(row: ModelRow) -> Model:
    """Return one model; ``adapters`` is a count, from which the adapters' names are derived."""
    return Model(
        name=row.name,
        weights_mb=row.weights_mb,
        load_seconds=row.load_s,
        disk_load_seconds=row.disk_s or row.load_s,
        memory_load_seconds=row.warm_s or row.load_s,
        adapters=row.adapters or 0,
        adapter_mb=row.adapter_mb or 0.0,
    )
