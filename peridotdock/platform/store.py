"""Client for the platform's store over HTTP: versioned rows, transactions, feeds and objects."""

import asyncio
import base64
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote, urlencode

import aiohttp
import msgspec

from peridotdock.clients.answer_memory import MAX_STORE_ANSWER_BYTES, make_store_memory
from peridotdock.clients.http import (
    CONNECT_ERRORS,
    TRANSFER_ERRORS,
    EndlessAnswer,
    Pool,
    read_body,
)
from peridotdock.clients.platform import RESTORED, Committed, ListedHost, Row, Transaction
from peridotdock.clients.store_time import StoreTime
from peridotdock.clients.tables import TableChanges, TableView
from peridotdock.clients.versions import (
    ABSENT,
    StoreEra,
    all_of_era,
    era_of,
    make_version,
    number_of,
    parse_era,
)
from peridotdock.errors import Failure, Kind, failed
from peridotdock.metrics import Metrics
from peridotdock.ranges import MAX_UNIX_MS, ROW_ERRORS, StoreNumber, read_value
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
# The reason of a call whose answer was given up as too long.
TOO_LONG = EndlessAnswer.__name__
COMMIT_KINDS = {412: Kind.CONFLICT, 429: Kind.PLATFORM_DOWN, 503: Kind.PLATFORM_DOWN}


@dataclass(frozen=True, slots=True)
class Answer:
    """An answer of the store, and the era in which it was given."""

    status: int
    raw: bytes
    era: int


@dataclass(frozen=True, slots=True)
class Page:
    """The decoded body of an answer, and the era in which it was given."""

    body: dict[str, Any]
    era: int


@dataclass(frozen=True, slots=True)
class Pages:
    """A range of rows as the store writes them, and the version of its first page."""

    rows: list[dict[str, Any]]
    version: int


