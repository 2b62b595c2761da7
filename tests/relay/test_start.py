"""What a start of the relaying daemon loads, and what it must do without."""

import gc
import json
import os
import subprocess
import sys
import unittest

from peridotdock.cli.relay import speed_up_imports

# What only the product's own interface needs. None of it serves a caller of the relaying daemon.
NEVER_LOADED = (
    "jsonschema",
    "peridotdock.admin",
    "peridotdock.entry",
    "peridotdock.fleet",
    "peridotdock.ledger",
    "peridotdock.manifest",
    "peridotdock.planner",
    "peridotdock.routing",
    "peridotdock.schema.manifest",
)
LIST_MODULES = "import json, sys, peridotdock.relay.daemon; print(json.dumps(list(sys.modules)))"


class Imports(unittest.TestCase):
    """All hosts lose power, and a caller finds nobody for a second and more.

    A host answers once it has imported its daemon, which is most of a start. Modules that serve
    another interface, and certificates that no connection uses, were loaded by each host first.
    """

    def test_start_loads_nothing_of_the_other_interface(self):
        environ = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        run = subprocess.run(
            [sys.executable, "-c", LIST_MODULES], env=environ, capture_output=True, check=True
        )
        self.assertEqual(set(), set(json.loads(run.stdout)) & set(NEVER_LOADED))

    def test_certificates_are_left_out_unless_the_operator_names_some(self):
        cases = (
            ({}, (os.devnull, os.devnull)),
            ({"SSL_CERT_FILE": "/own.pem"}, ("/own.pem", os.devnull)),
            ({"SSL_CERT_DIR": "/own"}, (os.devnull, "/own")),
        )
        self.addCleanup(gc.enable)
        for environ, expected in cases:
            with self.subTest(environ=environ):
                speed_up_imports(environ)
                self.assertEqual(expected, (environ["SSL_CERT_FILE"], environ["SSL_CERT_DIR"]))
