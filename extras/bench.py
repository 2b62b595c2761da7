"""``make bench``: target attainment per accelerator, and loads and unloads, for several policies.

It compares the policy of the product with a naive one and with single decisions switched off. Host
processes serve seeded, bursty callers from stand-in engines, in the shapes of the two first
deployments. The output is one JSON line for each run, then a table. A request is a miss if it did
not get its first token within its target and then its complete answer; shed requests are misses.
"""

import argparse
import asyncio
import json
import random
import re
import signal
import statistics
import sys
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
from hdrh.histogram import HdrHistogram

from extras.fleet_processes import Deployment
from extras.samples import ACCELERATORS, INTERACTIVE_TOKEN, SHAPES, TOKEN, Shape
from peridotdock.output.formats import format_table

ENGINES = 5
HOSTS = 3
TARGET_SECONDS = 0.49
LOAD_SECONDS = 0.3
ENGINE_OPTIONS = ["--prefill-rate", "8000", "--step", "0.01", "--batch-limit", "8", "--knee", "6"]
ENGINE_OPTIONS += ["--cache-blocks", "160", "--load-seconds", str(LOAD_SECONDS)]
ENGINE_OPTIONS += ["--report-lag", "0.1"]
HOST_OPTIONS = ["--poll-seconds", "0.5", "--watch-seconds", "0.25", "--lateness-seconds", "5"]
HOST_OPTIONS += ["--address-seconds", "0.2", "--stop-seconds", "5", "--log-level", "ERROR"]
DECISIONS = ("admission", "affinity", "correction", "prediction", "spread", "planner_copies")
VOCABULARY = ("dragon", "ledger", "convoy", "river", "policy", "market", "lantern", "bridge")


@dataclass(frozen=True)
class LoadProfile:
    """The traffic of a shape: requests per second, prompt sizes, share of interactive requests."""

    base_rate: float
    burst_rate: float
    groups: int
    prefix_chars: int
    suffix_chars: int
    live_share: float


LOAD_PROFILES = {
    # Bursts before and during evening sessions; long shared notes, short interactive prompts.
    "kahini-ghar": LoadProfile(8.0, 26.0, 12, 6000, 400, 0.5),
    # Bursts at renewals; long inputs with short shared prefixes.
    "haneul": LoadProfile(5.0, 15.0, 6, 1500, 4500, 0.2),
}


@dataclass(frozen=True)
class Request:
    """A request to send; ``send_at`` is in seconds after the start of the run."""

    send_at: float
    model: str
    prompt: str
    tokens: int
    interactive: bool


@dataclass
class Outcome:
    """The results of the requests of a run; the histograms are in milliseconds."""

    offered: int = 0
    within_target: int = 0
    misses: Counter = field(default_factory=Counter)
    first_token: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000, 3))
    between_tokens: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000, 3))
    tokens: int = 0


