"""Generates the pages for operators from the code: settings and error kinds."""

import sys
from pathlib import Path

from peridotdock.config import ENV_PREFIX, load_schema
from peridotdock.errors import ANSWERS

OPERATORS_DIR = Path(__file__).resolve().parent.parent / "docs" / "operators"


def write_errors() -> str:
    """Return the page of error kinds as Markdown."""
    lines = ["# Error kinds", "", "Made from `peridotdock/errors.py`.", ""]
    lines += ["| kind | status | ran | meaning | what to do |", "|---|---|---|---|---|"]
    for kind, answer in ANSWERS.items():
        cells = (f"`{kind}`", answer.status, answer.ran, answer.meaning, answer.remedy)
        lines.append("| " + " | ".join(map(str, cells)) + " |")
    return "\n".join(lines) + "\n"


def write_settings() -> str:
    """Return the page of settings as Markdown."""
    lines = ["# Settings", "", "Made from `peridotdock/schema/settings.json`.", ""]
    lines += ["| flag | variable | default | meaning |", "|---|---|---|---|"]
    for name, rule in load_schema("settings")["properties"].items():
        default = rule.get("default", "needed")
        flag = "--" + name.replace("_", "-")
        cells = (f"`{flag}`", f"`{ENV_PREFIX}{name.upper()}`", default, rule["description"])
        lines.append("| " + " | ".join(map(str, cells)) + " |")
    return "\n".join(lines) + "\n"


PAGES = {"errors.md": write_errors, "settings.md": write_settings}


def main() -> int:
    """Write the pages, or with ``--check`` report those that differ."""
    stale = []
    for name, write in PAGES.items():
        path = OPERATORS_DIR / name
        if "--check" not in sys.argv:
            path.write_text(write())
        elif not path.exists() or path.read_text() != write():
            stale.append(name)
    for name in stale:
        print(f"{name} does not match the code: run make generate", file=sys.stderr)
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
