"""Idempotency keys: a request with a key runs at most once, across all hosts and restarts.

Every key has one owner, an incarnation of a host, and only the owner runs it. A key with the prefix
from ``/v1/addresses`` names its owner, so nothing has to be agreed on or stored. Any other key gets
its owner by a claim row in the platform's table. The owner records the outcome of each key; after
the owner is gone, no host runs the key again.
"""

import hashlib
import re
from collections import OrderedDict
from dataclasses import dataclass

from peridotdock.clock import Clock
from peridotdock.errors import Failure, Kind, failed
from peridotdock.requests import Reply

KEY_PATTERN = re.compile(r"([A-Za-z0-9_-]+-[0-9a-f]{16})\.(\d{1,6})\.([\x21-\x7e]{8,200})")
MAX_KEY_CHARS = 256
PERIOD_SECONDS = 3600.0
KEPT_PERIODS = 2
MAX_ANSWER_BYTES = 256 * 1024
MAX_TOTAL_BYTES = 64 * 1024 * 1024
BUSY_RETRY_SECONDS = 0.5


@dataclass(frozen=True)
class Owner:
    """The incarnation that may run a key, and its period (in hours) when the key was issued."""

    incarnation: str
    period: int


@dataclass
class Record:
    """The state of a key at its owner; without an outcome it is running or may run again."""

    fingerprint: bytes
    period: int
    outcome: Reply | Failure | None = None
    may_run_again: bool = False


def read_owner(key: str) -> Owner | None:
    """Return the owner named in a key's prefix, or None for a key without one."""
    match = KEY_PATTERN.fullmatch(key)
    return Owner(match[1], int(match[2])) if match else None


def fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Return a digest that distinguishes different requests under the same key."""
    return hashlib.sha256(b"\0".join((method.encode(), path.encode(), body))).digest()


class KeyTable:
    """The keys that this incarnation of the host owns."""

    def __init__(self, incarnation: str, clock: Clock, max_records: int):
        self._incarnation = incarnation
        self._clock = clock
        self._max_records = max_records
        self._started_at = clock.monotonic()
        self._records: OrderedDict[tuple[str, str], Record] = OrderedDict()
        self._bytes = 0

    def period(self) -> int:
        """Return the current period, in hours since the start of this incarnation."""
        return int((self._clock.monotonic() - self._started_at) / PERIOD_SECONDS)

    def prefix(self) -> str:
        """Return the prefix that callers put before their own part of a key."""
        return f"{self._incarnation}.{self.period()}."

    def begin(self, caller: str, key: str, owner: Owner, digest: bytes) -> Record | Reply | Failure:
        """Return a record under which to run the request, or the outcome to return instead.

        A record is evicted only after its period has expired, and it is never created before its
        key was issued or claimed. So while records of the key's own period are kept, a missing
        record proves that the key never ran.
        """
        self._evict_expired()
        if owner.period > self.period():
            return Failure(Kind.BAD_REQUEST, "the key's prefix was never given out")
        record = self._records.get((caller, key))
        if record is not None:
            return self._resolve_repeat(record, digest)
        if owner.period <= self.period() - KEPT_PERIODS:
            return Failure(Kind.KEY_EXPIRED)
        if len(self._records) >= self._max_records:
            return Failure(Kind.KEYS_FULL, "", PERIOD_SECONDS)
        record = Record(digest, self.period())
        self._records[(caller, key)] = record
        return record

    def _resolve_repeat(self, record: Record, digest: bytes) -> Record | Reply | Failure:
        if record.fingerprint != digest:
            return Failure(Kind.KEY_REUSED)
        if record.may_run_again:
            record.may_run_again = False
            return record
        if record.outcome is None:
            return Failure(Kind.KEY_IN_PROGRESS, "", BUSY_RETRY_SECONDS)
        return record.outcome

    def end(self, record: Record, outcome: Reply | Failure) -> None:
        """Record the outcome of a key; after a failure without a run the key may be used again."""
        if failed(outcome) and not outcome.may_have_run:
            record.may_run_again = True
            return
        if failed(outcome):
            record.outcome = outcome
            return
        size = len(outcome.body) if isinstance(outcome.body, bytes) else MAX_ANSWER_BYTES + 1
        if size > MAX_ANSWER_BYTES or self._bytes + size > MAX_TOTAL_BYTES:
            record.outcome = Failure(Kind.KEY_RAN)
            return
        self._bytes += size
        record.outcome = outcome

    def _evict_expired(self) -> None:
        oldest = self.period() - KEPT_PERIODS
        while self._records:
            record_key, record = next(iter(self._records.items()))
            if record.period > oldest or (record.outcome is None and not record.may_run_again):
                return
            del self._records[record_key]
            if isinstance(record.outcome, Reply):
                self._bytes -= len(record.outcome.body)
