"""``make bench-control``: the CPU time of control on one host, by its role, as JSON lines.

This process runs one real host: the hub, which holds the lease too, as the first host in the order
of hosts does; a lease holder that is not the hub; or an ordinary host. A child process simulates
all other hosts, the engines and the store. The simulated hosts publish facts as often and as large
as real hosts under load do. CPU time is that of the real host's process alone. A second measurement
runs under a profiler and lists the most expensive functions. ``--role`` limits the run to one role.
"""

import argparse
import asyncio
import cProfile
import json
import multiprocessing
import os
import pstats
import random
import sys
import time
from collections.abc import Awaitable, Callable, Collection, Iterable
from dataclasses import dataclass
from multiprocessing.connection import Connection

from peridotdock.clock import SystemClock
from peridotdock.context import build_context
from peridotdock.fact_table import FactTable
from peridotdock.links import Link
from peridotdock.membership import Membership
from peridotdock.mesh import Mesh
from peridotdock.platform.adapter import PlatformAdapter
from peridotdock.relay.aggregation import encode_work
from peridotdock.relay.host import (
    DEMAND_INTERVAL_SECONDS,
    HUB_FACTS_PER_SECOND,
    WORK_INTERVAL_SECONDS,
    RelayHost,
)
from peridotdock.relay.peers import HUB_TOPICS
from peridotdock.relay.requests import InferenceSpec, PromptPart
from peridotdock.relay.settings import Address, HostSettings, Listen, parse_address
from peridotdock.schema.messages import DemandFact, HostFact, OrdersFact, Rows, WantsFact
from peridotdock.schema.settings import Settings
from tests.builders import facts_of
from tests.relay.deployment import BOUNDS, CONFIG, ENGINE_CONFIG, free_address
from tests.standins.runner import RunnerStandin
from tests.standins.tables import TableStandin

ROLES = ("ordinary", "hub", "holder")
MEASURED_HOST_ID = "host-000"
PLAYED_HUB = "host-001"
CLUSTER_KEY = "a key of sixteen"
# The load of one host on a busy day: requests per second, seconds per request, prompt tokens.
REQUESTS_PER_SECOND = 4.0
REQUEST_SECONDS = 1.5
PROMPT_TOKENS = 2000
# Share of the publications of a host in which the models that requests wait for have changed.
WANTS_CHANGE_SHARE = 0.1
ITEMS_IN_DEMAND = 12
MODELS_PER_ENGINE = 2
ROWS_INTERVAL_SECONDS = 0.3
ORDERS_INTERVAL_SECONDS = 0.5
SETTLE_SECONDS = 12.0


@dataclass(frozen=True)
class Size:
    """The number of hosts, engines and models of the deployment."""

    hosts: int
    engines: int
    models: int


def model_names(size: Size) -> list[str]:
    """Return the names of all models."""
    return [f"m{number}" for number in range(size.models)]


def make_config(size: Size) -> dict:
    """Return a configuration document with all models on one engine service."""
    models = [
        {"name": name, "weights_mb": 66000, "load_s": 5.0, "adapters": 20, "adapter_mb": 12}
        | {"warm_s": 0.38, "disk_s": 1.0}
        for name in model_names(size)
    ]
    engine = ENGINE_CONFIG | {
        "weights_mb": 200000,
        "adapter_slots": 8,
        "loads_per_s": 3,
        "slots": 64,
    }
    services = [{"name": "engines", "engine": engine | {"models": models}}, {"name": "pages"}]
    return CONFIG | {"services": services}


