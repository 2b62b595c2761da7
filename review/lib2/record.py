"""The record of a case, beside its script, and the exit status of the script."""

import asyncio
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

HELD, BROKEN, NOT_RUN = 0, 1, 2
# A case that takes longer could not run.
MAX_SECONDS = 110.0


class Record:
    """Writes lines with the seconds since the start of the script to ``record.txt``."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.add(f"TROUBLE={int(self.trouble)}")

    def add(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._started_at:7.3f} s  {text}"
        print(line, file=self._file, flush=True)


def run_case(script: str, case: Callable[[Record, Path], Awaitable[list[str]]]) -> None:
    """Run a case, which returns what broke the rule, and exit with its status."""
    record = Record(Path(script).resolve().parent)
    try:
        with tempfile.TemporaryDirectory() as folder:
            broken = asyncio.run(limit(case(record, Path(folder))))
    except Exception as exc:
        record.add(f"could not run: {type(exc).__name__}: {exc}")
        print(f"could not run: {type(exc).__name__}: {exc}")
        sys.exit(NOT_RUN)
    for text in broken:
        record.add(f"BROKEN: {text}")
    record.add("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)


async def limit(work: Awaitable[list[str]]) -> list[str]:
    """Wait for a case for as long as it may run."""
    async with asyncio.timeout(MAX_SECONDS):
        return await work
