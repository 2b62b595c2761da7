"""Streams are split into complete events, whatever the chunk boundaries."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotdock.relay.events import EventSplitter

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
