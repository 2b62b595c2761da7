"""Reads endpoints' entries from the store's rows and logs new, changed and removed endpoints."""

from collections.abc import Callable, Mapping

from peridotdock.context import Context
from peridotdock.errors import Failure, Kind, failed
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.requests import EndpointEntry

DecodeEntry = Callable[[str, bytes], EndpointEntry | Failure]


class EntryReader:
    """Decodes entries, applies them to the fleet, and logs changes.

    ``on_address_reused`` is called with an address at which another start of an endpoint, or
    another endpoint, has replaced the previous one.
    """

    def __init__(
        self,
        ctx: Context,
        fleet: RelayFleet,
        decode: DecodeEntry,
        on_address_reused: Callable[[str], None],
    ):
        self._ctx = ctx
        self._fleet = fleet
        self._decode = decode
        self._on_address_reused = on_address_reused
        self._refused: set[str] = set()
        self._start_by_address: dict[str, tuple[str, int]] = {}

    def apply_rows(self, rows: Mapping[str, bytes | None], whole: bool) -> None:
        """Apply rows to the fleet: the whole table when ``whole`` is set, else the changed rows."""
        if whole:
            self._refused &= rows.keys()
        entries = {key: self._read(key, raw) for key, raw in rows.items()}
        if whole:
            self._fleet.replace(entry for entry in entries.values() if entry is not None)
        else:
            self._fleet.update(entries)

    def _read(self, key: str, raw: bytes | None) -> EndpointEntry | None:
        """Return the entry in a row, None where the row is gone or holds no valid entry.

        Failure guarded against: another writer corrupts the entry of a known endpoint, and requests
        are still sent to the address in the previous entry. An invalid row is logged once until it
        is valid again, however often it is read.
        """
        found = None if raw is None else self._try_decode(key, raw)
        if found is not None and failed(found):
            if key not in self._refused:
                self._ctx.timeline.add("entry_refused", "WARNING", detail=found.reason)
            self._refused.add(key)
            found = None
        else:
            self._refused.discard(key)
        self._log(key, found)
        if found is not None:
            self._check_start(found)
        return found

    def _try_decode(self, key: str, raw: bytes) -> EndpointEntry | Failure:
        """Decode a row; one at which decoding raises is invalid, and the others still apply."""
        try:
            return self._decode(key, raw)
        except Exception as exc:
            return Failure(Kind.BAD_REQUEST, f"entry {key}: {type(exc).__name__}: {exc}")

    def _log(self, key: str, entry: EndpointEntry | None) -> None:
        state = self._fleet.states.get(key)
        if entry is None:
            if state is not None:
                self._ctx.timeline.add("endpoint_gone", endpoint=key)
            return
        known = None if state is None else state.entry
        if known is None or (known.draining, known.started_ms) != (
            entry.draining,
            entry.started_ms,
        ):
            state_name = "leaving" if entry.draining else "ready"
            held = " ".join(sorted(entry.models))
            detail = f"software {entry.software}, born {entry.started_ms}, holds {held}"
            self._ctx.timeline.add(f"endpoint_{state_name}", endpoint=key, detail=detail)

    def _check_start(self, entry: EndpointEntry) -> None:
        """Report an address that belongs to another start than before.

        Failure guarded against: an endpoint crashes during a network partition, so its connections
        are not closed, and starts again. The next request over a kept connection gets no answer.
        """
        start = entry.endpoint_id, entry.started_ms
        if self._start_by_address.setdefault(entry.address, start) != start:
            self._start_by_address[entry.address] = start
            self._on_address_reused(entry.address)
