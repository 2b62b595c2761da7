"""A relay deployment in one process: stand-ins for store and runners, real hosts and sockets."""

import asyncio
import json
import random
from functools import partial

import aiohttp

from extras.soak.gates import Gate, GatedAdapter, gate_ip
from extras.soak.ports import free_port
from peridotdock.context import build_context
from peridotdock.platform.adapter import PlatformAdapter
from peridotdock.relay.host import RelayHost
from peridotdock.relay.settings import Address, Bounds, HostSettings, Listen, parse_address
from peridotdock.schema.settings import Settings
from tests.standins.runner import RunnerStandin
from tests.standins.tables import TableStandin

BOUNDS = Bounds(2.0, 2.0, 2.0, 0.2, 58.0, 10.0, 0.2, 5.0, 1.1, 5.0)
STREAM = {
    "name": "recap",
    "host": "shop.example",
    "prefix": "/recap/",
    "kind": "stream",
    "timeout_ms": 6000,
    "target_latency_ms": 800,
    "service": "engines",
    "max_attempts": 2,
    "resumable": True,
    "gap_aim_ms": 400,
}
ROUTES = [
    STREAM,
    STREAM | {"name": "once", "prefix": "/once/", "resumable": False, "max_attempts": 1},
    {
        "name": "bind",
        "host": "shop.example",
        "prefix": "/bind/",
        "kind": "non_idempotent",
        "timeout_ms": 700,
        "service": "pages",
        "max_attempts": 2,
    },
    {
        "name": "fetch",
        "host": "shop.example",
        "prefix": "/fetch/",
        "kind": "idempotent",
        "timeout_ms": 3000,
        "service": "pages",
        "max_attempts": 2,
    },
]
MODELS = [
    {"name": "m0", "weights_mb": 60, "load_s": 0.3, "adapters": 2, "adapter_mb": 1},
    {"name": "m1", "weights_mb": 60, "load_s": 0.3, "adapters": 0, "adapter_mb": 1},
]
# Time after which the store removes the entry of an endpoint that has crashed.
ENTRY_EXPIRY_SECONDS = 0.5
ENGINE_CONFIG = {
    "slots": 8,
    "weights_mb": 200,
    "adapter_slots": 4,
    "loads_per_s": 5,
    "models": MODELS,
}
CONFIG = {
    "version": 1,
    "routes": ROUTES,
    "services": [{"name": "engines", "engine": ENGINE_CONFIG}, {"name": "pages"}],
}


def free_address():
    """Return a free address, at a port outside the range that the kernel assigns by itself.

    The kernel may reassign a port of its own range as soon as it is released, for example to a
    stand-in of another test run. Both then bind it, and the second to listen gets EADDRINUSE.
    """
    return Address("127.0.0.1", free_port())


