"""The deployment of one soak run: host processes, with stand-ins for store and endpoints.

The hosts reach the stand-ins through proxies that inject network faults.
"""

import asyncio
import itertools
import json
import os
import random
import signal
import subprocess
import sys
import time
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

import aiohttp

from extras.soak.checks import (
    QUOTA_OVER,
    QUOTA_SLACK_UNITS,
    QUOTA_WINDOW_SECONDS,
    RETRY_EXTRA,
    RETRY_SHARE,
    RETRY_WINDOW_SECONDS,
    Disturbance,
    LimitedEndpoint,
)
from extras.soak.gated_host import GATES_VARIABLE
from extras.soak.gates import gate_ip
from extras.soak.partitions import Partitions
from extras.soak.plan import Fault
from extras.soak.ports import free_port
from extras.soak.proxy import Proxy
from tests.relay.deployment import CONFIG, ENGINE_CONFIG, ROUTES
from tests.standins.runner import COPY_TIMES, RunnerStandin
from tests.standins.tables import TableStandin

ROOT = Path(__file__).resolve().parents[2]
ENGINES = 3
PAGES = 3
# Engines of a deployment where each has all models.
ALIKE_ENGINES = 4
# Text of a log line of a host that forwarded a request to another one.
FORWARDED_EVENT = '"event": "forwarded"'
# Models that fit on an engine of the configuration: each uses 60 of 200 MB.
MODELS_FIT = 3
EVENT_SECONDS = 0.03
PAGE_SECONDS = 0.02
# Half of the seconds for which a draining endpoint still serves.
DRAIN_SECONDS = 2.0
START_TIMEOUT_SECONDS = 60.0
READY = 200
STOP_SECONDS = 3
# The platform's own, in seconds.
GRACE_SECONDS = 8
# Seconds before the end of that by which a stopping host ends all answers.
STOP_MARGIN_SECONDS = 0.7
# Requests that a brittle endpoint runs at once, and refusals in a second that it bears.
BRITTLE_SLOTS = 8
BRITTLE_REFUSALS = 3
# The body of a request that crashes each endpoint that starts to run it, and the seconds until
# another endpoint replaces a crashed one.
POISON_BODY = b"a request that no endpoint survives"
REPLACEMENT_SECONDS = 1.0
# Seconds until an engine that a part of a prompt has crashed is back.
FATAL_PART_SECONDS = 2.0
# Limits, in requests per second, that an engine and an endpoint of a plain service announce.
ENGINE_LIMIT_PER_SECOND = 1.0
PAGE_LIMIT_PER_SECOND = 2.0
# Seconds of backoff that a refusing endpoint asks for, and seconds between two refusals.
BACKOFF_SECONDS = 1.5
REFUSAL_INTERVAL_SECONDS = 0.7
# What endpoints that copy refusals do by turns, and seconds between two of these at each of them.
COPIED_BEHAVIORS = ("refuse twice", "refuse", "status 503")
COPY_INTERVAL_SECONDS = 0.15
# Seconds between two streams that engines cut.
CUT_INTERVAL_SECONDS = 0.15
# Age of the copy that the store comes back from, how long it is away before, and how long after it
# operators and endpoints write again, in seconds.
MIN_COPY_AGE_SECONDS = 0.5
MAX_COPY_AGE_SECONDS = 4.0
MAX_AWAY_SECONDS = 1.0
MAX_REWRITE_SECONDS = 1.0
# Versions that the store loses before a change that all hosts must follow.
LOST_VERSIONS = 50
# Seconds after which all hosts have seen the newest version of the store.
SEEN_SECONDS = 1.0
# Seconds after a restore in which hosts read it, and how often the history is dropped after that.
REREAD_SECONDS = 0.3
DROPPED_HISTORIES_PER_HOST = 2
BOUNDS = {
    "drain_ms": 2000,
    "config_ms": 2000,
    "grace_s": STOP_SECONDS,
    "budget_ratio": RETRY_SHARE,
    "budget_extra": RETRY_EXTRA,
    "budget_window_s": RETRY_WINDOW_SECONDS,
    "lease_ms": 1000,
    "ceiling_window_s": 5,
    "ceiling_over": 1.1,
    "ttl_max_s": 5,
    "quota_window_s": QUOTA_WINDOW_SECONDS,
    "quota_over": QUOTA_OVER,
    "quota_slack": QUOTA_SLACK_UNITS,
}


