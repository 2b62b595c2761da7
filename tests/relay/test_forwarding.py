"""Requests that a host without links to the endpoints forwards to another host."""

import asyncio
import base64
import itertools
import math
import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

import cbor2
from nose2.tools import params

from extras.soak.gates import Gate
from peridotdock.decisions.connectivity import Connectivity, LinkState
from peridotdock.decisions.overload import (
    CONNECT_SECONDS,
    FORWARDED_LAG_SECONDS,
    NORMAL_ITERATION_SECONDS,
    RETRY_SECONDS,
    RETRY_SPREAD,
)
from peridotdock.errors import Failure, Kind, Ran
from peridotdock.events import Filter
from peridotdock.relay.forwarded import ForwardedHandler
from peridotdock.relay.forwarding import (
    ENDPOINT_HEADER,
    FORWARD_HEADER,
    MAX_FORWARDS,
    PROOF_HEADER,
    read_header,
    read_refusal,
    sign,
    write_header,
    write_refusal,
)
from peridotdock.schema.messages import Forward, ForwardRefusal
from tests.builders import make_ctx
from tests.fakes import FakeClock
from tests.relay.deployment import Deployment
from tests.relay.test_partition import MAX_REFUSAL_SECONDS, wait_linked
from tests.relay.test_relay import ids, run

ENGINES = (("e1", ("m0",)), ("e2", ("m0",)))
PAGES = ("p1", "p2")
FORWARD = Forward("h0", 1, "pages", "", 0)
# The shortest iteration of a loop that is behind.
LONG_SECONDS = math.nextafter(NORMAL_ITERATION_SECONDS, math.inf)
# Statuses that say that a request has not run and will not.
NOT_RUN = {429, 503}
# Seconds within which an endpoint sees that the caller at the other host has left.
LEFT_SECONDS = 0.5
TAKES_FORWARDED = "peridotdock.relay.forwarded.takes_forwarded"
numbers = itertools.count()


def gated(hosts=2):
    return Deployment(hosts=hosts, engines=ENGINES, pages=PAGES, gated=True)


async def cut_off(found, host=0, way="reset"):
    """Cut a host off and wait until it knows, by its requests to two plain endpoints or more."""
    await wait_linked(found)
    found.cut(host, way)
    links = found.hosts[host].connectivity.links
    async with asyncio.timeout(10):
        while not links.partitioned:
            await found.send("/fetch/", f"c{next(numbers)}", to=host)
            await asyncio.sleep(0.05)


def runners(found):
    return [*found.engines.values(), *found.pages.values()]


class HeaderTest(unittest.TestCase):
    @params(FORWARD, ForwardRefusal("overloaded", "a wait", False, 300))
    def test_a_message_is_read_as_it_was_written(self, message):
        headers = {"x": write_header(message)}
        self.assertEqual(message, read_header(headers, "x", type(message)))

    @params("", "%%%", "AAAA", write_header(ForwardRefusal("blocked", "", False)))
    def test_what_can_not_be_read_is_no_message(self, text):
        self.assertIsNone(read_header({"x": text}, "x", Forward))

    @params(
        Failure(Kind.OVERLOADED, "a wait", 0.25),
        Failure(Kind.ENDPOINT_LOST, "reset"),
        Failure(Kind.ENDPOINT_REFUSED, "full", None, Ran.MAYBE),
    )
    def test_a_refusal_keeps_what_callers_are_told(self, failure):
        found = read_refusal(read_header({"x": write_refusal(failure, True)}, "x", ForwardRefusal))
        self.assertEqual(
            (failure.kind, failure.reason, failure.retry_after, failure.may_have_run),
            (found.kind, found.reason, found.retry_after, found.may_have_run),
        )

    def test_a_kind_of_a_newer_version_is_an_internal_error(self):
        found = read_refusal(ForwardRefusal("not_invented", "", False))
        self.assertEqual((Kind.INTERNAL, False), (found.kind, found.may_have_run))


class UnreadableRefusalTest(unittest.TestCase):
    @run
    async def test_a_refusal_that_can_not_be_read_may_have_run(self):
        """Guards against a caller told "not run" by the status of a refusal that says otherwise."""
        async with Deployment(hosts=2, pages=("p1", "p2"), gated=True) as found:
            await cut_off(found)
            refused = write_refusal(Failure(Kind.ENDPOINT_REFUSED, "", None, Ran.MAYBE), True)
            with (
                mock.patch(
                    "peridotdock.relay.forwarded.write_refusal", return_value=refused[:-4] + "%"
                ),
                mock.patch.object(found.hosts[1].responder, "respond", refuse_after_a_send),
            ):
                status, _, body = await found.send("/bind/", "x1")
            self.assertEqual(502, status, body)


