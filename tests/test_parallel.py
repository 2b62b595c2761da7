"""The run of all test modules in processes of their own."""

import asyncio
import contextlib
import io
import unittest
from itertools import combinations, islice

from nose2.tools import params

from extras.soak.ports import PARTS, walk_ports
from tests.parallel import MAX_AT_ONCE, find_modules, run_all


class RunAllTest(unittest.TestCase):
    def test_every_test_module_is_found_once(self):
        found = find_modules()
        self.assertEqual(len(found), len(set(found)))
        self.assertIn("tests.test_parallel", found)
        self.assertIn("tests.relay.test_logs", found)

    @params(("tests.test_collection", 1, 0), ("tests.no_such_module", 0, 1))
    def test_a_module_that_can_not_run_counts_as_failed(self, name, passed, failed):
        with contextlib.redirect_stdout(io.StringIO()):
            outcome = asyncio.run(run_all([name], 2))
        self.assertEqual((passed, failed), (len(outcome.passed), len(outcome.failed)))

    def test_modules_that_run_at_once_have_no_port_in_common(self):
        """Guards against two hosts of different tests that listen at the same port."""
        self.assertLessEqual(MAX_AT_ONCE, PARTS)
        found = [set(islice(walk_ports(str(part), 41), 5000)) for part in range(PARTS)]
        self.assertTrue(all(one.isdisjoint(other) for one, other in combinations(found, 2)))