class SimulatedHost:
    """A simulated host: it links to one address and publishes facts, and does nothing else."""

    def __init__(self, number: int, size: Size, power: int, rng: random.Random):
        self.name = f"host-{number:03}"
        self._size = size
        self._rng = rng
        self.address = free_address()
        cfg = Settings(
            host_id=self.name,
            domain=f"zone-{number % 4}",
            platform_url="http://unused",
            cluster_key=CLUSTER_KEY,
            peer_ip=self.address.ip,
            peer_port=self.address.port,
        )
        ctx = build_context(cfg, rng=rng)
        self.facts = FactTable(self.name, ctx.epoch, ctx.clock)
        self.mesh = Mesh(ctx, self.facts, lambda digest: b"", lambda found: [], self._select_links)
        entry = f"10.0.0.{number}:8080"
        own = HostFact(
            self.name, ctx.incarnation, cfg.domain, entry, str(self.address), "live", 0, power
        )
        self.membership = Membership(self.facts, own, ctx.clock)
        self.incarnation = ctx.incarnation

    def _select_links(self, slot: tuple[str, str], links: Collection[Link]) -> Iterable[Link]:
        return links if slot[0] == self.name else ()

    def publish_work(self, engines: list[str]) -> None:
        """Publish the load of some engines and, at times, the models that requests wait for."""
        rng = self._rng
        busy = rng.sample(engines, min(len(engines), 5))
        self.facts.publish("work", encode_work({name: (1, rng.randrange(4000)) for name in busy}))
        if rng.random() < WANTS_CHANGE_SHARE:
            items = {rng.choice(model_names(self._size)): 1}
            self.facts.publish("wants", WantsFact(items if rng.random() < 0.5 else {}, []))

    def publish_demand(self) -> None:
        """Publish the demand of callers."""
        names = self._rng.sample(model_names(self._size)[:20], ITEMS_IN_DEMAND)
        items = [f"{name}/a{self._rng.randrange(20)}" for name in names[::2]] + names[1::2]
        rates = {item: round(self._rng.random() * 0.05, 4) for item in items}
        self.facts.publish("demand", DemandFact(rates, {}, [], rates))


class SimulatedHub(SimulatedHost):
    """The simulated hub: it relays the facts of all other simulated hosts."""

    upward_topics: frozenset[str] = frozenset()

    def _select_links(self, slot: tuple[str, str], links: Collection[Link]) -> Iterable[Link]:
        return links if slot[1] not in HUB_TOPICS or slot[1] in self.upward_topics else ()

    def merge_facts_of(self, other: SimulatedHost) -> None:
        """Merge the facts of another simulated host."""
        self.facts.merge(facts_of(other.facts, [(other.name, t) for t in ("host", *HUB_TOPICS)]))


