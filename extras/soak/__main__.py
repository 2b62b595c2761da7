"""``python -m extras.soak``: runs seeded fault plans and prints the outcome of each.

The last line is ``N passed, N failed``.
"""

import asyncio
import logging
import math
import random
import shutil
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

import aiohttp
import click

from extras.soak.callers import Caller
from extras.soak.checks import EndpointRecord, EngineRun, Record, find_violations
from extras.soak.deployment import GRACE_SECONDS, MODELS_FIT, STOP_SECONDS, SoakDeployment
from extras.soak.kept_callers import load_kept
from extras.soak.partitions import silence_endpoints
from extras.soak.parts import load_prompts, plant_part
from extras.soak.plan import MAX_FAULT_SECONDS, Plan, draw_plan
from extras.soak.proxy import Proxy
from extras.soak.quotas import LOADS, describe_workspaces, load_workspaces
from extras.soak.silences import silence_in_series, slow_engines
from extras.soak.stop_checks import find_lost, summarise
from extras.soak.stops import add_services, stop_in_series
from extras.soak.updates import update_in_series
from extras.soak.uploads import UPLOAD_SHARE, break_uploads
from tests.standins.runner import EVENTS_PER_STREAM, FALL_SECONDS, RunnerStandin

CALLER_COUNT = 8
SOFTWARE_VERSIONS = ("v1", "v2")
# Callers that use all hosts, also those that the directory leaves out as they are cut off.
DIRECT_CALLER_COUNT = 20
# Callers that send streams alone in some seeds, and the seconds of each event then.
STREAM_CALLER_COUNT = 32
STREAM_ROUTES = ("recap", "once")
SLOW_EVENT_SECONDS = 0.15
# Callers that also repeat one request that crashes endpoints.
POISON_CALLER_COUNT = 2
# Seconds that hosts have after the last fault to recover before probes are sent.
RECOVERY_SECONDS = 7.0
PROBE_COUNT = 40
# Seconds within which a change must be in force on all hosts, and the requests that each then gets.
CHANGE_SECONDS = 2.0
# Streams that may have events of two software versions where an entry tells of a new one late.
MIXED_WITH_UPDATES = 2
REQUESTS_AFTER_CHANGE = 4
UNKNOWN_ROUTE = 404


async def inject_faults(deployment: SoakDeployment, plan: Plan, started_at: float) -> None:
    """Start each fault at its time, ``started_at`` being the start of the run in monotonic seconds.

    Faults may overlap. Returns when all have ended and raises the first error of one.
    """
    tasks = []
    for fault in plan.faults:
        await asyncio.sleep(max(0.0, fault.at - (time.monotonic() - started_at)))
        tasks.append(asyncio.ensure_future(deployment.inject(fault)))
    for outcome in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(outcome, Exception):
            raise outcome


def number_callers(partitioned: bool) -> tuple[range, range]:
    """Return the numbers of the callers that use all hosts, and of those that send streams alone.

    A number is the first part of a caller's attempt ids, and no other caller of the run has it.
    """
    first = CALLER_COUNT + 1
    direct = range(first, first + DIRECT_CALLER_COUNT * partitioned)
    return direct, range(direct.stop, direct.stop + STREAM_CALLER_COUNT)


