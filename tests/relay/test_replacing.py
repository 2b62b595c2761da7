"""A second send of a request beside a silent one: what it leaves, and what it may not do."""

import asyncio
import unittest

from peridotdock.decisions.connectivity import LinkState
from peridotdock.errors import Failure, Kind
from tests.relay.deployment import STREAM, Deployment
from tests.relay.test_forwarding import cut_off
from tests.relay.test_relay import ids, run
from tests.relay.test_silence import ALL_EVENTS, CALLER_STAYS_SECONDS, ENGINES, begin_stream
from tests.standins.runner import frame

PAGES = ("p1", "p2")
THREE_ENGINES = (*ENGINES, ("e3", ("m0",)))
# Seconds between two events of an engine that goes on slowly.
EVENT_SECONDS = 0.6
# The same of one that goes on before its send is ended for the sake of the second one.
PROMPT_EVENT_SECONDS = 0.08
# The head of an answer and its first event.
EVENT = b"id: 1\ndata: x 1\n\n"
ONE_EVENT = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-attempt-id: a1\r\n"
    b"x-response-signature: by e\r\ntransfer-encoding: chunked\r\n\r\n"
    b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
)
# Seconds after which a second send to a silent endpoint has surely been made.
REPLACED_SECONDS = 1.6
# Seconds without an event after which callers of streams disconnect.
CALLER_PATIENCE_SECONDS = 2.0
# Seconds for which all endpoints may be silent without a loss, and go on.
MOMENT_SECONDS = 1.3
# The same through another host.
FORWARDED_REPLACED_SECONDS = 2.3


def suspect_links(host):
    """Let a host doubt its links to the endpoints, whatever it finds."""
    links = host.connectivity.links
    links.state = LinkState.SUSPECTED
    links.record_probes = lambda *found: False
    return links


def suspect_endpoint(host, name):
    """Let a host avoid an endpoint for some seconds, as after several losses."""
    health = host.fleet.states[name].health
    health._pause = 4.0
    health.record_loss(host.ctx.clock.monotonic())


async def use_third_host(found, busy):
    """Return the host that a cut-off host sends the stream of a busy host to."""
    return next(host for host in found.hosts[1:] if host is not busy)


async def use_own_links(found, busy):
    """Let the first host reach the endpoints itself again, and return it."""
    await found.mend(0)
    await found.until(lambda: not found.hosts[0].connectivity.links.doubtful)
    return found.hosts[0]


async def finish(sent, seconds=5.0):
    """Return the status of a stream and its events, or the error that ended it."""
    status, _, body = await asyncio.wait_for(sent, seconds)
    return status, ids(body) if status else body


