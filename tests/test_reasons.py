"""Tests of ``peridotdock reasons``, which summarizes failed and late requests from logs."""

import json
import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from peridotdock.reasons import LATE_FIRST_TOKEN, find_reasons, name_reason
from tests.test_cli import invoke


def line(second, event, request="r1", **fields):
    row = {"time": f"2026-05-01 10:00:{second:06.3f}", "event": event, "request": request}
    return json.dumps(row | fields)


LOG = [
    "not a log line",
    line(1, "sent", "r1", endpoint="e1"),
    line(2, "first_event", "r1", endpoint="e1", detail="after 0.512 s of 0.300"),
    "12.5 host-1 " + line(3, "paused", "r1", endpoint="e1", detail="0.4 s before event 7"),
    line(3, "first_event", "r2", endpoint="e1", detail="after 0.100 s of 0.300"),
    line(4, "paused", "r2", endpoint="e1", detail="0.4 s before event 7"),
    line(5, "refused", "r3", detail="no_endpoint: no copy came"),
    line(6, "refused", "r4", detail="overloaded: a wait of 2.50 s, 1.20 allowed"),
    line(7, "refused", "r5", detail="overloaded: a wait of 3.50 s, 1.10 allowed"),
    line(8, "config_in_force", ""),
]


class ReasonsTest(unittest.TestCase):
    def test_each_request_counts_once_under_its_first_cause(self):
        rows = {row["reason"]: row["requests"] for row in find_reasons(LOG)}
        expected = {
            "refused: overloaded: a wait of N s, N allowed": 2,
            "late: first token": 1,
            "late: a pause within the stream": 1,
            "refused: no_endpoint: no copy came": 1,
        }
        self.assertEqual(expected, rows)

    def test_a_window_of_time(self):
        rows = find_reasons(LOG, "2026-05-01 10:00:04", "2026-05-01 10:00:06")
        self.assertEqual([1, 1], [row["requests"] for row in rows])

    @params(
        ("answer_broken", "deadline: caller_gone, last event 7", "broken off: deadline"),
        ("first_event", "after 0.300 s of 0.300", ""),
        ("first_event", "after 0.300 s", ""),
        ("first_event", "after 0.400 s of 0.300, software v1, born 1700", LATE_FIRST_TOKEN),
        ("sent", "send 1", ""),
    )
    def test_the_reason_of_a_line(self, event, detail, reason):
        self.assertEqual(reason, name_reason({"event": event, "detail": detail}))

    def test_the_command_prints_a_row_for_each_reason(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text("\n".join(LOG))
            status, out, _ = invoke("reasons", str(path))
        rows = [json.loads(text) for text in out.splitlines()]
        self.assertEqual((0, 4), (status, len(rows)))
        self.assertEqual("e1 (1)", rows[1]["most at"])