class Deployment:
    """Runners of the services ``engines`` and ``pages``, some hosts, and a client session.

    If ``gated`` is set, each host reaches each runner through a gate of its own, and can be cut off
    from all of them. Hosts that are added while ``cut_from_start`` names a way start behind a cut.
    """

    def __init__(
        self, hosts=1, engines=(("e1", ("m0",)),), pages=("p1",), gated=False, bounds=BOUNDS
    ):
        self._count = hosts
        self._bounds = bounds
        self._gated = gated
        self._gates = []
        self.cut_from_start = ""
        # The most by which a timer of this process was late, in seconds, where a test records it.
        self.longest_pause = 0.0
        self.engines = {name: RunnerStandin(name, models) for name, models in engines}
        self.pages = {name: RunnerStandin(name) for name in pages}
        self.hosts = []

    async def __aenter__(self):
        self.store = await TableStandin().start()
        for service, runners in (("engines", self.engines), ("pages", self.pages)):
            for runner in runners.values():
                await runner.start()
                runner.on_change = partial(self._publish_entry, runner, service)
                runner.on_crash = partial(self._expire_entry, runner)
                runner.on_change()
        self.configure()
        await self._add_hosts("h")
        self.session = aiohttp.ClientSession(auto_decompress=False)
        await self._wait_until_discovered()
        return self

    async def _wait_until_discovered(self):
        await self.until(lambda: all(host.request_handler.deployment for host in self.hosts))
        runners = [*self.engines.values(), *self.pages.values()]
        names = {runner.name for runner in runners if not runner.crashed}
        await self.until(lambda: all(host.fleet.states.keys() == names for host in self.hosts))

    async def replace_hosts(self):
        """Stop all hosts and start as many at other addresses, as after a power failure."""
        old, self.hosts = self.hosts, []
        for host in old:
            await host.stop()
        await self._add_hosts("n")
        await self._wait_until_discovered()
        await self.until(lambda: any(host.leadership.holds() for host in self.hosts))
        await asyncio.sleep(ENTRY_EXPIRY_SECONDS)

    async def __aexit__(self, *exc):
        await self.session.close()
        for host in self.hosts:
            await host.stop()
        for gate in (gate for gates in self._gates for gate in gates):
            await gate.stop()
        for runner in (*self.engines.values(), *self.pages.values()):
            await runner.stop()
        await self.store.stop()

    async def _add_gates(self):
        """Open the gates of the next host to all runners; return the host's adapter."""
        if not self._gated:
            return PlatformAdapter()
        ip = gate_ip(len(self._gates))
        runners = (*self.engines.values(), *self.pages.values())
        self._gates.append([await Gate(runner.address, ip).start() for runner in runners])
        if self.cut_from_start:
            self.cut(len(self._gates) - 1, self.cut_from_start)
        return GatedAdapter(ip)

    def cut(self, host, way):
        """Cut a host off from all runners."""
        for gate in self._gates[host]:
            gate.cut(way)

    async def mend(self, host):
        """Let a host that was cut off reach all runners again."""
        for gate in self._gates[host]:
            await gate.mend()

    def _publish_entry(self, runner, service):
        self.store.put("servers", runner.name, runner.entry(service))

    def _expire_entry(self, runner):
        loop = asyncio.get_running_loop()
        loop.call_later(ENTRY_EXPIRY_SECONDS, self.store.remove, "servers", runner.name)

    def configure(self, **changes):
        self.store.put("op", "config", json.dumps(CONFIG | changes).encode())

    async def _add_hosts(self, prefix):
        seeds = ()
        for number in range(self._count):
            host = await self.add_host(f"{prefix}{number}", seeds)
            seeds = (host.settings.listen.peers,)

    async def replace_host(self, place):
        """Start a host at another address in place of one that is stopped."""
        old = self.hosts.pop(place)
        await old.stop()
        seeds = tuple(host.settings.listen.peers for host in self.hosts)
        host = await self.add_host(f"{old.settings.host}r", seeds)
        self.hosts.remove(host)
        await self.until(lambda: host.request_handler.deployment)
        self.hosts.insert(place, host)

    async def add_host(self, name, seeds):
        listen = Listen(*(free_address() for _ in range(5)))
        settings = HostSettings(
            name, "north", listen, seeds, parse_address(self.store.address), self._bounds
        )
        cfg = Settings(
            host_id=name,
            domain="north",
            platform_url="http://unused",
            cluster_key="a key of sixteen",
            peer_ip=listen.peers.ip,
            peer_port=listen.peers.port,
        )
        rng = random.Random(len(self.hosts) + 1)
        adapter = await self._add_gates()
        host = RelayHost(build_context(cfg, rng=rng), settings, adapter)
        # Tests send requests before the first holder of the lease tells how many hosts there are.
        host.retries.knows_hosts = lambda: True
        await host.start()
        self.hosts.append(host)
        return host

    async def until(self, condition, seconds=10.0):
        """Poll a condition every 0.01 s until it is true; raise TimeoutError after ``seconds``."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    def url(self, path, host=0):
        return f"http://{self.hosts[host].settings.listen.callers}{path}"

    async def send(self, path, attempt="a1", model="", to=0, body=b"", **headers):
        """Send a request to host ``to``; return status, headers and body.

        A client error gives status 0 and the exception in place of the body.
        """
        request_headers = {"host": "shop.example", "x-attempt-id": attempt, "x-deadline-ms": "6000"}
        if model:
            request_headers |= {
                "x-model": model,
                "x-token-counts": "900,20",
                "x-prompt-prefix": "aa:600,bb:300",
            }
        request_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        try:
            async with self.session.post(
                self.url(path, to), headers=request_headers, data=body
            ) as resp:
                return resp.status, resp.headers, await resp.read()
        except aiohttp.ClientError as exc:
            return 0, {}, exc