async def run_plan(
    plan: Plan,
    hosts: int,
    folder: Path,
    beside: Path | None = None,
    grace: float = STOP_SECONDS,
) -> list[str]:
    """Run one plan against new processes and return the violated guarantees, one line each.

    ``grace`` are the seconds from SIGTERM to SIGKILL; stops in series have the platform's.
    """
    partitioned = plan.partitioned and beside is None
    record, deployment = Record(), SoakDeployment(hosts, folder, beside, partitioned)
    if plan.versioned:
        deployment.versions = SOFTWARE_VERSIONS
    if plan.fatal_part:
        plant_part(deployment, plan.seed)
    if plan.limited:
        deployment.workspaces = describe_workspaces()
        record.loads = LOADS
    deployment.grace = grace
    if plan.stopping:
        deployment.grace = GRACE_SECONDS
        add_services(deployment)
    await deployment.start()
    try:
        await deployment.wait_ready()
        started_at = time.monotonic()
        direct, streaming = number_callers(partitioned)
        callers = [
            Caller(n, deployment, record, started_at, plan.seed) for n in range(CALLER_COUNT)
        ]
        for caller in callers if plan.uploads else ():
            caller.upload_share = UPLOAD_SHARE
        work = [caller.run(plan.seconds) for caller in callers]
        if plan.poisoned:
            work += [caller.run_poison(plan.seconds) for caller in callers[:POISON_CALLER_COUNT]]
        if plan.overloaded:
            seconds = plan.seconds - MAX_FAULT_SECONDS
            work += [
                deployment.announce_limits(seconds),
                deployment.refuse_requests(seconds),
                deployment.announce_draining(),
            ]
        if partitioned:
            rng, seconds = random.Random(plan.seed), plan.seconds - MAX_FAULT_SECONDS
            names = [host.name for host in deployment.hosts]
            sound = [*deployment.engines, *deployment.pages]
            work += [
                deployment.partitions.run(seconds, names, rng),
                silence_endpoints(seconds, sound, random.Random(plan.seed)),
            ]
            work += [
                Caller(n, deployment, record, started_at, plan.seed, direct=True).run(plan.seconds)
                for n in direct
            ]
            if plan.brittle:
                deployment.make_brittle()
                record.brittle_since = 0.0
        if plan.silent:
            rng, seconds = random.Random(plan.seed), plan.seconds - MAX_FAULT_SECONDS
            slow_engines(deployment, random.Random(plan.seed))
            work.append(silence_in_series(deployment, seconds, rng))
        if plan.versioned:
            work.append(deployment.cut_streams(plan.seconds - MAX_FAULT_SECONDS))
        if plan.copied:
            work.append(deployment.copy_refusals(plan.seconds - MAX_FAULT_SECONDS))
        if plan.uploads:
            rng, seconds = random.Random(plan.seed), plan.seconds - MAX_FAULT_SECONDS
            work.append(break_uploads(deployment, seconds, rng))
        if plan.updated:
            record.allowed_mixed = MIXED_WITH_UPDATES
            rng, seconds = random.Random(plan.seed), plan.seconds - MAX_FAULT_SECONDS
            work.append(update_in_series(deployment, seconds, rng))
        if plan.silent or plan.versioned:
            deployment.slow_streams(SLOW_EVENT_SECONDS)
            work += [
                Caller(n, deployment, record, started_at, plan.seed, routes=STREAM_ROUTES).run(
                    plan.seconds
                )
                for n in streaming
            ]
        if plan.fatal_part:
            work += load_prompts(deployment, record, started_at, plan)
        if plan.limited:
            work += load_workspaces(deployment, record, started_at, plan)
        if plan.stopping:
            work += stop_in_series(deployment, record, started_at, plan)
            work += load_kept(deployment, record, started_at, plan)
        if plan.restored:
            rng, seconds = random.Random(plan.seed), plan.seconds - MAX_FAULT_SECONDS
            work.append(deployment.restore_store(seconds, rng))
        await asyncio.gather(inject_faults(deployment, plan, started_at), *work)
        await asyncio.sleep(RECOVERY_SECONDS)
        if plan.restored:
            record.missed_changes = await change_after_restore(deployment)
        await probe(deployment, record, started_at, plan.seed)
        collect_observations(deployment, record, started_at, plan)
        broken = find_violations(record, plan.maintenance_only, EVENTS_PER_STREAM, MODELS_FIT)
        if plan.stopping:
            click.echo(f"seed {plan.seed}: {summarise(record)}")
        return [*broken, *find_lost(record, plan.stopping)]
    finally:
        await deployment.stop()


async def change_after_restore(deployment: SoakDeployment) -> list[str]:
    """Make changes right after a restore of the store; return those that hosts miss, as text."""
    prefix, draining = await deployment.change_after_restore()
    await asyncio.sleep(CHANGE_SECONDS)
    counts = {runner.name: len(runner.request_times) for runner in draining}
    missed = []
    async with aiohttp.ClientSession() as session:
        for host in deployment.hosts:
            for number in range(REQUESTS_AFTER_CHANGE):
                headers = {
                    "host": "shop.example",
                    "x-attempt-id": f"change-{host.name}-{number}",
                    "x-deadline-ms": "2000",
                }
                url = f"http://{host.address('front')}{prefix}x"
                async with session.post(url, headers=headers) as resp:
                    if resp.status == UNKNOWN_ROUTE:
                        missed.append(f"{host.name}: no route {prefix} after a restore")
    for runner in draining:
        sent = [name for _, name in runner.request_times[counts[runner.name] :]]
        missed += [f"{name}: sent to {runner.name}, which drains" for name in sent]
    return missed


async def probe(deployment: SoakDeployment, record: Record, started_at: float, seed: int) -> None:
    """Send requests after all faults have ended, and record them as probes."""
    caller = Caller(CALLER_COUNT, deployment, record, started_at, seed)
    async with aiohttp.ClientSession(auto_decompress=False) as session:
        while len(record.probes) < PROBE_COUNT:
            before = len(record.probes)
            await caller.send(session, record.probes)
            if len(record.probes) == before:
                return


