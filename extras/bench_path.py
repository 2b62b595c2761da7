"""``make bench-path``: the latency and CPU time that one host adds to a request, as JSON lines.

The same requests go directly to a stand-in engine and through one host, in the same run. CPU time
is that of the host process alone.
"""

import argparse
import asyncio
import json
import os
import sys
import time

import aiohttp

from extras.fleet_processes import Deployment, Process
from extras.samples import HANEUL, TOKEN

MODEL = "haneul-model-0"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process: Process) -> float:
    """Return the CPU time of a child process in seconds."""
    with open(f"/proc/{process.child.pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


async def send_request(session: aiohttp.ClientSession, url: str, tokens: int, times: list) -> None:
    """Send one streamed request and record its times in seconds.

    They are the time to the first token, the mean time between tokens and the total.
    """
    body = {"model": MODEL, "prompt": "hello", "stream": True, "max_tokens": tokens}
    headers = {"authorization": f"Bearer {TOKEN}", "x-request-id": os.urandom(8).hex()}
    started_at = last = time.perf_counter()
    gaps = []
    async with session.post(f"{url}/v1/completions", json=body, headers=headers) as resp:
        async for line in resp.content:
            if line.startswith(b"data: "):
                now = time.perf_counter()
                gaps.append(now - last)
                last = now
    if len(gaps) < tokens:
        raise RuntimeError(f"an answer of {len(gaps)} frames from {url}")
    times.append((gaps[0], sum(gaps[1:]) / len(gaps[1:]), last - started_at))


async def drive(url: str, count: int, concurrency: int, tokens: int) -> tuple[list, float]:
    """Send ``count`` requests, ``concurrency`` at a time; return their times and the total time."""
    times: list = []
    left = iter(range(count))
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:

        async def worker() -> None:
            for _ in left:
                await send_request(session, url, tokens, times)

        started_at = time.perf_counter()
        await asyncio.gather(*(worker() for _ in range(concurrency)))
        return times, time.perf_counter() - started_at


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of values in seconds, in milliseconds."""
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(len(ordered) * share))] * 1000, 3)


def describe(times: list) -> dict[str, float]:
    """Return the 50th and 99th percentile of both token times, in milliseconds."""
    first, between = [t[0] for t in times], [t[1] for t in times]
    return {
        "first_p50_ms": quantile(first, 0.5),
        "first_p99_ms": quantile(first, 0.99),
        "between_p50_ms": quantile(between, 0.5),
        "between_p99_ms": quantile(between, 0.99),
    }


def main() -> int:
    """Measure both paths in turn, for a number of rounds."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--count", type=int, default=400)
    parser.add_argument("--at-once", type=int, default=4)
    parser.add_argument("--tokens", type=int, default=20, help="tokens of each answer")
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    engine_options = ["--step", "0.001", "--batch-limit", "64", "--knee", "64"]
    deployment = Deployment(
        HANEUL, 1, 1, 1, engine_options=engine_options, host_options=["--log-level", "ERROR"]
    )
    try:
        deployment.start()
        document = deployment.manifest()
        document["models"], document["adapters"] = document["models"][:1], []
        deployment.wait_converged(deployment.publish(document)["generation"])
        engine, host = deployment.engines["engine-0"], deployment.hosts["host-0"]
        for number in range(options.rounds):
            straight, _ = asyncio.run(
                drive(engine.url, options.count, options.at_once, options.tokens)
            )
            used = cpu_seconds(host)
            through, spent = asyncio.run(
                drive(host.url, options.count, options.at_once, options.tokens)
            )
            used = cpu_seconds(host) - used
            report(number, describe(straight), describe(through), used, spent, options)
    finally:
        deployment.stop()
    return 0


def report(
    number: int,
    straight: dict,
    through: dict,
    used: float,
    spent: float,
    options: argparse.Namespace,
) -> None:
    """Print the figures of one round as a JSON line."""
    count = options.count
    row = {
        "round": number,
        "straight": straight,
        "through": through,
        "ratio": {key: round(through[key] / straight[key], 3) for key in straight},
        "host_cpu_ms_per_request": round(used / count * 1000, 3),
        "requests_per_core_second": round(count / max(used, 1e-9)),
        "host_busy": round(used / spent, 3),
        "tokens_per_request": options.tokens,
    }
    print(json.dumps(row), flush=True)


if __name__ == "__main__":
    sys.exit(main())
