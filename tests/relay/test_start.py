"""Tests which modules a start of the relaying daemon loads, and which it must not."""

import gc
import json
import os
import signal
import subprocess
import sys
import unittest
from unittest import mock

from peridotdock.cli.relay import main, speed_up_imports

# Modules that only the product's own interface needs; none of them serves the relaying daemon's
# callers.
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
    """Guards against callers without any host for more than a second after all hosts lost power.

    A host answers once it has imported its daemon, which is most of a start. Each host first
    loaded modules that serve another interface, and certificates that no connection uses.
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


class EarlySignalTest(unittest.TestCase):
    """Guards against a process that ends as its settings change while it starts."""

    def test_a_reload_signal_is_ignored_until_the_daemon_handles_it(self):
        self.addCleanup(signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP))
        self.addCleanup(gc.enable)
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
        found = []

        def run(environ, streams):
            found.append(signal.getsignal(signal.SIGHUP))

        with mock.patch("peridotdock.relay.daemon.run", run), self.assertRaises(SystemExit):
            main()
        self.assertEqual([signal.SIG_IGN], found)
