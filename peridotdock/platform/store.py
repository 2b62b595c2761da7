"""Client for the platform's store over HTTP: versioned rows, transactions, feeds and objects."""

import asyncio
import base64
import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any
from urllib.parse import quote, urlencode

import aiohttp
import msgspec

from peridotdock.clients.http import CONNECT_ERRORS, TRANSFER_ERRORS, Pool
from peridotdock.clients.platform import Committed, ListedHost, Row, Transaction
from peridotdock.clients.store_time import StoreTime
from peridotdock.clients.tables import TableChanges, TableView
from peridotdock.errors import Failure, Kind, failed
from peridotdock.metrics import Metrics
from peridotdock.relay.settings import Address

# The table of the product's own rows; all are in the empty part, so that one transaction can change
# several.
OWN_TABLE = "peridotdock"
# The operators' table and the key of its configuration row, and the endpoints' table.
CONFIG_TABLE = "op"
CONFIG_KEY = "config"
ENDPOINT_TABLE = "servers"
# Seconds for a call that is not a long poll; it usually takes some milliseconds.
CALL_TIMEOUT_SECONDS = 1.5
TOMBSTONE_FIELD = "tombstone"
# Counts the store's returns from an older copy of its rows.
ERA_HEADER = "Store-Era"
READ_ERRORS = (LookupError, AttributeError, TypeError, ValueError, msgspec.DecodeError)
COMMIT_KINDS = {412: Kind.CONFLICT, 429: Kind.PLATFORM_DOWN, 503: Kind.PLATFORM_DOWN}


