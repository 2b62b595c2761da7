"""Decoding of the platform's settings file into a host's settings."""

import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from peridotdock.decisions.quotas import Tolerance
from peridotdock.errors import Failure, Kind
from peridotdock.relay.settings import Address, Bounds, HostSettings, Listen, parse_address

PATH_VARIABLE = "PERIDOTDOCK_SETTINGS"
# Port of the metrics in the deployment file; used if it is in the range for the hosts' own traffic.
METRICS_PORT = 7391


def load_settings(environ: Mapping[str, str]) -> HostSettings | Failure:
    """Read the file that the environment names; the failure's reason says what is wrong with it."""
    path = environ.get(PATH_VARIABLE, "")
    if not path:
        return Failure(Kind.BAD_REQUEST, f"{PATH_VARIABLE} is not set")
    try:
        return decode_settings(tomllib.loads(Path(path).read_text()))
    except (OSError, ValueError, KeyError, TypeError) as exc:
        return Failure(Kind.BAD_REQUEST, f"{path}: {type(exc).__name__}: {exc}")


def decode_settings(raw: Mapping[str, Any]) -> HostSettings:
    """Return the settings; raises KeyError for a missing field and ValueError for a wrong one."""
    listen = raw["listen"]
    return HostSettings(
        host=raw["node_name"],
        domain=raw["zone"],
        listen=Listen(
            callers=parse_address(listen["front"]),
            readiness=parse_address(listen["ready"]),
            directory=parse_address(listen["directory"]),
            peers=parse_address(listen["control"]),
            relay=decode_relay(raw),
        ),
        seeds=tuple(parse_address(text) for text in raw.get("seeds", ())),
        store=parse_address(raw["platform"]["address"]),
        bounds=decode_bounds(raw["bounds"]),
        metrics=decode_metrics(raw),
        first_start=bool(raw.get("bootstrap", True)),
        **decode_machine(raw.get("limits") or {}),
    )


def decode_machine(raw: Mapping[str, Any]) -> dict[str, float]:
    """Return what the machine has of link, processor, memory and descriptors, as the file says.

    The result's ``cores`` is the file's ``cpu_share`` times its ``cores``.
    """
    found = {}
    if "memory_mb" in raw:
        found["memory_bytes"] = int(float(raw["memory_mb"]) * 1_000_000)
    if "max_fds" in raw:
        found["descriptors"] = int(raw["max_fds"])
    if "link_mbps" in raw:
        found["link_mbps"] = float(raw["link_mbps"])
        found["cores"] = float(raw.get("cpu_share", 1.0)) * float(raw.get("cores", 1))
    return found


def decode_metrics(raw: Mapping[str, Any]) -> Address | None:
    """Return the address for metrics, or None if its port is outside the allowed range."""
    first, last = raw.get("inner_ports") or (0, -1)
    return Address(raw["ip"], METRICS_PORT) if first <= METRICS_PORT <= last else None


def decode_relay(raw: Mapping[str, Any]) -> Address | None:
    """Return the address for forwarded requests, the last port for the hosts' own traffic."""
    first, last = raw.get("inner_ports") or (0, -1)
    return Address(raw["ip"], last) if first <= last and last != METRICS_PORT else None


def decode_bounds(raw: Mapping[str, Any]) -> Bounds:
    """Return the bounds; milliseconds of the file become seconds."""
    return Bounds(
        drain=raw["drain_ms"] / 1000,
        config=raw["config_ms"] / 1000,
        # Seconds from SIGTERM to SIGKILL.
        stopping=float(raw["grace_s"]),
        retry_share=float(raw["budget_ratio"]),
        retry_extra=float(raw["budget_extra"]),
        retry_window=float(raw["budget_window_s"]),
        order_lease=raw["lease_ms"] / 1000,
        loads_window=float(raw["ceiling_window_s"]),
        loads_over=float(raw["ceiling_over"]),
        address_ttl=float(raw["ttl_max_s"]),
        revoke=float(raw.get("revoke_ms", 0)) / 1000,
        quota=Tolerance(
            window=float(raw.get("quota_window_s", 1)),
            over=float(raw.get("quota_over", 0)),
            units=float(raw.get("quota_slack", 0)),
        ),
        revoke_strict=bool(raw.get("revoke_strict", False)),
    )
