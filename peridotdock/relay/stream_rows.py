"""Keeps the software versions of streams in the platform's store, so that they outlive all hosts.

Failure guarded against: all hosts lose power at once, and callers take up streams of which no host
knows the version: all are refused, or go on at the only version that is left. The hub writes the
streams that it was told of, at most each 0.3 s and only while a service has several versions, and
which versions serve. A hub reads that as it takes over, and again when it is asked for a stream
that it does not know.
"""

import asyncio
import base64
from collections.abc import Iterable, Iterator, Mapping
from itertools import islice
from math import inf
from typing import Any

import msgspec

from peridotdock.clients.platform import Platform, Row, Transaction
from peridotdock.context import Context
from peridotdock.decisions.stream_versions import (
    Binding,
    kept_rows,
    make_binding,
    row_slot,
)
from peridotdock.errors import failed
from peridotdock.ranges import ROW_ERRORS, ClockSeconds, Name, check_text
from peridotdock.relay.stream_versions import StreamVersions

PREFIX = "stream/"
# Rows, one a hub, with the versions of each service that its callers' streams may have begun at.
VERSIONS_PREFIX = "stream-versions/"
# Seconds between two writes of new streams: those that were not written are lost with all hosts.
WRITE_SECONDS = 0.3
# Seconds after which unchanged versions are written again, so that rows of lost hosts grow old.
REWRITE_SECONDS = 30.0
# Seconds for which rows that were read count as new.
REREAD_SECONDS = 2.0
# Streams in one row, well below the size limit of a row.
STREAMS_PER_ROW = 500
# Streams that are read from one row; other versions may write larger ones.
MAX_STREAMS_READ = 10 * STREAMS_PER_ROW
# Exceptions that decoding a row written by another version may raise.
DECODE_ERRORS = ROW_ERRORS


class StreamRows:
    """Writes and reads the rows of streams on one host, as long as it is the hub."""

    def __init__(self, ctx: Context, store: Platform, host: str, versions: StreamVersions):
        self._ctx = ctx
        self._store = store
        self._host = host
        self._versions = versions
        self._read_at = -inf
        self._read_wanted = False
        # The slot that was written last, with its streams: a row holds all of its second.
        self._slot = -1
        self._written: dict[int, Binding] = {}
        self._recorded: dict[str, list[str]] = {}
        self._recorded_at = -inf
        self.due = asyncio.Event()
        versions.needs_rows = self._needs_rows

    def _needs_rows(self) -> bool:
        """Return whether the rows have to be read first, and have them read."""
        old = self._ctx.clock.monotonic() - self._read_at > REREAD_SECONDS
        if old:
            self._read_wanted = True
            self.due.set()
        return old

    async def step(self) -> None:
        """Read the rows if they were asked for; write new streams."""
        if self._read_wanted:
            await self._read()
            self._read_wanted = False
        streams = self._versions.take_unwritten()
        if streams and not await self._write(streams):
            self._versions.restore_unwritten(streams)
        await self._record()

    async def _record(self) -> None:
        """Write which versions serve, if that has changed or was written long ago."""
        serving, now = self._versions.find_recorded(), self._ctx.clock.monotonic()
        if not serving:
            return
        if serving == self._recorded and now - self._recorded_at < REWRITE_SECONDS:
            return
        value = {"written_at": self._ctx.clock.now().timestamp(), "services": serving}
        key = f"{VERSIONS_PREFIX}{self._host}"
        if not failed(await self._store.commit(Transaction({}, {key: value}))):
            self._recorded, self._recorded_at = serving, now

    async def _read_recorded(self) -> None:
        """Read which versions have served lately; none where the rows can't be read."""
        found = await self._store.scan(VERSIONS_PREFIX)
        if failed(found):
            self._ctx.timeline.add("streams_not_read", "WARNING", detail=found.reason)
            return
        now = self._ctx.clock.now().timestamp()
        times = {key: read_time(row) for key, row in found.items()}
        kept = kept_rows(times, now, self._versions.seconds + REWRITE_SECONDS)
        self._versions.add_recorded(merge_versions(found[key].value for key in kept))
        old = found.keys() - kept
        if old:
            await self._store.commit(Transaction({}, dict.fromkeys(old)))

    async def _read(self) -> None:
        found = await self._store.scan(PREFIX)
        # After a failed read the stream counts as unknown: its caller can't wait for the store.
        self._read_at = self._ctx.clock.monotonic()
        if failed(found):
            self._ctx.timeline.add("streams_not_read", "WARNING", detail=found.reason)
            return
        now = self._ctx.clock.now().timestamp()
        kept = kept_rows(
            {key: read_time(row) for key, row in found.items()}, now, self._versions.seconds
        )
        streams = dict(self._decode({key: found[key] for key in kept}))
        self._versions.add_stored(streams)
        await self._read_recorded()
        self._ctx.timeline.add("streams_read", detail=f"{len(streams)} in {len(kept)} rows")
        old = found.keys() - kept
        if old:
            await self._store.commit(Transaction({}, dict.fromkeys(old)))

    async def _write(self, streams: Mapping[int, Binding]) -> bool:
        """Write streams under the slot of this second; return whether they are in the store."""
        now = self._ctx.clock.now().timestamp()
        slot = row_slot(now)
        both = {**(self._written if slot == self._slot else {}), **streams}
        rows = list(encode_rows(both, now))
        names = (f"{PREFIX}{slot:03}/{self._host}/{part}" for part in range(len(rows)))
        outcome = await self._store.commit(Transaction({}, dict(zip(names, rows, strict=True))))
        if failed(outcome):
            self._ctx.timeline.add("streams_not_kept", "WARNING", detail=outcome.reason)
            return False
        self._slot, self._written = slot, both
        return True

    def _decode(self, rows: Mapping[str, Row]) -> Iterator[tuple[int, Binding]]:
        for key, row in rows.items():
            try:
                yield from decode_row(row.value)
            except DECODE_ERRORS as exc:
                detail = f"{key}: {type(exc).__name__}: {exc}"
                self._ctx.timeline.add("rows_refused", "ERROR", detail=detail)


