"""In-memory fakes of the clock, the platform and the engines, without network or real time."""

import asyncio
import heapq
import itertools
from datetime import UTC, datetime, timedelta

from peridotdock.clients.endpoint import EngineLoad, LoadedItem, Report
from peridotdock.clients.platform import Committed, Row
from peridotdock.clients.versions import StoreEra, all_of_era, make_version, number_of
from peridotdock.errors import Failure, Kind
from peridotdock.ledger import KEY_PREFIX

START = datetime(2026, 1, 1, tzinfo=UTC)


class FakeClock:
    """A clock that moves only in :meth:`advance`, which also wakes the sleepers that are due."""

    def __init__(self):
        self.time = 1000.0
        self._sleepers = []
        self._order = itertools.count()

    def monotonic(self):
        return self.time

    def now(self):
        return START + timedelta(seconds=self.time)

    async def sleep(self, seconds):
        woken = asyncio.get_running_loop().create_future()
        heapq.heappush(self._sleepers, (self.time + seconds, next(self._order), woken))
        await woken

    def advance(self, seconds):
        self.time += seconds
        while self._sleepers and self._sleepers[0][0] <= self.time:
            woken = heapq.heappop(self._sleepers)[2]
            if not woken.done():
                woken.set_result(None)


class FakePlatform:
    """The platform in memory.

    ``faults`` is a queue with the outcome of the next commits: ``ok``; ``down``: not applied;
    ``lost``: applied, but the answer is lost; ``late``: applied only by :meth:`apply_delayed`, and
    the answer is lost. :meth:`restore` brings back an older copy of the rows.
    """

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.version = 0
        self.era = StoreEra()
        self.era.accept(0)
        self.down = False
        self.faults = []
        self.delayed = []
        self.writes = 0

    async def read(self, keys):
        if self.down:
            return Failure(Kind.PLATFORM_DOWN)
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def scan(self, prefix):
        if self.down:
            return Failure(Kind.PLATFORM_DOWN)
        return {key: row for key, row in self.rows.items() if key.startswith(prefix)}

    async def commit(self, tx):
        if not all_of_era(tx.checks.values(), self.era.current):
            return Failure(Kind.CONFLICT, "the store was restored")
        return await self.commit_by_number(tx)

    async def commit_by_number(self, tx):
        """Commit as the store does, which checks the numbers of versions alone."""
        fault = self.faults.pop(0) if self.faults else "ok"
        if self.down or fault == "down":
            return Failure(Kind.PLATFORM_DOWN)
        if fault == "late":
            self.delayed.append(tx)
            return Failure(Kind.OUTCOME_UNKNOWN)
        outcome = self._apply(tx)
        return Failure(Kind.OUTCOME_UNKNOWN) if fault == "lost" else outcome

    def copy(self):
        return dict(self.rows), self.version

    def restore(self, copy):
        """Replace the rows by an older copy; numbers of versions are given out again."""
        rows, version = copy
        era = self.era.current + 1
        self.rows = {
            key: Row(row.value, make_version(era, number_of(row.version)))
            for key, row in rows.items()
        }
        self.version = make_version(era, number_of(version))
        self.era.accept(era)

    def apply_delayed(self):
        """Apply the delayed commits and return their outcomes."""
        delayed, self.delayed = self.delayed, []
        return [self._apply(tx) for tx in delayed]

    def _apply(self, tx):
        self.writes += 1
        for key, version in tx.checks.items():
            found = self.rows.get(key)
            if number_of(found.version if found else 0) != number_of(version):
                return Failure(Kind.CONFLICT)
        self.version += 1
        for key, value in tx.writes.items():
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = Row({**value, "write": tx.id}, self.version)
        return Committed(self.version)

    async def get_object(self, name):
        return Failure(Kind.PLATFORM_DOWN) if self.down else self.objects.get(name)

    async def put_object(self, name, body):
        if self.down:
            return Failure(Kind.PLATFORM_DOWN)
        self.objects[name] = body
        return None

    async def list_hosts(self):
        return Failure(Kind.PLATFORM_DOWN) if self.down else []

    async def register_host(self, host, peer, draining):
        return Failure(Kind.PLATFORM_DOWN) if self.down else None

    def ledger_rows(self):
        return {
            key.removeprefix(KEY_PREFIX): row
            for key, row in self.rows.items()
            if key.startswith(KEY_PREFIX)
        }


