"""Client protocol for the platform's table, object store and host list.

:class:`HttpPlatform` implements the HTTP interface of the stand-in; a real platform needs its own
adapter.
"""

import asyncio
import json
import uuid
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import aiohttp

from peridotdock.clients.answer_memory import MAX_STORE_ANSWER_BYTES, make_store_memory
from peridotdock.clients.http import CONNECT_ERRORS, TRANSFER_ERRORS, Pool, read_body
from peridotdock.clients.versions import (
    StoreEra,
    all_of_era,
    make_version,
    number_of,
    parse_era,
)
from peridotdock.errors import Failure, Kind, failed

TIMEOUT_SECONDS = 2.0
MAX_RESOLVE_ATTEMPTS = 3
# Counts the platform's returns from an older copy of its table.
ERA_HEADER = "Table-Era"


@dataclass(frozen=True)
class Row:
    """A row of the table: its value and its version.

    Versions are never reused: a client whose store gives numbers out again adds the store's era
    (see :mod:`peridotdock.clients.versions`).
    """

    value: dict[str, Any]
    version: int


@dataclass(frozen=True)
class Transaction:
    """Writes that are applied atomically if every checked row still has its version (0: absent).

    ``id`` is stored in each written row, so that the outcome of a commit whose answer was lost can
    be found by reading the rows.
    """

    checks: Mapping[str, int]
    writes: Mapping[str, dict[str, Any] | None]
    id: str = field(default_factory=lambda: uuid.uuid4().hex)


@dataclass(frozen=True)
class Committed:
    """The transaction was applied; ``version`` is the new version of its rows."""

    version: int


# A transaction that checks a version of an earlier era than the store's.
RESTORED = Failure(Kind.CONFLICT, "the store was restored")


@dataclass(frozen=True)
class ListedHost:
    """An entry of the platform's host list, which lags behind."""

    id: str
    peer: str
    draining: bool


class Platform(Protocol):
    """Calls that peridotdock makes to the platform.

    ``era`` is the newest era of its store that an answer named.
    """

    era: StoreEra

    async def read(self, keys: Iterable[str]) -> dict[str, Row] | Failure:
        """Return the rows that exist among ``keys``."""

    async def scan(self, prefix: str) -> dict[str, Row] | Failure:
        """Return the rows whose key starts with ``prefix``."""

    async def commit(self, tx: Transaction) -> Committed | Failure:
        """Send a transaction once. Kinds: conflict, platform_down (not done), outcome_unknown."""

    async def get_object(self, name: str) -> bytes | None | Failure:
        """Return an object, or None when there is none."""

    async def put_object(self, name: str, body: bytes) -> Failure | None:
        """Store an object; the same name always has the same body."""

    async def list_hosts(self) -> list[ListedHost] | Failure:
        """Return the list of live and draining hosts, which lags behind."""

    async def register_host(self, host: str, peer: str, draining: bool) -> Failure | None:
        """Add or update this host in the list."""


async def commit_and_resolve(platform: Platform, tx: Transaction) -> Committed | Failure:
    """Commit, and find out the outcome when the answer is lost.

    Failure guarded against: the answer is lost after the write was applied, or the write is still
    in transit. Reading alone can't tell these apart, as the write may be applied after the read.
    Sending the same transaction again can: it checks the same versions, so at most one of the sends
    is applied, and after a conflict the id in the row shows whether it was this transaction.
    """
    outcome = await platform.commit(tx)
    for _ in range(MAX_RESOLVE_ATTEMPTS):
        if not failed(outcome) or outcome.kind is not Kind.OUTCOME_UNKNOWN:
            break
        again = await platform.commit(tx)
        if failed(again) and again.kind is Kind.CONFLICT:
            return await resolve_conflict(platform, tx)
        if failed(again) and again.kind is Kind.PLATFORM_DOWN:
            continue
        outcome = again
    return outcome


async def resolve_conflict(platform: Platform, tx: Transaction) -> Committed | Failure:
    """Return after a conflict whether an earlier send of ``tx`` was applied."""
    rows = await platform.read(tx.writes)
    if failed(rows):
        return Failure(Kind.OUTCOME_UNKNOWN, rows.reason)
    for row in rows.values():
        if row.value.get("write") == tx.id:
            return Committed(row.version)
    return Failure(Kind.CONFLICT)


