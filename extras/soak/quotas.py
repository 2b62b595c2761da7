"""Workspaces with quotas, their callers, and hosts that are lost one after the other."""

import asyncio
import random
import time
from collections.abc import Awaitable
from typing import Any

from extras.soak.callers import Caller
from extras.soak.checks import Record, WorkspaceLoad
from extras.soak.deployment import SoakDeployment
from extras.soak.plan import KINDS, MAX_FAULT_SECONDS, Fault, Plan

# The workspace of callers that have no quota.
OPEN = "open"
# Tokens of a request, and what callers send: over a quota and well within it, by either unit.
TOKENS = 920.0
LOADS = (
    WorkspaceLoad("busy", rate=10.0, burst=10.0, cost=1.0, load=3.0),
    WorkspaceLoad("calm", rate=10.0, burst=10.0, cost=1.0, load=0.5),
    WorkspaceLoad("busy-tokens", rate=9200.0, burst=9200.0, cost=TOKENS, load=3.0),
    WorkspaceLoad("calm-tokens", rate=9200.0, burst=9200.0, cost=TOKENS, load=0.5),
)
LIMITED_ROUTES = ("fetch", "recap")
# Number of the first of these callers, after those of all seeds.
FIRST_CALLER = 100
# Jitter of the time between two requests of a workspace.
JITTER_SHARE = 0.5
# Ways in which hosts are lost, for how long, and seconds from the return of one to the next loss.
LOSSES = [kind for kind in KINDS if kind.name in ("stop", "kill", "pause")]
MIN_LOSS_SECONDS = 0.2
MAX_LOSS_SECONDS = 2.0
MIN_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 2.5


def describe_workspaces() -> list[dict[str, Any]]:
    """Return all workspaces as in a configuration, first the one without a quota."""
    rows = [
        {
            "name": row.name,
            "api_keys": [row.name],
            "rate_per_s": row.rate,
            "burst": row.burst,
            "unit": "requests" if row.cost == 1 else "tokens",
            "plain_tokens": row.cost,
        }
        for row in LOADS
    ]
    return [{"name": OPEN, "api_keys": [OPEN]}, *rows]


def load_workspaces(
    deployment: SoakDeployment, record: Record, started_at: float, plan: Plan
) -> list[Awaitable[None]]:
    """Return the work of a plan with quotas: the callers of all workspaces, and lost hosts."""
    work = [lose_hosts(deployment, plan.seconds - MAX_FAULT_SECONDS, random.Random(plan.seed))]
    for number, row in enumerate(LOADS, FIRST_CALLER):
        caller = Caller(
            number,
            deployment,
            record,
            started_at,
            plan.seed,
            direct=True,
            routes=LIMITED_ROUTES,
            workspace=row.name,
        )
        work.append(send_load(caller, row, plan.seconds, random.Random(plan.seed)))
    return work


async def send_load(caller: Caller, row: WorkspaceLoad, seconds: float, rng: random.Random) -> None:
    """Send a workspace's load for some seconds, whether earlier requests were answered or not."""
    interval = row.cost / (row.load * row.rate)
    until = time.monotonic() + seconds
    sent = []
    async with caller.open_session() as session:
        while time.monotonic() < until:
            sent.append(asyncio.ensure_future(caller.send_once(session)))
            await asyncio.sleep(interval * (1 + JITTER_SHARE * (rng.random() - 0.5)))
        await asyncio.gather(*sent)


async def lose_hosts(deployment: SoakDeployment, seconds: float, rng: random.Random) -> None:
    """Lose hosts for a while, one after the other; the next one when the last is ready again."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        kind, index = rng.choice(LOSSES), rng.randrange(len(deployment.hosts))
        lasts = rng.uniform(MIN_LOSS_SECONDS, MAX_LOSS_SECONDS)
        await deployment.inject(Fault(0.0, lasts, kind, index))
        await deployment.wait_ready()
        await asyncio.sleep(rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
