"""Writing of a command's results: tables on a terminal, JSON when piped."""

from typing import Any

from peridotdock.context import Streams
from peridotdock.output.formats import format_json, format_table


class Writer:
    """Writes results to standard output and errors to standard error.

    ``form`` is "table", "json" or "auto", which selects a table on a terminal and JSON otherwise.
    """

    def __init__(self, streams: Streams, form: str):
        self._streams = streams
        self._as_table = form == "table" or (form == "auto" and streams.out_is_terminal)

    def rows(self, rows: list[dict[str, Any]]) -> None:
        """Write a list of rows, all with the same columns."""
        self._write(format_table(rows) if self._as_table else format_json(rows))

    def record(self, record: dict[str, Any]) -> None:
        """Write one record; in a table, each field that is a list of rows gets its own table."""
        if not self._as_table:
            self._write(format_json(record))
            return
        flat = [{"field": k, "value": v} for k, v in record.items() if not isinstance(v, list)]
        self._write(format_table(flat))
        for name, rows in record.items():
            if isinstance(rows, list) and rows and isinstance(rows[0], dict):
                self._write(f"\n{name}:\n{format_table(rows)}")

    def write_error(self, text: str) -> None:
        """Write an error message to standard error."""
        self._streams.err.write(f"peridotdock: {text}\n")

    def _write(self, text: str) -> None:
        self._streams.out.write(text + "\n")
