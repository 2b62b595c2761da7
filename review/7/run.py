"""A host stands still, and the first runner of another software version joins meanwhile."""

import asyncio
import json
import signal
from pathlib import Path

from review.lib2.caller import Answer, call, prompt_headers
from review.lib2.hosts import HostProcess, start_hosts
from review.lib2.record import Record, run_case
from tests.standins.runner import RunnerStandin
from tests.standins.tables import TableStandin

HOSTS = 3
RUNNERS = 4
STREAMS = 16
EVENTS = 90
EVENT_SECONDS = 0.1
OLD, NEW = "1.4", "1.5"
# Callers leave a stream after this gap: four times the target, eight times the pause, or two
# seconds, whichever is longest.
GAP_SECONDS = 2.0
# Seconds before the first stream, longer than any stream may last.
SETTLE_SECONDS = 17.0
# Seconds from the first streams to the standstill, from that to the new runner, and how long the
# host stands still.
BEFORE_FREEZE = 1.0
BEFORE_RELEASE = 1.3
FREEZE_SECONDS = 7.0
# A refused caller comes once more, if that is within a third of its time.
DEADLINE_MS = 15_000
CONFIG = {
    "version": 1,
    "routes": [
        {
            "name": "chat",
            "host": "shop.example",
            "prefix": "/chat/",
            "kind": "stream",
            "service": "engines",
            "timeout_ms": 15000,
            "target_latency_ms": 500,
            "gap_aim_ms": 250,
            "max_attempts": 2,
            "resumable": True,
        }
    ],
    "services": [
        {
            "name": "engines",
            "engine": {
                "slots": 64,
                "weights_mb": 200,
                "adapter_slots": 4,
                "loads_per_s": 1.1,
                "models": [
                    {"name": "m0", "weights_mb": 60, "load_s": 1, "adapters": 0, "adapter_mb": 1}
                ],
            },
        }
    ],
}


class Fleet:
    """The runners of the service, which all hold the model m0."""

    def __init__(self, store: TableStandin):
        self._store = store
        self.runners: list[RunnerStandin] = []

    async def add(self, software: str) -> RunnerStandin:
        """Start a runner of a software version, and register it."""
        runner = await RunnerStandin(f"engine-{len(self.runners)}", ("m0",)).start()
        runner.software, runner.slots = software, 64
        runner.events, runner.delay_seconds = EVENTS, EVENT_SECONDS
        self.runners.append(runner)
        self._store.put("servers", runner.name, runner.entry("engines"))
        return runner

    def drain(self, runner: RunnerStandin) -> None:
        """Let a runner say that it drains."""
        self._store.put("servers", runner.name, runner.entry("engines", state="draining"))

    def versions(self, attempt: str) -> set[str]:
        """Return the software versions at which an attempt ran."""
        rows = (runner.software_by_attempt.get(attempt, ()) for runner in self.runners)
        return set().union(*rows)


async def take_up(record: Record, hosts: list[HostProcess], first: Answer, number: int) -> bool:
    """Take up a stream at another host, and once more if refused; return whether it goes on."""
    headers = prompt_headers(first.attempt)
    headers |= {"last-event-id": str(first.ids[-1]), "resumes": first.attempt}
    for turn in range(2):
        host = hosts[(number + turn) % len(hosts)]
        attempt = f"{first.attempt}-again-{turn}"
        found = await call(host.address("front"), "/chat/a", attempt, headers, DEADLINE_MS)
        record.add(f"{attempt} at {host.name}: {found.status}, events {found.ids[:1]} and on")
        if found.status == 200:
            return found.ids[:1] == [first.ids[-1] + 1]
        await asyncio.sleep(float(found.headers.get("retry-after", 0)))
    return False


async def stream(
    record: Record,
    host: HostProcess,
    others: list[HostProcess],
    number: int,
    leaves: asyncio.Event,
) -> bool | None:
    """Begin a stream; return whether it goes on after a break, None if it did not break."""
    attempt = f"stream-{number}"
    found = await call(
        host.address("front"),
        "/chat/a",
        attempt,
        prompt_headers(attempt),
        DEADLINE_MS,
        GAP_SECONDS,
        leaves,
    )
    record.add(
        f"{attempt} at {host.name}: {found.status}, {found.how} after event {found.ids[-1:]}"
    )
    if found.whole or not found.ids:
        return None
    return await take_up(record, others, found, number)


async def begin(record: Record, host: HostProcess, number: int) -> bool:
    """Begin a new stream; return whether it begins."""
    attempt = f"new-{number}"
    found = await call(
        host.address("front"), "/chat/a", attempt, prompt_headers(attempt), DEADLINE_MS
    )
    record.add(f"{attempt} at {host.name}: {found.status}, {len(found.ids)} events")
    return found.status == 200 and bool(found.ids)


async def play(record: Record, hosts: list[HostProcess], fleet: Fleet) -> list[str]:
    """Let a host that orders no runner stand still while its callers read streams."""
    host = next(row for row in hosts if not row.logged("lease_taken"))
    others = [row for row in hosts if row is not host]
    leaves = asyncio.Event()
    streams = [
        asyncio.ensure_future(stream(record, host, others, number, leaves))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(BEFORE_FREEZE)
    if record.trouble:
        host.signal(signal.SIGSTOP)
        record.add(f"{host.name} stands still (SIGSTOP)")
    stopped_at = asyncio.get_running_loop().time()
    await asyncio.sleep(BEFORE_RELEASE)
    await fleet.add(NEW)
    fleet.drain(fleet.runners[0])
    record.add(f"a runner of software {NEW} has joined, {fleet.runners[0].name} drains")
    await asyncio.sleep(GAP_SECONDS - BEFORE_RELEASE)
    if not record.trouble:
        leaves.set()
        record.add("the callers close their channels")
    new = [
        asyncio.ensure_future(begin(record, others[number % 2], number))
        for number in range(STREAMS)
    ]
    await asyncio.sleep(stopped_at + FREEZE_SECONDS - asyncio.get_running_loop().time())
    host.signal(signal.SIGCONT)
    record.add(f"{host.name} goes on")
    taken = [row for row in await asyncio.gather(*streams) if row is not None]
    begun = await asyncio.gather(*new)
    goes_on, begins = sum(taken) / max(1, len(taken)), sum(begun) / len(begun)
    serving = sum(row.software == OLD for row in fleet.runners[1:])
    record.add(f"{len(taken)} streams were taken up, {goes_on:.2f} of them go on")
    record.add(f"{begins:.2f} of {len(begun)} new streams begin; {serving} runners of {OLD} serve")
    if len(taken) < 12:
        raise RuntimeError("fewer than 12 streams were taken up")
    lost = goes_on < begins / 2
    return [f"of {len(taken)} streams {goes_on:.2f} go on, {begins:.2f} begin"] if lost else []


async def case(record: Record, folder: Path) -> list[str]:
    """Start a deployment, play the case, and end all processes."""
    store = await TableStandin().start()
    fleet = Fleet(store)
    hosts: list[HostProcess] = []
    try:
        for _ in range(RUNNERS):
            await fleet.add(OLD)
        store.put("op", "config", json.dumps(CONFIG).encode())
        hosts = start_hosts(HOSTS, folder, store.address)
        for host in hosts:
            await host.wait_ready()
        await asyncio.sleep(SETTLE_SECONDS)
        return await play(record, hosts, fleet)
    finally:
        for host in hosts:
            host.kill()
        for runner in fleet.runners:
            await runner.stop()
        await store.stop()


run_case(__file__, case)
