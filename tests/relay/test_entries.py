"""Tests that unreadable entries and rows of the store do not affect other endpoints and rows."""

import asyncio
import base64
import json
import time
import unittest

from nose2.tools import params

from peridotdock.clients.store_time import StoreTime
from peridotdock.errors import failed
from peridotdock.events import Filter
from peridotdock.metrics import Metrics
from peridotdock.platform.adapter import PlatformAdapter
from peridotdock.platform.store import OWN_TABLE
from peridotdock.relay.settings import parse_address
from tests.relay.deployment import Deployment
from tests.standins.tables import TableStandin

ENTRY = {
    "service": "engines",
    "address": "10.0.0.1:80",
    "zone": "north",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "seq": 4,
    "born": 1_700_000_000_000,
    "models": [{"name": "m0", "version": 3, "adapters": ["a1@2"]}],
    "at_hand": {"in_memory": ["m0"], "on_disk": ["m0", "m1"]},
}
REQUIRED = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "cold_remaining_ms",
    "seq",
)
WRONG = (
    ("service", 3),
    ("service", ["engines"]),
    ("service", None),
    ("address", 8080),
    ("address", "somewhere"),
    ("address", "10.0.0.1:99999"),
    ("zone", {}),
    ("version", 7),
    ("slots", "64"),
    ("slots", 0),
    ("slots", 1.5),
    ("state", "resting"),
    ("state", True),
    ("cold_remaining_ms", "0"),
    ("seq", "4"),
    ("born", "1700000000000"),
    ("born", 1.5),
    ("born", True),
    ("born", None),
    ("models", "m0"),
    ("models", {"m0": 1}),
    ("models", [{"version": 3}]),
    ("models", [{"name": "m0", "version": "3"}]),
    ("models", [{"name": "m0", "version": 3, "adapters": "a1"}]),
    ("at_hand", ["m0"]),
    ("at_hand", {"in_memory": "m0"}),
)
UNREADABLE = (b"", b"{", b"{}", b"[]", b'"x"', b"null", b"7", b"\xff\xfe\x00", b"[" * 5000)


def decode(raw):
    return PlatformAdapter.decode_endpoint("e1", raw)


def changed(**fields):
    return json.dumps(ENTRY | fields).encode()


class DecodeTest(unittest.TestCase):
    def test_a_whole_entry_is_taken(self):
        found = decode(changed())
        self.assertEqual(("e1", 1_700_000_000_000), (found.endpoint_id, found.started_ms))
        self.assertEqual({"a1"}, found.models["m0"].adapters)
        self.assertEqual({"m0", "m1"}, found.on_disk)
        self.assertEqual(("v1", 3), (found.software, found.models["m0"].version))
        self.assertFalse(found.draining)

    def test_an_endpoint_that_drains_is_leaving(self):
        self.assertTrue(decode(changed(state="draining")).draining)

    @params("born", "models", "at_hand")
    def test_a_field_that_may_be_absent(self, name):
        raw = json.dumps({key: value for key, value in ENTRY.items() if key != name}).encode()
        self.assertFalse(failed(decode(raw)), name)

    @params(*REQUIRED)
    def test_an_entry_without_a_field_names_no_endpoint(self, name):
        raw = json.dumps({key: value for key, value in ENTRY.items() if key != name}).encode()
        self.assertTrue(failed(decode(raw)), name)

    @params(*WRONG)
    def test_an_entry_with_a_field_of_another_type_names_no_endpoint(self, name, value):
        self.assertTrue(failed(decode(changed(**{name: value}))), (name, value))

    @params(*UNREADABLE)
    def test_bytes_that_are_no_entry_name_no_endpoint(self, raw):
        self.assertTrue(failed(decode(raw)), raw[:20])


def refusals(host, name="entry_refused"):
    return [event for event in host.ctx.timeline.select(Filter()) if event.name == name]