class LeftBehindTest(unittest.TestCase):
    """Guards against a second send that goes on, or is counted, after the first has answered."""

    @run
    async def test_a_second_send_ends_when_the_silent_endpoint_goes_on(self):
        async with Deployment(engines=ENGINES) as found:
            sent, gate, first, other = await begin_stream(found)
            progress = []
            service = found.hosts[0].service
            open_answer = service.open_answer

            def remember(req, caller, row):
                progress.append(row)
                return open_answer(req, caller, row)

            service.open_answer = remember
            other.script = ["silent"]
            await found.until(lambda: other.executed)
            self.assertEqual({first.name}, progress[0].working)
            first.delay_seconds = PROMPT_EVENT_SECONDS
            gate.set()
            await found.until(lambda: other.disconnected == ["a1"])
            self.assertFalse(sent.done())
            self.assertEqual((200, ALL_EVENTS), await finish(sent))
            await found.until(lambda: not service.replacing)
            states = found.hosts[0].fleet.states.values()
            self.assertFalse(any(state.in_flight for state in states))
            self.assertEqual((set(), 2), (progress[0].working, progress[0].maybe_ran))

    @run
    async def test_both_sends_end_when_the_caller_leaves(self):
        async with Deployment(engines=ENGINES) as found:
            sent, gate, first, other = await begin_stream(found)
            other.script = ["silent"]
            await found.until(lambda: other.executed)
            sent.cancel()
            await found.until(lambda: [first.disconnected, other.disconnected] == [["a1"]] * 2)
            await found.until(lambda: not found.hosts[0].service.replacing)
            self.assertEqual(0, found.hosts[0].responder.in_progress)

    @run
    async def test_a_send_that_goes_to_the_first_endpoint_again_stays_counted_there(self):
        async with Deployment(engines=ENGINES) as found:
            sent, gate, first, other = await begin_stream(found)
            states = found.hosts[0].fleet.states
            other.script = ["refuse"] * 50
            await found.until(lambda: other.refusals)
            states[other.name].announced_leaving = True
            first.halfway_event, first.delay_seconds = None, EVENT_SECONDS / 2
            first.abort_connections()
            await found.until(lambda: len(first.executed) == 2)
            await asyncio.sleep(EVENT_SECONDS)
            self.assertEqual(["a1"], list(states[first.name].in_flight))
            self.assertEqual((200, ALL_EVENTS), await finish(sent))
            self.assertEqual([], list(states[first.name].in_flight))

    @run
    async def test_a_second_send_counts_before_a_stream_that_was_cut_is_resumed(self):
        async with Deployment(engines=THREE_ENGINES) as found:
            engines = found.engines.values()
            for engine in engines:
                engine.script = ["silent"]
            sent = asyncio.ensure_future(found.send("/recap/", "a1", model="m0"))
            await found.until(lambda: sum(bool(engine.executed) for engine in engines) == 2)
            began = {at: row for row in engines for at, name in row.request_times if name == "a1"}
            for engine in engines:
                engine.script = []
            began[min(began)].abort_after(ONE_EVENT)
            self.assertEqual(0, (await finish(sent))[0])
            self.assertEqual(STREAM["max_attempts"], sum(len(row.executed) for row in engines))

    @run
    async def test_a_server_error_of_the_second_endpoint_is_better_than_a_loss(self):
        async with Deployment(pages=PAGES) as found:
            for page in found.pages.values():
                page.script = ["silent"]
            sent = asyncio.ensure_future(found.send("/fetch/", "a1"))
            await found.until(lambda: any(page.requests for page in found.pages.values()))
            [first] = [page for page in found.pages.values() if page.requests]
            [other] = [page for page in found.pages.values() if page is not first]
            other.script = ["error"]
            await found.until(lambda: other.executed)
            await asyncio.sleep(EVENT_SECONDS / 2)
            first.abort_connections()
            self.assertEqual(500, (await sent)[0])

    @run
    async def test_a_silence_counts_once_against_its_endpoint(self):
        async with Deployment(engines=ENGINES) as found:
            sent, gate, first, other = await begin_stream(found)
            host, losses, lost = found.hosts[0], [], []
            host.fleet.states[first.name].health.record_loss = losses.append
            host.service.on_lost = lost.append

            async def deny(*call):
                return Failure(Kind.OVERLOADED, "a wait", 0.5)

            host.grants.request_grant = deny
            await asyncio.sleep(2.6)
            gate.set()
            self.assertEqual((200, ALL_EVENTS), await finish(sent))
            self.assertEqual((1, [first.name]), (len(losses), lost))