class HttpPlatform:
    """The platform over HTTP and JSON; ``timeout`` is in seconds for each call."""

    def __init__(self, url: str, timeout: float = TIMEOUT_SECONDS):
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout, sock_connect=timeout)
        self._pool = Pool(limit=16)
        self._memory = make_store_memory()
        self.era = StoreEra()

    async def close(self) -> None:
        """Close the connections."""
        await self._pool.close()

    async def _call(
        self, method: str, path: str, body: Any = None, data: bytes | None = None
    ) -> tuple[int, bytes] | Failure:
        try:
            async with (
                self._pool.use() as session,
                session.request(
                    method, self._url + path, json=body, data=data, timeout=self._timeout
                ) as resp,
            ):
                raw = await read_body(resp, self._memory, MAX_STORE_ANSWER_BYTES)
        except CONNECT_ERRORS as exc:
            return Failure(Kind.PLATFORM_DOWN, type(exc).__name__)
        except TRANSFER_ERRORS as exc:
            if isinstance(exc, asyncio.TimeoutError):
                self._pool.renew()
            return Failure(Kind.OUTCOME_UNKNOWN, type(exc).__name__)
        if not self.era.accept(parse_era(resp.headers.get(ERA_HEADER))):
            # What the call read or wrote has been lost since.
            return Failure(Kind.OUTCOME_UNKNOWN, "answer of an earlier era")
        return resp.status, raw

    async def _fetch(self, method: str, path: str, body: Any = None) -> Any | Failure:
        outcome = await self._call(method, path, body)
        if failed(outcome):
            return Failure(Kind.PLATFORM_DOWN, outcome.reason)
        status, raw = outcome
        if status != 200:
            return Failure(Kind.PLATFORM_DOWN, f"status {status}")
        try:
            return json.loads(raw)
        except ValueError:
            return Failure(Kind.PLATFORM_DOWN, "not JSON")

    async def _rows(self, path: str, body: Any) -> dict[str, Row] | Failure:
        found = await self._fetch("POST", path, body)
        if failed(found):
            return found
        era = self.era.current
        return {
            key: Row(row["value"], make_version(era, row["version"])) for key, row in found.items()
        }

    async def read(self, keys: Iterable[str]) -> dict[str, Row] | Failure:
        """Read rows in one call."""
        return await self._rows("/table/read", {"keys": list(keys)})

    async def scan(self, prefix: str) -> dict[str, Row] | Failure:
        """Read all rows under a prefix in one call."""
        return await self._rows("/table/scan", {"prefix": prefix})

    async def commit(self, tx: Transaction) -> Committed | Failure:
        """Send the transaction once; 409 is a conflict, 503 means that nothing was applied.

        A row of another era may have the number that a check names, so such a check is a conflict.
        """
        versions = tx.checks.values()
        if not all_of_era(versions, self.era.current):
            return RESTORED
        writes = {
            key: None if value is None else {**value, "write": tx.id}
            for key, value in tx.writes.items()
        }
        checks = {key: number_of(version) for key, version in tx.checks.items()}
        body = {"id": tx.id, "checks": checks, "writes": writes}
        outcome = await self._call("POST", "/table/commit", body)
        if failed(outcome):
            return outcome
        status, raw = outcome
        if status == 200 and not all_of_era(versions, self.era.current):
            return RESTORED
        if status == 200:
            return Committed(make_version(self.era.current, json.loads(raw)["version"]))
        kinds = {409: Kind.CONFLICT, 503: Kind.PLATFORM_DOWN}
        return Failure(kinds.get(status, Kind.OUTCOME_UNKNOWN), f"status {status}")

    async def get_object(self, name: str) -> bytes | None | Failure:
        """Fetch an object."""
        outcome = await self._call("GET", f"/objects/{name}")
        if failed(outcome):
            return Failure(Kind.PLATFORM_DOWN, outcome.reason)
        status, raw = outcome
        results = {200: raw, 404: None}
        return results.get(status, Failure(Kind.PLATFORM_DOWN, f"status {status}"))

    async def put_object(self, name: str, body: bytes) -> Failure | None:
        """Store an object."""
        outcome = await self._call("PUT", f"/objects/{name}", data=body)
        if failed(outcome):
            return outcome
        return None if outcome[0] == 200 else Failure(Kind.PLATFORM_DOWN, f"status {outcome[0]}")

    async def list_hosts(self) -> list[ListedHost] | Failure:
        """Read the host list."""
        found = await self._fetch("GET", "/hosts")
        if failed(found):
            return found
        return [ListedHost(row["id"], row["peer"], bool(row.get("leaving"))) for row in found]

    async def register_host(self, host: str, peer: str, draining: bool) -> Failure | None:
        """Add or update this host in the list."""
        body = {"id": host, "peer": peer, "leaving": draining}
        found = await self._fetch("POST", "/hosts", body)
        return found if failed(found) else None
