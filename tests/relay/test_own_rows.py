"""Tests that odd rows of the hosts themselves in the store cost no lease, no list and no stream."""

import asyncio
import gc
import json
import unittest
from types import SimpleNamespace

from nose2.tools import params

from peridotdock.blocklist import Blocklist
from peridotdock.blocklist_store import BLOCKED_KEY, BlocklistStore
from peridotdock.clients.platform import Row
from peridotdock.deployment import ModelSize
from peridotdock.events import Filter
from peridotdock.fact_table import FactTable
from peridotdock.platform.store import OWN_TABLE
from peridotdock.ranges import MAX_AMOUNT
from peridotdock.relay.endpoint import EndpointStart
from peridotdock.relay.leadership import LEASE_KEY, Leadership
from peridotdock.relay.model_sizes import decode_sizes
from peridotdock.relay.stream_rows import DECODE_ERRORS, PREFIX, decode_row, read_time
from tests.builders import make_ctx
from tests.fakes import FakeClock, FakePlatform
from tests.relay.deployment import Deployment
from tests.relay.test_entries import DEEP, LONE_SURROGATE, SpoiltStore
from tests.relay.test_ordering import GAP, Uptime

# Numbers as they are after decoding; JSON has no infinite ones, but other decoders take them.
ODD_NUMBERS = (10**400, -(10**400), 2**64, -1, 1e308, -1e308, float("inf"), float("nan"))
ODD_VALUES = (*ODD_NUMBERS, None, True, "x", [], {}, "x" * 2_000_000, "\ud800")
WAITS = {"wait": 0.0, "engines": {}}
LEASE = {
    "era": 0,
    "holder": "another",
    "machine": "10.0.0.1:80",
    "term": 7,
    "hosts": 3,
    "acts_until": 4.0,
    "handover": WAITS,
    "inherited": WAITS,
}
END = {"endpoint": "e1", "start": "1", "age": 1.0, "contents": ["p"], "parts": []}


def odd_leases():
    rows = [(field, LEASE | {field: value}) for field in LEASE for value in ODD_VALUES]
    waits = [
        (f"{name} {field}", LEASE | {"holder": "", name: WAITS | {field: value}})
        for name in ("handover", "inherited")
        for field in WAITS
        for value in (*ODD_VALUES, {"e1": 10**400}, {"e1": float("inf")}, {"e1": float("nan")})
    ]
    return [*rows, *waits, ("no row", {}), ("no term", {"holder": ""})]


class OddSizesTest(unittest.TestCase):
    """Guards against a holder that ends each step at an odd size of a model in the lease's row."""

    @params(*ODD_NUMBERS[:6], float("inf"), float("nan"), None, "x", [], {}, True)
    def test_odd_sizes_are_left_out_and_others_hold(self, odd):
        good = ("engines", "m1", ModelSize(60.0, 1.0))
        for row in ([odd, 1.0], [60.0, odd], odd):
            raw = {"engines": {"m0": row, "m1": [60.0, 1.0]}, "pages": odd}
            found = [size for size in decode_sizes(raw) if size[1] == "m1"]
            self.assertEqual([good], found)
            sizes = [size for _, _, size in decode_sizes(raw)]
            self.assertTrue(all(0 <= size.weights_mb <= MAX_AMOUNT for size in sizes))


class OddLeaseTest(unittest.TestCase):
    @params(*odd_leases())
    def test_another_host_takes_the_lease(self, name, value):
        """Guards against engines that get no orders for good, as no host can read the lease."""
        store, clock = FakePlatform(), Uptime()
        store.version = 20
        store.rows[LEASE_KEY] = Row(value, 20)
        host = Leadership(make_ctx(FakeClock()), store, GAP, clock, "10.0.0.2:80")
        asyncio.run(host.step())
        clock.now += 0.0 if host.term else 3.0
        asyncio.run(host.step())
        self.assertTrue(host.term, name)
        clock.now += 0.1
        self.assertLessEqual(host.inherited_handover().wait, GAP + 1.0)
        self.assertGreater(host.term, 7)
        self.assertLess(host.term, 2**53)
        self.assertLess(host.host_count, 1_000_000)
        written = json.dumps(store.rows[LEASE_KEY].value, allow_nan=False).encode()
        self.assertLess(len(written), 1000)
        for _ in range(5):
            clock.now += 0.5
            asyncio.run(host.step())
        self.assertTrue(host.may_order("e1"), name)