class TableStore:
    """The only client of the platform's store."""

    def __init__(self, address: Address, metrics: Metrics, time: StoreTime):
        self._url = f"http://{address}"
        self._time = time
        self._pool = Pool(limit=16)
        self._metrics = metrics
        self.era: int | None = None
        self.on_restored: Callable[[int, int], None] = lambda old, new: None

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()

    def renew_connections(self) -> None:
        """Stop reusing the present connections: a call on one of them may never be answered."""
        self._pool.renew()

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> tuple[int, bytes] | Failure:
        limit = aiohttp.ClientTimeout(total=seconds, sock_connect=CALL_TIMEOUT_SECONDS)
        headers = {"content-type": "application/json"} if body is not None else None
        call = path.partition("?")[0].split("/")[2]
        try:
            async with (
                self._pool.use() as session,
                session.request(
                    method, self._url + path, data=body, headers=headers, timeout=limit
                ) as resp,
            ):
                raw = await resp.read()
        except CONNECT_ERRORS as exc:
            self._metrics.platform.labels(call, "unreachable").inc()
            return Failure(Kind.PLATFORM_DOWN, type(exc).__name__)
        except TRANSFER_ERRORS as exc:
            if isinstance(exc, asyncio.TimeoutError):
                # The connection may be dead but not closed; the next call opens a new one.
                self._pool.renew()
            self._metrics.platform.labels(call, "lost").inc()
            return Failure(Kind.OUTCOME_UNKNOWN, type(exc).__name__)
        self._metrics.platform.labels(call, str(resp.status)).inc()
        self._record_era(read_era(resp.headers))
        return resp.status, raw

    def _record_era(self, era: int | None) -> None:
        """Record the era in an answer; report that the store was restored when it has risen."""
        if era is None or (self.era is not None and era <= self.era):
            return
        old, self.era = self.era, era
        self._metrics.store_era.set(era)
        if old is not None:
            self.on_restored(old, era)

    async def _fetch(self, path: str, seconds: float = CALL_TIMEOUT_SECONDS) -> Any | Failure:
        """Return the decoded body of a read; a read whose answer was lost has no effect."""
        outcome = await self._call("GET", path, seconds=seconds)
        if failed(outcome):
            return Failure(Kind.PLATFORM_DOWN, outcome.reason)
        status, raw = outcome
        if status == 410:
            return Failure(Kind.HISTORY_GONE)
        if status != 200:
            return Failure(Kind.PLATFORM_DOWN, f"status {status}")
        try:
            return msgspec.json.decode(raw)
        except msgspec.DecodeError as exc:
            return Failure(Kind.PLATFORM_DOWN, f"bad body: {exc}")

    def _record_time(self, found: Mapping[str, Any], sent_at: float) -> None:
        """Record the store's time from the answer to a call that is not a long poll."""
        now_ms = found.get("now_ms")
        if isinstance(now_ms, int):
            self._time.record(now_ms / 1000, sent_at)

    async def _read_pages(
        self, table: str, start: str = "", end: str = ""
    ) -> tuple[list[dict[str, Any]], int] | Failure:
        """Read a range of keys page by page; return its rows and the version of the first page.

        Following the table from the first page's version misses no change: it repeats those that
        later pages may already contain.
        """
        rows: list[dict[str, Any]] = []
        version = None
        while True:
            query = {"table": table, "part": ""}
            query |= {"from": start} if start else {}
            query |= {"to": end} if end else {}
            sent_at = self._time.clock()
            page = await self._fetch("/v1/rows-get?" + urlencode(query))
            if failed(page):
                return page
            try:
                self._record_time(page, sent_at)
                rows += page["rows"]
                version = int(page["ver"]) if version is None else version
                if not page.get("has_more"):
                    return rows, version
                start = rows[-1]["key"] + "\0"
            except READ_ERRORS as exc:
                return Failure(Kind.PLATFORM_DOWN, f"bad page: {exc!r}")

    async def read_table(self, table: str) -> TableView | Failure:
        """Read all rows of a table."""
        found = await self._read_pages(table)
        if failed(found):
            return found
        rows, version = found
        try:
            return TableView({row["key"]: decode_value(row) for row in rows}, version)
        except READ_ERRORS as exc:
            return Failure(Kind.PLATFORM_DOWN, f"bad row: {exc!r}")

    async def follow(
        self, table: str, after: int, hold_seconds: float, answer_seconds: float
    ) -> TableChanges | Failure:
        """Wait for changes of a table after a version."""
        query = urlencode({"table": table, "after": after, "wait_ms": int(hold_seconds * 1000)})
        found = await self._fetch("/v1/rows-feed?" + query, hold_seconds + answer_seconds)
        if failed(found):
            return found
        try:
            values = {
                row["key"]: None if row.get(TOMBSTONE_FIELD) else decode_value(row)
                for row in found["rows"]
            }
            return TableChanges(values, int(found["ver"]))
        except READ_ERRORS as exc:
            return Failure(Kind.PLATFORM_DOWN, f"bad row: {exc!r}")

    async def read(self, keys: Iterable[str]) -> dict[str, Row] | Failure:
        """Return the product's rows that exist among ``keys``."""
        found: dict[str, Row] = {}
        for key in keys:
            rows = await self._own_rows(key, key + "\0")
            if failed(rows):
                return rows
            found |= rows
        return found

    async def scan(self, prefix: str) -> dict[str, Row] | Failure:
        """Return the product's rows whose key starts with ``prefix``."""
        return await self._own_rows(prefix, prefix + "\x7f")

    async def _own_rows(self, start: str, end: str) -> dict[str, Row] | Failure:
        found = await self._read_pages(OWN_TABLE, start, end)
        if failed(found):
            return found
        try:
            return {
                row["key"]: Row(value, int(row["ver"]))
                for row in found[0]
                if (value := decode_own_row(row)) is not None
            }
        except READ_ERRORS as exc:
            return Failure(Kind.PLATFORM_DOWN, f"bad row: {exc!r}")

    async def commit(self, tx: Transaction) -> Committed | Failure:
        """Send the transaction once."""
        writes = {key: value for key, value in tx.writes.items() if value is not None}
        body = {
            "expected": [own_row_key(key) | {"ver": ver} for key, ver in tx.checks.items()],
            "set_keys": [
                own_row_key(key) | {"value": encode_value(value, tx.id)}
                for key, value in writes.items()
            ],
            "remove": [own_row_key(key) for key in tx.writes if key not in writes],
        }
        sent_at = self._time.clock()
        outcome = await self._call("POST", "/v1/rows-tx", json.dumps(body).encode())
        if failed(outcome):
            return outcome
        status, raw = outcome
        if status == 200:
            found = msgspec.json.decode(raw)
            self._record_time(found, sent_at)
            return Committed(int(found["ver"]))
        return Failure(COMMIT_KINDS.get(status, Kind.OUTCOME_UNKNOWN), f"status {status}")

    async def get_object(self, name: str) -> bytes | None | Failure:
        """Fetch an object."""
        outcome = await self._call("GET", f"/v1/blob-get/{quote(name, safe='')}")
        if failed(outcome):
            return Failure(Kind.PLATFORM_DOWN, outcome.reason)
        status, raw = outcome
        results = {200: raw, 404: None}
        return results.get(status, Failure(Kind.PLATFORM_DOWN, f"status {status}"))

    async def put_object(self, name: str, body: bytes) -> Failure | None:
        """Store an object."""
        outcome = await self._call("PUT", f"/v1/blob-put/{quote(name, safe='')}", body)
        if failed(outcome):
            return outcome
        return None if outcome[0] == 200 else Failure(Kind.PLATFORM_DOWN, f"status {outcome[0]}")

    async def list_hosts(self) -> list[ListedHost] | Failure:
        """Return the hosts that registered themselves."""
        rows = await self.scan(HOST_PREFIX)
        if failed(rows):
            return rows
        return [
            ListedHost(key.removeprefix(HOST_PREFIX), row.value["peer"], row.value["leaving"])
            for key, row in rows.items()
            if "peer" in row.value and "leaving" in row.value
        ]

    async def register_host(self, host: str, peer: str, draining: bool) -> Failure | None:
        """Overwrite this host's row without a version check: no other host writes it."""
        value = {"peer": peer, "leaving": draining}
        outcome = await self.commit(Transaction({}, {HOST_PREFIX + host: value}))
        return outcome if failed(outcome) else None


HOST_PREFIX = "host/"


def read_era(headers: Mapping[str, str]) -> int | None:
    """Return the era in an answer's headers, None where it names none that can be read."""
    text = headers.get(ERA_HEADER, "")
    return int(text) if text.isascii() and text.isdigit() else None


def decode_value(row: Mapping[str, Any]) -> bytes:
    """Return a row's value, empty if it can't be decoded.

    Failure guarded against: a row of another writer is not base64, and every call that returns it
    fails, so that no other row of the table can be read. An empty value is not a valid
    configuration or entry, so its reader rejects just this row.
    """
    try:
        return base64.b64decode(row["value"])
    except (KeyError, TypeError, ValueError):
        return b""


def decode_own_row(row: Mapping[str, Any]) -> dict[str, Any] | None:
    """Return the value of one of the product's rows, None when it can't be decoded."""
    try:
        value = json.loads(decode_value(row))
    except (ValueError, RecursionError):
        return None
    return value if isinstance(value, dict) else None


def own_row_key(key: str) -> dict[str, Any]:
    """Return the table, part and key that address one of the product's rows."""
    return {"table": OWN_TABLE, "part": "", "key": key}


def encode_value(value: Mapping[str, Any], tx_id: str) -> str:
    """Return a row's value; the transaction's id in it identifies the writer after a conflict."""
    return base64.b64encode(json.dumps({**value, "write": tx_id}).encode()).decode()
