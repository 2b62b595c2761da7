"""Ablation study: disable one mechanism at a time and measure the effect on simulated days.

Each mechanism is disabled by a patch to a scratch copy of the tree, so the product needs no switch.
``--play`` is the command that simulates one day in a copy; it contains ``{day}`` and ``{seed}``
and prints ``worth N``. One JSON line for each mechanism holds the worth of each day, their mean and
the loss against the unchanged tree. A difference within the variation of single days is not
significant: use several days and seeds.
"""

import argparse
import json
import re
import shlex
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
WORTH_PATTERN = re.compile(r"^worth (\d+\.\d+)", re.MULTILINE)
PLAY_TIMEOUT_SECONDS = 1200


@dataclass(frozen=True)
class Mechanism:
    """A mechanism: the source text in a file of ``peridotdock``, and the text that disables it."""

    name: str
    file: str
    old: str
    new: str


MECHANISMS = (
    Mechanism(
        "kept prompt parts",
        "relay/fleet.py",
        "state.cached_tokens(inference) if inference else 0",
        "0",
    ),
    Mechanism(
        "one endpoint preferred by all hosts for a shared part",
        "relay/fleet.py",
        "if inference is None or len(inference.parts) < 2 or not states:",
        "if True:",
    ),
    Mechanism(
        "ties between near predictions",
        "decisions/choice.py",
        "TIE_SECONDS = 0.004",
        "TIE_SECONDS = 0.0",
    ),
    Mechanism("slowness", "relay/fleet.py", "slowness=state.health.slowness(now)", "slowness=1.0"),
    Mechanism(
        "suspects passed over",
        "relay/fleet.py",
        "suspect=state.health.suspect(now)",
        "suspect=False",
    ),
    Mechanism(
        "other hosts' work",
        "relay/fleet.py",
        "state.remote_load = loads.get(key, NO_LOAD)",
        "state.remote_load = NO_LOAD",
    ),
    Mechanism(
        "prompts paced by the hub",
        "relay/choosing.py",
        "if req.head.inference is None or not accepting:",
        "if True:",
    ),
    Mechanism("a pace that grows", "decisions/pacing.py", "MAX_FACTOR = 4.0", "MAX_FACTOR = 1.0"),
    Mechanism(
        "late prompts behind others",
        "decisions/pacing.py",
        "return now > prompt.send_by, prompt.rank, prompt.send_by",
        "return prompt.rank, prompt.send_by",
    ),
    Mechanism(
        "too long a wait refused",
        "decisions/admission.py",
        "return ExcessiveWait(found.seconds, allowed) if found.seconds > allowed else None",
        "return None",
    ),
    Mechanism(
        "engine priority by rank",
        "relay/service.py",
        "return min(9, 2 + 2 * req.rank + slow)",
        "return 5 + 0 * slow",
    ),
    Mechanism(
        "patience before another endpoint",
        "relay/service.py",
        "return FIRST_EVENT_TIMEOUT_SECONDS + FIRST_EVENT_TIMEOUT_FACTOR * predicted",
        "return 3600.0",
    ),
    Mechanism(
        "silent streams taken up elsewhere",
        "relay/streaming.py",
        "if remaining > 0:",
        "if False:",
    ),
    Mechanism("refused sends repeated", "relay/service.py", "MAX_REFUSALS = 2", "MAX_REFUSALS = 0"),
    Mechanism(
        "a pause before refused sends",
        "relay/waits.py",
        "await asyncio.wait({caller.disconnected}, timeout=seconds)",
        "await asyncio.wait({caller.disconnected}, timeout=0)",
    ),
    Mechanism(
        "further copies by demand",
        "decisions/copies.py",
        "return max(2, 1 + int(rate / COPY_DEMAND), by_adapter_slots)",
        "return max(2, by_adapter_slots)",
    ),
    Mechanism(
        "a spare copy",
        "decisions/copies.py",
        "return max(2, 1 + int(rate / COPY_DEMAND), by_adapter_slots)",
        "return max(1 + int(rate / COPY_DEMAND), by_adapter_slots)",
    ),
    Mechanism(
        "copies by adapters' places",
        "decisions/copies.py",
        "return max(2, 1 + int(rate / COPY_DEMAND), by_adapter_slots)",
        "return max(2, 1 + int(rate / COPY_DEMAND))",
    ),
    Mechanism(
        "free adapter places filled",
        "decisions/adapters.py",
        "if peak_demand(draft, model.name) < SPARE_COPY_DEMAND:",
        "if True:",
    ),
    Mechanism(
        "what runs known to placement",
        "relay/host.py",
        "peers.down(), peers.running())",
        "peers.down(), {})",
    ),
    Mechanism(
        "weights at hand cheaper to drop",
        "decisions/eviction.py",
        "CACHED_LAST_COPY_VALUE = 0.2",
        "CACHED_LAST_COPY_VALUE = 1.0",
    ),
    Mechanism(
        "peaks of late remembered",
        "decisions/eviction.py",
        "PEAK_WEIGHT = 0.1",
        "PEAK_WEIGHT = 0.0",
    ),
    Mechanism(
        "the lease's renewals told",
        "relay/host.py",
        "self.leadership.on_renewed = self.peers.publish_lease",
        "pass",
    ),
)


