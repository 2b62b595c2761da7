"""Streams are split into complete events, whatever the chunk boundaries and the way of writing."""

import re
import unittest

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from peridotdock.relay.events import MAX_EVENT_BYTES, EventSplitter
from tests.relay.deployment import Deployment
from tests.relay.test_relay import run

STREAM = b"".join(b"id: %d\ndata: %s\n\n" % (n, b"x" * n) for n in range(1, 9))


# Ways of writing a stream's first event, and the others.
NUMBERED = (
    ("LF", b"id: %d\ndata: x %d\n\n", b""),
    ("CR LF", b"id: %d\r\ndata: x %d\r\n\r\n", b""),
    ("CR", b"id: %d\rdata: x %d\r\r", b""),
    ("LF, then CR LF", b"id: %d\ndata: x %d\n\r\n", b""),
    ("CR LF, then LF", b"id: %d\r\ndata: x %d\r\n\n", b""),
    ("byte order mark", b"id: %d\ndata: x %d\n\n", b"\xef\xbb\xbf"),
    ("comments", b": c\n\nid: %d\n: c\ndata: x %d\n\n", b""),
    ("comments with CR", b": c\r\rid: %d\r: c\rdata: x %d\r\r", b""),
)
# Events of which a second endpoint would send some again.
UNNUMBERED = (
    ("no ids", lambda number: b"data: x %d\n\n" % number),
    ("no id in each second event", lambda number: write_some(number)),
    ("ids that are no numbers", lambda number: b"id: e%d\ndata: x %d\n\n" % (number, number)),
    ("one id", lambda number: b"id: 1\ndata: x %d\n\n" % number),
    ("ids that go back", lambda number: b"id: %d\ndata: x %d\n\n" % (9 - number, number)),
    ("a huge id", lambda number: b"id: %s\ndata: x %d\n\n" % (b"9" * 5000, number)),
)
ALL_PIECES = [1, 2, 3, 4, 5, 6]


def write_some(number):
    """Return an event that has an id if its number is even."""
    return (b"" if number % 2 else b"id: %d\n" % number) + b"data: x %d\n\n" % number


def pieces(body):
    """Return the numbers in the data of events."""
    return [int(found) for found in re.findall(rb"data: x (\d+)", body)]


async def send_cut(write_event, behavior):
    """Send a stream whose first endpoint has a behavior; return its status and body."""
    async with Deployment(engines=(("e1", ("m0",)), ("e2", ("m0",)))) as found:
        script = [behavior]
        for engine in found.engines.values():
            engine.write_event = lambda number, data: write_event(number)
            engine.script = script
        status, _, body = await found.send("/recap/", "a1", model="m0")
        return status, body


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

    @params(*NUMBERED)
    def test_events_and_ids_are_found_in_each_way_of_writing(self, name, form, mark):
        raw = mark + b"".join(form % (number, number) for number in ALL_PIECES)
        for parts in ([raw], [raw[at : at + 1] for at in range(len(raw))]):
            found, partial = split(parts)
            self.assertEqual(raw, b"".join(event.raw for event in found) + partial)
            self.assertEqual(b"", partial)
            self.assertEqual(ALL_PIECES, [event.id for event in found if event.id])
            self.assertTrue(all(len(pieces(event.raw)) < 2 for event in found))

    def test_a_long_event_is_not_endless(self):
        splitter = EventSplitter()
        raw = b"data: " + b"x" * (MAX_EVENT_BYTES - 8) + b"\n\n"
        for at in range(0, len(raw), 4096):
            found = splitter.feed(raw[at : at + 4096])
            self.assertFalse(splitter.is_endless)
        self.assertEqual([raw], [event.raw for event in found])


class OddEventsTest(unittest.TestCase):
    """Guards against streams with missing or repeated events, as their ids or line ends are odd."""

    @params(*NUMBERED)
    @run
    async def test_a_stream_goes_on_after_its_last_id(self, name, form, mark):
        def write(number):
            return mark * (number == 1) + form % (number, number)

        status, body = await send_cut(write, "cut")
        self.assertEqual((200, ALL_PIECES), (status, pieces(body)))

    @params(*UNNUMBERED)
    @run
    async def test_a_stream_does_not_go_on_after_an_event_without_a_higher_id(self, name, write):
        status, body = await send_cut(write, "cut")
        self.assertTrue(status == 0 or pieces(body) == ALL_PIECES, body)

    @params(*UNNUMBERED)
    @run
    async def test_a_whole_stream_is_passed_on_whatever_its_ids(self, name, write):
        status, body = await send_cut(write, "serve")
        self.assertEqual((200, ALL_PIECES), (status, pieces(body)))