class ReplacedTest(unittest.TestCase):
    """Guards against callers of dead connections that wait in vain for a second send."""

    @run
    async def test_a_suspect_endpoint_is_tried_before_the_first_byte(self):
        for path, model in (("/recap/", "m0"), ("/fetch/x", "")):
            async with Deployment(engines=ENGINES, pages=PAGES) as found:
                rows = (found.engines if model else found.pages).values()
                freezes = {row.name: asyncio.ensure_future(row.freeze(20.0)) for row in rows}
                await asyncio.sleep(0)
                sent = asyncio.ensure_future(found.send(path, "a1", model=model))
                await found.until(lambda rows=rows: any(row.requests for row in rows))
                [other] = [row for row in rows if not row.requests]
                suspect_endpoint(found.hosts[0], other.name)
                freezes[other.name].cancel()
                status, _, body = await asyncio.wait_for(sent, CALLER_STAYS_SECONDS)
                self.assertEqual((200, ["a1"]), (status, other.executed), body)

    @run
    async def test_the_first_endpoint_may_be_chosen_again_once_its_send_has_ended(self):
        async with Deployment(engines=ENGINES) as found:
            found.configure(version=2, routes=[STREAM | {"max_attempts": 3}])
            handler = found.hosts[0].request_handler
            await found.until(lambda: handler.deployment.version == 2)
            sent, gate, first, other = await begin_stream(found)
            other.script = ["silent"]
            await found.until(lambda: other.executed)
            first.halfway_event = None
            first.abort_connections()
            self.assertEqual((200, ALL_EVENTS), await finish(sent, CALLER_STAYS_SECONDS))
            self.assertEqual((["a1"] * 2, ["a1"]), (first.executed, other.executed))

    @run
    async def test_refusals_of_a_second_send_do_not_end_later_ones(self):
        async with Deployment(engines=ENGINES) as found:
            sent, gate, first, other = await begin_stream(found)
            other.halfway_event = None
            other.script = ["refuse"] * 3
            self.assertEqual((200, ALL_EVENTS), await finish(sent))

    @run
    async def test_refusals_in_a_silence_do_not_end_a_later_retry(self):
        async with Deployment(engines=ENGINES) as found:
            sent, gate, first, other = await begin_stream(found)
            other.halfway_event = None
            other.script = ["refuse"] * 3
            await found.until(lambda: other.refusals)
            for row in (first, other):
                row.delay_seconds = 0.3
            gate.set()
            await asyncio.sleep(0.5)
            first.crash()
            other.script = []
            self.assertEqual((200, ALL_EVENTS), await finish(sent))

    @run
    async def test_a_refusal_of_another_host_does_not_end_later_tries(self):
        async with Deployment(hosts=2, engines=ENGINES, pages=PAGES, gated=True) as found:
            sent, gate, first, other = await begin_stream(found)
            other.halfway_event = None
            links = found.hosts[0].connectivity.links
            links.state = LinkState.PARTITIONED

            async def refuse(*call):
                links.state = LinkState.CONNECTED
                return Failure(Kind.OVERLOADED, "a wait", 0.2)

            found.hosts[1].responder.respond = refuse
            self.assertEqual((200, ALL_EVENTS), await finish(sent))

    @run
    async def test_a_stream_of_a_silent_host_goes_on_over_own_links_that_are_back(self):
        async with Deployment(hosts=2, engines=ENGINES, pages=PAGES, gated=True) as found:
            await cut_off(found)
            sent, gate, first, other = await begin_stream(found)
            first.halfway_event = other.halfway_event = None
            await found.mend(0)
            await found.until(lambda: not found.hosts[0].connectivity.links.doubtful)
            found.hosts[1].service.may_replace = lambda *call: False
            self.assertEqual((200, ALL_EVENTS), await finish(sent))

    @run
    async def test_a_request_goes_through_another_host_where_the_first_never_answers(self):
        async with Deployment(hosts=3, engines=ENGINES, pages=PAGES, gated=True) as found:
            await cut_off(found)
            asked = []
            for host in found.hosts[1:]:
                host.responder.respond = self._hang_once(host.responder.respond, asked)
            status, _, body = await asyncio.wait_for(found.send("/recap/", "a1", model="m0"), 4.0)
            self.assertEqual((200, ALL_EVENTS, 2), (status, ids(body), len(asked)))

    def _hang_once(self, respond, asked):
        async def hang_once(*call):
            asked.append(call)
            if len(asked) == 1:
                await asyncio.sleep(30)
            return await respond(*call)

        return hang_once


