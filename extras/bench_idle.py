"""``make bench-idle``: the cost of control per host without traffic, by the number of hosts.

Host processes on loopback watch endpoints, order, plan and exchange facts, and serve no requests.
Each JSON line holds the CPU share, resident memory and peer traffic per host.
"""

import argparse
import asyncio
import json
import os
import re
import statistics
import sys
import time

import aiohttp

from extras.bench_path import cpu_seconds
from extras.fleet_processes import Deployment, Process
from extras.samples import HANEUL

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def rss_mb(process: Process) -> float:
    """Return the resident memory of a child process in megabytes."""
    with open(f"/proc/{process.child.pid}/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES / 1e6


async def peer_bytes(deployment: Deployment) -> list[float]:
    """Return the bytes that each host has exchanged with other hosts, sent plus received."""
    found = []
    async with aiohttp.ClientSession() as session:
        for host in deployment.hosts.values():
            async with session.get(f"{host.url}/metrics") as resp:
                text = await resp.text()
            rows = re.findall(r"^peridotdock_peer_bytes_total\{[^}]*\} (\S+)", text, re.MULTILINE)
            found.append(sum(map(float, rows)))
    return found


async def platform_calls(deployment: Deployment) -> dict[str, int]:
    """Return how many reads and writes the platform has served."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{deployment.platform.url}/counts") as resp,
    ):
        return await resp.json(content_type=None)


def measure(hosts: int, engines: int, seconds: float) -> dict:
    """Start a deployment, wait until it is idle, and measure it for some seconds."""
    deployment = Deployment(HANEUL, engines, 1, hosts, host_options=["--log-level", "ERROR"])
    try:
        deployment.start()
        document = deployment.manifest()
        document["adapters"] = document["adapters"][:13]
        deployment.wait_converged(deployment.publish(document)["generation"])
        time.sleep(3)
        before = asyncio.run(peer_bytes(deployment)), asyncio.run(platform_calls(deployment))
        used = [cpu_seconds(host) for host in deployment.hosts.values()]
        started_at = time.monotonic()
        time.sleep(seconds)
        spent = time.monotonic() - started_at
        used = [cpu_seconds(h) - u for h, u in zip(deployment.hosts.values(), used, strict=True)]
        after = asyncio.run(peer_bytes(deployment)), asyncio.run(platform_calls(deployment))
        moved = [(b - a) / spent for a, b in zip(before[0], after[0], strict=True)]
        return {
            "hosts": hosts,
            "engines": engines,
            "cpu_share_mean": round(statistics.mean(used) / spent, 4),
            "cpu_share_most": round(max(used) / spent, 4),
            "rss_mb_mean": round(statistics.mean(map(rss_mb, deployment.hosts.values())), 1),
            "peer_bytes_s_mean": round(statistics.mean(moved)),
            "reads_s": round((after[1]["read"] - before[1]["read"]) / spent, 1),
            "writes_s": round((after[1]["write"] - before[1]["write"]) / spent, 2),
        }
    finally:
        deployment.stop()


def main() -> int:
    """Measure deployments with the given numbers of hosts."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, nargs="+", default=[1, 3, 6, 9, 12])
    parser.add_argument("--engines", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    for hosts in options.hosts:
        print(json.dumps(measure(hosts, options.engines, options.seconds)), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
