"""Whether a host has lost its links to all endpoints, or some endpoints have ended."""

import asyncio
import random
import unittest

from nose2.tools import params

from peridotdock.decisions.connectivity import (
    FAILURE_WINDOW_SECONDS,
    PROBED_ENDPOINTS,
    REFUTED_SECONDS,
    Connectivity,
    LinkState,
)
from peridotdock.events import Filter
from peridotdock.relay.connectivity import ConnectivityMonitor
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.requests import EndpointEntry
from tests.builders import make_ctx
from tests.fakes import FakeClock
from tests.relay.test_relay import run

CONNECTED, SUSPECTED, PARTITIONED = LinkState


class StateTest(unittest.TestCase):
    @params(
        ("one endpoint has ended", [(0.0, "e1"), (0.5, "e1"), (1.0, "e1")], 9, CONNECTED),
        ("two endpoints fail within a moment", [(0.0, "e1"), (0.5, "e2")], 9, SUSPECTED),
        (
            "two endpoints end one long after the other",
            [(0.0, "e1"), (0.1 + FAILURE_WINDOW_SECONDS, "e2")],
            9,
            CONNECTED,
        ),
        ("the only endpoint fails", [(0.0, "e1")], 1, SUSPECTED),
        ("connections are refused", [(0.0, "e1"), (0.1, "e2"), (0.2, False)], 9, PARTITIONED),
        ("the others are reached", [(0.0, "e1"), (0.1, "e2"), (0.2, True)], 9, CONNECTED),
        (
            "links are back",
            [(0.0, "e1"), (0.1, "e2"), (0.2, False), (0.7, False), (1.2, True)],
            9,
            CONNECTED,
        ),
        (
            "crashed endpoints fail on after the suspicion was refuted",
            [(0.0, "e1"), (0.1, "e2"), (0.2, True), (0.3, "e1"), (0.4, "e2")],
            9,
            CONNECTED,
        ),
        (
            "a second cut soon after the first",
            [(0.0, "e1"), (0.1, "e2"), (0.2, False), (0.7, True)]
            + [(0.8 + REFUTED_SECONDS, "e1"), (0.9 + REFUTED_SECONDS, "e2")],
            9,
            SUSPECTED,
        ),
    )
    def test_findings_in_a_row(self, name, findings, known, expected):
        links = Connectivity()
        for now, found in findings:
            if isinstance(found, bool):
                links.record_probes(found, now)
            else:
                links.record_failure(found, known, now)
        self.assertEqual(expected, links.state, name)

    @params(
        ("long before", 5.0, False),
        ("when the open connections broke", 9.5, True),
        ("in the cut", 11.0, True),
        ("after it", 12.5, False),
    )
    def test_a_cut_explains_what_was_lost_in_it(self, name, lost_at, expected):
        """Guards against a request that is blamed for the end of endpoints that never ended."""
        links = Connectivity()
        for now, endpoint in ((10.0, "e1"), (10.1, "e2")):
            links.record_failure(endpoint, 9, now)
        self.assertFalse(links.explains(lost_at), f"{name}: suspected")
        links.record_probes(False, 10.2)
        links.record_probes(True, 12.0)
        self.assertEqual(expected, links.explains(lost_at), name)

    @params(
        ("no silence", [], 9, False),
        ("one of many is silent", ["e1"], 9, False),
        ("two are silent", ["e1", "e2"], 9, True),
        ("the only one is silent", ["e1"], 1, True),
        ("one of two has answered since", ["e1", "e2", "answer"], 9, False),
        ("another one has answered meanwhile", [0.3, "e1", "e2"], 9, False),
        ("another one answered before", [-0.1, "e1", "e2"], 9, True),
        ("another one answers after that", ["e1", "e2", 0.7], 9, False),
        ("links were found good", ["e1", "e2", True, "e1", "e2"], 9, False),
        ("a second cut", ["e1", "e2", True, False], 9, False),
    )
    def test_open_connections_hang(self, name, findings, known, expected):
        """Guards against requests on connections that are silent for as long as a cut lasts."""
        links = Connectivity()
        for endpoint in ("e1", "e2"):
            links.record_failure(endpoint, known, 10.0)
        links.record_probes(False, 10.2)
        self.assertFalse(links.hangs("e3"), name)
        for found in findings:
            if found == "answer":
                links.record_answer("e1", 10.6)
            elif isinstance(found, float):
                links.record_answer("e9", 10.0 + found)
            elif found is True:
                links.record_probes(True, 12.0)
            elif found is False:
                for endpoint in ("e1", "e2"):
                    links.record_failure(endpoint, known, 15.0)
                links.record_probes(False, 15.2)
            else:
                links.record_silence(found, 10.5)
        self.assertEqual(expected, links.hangs("e3"), name)

    def test_a_silent_endpoint_hangs_while_others_answer(self):
        links = Connectivity()
        for endpoint in ("e1", "e2"):
            links.record_failure(endpoint, 9, 10.0)
        links.record_probes(False, 10.2)
        for endpoint in ("e1", "e2"):
            links.record_silence(endpoint, 10.9)
        links.record_answer("e3", 10.8)
        found = {name for name in ("e1", "e2", "e3", "e4") if links.hangs(name)}
        self.assertEqual({"e1", "e2"}, found)
        links.record_answer("e1", 11.0)
        self.assertFalse(links.hangs("e1"))

    def test_silences_are_forgotten_while_links_are_good(self):
        """Guards against memory that grows with each endpoint that was silent before it ended."""
        links = Connectivity()
        for number in range(1000):
            links.record_silence(f"e{number}", float(number))
        self.assertLess(len(links._silent_at), 10)

    def test_endpoints_that_have_not_failed_are_tried_first(self):
        """Guards against a host that takes two ended endpoints for the loss of its own links."""
        links = Connectivity()
        for endpoint in ("e1", "e2"):
            links.record_failure(endpoint, 9, 0.0)
        names = [f"e{number}" for number in range(1, 6)]
        tried = links.choose_probes(names, random.Random(1))
        self.assertEqual({"e3", "e4", "e5"}, set(tried))
        self.assertEqual(PROBED_ENDPOINTS, len(tried))


class MonitorTest(unittest.TestCase):
    """Guards against logs that do not tell a host without links from endpoints that have ended."""

    @params(("closed", "endpoints_unreachable", 1.0), ("open", "endpoints_reached", 0.0))
    def test_the_verdict_is_logged_and_exported(self, listening, event, value):
        @run
        async def check(self):
            server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
            address = "{}:{}".format(*server.sockets[0].getsockname())
            if listening == "closed":
                server.close()
                await server.wait_closed()
            ctx = make_ctx(FakeClock())
            fleet = RelayFleet("north", ctx.clock)
            fleet.replace(
                EndpointEntry(f"e{number}", "s", address, "north", 8, False) for number in range(4)
            )
            monitor = ConnectivityMonitor(ctx, fleet)
            monitor.record_lost("e0")
            monitor.record_lost("e1")
            await monitor.step()
            names = [row.name for row in ctx.timeline.select(Filter())]
            self.assertEqual(["endpoint_links_suspected", event], names)
            exported = f"peridotdock_endpoints_unreachable {value}".encode()
            self.assertIn(exported, ctx.metrics.render())
            server.close()

        check(self)
