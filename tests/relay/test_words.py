"""What endpoints say in their answers: that they leave, and that they want a rest."""

import unittest

from nose2.tools import params

from peridotdock.platform.wire import PlatformWire


class HeadTest(unittest.TestCase):
    @params(
        (200, {}, False, 0.0),
        (200, {"server-leaving": "1"}, True, 0.0),
        (200, {"server-leaving": "0"}, False, 0.0),
        (503, {"server-leaving": " 1"}, True, 0.0),
        (503, {"retry-after": "3"}, False, 3.0),
        (503, {"retry-after": "0.25"}, False, 0.25),
        (503, {"retry-after": "-1"}, False, 0.0),
        (503, {"retry-after": "nan"}, False, 0.0),
        (503, {"retry-after": "Wed, 21 Oct 2026 07:28:00 GMT"}, False, 0.0),
        (500, {"retry-after": "3"}, False, 0.0),
    )
    def test_the_head_of_an_answer(self, status, headers, leaving, rest):
        head = PlatformWire().read_answer(status, headers)
        self.assertEqual((leaving, rest), (head.leaving, head.rest))
