"""Endpoints that are silent at once, in series, while the configuration changes."""

import asyncio
import random
import time

from extras.soak.deployment import SoakDeployment
from tests.standins.runner import RunnerStandin

# Seconds from a change of the configuration to a silence.
CHANGE_LEAD_SECONDS = 0.5
# Seconds for which a sound endpoint is silent, and up to which one falls silent later than another.
MIN_SILENCE_SECONDS = 0.9
MAX_SILENCE_SECONDS = 2.5
MAX_SHIFT_SECONDS = 0.2
# Seconds from the end of the longest silence to the next change.
MIN_PAUSE_SECONDS = 0.3
MAX_PAUSE_SECONDS = 1.2
# Requests that an endpoint refuses during a silence, at most.
MAX_REFUSALS = 4
# Seconds for which engines read a prompt, and for which their reports are late.
PROMPT_SECONDS = (0.0, 0.3, 0.6)
REPORT_SECONDS = (0.0, 0.2, 0.38)


def slow_engines(deployment: SoakDeployment, rng: random.Random) -> None:
    """Let each engine take its own time to read a prompt and to answer a call for its report."""
    for engine in deployment.engines:
        engine.prompt_seconds = rng.choice(PROMPT_SECONDS)
        engine.report_delay_seconds = rng.choice(REPORT_SECONDS)


async def silence_in_series(deployment: SoakDeployment, seconds: float, rng: random.Random) -> None:
    """Let several or all endpoints be silent after a change of the configuration, repeatedly.

    In every second silence, on average, some endpoints also refuse requests.
    """
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        deployment.add_route()
        await asyncio.sleep(CHANGE_LEAD_SECONDS)
        runners = [*deployment.engines, *deployment.pages]
        count = len(runners)
        size = rng.choice((2, count // 2, count - 1, count))
        if rng.random() < 0.5:
            refuse_some(runners, rng)
        chosen = rng.sample(runners, size)
        await asyncio.gather(*(silence(runner, *draw_times(rng)) for runner in chosen))
        await asyncio.sleep(rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))


def draw_times(rng: random.Random) -> tuple[float, float]:
    """Return the seconds until an endpoint is silent, and for which it is."""
    shift = rng.uniform(0.0, MAX_SHIFT_SECONDS)
    return shift, rng.uniform(MIN_SILENCE_SECONDS, MAX_SILENCE_SECONDS)


async def silence(runner: RunnerStandin, shift: float, seconds: float) -> None:
    """Let an endpoint be silent some time from now."""
    await asyncio.sleep(shift)
    await runner.freeze(seconds)


def refuse_some(runners: list[RunnerStandin], rng: random.Random) -> None:
    """Let some endpoints refuse the next requests, which they then have not run."""
    for runner in rng.sample(runners, rng.randint(1, len(runners))):
        runner.script += ["refuse"] * rng.randint(1, MAX_REFUSALS)