def make_text(rng: random.Random, chars: int) -> str:
    """Return text of about ``chars`` characters."""
    return " ".join(rng.choice(VOCABULARY) for _ in range(chars // 6))


def make_requests(shape: Shape, seconds: float, seed: int) -> list[Request]:
    """Return the requests of a run: a third of it at the base rate, then a burst on few models."""
    rng = random.Random(seed)
    load = LOAD_PROFILES[shape.name]
    names = [f"{shape.name}-model-{n}" for n in range(shape.models)]
    names += [f"{shape.name}-adapter-{n}" for n in range(shape.adapters)]
    hot = rng.sample(names[: shape.models], 2) + rng.sample(names[shape.models :], 2)
    prefixes = [make_text(rng, load.prefix_chars) for _ in range(load.groups)]
    found, at = [], 0.0
    while at < seconds:
        bursting = at > seconds / 3
        at += rng.expovariate(load.burst_rate if bursting else load.base_rate)
        model = rng.choice(hot) if bursting and rng.random() < 0.7 else rng.choice(names)
        live = rng.random() < load.live_share
        group = rng.randrange(load.groups)
        prefix = prefixes[group][: load.prefix_chars // (3 if live else 1)]
        prompt = prefix + make_text(rng, load.suffix_chars // (3 if live else 1))
        found.append(Request(at, model, prompt, 10 if live else 25, live))
    return found


async def send(session: aiohttp.ClientSession, url: str, req: Request, out: Outcome) -> None:
    """Send one request and add its result to ``out``."""
    headers = {"authorization": f"Bearer {INTERACTIVE_TOKEN if req.interactive else TOKEN}"}
    headers["x-priority"] = "8" if req.interactive else "5"
    body = {"model": req.model, "prompt": req.prompt, "stream": True, "max_tokens": req.tokens}
    out.offered += 1
    started_at = last = time.monotonic()
    first = None
    whole = False
    try:
        async with session.post(f"{url}/v1/completions", json=body, headers=headers) as resp:
            if resp.status != 200:
                out.misses[json.loads(await resp.read())["error"]["code"]] += 1
                return
            async for line in resp.content:
                if not line.startswith(b"data: "):
                    continue
                now = time.monotonic()
                if first is None:
                    first = now - started_at
                    out.first_token.record_value(max(1, int(first * 1000)))
                else:
                    out.between_tokens.record_value(max(1, int((now - last) * 1000)))
                last = now
                out.tokens += 1
                whole = line.startswith(b"data: [DONE]")
    except aiohttp.ClientError as exc:
        out.misses[type(exc).__name__] += 1
        return
    if not whole:
        out.misses["cut"] += 1
    elif first is None or first > TARGET_SECONDS:
        out.misses["late"] += 1
    else:
        out.within_target += 1


async def drive(deployment: Deployment, requests: list[Request], inject_fault) -> Outcome:
    """Send all requests at their times, to the hosts in turn, while a fault is injected."""
    out = Outcome()
    urls = [host.url for host in deployment.hosts.values()]
    timeout = aiohttp.ClientTimeout(total=60)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        started_at = time.monotonic()
        tasks = [asyncio.create_task(inject_fault(deployment))] if inject_fault else []
        for index, req in enumerate(requests):
            await asyncio.sleep(max(0.0, started_at + req.send_at - time.monotonic()))
            tasks.append(asyncio.create_task(send(session, urls[index % len(urls)], req, out)))
        await asyncio.gather(*tasks)
    return out


async def scrape(deployment: Deployment) -> Counter:
    """Return the sums of the metrics of all hosts, and the call counts of the platform."""
    total: Counter = Counter()
    async with aiohttp.ClientSession() as session:
        for host in deployment.hosts.values():
            async with session.get(f"{host.url}/metrics") as resp:
                text = await resp.text()
            for name, label, value in re.findall(
                r"^peridotdock_(orders|sends)_total\{([^}]*)\} (\S+)", text, re.MULTILINE
            ):
                key = "retries" if name == "sends" and '"1"' not in label else name
                if name == "sends" or 'outcome="done"' in label:
                    total[key] += float(value)
        async with session.get(f"{deployment.platform.url}/counts") as resp:
            total.update(await resp.json(content_type=None))
    return total


async def freeze_engine(deployment: Deployment) -> None:
    """Stop the process of one engine during the burst, and continue it 5 s later."""
    process = deployment.engines["engine-1"]
    await asyncio.sleep(10)
    process.signal(signal.SIGSTOP)
    await asyncio.sleep(5)
    process.signal(signal.SIGCONT)


async def fail_platform(deployment: Deployment) -> None:
    """Take the platform down for 8 s, while the demand shifts to the burst."""
    async with aiohttp.ClientSession() as session:
        await asyncio.sleep(5)
        await session.post(f"{deployment.platform.url}/faults", json={"down": True})
        await asyncio.sleep(8)
        await session.post(f"{deployment.platform.url}/faults", json={"down": False})


FAULTS = {"none": None, "engine": freeze_engine, "platform": fail_platform}


def run(shape: Shape, variant: str, seed: int, seconds: float, fault: str) -> dict:
    """Run one variant in a new deployment and return its figures."""
    policy = "" if variant == "ours" else variant.removeprefix("no ").strip()
    options = [*HOST_OPTIONS, "--policy", policy] if policy else HOST_OPTIONS
    deployment = Deployment(
        shape,
        ENGINES,
        1,
        HOSTS,
        engine_options=ENGINE_OPTIONS,
        host_options=options,
        platform_options=["--parallel", str(shape.parallel_loads)],
    )
    try:
        deployment.start()
        deployment.wait_converged(deployment.publish(deployment.manifest())["generation"])
        return asyncio.run(measure(deployment, shape, variant, seed, seconds, fault))
    finally:
        deployment.stop()


async def measure(
    deployment: Deployment, shape: Shape, variant: str, seed: int, seconds: float, fault: str
) -> dict:
    """Send the requests to a started deployment and return the figures.

    The weight store serves one load per second from then on.
    """
    async with aiohttp.ClientSession() as session:
        await session.post(f"{deployment.platform.url}/faults", json={"load_gap": 1.0})
    before = await scrape(deployment)
    requests = make_requests(shape, seconds, seed)
    out = await drive(deployment, requests, FAULTS[fault])
    spent = await scrape(deployment)
    spent.subtract(before)
    return {
        "shape": shape.name,
        "variant": variant,
        "fault": fault,
        "seed": seed,
        "offered": out.offered,
        "attained": round(out.within_target / max(1, out.offered), 4),
        "met_per_accelerator_s": round(out.within_target / seconds / (ENGINES * ACCELERATORS), 3),
        "moves": int(spent["orders"]),
        "retries": int(spent["retries"]),
        "misses": dict(out.misses),
        "tokens_s": round(out.tokens / seconds, 1),
        "first_ms": quantiles(out.first_token),
        "between_ms": quantiles(out.between_tokens),
        "platform_reads_s": round(spent["read"] / seconds, 1),
        "platform_writes_s": round(spent["write"] / seconds, 2),
    }


def quantiles(histogram: HdrHistogram) -> list[int]:
    """Return the 50th, 95th and 99th percentile, rounded down to integers."""
    return [int(histogram.get_value_at_percentile(p)) for p in (50, 95, 99)]


def summarise(rows: list[dict]) -> list[dict]:
    """Return one row for each shape, fault and variant, with means and range over the seeds."""
    groups: dict[tuple, list[dict]] = {}
    for row in rows:
        groups.setdefault((row["shape"], row["fault"], row["variant"]), []).append(row)
    table = []
    for (shape, fault, variant), found in groups.items():
        attained = [row["attained"] for row in found]
        table.append(
            {
                "shape": shape,
                "fault": fault,
                "variant": variant,
                "attained": round(statistics.mean(attained), 3),
                "least": min(attained),
                "most": max(attained),
                "met/accelerator/s": round(
                    statistics.mean(row["met_per_accelerator_s"] for row in found), 3
                ),
                "moves": statistics.mean(row["moves"] for row in found),
                "first p95 ms": statistics.mean(row["first_ms"][1] for row in found),
            }
        )
    return table


def main() -> int:
    """Run the chosen variants and print their figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--shape", choices=[*SHAPES, "both"], default="both")
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=24.0)
    parser.add_argument("--fault", choices=[*FAULTS, "all"], default="none")
    parser.add_argument(
        "--switches", action="store_true", help="also run with each decision switched off"
    )
    options = parser.parse_args()
    shapes = list(SHAPES) if options.shape == "both" else [options.shape]
    faults = list(FAULTS) if options.fault == "all" else [options.fault]
    variants = ["naive", "ours"]
    variants += [f"no {name}" for name in DECISIONS] if options.switches else []
    rows = []
    for shape in shapes:
        for fault in faults:
            for seed in range(1, options.seeds + 1):
                for variant in variants:
                    row = run(SHAPES[shape], variant, seed, options.seconds, fault)
                    rows.append(row)
                    print(json.dumps(row), flush=True)
    print(format_table(summarise(rows)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
