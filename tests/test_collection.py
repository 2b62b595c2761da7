"""The collector's work within a test does not grow with what was there before it."""

import gc
import unittest

# Objects that one small test may have; the imports of two modules are six times as many.
MAX_OBJECTS = 10_000


class CollectionTest(unittest.TestCase):
    """Guards against full collections that stop all hosts of a test for a third of a second."""

    def test_objects_from_before_the_test_are_not_collected_again(self):
        self.assertLess(len(gc.get_objects()), MAX_OBJECTS)
