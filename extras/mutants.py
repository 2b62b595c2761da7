"""Take each guard out, one at a time, and see that its proof then fails.

A proof that has never failed proves nothing. ``make mutants`` copies the tree, removes one guard,
runs the tests named for it and expects a failure; it prints one line a guard. docs/PROOFS.md has
the outcome of the last full run.
"""

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SECONDS = 60


@dataclass(frozen=True)
class Mutant:
    """A guard: where it stands, what replaces it, and the tests that must then fail."""

    name: str
    file: str
    old: str
    new: str
    tests: str


MUTANTS = (
    Mutant(
        "capacity is checked before a load is reserved",
        "ledger.py",
        "used[place] + size > capacity[place]",
        "False",
        "tests.test_memory.NeverBeyondCapacity",
    ),
    Mutant(
        "nothing is sent that was not written",
        "stewards.py",
        "if new != ward.ledger and not await self._save(ward, new, checks):\n            return",
        "if new != ward.ledger and not await self._save(ward, new, checks):\n"
        "            ward.ledger = new",
        "tests.test_memory.NeverBeyondCapacity",
    ),
    Mutant(
        "the row's version is checked",
        "stewards.py",
        "checks = {ledgers.row_key(ward.endpoint.id): ward.version}\n        new",
        "checks = {}\n        new",
        "tests.test_memory.NeverBeyondCapacity",
    ),
    Mutant(
        "bytes wait out the lateness bound on engines that ignore numbers",
        "stewards.py",
        "bound = 0.0 if ward.endpoint.fencing else self._ctx.cfg.lateness_seconds",
        "bound = 0.0",
        "tests.test_memory.LateOrders",
    ),
    Mutant(
        "an unload must have been answered before its bytes are freed",
        "stewards.py",
        "if row.state is State.UNLOADING and gone and ward.answered.get(row.item) == row.order:",
        "if row.state is State.UNLOADING and gone:",
        "tests.test_memory.LateOrders",
    ),
    Mutant(
        "an item nobody ordered is charged",
        "ledger.py",
        "found = [charge(item, held) for item, held in report.items.items() if item not in known]",
        "found = []",
        "tests.test_memory.LateOrders",
    ),
    Mutant(
        "an unload needs another ready copy",
        "stewards.py",
        "if failed(changed) or proof is None:",
        "if failed(changed):\n                continue\n            if False:",
        "tests.test_memory.LastCopy",
    ),
    Mutant(
        "the other copy's row is checked in the same write",
        "stewards.py",
        "            checks |= proof\n",
        "",
        "tests.test_memory.LastCopy",
    ),
    Mutant(
        "a write without an answer is sent again",
        "clients/platform.py",
        "        again = await platform.commit(tx)\n",
        "        again = Failure(Kind.CONFLICT)\n",
        "tests.test_platform",
    ),
    Mutant(
        "a conflict after a lost answer is read back",
        "clients/platform.py",
        "            return await read_back(platform, tx)",
        "            return again",
        "tests.test_platform",
    ),
)


def run(mutant: Mutant) -> str:
    """Return what became of a mutant: caught, or why not."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "tree"
        ignore = shutil.ignore_patterns(".git", ".venv", "__pycache__", ".hypothesis")
        shutil.copytree(ROOT, copy, ignore=ignore)
        path = copy / "peridotdock" / mutant.file
        text = path.read_text()
        if text.count(mutant.old) != 1:
            return f"the guard stands {text.count(mutant.old)} times"
        path.write_text(text.replace(mutant.old, mutant.new))
        command = [sys.executable, "-m", "tests", *mutant.tests.split()]
        try:
            done = subprocess.run(command, cwd=copy, capture_output=True, timeout=SECONDS)
        except subprocess.TimeoutExpired:
            return "caught (hung)"
        return "caught" if done.returncode else "NOT CAUGHT"


def main() -> int:
    """Run all mutants, or those whose name contains the first argument."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    missed = 0
    for mutant in MUTANTS:
        if wanted not in mutant.name:
            continue
        outcome = run(mutant)
        missed += not outcome.startswith("caught")
        print(f"{outcome:12} {mutant.name} ({mutant.tests})", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