class SameMomentTest(unittest.TestCase):
    """Guards against a stream that joins events of a send that was replaced to the next one's."""

    @run
    async def test_what_a_replaced_send_still_delivers_is_not_passed_on(self):
        async with Deployment(engines=ENGINES) as found:
            service, sources = found.hosts[0].service, []
            open_answer = service.open_answer

            async def answer_together(*call):
                """Let the silent endpoint's next event arrive just before the second answer."""
                sources.append(await open_answer(*call))
                if len(sources) == 2:
                    content = sources[0].opened._resp.content
                    content.feed_data(b"id: 3\ndata: %s 3\n\n" % first.name.encode())
                return sources[-1]

            service.open_answer = answer_together
            sent, gate, first, other = await begin_stream(found)
            other.halfway_event = None
            status, _, body = await asyncio.wait_for(sent, CALLER_STAYS_SECONDS)
            self.assertEqual((200, ALL_EVENTS), (status, ids(body) if status else body))
            resumed = int(other.requests[0][2]["last-event-id"])
            first_events, rest = ids(body)[:resumed], ids(body)[resumed:]
            self.assertEqual(len(first_events), body.count(first.name.encode()), body)
            self.assertEqual(len(rest), body.count(other.name.encode()), body)


class SuspectTest(unittest.TestCase):
    """Guards against streams of dead connections that wait as all other endpoints are suspect."""

    @run
    async def test_a_stream_goes_on_at_a_suspect_endpoint_before_its_caller_leaves(self):
        async with Deployment(engines=ENGINES) as found:
            sent, gate, first, other = await begin_stream(found)
            other.halfway_event = None
            suspect_endpoint(found.hosts[0], other.name)
            self.assertEqual((200, ALL_EVENTS), await finish(sent, CALLER_PATIENCE_SECONDS))

    @run
    async def test_a_suspect_endpoint_that_is_silent_too_is_left_out(self):
        async with Deployment(engines=THREE_ENGINES) as found:
            sent, gate, first, *others = await self._begin_streams(found, 2)
            [(also_silent, second), sound] = others
            sound.halfway_event = None
            self.assertEqual((200, ALL_EVENTS), await finish(sent, CALLER_PATIENCE_SECONDS))
            self.assertEqual(["a1"], also_silent.executed)
            gate.set()
            self.assertEqual((200, ALL_EVENTS), await finish(second))

    @run
    async def test_nothing_is_sent_again_while_all_endpoints_are_silent(self):
        async with Deployment(engines=ENGINES) as found:
            sent, gate, first, (other, second) = await self._begin_streams(found, 2)
            await asyncio.sleep(2.5)
            gate.set()
            self.assertEqual((200, ALL_EVENTS), await finish(sent))
            self.assertEqual((200, ALL_EVENTS), await finish(second))
            self.assertEqual((["a0"], ["a1"]), (first.executed, other.executed))

    @run
    async def test_nothing_is_sent_to_a_suspect_endpoint_in_a_silence_of_a_moment(self):
        async with Deployment(engines=ENGINES) as found:
            sent, gate, first, other = await begin_stream(found)
            suspect_endpoint(found.hosts[0], other.name)
            await asyncio.sleep(MOMENT_SECONDS)
            gate.set()
            self.assertEqual((200, ALL_EVENTS), await finish(sent))
            self.assertEqual(([], []), (other.executed, first.disconnected))

    async def _begin_streams(self, found, count):
        """Begin streams at as many engines, all of which are suspect from then on.

        Return the first one's task, the gate of all, its engine, rows of the next engine with its
        task, and the engines without a stream.
        """
        gate, rows, engines = asyncio.Event(), [], found.engines.values()
        for engine in engines:
            engine.halfway_event = gate
        for number in range(count):
            attempt = f"a{number}"
            sent = asyncio.ensure_future(found.send("/recap/", attempt, model="m0"))
            await found.until(lambda a=attempt: any(a in row.executed for row in engines))
            [engine] = [row for row in engines if attempt in row.executed]
            rows.append((engine, sent))
            suspect_endpoint(found.hosts[0], engine.name)
        idle = [row for row in engines if not row.executed]
        for engine in idle:
            suspect_endpoint(found.hosts[0], engine.name)
        (first, sent), *others = rows
        return sent, gate, first, *others, *idle


