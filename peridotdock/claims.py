"""Claim rows, which record the incarnation that owns an idempotency key without a prefix.

Failure guarded against: the platform comes back from an older copy without the newest claims, the
caller repeats a key at another host, and that host claims it and runs the request a second time.
Owners write lost claims again, and until they have had the time, no host takes a missing claim for
a key without an owner.
"""

import hashlib
from dataclasses import dataclass, replace
from typing import Any

from peridotdock.clients.platform import Platform, Transaction, commit_and_resolve
from peridotdock.clients.versions import ABSENT, era_of
from peridotdock.clock import Clock
from peridotdock.errors import Failure, Kind, Ran, failed
from peridotdock.keys import KeyTable, Owner, read_owner
from peridotdock.leases import LeaseTable

KEY_PREFIX = "claims/"
CLAIM_RETENTION_SECONDS = 24 * 3600.0
SWEEP_SECONDS = 600.0
ROWS_PER_SWEEP = 200
PLATFORM_RETRY_SECONDS = 2.0
# Age of the oldest copy that the platform may return from.
MAX_COPY_AGE_SECONDS = 60.0
# Claims that are written again in one transaction.
ROWS_PER_WRITE = 100
NO_OWNER = Failure(Kind.PLATFORM_DOWN, "no owner could be agreed", PLATFORM_RETRY_SECONDS, Ran.NO)


@dataclass(frozen=True, slots=True)
class OwnClaim:
    """A claim of this incarnation: the value of its row, and when it was made (monotonic)."""

    value: dict[str, Any]
    at: float


def claim_row_key(caller: str, key: str) -> str:
    """Return the row key of an idempotency key, hashed so that a caller cannot choose its row."""
    return KEY_PREFIX + hashlib.sha256(f"{caller}\0{key}".encode()).hexdigest()


class Claims:
    """Finds the owners of keys, and claims keys without one for this incarnation.

    Until all leases that a restored platform may have lost have lapsed by ``lease_table``, owners
    write their lost claims again, and no key is claimed.
    """

    def __init__(
        self,
        platform: Platform,
        table: KeyTable,
        incarnation: str,
        clock: Clock,
        lease_table: LeaseTable,
    ):
        self._platform = platform
        self._table = table
        self._incarnation = incarnation
        self._clock = clock
        self._lease_table = lease_table
        self._recent: dict[str, OwnClaim] = {}
        self._lost: dict[str, OwnClaim] = {}
        self._unsettled: dict[str, int] = {}

    async def find_owner(self, caller: str, key: str, now: float) -> Owner | Failure:
        """Return the owner of a key, and claim the key for this incarnation when it has no owner.

        ``now`` is the time of day in seconds since 1970. Only the owner is agreed on. The table
        makes sure that only one insert takes effect; after a lost answer the insert is sent again
        and the row read back.
        """
        named = read_owner(key)
        if named is not None:
            return named
        row = claim_row_key(caller, key)
        if row in self._unsettled and not await self._withdraw(row):
            return NO_OWNER
        settled_for = self._lease_table.seconds_after_lost(self._platform.era.current)
        if settled_for <= 0:
            return await self._read_owner(row, retry_after=-settled_for)
        return await self._insert(row, now)

    async def _insert(self, row: str, now: float) -> Owner | Failure:
        era, period = self._platform.era.current, self._table.period()
        value = {"owner": self._incarnation, "period": period, "at": int(now)}
        outcome = await commit_and_resolve(self._platform, Transaction({row: ABSENT}, {row: value}))
        if failed(outcome) and outcome.kind is Kind.CONFLICT:
            return await self._read_owner(row)
        if failed(outcome):
            # Nothing was sent to an endpoint. If the claim was written, it names this incarnation,
            # which has no record of the key and so may still run it.
            return NO_OWNER
        if era_of(outcome.version) != era:
            # The platform was restored meanwhile, so another host's claim may have been lost.
            self._unsettled[row] = outcome.version
            await self._withdraw(row)
            return NO_OWNER
        self._remember(row, value)
        return Owner(self._incarnation, period)

    async def _read_owner(
        self, row: str, retry_after: float = PLATFORM_RETRY_SECONDS
    ) -> Owner | Failure:
        rows = await self._platform.read([row])
        if failed(rows) or row not in rows:
            return replace(NO_OWNER, retry_after=retry_after)
        return Owner(rows[row].value["owner"], rows[row].value["period"])

    async def _withdraw(self, row: str) -> bool:
        """Remove a claim that this host must not use; return whether it is gone."""
        checks = {row: self._unsettled[row]}
        outcome = await commit_and_resolve(self._platform, Transaction(checks, {row: None}))
        if failed(outcome) and outcome.kind is not Kind.CONFLICT:
            return False
        del self._unsettled[row]
        return True

    def _remember(self, row: str, value: dict[str, Any]) -> None:
        now = self._clock.monotonic()
        oldest = now - MAX_COPY_AGE_SECONDS
        self._recent = {key: own for key, own in self._recent.items() if own.at >= oldest}
        self._recent[row] = OwnClaim(value, now)

    # After a restore of the platform

    def expect_lost(self) -> None:
        """Treat own claims as lost that may be newer than the copy the platform came back from."""
        self._lost = dict(self._recent)

    async def write_again(self) -> int:
        """Write own claims again that a restored platform lacks; return how many.

        A failed call is repeated at the next step.
        """
        batch = dict(list(self._lost.items())[:ROWS_PER_WRITE])
        rows = await self._platform.read(batch) if batch else {}
        if failed(rows) or not batch:
            return 0
        writes = {row: own.value for row, own in batch.items() if row not in rows}
        if writes:
            tx = Transaction(dict.fromkeys(writes, ABSENT), writes)
            if failed(await commit_and_resolve(self._platform, tx)):
                return 0
        self._lost = {row: own for row, own in self._lost.items() if row not in batch}
        return len(writes)


async def sweep(platform: Platform, now: float) -> int:
    """Remove up to ``ROWS_PER_SWEEP`` claims older than a day; return how many.

    A key without a prefix is guaranteed to run at most once only within a day.
    """
    rows = await platform.scan(KEY_PREFIX)
    if failed(rows):
        return 0
    expired = [key for key, row in rows.items() if row.value["at"] < now - CLAIM_RETENTION_SECONDS]
    batch = expired[:ROWS_PER_SWEEP]
    if not batch:
        return 0
    checks = {key: rows[key].version for key in batch}
    outcome = await commit_and_resolve(platform, Transaction(checks, dict.fromkeys(batch)))
    return 0 if failed(outcome) else len(batch)