async def refuse_after_a_send(request, req, admission):
    return Failure(Kind.ENDPOINT_REFUSED, "full", None, Ran.MAYBE)


class RefusalTest(unittest.TestCase):
    """Guards against a host that takes a forwarded request which it can't serve as well."""

    @params(
        ("ready", {}, None),
        ("stops", {"stopping": True}, Kind.STOPPING),
        ("in doubt of its own links", {"state": LinkState.SUSPECTED}, Kind.NOT_READY),
        ("no configuration", {"version": None}, Kind.NOT_READY),
        ("an older configuration", {"version": 0}, Kind.NOT_READY),
        ("a newer configuration", {"version": 2}, None),
        ("behind", {"lag": FORWARDED_LAG_SECONDS, "iteration": LONG_SECONDS}, Kind.HOST_BEHIND),
        ("paused once", {"lag": FORWARDED_LAG_SECONDS}, None),
    )
    def test_reasons(self, name, changes, expected):
        row = {"stopping": False, "state": LinkState.CONNECTED, "version": 1} | changes
        links = Connectivity()
        links.state = row["state"]
        iterations = SimpleNamespace(
            lag=lambda: row.get("lag", 0.0), median_length=lambda: row.get("iteration", 0.001)
        )
        handler = ForwardedHandler(
            make_ctx(FakeClock()), None, None, links, iterations, None, lambda: row["stopping"]
        )
        version = row["version"]
        deployment = None if version is None else SimpleNamespace(version=version)
        found = handler._check_host(deployment, FORWARD)
        self.assertEqual(expected, found.kind if found else None, name)


class PromisesTest(unittest.TestCase):
    """Guards against promises to callers that end where their request is forwarded."""

    @params(*Gate.WAYS)
    def test_a_request_runs_once_at_most_while_links_are_lost(self, way):
        @run
        async def check(self):
            async with gated() as found:
                await wait_linked(found)
                tasks = []
                for number in range(50):
                    if number == 10:
                        found.cut(0, way)
                    send = found.send("/bind/", f"b{number}")
                    tasks.append(asyncio.ensure_future(send))
                    await asyncio.sleep(0.05)
                statuses = [row[0] for row in await asyncio.gather(*tasks)]
                counted = Counter(name for page in runners(found) for name in page.executed)
                self.assertLessEqual(max(counted.values()), 1)
                for number, status in enumerate(statuses):
                    if status in NOT_RUN:
                        self.assertEqual(0, counted[f"b{number}"], (number, status))
                self.assertGreater(statuses.count(200), 30, statuses)

        check(self)

    @run
    async def test_a_request_that_ran_is_not_promised_as_not_run_by_a_stopping_host(self):
        """Guards against a retry that a stopping host refuses, which hides the send that ran."""
        async with gated() as found:
            await cut_off(found)
            for page in found.pages.values():
                page.script, page.delay_seconds = ["cut"], 0.3
            sent = asyncio.ensure_future(found.send("/fetch/", "ran"))
            await found.until(lambda: any("ran" in row.executed for row in found.pages.values()))
            found.hosts[1].service.stop_refusal = lambda req: Failure(Kind.STOPPING, "", 0.0)
            status, _, body = await sent
            self.assertNotIn(status, NOT_RUN, body)

    @run
    async def test_an_endpoint_sees_that_the_caller_has_left(self):
        """Work goes on at an endpoint for a caller who has closed its connection long ago."""
        async with gated() as found:
            await cut_off(found)
            for page in found.pages.values():
                page.script = ["silent"]
            sent = asyncio.ensure_future(found.send("/fetch/", "left"))
            await found.until(lambda: any("left" in page.executed for page in runners(found)))
            sent.cancel()
            await found.until(
                lambda: any("left" in page.disconnected for page in runners(found)), LEFT_SECONDS
            )

    @run
    async def test_an_endpoint_gets_the_time_that_is_left_and_no_keys(self):
        """Endpoints get a caller's key, headers between hosts, or more time than is left."""
        workspace = {"name": "river", "api_keys": ["key-one"], "rate_per_s": 900, "burst": 900}
        async with gated() as found:
            found.configure(version=2, tenants=[workspace])
            hosts = found.hosts
            await found.until(lambda: all(h.request_handler.deployment.version == 2 for h in hosts))
            found.cut(0, "reset")
            hosts[0].connectivity.links.state = LinkState.PARTITIONED
            await wait_linked_from(found, 0)
            admitted = count_admitted(hosts)
            # The hub does not know yet what was used of the quota.
            await asyncio.sleep(1.0)
            answers = [
                await found.send(
                    "/fetch/", f"k{n}", authorization="Bearer key-one", x_deadline_ms="800"
                )
                for n in range(10)
            ]
            statuses = [status for status, _, _ in answers]
            self.assertEqual([200] * 10, statuses)
            self.assertEqual({"h0": 10}, admitted)
            unknown = await found.send("/fetch/", "u", authorization="Bearer nobody")
            self.assertEqual(401, unknown[0])
            for _, _, headers, _ in (row for page in found.pages.values() for row in page.requests):
                self.assertLessEqual(int(headers["x-deadline-ms"]), 800)
                self.assertEqual("river", headers["x-tenant"])
                names = {"authorization", FORWARD_HEADER, PROOF_HEADER} & headers.keys()
                self.assertEqual(set(), names)

    @params(
        ("no signature", {FORWARD_HEADER: write_header(FORWARD)}),
        (
            "another host's key",
            {
                FORWARD_HEADER: write_header(FORWARD),
                PROOF_HEADER: sign("a key of strangers", write_header(FORWARD), "a1"),
            },
        ),
        (
            "another request's signature",
            {
                FORWARD_HEADER: write_header(FORWARD),
                PROOF_HEADER: sign("a key of sixteen", write_header(FORWARD), "a2"),
            },
        ),
        ("nothing", {}),
    )
    def test_only_hosts_may_forward(self, name, headers):
        """Callers bypass keys and quotas at the port for requests between hosts."""

        @run
        async def check(self):
            async with Deployment() as found:
                relay = found.hosts[0].settings.listen.relay
                rows = {"host": "shop.example", "x-attempt-id": "a1"} | headers
                async with found.session.post(f"http://{relay}/fetch/", headers=rows) as resp:
                    self.assertEqual(403, resp.status, name)
                self.assertEqual([], found.pages["p1"].requests)

        check(self)


