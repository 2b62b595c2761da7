"""Splitting a streamed answer into whole events, so that none is passed on in part."""

from dataclasses import dataclass

ENDS = (b"\n\n", b"\r\n\r\n")
ID_FIELD = b"id:"


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
        while True:
            end = find_end(data)
            if end < 0:
                break
            raw, data = data[:end], data[end:]
            events.append(StreamEvent(read_id(raw), raw))
        self.partial = data
        return events


def find_end(data: bytes) -> int:
    """Return where the first event ends, or -1."""
    found = [at + len(end) for end in ENDS if (at := data.find(end)) >= 0]
    return min(found, default=-1)


def read_id(raw: bytes) -> int | None:
    """Return the number in an event's id field."""
    for line in raw.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
