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
from peridotdock.platform.endpoints import decode_report
from peridotdock.platform.store import OWN_TABLE
from peridotdock.relay.entries import EntryReader
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.settings import parse_address
from tests.builders import make_ctx
from tests.fakes import FakeClock
from tests.relay.deployment import CONFIG, Deployment
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
# Those that a host could reach are of the network for documentation, which has no machines.
ODD_ADDRESSES = (
    "127.0.0.1:0",
    "127.0.0.1:70000",
    "127.0.0.1:-1",
    "127.0.0.1:080",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:\u0668\u0660",
    "127.0.0.1:8\u00b2",
    "\u0661\u0669\u0662.0.2.1:80",
    "127.0.0.1:80\r\nx: y:1",
    "127.0.0.1\r\nx: y:80",
    "127.0.0.1:80\n",
    " 127.0.0.1:80",
    "user:word@127.0.0.1:80",
    "127.0.0.1/path:80",
    "127.0.0.1:80/path",
    "127.0.0.1?query:80",
    "http://127.0.0.1:80",
    "::1:80",
    "[::1]:80",
    "[::1:80",
    "engine.example:80",
    "192.0.2:80",
    "0127.0.0.1:80",
    "127.0.0.256:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
    "127.0.0.1",
    "",
    ":",
    "x" * 2_000_000 + ":80",
)
ODD_KEYS = (
    "",
    "odd\r\nx: y",
    "odd\n",
    "o\0d",
    "odd one",
    "\u00f6dd",
    "\u2603",
    "x" * 513,
    "x" * 2_000_000,
)
UNREADABLE = (b"", b"{", b"{}", b"[]", b'"x"', b"null", b"7", b"\xff\xfe\x00", b"[" * 5000)
# JSON texts of numbers that no count, time or version of an endpoint can be.
ODD_NUMBERS = {
    "beyond all floats": "1" + "0" * 400,
    "beyond the digits that are read": "9" * 5000,
    "beyond 64 bits": str(2**64),
    "beyond exact floats": str(2**53),
    "the largest float": "1e308",
    "infinite": "1e999",
    "not a number": "NaN",
    "far below zero": "-1" + "0" * 400,
}
DEEP = "[" * 50_000 + "]" * 50_000
DEEP_OBJECTS = '{"a":' * 50_000 + "1" + "}" * 50_000
HUGE_TEXT = json.dumps("x" * 2_000_000)
LONE_SURROGATE = '"\\ud800"'
NESTED = (DEEP, DEEP_OBJECTS)
ENTRY_NUMBERS = ("slots", "cold_remaining_ms", "seq", "born")
ENTRY_TEXTS = ("service", "address", "zone", "version")
ODD_TEXTS = (HUGE_TEXT, LONE_SURROGATE, *NESTED)
REPORT = {
    "seq": 4,
    "busy": False,
    "born": 1_700_000_000_000,
    "models": ENTRY["models"],
    "coming": ["m0/a2@3"],
    "at_hand": ENTRY["at_hand"],
}


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


def spliced(row, name, text):
    """Return a row as JSON in which a field has a JSON text that Python does not write."""
    return json.dumps(row | {name: "SPLICED"}).replace('"SPLICED"', text).encode()


def odd_values():
    """Return the name of each case, the row that it changes, the field, and its JSON text."""
    numbers = [
        (f"{name} {field}", row, field, text)
        for name, text in ODD_NUMBERS.items()
        for row, fields in ((ENTRY, ENTRY_NUMBERS), (REPORT, ("seq", "born")))
        for field in fields
    ]
    versions = [
        (f"{name} models' version", row, "models", f'[{{"name": "m0", "version": {text}}}]')
        for name, text in ODD_NUMBERS.items()
        for row in (ENTRY, REPORT)
    ]
    texts = [
        (f"odd {field} {place}", ENTRY, field, text)
        for field in ENTRY_TEXTS
        for place, text in enumerate(ODD_TEXTS)
    ]
    names = [
        (f"odd names {place}", row, field, shape % text)
        for row in (ENTRY, REPORT)
        for place, text in enumerate(ODD_TEXTS)
        for field, shape in (
            ("models", '[{"name": %s, "version": 3}]'),
            ("models", '[{"name": "m0", "version": 3, "adapters": [%s]}]'),
            ("at_hand", '{"in_memory": [%s]}'),
            ("at_hand", '{"on_disk": [%s]}'),
        )
    ]
    coming = [("odd coming", REPORT, "coming", f"[{text}]") for text in ODD_TEXTS]
    negative = [("negative", row, "seq", "-1") for row in (ENTRY, REPORT)]
    return [*numbers, *versions, *texts, *names, *coming, *negative]


class OddValuesTest(unittest.TestCase):
    @params(*odd_values())
    def test_a_row_with_an_odd_value_is_refused(self, name, row, field, text):
        """Guards against requests that all fail because one number of an entry is too large.

        Its slots were more than a float holds, and each choice of an endpoint divided by them.
        """
        raw = spliced(row, field, text)
        found = decode(raw) if row is ENTRY else decode_report(raw)
        self.assertTrue(failed(found), (name, field))
        self.assertLess(len(found.reason), 500)

    @params(*ODD_ADDRESSES)
    def test_an_address_that_is_no_ip_and_port_is_refused(self, address):
        """Guards against requests that are sent, in part, to what another writer chose."""
        found = decode(changed(address=address))
        self.assertTrue(failed(found), address[:40])
        self.assertLess(len(found.reason), 500)

    @params(*ODD_KEYS)
    def test_a_key_that_is_no_id_is_refused(self, key):
        """Guards against a request that can't be written, as its endpoint's id is in its head."""
        found = PlatformAdapter.decode_endpoint(key, changed())
        self.assertTrue(failed(found), key[:40])
        self.assertLess(len(found.reason), 500)

    @params("10.0.0.1:1", "223.1.2.3:65535", "127.0.0.1:80")
    def test_an_ip_and_a_port_are_taken(self, address):
        self.assertEqual(address, getattr(decode(changed(address=address)), "address", ""))

    @params(
        ("slots", 100_000),
        ("seq", 2**53 - 1),
        ("born", 253_402_300_799_999),
        ("cold_remaining_ms", 2_592_000_000),
        ("cold_remaining_ms", -0.5),
        ("version", "v" * 512),
    )
    def test_the_last_values_of_the_ranges_are_taken(self, field, value):
        self.assertFalse(failed(decode(changed(**{field: value}))))

    def test_an_unread_field_may_hold_anything_but_endless_nesting(self):
        self.assertFalse(failed(decode(spliced(ENTRY, "more", "9" * 5000))))
        self.assertTrue(failed(decode(spliced(ENTRY, "more", DEEP))))


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


