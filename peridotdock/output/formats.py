"""Formatting of rows: a table for people, JSON for programs."""

import json
from collections.abc import Sequence
from typing import Any

COLUMN_GAP = "  "
MAX_CELL_CHARS = 60


def format_json(document: Any) -> str:
    """Return a document as JSON, one line for each row of a list."""
    if isinstance(document, list):
        return "\n".join(json.dumps(row) for row in document)
    return json.dumps(document, indent=2)


def format_cell(value: Any) -> str:
    """Return a value as text for a table, truncated to ``MAX_CELL_CHARS``."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    text = str(value)
    return text if len(text) <= MAX_CELL_CHARS else text[: MAX_CELL_CHARS - 1] + "…"


def format_table(rows: Sequence[dict[str, Any]]) -> str:
    """Return rows as a table with column names; columns of numbers are right-aligned."""
    if not rows:
        return "(nothing)"
    names = list(rows[0])
    cells = [[format_cell(row.get(name, "")) for name in names] for row in rows]
    widths = [max(len(name), *(len(line[i]) for line in cells)) for i, name in enumerate(names)]
    numeric = [all(is_number(row.get(name)) for row in rows) for name in names]
    lines = [names, *cells]
    return "\n".join(
        COLUMN_GAP.join(
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(line, widths, numeric, strict=True)
        ).rstrip()
        for line in lines
    )


def is_number(value: Any) -> bool:
    """Return whether a value is a number and not a bool."""
    return isinstance(value, int | float) and not isinstance(value, bool)
