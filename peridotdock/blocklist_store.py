"""Stores the block list in the platform's store, written by one host at a time for all.

Failure guarded against: all hosts lose power at once, and a request that ended three engines before
arrives again. Hosts have no persistent state, so it would end three more. The cost is one row,
written when a request or a prompt part is newly blocked and read by each host that becomes the
writer, and by each host that starts: the hosts that saw the ends may be gone by then.
"""

from collections.abc import Callable
from dataclasses import asdict, replace

import msgspec

from peridotdock.blocklist import PART_REMEMBERED_SECONDS, Blocklist, causes_of
from peridotdock.clients.platform import Platform, Transaction, commit_and_resolve
from peridotdock.clients.versions import ABSENT
from peridotdock.context import Context
from peridotdock.decisions.poison import describe
from peridotdock.errors import failed
from peridotdock.ranges import ROW_ERRORS, AgeSeconds, ClockSeconds
from peridotdock.schema.messages import EndpointEnd

BLOCKED_KEY = "blocked"
# Interval of the checks for newly blocked requests.
BLOCKLIST_CHECK_SECONDS = 1.0
# Newest ends that the row holds, well below the size limit of a row.
MAX_STORED_ENDS = 200
# Calls in which a host that starts tries to read the row.
MAX_READS_AT_START = 3
# Exceptions that decoding a row written by another version may raise.
DECODE_ERRORS = ROW_ERRORS


class BlocklistStore:
    """Reads and writes the row while ``is_writer`` returns True, for one host at a time."""

    def __init__(
        self, ctx: Context, store: Platform, is_writer: Callable[[], bool], blocklist: Blocklist
    ):
        self._ctx = ctx
        self._store = store
        self._is_writer = is_writer
        self._blocklist = blocklist
        self._has_read = False
        self._reads_at_start = MAX_READS_AT_START
        self._era = 0
        self._version = ABSENT
        self._stored_causes: frozenset[str] = frozenset()

    async def step(self) -> None:
        """Read the row once after becoming the writer; write it when a request is newly blocked.

        The row is read again when the store has returned from an older copy, which may lack it.
        """
        if not self._is_writer() or self._era != self._store.era.current:
            self._has_read = False
        if not self._is_writer():
            await self._read_at_start()
            return
        if not self._has_read and not await self._read():
            return
        ends = self._blocklist.ends_of_blocked()
        self._blocklist.adopt(ends)
        causes = frozenset().union(*map(causes_of, ends))
        if causes - self._stored_causes:
            await self._write(ends, causes)

    async def _read_at_start(self) -> None:
        """Read the row without becoming the host that keeps it."""
        if not self._reads_at_start:
            return
        self._reads_at_start -= 1
        rows = await self._store.read([BLOCKED_KEY])
        if failed(rows):
            return
        self._reads_at_start = 0
        row = rows.get(BLOCKED_KEY)
        self._blocklist.learn(self._decode(row.value) if row else [])

    async def _read(self) -> bool:
        rows = await self._store.read([BLOCKED_KEY])
        if failed(rows):
            return False
        row = rows.get(BLOCKED_KEY)
        self._version = row.version if row else ABSENT
        ends = self._decode(row.value) if row else []
        self._stored_causes = frozenset().union(*map(causes_of, ends))
        self._reads_at_start = 0
        self._blocklist.adopt(ends)
        self._has_read, self._era = True, self._store.era.current
        return True

    async def _write(self, ends: list[EndpointEnd], causes: frozenset[str]) -> None:
        written_at = self._ctx.clock.now().timestamp()
        newest = sorted(ends, key=lambda end: end.age)[:MAX_STORED_ENDS]
        value = {"written_at": written_at, "ends": [asdict(end) for end in newest]}
        tx = Transaction({BLOCKED_KEY: self._version}, {BLOCKED_KEY: value})
        outcome = await commit_and_resolve(self._store, tx)
        if failed(outcome):
            # Another host wrote, or the store is down: the row is read again at the next step.
            self._has_read = False
            self._ctx.timeline.add("blocked_not_kept", "WARNING", detail=outcome.reason)
            return
        self._version, self._stored_causes = outcome.version, causes
        self._ctx.timeline.add("blocked_kept", detail=", ".join(map(describe, sorted(causes))))

    def _decode(self, value: dict) -> list[EndpointEnd]:
        """Return the ends in a row, with their ages corrected by the time of day.

        The clocks of hosts differ by some seconds, which is small against the ten minutes for which
        an end counts.
        """
        try:
            written_at = msgspec.convert(value["written_at"], ClockSeconds)
            passed = max(0.0, self._ctx.clock.now().timestamp() - written_at)
            rows = msgspec.convert(value["ends"], list[EndpointEnd])
            for row in rows:
                msgspec.convert(row.age, AgeSeconds)
        except DECODE_ERRORS as exc:
            detail = f"{BLOCKED_KEY}: {type(exc).__name__}: {exc}"
            self._ctx.timeline.add("rows_refused", "ERROR", detail=detail)
            return []
        ends = [replace(row, age=row.age + passed) for row in rows]
        return [end for end in ends if end.age < PART_REMEMBERED_SECONDS]
