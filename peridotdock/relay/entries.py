"""Endpoints' entries as the store gives them: which name an endpoint, and what is new of each."""

from collections.abc import Callable, Mapping

from peridotdock.context import Context
from peridotdock.errors import Failure, failed
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.requests import EndpointEntry

DecodeEntry = Callable[[str, bytes], EndpointEntry | Failure]


class EntryReader:
    """Reads entries and logs what is new of them.

    ``other_start`` is called with an address at which another start of an endpoint, or another
    endpoint, has taken its place.
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
        """Take rows into the fleet: all there are when ``whole``, else those that changed."""
        if whole:
            self._refused &= rows.keys()
        entries = {key: self._read(key, raw) for key, raw in rows.items()}
        if whole:
            self._fleet.replace(entry for entry in entries.values() if entry is not None)
        else:
            self._fleet.update(entries)

    def _read(self, key: str, raw: bytes | None) -> EndpointEntry | None:
        """Return the entry in a row, None where the row is gone or names no endpoint.

        Failure guarded against: another writer spoils the entry of a known endpoint, and requests
        go on to where the entry before pointed. A bad row is logged once until it is good again,
        however often it is read.
        """
        found = None if raw is None else self._decode(key, raw)
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
            detail = f"born {entry.started_ms}, holds {' '.join(sorted(entry.models))}"
            self._ctx.timeline.add(f"endpoint_{state_name}", endpoint=key, detail=detail)

    def _check_start(self, entry: EndpointEntry) -> None:
        """Tell when an address has another start than before.

        Failure guarded against: an endpoint crashes behind a cut, so that nobody closes its
        connections, and starts again. The next request over a kept one gets no answer.
        """
        start = entry.endpoint_id, entry.started_ms
        if self._start_by_address.setdefault(entry.address, start) != start:
            self._start_by_address[entry.address] = start
            self._on_address_reused(entry.address)