class RaisingDecoderTest(unittest.TestCase):
    @params(RecursionError, MemoryError, OverflowError, RuntimeError)
    def test_an_entry_at_which_decoding_raises_names_no_endpoint(self, kind):
        """Guards against hosts that see no change of any entry as long as one can't be decoded."""

        def decode_or_raise(key, raw):
            if raw == b"odd":
                raise kind("too much")
            return PlatformAdapter.decode_endpoint(key, raw)

        async def play():
            ctx = make_ctx(FakeClock())
            fleet = RelayFleet("north", ctx.clock)
            reader = EntryReader(ctx, fleet, decode_or_raise, lambda address: None)
            reader.apply_rows({"e1": changed(), "e2": changed(), "odd": b"odd"}, True)
            self.assertEqual({"e1", "e2"}, set(fleet.states))
            reader.apply_rows({"e1": b"odd", "e3": changed(), "odd": b"odd"}, False)
            self.assertEqual({"e2", "e3"}, set(fleet.states))
            found = [e for e in ctx.timeline.select(Filter()) if e.name == "entry_refused"]
            self.assertEqual(2, len(found))

        asyncio.run(play())


def odd_rows(runner, cases):
    """Return odd entries of a runner's service, each as the only change of a sound entry."""
    row = runner.entry("engines")
    return {f"odd{place}": spliced(row, *case) for place, case in enumerate(cases)}


class OddEntriesBesideSoundOnesTest(unittest.TestCase):
    @params(
        ("numbers", [(name, text) for name in ENTRY_NUMBERS for text in ODD_NUMBERS.values()]),
        ("nesting", [(name, text) for name in ("slots", "models", "more") for text in NESTED]),
        (
            "texts",
            [(name, text) for name in ENTRY_TEXTS[1:] for text in (HUGE_TEXT, LONE_SURROGATE)],
        ),
    )
    def test_requests_are_served_and_a_new_engine_is_found(self, name, cases):
        """Guards against a service that fails as long as one odd entry stands among sound ones."""

        async def play():
            engines = (("e1", ("m0",)), ("e2", ("m0",)), ("e3", ("m0",)))
            async with Deployment(engines=engines) as found:
                host, late = found.hosts[0], found.engines["e3"]
                found.store.remove("servers", "e3")
                for key, raw in odd_rows(late, cases).items():
                    found.store.put("servers", key, raw)
                await found.until(lambda: len(refusals(host)) == len(cases), 5.0)
                for attempt in range(12):
                    status, _, _ = await found.send("/recap/", f"a{attempt}", "m0")
                    self.assertEqual(200, status)
                late.on_change()
                await found.until(lambda: used(host) == ["e1", "e2", "e3"], 3.0)
                self.assertEqual({"e1", "e2", "e3", "p1"}, set(host.fleet.states))
                self.assertEqual([], refusals(host, "rows_refused"))

        asyncio.run(play())

    @params(
        ("addresses", {f"odd{place}": address for place, address in enumerate(ODD_ADDRESSES)}),
        ("keys", dict.fromkeys(ODD_KEYS)),
    )
    def test_requests_that_may_run_once_are_served(self, name, addresses):
        """Guards against requests that fail as they count as lost at an endpoint that is none."""

        async def play():
            async with Deployment(engines=(("e1", ("m0",)), ("e2", ("m0",)))) as found:
                row = found.engines["e1"].entry("engines")
                for key, address in addresses.items():
                    odd = row | {"address": address or row["address"]}
                    found.store.put("servers", key, odd)
                found.store.put("servers", "mark", row | {"zone": "mark"})
                await found.until(lambda: zone_of(found.hosts[0], "mark") == "mark", 3.0)
                found.store.remove("servers", "mark")
                await found.until(lambda: "mark" not in found.hosts[0].fleet.states, 3.0)
                sent = [await found.send("/once/", f"a{place}", "m0") for place in range(20)]
                self.assertEqual([200] * 20, [status for status, _, _ in sent])

        asyncio.run(play())


class OddConfigurationTest(unittest.TestCase):
    @params(*(text for text in ODD_NUMBERS.values() if not text.startswith("-")))
    def test_a_later_configuration_is_applied(self, text):
        """Guards against hosts that keep a configuration for good, as its version is the last."""

        async def play():
            async with Deployment() as found:
                host = found.hosts[0]
                found.store.put("op", "config", spliced(CONFIG, "version", text))
                await found.until(lambda: refusals(host, "config_refused"), 3.0)
                found.configure(version=2)
                await found.until(lambda: host.request_handler.deployment.version == 2, 3.0)
                self.assertEqual([], refusals(host, "rows_refused"))
                status, _, _ = await found.send("/recap/", "a1", "m0")
                self.assertEqual(200, status)

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