class OddMachineTest(unittest.TestCase):
    @params("127.0.0.1:70000", "[::1", "127.0.0.1:1\r\nx:1", "x" * 300 + ":1", "127.0.0.1:x")
    def test_an_address_that_cannot_be_dialled_is_dialled_seldom(self, address):
        """Guards against a traceback at each step, as the lease's row names an odd address."""

        async def play():
            raised = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda loop, found: raised.append(found))
            async with Deployment() as found:
                mesh = found.hosts[0].peers.mesh
                for _ in range(5):
                    found.hosts[0].peers.connect_unless_known(address)
                    await asyncio.sleep(0.05)
                self.assertIn(address, mesh._dialling)
                gc.collect()
                self.assertEqual([], raised)
                events = found.hosts[0].ctx.timeline.select(Filter())
                self.assertEqual(1, len([e for e in events if e.name == "dial_failed"]))

        asyncio.run(play())


class OddBlocklistTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_odd_row_is_read_as_empty_and_written_again(self):
        """Guards against requests that end engines again, as the row of those is never written."""
        ends = [END | {field: value} for field in ("age", "contents") for value in ODD_NUMBERS]
        rows = [{"written_at": value, "ends": [END]} for value in ODD_VALUES]
        rows += [{"written_at": 1.0, "ends": [end]} for end in ends]
        for value in [*rows, {}, {"written_at": 1.0, "ends": 10**400}]:
            with self.subTest(str(value)[:60]):
                clock, store = FakeClock(), FakePlatform()
                store.version = 4
                store.rows[BLOCKED_KEY] = Row(value, 4)
                ctx = make_ctx(clock, "h0")
                facts = FactTable("h0", 1, clock)
                blocklist = Blocklist(ctx, facts, lambda start, at: True, lambda: False)
                found = BlocklistStore(ctx, store, lambda: True, blocklist)
                for name in ("e1", "e2", "e3"):
                    request = SimpleNamespace(content_id="q", part_ids=())
                    blocklist.record_end(request, EndpointStart(name, ""))
                await found.step()
                self.assertEqual(1, store.writes)
                refused = [e for e in ctx.timeline.select(Filter()) if e.name == "rows_refused"]
                self.assertEqual(1, len(refused))


def odd_stream_rows():
    rows = [(field, value) for field in ("service", "software") for value in ODD_VALUES]
    named = [row for row in rows if row[1] not in ("x", "\ud800")]
    return [*named, *(("streams", value) for value in ODD_VALUES)]


class OddStreamRowsTest(unittest.TestCase):
    @params(*ODD_VALUES)
    def test_the_time_of_an_odd_row_is_none(self, value):
        """Guards against streams that are all refused as one row's time is beyond all floats."""
        self.assertEqual(0.0, read_time(Row({"written_at": value}, 1)))

    @params(*odd_stream_rows())
    def test_an_odd_row_is_refused(self, field, value):
        row = {"service": "s", "software": "v1", "streams": "AAAAAAAAAAE="}
        self.assertEqual(1, len(decode_row(row)))
        with self.assertRaises(DECODE_ERRORS):
            decode_row(row | {field: value})


class OddOwnRowTest(unittest.TestCase):
    @params(
        b"", b"\xff", b"[]", b"7", DEEP.encode(), b'{"a": %s}' % LONE_SURROGATE.encode(), b"NaN"
    )
    def test_a_row_that_cannot_be_decoded_can_be_replaced(self, raw):
        """Guards against a row that no host can write, as none knows the version to check."""

        async def play():
            async with SpoiltStore() as store:
                store.put(OWN_TABLE, LEASE_KEY, raw)
                version = store.standin.version
                found = await store.client.read([LEASE_KEY])
                self.assertEqual({LEASE_KEY: Row({}, version)}, found)
                self.assertEqual({}, await store.client.scan(PREFIX))

        asyncio.run(play())
