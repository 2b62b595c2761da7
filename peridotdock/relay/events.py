"""Splitting a streamed answer into whole events, so that none is passed on in part."""

import re
from dataclasses import dataclass

EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
ID_FIELD = re.compile(rb"^id:(.*)$", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event as it came, with its blank line; ``id`` is None when it has none."""

    id: int | None
    raw: bytes


class EventSplitter:
    """Collects bytes and gives whole events; what is left in ``partial`` is part of one."""

    def __init__(self) -> None:
        self.partial = b""

    def feed(self, part: bytes) -> list[StreamEvent]:
        """Take in bytes and return the events that are whole now."""
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
    """Return the number in an event's id field."""
    found = ID_FIELD.search(raw)
    if found is None:
        return None
    text = found[1].strip()
    return int(text) if text.isdigit() else None
