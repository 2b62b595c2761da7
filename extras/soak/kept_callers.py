"""Callers that keep their connections to one host and use them until its process is gone."""

import asyncio
import itertools
import math
import random
import time
from collections.abc import Awaitable
from dataclasses import dataclass

from extras.soak.checks import SUCCESS, Kept, Record, read_ids
from extras.soak.deployment import HostProcess, SoakDeployment
from extras.soak.plan import Plan
from extras.soak.stops import FILE_BYTES, LONG_MODEL
from tests.kept_connection import Answer, KeptConnection, make_request
from tests.standins.runner import EVENTS_PER_STREAM

DEADLINE_SECONDS = 9.0
# Mean seconds between two uses of a connection, and until a host that refuses one is asked again.
MEAN_PAUSE_SECONDS = 0.15
RETRY_SECONDS = 0.1
# Slow callers read an answer within three seconds.
SLOW_RATE = FILE_BYTES / 3
# Bytes of a body of which the second half comes later, and the seconds until then.
BODY_BYTES = 2000
MIN_LATE_SECONDS = 0.2
MAX_LATE_SECONDS = 4.0
# Seconds between two looks at the loop of this process, and by which one must be late to count.
TICK_SECONDS = 0.02
MIN_LAG_SECONDS = 0.02
PAGE_BODY = b"whole answer"


@dataclass(frozen=True, slots=True)
class Request:
    """What a caller sends: ``seconds`` are what its route allows."""

    path: str
    seconds: float
    model: str = ""
    repeatable: bool = False


RECAP = Request("/recap/kept", 6.0, "m0", repeatable=True)
BIND = Request("/bind/kept", 0.7)
FETCH = Request("/fetch/kept", 3.0, repeatable=True)
# Requests by kind of caller, of which each use of a connection sends all at once.
KINDS = {
    "short": (RECAP,),
    "once": (BIND,),
    "page": (FETCH,),
    "long": (Request("/long/kept", 6.0, LONG_MODEL),),
    "late body": (Request("/form/kept", 10.0),),
    "slow reader": (Request("/files/kept", 10.0),),
    "pipeline": (Request("/recap/kept", 6.0, "m1", repeatable=True), BIND, FETCH),
}


def load_kept(
    deployment: SoakDeployment, record: Record, started_at: float, plan: Plan
) -> list[Awaitable[None]]:
    """Return the work of the callers: one of each kind at each host; and of a look at their lag."""
    rng = random.Random(plan.seed)
    work = [
        KeptCaller(host, kind, record, started_at, random.Random(rng.random())).run(plan.seconds)
        for host in deployment.hosts
        for kind in KINDS
    ]
    return [record_lags(record, started_at, plan.seconds), *work]


async def record_lags(record: Record, started_at: float, until: float) -> None:
    """Record when this process came late to a timer, in seconds since the start of the run."""
    before = time.monotonic() - started_at
    while before < until:
        await asyncio.sleep(TICK_SECONDS)
        now = time.monotonic() - started_at
        if now - before > TICK_SECONDS + MIN_LAG_SECONDS:
            record.lags.append((before, now))
        before = now


class KeptCaller:
    """One caller of one host; ``started_at`` is the start of the run in monotonic seconds."""

    def __init__(
        self, host: HostProcess, kind: str, record: Record, started_at: float, rng: random.Random
    ):
        self._host = host
        self._kind = kind
        self._record = record
        self._started_at = started_at
        self._rng = rng
        name = kind.replace(" ", "-")
        self._ids = (f"{host.name}-{name}-{count:05}" for count in itertools.count())

    def _now(self) -> float:
        return time.monotonic() - self._started_at

    async def run(self, until: float) -> None:
        """Use connections until ``until``, in seconds since the start of the run."""
        rate = SLOW_RATE if self._kind == "slow reader" else 0
        while self._now() < until:
            process, opened_at = self._host.incarnation, self._now()
            try:
                conn = await KeptConnection.open(self._host.address("front"), rate)
            except OSError:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            try:
                # Another process may have started meanwhile; then nobody knows which one took it.
                if process == self._host.incarnation:
                    await self._keep(conn, process, opened_at, until)
            finally:
                conn.close()

    async def _keep(
        self, conn: KeptConnection, process: str, opened_at: float, until: float
    ) -> None:
        """Use a connection until an answer ends it.

        A host may count the time of its first request from when the connection was opened.
        """
        came_at = opened_at
        while self._now() < until:
            closes = await self._use(conn, process, came_at)
            came_at = math.inf
            await asyncio.sleep(MEAN_PAUSE_SECONDS * 2 * self._rng.random())
            if closes:
                return

    async def _use(self, conn: KeptConnection, process: str, came_at: float) -> bool:
        """Send requests and read their answers; return whether the connection ends.

        ``came_at`` is the earliest time from which the host may count, if it is before now.
        """
        rows = [(next(self._ids), row) for row in KINDS[self._kind]]
        late = BODY_BYTES // 2 if self._kind == "late body" else 0
        raw = b"".join(
            make_request(
                row.path, name, round(1000 * DEADLINE_SECONDS), row.model, b"x" * (2 * late)
            )
            for name, row in rows
        )
        sent_at = self._now()
        conn.send(raw[: len(raw) - late])
        times = sent_at, min(sent_at, came_at)
        reading = asyncio.ensure_future(self._read(conn, process, times, rows))
        if late:
            seconds = self._rng.uniform(MIN_LATE_SECONDS, MAX_LATE_SECONDS)
            await asyncio.wait([reading], timeout=seconds)
            if not reading.done():
                conn.send(raw[-late:])
        return await reading

    async def _read(
        self,
        conn: KeptConnection,
        process: str,
        times: tuple[float, float],
        rows: list[tuple[str, Request]],
    ) -> bool:
        sent_at, came_at = times
        closes = ended = False
        for name, row in rows:
            answer = await conn.read_answer()
            self._record.kept.append(
                Kept(
                    name,
                    self._kind,
                    process,
                    sent_at,
                    self._now(),
                    answer.status,
                    answer.whole and is_right(answer, row),
                    came_at + min(row.seconds, DEADLINE_SECONDS),
                    row.repeatable,
                    ended,
                )
            )
            closes = closes or answer.closes
            ended = ended or (answer.whole and answer.closes)
        return closes


def is_right(answer: Answer, row: Request) -> bool:
    """Return whether a whole success has all that its endpoint sent."""
    if answer.status != SUCCESS:
        return True
    if row.model:
        return read_ids(answer.body) == list(range(1, EVENTS_PER_STREAM + 1))
    if row.path.startswith("/files/"):
        return len(answer.body) == FILE_BYTES
    return answer.body == PAGE_BODY