class HostProcess:
    """The process of one host, restarted on the same ports; it runs the code of ``checkout``."""

    def __init__(self, name: str, folder: Path, checkout: Path = ROOT):
        self.name = name
        self._checkout = checkout
        self.ports = {
            listener: free_port() for listener in ("front", "ready", "control", "directory")
        }
        self.relay_port = free_port()
        self.gates = ""
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._child: subprocess.Popen | None = None
        self.starts = 0

    @property
    def incarnation(self) -> str:
        """Return a name of the current process that differs from those of earlier starts."""
        return f"{self.name}-{self.starts}"

    def address(self, listener: str) -> str:
        """Return the address of a listener of the host, as IP:PORT."""
        return f"127.0.0.1:{self.ports[listener]}"

    def write_settings(
        self,
        store: str,
        seeds: list[str],
        limits: Mapping[str, int] | None = None,
        **bounds: float,
    ) -> None:
        """Write the settings file, which the process reads at each start.

        ``limits`` are those of the host's machine, ``bounds`` replace those of :data:`BOUNDS`.
        """
        rows = [f'node_name = "{self.name}"', 'ip = "127.0.0.1"', 'zone = "north"']
        rows += [f"inner_ports = [{self.relay_port}, {self.relay_port}]"]
        rows += [f"seeds = {json.dumps(seeds)}", "[listen]"]
        rows += [f'{listener} = "{self.address(listener)}"' for listener in self.ports]
        rows += ["[platform]", f'address = "{store}"', "[bounds]"]
        rows += [f"{name} = {value}" for name, value in (BOUNDS | bounds).items()]
        rows += ["[limits]", *(f"{name} = {value}" for name, value in (limits or {}).items())]
        self._settings.write_text("\n".join(rows) + "\n")

    def start(self) -> None:
        """Start the process; its output is appended to the log file of the host."""
        self.starts += 1
        with self._log.open("ab") as log:
            self._child = subprocess.Popen(stdout=log, stderr=log, **self.command())

    def command(self) -> dict[str, Any]:
        """Return the command, environment and working directory as keyword arguments of Popen."""
        root, settings = str(self._checkout), str(self._settings)
        module = "extras.soak.gated_host" if self.gates else "peridotdock.cli.relay"
        gates = {GATES_VARIABLE: self.gates} if self.gates else {}
        return {
            "args": [sys.executable, "-m", module],
            "env": {**os.environ, "PERIDOTDOCK_SETTINGS": settings, "PYTHONPATH": root, **gates},
            "cwd": self._checkout,
        }

    def read_forwarded(self) -> Iterator[tuple[str, str]]:
        """Yield, from the log, the ids of attempts that were forwarded, and the hosts."""
        for line in self._log.read_text().splitlines():
            if FORWARDED_EVENT in line:
                row = json.loads(line)
                yield row["request"], row["detail"].removeprefix("to ").partition(",")[0]

    @property
    def pid(self) -> int:
        """The id of the current process."""
        return self._child.pid

    @property
    def is_running(self) -> bool:
        """Whether the current process has not ended."""
        return self._child.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it is running."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    async def wait(self, seconds: float) -> bool:
        """Wait for the process to end, and kill it if it has not ended within ``seconds``.

        Return whether it ended by itself.
        """
        until = time.monotonic() + seconds
        while self._child.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        if self._child.poll() is not None:
            return True
        self._child.kill()
        self._child.wait()
        return False


async def ready_status(session: aiohttp.ClientSession, host: HostProcess) -> int:
    """Return what the ready listener of a host answers, 0 while it does not listen."""
    try:
        async with session.get(f"http://{host.address('ready')}/v1/ready") as resp:
            return resp.status
    except aiohttp.ClientError:
        return 0


