"""Splits a streamed answer into complete events, so that none is passed on in part."""

import re
from dataclasses import dataclass

EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
ID_FIELD = re.compile(rb"^id:(.*)$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event as received, with its blank line; ``id`` is None if it has none."""

    id: int | None
    raw: bytes


class EventSplitter:
    """Buffers bytes and returns complete events; ``partial`` holds the incomplete one."""

    def __init__(self) -> None:
        self.partial = b""

    def feed(self, part: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are complete now."""
        data = self.partial + part
        events = []
        begin = 0
        for found in EVENT_END.finditer(data):
            raw = data[begin : found.end()]
            begin = found.end()
            events.append(StreamEvent(read_id(raw), raw))
        self.partial = data[begin:]
        return events


def read_id(raw: bytes) -> int | None:
    """Return the number in an event's id field, or None."""
    found = ID_FIELD.search(raw)
    if found is None:
        return None
    text = found[1].strip()
    return int(text) if text.isdigit() else None