class SimulatedDeployment:
    """The simulated hosts, the engines and the store: all but the measured host."""

    def __init__(self, size: Size, role: str, rng: random.Random):
        self._size = size
        self._role = role
        self._rng = rng
        self.store = TableStandin()
        self.engines: list[RunnerStandin] = []
        self.hosts: list[SimulatedHost] = []
        self.hub = SimulatedHub(1, size, int(role != "hub"), rng)
        self.hub.upward_topics = frozenset({"wants", "demand"} if role == "holder" else ())
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start the store with its rows, the engines and the hosts."""
        await self.store.start()
        self.store.put("op", "config", json.dumps(make_config(self._size)).encode())
        names = model_names(self._size)
        for number in range(self._size.engines):
            first = number * MODELS_PER_ENGINE
            held = [names[(first + n) % len(names)] for n in range(MODELS_PER_ENGINE)]
            engine = await RunnerStandin(f"engine-{number:03}", held).start()
            self.engines.append(engine)
            engine.on_change = self._register(engine)
            engine.on_change()
        if self._role == "ordinary":
            row = {"holder": self.hub.incarnation, "machine": "", "term": 1}
            self.store.put("peridotdock", "leader", row)
        count = range(2, self._size.hosts)
        self.hosts = [SimulatedHost(number, self._size, 0, self._rng) for number in count]
        for host in (self.hub, *self.hosts):
            host.membership.beat()
        await self.hub.mesh.start()

    def _register(self, engine: RunnerStandin) -> Callable[[], None]:
        disk = model_names(self._size)[:20]
        warm = {"at_hand": {"in_memory": disk[:6], "on_disk": disk}}
        return lambda: self.store.put("servers", engine.name, engine.entry("engines", **warm))

    def start_publishing(self, measured: str) -> None:
        """Start to publish facts; if the measured host is the hub, link all hosts to it."""
        hosts = [self.hub, *self.hosts]
        names = [engine.name for engine in self.engines]
        slow = self._size.hosts / HUB_FACTS_PER_SECOND
        for host in hosts:
            if self._role == "hub":
                host.mesh.connect_to_seed(measured)
            work = max(WORK_INTERVAL_SECONDS, slow)
            self._repeat(host.membership.beat_seconds, host.membership.beat)
            self._repeat(lambda work=work: work, lambda host=host: host.publish_work(names))
            self._repeat(lambda: DEMAND_INTERVAL_SECONDS, host.publish_demand)
        if self._role == "ordinary":
            self._repeat(lambda: ORDERS_INTERVAL_SECONDS, self._publish_orders)
            self._repeat(lambda: ROWS_INTERVAL_SECONDS, self._publish_rows)
        if self._role != "hub":
            self._repeat(lambda: WORK_INTERVAL_SECONDS, lambda: self._publish_loads(names))
            self._repeat(lambda: slow, self._relay_facts)

    def _relay_facts(self) -> None:
        """Let the simulated hub relay new facts, at the rate of a hub with this many links."""
        for host in self.hosts:
            self.hub.merge_facts_of(host)

    def _repeat(self, seconds: Callable[[], float], work: Callable[[], None]) -> None:
        async def repeat() -> None:
            await asyncio.sleep(self._rng.random() * seconds())
            while True:
                work()
                await asyncio.sleep(seconds())

        self._tasks.append(asyncio.create_task(repeat()))

    def _publish_orders(self) -> None:
        loads = {"engines": [round(self._rng.random(), 2)]}
        self.hub.facts.publish("orders", OrdersFact(1, [], loads=loads))

    def _publish_rows(self) -> None:
        now, version = time.monotonic_ns(), self.store.version
        for table in ("op", "servers"):
            frame = Rows("rows", table, self.hub.incarnation, now, version, version, {}, False)
            self.hub.mesh.send_rows(frame)

    def _publish_loads(self, names: list[str]) -> None:
        rows = {name: (5, self._rng.randrange(9000)) for name in names}
        self.hub.facts.publish("loads", encode_work(rows))


def simulate_others(size: Size, role: str, pipe: Connection) -> None:
    """Simulate all but the measured host; this runs in a child process."""

    async def run() -> None:
        deployment = SimulatedDeployment(size, role, random.Random(1))
        await deployment.start()
        pipe.send((deployment.store.address, str(deployment.hub.address)))
        loop = asyncio.get_running_loop()
        measured = await loop.run_in_executor(None, pipe.recv)
        deployment.start_publishing(measured)
        await asyncio.Event().wait()

    asyncio.run(run())


def make_host(store: str, hub: str, role: str) -> RelayHost:
    """Return the measured host, configured for a role."""
    listen = Listen(*(free_address() for _ in range(4)))
    seeds: tuple[Address, ...] = () if role == "hub" else (parse_address(hub),)
    link = 1000.0 if role == "hub" else 10.0
    settings = HostSettings(
        MEASURED_HOST_ID, "zone-0", listen, seeds, parse_address(store), BOUNDS, link_mbps=link
    )
    cfg = Settings(
        host_id=MEASURED_HOST_ID,
        domain="zone-0",
        platform_url="http://unused",
        cluster_key=CLUSTER_KEY,
        peer_ip=listen.peers.ip,
        peer_port=listen.peers.port,
    )
    return RelayHost(
        build_context(cfg, SystemClock(), random.Random(2)), settings, PlatformAdapter()
    )


async def simulate_requests(host: RelayHost) -> None:
    """Record requests in the host's fleet, without sending any."""
    rng = random.Random(3)
    loop = asyncio.get_running_loop()
    for number in range(1_000_000):
        states = list(host.fleet.states.values())
        inference = InferenceSpec("m0", "", PROMPT_TOKENS, 50, (PromptPart("a", 1000),))
        if states:
            state, request_id = rng.choice(states), f"r{number}"
            host.fleet.request_sent(state, request_id, inference, PROMPT_TOKENS)
            host.peers.demand_meter.add(f"m{rng.randrange(20)}", 0.05, time.monotonic())
            loop.call_later(0.1, host.fleet.first_token_received, state, request_id, inference)
            loop.call_later(
                REQUEST_SECONDS, host.fleet.request_ended, state, request_id, "engines", False
            )
        await asyncio.sleep(1 / REQUESTS_PER_SECOND)