class SoakDeployment:
    """All processes and stand-ins of a run, and the faults that can be injected into them.

    Hosts of odd number run the code of the checkout ``beside`` if it is given.
    """

    def __init__(
        self, hosts: int, folder: Path, beside: Path | None = None, partitioned: bool = False
    ):
        checkouts = (ROOT, beside or ROOT)
        self.hosts = [HostProcess(f"h{n}", folder, checkouts[n % 2]) for n in range(hosts)]
        self.partitions = Partitions(hosts) if partitioned else None
        for number, host in enumerate(self.hosts):
            host.gates = gate_ip(number) if partitioned else ""
        self.engines: list[RunnerStandin] = []
        self.pages: list[RunnerStandin] = []
        # Endpoints of services that only some seeds have, and the routes to them.
        self.more_runners: list[RunnerStandin] = []
        self.more_services: Sequence[Mapping[str, Any]] = ()
        self.more_routes: Sequence[Mapping[str, Any]] = ()
        self.more_endpoints = 0
        self.engine_count = ENGINES
        self.stopped_runners: list[RunnerStandin] = []
        self.links: dict[str, Proxy] = {}
        self.closed_links: dict[str, Proxy] = {}
        self.routes = list(ROUTES)
        # Seconds from SIGTERM to SIGKILL of a planned stop.
        self.grace: float = STOP_SECONDS
        self.versions: Sequence[str] = ()
        # Software versions by the name in events, and endpoints whose changes no entry tells yet.
        self.software: dict[str, str] = {}
        self.unannounced: set[str] = set()
        # Parts of prompts that crash engines, and what an engine has written by then.
        self.fatal_parts: frozenset[str] = frozenset()
        self.fatal_head = ""
        self.workspaces: Sequence[Mapping[str, Any]] = ()
        self.version = 1
        self.crash_times: list[float] = []
        self.disturbed: list[Disturbance] = []
        self.host_ends: dict[str, float] = {}
        self.endpoint_ends: dict[str, float] = {}
        self.limited_endpoints: list[LimitedEndpoint] = []
        self.draining_from: dict[str, float] = {}
        self._draining: dict[str, tuple[RunnerStandin, str]] = {}
        self._targets_in_use: set[str] = set()
        self._replacing: set[asyncio.Task] = set()
        self._numbers = iter(range(1, 10_000))

    @property
    def open_workspace(self) -> str:
        """Return the workspace without a quota, the first; empty if there are no workspaces."""
        return self.workspaces[0]["name"] if self.workspaces else ""

    async def start(self) -> None:
        """Start the stand-ins and the host processes, without waiting until hosts are ready."""
        self.store = await TableStandin().start()
        self.store_link = await Proxy(self.store.address).start()
        alike = bool(self.versions or self.fatal_parts)
        for number in range(ALIKE_ENGINES if alike else self.engine_count):
            models = ("m0", "m1") if alike else (f"m{number % 2}",)
            await self._add_runner("engines", models)
        for _ in range(PAGES):
            await self._add_runner("pages", ())
        for row in self.more_services:
            models = tuple(model["name"] for model in row.get("engine", {}).get("models", ()))
            for _ in range(self.more_endpoints):
                await self._add_runner(row["name"], models)
        self._write_config()
        seeds = [host.address("control") for host in self.hosts[:3]]
        for host in self.hosts:
            host.write_settings(self.store_link.address, seeds, grace_s=self.grace)
            host.start()

    async def wait_ready(self) -> None:
        """Wait until the ready listener of every host answers 200."""
        async with aiohttp.ClientSession() as session, asyncio.timeout(START_TIMEOUT_SECONDS):
            for host in self.hosts:
                while await ready_status(session, host) != READY:
                    await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Kill the host processes and stop the stand-ins and proxies."""
        for task in self._replacing:
            task.cancel()
        for host in self.hosts:
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
            await host.wait(1.0)
        if self.partitions is not None:
            await self.partitions.stop()
        for link in (*self.links.values(), self.store_link):
            await link.stop()
        for runner in (*self.engines, *self.pages, *self.more_runners):
            await runner.stop()
        await self.store.stop()

    async def _add_runner(self, service: str, models: tuple[str, ...]) -> None:
        number = next(self._numbers)
        runner = await RunnerStandin(f"{service}-{number}", models).start()
        if self.versions:
            runner.software = self.versions[number % len(self.versions)]
        self.software[runner.source] = runner.software
        runner.fatal_bodies = {POISON_BODY}
        runner.fatal_parts, runner.fatal_head = self.fatal_parts, self.fatal_head
        runner.on_crash = lambda: self._on_crash(runner)
        runner.delay_seconds = EVENT_SECONDS if service == "engines" else PAGE_SECONDS
        link = await Proxy(runner.address).start()
        self.links[runner.name] = link
        if self.partitions is not None:
            await self.partitions.add_endpoint(runner.name, link.address)
        groups = {"engines": self.engines, "pages": self.pages}
        groups.get(service, self.more_runners).append(runner)
        runner.on_change = lambda: self._announce(runner, service)
        runner.on_change()

    def slow_streams(self, seconds: float) -> None:
        """Let engines take that many seconds for each event."""
        for runner in self.engines:
            runner.delay_seconds = seconds

    def make_brittle(self) -> None:
        """Let the endpoints of the plain service have few slots and fall over under refusals."""
        for runner in self.pages:
            runner.room, runner.max_refusals = BRITTLE_SLOTS, BRITTLE_REFUSALS
            runner.extra_headers = {"server-brittle": str(BRITTLE_REFUSALS)}

    async def announce_draining(self) -> None:
        """Let an engine and an endpoint of a plain service announce draining in answers alone."""
        for runner in (self.engines[1], self.pages[1]):
            runner.extra_headers = {"server-leaving": "1"}
            self.draining_from[runner.name] = time.monotonic()

    async def refuse_requests(self, seconds: float) -> None:
        """Let an engine and an endpoint of a plain service refuse requests with a backoff."""
        until = time.monotonic() + seconds
        rows = (self.engines[2], self.pages[2])
        while time.monotonic() < until:
            for runner in rows:
                runner.retry_after = BACKOFF_SECONDS
                runner.script += ["refuse"]
            await asyncio.sleep(REFUSAL_INTERVAL_SECONDS)

    async def copy_refusals(self, seconds: float) -> None:
        """Let endpoints refuse often and send refusals twice, or fail with such a status."""
        until = time.monotonic() + seconds
        rows = itertools.cycle(itertools.product(COPY_TIMES, COPIED_BEHAVIORS))
        while time.monotonic() < until:
            for runner in (*self.engines, *self.pages):
                runner.copy_at, behavior = next(rows)
                runner.script.append(behavior)
            await asyncio.sleep(COPY_INTERVAL_SECONDS)

    async def cut_streams(self, seconds: float) -> None:
        """Let engines cut a stream now and then, one engine after the other."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for runner in list(self.engines):
                runner.script.append("cut")
                await asyncio.sleep(CUT_INTERVAL_SECONDS)

    async def announce_limits(self, seconds: float) -> None:
        """Let an engine and an endpoint of a plain service announce a limit for some seconds."""
        announced_at = time.monotonic()
        rows = [(self.engines[0], ENGINE_LIMIT_PER_SECOND), (self.pages[0], PAGE_LIMIT_PER_SECOND)]
        for runner, rate in rows:
            runner.extra_headers = {"server-limit": str(rate)}
        await asyncio.sleep(seconds)
        for runner, rate in rows:
            runner.extra_headers = {}
            self.limited_endpoints.append(
                LimitedEndpoint(rate, announced_at, time.monotonic(), runner.call_times)
            )

    async def restore_store(self, seconds: float, rng: random.Random) -> None:
        """Bring the store back from copies up to some seconds old, one after the other."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            copy = self.store.copy()
            await asyncio.sleep(rng.uniform(MIN_COPY_AGE_SECONDS, MAX_COPY_AGE_SECONDS))
            self.store.faults["down"] = True
            await asyncio.sleep(rng.uniform(0.0, MAX_AWAY_SECONDS))
            self.store.restore(copy)
            self.store.faults["down"] = False
            await asyncio.sleep(rng.uniform(0.0, MAX_REWRITE_SECONDS))
            self.write_again()

    def write_again(self) -> None:
        """Write again what operators and endpoints wrote; hosts write their own rows."""
        self._write_config()
        for name in [key for table, key in self.store.rows if table == "servers"]:
            if name not in self.links:
                self.store.remove("servers", name)
        for runner in (*self.engines, *self.pages):
            runner.on_change()
        for runner, service in self._draining.values():
            self._register(runner, service, state="draining")

    async def change_after_restore(self) -> tuple[str, list[RunnerStandin]]:
        """Restore the store, then add a route and drain an endpoint under numbers given out again.

        Another endpoint drains before the restore, which loses its entry, and does not write it
        again; the history is dropped too, so that hosts read the restored entries twice. Return the
        prefix of the route, and both endpoints.
        """
        copy = self.store.copy()
        before, after = self.pages[1], self.pages[0]
        self._register(before, "pages", state="draining")
        for number in range(LOST_VERSIONS):
            self.store.put("other", "row", str(number).encode())
        await asyncio.sleep(SEEN_SECONDS)
        self.store.restore(copy)
        await asyncio.sleep(REREAD_SECONDS)
        self.store.faults["forget"] = DROPPED_HISTORIES_PER_HOST * len(self.hosts)
        self.add_route()
        self._register(after, "pages", state="draining")
        for number in range(2 * LOST_VERSIONS):
            self.store.put("other", "row", str(number).encode())
        return self.routes[-1]["prefix"], [before, after]

    def _on_crash(self, runner: RunnerStandin) -> None:
        """Record that a request has crashed an endpoint, and start to replace the endpoint.

        Of those that a part of a prompt has crashed, every second one comes back under its id.
        """
        self.crash_times.append(time.monotonic())
        replaced = runner not in (*self.engines, *self.pages)
        recovers = self.fatal_parts and not replaced and len(self.crash_times) % 2 == 0
        if not recovers:
            self.endpoint_ends.setdefault(runner.name, time.monotonic())
        if replaced:
            # The endpoint was draining and has been replaced already.
            return
        seconds = FATAL_PART_SECONDS if self.fatal_parts else REPLACEMENT_SECONDS
        work = self._recover if recovers else self._crash
        task = asyncio.ensure_future(work(runner, seconds))
        self._replacing.add(task)
        task.add_done_callback(self._replacing.discard)

    def _announce(self, runner: RunnerStandin, service: str) -> None:
        if runner.name not in self.unannounced:
            self._register(runner, service)

    def _register(self, runner: RunnerStandin, service: str, **more) -> None:
        address = self.links[runner.name].address
        self.store.put("servers", runner.name, runner.entry(service, address=address, **more))

    def _write_config(self) -> None:
        routes = [*self.more_routes, *self.routes]
        changed = CONFIG | {"version": self.version, "routes": routes}
        changed["tenants"] = list(self.workspaces)
        services = [{"name": "engines", "engine": ENGINE_CONFIG}, {"name": "pages"}]
        changed["services"] = [*services, *self.more_services]
        self.store.put("op", "config", json.dumps(changed).encode())

    # Faults

    async def inject(self, fault: Fault) -> None:
        """Inject one fault and return when it has ended.

        A fault is skipped while another one affects the same target.
        """
        name, pool = fault.kind.name, self._pool(fault.kind.target)
        target = pool[fault.target_index % len(pool)]
        target_id = f"{fault.kind.target} {fault.target_index % len(pool)}"
        if target_id in self._targets_in_use:
            return
        self._targets_in_use.add(target_id)
        since = time.monotonic()
        try:
            await getattr(self, f"_{name}")(target, fault.seconds)
        finally:
            self._targets_in_use.discard(target_id)
            if fault.kind.target == "host":
                self.disturbed.append(Disturbance(target.name, since, time.monotonic()))

    def _pool(self, target: str) -> list:
        pools = {
            "host": self.hosts,
            "runner": [*self.engines, *self.pages],
            "link": list(self.links.values()),
            "store": [self.store],
        }
        return pools[target]

    async def _stop(self, host: HostProcess, seconds: float) -> None:
        grace = self.grace - STOP_MARGIN_SECONDS
        self.host_ends[host.incarnation] = time.monotonic() + grace
        host.signal(signal.SIGTERM)
        await host.wait(self.grace + 0.5)
        host.start()
        await asyncio.sleep(seconds)

    async def _reload(self, host: HostProcess, seconds: float) -> None:
        """Signal a host that is up: the signal ends a process that does not handle it yet."""
        async with aiohttp.ClientSession() as session:
            if await ready_status(session, host):
                host.signal(signal.SIGHUP)

    async def _kill(self, host: HostProcess, seconds: float) -> None:
        self.host_ends[host.incarnation] = time.monotonic()
        host.signal(signal.SIGKILL)
        await host.wait(1.0)
        await asyncio.sleep(seconds)
        host.start()

    async def _pause(self, host: HostProcess, seconds: float) -> None:
        host.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        host.signal(signal.SIGCONT)

    async def _config(self, store: TableStandin, seconds: float) -> None:
        self.add_route()

    def add_route(self) -> None:
        """Add a route to the configuration."""
        self.version += 3
        route = dict(ROUTES[-1], name=f"extra-{self.version}", prefix=f"/extra-{self.version}/")
        self.routes = [*self.routes, route]
        self._write_config()

    async def _leave(self, runner: RunnerStandin, seconds: float) -> None:
        """Replace an endpoint: start the new one, then drain the old one and stop it."""
        engines = runner in self.engines
        service = "engines" if engines else "pages"
        await self._add_runner(service, tuple(runner.models))
        (self.engines if engines else self.pages).remove(runner)
        runner.on_change = lambda: None
        self._draining[runner.name] = runner, service
        self._register(runner, service, state="draining")
        await asyncio.sleep(DRAIN_SECONDS * 2)
        del self._draining[runner.name]
        self.store.remove("servers", runner.name)
        await self._stop_runner(runner)

    async def _crash(self, runner: RunnerStandin, seconds: float) -> None:
        """Stop an endpoint without draining; later remove its entry and start an empty endpoint."""
        if runner not in (*self.engines, *self.pages):
            # A request has crashed the endpoint before this fault reached it.
            return
        engines = runner in self.engines
        (self.engines if engines else self.pages).remove(runner)
        runner.on_change = lambda: None
        await self._stop_runner(runner)
        await asyncio.sleep(seconds)
        self.store.remove("servers", runner.name)
        await self._add_runner("engines" if engines else "pages", ())

    async def _recover(self, runner: RunnerStandin, seconds: float) -> None:
        """Let a crashed engine listen again under its id and address, as another start."""
        since = time.monotonic()
        self.links[runner.name].cuts.append((since, since + seconds))
        await asyncio.sleep(seconds)
        if runner in self.engines:
            await runner.recover()

    async def _stop_runner(self, runner: RunnerStandin) -> None:
        self.stopped_runners.append(runner)
        self.endpoint_ends.setdefault(runner.name, time.monotonic())
        link = self.closed_links[runner.name] = self.links.pop(runner.name)
        await link.stop()
        await runner.stop()

    async def _delay(self, link: Proxy, seconds: float) -> None:
        await link.play("delay", seconds)

    async def _silence(self, link: Proxy, seconds: float) -> None:
        await link.play("silence", seconds)

    async def _one_way(self, link: Proxy, seconds: float) -> None:
        await link.play("one_way", seconds)

    async def _reset(self, link: Proxy, seconds: float) -> None:
        link.reset()

    async def _store_down(self, store: TableStandin, seconds: float) -> None:
        store.faults["down"] = True
        await asyncio.sleep(seconds)
        store.faults["down"] = False

    async def _store_silent(self, store: TableStandin, seconds: float) -> None:
        await self.store_link.play("silence", seconds)

    async def _store_loses(self, store: TableStandin, seconds: float) -> None:
        store.faults["lose"] += 3

    async def _store_forgets(self, store: TableStandin, seconds: float) -> None:
        store.faults["forget"] += 2

    async def _cut_answer(self, runner: RunnerStandin, seconds: float) -> None:
        runner.script += ["cut", "serve", "cut"]

    async def _extra_answer(self, runner: RunnerStandin, seconds: float) -> None:
        runner.script += ["extra", "extra"]

    async def _foreign_answer(self, runner: RunnerStandin, seconds: float) -> None:
        runner.script += ["foreign", "unsigned"]

    async def _refusal(self, runner: RunnerStandin, seconds: float) -> None:
        runner.script += ["refuse", "refuse", "error"]