def count_admitted(hosts):
    """Return a counter of the requests that each host counts against a quota from now on."""
    admitted = Counter()

    def count(host, admit):
        def counting(req, caller):
            admitted[host.settings.host] += 1
            return admit(req, caller)

        return counting

    for host in hosts:
        host.quotas.admit = count(host, host.quotas.admit)
    return admitted


class EndpointHeaderTest(unittest.TestCase):
    """Guards against headers between hosts that reach callers, or break a host without them."""

    @params(("a host that reads it", [], True), ("a host of an earlier version", None, False))
    def test_the_endpoint_is_told_only_to_hosts_that_read_it(self, name, working, told):
        @run
        async def check(self):
            async with gated() as found:
                await wait_linked(found)
                text = write_header(Forward("h0", 1, "engines", "", 0, "", working))
                rows = {"host": "shop.example", "x-attempt-id": "a1", "x-deadline-ms": "6000"}
                rows |= {"x-model": "m0", "x-token-counts": "900,20", "x-prompt-prefix": "aa:600"}
                rows |= {FORWARD_HEADER: text, PROOF_HEADER: sign("a key of sixteen", text, "a1")}
                relay = found.hosts[1].settings.listen.relay
                async with found.session.post(f"http://{relay}/recap/", headers=rows) as resp:
                    ran = [row.name for row in found.engines.values() if row.executed]
                    self.assertEqual((200, told), (resp.status, ENDPOINT_HEADER in resp.headers))
                    self.assertIn(resp.headers.get(ENDPOINT_HEADER, *ran), ran)
                    self.assertEqual([1, 2, 3, 4, 5, 6], ids(await resp.read()))

        check(self)

    def test_a_message_of_an_earlier_version_names_no_endpoints(self):
        rows = {"host": "h0", "version": 1, "service": "pages", "workspace": "", "sends": 0}
        text = base64.b64encode(cbor2.dumps(rows)).decode()
        self.assertEqual(FORWARD, read_header({"x": text}, "x", Forward))

    @run
    async def test_callers_and_endpoints_get_no_header_of_hosts(self):
        async with gated() as found:
            await cut_off(found)
            status, headers, body = await found.send("/recap/", "a1", model="m0")
            self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)))
            requests = [row for engine in found.engines.values() for row in engine.requests]
            sent = [name.lower() for _, _, row, _ in requests for name in row]
            names = [name.lower() for name in headers] + sent
            self.assertEqual([], [name for name in names if "peridotdock" in name])


class OverloadTest(unittest.TestCase):
    """Guards against callers that wait at a host although no other host takes their requests."""

    @params(("/fetch/", ""), ("/recap/", "m0"))
    def test_a_request_that_no_host_takes_is_refused_at_once(self, path, model):
        @run
        async def check(self):
            # One more than a request is forwarded to.
            async with gated(hosts=MAX_FORWARDS + 2) as found:
                await cut_off(found)
                with mock.patch(TAKES_FORWARDED, return_value=False):
                    began = asyncio.get_running_loop().time()
                    status, headers, _ = await found.send(path, "late", model=model)
                    seconds = asyncio.get_running_loop().time() - began
                self.assertEqual(503, status)
                self.assertGreater(float(headers["retry-after"]), 0.0)
                self.assertLess(seconds, MAX_REFUSAL_SECONDS)

        check(self)


