"""Splits a streamed answer into complete events, so that none is passed on in part."""

import re
from dataclasses import dataclass

# An event ends with a blank line; a line ends with CR LF, LF or CR. Written without a group for the
# line end, which would make the search several times slower.
EVENT_END = re.compile(rb"\n(?:\n|\r\n?)|\r(?:\r\n?|\n(?:\n|\r\n?))")
# Bytes that an endpoint may send without the end of an event that has a number or data.
MAX_EVENT_BYTES = 1024 * 1024
# Events that clients of a stream ignore: comments and blank lines.
IGNORED_EVENTS = re.compile(rb"(?:(?::[^\r\n]*(?>\r\n|\n|\r))*[\r\n]+)*")
IGNORED_STARTS = frozenset({b":", b"\r", b"\n"})
# A name at the start of a line, where a byte order mark may precede it. The name comes first, as a
# search for fixed bytes is several times faster.
FIELD = rb"%b(?:(?<=\A%b)|(?<=[\r\n]%b)|(?<=\A\xef\xbb\xbf%b))"
DATA_FIELD = re.compile(FIELD % ((b"data",) * 4) + rb"\b")
ID_FIELD = re.compile(FIELD % ((b"id:",) * 4) + rb"([^\r\n]*)")
# Longer ids are no numbers.
MAX_ID_DIGITS = 20


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event as received, with its blank line; ``id`` is None if it has none.

    ``has_content`` is unset if clients ignore it.
    """

    id: int | None
    raw: bytes
    has_content: bool = True


class EventSplitter:
    """Buffers bytes and returns complete events; ``partial`` holds the incomplete one.

    Comments and blank lines in a row make up one event, as each of them would take up many times
    its size.
    """

    def __init__(self) -> None:
        self.partial = b""
        self._without_content = 0

    @property
    def is_endless(self) -> bool:
        """Whether too many bytes have arrived without the end of an event with a number or data."""
        return self._without_content + len(self.partial) > MAX_EVENT_BYTES

    def feed(self, part: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that are complete now."""
        data = self.partial + part
        # The end of the incomplete event may have begun in it.
        searched = max(0, len(self.partial) - 3)
        events = []
        begin = 0
        if not self.partial:
            begin = self._add_ignored(data, 0, events)
        while found := EVENT_END.search(data, max(begin, searched)):
            events.append(self._make_event(data[begin : found.end()]))
            begin = self._add_ignored(data, found.end(), events)
        self.partial = data[begin:]
        return events

    def _add_ignored(self, data: bytes, begin: int, events: list[StreamEvent]) -> int:
        """Add the events in a row that are ignored as one event, and return where they end."""
        if data[begin : begin + 1] not in IGNORED_STARTS:
            return begin
        found = IGNORED_EVENTS.match(data, begin)
        if found is None or found.end() == begin:
            return begin
        events.append(self._make_event(found[0]))
        return found.end()

    def _make_event(self, raw: bytes) -> StreamEvent:
        number = read_id(raw)
        has_content = number is not None or DATA_FIELD.search(raw) is not None
        self._without_content = 0 if has_content else self._without_content + len(raw)
        return StreamEvent(number, raw, has_content)


def read_id(raw: bytes) -> int | None:
    """Return the number in an event's id field, or None."""
    found = ID_FIELD.search(raw)
    if found is None:
        return None
    text = found[1].strip()
    return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
