"""Claim rows, which record the incarnation that owns an idempotency key without a prefix."""

import hashlib

from peridotdock.clients.platform import Platform, Transaction, commit_and_resolve
from peridotdock.errors import Failure, Kind, Ran, failed
from peridotdock.keys import KeyTable, Owner, read_owner

KEY_PREFIX = "claims/"
CLAIM_RETENTION_SECONDS = 24 * 3600.0
SWEEP_SECONDS = 600.0
ROWS_PER_SWEEP = 200
PLATFORM_RETRY_SECONDS = 2.0


def claim_row_key(caller: str, key: str) -> str:
    """Return the row key of an idempotency key, hashed so that a caller cannot choose its row."""
    return KEY_PREFIX + hashlib.sha256(f"{caller}\0{key}".encode()).hexdigest()


async def find_owner(
    platform: Platform, table: KeyTable, incarnation: str, caller: str, key: str, now: float
) -> Owner | Failure:
    """Return the owner of a key, and claim the key for this incarnation when it has no owner.

    ``now`` is the time of day in seconds since 1970. Only the owner is agreed on. The table makes
    sure that only one insert takes effect; after a lost answer the insert is sent again and the row
    read back.
    """
    named = read_owner(key)
    if named is not None:
        return named
    row = claim_row_key(caller, key)
    value = {"owner": incarnation, "period": table.period(), "at": int(now)}
    outcome = await commit_and_resolve(platform, Transaction({row: 0}, {row: value}))
    if not failed(outcome):
        return Owner(incarnation, table.period())
    if outcome.kind is Kind.CONFLICT:
        rows = await platform.read([row])
        if not failed(rows) and row in rows:
            return Owner(rows[row].value["owner"], rows[row].value["period"])
    # Nothing was sent to an endpoint. If the claim was written, it names this incarnation, which
    # has no record of the key and so may still run it.
    return Failure(Kind.PLATFORM_DOWN, "no owner could be agreed", PLATFORM_RETRY_SECONDS, Ran.NO)


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
