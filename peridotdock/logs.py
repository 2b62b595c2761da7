"""Logs as JSON lines on standard error."""

import logging
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up(level: str, stream: TextIO, host: str) -> None:
    """Send all logs of the process to ``stream`` as JSON lines."""
    handler = logging.StreamHandler(stream)
    rename = {"asctime": "time", "levelname": "level", "message": "event"}
    handler.setFormatter(JsonFormatter(FORMAT, rename_fields=rename, static_fields={"host": host}))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("websockets").setLevel(logging.WARNING)
    logging.getLogger("uvicorn").setLevel(logging.WARNING)