class FakeEngine:
    """The memory of an engine and its handling of orders.

    A fencing engine rejects an order whose number is below the highest that it has received, unless
    it has executed that order before.
    """

    def __init__(self, capacity, fencing):
        self.capacity = list(capacity)
        self.fencing = fencing
        self.boot_count = 1
        self.items = {}
        self.highest_order = 0
        self.executed = set()
        self.down = False

    def used(self):
        used = [0] * len(self.capacity)
        for held in self.items.values():
            for index in held.accelerators:
                used[index] += held.bytes
        return used

    def fits(self):
        return all(
            used <= capacity for used, capacity in zip(self.used(), self.capacity, strict=True)
        )

    def restart(self):
        self.boot_count += 1
        self.items.clear()
        self.highest_order = 0
        self.executed.clear()

    def execute(self, order):
        """Execute an order; return None, or the failure with which it is rejected."""
        if self.fencing:
            if order.number in self.executed:
                return None
            if order.number < self.highest_order:
                return Failure(Kind.FENCED)
            self.highest_order = order.number
        if order.action == "load":
            self.items[order.item] = LoadedItem(list(order.accelerators), order.bytes, True)
        else:
            self.items.pop(order.item, None)
        self.executed.add(order.number)
        return None

    def report(self):
        load = EngineLoad(0, 0, 0, 8, 1e4, 5000)
        return Report(str(self.boot_count), dict(self.items), load)


class FakeEndpoints:
    """Endpoints by URL.

    ``deliveries`` is a queue with the delivery of the next orders: ``now``; ``lost``: never
    arrives; ``late``: arrives in :meth:`deliver`; ``unanswered``: executed, but the answer is lost;
    ``twice``: executed at once, and again in :meth:`deliver`.
    """

    def __init__(self, engines, clock):
        self.engines = engines
        self.clock = clock
        self.deliveries = []
        self.undelivered = []

    async def report(self, url, since):
        engine = self.engines[url]
        return Failure(Kind.ENDPOINT_LOST) if engine.down else engine.report()

    async def order(self, url, order, timeout):
        delivery = self.deliveries.pop(0) if self.deliveries else "now"
        if delivery in ("late", "twice"):
            self.undelivered.append((self.clock.monotonic(), url, order))
        if delivery in ("lost", "late"):
            return Failure(Kind.ENDPOINT_LOST)
        outcome = self.engines[url].execute(order)
        return Failure(Kind.ENDPOINT_LOST) if delivery == "unanswered" else outcome

    def deliver(self, index, max_delay):
        """Deliver one undelivered order.

        An engine without fencing executes it only up to ``max_delay`` seconds after it was sent,
        the longest delay that such an engine is assumed to see; later orders are dropped.
        """
        sent_at, url, order = self.undelivered.pop(index % len(self.undelivered))
        engine = self.engines[url]
        if engine.fencing or self.clock.monotonic() - sent_at <= max_delay:
            engine.execute(order)


class FakeLease:
    def __init__(self):
        self.is_valid = True

    def valid(self, margin=0.0):
        return self.is_valid


class FakeLeaseTable:
    """A lease table in which the leases of the incarnations in ``lapsed`` have expired.

    ``after_lost`` are the seconds since all leases that the platform may have lost have expired.
    """

    def __init__(self):
        self.lapsed = set()
        self.loaded = True
        self.after_lost = 0.01

    def seconds_after_lost(self, era):
        return self.after_lost

    def prove_lapsed(self, incarnation):
        return {} if incarnation in self.lapsed else None


async def settle():
    """Run 10 iterations of the event loop, so that tasks that are ready make progress."""
    for _ in range(10):
        await asyncio.sleep(0)


class PermanentLease:
    """A leader's lease that never expires."""

    term = 1

    def holds(self):
        return True

    def may_order(self, engine=""):
        return True

    def record_order(self, engine):
        return 0.0

    def record_answer(self, engine, sent_at):
        pass

    def record_report(self, engine):
        pass