def main(argv: Sequence[str] | None = None) -> int:
    """Simulate the days with the unchanged tree and without each mechanism."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--play", required=True, help="command that simulates {day} with {seed}")
    parser.add_argument("--days", required=True, help="days, separated by commas")
    parser.add_argument("--seeds", default="0", help="seeds, separated by commas")
    parser.add_argument("--jobs", type=int, default=2, help="number of days simulated in parallel")
    parser.add_argument("--only", default="", help="only mechanisms whose names contain this")
    options = parser.parse_args(argv)
    days = [(day, seed) for day in options.days.split(",") for seed in options.seeds.split(",")]
    chosen = [row for row in MECHANISMS if options.only in row.name]
    with (
        tempfile.TemporaryDirectory(dir=ROOT.parent, prefix="ablation-") as folder,
        ThreadPoolExecutor(options.jobs) as pool,
    ):
        plays = [
            (row, [pool.submit(play, Path(folder), row, options.play, *day) for day in days])
            for row in (None, *chosen)
        ]
        for line in describe(plays):
            print(json.dumps(line), flush=True)
    return 0


def describe(plays) -> Iterator[dict]:
    """Yield the figures of the unchanged tree, then those of each mechanism."""
    whole = 0.0
    for row, futures in plays:
        found = [future.result() for future in futures]
        played = [worth for worth in found if worth is not None]
        mean = sum(played) / len(played) if played else 0.0
        whole = whole if row else mean
        name = row.name if row else "as it is"
        yield {
            "without": name,
            "mean": round(mean, 4),
            "lost": round(whole - mean, 4),
            "days": found,
        }


def play(folder: Path, row: Mechanism | None, command: str, day: str, seed: str) -> float | None:
    """Simulate one day in a copy of the tree without a mechanism and return its worth.

    Returns None if the command printed no worth.
    """
    copy = Path(tempfile.mkdtemp(dir=folder)) / "tree"
    subprocess.run(["git", "clone", "--quiet", str(ROOT), str(copy)], check=True)
    if (ROOT / "target").exists():
        shutil.copytree(ROOT / "target", copy / "target", symlinks=True)
    if row is not None:
        apply(copy, row)
    args = shlex.split(command.format(day=day, seed=seed))
    done = subprocess.run(
        args, cwd=copy, capture_output=True, text=True, timeout=PLAY_TIMEOUT_SECONDS
    )
    for entry in (copy / "journal").glob("*.json"):
        shutil.copy(entry, ROOT / "journal")
    shutil.rmtree(copy)
    found = WORTH_PATTERN.search(done.stdout)
    if found is None:
        print(
            f"{row and row.name}: {day}, seed {seed}: no worth", done.stdout[-500:], file=sys.stderr
        )
    return float(found[1]) if found else None


def apply(tree: Path, row: Mechanism) -> None:
    """Disable a mechanism in a copy of the tree; raise ValueError if its source text is missing."""
    path = tree / "peridotdock" / row.file
    text = path.read_text()
    if row.old not in text:
        raise ValueError(f"{row.name}: {row.file} does not contain {row.old!r}")
    path.write_text(text.replace(row.old, row.new, 1))


if __name__ == "__main__":
    sys.exit(main())
