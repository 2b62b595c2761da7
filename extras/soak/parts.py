"""Prompts with a part that crashes engines, and sound prompts that share its other parts."""

import asyncio
import itertools
import random
import time
from collections.abc import Awaitable, Iterator, Mapping, Sequence

from extras.soak.callers import PARTS, Caller
from extras.soak.checks import Attempt, Record
from extras.soak.deployment import SoakDeployment
from extras.soak.plan import Plan

# The part, where it may come, and what an engine has written when it crashes.
FATAL_PART = "bad"
POSITIONS = range(len(PARTS) + 1)
HEADS = ("", "chunked", "unframed")
# Numbers of the callers of sound prompts and of those with the part, after those of all seeds.
SOUND_CALLER, FATAL_CALLER = 200, 201
# Seconds of sound traffic before the first prompt with the part, and mean seconds between two.
SOUND_SECONDS = 3.0
MEAN_SOUND_PAUSE_SECONDS = 0.06
MEAN_FATAL_PAUSE_SECONDS = 0.4
FATAL_TOKENS = 20
LAST_TOKENS = 80


def draw_crash(seed: int) -> tuple[int, str]:
    """Return where a seed's prompts have the part, and what engines have written by then."""
    rng = random.Random(seed)
    return rng.choice(POSITIONS), rng.choice(HEADS)


def build_prompt(number: int, rows: Sequence[tuple[str, int]]) -> dict[str, int]:
    """Return the tokens by part of a prompt that begins with these parts and has its own last."""
    return dict([*rows, (f"{number:x}f", LAST_TOKENS)])


def draw_sound_prompts() -> Iterator[dict[str, int]]:
    """Yield prompts that no engine crashes on."""
    return (build_prompt(number, list(PARTS.items())) for number in itertools.count(1, 2))


def draw_fatal_prompts(position: int) -> Iterator[dict[str, int]]:
    """Yield prompts with the fatal part at a position."""
    rows = list(PARTS.items())
    rows.insert(position, (FATAL_PART, FATAL_TOKENS))
    return (build_prompt(number, rows) for number in itertools.count(2, 2))


def plant_part(deployment: SoakDeployment, seed: int) -> None:
    """Let the part crash the engines of a deployment that has not started yet."""
    deployment.fatal_parts = frozenset({FATAL_PART})
    _, deployment.fatal_head = draw_crash(seed)


def load_prompts(
    deployment: SoakDeployment, record: Record, started_at: float, plan: Plan
) -> list[Awaitable[None]]:
    """Return the work of a plan with a fatal part: the callers of sound and of fatal prompts."""
    position, _ = draw_crash(plan.seed)
    sound = Caller(SOUND_CALLER, deployment, record, started_at, plan.seed)
    fatal = Caller(FATAL_CALLER, deployment, record, started_at, plan.seed, direct=True)
    rows = (
        (sound, draw_sound_prompts(), 0.0, MEAN_SOUND_PAUSE_SECONDS, record.attempts),
        (
            fatal,
            draw_fatal_prompts(position),
            SOUND_SECONDS,
            MEAN_FATAL_PAUSE_SECONDS,
            record.fatal_attempts,
        ),
    )
    until = started_at + plan.seconds
    return [send_prompts(*row, until, random.Random(plan.seed)) for row in rows]


async def send_prompts(
    caller: Caller,
    prompts: Iterator[Mapping[str, int]],
    after: float,
    pause: float,
    attempts: list[Attempt],
    until: float,
    rng: random.Random,
) -> None:
    """Send prompts from ``after`` seconds on, whether earlier ones were answered or not.

    ``pause`` are the mean seconds between two, ``until`` is in monotonic seconds. No two have the
    same body.
    """
    await asyncio.sleep(after)
    sent = []
    async with caller.open_session() as session:
        while time.monotonic() < until:
            prompt = next(prompts)
            work = caller.send_prompt(session, prompt, " ".join(prompt).encode(), attempts)
            sent.append(asyncio.ensure_future(work))
            await asyncio.sleep(pause * rng.random() * 2)
        await asyncio.gather(*sent)