def collect_observations(
    deployment: SoakDeployment, record: Record, started_at: float, plan: Plan
) -> None:
    """Copy what the endpoints have recorded into the record of the run."""
    if deployment.fatal_parts:
        record.part_crashes = [at - started_at for at in deployment.crash_times]
    else:
        record.crash_times = deployment.crash_times
    if deployment.partitions is not None:
        record.partitions = [row.shifted(started_at) for row in deployment.partitions.done]
    record.disturbed = [row.shifted(started_at) for row in deployment.disturbed]
    record.host_ends = {name: at - started_at for name, at in deployment.host_ends.items()}
    for host in deployment.hosts:
        for attempt_id, name in host.read_forwarded():
            record.forwarded.setdefault(attempt_id, set()).add(name)
    record.limited_endpoints = deployment.limited_endpoints
    record.software = deployment.software
    links = deployment.links | deployment.closed_links
    sound = (*deployment.engines, *deployment.pages, *deployment.more_runners)
    for runner in (*sound, *deployment.stopped_runners):
        record.worked_until |= {name: at - started_at for name, at in runner.ended_at.items()}
        record.falls += [(at - started_at, runner.name) for at in runner.fall_times]
        record.ran += runner.executed
        if plan.silent:
            record.engine_runs += [
                EngineRun(
                    runner.name,
                    run.attempt,
                    run.taken_at - started_at,
                    run.awake_since - started_at,
                    run.began_at - started_at,
                    run.ended_at - started_at,
                )
                for run in runner.runs
            ]
        record.orders[runner.name] = runner.orders
        record.max_held[runner.name] = runner.max_models_held
        draining_from = deployment.draining_from.get(runner.name, math.inf)
        row = read_endpoint_record(runner, links[runner.name], draining_from, started_at)
        ended_at = deployment.endpoint_ends.get(runner.name, math.inf) - started_at
        record.endpoint_records.append(replace(row, ended_at=ended_at))


def read_endpoint_record(
    runner: RunnerStandin, link: Proxy, draining_from: float, started_at: float
) -> EndpointRecord:
    """Return what an endpoint announced and received, in seconds since the start of the run.

    A backoff is left out if the answer that asked for it was lost on the way, as no host knows it.
    """
    requests = [(at - started_at, name) for at, name in runner.request_times]
    backoffs = [
        (at - started_at, name, seconds)
        for at, name, seconds, port in runner.refusals
        if not link.lost(port, at)
    ]
    cuts = [*link.cuts, *((at, at + FALL_SECONDS) for at in runner.fall_times)]
    return EndpointRecord(
        requests,
        backoffs,
        draining_from - started_at,
        runner.name,
        cuts=[(since - started_at, until - started_at) for since, until in cuts],
        spoilt=frozenset(runner.spoilt),
    )


def describe(plan: Plan) -> str:
    """Return a plan as text, one line for each fault."""
    rows = [
        f"{f.at:6.2f} s for {f.seconds:.2f} s  {f.kind.name} {f.target_index}" for f in plan.faults
    ]
    return "\n".join([f"seed {plan.seed}, {plan.seconds} s", *rows]) + "\n"


@click.command()
@click.option("--first", default=1, help="First seed.")
@click.option("--seeds", default=5, help="Number of seeds, run one after the other.")
@click.option("--seconds", default=15.0, help="Seconds of traffic in each run.")
@click.option("--hosts", default=4, help="Number of host processes in each run.")
@click.option(
    "--grace",
    default=float(GRACE_SECONDS),
    help="Seconds from SIGTERM to SIGKILL of planned stops.",
)
@click.option("--keep", default="", help="Folder that gets the plans and logs of seeds that fail.")
@click.option(
    "--beside",
    metavar="DIR",
    type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
    help="Another checkout; every second host runs from it, so that two versions run side by side.",
)
def main(
    first: int,
    seeds: int,
    seconds: float,
    hosts: int,
    grace: float,
    keep: str,
    beside: Path | None,
) -> None:
    """Run seeded plans of faults against real processes and check the guarantees to callers."""
    logging.disable(logging.CRITICAL)
    failures = 0
    for seed in range(first, first + seeds):
        plan = draw_plan(seed, seconds)
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        try:
            broken = asyncio.run(run_plan(plan, hosts, folder, beside, grace))
        except Exception as exc:
            # A run that raised an error has checked nothing, so it counts as failed.
            broken = [f"not run: {exc!r}"]
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