class NeedlessTest(unittest.TestCase):
    """Guards against second sends that nobody needs, or that run beside the first."""

    @run
    async def test_the_silent_endpoint_does_not_get_the_request_through_another_host(self):
        async with Deployment(hosts=2, engines=ENGINES) as found:
            sent, gate, first, other = await begin_stream(found)
            suspect_links(found.hosts[0])
            suspect_endpoint(found.hosts[1], other.name)
            await asyncio.sleep(REPLACED_SECONDS)
            self.assertEqual(["a1"], first.executed)
            gate.set()
            self.assertEqual((200, ALL_EVENTS), await finish(sent))

    def test_the_silent_endpoint_of_another_host_does_not_get_the_stream_again(self):
        for name, prepare in (
            ("through a third host", use_third_host),
            ("over own links that are back", use_own_links),
        ):
            with self.subTest(name):
                self._resume_elsewhere(prepare)

    @run
    async def _resume_elsewhere(self, prepare):
        async with Deployment(hosts=3, engines=ENGINES, pages=PAGES, gated=True) as found:
            await cut_off(found)
            sent, gate, first, other = await begin_stream(found)
            other.halfway_event = None
            [busy] = [host for host in found.hosts[1:] if host.responder.in_progress]
            busy.service.may_replace = lambda *call: False
            next_host = await prepare(found, busy)
            # By its own state alone the next host chooses the silent endpoint.
            suspect_endpoint(next_host, other.name)
            self.assertEqual((200, ALL_EVENTS), await finish(sent, CALLER_STAYS_SECONDS))
            self.assertEqual((["a1"], ["a1"]), (first.executed, other.executed))

    @run
    async def test_a_forwarded_stream_whose_only_endpoint_is_silent_is_not_sent_again(self):
        async with Deployment(hosts=3, engines=ENGINES[:1], pages=PAGES, gated=True) as found:
            await cut_off(found)
            gate = asyncio.Event()
            [engine] = found.engines.values()
            engine.halfway_event = gate
            sent = asyncio.ensure_future(found.send("/recap/", "a1", model="m0"))
            await found.until(lambda: engine.executed)
            await asyncio.sleep(FORWARDED_REPLACED_SECONDS)
            gate.set()
            self.assertEqual((200, ALL_EVENTS), await finish(sent))
            self.assertEqual(["a1"], engine.executed)

    @run
    async def test_no_more_sends_run_than_the_route_allows(self):
        async with Deployment(engines=THREE_ENGINES) as found:
            for engine in found.engines.values():
                engine.script = ["silent"] * 3
            sent = asyncio.ensure_future(found.send("/recap/", "a1", model="m0"))
            await asyncio.sleep(4.0)
            ran = [engine.executed for engine in found.engines.values()]
            self.assertEqual([[], ["a1"], ["a1"]], sorted(ran))
            sent.cancel()

    @run
    async def test_an_answer_that_arrives_slowly_is_not_sent_for_again(self):
        async with Deployment(pages=PAGES) as found:
            for page in found.pages.values():
                page._answer = self._trickle(page)
            status, _, body = await found.send("/fetch/x", "a1")
            self.assertEqual((200, 1000), (status, len(body)))
            ran = [attempt for page in found.pages.values() for attempt in page.executed]
            self.assertEqual(["a1"], ran)

    def _trickle(self, page):
        async def answer(reader, writer, headers, body):
            attempt = headers.get("x-attempt-id", "")
            page.executed.append(attempt)
            signed = {"x-attempt-id": attempt, "x-response-signature": "s"}
            raw = frame(200, b"x" * 1000, signed)
            for at in range(0, len(raw), 100):
                writer.write(raw[at : at + 100])
                await writer.drain()
                await asyncio.sleep(0.15)
            return True

        return answer

    @run
    async def test_a_request_that_no_endpoint_ran_is_refused_as_not_run(self):
        async with Deployment(pages=PAGES) as found:
            for page in found.pages.values():
                page.script = ["refuse"] * 50
                asyncio.ensure_future(page.freeze(1.3))
            status, headers, body = await found.send("/fetch/x", "a1")
            self.assertEqual(503, status, body)