class AppliedEntriesTest(unittest.TestCase):
    @params(
        ("bytes", b"\xff{"),
        ("another state", "resting"),
        ("another service", "nowhere"),
        ("a list for a service", ["engines"]),
    )
    def test_a_known_endpoints_entry_is_spoiled(self, name, wrong):
        """Guards against requests to an endpoint whose entry has become invalid.

        Another writer overwrote the entry with unreadable bytes. It was ignored on an update, so
        that the entry before it remained in use.
        """

        async def play():
            async with Deployment(engines=(("e1", ("m0",)), ("e2", ("m0",)))) as found:
                host, runner = found.hosts[0], found.engines["e1"]
                field = "state" if wrong == "resting" else "service"
                row = runner.entry("engines") | {field: wrong}
                raw = wrong if isinstance(wrong, bytes) else row
                found.store.put("servers", "e1", raw)
                await found.until(lambda: used(host) == ["e2"], 3.0)
                for attempt in range(4):
                    status, _, _ = await found.send("/recap/", f"a{attempt}", "m0")
                    self.assertEqual(200, status)
                self.assertEqual([], runner.executed)
                runner.on_change()
                await found.until(lambda: used(host) == ["e1", "e2"], 3.0)

        asyncio.run(play())

    def test_a_bad_entry_is_logged_once(self):
        async def play():
            async with Deployment() as found:
                host = found.hosts[0]
                for number in range(3):
                    found.store.put("servers", "odd", b"not an entry %d" % number)
                    found.store.put("servers", "mark", ENTRY | {"zone": f"z{number}"})
                    await found.until(lambda zone=f"z{number}": zone_of(host, "mark") == zone, 3.0)
                self.assertEqual(1, len(refusals(host)))

        asyncio.run(play())


def used(host):
    return sorted(state.key for state in host.fleet.usable("engines", None))


def zone_of(host, key):
    state = host.fleet.states.get(key)
    return state.entry.domain if state else ""


class SpoiltStore:
    """The store's client on a store where the value of one row is not valid base64."""

    async def __aenter__(self):
        self.standin = await TableStandin().start()
        address, clock = parse_address(self.standin.address), StoreTime(time.monotonic)
        self.client = PlatformAdapter().open_store(address, Metrics(), clock)
        return self

    async def __aexit__(self, *exc):
        await self.client.close()
        await self.standin.stop()

    def put(self, table, key, value):
        self.standin.put(table, key, value)

    def spoil(self, table, key, value):
        self.standin.put(table, key, b"")
        self.standin.rows[(table, key)] = value, self.standin.rows[(table, key)][1]


class StoreTest(unittest.TestCase):
    @params("abc", 7, None, ["x"])
    def test_a_table_with_a_bad_row_is_read_and_followed(self, value):
        """Guards against a host that uses entries minutes old and reports that the store is gone.

        One row of the table can't be read. Each call returned it again and failed as a whole, and
        no other change was seen.
        """

        async def play():
            async with SpoiltStore() as store:
                store.put("servers", "good", b"one")
                store.spoil("servers", "odd", value)
                view = await store.client.read_table("servers")
                self.assertEqual({"good": b"one", "odd": b""}, dict(view.values))
                changes = await store.client.follow("servers", 0, 0.2, 1.0)
                self.assertEqual({"good": b"one", "odd": b""}, dict(changes.values))

        asyncio.run(play())

    @params("abc", "bm90IEpTT04=", "WzFd", 7, base64.b64encode(b"[" * 90000).decode())
    def test_own_rows_are_read_beside_a_bad_one(self, value):
        """Guards against an unreadable list of hosts because one of their rows can't be read."""

        async def play():
            async with SpoiltStore() as store:
                store.put(OWN_TABLE, "host/h1", {"peer": "10.0.0.1:80", "leaving": False})
                store.put(OWN_TABLE, "host/h2", {"peer": "10.0.0.2:80"})
                store.spoil(OWN_TABLE, "host/odd", value)
                store.put(OWN_TABLE, "lease", {"term": 3})
                self.assertEqual({"host/h1", "host/h2", "lease"}, {*await store.client.scan("")})
                self.assertEqual(["h1"], [row.id for row in await store.client.list_hosts()])

        asyncio.run(play())
