"""Logging never blocks the host."""

import logging
import os
import unittest

from peridotdock.logs import BoundedHandler


def record(text):
    return logging.LogRecord("peridotdock", logging.INFO, "", 0, text, None, None)


class FullPipeTest(unittest.TestCase):
    """Failure guarded against: all streams of a host stall when its log collector stops reading.

    The pipe is full, and writing the next line blocks the event loop.
    """

    def test_a_full_pipe_does_not_block(self):
        reader, writer = os.pipe()
        with open(writer, "w") as stream:
            handler = BoundedHandler(stream, max_lines=50)
            for number in range(5000):
                handler.emit(record(f"line {number} " + "x" * 100))
            self.assertGreater(handler.lost, 0)
            os.set_blocking(reader, False)
            found = os.read(reader, 1 << 20)
            handler.emit(record("last"))
            found += os.read(reader, 1 << 20)
        os.close(reader)
        lines = found.decode().splitlines()
        self.assertEqual("last", lines[-1])
        self.assertIn("log_lines_lost", lines)
        self.assertTrue(lines[0].startswith("line 0 "))
        self.assertTrue(all(line.startswith(("line ", "log_", "last")) for line in lines))


class ClosedPipeTest(unittest.TestCase):
    """Guards against a host that answers nothing once the reader of its logs has gone away."""

    def test_a_line_for_nobody_raises_nothing(self):
        reader, writer = os.pipe()
        with open(writer, "w") as stream:
            handler = BoundedHandler(stream)
            handler.emit(record("read"))
            os.close(reader)
            for _ in range(3):
                handler.emit(record("for nobody"))
            self.assertEqual(3, handler.lost)
