"""Summary of hosts' logs: why requests failed or were late, each under its first cause."""

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

NUMBER_PATTERN = re.compile(r"\d+(\.\d+)?")
FIRST_EVENT_PATTERN = re.compile(r"after ([\d.]+) s of ([\d.]+)")
LATE_FIRST_TOKEN = "late: first token"
LATE_PAUSE = "late: a pause within the stream"


@dataclass
class Reason:
    """A cause of failed or late requests, with its time range, requests and endpoints."""

    name: str
    first: str
    last: str
    requests: set[str] = field(default_factory=set)
    endpoints: dict[str, int] = field(default_factory=dict)

    def note(self, row: dict[str, Any]) -> None:
        """Count the request of a log line."""
        self.last = row["time"]
        self.requests.add(row["request"])
        endpoint = row.get("endpoint", "")
        if endpoint:
            self.endpoints[endpoint] = self.endpoints.get(endpoint, 0) + 1

    def describe(self) -> dict[str, Any]:
        """Return the row of the command's table."""
        worst = max(self.endpoints, key=self.endpoints.__getitem__, default="")
        return {
            "reason": self.name,
            "requests": len(self.requests),
            "first": self.first,
            "last": self.last,
            "endpoints": len(self.endpoints),
            "most at": f"{worst} ({self.endpoints[worst]})" if worst else "",
        }


def read_lines(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the parsed log lines about requests; any text before a line's JSON is ignored."""
    for line in lines:
        _, brace, rest = line.partition("{")
        try:
            row = json.loads(brace + rest) if brace else None
        except ValueError:
            continue
        if isinstance(row, dict) and row.get("request") and "time" in row:
            yield row


def name_reason(row: dict[str, Any]) -> str:
    """Return the cause of failure or lateness that a log line states, or an empty string."""
    event, detail = row.get("event", ""), row.get("detail", "")
    if event == "refused":
        return "refused: " + NUMBER_PATTERN.sub("N", detail)
    if event == "answer_broken":
        return "broken off: " + detail.partition(":")[0]
    if event == "paused":
        return LATE_PAUSE
    if event == "first_event":
        match = FIRST_EVENT_PATTERN.match(detail)
        return LATE_FIRST_TOKEN if match and float(match[1]) > float(match[2]) else ""
    return ""


def find_reasons(lines: Iterable[str], since: str = "", until: str = "~") -> list[dict[str, Any]]:
    """Return the reasons as table rows, ordered by falling number of requests.

    A request counts once, under the first cause in its log lines. ``since`` (inclusive) and
    ``until`` (exclusive) are compared as strings with the time of each line.
    """
    reasons: dict[str, Reason] = {}
    counted: set[str] = set()
    rows = [row for row in read_lines(lines) if since <= row["time"] < until]
    for row in sorted(rows, key=lambda row: row["time"]):
        name = name_reason(row)
        if not name or row["request"] in counted:
            continue
        counted.add(row["request"])
        reasons.setdefault(name, Reason(name, row["time"], row["time"])).note(row)
    ordered = sorted(reasons.values(), key=lambda reason: -len(reason.requests))
    return [reason.describe() for reason in ordered]
