"""``python -m extras.soak``: play seeds, print each verdict, end with ``N passed, N failed``."""

import asyncio
import logging
import math
import shutil
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import click

from extras.soak.callers import Caller
from extras.soak.checks import Record, Words, find_broken
from extras.soak.plan import LONGEST_SECONDS, Plan, draw
from extras.soak.proxy import Proxy
from extras.soak.world import MODELS_FIT, World
from tests.standins.runner import EVENTS, RunnerStandin

CALLERS = 8
# Callers that send the same request, which ends endpoints, beside what they send otherwise.
POISONERS = 2
# Seconds after the last fault in which hosts may come back before they are probed.
RECOVERY_SECONDS = 7.0
PROBES = 40
START_SECONDS = 60.0


async def wait_ready(world: World) -> None:
    """Wait until every host says that it is ready."""
    async with aiohttp.ClientSession() as session, asyncio.timeout(START_SECONDS):
        for host in world.hosts:
            while True:
                try:
                    async with session.get(f"http://{host.address('ready')}/v1/ready") as resp:
                        if resp.status == 200:
                            break
                except aiohttp.ClientError:
                    # Not up yet; the timeout above bounds the wait.
                    pass
                await asyncio.sleep(0.05)


async def strike_all(world: World, plan: Plan, began: float) -> None:
    """Begin each fault at its time; they may overlap. Return when all have ended."""
    tasks = []
    for fault in plan.faults:
        await asyncio.sleep(max(0.0, fault.at - (time.monotonic() - began)))
        tasks.append(asyncio.ensure_future(world.strike(fault)))
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome


async def play(plan: Plan, hosts: int, folder: Path, beside: Path | None = None) -> list[str]:
    """Play one plan and return what was promised and not kept."""
    record, world = Record(), World(hosts, folder, beside)
    await world.start()
    try:
        await wait_ready(world)
        began = time.monotonic()
        callers = [Caller(n, world, record, began, plan.seed) for n in range(CALLERS)]
        work = [caller.run(plan.seconds) for caller in callers]
        if plan.poisoned:
            work += [caller.run_poison(plan.seconds) for caller in callers[:POISONERS]]
        if plan.needy:
            seconds = plan.seconds - LONGEST_SECONDS
            work += [world.limit(seconds), world.refuse(seconds), world.leave_by_word()]
        await asyncio.gather(strike_all(world, plan, began), *work)
        await asyncio.sleep(RECOVERY_SECONDS)
        await probe(world, record, began, plan.seed)
        collect(world, record, began)
        return list(find_broken(record, plan.planned, EVENTS, MODELS_FIT))
    finally:
        await world.stop()


async def probe(world: World, record: Record, began: float, seed: int) -> None:
    """Send requests when all is well again."""
    caller = Caller(CALLERS, world, record, began, seed)
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        while len(record.probes) < PROBES:
            before = len(record.probes)
            await caller.send(session, record.probes)
            if len(record.probes) == before:
                return


def collect(world: World, record: Record, began: float) -> None:
    """Take down what the endpoints saw."""
    record.ends = world.ends
    record.limited = world.limited
    links = world.links | world.past_links
    for runner in (*world.engines, *world.pages, *world.gone):
        record.ran += runner.ran
        record.orders[runner.name] = runner.orders
        record.held[runner.name] = runner.most_held
        leaves_at = world.leaves_at.get(runner.name, math.inf)
        record.words.append(read_words(runner, links[runner.name], leaves_at, began))


def read_words(runner: RunnerStandin, link: Proxy, leaves_at: float, began: float) -> Words:
    """Return what an endpoint said and got, in seconds of the run.

    A wish for rest that was lost on its way is left out: no host knows of it.
    """
    heads = [(at - began, name) for at, name in runner.heads]
    rests = [
        (at - began, name, seconds)
        for at, name, seconds, port in runner.rests
        if not link.lost(port, at)
    ]
    return Words(heads, rests, leaves_at - began)


def describe(plan: Plan) -> str:
    """Return a plan as lines of text."""
    rows = [f"{f.at:6.2f} s for {f.seconds:.2f} s  {f.kind.name} {f.target}" for f in plan.faults]
    return "\n".join([f"seed {plan.seed}, {plan.seconds} s", *rows]) + "\n"


@click.command()
@click.option("--first", default=1, help="First seed.")
@click.option("--seeds", default=5, help="How many seeds, one after the other.")
@click.option("--seconds", default=15.0, help="Length of a run's traffic.")
@click.option("--hosts", default=4, help="Host processes in a run.")
@click.option("--keep", default="", help="Folder for plans and logs of seeds that fail.")
@click.option(
    "--beside",
    metavar="DIR",
    type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
    help="Another checkout; every second host runs from it, so that two versions run side by side.",
)
def main(
    first: int, seeds: int, seconds: float, hosts: int, keep: str, beside: Path | None
) -> None:
    """Play seeded plans of faults against real processes, and check what callers are promised."""
    logging.disable(logging.CRITICAL)
    failures = 0
    for seed in range(first, first + seeds):
        plan = draw(seed, seconds)
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        try:
            broken = asyncio.run(play(plan, hosts, folder, beside))
        except Exception as exc:
            # A run that could not be played proves nothing: it counts as failed.
            broken = [f"not played: {exc!r}"]
        failures += bool(broken)
        click.echo(f"seed {seed}: {'failed' if broken else 'passed'}")
        for line in broken:
            click.echo(f"  {line}")
        if broken and keep:
            (folder / "plan.txt").write_text(describe(plan) + "\n".join(broken) + "\n")
            shutil.copytree(folder, Path(keep) / f"seed-{seed}", dirs_exist_ok=True)
        shutil.rmtree(folder)
    click.echo(f"{seeds - failures} passed, {failures} failed")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
