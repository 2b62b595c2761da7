"""Decoding of the operators' configuration, which is one row of the platform's store."""

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

# The decoder raises RecursionError when a document is nested too deep.
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, RecursionError)

KEYS_FIELD = "api_keys"
# Replaces the keys in a configuration that hosts send each other.
KEY_DIGESTS_FIELD = "key_digests"


def decode_deployment(raw: bytes) -> Deployment | Failure:
    """Decode the configuration; a bad one is a failure of kind manifest_invalid."""
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
    """Return the limits on callers' requests; a missing field keeps its default."""
    default = CallerLimits()
    return CallerLimits(
        max_header_bytes=int(raw.get("max_header_bytes", default.max_header_bytes)),
        max_body_bytes=int(raw.get("max_body_bytes", default.max_body_bytes)),
        idle_timeout=float(raw.get("idle_timeout_ms", default.idle_timeout * 1000)) / 1000,
    )


def hide_keys(raw: bytes) -> bytes:
    """Return a configuration with its keys replaced by their digests, empty if it is bad."""
    try:
        document = msgspec.json.decode(raw)
        for row in document.get("tenants") or ():
            row[KEY_DIGESTS_FIELD] = read_keys(row)
            row.pop(KEYS_FIELD, None)
        return msgspec.json.encode(document)
    except DECODE_ERRORS:
        # No host accepts a bad configuration, so there is no use in sending its contents.
        return b""


def read_keys(raw: Mapping[str, Any]) -> list[str]:
    """Return the digests of a workspace's keys, whether the row holds keys or digests."""
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
    """Return the quota of a workspace; None for no limit, that is a rate of 0 or no rate."""
    rate = float(raw.get("rate_per_s") or 0)
    if rate <= 0:
        return None
    by_tokens = raw.get("unit") == "tokens"
    burst = float(raw.get("burst") or 0)
    return Quota(rate, burst, by_tokens, float(raw.get("plain_tokens") or 0) if by_tokens else 1.0)


def decode_route(raw: Mapping[str, Any]) -> Route:
    """Return one route, to one service or to several with weights."""
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
        # In the platform's "priority", 0 is the highest.
        rank=int(raw.get("priority") or 0),
        max_sends=int(raw.get("max_attempts") or 1),
        resumable=streams and bool(raw.get("resumable")),
        longest_pause=pause,
        stall_timeout=compute_stall_timeout(target, pause) if streams else timeout,
        public=bool(raw.get("public")),
    )


def compute_stall_timeout(target: float, pause: float) -> float:
    """Return the seconds after which callers disconnect from a stream that sends no event.

    ``target`` and ``pause`` are the route's target latency and longest pause, in seconds.
    """
    return max(2.0, 4 * target, 8 * pause)


def decode_service(raw: Mapping[str, Any]) -> Service:
    """Return one service; its engine is None where the row names no models."""
    engine = raw.get("engine")
    return Service(
        name=raw["name"],
        health_path=raw.get("health_path", ""),
        max_connections=int(raw.get("max_connections") or 0),
        engine=decode_engine(engine) if engine and engine.get("models") else None,
    )


def decode_engine(raw: Mapping[str, Any]) -> EngineSpec:
    """Return the capacity and the models of the engines of a service."""
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
    """Return one model; ``adapters`` is a count, from which the adapters' names are derived."""
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