class NewsTest(unittest.TestCase):
    """Guards against a refusal by a host that has not yet heard that an endpoint holds the item."""

    @run
    async def test_a_host_waits_for_the_news_that_the_forwarding_host_has(self):
        async with gated() as found:
            await cut_off(found)
            fleet = found.hosts[1].fleet
            usable, clock = fleet.usable, asyncio.get_running_loop().time
            informed_at = clock() + 0.3
            fleet.usable = lambda *args: usable(*args) if clock() > informed_at else []
            status, _, body = await found.send("/recap/", "news", model="m0")
            self.assertEqual(200, status, body)


async def open_stream(found, path="/recap/"):
    """Send a request for a stream that stops halfway; return its task and its other host."""
    for engine in found.engines.values():
        engine.halfway_event = asyncio.Event()
    sent = asyncio.ensure_future(found.send(path, "s1", model="m0"))
    await found.until(lambda: any(engine.executed for engine in found.engines.values()))
    (busy,) = [host for host in found.hosts[1:] if host.responder.in_progress]
    return sent, busy


class OnlyHostTest(unittest.TestCase):
    """Guards against callers that are refused for a second as the only host in touch is avoided."""

    @run
    async def test_a_host_whose_doubt_has_ended_is_asked_again(self):
        """Two endpoints crash, and the host that loses them doubts its links for a moment."""
        async with gated() as found:
            await cut_off(found)
            links = found.hosts[1].connectivity.links
            links.state = LinkState.SUSPECTED
            status, _, body = await found.send("/fetch/", "in doubt")
            self.assertEqual(503, status, body)
            links.state = LinkState.CONNECTED
            await asyncio.sleep(CONNECT_SECONDS)
            status, _, body = await found.send("/fetch/", "after")
            self.assertEqual(200, status, body)

    @run
    async def test_a_host_that_was_behind_is_asked_again(self):
        """Its own callers, whom it refuses as well, are told to come back sooner."""
        async with gated() as found:
            await cut_off(found)
            with mock.patch(TAKES_FORWARDED, return_value=False):
                status, _, body = await found.send("/fetch/", "behind")
            self.assertEqual(503, status, body)
            await asyncio.sleep(RETRY_SECONDS * (1 + RETRY_SPREAD / 2))
            status, _, body = await found.send("/fetch/", "after")
            self.assertEqual(200, status, body)

    @run
    async def test_a_host_that_passes_on_the_end_of_an_endpoint_is_not_avoided(self):
        """An engine crashes, and its stream ends at the host that it was forwarded to."""
        async with gated() as found:
            await cut_off(found)
            sent, _ = await open_stream(found, "/once/")
            logged = found.hosts[0].ctx.timeline.select
            await found.until(lambda: any(row.name == "first_event" for row in logged(Filter())))
            (engine,) = [row for row in found.engines.values() if row.executed]
            engine.crash()
            status, _, body = await sent
            self.assertEqual((0, "ClientPayloadError"), (status, type(body).__name__))
            status, _, body = await found.send("/fetch/", "after")
            self.assertEqual(200, status, body)


class StreamTest(unittest.TestCase):
    """Guards against streams that break off with the host that they were forwarded to."""

    def let_go(self, found):
        for engine in found.engines.values():
            engine.halfway_event.set()

    @run
    async def test_a_planned_stop_of_the_other_host_cuts_nothing_off(self):
        async with gated() as found:
            await cut_off(found)
            sent, other = await open_stream(found)
            stopping = asyncio.ensure_future(other.drain())
            await asyncio.sleep(0.3)
            self.assertFalse(stopping.done())
            self.let_go(found)
            status, _, body = await sent
            self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)))
            await stopping

    @run
    async def test_a_stream_is_resumed_where_the_other_host_is_lost(self):
        async with gated(hosts=3) as found:
            await cut_off(found)
            sent, other = await open_stream(found)
            await asyncio.sleep(0.1)
            found.hosts.remove(other)
            await abort(other)
            self.let_go(found)
            status, _, body = await sent
            self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)))


async def abort(host):
    """End a host as if it were killed: its connections are reset."""
    for protocol in list(host.server._server.server_state.connections):
        protocol.transport.abort()
    await host.stop()


async def wait_linked_from(found, host):
    """Wait until a host knows all others."""
    live = found.hosts[host].peers.membership
    others = {row.settings.host for row in found.hosts} - {found.hosts[host].settings.host}
    await found.until(lambda: others <= set(live.live()))
