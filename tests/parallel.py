"""Runs test modules in processes of their own, several at once."""

import asyncio
import json
import os
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from extras.soak.ports import PART_VARIABLE

ROOT = Path(__file__).resolve().parent.parent
# Modules that run at once at most, and the cores that each of them needs: hosts, stand-ins and
# callers of a test share one of them, and tests measure time.
MAX_AT_ONCE = 4
CORES_PER_MODULE = 2
# Modules that run after all others, one at a time: they measure what the machine bears.
ALONE = ("tests.test_unruly_clients",)


@dataclass
class Outcome:
    """Ids of the tests that passed and failed."""

    passed: set[str] = field(default_factory=set)
    failed: set[str] = field(default_factory=set)

    def write(self, path: Path) -> None:
        """Write the ids to a file."""
        rows = {"passed": sorted(self.passed), "failed": sorted(self.failed)}
        path.write_text(json.dumps(rows))

    def add(self, path: Path) -> None:
        """Add the ids in a file."""
        rows = json.loads(path.read_text())
        self.passed |= set(rows["passed"])
        self.failed |= set(rows["failed"])


def find_modules() -> list[str]:
    """Return the names of all test modules, longest first, so that none starts late and alone."""
    paths = sorted(ROOT.glob("tests/**/test_*.py"), key=lambda path: -path.stat().st_size)
    return [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]


def count_workers() -> int:
    """Return how many modules run at once on this machine."""
    return max(1, min(MAX_AT_ONCE, (os.cpu_count() or 1) // CORES_PER_MODULE))


async def run_module(name: str, worker: int, report: Path, outcome: Outcome) -> None:
    """Run one module and add its outcome; print what it wrote if any of its tests failed.

    Each ``worker`` has ports of its own. A module that ends without a report counts as one failed
    test of its name.
    """
    proc = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "tests", "--report", str(report), name),
        cwd=ROOT,
        env=os.environ | {PART_VARIABLE: str(worker)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    text, _ = await proc.communicate()
    found = Outcome()
    if report.exists():
        found.add(report)
    else:
        found.failed.add(name)
    outcome.passed |= found.passed
    outcome.failed |= found.failed
    print(f"{name}: {len(found.failed)} of {len(found.passed | found.failed)} failed", flush=True)
    if found.failed or not found.passed:
        print(text.decode(errors="replace"), flush=True)


async def run_all(names: Sequence[str], workers: int) -> Outcome:
    """Run modules, ``workers`` at once, then those of ALONE, and return the outcome of all."""
    outcome, waiting = Outcome(), [name for name in names if name not in ALONE]
    with tempfile.TemporaryDirectory() as folder:

        async def work(worker: int) -> None:
            while waiting:
                name = waiting.pop(0)
                await run_module(name, worker, Path(folder) / f"{name}.json", outcome)

        await asyncio.gather(*(work(worker) for worker in range(workers)))
        waiting = [name for name in names if name in ALONE]
        await work(0)
    return outcome
