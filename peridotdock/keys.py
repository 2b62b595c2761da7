"""Idempotency keys: a request with a key runs at most once, over all hosts and restarts.

Every key has one owner, the life of one host, and only that life ever runs it. A key that begins
with the prefix from ``/v1/addresses`` names its owner itself, so nothing has to be agreed or
stored. Any other key gets its owner by a claim row in the platform's table. The owner remembers
what became of each key; when the owner is gone, nobody runs the key again.
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
    """Who alone may run a key; ``period`` is that host's count of hours when it was issued."""

    incarnation: str
    period: int


@dataclass
class Record:
    """What became of a key at its owner. No outcome yet: it is in work."""

    fingerprint: bytes
    period: int
    outcome: Reply | Failure | None = None
    may_run_again: bool = False


def read_owner(key: str) -> Owner | None:
    """Return the owner that a key names itself, or None."""
    match = KEY_PATTERN.fullmatch(key)
    return Owner(match[1], int(match[2])) if match else None


def fingerprint(method: str, path: str, body: bytes) -> bytes:
    """Return what tells one request from another under the same key."""
    return hashlib.sha256(b"\0".join((method.encode(), path.encode(), body))).digest()


class KeyTable:
    """The keys that this life of this host owns."""

    def __init__(self, incarnation: str, clock: Clock, max_records: int):
        self._incarnation = incarnation
        self._clock = clock
        self._max_records = max_records
        self._started_at = clock.monotonic()
        self._records: OrderedDict[tuple[str, str], Record] = OrderedDict()
        self._bytes = 0

    def period(self) -> int:
        """Return the current period of this life, in hours since its start."""
        return int((self._clock.monotonic() - self._started_at) / PERIOD_SECONDS)

    def prefix(self) -> str:
        """Return what callers put before their own part of a key."""
        return f"{self._incarnation}.{self.period()}."

    def begin(self, caller: str, key: str, owner: Owner, digest: bytes) -> Record | Reply | Failure:
        """Start a key: a record to run it under, or the answer to give instead.

        A record is dropped only when its period is over, and it never began before its key was
        issued or claimed. So while the key's own period is kept, a missing record proves that
        the key never ran.
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
        """Note what became of a key. One that was not run may be tried again."""
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
