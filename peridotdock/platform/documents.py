"""The operators' configuration, decoded from the platform's row."""

from collections.abc import Mapping
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
from peridotdock.workspaces import Quota, Workspace, Workspaces

# Nesting beyond the decoder's depth ends in RecursionError.
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, RecursionError)

KEYS_FIELD = "api_keys"
# In place of keys in a configuration that hosts pass on to each other.
KEY_DIGESTS_FIELD = "key_digests"


def decode_deployment(raw: bytes) -> Deployment | Failure:
    """Read the value of the row that holds the configuration."""
    try:
        document = msgspec.json.decode(raw)
        services = [decode_service(row) for row in document["services"]]
        return Deployment(
            version=int(document["version"]),
            services={service.name: service for service in services},
            limits=decode_limits(document.get("limits") or {}),
            routes=index_routes(decode_route(row) for row in document["routes"]),
            workspaces=Workspaces(decode_workspace(row) for row in document.get("tenants") or ()),
        )
    except DECODE_ERRORS as exc:
        return Failure(Kind.MANIFEST_INVALID, f"configuration: {type(exc).__name__}: {exc}")


def decode_limits(raw: Mapping[str, Any]) -> CallerLimits:
    """Return what callers may send; what the row leaves out keeps its default."""
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(raw.get("max_header_bytes", default.max_header_bytes)),
        max_body_bytes=int(raw.get("max_body_bytes", default.max_body_bytes)),
        idle_timeout=float(raw.get("idle_timeout_ms", default.idle_timeout * 1000)) / 1000,
    )


def hide_keys(raw: bytes) -> bytes:
    """Return a configuration with the digests of keys in place of the keys."""
    try:
        document = msgspec.json.decode(raw)
        for row in document.get("tenants") or ():
            row[KEY_DIGESTS_FIELD] = read_keys(row)
            row.pop(KEYS_FIELD, None)
        return msgspec.json.encode(document)
    except DECODE_ERRORS:
        # No host can take it in, so what it holds is of no use to any.
        return b""


def read_keys(raw: Mapping[str, Any]) -> list[str]:
    """Return the digests of a workspace's keys."""
    return [
        *raw.get(KEY_DIGESTS_FIELD, ()),
        *(digest_key(str(key)) for key in raw.get(KEYS_FIELD) or ()),
    ]


def decode_workspace(raw: Mapping[str, Any]) -> tuple[Workspace, list[str]]:
    """Return a workspace, and the digests of its keys."""
    priority = raw.get("priority")
    rank = None if priority is None else int(priority)
    return Workspace(raw["name"], rank, decode_quota(raw)), read_keys(raw)


def decode_quota(raw: Mapping[str, Any]) -> Quota | None:
    """Return what a workspace may send; a rate of 0, or none, is no limit."""
    rate = float(raw.get("rate_per_s") or 0)
    if rate <= 0:
        return None
    by_tokens = raw.get("unit") == "tokens"
    burst = float(raw.get("burst") or 0)
    return Quota(rate, burst, by_tokens, float(raw.get("plain_tokens") or 0) if by_tokens else 1.0)


def decode_route(raw: Mapping[str, Any]) -> Route:
    """Return one route; it names one service, or several with weights."""
    split = raw.get("traffic_split") or [{"service": raw.get("service", ""), "weight": 1}]
    kind = RouteKind(raw["kind"])
    timeout = float(raw["timeout_ms"]) / 1000
    target = float(raw.get("target_latency_ms") or raw["timeout_ms"]) / 1000
    pause = float(raw.get("gap_aim_ms") or 0) / 1000
    streams = kind is RouteKind.STREAM
    return Route(
        name=raw["name"],
        host=raw["host"].lower(),
        prefix=raw["prefix"],
        kind=kind,
        shares=tuple(Share(row["service"], float(row["weight"])) for row in split),
        timeout=timeout,
        target=target,
        # The platform's "priority": 0 comes first.
        rank=int(raw.get("priority") or 0),
        max_sends=int(raw.get("max_attempts") or 1),
        resumable=streams and bool(raw.get("resumable")),
        longest_pause=pause,
        stall_timeout=compute_stall_timeout(target, pause) if streams else timeout,
        public=bool(raw.get("public")),
    )


def compute_stall_timeout(target: float, pause: float) -> float:
    """Return the seconds after which callers leave a stream that gives no event."""
    return max(2.0, 4 * target, 8 * pause)


def decode_service(raw: Mapping[str, Any]) -> Service:
    """Return one service."""
    engine = raw.get("engine")
    return Service(
        name=raw["name"],
        health_path=raw.get("health_path", ""),
        max_connections=int(raw.get("max_connections") or 0),
        engine=decode_engine(engine) if engine and engine.get("models") else None,
    )


def decode_engine(raw: Mapping[str, Any]) -> EngineSpec:
    """Return what the engines of a service can hold."""
    models = [decode_model(row) for row in raw["models"]]
    return EngineSpec(
        slots=int(raw["slots"]),
        weights_mb=float(raw["weights_mb"]),
        adapter_slots=int(raw.get("adapter_slots") or 0),
        cache_tokens=int(raw.get("kv_capacity_tokens") or 0),
        cache_token_bytes=float(raw.get("kv_token_bytes") or 0),
        loads_per_second=float(raw.get("loads_per_s") or 0),
        models={model.name: model for model in models},
    )


def decode_model(raw: Mapping[str, Any]) -> Model:
    """Return one model; its adapters are numbered, their names are made from the number."""
    load = float(raw["load_s"])
    return Model(
        name=raw["name"],
        weights_mb=float(raw["weights_mb"]),
        load_seconds=load,
        disk_load_seconds=float(raw.get("disk_s") or load),
        memory_load_seconds=float(raw.get("warm_s") or load),
        adapters=int(raw.get("adapters") or 0),
        adapter_mb=float(raw.get("adapter_mb") or 0),
    )
