"""``make bench-relay``: the CPU time of a request on one relaying host, as JSON lines.

The callers and the stand-ins for store and runners run in this process, the host in a process of
its own, and CPU time is that of the host alone. The mix of requests is that of a deployment: of
three requests, two are streams of 34 events and one is plain.
"""

import argparse
import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from tests.relay.deployment import CONFIG, free_address
from tests.standins.runner import RunnerStandin
from tests.standins.tables import TableStandin

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
BOUNDS = {
    "drain_ms": 2000,
    "config_ms": 2000,
    "grace_s": 3,
    "budget_ratio": 0.2,
    "budget_extra": 58,
    "budget_window_s": 10,
    "lease_ms": 3000,
    "ceiling_window_s": 5,
    "ceiling_over": 1.1,
    "ttl_max_s": 5,
}
PATHS = ("/recap/", "/recap/", "/fetch/")
EVENTS = 34
EVENT_INTERVAL_SECONDS = 0.02
# Seconds after which a host serves, even under the profiler, and requests before the first round.
START_SECONDS = 3.0
WARM_UP_REQUESTS = 60


def write_settings(path: Path, store: str) -> str:
    """Write the settings file of the host; return the address of its listener for callers."""
    names = ("front", "ready", "directory", "control")
    listen = {name: str(free_address()) for name in names}
    rows = ['node_name = "h1"', 'zone = "north"', "seeds = []", "[listen]"]
    rows += [f'{name} = "{address}"' for name, address in listen.items()]
    rows += ["[platform]", f'address = "{store}"', "[bounds]"]
    rows += [f"{name} = {value}" for name, value in BOUNDS.items()]
    path.write_text("\n".join(rows))
    return listen["front"]


async def send_request(session: aiohttp.ClientSession, url: str, path: str, number: int) -> float:
    """Send one request, read its complete answer and return the seconds that it took."""
    headers = {"host": "shop.example", "x-attempt-id": f"a{number}", "x-deadline-ms": "6000"}
    if path == "/recap/":
        headers |= {
            "x-model": "m0",
            "x-token-counts": "900,50",
            "x-prompt-prefix": f"aa:600,{number:x}:300",
        }
    started_at = time.perf_counter()
    async with session.post(url + path, headers=headers, data=b"x" * 600) as resp:
        await resp.read()
        if resp.status != 200:
            raise RuntimeError(f"status {resp.status}")
    return time.perf_counter() - started_at


async def drive(url: str, count: int, per_second: float) -> list[float]:
    """Send ``count`` requests at a steady rate and return the seconds that each took."""
    tasks = []
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        started_at = time.perf_counter()
        for number in range(count):
            path = PATHS[number % len(PATHS)]
            tasks.append(asyncio.create_task(send_request(session, url, path, number)))
            await asyncio.sleep(max(0.0, started_at + number / per_second - time.perf_counter()))
        return await asyncio.gather(*tasks)


def cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


async def start_runners(store: TableStandin, count: int) -> list[RunnerStandin]:
    """Start ``count`` engines and four endpoints of a plain service, and register them."""
    started = []
    for service, number in (("engines", count), ("pages", 4)):
        for index in range(number):
            models = ("m0",) if service == "engines" else ()
            runner = await RunnerStandin(f"{service}-{index}", models).start()
            runner.delay_seconds, runner.events = EVENT_INTERVAL_SECONDS, EVENTS
            store.put("servers", runner.name, runner.entry(service))
            started.append(runner)
    return started


async def start_host(settings: Path, options: argparse.Namespace) -> asyncio.subprocess.Process:
    """Start the host, under cProfile if ``--profile`` is given."""
    wrap = ["-m", "cProfile", "-o", options.profile] if options.profile else []
    return await asyncio.create_subprocess_exec(
        sys.executable,
        *wrap,
        *("-m", "peridotdock.cli.relay"),
        env=os.environ | {"PERIDOTDOCK_SETTINGS": str(settings)},
        stdout=asyncio.subprocess.DEVNULL,
    )


async def measure(options: argparse.Namespace) -> None:
    """Start the deployment, wait until the host serves, and measure all rounds."""
    store = await TableStandin().start()
    store.put("op", "config", json.dumps(CONFIG).encode())
    runners = await start_runners(store, options.engines)
    with tempfile.TemporaryDirectory() as folder:
        settings = Path(folder) / "settings.toml"
        url = "http://" + write_settings(settings, store.address)
        host = await start_host(settings, options)
        try:
            await asyncio.sleep(START_SECONDS)
            await drive(url, WARM_UP_REQUESTS, options.per_second)
            for number in range(options.rounds):
                await measure_round(number, url, host.pid, options)
        finally:
            host.send_signal(signal.SIGTERM)
            await host.wait()
            for runner in runners:
                await runner.stop()
            await store.stop()


async def measure_round(number: int, url: str, pid: int, options: argparse.Namespace) -> None:
    """Send the requests of one round and print its figures as a JSON line."""
    used, started_at = cpu_seconds(pid), time.perf_counter()
    times = sorted(await drive(url, options.count, options.per_second))
    used = cpu_seconds(pid) - used
    found = {
        "round": number,
        "requests": options.count,
        "cpu_ms_a_request": round(1000 * used / options.count, 3),
        "core": round(used / (time.perf_counter() - started_at), 3),
        "p50_ms": round(1000 * times[len(times) // 2], 1),
    }
    print(json.dumps(found), flush=True)


def main() -> int:
    """Parse the options and run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--count", type=int, default=600)
    parser.add_argument("--per-second", type=float, default=60)
    parser.add_argument("--engines", type=int, default=30)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--profile", default="", help="file for the cProfile output of the host")
    asyncio.run(measure(parser.parse_args()))
    return 0


if __name__ == "__main__":
    sys.exit(main())
