"""The operators' command-line tool: the output and exit status of its subcommands."""

import asyncio
import io
import json
import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from peridotdock.cli.operators import run
from peridotdock.context import Environment, Streams
from peridotdock.core import run_daemon
from peridotdock.output.formats import format_table
from peridotdock.status import ExitStatus
from tests.cluster import OPERATOR_TOKEN, Cluster


class Terminal(io.StringIO):
    def isatty(self):
        return True


def invoke(*args, terminal=False, environ=None):
    """Run the command in this process; return its exit status, output and error output."""
    out, err = Terminal() if terminal else io.StringIO(), io.StringIO()
    status = run(args, Environment(Streams(out, err), environ or {}))
    return status, out.getvalue(), err.getvalue()


class Commands(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = Cluster(engines=1, hosts=2, models=1, adapters=1)
        await self.cluster.__aenter__()
        self.folder = tempfile.TemporaryDirectory()

    async def asyncTearDown(self):
        await self.cluster.__aexit__()
        self.folder.cleanup()

    def write(self, document):
        path = Path(self.folder.name) / f"{document['release']}.json"
        path.write_text(json.dumps(document))
        return str(path)

    async def peridotdock(self, *args, terminal=False, host=0, token=OPERATOR_TOKEN):
        url = self.cluster.hosts[host].server.url
        options = ("--host", url, "--operator-token", token)
        return await asyncio.to_thread(invoke, *options, *args, terminal=terminal)

    async def test_a_release_from_check_to_status(self):
        path = self.write(self.cluster.manifest())
        status, out, _ = await self.peridotdock("manifest", "check", path)
        self.assertEqual((status, json.loads(out)["status"]), (0, "valid"))
        status, out, _ = await self.peridotdock("manifest", "publish", path)
        self.assertEqual((status, json.loads(out)["generation"]), (0, 1))
        await self.cluster.wait_in_force(1)
        status, out, _ = await self.peridotdock("manifest", "status", host=1)
        self.assertEqual((status, json.loads(out)["true"]), (0, True))
        status, out, _ = await self.peridotdock("manifest", "publish", path)
        self.assertEqual((status, json.loads(out)["status"]), (0, "unchanged"))
        status, out, _ = await self.peridotdock("manifest", "show")
        self.assertEqual(json.loads(out)["release"], "r1")
        changed = self.cluster.manifest()
        changed["models"][0]["version"] = "2"
        status, out, _ = await self.peridotdock("manifest", "diff", self.write(changed))
        rows = [json.loads(line) for line in out.splitlines()]
        self.assertIn({"change": "set", "section": "models", "id": "m0"}, rows)

    async def test_refusals(self):
        await self.cluster.publish()
        bad = self.cluster.manifest()
        bad["models"][0]["bytes"] = 0
        stale = self.cluster.manifest(sequence=1, release="stale")
        conflict = self.cluster.manifest(sequence=9, based_on=7, release="conflict")
        for document, expected in (
            (bad, ExitStatus.INVALID),
            (stale, ExitStatus.CONFLICT),
            (conflict, ExitStatus.CONFLICT),
        ):
            path = self.write(document)
            status, out, err = await self.peridotdock("manifest", "publish", path)
            self.assertEqual((status, out), (expected, ""))
            self.assertTrue(err.startswith("peridotdock: manifest_"))
        status, _, _ = await self.peridotdock("hosts", token="wrong")
        self.assertEqual(status, ExitStatus.REFUSED)

    async def test_lists_are_tables_on_a_terminal_and_json_when_piped(self):
        await self.cluster.publish()
        for name in ("hosts", "endpoints", "placement", "events", "errors"):
            status, out, err = await self.peridotdock(name)
            rows = [json.loads(line) for line in out.splitlines()]
            self.assertEqual((status, err), (0, ""), name)
            self.assertTrue(rows, name)
            status, table, _ = await self.peridotdock(name, terminal=True)
            lines = table.splitlines()
            self.assertEqual(lines[0].split(), list(rows[0]), name)

    async def test_events_of_all_hosts_come_in_one_order(self):
        await self.cluster.publish()
        status, out, _ = await self.peridotdock("events", "--item", "m0@1")
        rows = [json.loads(line) for line in out.splitlines()]
        stamps = [row["stamp"] for row in rows]
        self.assertEqual((status, stamps), (0, sorted(stamps)))
        names = [row["name"] for row in rows]
        self.assertLess(names.index("planned"), names.index("load_done"))
        self.assertLess(names.index("load_reserved"), names.index("load_done"))


class Usage(unittest.TestCase):
    @params(
        (("--help",), 0),
        (("manifest", "publish", "--help"), 0),
        (("nothing",), ExitStatus.USAGE),
        (("manifest", "check", "/does/not/exist"), ExitStatus.USAGE),
        (("--host", "http://127.0.0.1:9", "hosts"), ExitStatus.UNREACHABLE),
    )
    def test_exit_status(self, args, expected):
        self.assertEqual(invoke(*args)[0], expected)

    def test_the_daemon_lists_every_wrong_setting(self):
        err = io.StringIO()
        status = run_daemon({"entry_port": "x"}, {}, Streams(io.StringIO(), err))
        self.assertEqual(status, ExitStatus.USAGE)
        self.assertEqual(len(err.getvalue().splitlines()), 5)

    def test_tables(self):
        table = format_table([{"name": "a", "count": 5}, {"name": "long", "count": 10}])
        self.assertEqual(table, "name  count\na         5\nlong     10")