class TableStore:
    """The only client of the platform's store.

    Its versions carry the store's era, so they are never reused (see
    :mod:`peridotdock.clients.versions`).
    """

    def __init__(self, address: Address, metrics: Metrics, time: StoreTime):
        self._url = f"http://{address}"
        self._time = time
        self._pool = Pool(limit=16)
        self._memory = make_store_memory()
        self._metrics = metrics
        self.era = StoreEra()

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
    ) -> Answer | Failure:
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
                raw = await read_body(resp, self._memory, MAX_STORE_ANSWER_BYTES)
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
        if not self.era.accept(parse_era(resp.headers.get(ERA_HEADER))):
            # What the call read or wrote has been lost since.
            return Failure(Kind.OUTCOME_UNKNOWN, "answer of an earlier era")
        return Answer(resp.status, raw, self.era.current)

    async def _fetch(self, path: str, seconds: float = CALL_TIMEOUT_SECONDS) -> Page | Failure:
        """Return the decoded body of a read; a read whose answer was lost has no effect."""
        answer = await self._call("GET", path, seconds=seconds)
        if failed(answer):
            return Failure(Kind.PLATFORM_DOWN, answer.reason)
        if answer.status == 410:
            return Failure(Kind.HISTORY_GONE)
        if answer.status != 200:
            return Failure(Kind.PLATFORM_DOWN, f"status {answer.status}")
        try:
            return Page(msgspec.json.decode(answer.raw), answer.era)
        except ROW_ERRORS as exc:
            return Failure(Kind.PLATFORM_DOWN, f"bad body: {exc}")

    def _record_time(self, found: Mapping[str, Any], sent_at: float) -> None:
        """Record the store's time from the answer to a call that is not a long poll."""
        now_ms = found.get("now_ms")
        if isinstance(now_ms, int) and 0 <= now_ms <= MAX_UNIX_MS:
            self._time.record(now_ms / 1000, sent_at)

    async def _read_pages(self, table: str, start: str = "", end: str = "") -> Pages | Failure:
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
            if version is not None and page.era != era_of(version):
                return Failure(Kind.PLATFORM_DOWN, "the store was restored between two pages")
            try:
                self._record_time(page.body, sent_at)
                rows += page.body["rows"]
                if version is None:
                    version = make_version(page.era, read_value(page.body["ver"], StoreNumber))
                if not page.body.get("has_more"):
                    return Pages(rows, version)
                start = rows[-1]["key"] + "\0"
            except ROW_ERRORS as exc:
                return Failure(Kind.PLATFORM_DOWN, f"bad page: {exc!r}")

    async def read_table(self, table: str) -> TableView | Failure:
        """Read all rows of a table."""
        found = await self._read_pages(table)
        if failed(found):
            return found
        try:
            return TableView({row["key"]: decode_value(row) for row in found.rows}, found.version)
        except ROW_ERRORS as exc:
            return Failure(Kind.PLATFORM_DOWN, f"bad row: {exc!r}")

    async def follow(
        self, table: str, after: int, hold_seconds: float, answer_seconds: float
    ) -> TableChanges | Failure:
        """Wait for changes of a table after a version.

        Failure guarded against: the store has returned from an older copy, and its new numbers have
        passed the one in ``after``. It answers with the changes after that number, and those
        before it, made under numbers given out again, are never seen. Or the changes are too many
        for one answer: the next call would be answered with the same again, so the table has to be
        read in pages.
        """
        if after != ABSENT and era_of(after) < self.era.current:
            return Failure(Kind.HISTORY_GONE, "the store was restored")
        hold_ms = int(hold_seconds * 1000)
        query = urlencode({"table": table, "after": number_of(after), "wait_ms": hold_ms})
        page = await self._fetch("/v1/rows-feed?" + query, hold_seconds + answer_seconds)
        if failed(page):
            too_long = page.reason == TOO_LONG
            return Failure(Kind.HISTORY_GONE, "too many changes") if too_long else page
        if not all_of_era([after], page.era):
            return Failure(Kind.HISTORY_GONE, "the store was restored")
        try:
            values = {
                row["key"]: None if row.get(TOMBSTONE_FIELD) else decode_value(row)
                for row in page.body["rows"]
            }
            return TableChanges(
                values, make_version(page.era, read_value(page.body["ver"], StoreNumber))
            )
        except ROW_ERRORS as exc:
            return Failure(Kind.PLATFORM_DOWN, f"bad row: {exc!r}")

    async def read(self, keys: Iterable[str]) -> dict[str, Row] | Failure:
        """Return the product's rows that exist among ``keys``.

        Failure guarded against: a row can't be decoded, and as it counts as absent, no transaction
        that would replace it names the right version. So its value counts as empty.
        """
        found: dict[str, Row] = {}
        for key in keys:
            rows = await self._own_rows(key, key + "\0", unreadable={})
            if failed(rows):
                return rows
            found |= rows
        return found

    async def scan(self, prefix: str) -> dict[str, Row] | Failure:
        """Return the product's rows whose key starts with ``prefix``."""
        return await self._own_rows(prefix, prefix + "\x7f")

    async def _own_rows(
        self, start: str, end: str, unreadable: dict[str, Any] | None = None
    ) -> dict[str, Row] | Failure:
        """Return the rows in a range of keys, those that can't be decoded with a value or not."""
        found = await self._read_pages(OWN_TABLE, start, end)
        if failed(found):
            return found
        try:
            era = era_of(found.version)
            return {
                row["key"]: Row(value, make_version(era, read_value(row["ver"], StoreNumber)))
                for row in found.rows
                if (value := decode_own_row(row, unreadable)) is not None
            }
        except ROW_ERRORS as exc:
            return Failure(Kind.PLATFORM_DOWN, f"bad row: {exc!r}")

    async def commit(self, tx: Transaction) -> Committed | Failure:
        """Send the transaction once.

        A row of another era may have the number that a check names. So a check of an earlier era is
        a conflict, also where the store has applied the transaction to another era's rows.
        """
        if not all_of_era(tx.checks.values(), self.era.current):
            return RESTORED
        writes = {key: value for key, value in tx.writes.items() if value is not None}
        body = {
            "expected": [
                own_row_key(key) | {"ver": number_of(version)} for key, version in tx.checks.items()
            ],
            "set_keys": [
                own_row_key(key) | {"value": encode_value(value, tx.id)}
                for key, value in writes.items()
            ],
            "remove": [own_row_key(key) for key in tx.writes if key not in writes],
        }
        sent_at = self._time.clock()
        answer = await self._call("POST", "/v1/rows-tx", json.dumps(body).encode())
        if failed(answer):
            return answer
        if answer.status != 200:
            kind = COMMIT_KINDS.get(answer.status, Kind.OUTCOME_UNKNOWN)
            return Failure(kind, f"status {answer.status}")
        if not all_of_era(tx.checks.values(), answer.era):
            return RESTORED
        try:
            found = msgspec.json.decode(answer.raw)
            self._record_time(found, sent_at)
            return Committed(make_version(answer.era, read_value(found["ver"], StoreNumber)))
        except ROW_ERRORS as exc:
            return Failure(Kind.OUTCOME_UNKNOWN, f"bad body: {exc!r}")

    async def get_object(self, name: str) -> bytes | None | Failure:
        """Fetch an object."""
        outcome = await self._call("GET", f"/v1/blob-get/{quote(name, safe='')}")
        if failed(outcome):
            return Failure(Kind.PLATFORM_DOWN, outcome.reason)
        results = {200: outcome.raw, 404: None}
        lost = Failure(Kind.PLATFORM_DOWN, f"status {outcome.status}")
        return results.get(outcome.status, lost)

    async def put_object(self, name: str, body: bytes) -> Failure | None:
        """Store an object."""
        outcome = await self._call("PUT", f"/v1/blob-put/{quote(name, safe='')}", body)
        if failed(outcome):
            return outcome
        if outcome.status == 200:
            return None
        return Failure(Kind.PLATFORM_DOWN, f"status {outcome.status}")

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


def decode_own_row(
    row: Mapping[str, Any], unreadable: dict[str, Any] | None = None
) -> dict[str, Any] | None:
    """Return the value of one of the product's rows, ``unreadable`` when it can't be decoded."""
    try:
        value = msgspec.json.decode(decode_value(row))
    except ROW_ERRORS:
        return unreadable
    return value if isinstance(value, dict) else unreadable


def own_row_key(key: str) -> dict[str, Any]:
    """Return the table, part and key that address one of the product's rows."""
    return {"table": OWN_TABLE, "part": "", "key": key}


def encode_value(value: Mapping[str, Any], tx_id: str) -> str:
    """Return a row's value; the transaction's id in it identifies the writer after a conflict."""
    return base64.b64encode(json.dumps({**value, "write": tx_id}).encode()).decode()