def merge_versions(values: Iterable[Mapping[str, Any]]) -> dict[str, set[str]]:
    """Return the versions of each service in some rows, as far as they can be read."""
    merged: dict[str, set[str]] = {}
    for value in values:
        services = value.get("services")
        for service, versions in services.items() if isinstance(services, dict) else ():
            if isinstance(versions, list):
                merged.setdefault(service, set()).update(map(str, versions))
    return merged


def read_time(row: Row) -> float:
    """Return when a row was written, in seconds of the time of day; 0 if it does not say so."""
    try:
        return msgspec.convert(row.value.get("written_at"), ClockSeconds)
    except DECODE_ERRORS:
        return 0.0


def encode_rows(streams: Mapping[int, Binding], now: float) -> Iterator[dict[str, Any]]:
    """Yield the values of the rows for streams, each with streams of one version."""
    groups: dict[Binding, list[int]] = {}
    for stream, binding in streams.items():
        groups.setdefault(binding, []).append(stream)
    for binding, ids in groups.items():
        for part in split(ids):
            packed = base64.b64encode(pack(part)).decode()
            yield {
                "written_at": now,
                "service": binding.service,
                "software": binding.software,
                "streams": packed,
            }


def decode_row(value: Mapping[str, Any]) -> list[tuple[int, Binding]]:
    """Return the streams in a row; raises one of :data:`DECODE_ERRORS` for a bad one."""
    service, software = (msgspec.convert(value[name], Name) for name in ("service", "software"))
    check_text(service + software)
    binding = make_binding(service, software)
    raw = base64.b64decode(value["streams"], validate=True)
    if len(raw) % 8 or len(raw) > 8 * MAX_STREAMS_READ:
        raise ValueError("streams are cut or too many")
    return [(int.from_bytes(raw[at : at + 8], "big"), binding) for at in range(0, len(raw), 8)]


def pack(streams: Iterable[int]) -> bytes:
    """Return the ids of streams, eight bytes each."""
    return b"".join(stream.to_bytes(8, "big") for stream in streams)


def split(streams: Iterable[int]) -> Iterator[list[int]]:
    """Yield the ids of streams in parts of one row each."""
    rest = iter(streams)
    while part := list(islice(rest, STREAMS_PER_ROW)):
        yield part
