"""Strict decoding of endpoints' entries in the store and of engines' reports.

Failure guarded against: another writer overwrites an entry, with fields missing or of another type.
If it were accepted in part, requests would be sent to an invalid address, or a host that reads the
other fields would crash. So an entry is accepted only if every field that endpoints always write is
present with its type, and in its range (see :mod:`peridotdock.ranges`).
"""

from typing import Literal

import msgspec

from peridotdock.clients.engines import EngineState
from peridotdock.errors import Failure, Kind
from peridotdock.ranges import (
    ROW_ERRORS,
    Counter,
    Id,
    Name,
    RemainingMs,
    SlotCount,
    UnixMs,
    check_endpoint_address,
)
from peridotdock.relay.requests import EndpointEntry, LoadedModel

# Characters of a row's key that are logged if it is no endpoint's id.
MAX_LOGGED_ID = 64


class LoadedModelRow(msgspec.Struct):
    """A model that an endpoint has loaded; adapters are NAME or NAME@VERSION."""

    name: Name
    version: Counter = 0
    adapters: list[Name] | None = None


class CachedWeightsRow(msgspec.Struct):
    """Models whose weights an endpoint has cached in its memory or on its disk."""

    in_memory: list[Name] | None = None
    on_disk: list[Name] | None = None


class EntryRow(msgspec.Struct):
    """An endpoint's entry in the store.

    ``version`` is that of the endpoint's software, unlike the ``version`` of a model. ``seq``
    counts its heartbeats, unlike the ``seq`` of a report. ``born`` is the start time in Unix
    milliseconds, 0 when unknown. ``remaining_ms`` is the time until the endpoint is taken away,
    whatever it runs; one that drains without it ends after its last answer.
    """

    service: Name
    address: str
    zone: Name
    version: Name
    slots: SlotCount
    state: Literal["ready", "draining"]
    cold_remaining_ms: RemainingMs
    seq: Counter
    born: UnixMs = 0
    models: list[LoadedModelRow] | None = None
    at_hand: CachedWeightsRow | None = None
    remaining_ms: RemainingMs | None = None


class ReportRow(msgspec.Struct):
    """An engine's report; ``seq`` counts the orders it accepted.

    ``coming`` are adapters that are being loaded, as MODEL/NAME@VERSION.
    """

    seq: Counter
    busy: bool
    models: list[LoadedModelRow]
    born: UnixMs = 0
    coming: list[Name] | None = None
    at_hand: CachedWeightsRow | None = None


ENTRY = msgspec.json.Decoder(EntryRow)
REPORT = msgspec.json.Decoder(ReportRow)


def decode_endpoint(endpoint_id: str, raw: bytes) -> EndpointEntry | Failure:
    """Decode the row in which an endpoint registered itself; the row's key is its id."""
    try:
        msgspec.convert(endpoint_id, Id)
        row = ENTRY.decode(raw)
        check_endpoint_address(row.address)
    except ROW_ERRORS as exc:
        name = endpoint_id[:MAX_LOGGED_ID]
        return Failure(Kind.BAD_REQUEST, f"entry {name!r}: {type(exc).__name__}: {exc}")
    cached = row.at_hand or CachedWeightsRow()
    return EndpointEntry(
        endpoint_id=endpoint_id,
        service=row.service,
        address=row.address,
        domain=row.zone,
        slots=row.slots,
        draining=row.state != "ready",
        models=read_loaded_models(row.models),
        in_memory=frozenset(cached.in_memory or ()),
        on_disk=frozenset(cached.on_disk or ()),
        started_ms=row.born,
        software=row.version,
        taken_away=row.remaining_ms is not None,
    )


def decode_report(raw: bytes) -> EngineState | Failure:
    """Decode an engine's report; a bad one is a failure of kind endpoint_error."""
    try:
        row = REPORT.decode(raw)
    except ROW_ERRORS as exc:
        return Failure(Kind.ENDPOINT_ERROR, f"report: {type(exc).__name__}: {exc}")
    cached = row.at_hand or CachedWeightsRow()
    return EngineState(
        seq=row.seq,
        busy=row.busy,
        models=read_loaded_models(row.models),
        pending_adapters=frozenset(strip_version(name) for name in row.coming or ()),
        in_memory=frozenset(cached.in_memory or ()),
        on_disk=frozenset(cached.on_disk or ()),
        started_ms=row.born,
    )


def read_loaded_models(rows: list[LoadedModelRow] | None) -> dict[str, LoadedModel]:
    """Return the models that an endpoint has loaded, by name."""
    return {
        row.name: LoadedModel(row.version, frozenset(map(strip_version, row.adapters or ())))
        for row in rows or ()
    }


def strip_version(name: str) -> str:
    """Return an adapter's name without its optional ``@VERSION`` suffix."""
    return name.partition("@")[0]
