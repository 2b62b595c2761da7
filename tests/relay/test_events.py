"""Streams are split into complete events, whatever the chunk boundaries."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotdock.relay.events import MAX_EVENT_BYTES, EventSplitter

STREAM = b"".join(b"id: %d\ndata: %s\n\n" % (n, b"x" * n) for n in range(1, 9))


def split(parts):
    splitter = EventSplitter()
    return [event for part in parts for event in splitter.feed(part)], splitter.partial


class EventsTest(unittest.TestCase):
    """Failure guarded against: a caller gets one and a half events after a resume.

    An endpoint breaks off in the middle of an event. The partial event is passed on, and the stream
    is resumed elsewhere with the complete event.
    """

    @given(st.lists(st.integers(0, len(STREAM)), max_size=20))
    def test_any_chunk_boundaries_give_the_same_events(self, cuts):
        edges = [0, *sorted(cuts), len(STREAM)]
        found, partial = split(STREAM[a:b] for a, b in zip(edges, edges[1:], strict=False))
        self.assertEqual(list(range(1, 9)), [event.id for event in found])
        self.assertEqual(STREAM, b"".join(event.raw for event in found))
        self.assertEqual(b"", partial)

    @given(st.integers(1, len(STREAM) - 1))
    def test_an_incomplete_event_is_kept_back(self, cut):
        found, partial = split([STREAM[:cut]])
        self.assertEqual(STREAM[:cut], b"".join(event.raw for event in found) + partial)
        self.assertTrue(all(event.raw.endswith(b"\n\n") for event in found))

    def test_carriage_returns_and_missing_ids_are_understood(self):
        found, _ = split([b"weights: 3\r\nid: 4\r\ndata: a\r\n\r\ndata: b\n\n"])
        self.assertEqual([4, None], [event.id for event in found])

    @given(st.lists(st.sampled_from([b"\n", b": c\n", b": c\n\n", b"id: 1\ndata: a\n\n", b"\r\n"])))
    def test_comments_and_blank_lines_are_passed_on(self, lines):
        raw = b"".join(lines)
        for parts in ([raw], [raw[at : at + 1] for at in range(len(raw))]):
            found, partial = split(parts)
            self.assertEqual(raw, b"".join(event.raw for event in found) + partial)
            self.assertEqual(raw.count(b"id: 1"), sum(event.id == 1 for event in found))

    def test_a_long_event_is_not_endless(self):
        splitter = EventSplitter()
        raw = b"data: " + b"x" * (MAX_EVENT_BYTES - 8) + b"\n\n"
        for at in range(0, len(raw), 4096):
            found = splitter.feed(raw[at : at + 4096])
            self.assertFalse(splitter.is_endless)
        self.assertEqual([raw], [event.raw for event in found])
