"""Logging of JSON lines through a bounded buffer that never blocks on the reader."""

import logging
import os
from collections import deque
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
# Lines buffered while the stream is not read: some seconds of a busy host, under a megabyte.
MAX_BUFFERED_LINES = 2000


class BoundedHandler(logging.Handler):
    """Writes lines without blocking and drops the oldest ones when its buffer is full.

    Failure guarded against: the reader of the logs stops reading, the pipe fills up, and the next
    line blocks every stream of the host. The handler writes only as many bytes as the pipe takes
    and buffers the rest; a later line reports how many lines were dropped. If the reader goes away
    for good, an error of a line would end the request that logs it: all lines are dropped then.
    """

    def __init__(self, stream: TextIO, max_lines: int = MAX_BUFFERED_LINES):
        super().__init__()
        self._fd = stream.fileno()
        self._max_lines = max_lines
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._closed = False
        self.lost = 0
        os.set_blocking(self._fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line and write as much as the stream accepts without blocking."""
        if self._closed:
            self.lost += 1
            return
        try:
            self._lines.append(self.format(record).encode() + b"\n")
        except Exception:
            self.handleError(record)
            return
        while len(self._lines) > self._max_lines:
            self._lines.popleft()
            self.lost += 1
        self._flush_lines()

    def _flush_lines(self) -> None:
        while self._unwritten or self._lines:
            if not self._unwritten:
                self._unwritten = self._next_line()
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, so there is nobody to tell.
                self._closed = True
                self.lost += len(self._lines) + 1
                self._lines.clear()
                return
            self._unwritten = self._unwritten[written:]

    def _next_line(self) -> bytes:
        """Return the next line, preceded by a report of dropped lines if there are any."""
        if not self.lost:
            return self._lines.popleft()
        lost, self.lost = self.lost, 0
        record = logging.LogRecord(
            "peridotdock", logging.WARNING, "", 0, "log_lines_lost", None, None
        )
        record.detail = str(lost)
        return self.format(record).encode() + b"\n"


class DeliberateAbortFilter(logging.Filter):
    """Drops the server's error reports about answers that peridotdock aborted deliberately."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to log a record."""
        exc = record.exc_info[1] if record.exc_info else None
        return not getattr(exc, "broken_on_purpose", False)


def set_up(level: str, stream: TextIO, host: str) -> None:
    """Write all logs of the process to ``stream`` as JSON lines."""
    try:
        handler: logging.Handler = BoundedHandler(stream)
    except (OSError, ValueError):
        # A stream without a file descriptor, as in tests, never blocks.
        handler = logging.StreamHandler(stream)
    rename = {"asctime": "time", "levelname": "level", "message": "event"}
    handler.setFormatter(JsonFormatter(FORMAT, rename_fields=rename, static_fields={"host": host}))
    handler.addFilter(DeliberateAbortFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("websockets").setLevel(logging.WARNING)
    logging.getLogger("uvicorn").setLevel(logging.WARNING)
