"""The patches of extras/mutants.py and extras/ablation.py still fit the sources.

A rename that leaves a patch behind goes unnoticed until somebody runs the mutants or the ablation,
which CI does not.
"""

import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from extras.ablation import MECHANISMS, Mechanism
from extras.mutants import MUTANTS, ROOT, Mutant

PATCHES = [(f"{type(row).__name__.lower()} {row.name!r}", row) for row in (*MUTANTS, *MECHANISMS)]
NAMED_TESTS = [(row.name, name) for row in MUTANTS for name in row.tests.split()]
FITTING = Mechanism("sample", "sample.py", "if ready:", "if True:")


def find_misfit(row: Mutant | Mechanism, package: Path) -> str:
    """Return why a patch doesn't fit the sources in a folder, or an empty string."""
    path = package / row.file
    if not path.is_file():
        return f"{row.file} does not exist"
    count = path.read_text().count(row.old)
    if count != 1:
        return f"{row.file} holds {row.old!r} {count} times"
    return "" if row.new != row.old else "the patch changes nothing"


def find_load_error(name: str) -> str:
    """Return why a test can't be loaded by its dotted name, or an empty string."""
    loader = unittest.TestLoader()
    suite = loader.loadTestsFromName(name)
    if loader.errors:
        return loader.errors[0]
    return "" if suite.countTestCases() else "no tests"


class PatchesTest(unittest.TestCase):
    @params(*PATCHES)
    def test_each_patch_fits_the_sources(self, name, row):
        self.assertEqual("", find_misfit(row, ROOT / "peridotdock"), name)

    @params(*NAMED_TESTS)
    def test_each_named_test_can_be_loaded(self, name, test):
        self.assertEqual("", find_load_error(test), f"mutant {name!r}: {test}")


class MisfitTest(unittest.TestCase):
    @params(
        ("fits", FITTING, "if ready:\n", True),
        ("the file is gone", Mechanism("m", "gone.py", "if ready:", "pass"), "if ready:\n", False),
        ("the source was renamed", FITTING, "if is_ready():\n", False),
        ("the source stands twice", FITTING, "if ready:\nif ready:\n", False),
        (
            "nothing changes",
            Mechanism("m", "sample.py", "if ready:", "if ready:"),
            "if ready:\n",
            False,
        ),
    )
    def test_a_misfit_is_found(self, name, row, source, fits):
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "sample.py").write_text(source)
            self.assertEqual(fits, not find_misfit(row, Path(folder)), name)

    @params(
        ("a module", "tests.test_patches", True),
        ("a class", "tests.test_patches.PatchesTest", True),
        ("a class that is gone", "tests.test_patches.GoneTest", False),
        ("a module that is gone", "tests.test_gone", False),
        ("a module without tests", "tests.fakes", False),
    )
    def test_a_lost_test_is_found(self, name, test, loads):
        self.assertEqual(loads, not find_load_error(test), name)
