"""Planned stops in series: hosts get SIGTERM one after the other and several at once."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Sequence

import aiohttp

from extras.soak.checks import Disturbance, PlannedStop, Record
from extras.soak.deployment import (
    GRACE_SECONDS,
    READY,
    STOP_MARGIN_SECONDS,
    HostProcess,
    SoakDeployment,
    ready_status,
)
from extras.soak.plan import Plan
from peridotdock.rendezvous import weigh
from tests.relay.deployment import ENGINE_CONFIG, STREAM
from tests.standins.runner import RunnerStandin

# Services and routes of their own: streams of four seconds, and answers that are read slowly.
LONG_MODEL = "m2"
LONG_ENGINE = ENGINE_CONFIG | {"models": [ENGINE_CONFIG["models"][0] | {"name": LONG_MODEL}]}
SERVICES = ({"name": "long", "engine": LONG_ENGINE}, {"name": "files"})
PAGE = {
    "host": "shop.example",
    "kind": "non_idempotent",
    "timeout_ms": 10000,
    "max_attempts": 1,
}
LONG_ROUTE = {
    "name": "long",
    "prefix": "/long/",
    "service": "long",
    "resumable": False,
    "max_attempts": 1,
}
ROUTES = (
    STREAM | LONG_ROUTE,
    PAGE | {"name": "files", "prefix": "/files/", "service": "files"},
    PAGE | {"name": "form", "prefix": "/form/", "service": "pages"},
)
FILE_BYTES = 1024 * 1024
# Seconds of each event of a stream.
SHORT_EVENT_SECONDS = 0.15
LONG_EVENT_SECONDS = 0.65
# Hosts that stop: one, two or half at once, half one after the other, or the hub.
WAYS = ("one", "two", "half", "half in turn", "hub")
# Seconds between the SIGTERMs of hosts that stop in turn, and between two such series.
MIN_TURN_SECONDS = 0.3
MAX_TURN_SECONDS = 1.5
MIN_PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 4.0
# Share of stops in which the signal comes twice, and the seconds until it comes again.
REPEATED_SHARE = 0.3
REPEAT_SECONDS = 1.0
# Seconds for which a sound engine is silent, and from one silence to the next.
SILENCE_SECONDS = 1.3
MIN_SOUND_SECONDS = 0.5
MAX_SOUND_SECONDS = 2.0
READY_POLL_SECONDS = 0.05
# Seconds after which a host that has started again counts as back, ready or not.
READY_TIMEOUT_SECONDS = 15.0


def add_services(deployment: SoakDeployment) -> None:
    """Give a deployment that has not started the services of these runs, by its number of hosts."""
    hosts = len(deployment.hosts)
    deployment.more_services, deployment.more_routes = SERVICES, ROUTES
    deployment.engine_count = max(deployment.engine_count, hosts)
    deployment.more_endpoints = max(2, hosts // 2)


def stop_in_series(
    deployment: SoakDeployment, record: Record, started_at: float, plan: Plan
) -> list[Awaitable[None]]:
    """Return the work of a plan of stops beside its callers and its faults."""
    for runner in deployment.engines:
        runner.delay_seconds = SHORT_EVENT_SECONDS
    for runner in deployment.more_runners:
        runner.delay_seconds, runner.page = LONG_EVENT_SECONDS, b"x" * FILE_BYTES
        if not runner.models:
            runner.delay_seconds = 0.0
    engines = [runner for runner in deployment.more_runners if runner.models]
    until = started_at + plan.seconds - GRACE_SECONDS
    return [
        Stops(deployment, record, started_at, random.Random(plan.seed)).run(until),
        silence_in_turn([*deployment.engines, *engines], until, random.Random(plan.seed)),
    ]


async def silence_in_turn(
    engines: Sequence[RunnerStandin], until: float, rng: random.Random
) -> None:
    """Let engines be silent for a moment, one after the other."""
    while time.monotonic() < until:
        await rng.choice(engines).freeze(SILENCE_SECONDS)
        await asyncio.sleep(rng.uniform(MIN_SOUND_SECONDS, MAX_SOUND_SECONDS))


class Stops:
    """Stops hosts and starts them again; series overlap, and one host at least is left alone."""

    def __init__(
        self, deployment: SoakDeployment, record: Record, started_at: float, rng: random.Random
    ):
        self._deployment = deployment
        self._record = record
        self._started_at = started_at
        self._rng = rng
        self._stopping: set[str] = set()

    async def run(self, until: float) -> None:
        """Begin one series after the other until ``until``, in monotonic seconds."""
        tasks = []
        ways: list[str] = []
        while time.monotonic() < until:
            ways = ways or self._rng.sample(WAYS, len(WAYS))
            way = ways.pop()
            tasks.append(asyncio.ensure_future(self._play(way, self._choose(way))))
            await asyncio.sleep(self._rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
        await asyncio.gather(*tasks)

    def _choose(self, way: str) -> list[HostProcess]:
        """Return the hosts of a series, which then count as stopping."""
        hosts = self._deployment.hosts
        free = [host for host in hosts if host.name not in self._stopping]
        if way == "hub":
            hub = max(hosts, key=lambda host: weigh("leader", host.name))
            chosen = [hub] if hub in free else []
        else:
            count = {"one": 1, "two": 2}.get(way, len(hosts) // 2)
            chosen = self._rng.sample(free, min(count, len(free)))
        chosen = chosen[: max(0, len(free) - 1)]
        self._stopping.update(host.name for host in chosen)
        return chosen

    async def _play(self, way: str, hosts: Sequence[HostProcess]) -> None:
        tasks = []
        for host in hosts:
            tasks.append(asyncio.ensure_future(self._stop(host)))
            if way == "half in turn":
                await asyncio.sleep(self._rng.uniform(MIN_TURN_SECONDS, MAX_TURN_SECONDS))
        await asyncio.gather(*tasks)

    async def _stop(self, host: HostProcess) -> None:
        """Stop a host, start it again, and return when it is ready."""
        repeats = self._rng.random() < REPEATED_SHARE
        process, since = host.incarnation, time.monotonic()
        self._deployment.host_ends[process] = since + GRACE_SECONDS - STOP_MARGIN_SECONDS
        host.signal(signal.SIGTERM)
        if repeats:
            await asyncio.sleep(REPEAT_SECONDS)
            host.signal(signal.SIGTERM)
        ended = await host.wait(since + GRACE_SECONDS - time.monotonic())
        self._record.stops[process] = PlannedStop(
            since - self._started_at, GRACE_SECONDS, killed=not ended
        )
        host.start()
        await wait_ready(host)
        self._stopping.discard(host.name)
        self._deployment.disturbed.append(Disturbance(host.name, since, time.monotonic()))


async def wait_ready(host: HostProcess) -> None:
    """Wait until a host that has started is ready, for some seconds at most."""
    until = time.monotonic() + READY_TIMEOUT_SECONDS
    async with aiohttp.ClientSession() as session:
        while await ready_status(session, host) != READY and time.monotonic() < until:
            await asyncio.sleep(READY_POLL_SECONDS)
