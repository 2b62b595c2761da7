"""Engines that start again at another software version; their entries tell of it later."""

import asyncio
import random
import time
from collections import Counter

from extras.soak.deployment import SoakDeployment
from tests.standins.runner import RunnerStandin

# Seconds from the entry of one new start to the next, until an engine listens again, and from then
# until its entry tells of its version.
MIN_PAUSE_SECONDS = 0.3
MAX_PAUSE_SECONDS = 1.0
MAX_AWAY_SECONDS = 0.4
ENTRY_LAG_SECONDS = 1.0


async def update_in_series(deployment: SoakDeployment, seconds: float, rng: random.Random) -> None:
    """Start engines again at another software version, one after the other."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        await asyncio.sleep(rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))
        if deployment.engines:
            await update(deployment, choose_engine(deployment.engines, rng), rng)


def choose_engine(engines: list[RunnerStandin], rng: random.Random) -> RunnerStandin:
    """Return an engine of the version that most have, so that both versions serve afterwards."""
    [(version, _)] = Counter(engine.software for engine in engines).most_common(1)
    return rng.choice([engine for engine in engines if engine.software == version])


async def update(deployment: SoakDeployment, runner: RunnerStandin, rng: random.Random) -> None:
    """Start an engine again under its id and address, with its models, at the other version."""
    away = rng.uniform(0.0, MAX_AWAY_SECONDS)
    since = time.monotonic()
    deployment.links[runner.name].cuts.append((since, since + away))
    deployment.unannounced.add(runner.name)
    on_crash, runner.on_crash = runner.on_crash, lambda: None
    runner.crash()
    runner.on_crash = on_crash
    await asyncio.sleep(away)
    if runner in deployment.engines:
        # Otherwise the engine was replaced meanwhile.
        first, second = deployment.versions
        runner.software = second if runner.software == first else first
        runner.source = f"{runner.name}/{runner.software}"
        deployment.software[runner.source] = runner.software
        await runner.recover()
        await asyncio.sleep(ENTRY_LAG_SECONDS)
    deployment.unannounced.discard(runner.name)
    runner.on_change()