async def measure_cores(seconds: float) -> float:
    """Let the host run for some seconds and return its CPU seconds per second."""
    started_at, used = time.monotonic(), time.process_time()
    await asyncio.sleep(seconds)
    return (time.process_time() - used) / (time.monotonic() - started_at)


def format_profile(profile: cProfile.Profile, seconds: float, count: int) -> list[str]:
    """Return a table of the functions with the most cumulative CPU time."""
    rows = []
    for (path, _, name), (_, calls, own, whole, _) in pstats.Stats(profile).stats.items():
        if "peridotdock" in path or own / seconds > 0.002:
            function = f"{os.path.basename(path)}:{name}"
            rows.append((whole / seconds, own / seconds, calls / seconds, function))
    rows.sort(reverse=True)
    lines = [f"{'ms/s below':>10} {'ms/s own':>9} {'calls/s':>8}"]
    for whole, own, calls, function in rows[:count]:
        lines.append(f"{whole * 1000:10.2f} {own * 1000:9.2f} {calls:8.1f}  {function}")
    return lines


async def measure(
    role: str, pipe: Connection, seconds: float, wait: Callable[[RelayHost], Awaitable[None]]
) -> tuple[dict, cProfile.Profile]:
    """Run the host in a role; return its figures, and a profile over another ``seconds``."""
    store, hub = pipe.recv()
    host = make_host(store, hub, role)
    await host.start()
    pipe.send(str(host.settings.listen.peers))
    driver = asyncio.create_task(simulate_requests(host))
    await wait(host)
    cores = await measure_cores(seconds)
    with open("/proc/self/statm") as statm:
        mb = int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    profile = cProfile.Profile()
    profile.enable()
    profiled = await measure_cores(seconds)
    profile.disable()
    figures = {
        "role": role,
        "cores": round(cores, 4),
        "profiled_cores": round(profiled, 4),
        "memory_mb": round(mb, 1),
        "links": len(host.peers.mesh.peers()),
        "live": len(host.peers.membership.live()),
        "term": host.leadership.term,
        "endpoints": len(host.fleet.states),
    }
    driver.cancel()
    await host.stop()
    return figures, profile


async def settle(host: RelayHost) -> None:
    """Wait until the work of the start is done."""
    await asyncio.sleep(SETTLE_SECONDS)


def main() -> int:
    """Measure the roles in turn."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--role", choices=ROLES, action="append")
    parser.add_argument("--hosts", type=int, default=83)
    parser.add_argument("--engines", type=int, default=64)
    parser.add_argument("--models", type=int, default=74)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument(
        "--top", type=int, default=0, help="number of functions to show for each role"
    )
    options = parser.parse_args()
    size = Size(options.hosts, options.engines, options.models)
    spawn = multiprocessing.get_context("spawn")
    for role in options.role or ROLES:
        pipe, theirs = spawn.Pipe()
        child = spawn.Process(target=simulate_others, args=(size, role, theirs), daemon=True)
        child.start()
        try:
            figures, profile = asyncio.run(measure(role, pipe, options.seconds, settle))
        finally:
            child.terminate()
            child.join()
        print(json.dumps(figures | vars(size)), flush=True)
        if options.top:
            print("\n".join(format_profile(profile, options.seconds, options.top)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
