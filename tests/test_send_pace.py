"""The pace at which the caller at the end of a connection takes what is sent."""

import unittest

from nose2.tools import params

from peridotdock.send_pace import MIN_BYTES, SendPace


class SendPaceTest(unittest.TestCase):
    """Guards against a slow endpoint that passes for a slow caller, and the other way round."""

    def setUp(self):
        self.now = 0.0
        self.pace = SendPace(lambda: self.now)

    def wait(self, seconds, blocked):
        if blocked:
            self.pace.block()
        self.now += seconds
        if blocked:
            self.pace.unblock()

    @params(
        ("a caller that reads slowly", True, 8 / (4 * MIN_BYTES)),
        ("an endpoint that sends slowly", False, 0.0),
    )
    def test_only_the_time_without_room_counts(self, name, blocked, expected):
        self.wait(8.0, blocked)
        self.assertTrue(self.pace.is_due(4 * MIN_BYTES))
        self.pace.record(4 * MIN_BYTES)
        self.assertAlmostEqual(expected, self.pace.seconds_per_byte, 12, name)

    def test_what_the_caller_has_not_taken_yet_is_no_sign_of_speed(self):
        """All of an answer is written, and most of it waits in buffers."""
        self.pace.block()
        self.now = 2.0
        self.pace.record(MIN_BYTES)
        self.assertAlmostEqual(2 / MIN_BYTES, self.pace.seconds_per_byte, 12)
        self.now = 6.0
        self.pace.record(3 * MIN_BYTES)
        self.assertAlmostEqual(4 / (2 * MIN_BYTES), self.pace.seconds_per_byte, 12)

    def test_short_answers_count_together(self):
        self.assertFalse(self.pace.is_due(MIN_BYTES - 1))
        self.assertTrue(self.pace.is_due(MIN_BYTES))

    def test_nothing_taken_leaves_the_pace_as_it_was(self):
        self.pace.record(0)
        self.assertEqual(0.0, self.pace.seconds_per_byte)
