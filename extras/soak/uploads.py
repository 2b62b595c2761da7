"""Uploads, and endpoints that answer them early and end their answers within."""

import asyncio
import random
import time

from extras.soak.callers import UPLOAD
from extras.soak.deployment import SoakDeployment

# Share of the requests that are uploads, where there are any.
UPLOAD_SHARE = 0.3
ENDS = ("half-close", "reset", "close")
READ_BYTES = (0, len(UPLOAD) // 10)
MIN_EARLY_SECONDS = 0.2
MAX_EARLY_SECONDS = 1.5
MAX_PAUSE_SECONDS = 0.8


async def break_uploads(deployment: SoakDeployment, seconds: float, rng: random.Random) -> None:
    """Let single endpoints answer uploads early, one after the other."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        runner = rng.choice([*deployment.engines, *deployment.pages])
        runner.early_end, runner.early_read = rng.choice(ENDS), rng.choice(READ_BYTES)
        await asyncio.sleep(rng.uniform(MIN_EARLY_SECONDS, MAX_EARLY_SECONDS))
        runner.early_end = ""
        await asyncio.sleep(rng.uniform(0.0, MAX_PAUSE_SECONDS))
