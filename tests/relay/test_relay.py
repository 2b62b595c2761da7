"""Requests through a real host to runners that fail, and the answers that callers get."""

import asyncio
import json
import re
import unittest

from nose2.tools import params

from peridotdock.relay.settings import Address
from tests.kept_connection import KeptConnection, make_request
from tests.relay.deployment import Deployment

TWO_ENGINES = (("e1", ("m0",)), ("e2", ("m0",)))


def run(test):
    """Run an async test within half a minute."""

    def wrapped(self, *args):
        asyncio.run(asyncio.wait_for(test(self, *args), 30))

    wrapped.__name__ = test.__name__
    return wrapped


def ids(body):
    return [int(found) for found in re.findall(rb"id: (\d+)", body)]


class CompleteAnswersTest(unittest.TestCase):
    @run
    async def test_a_request_reaches_its_runner_unchanged(self):
        async with Deployment() as found:
            status, headers, body = await found.send(
                "/bind/x%2Fy?q=a+b&q=", body=b"\x00scene", x_other="kept"
            )
            self.assertEqual((200, b"whole answer"), (status, body))
            self.assertEqual("by p1", headers["x-response-signature"])
            method, target, sent, raw = found.pages["p1"].requests[0]
            self.assertEqual(("POST", "/bind/x%2Fy?q=a+b&q=", b"\x00scene"), (method, target, raw))
            self.assertEqual(("kept", "shop.example"), (sent["x-other"], sent["host"]))
            self.assertLessEqual(int(sent["x-deadline-ms"]), 700)

    @params(
        ("unknown route", "/nothing/", {}, 404),
        ("unknown host", "/bind/", {"host": "other.example"}, 404),
        ("no id", "/bind/", {"x_attempt_id": ""}, 400),
        ("a bad deadline", "/bind/", {"x_deadline_ms": "soon"}, 400),
    )
    def test_bad_input_is_refused_and_harms_nothing(self, name, path, headers, expected):
        @run
        async def check(self):
            async with Deployment() as found:
                status, _, body = await found.send(path, **headers)
                self.assertEqual(expected, status, name)
                self.assertIn("error", json.loads(body))
                self.assertEqual([], found.pages["p1"].requests)
                self.assertEqual(200, (await found.send("/bind/", "a2"))[0])

        check(self)

    @params(
        ("refuse", 503, True),
        ("silent", 504, False),
        ("cut", 502, False),
        ("foreign", 502, False),
        ("unsigned", 502, False),
    )
    def test_not_run_is_reported_only_when_it_is_true(self, step, expected, retry):
        """Failure guarded against: a request that may run only once runs twice.

        The runner is lost with the answer, the caller gets "not run" and sends the request again.
        """

        @run
        async def check(self):
            async with Deployment(pages=("p1", "p2")) as found:
                for runner in found.pages.values():
                    runner.script = [step] * 4
                status, headers, _ = await found.send("/bind/")
                ran = [attempt for runner in found.pages.values() for attempt in runner.executed]
                self.assertEqual(expected, status)
                self.assertEqual(retry, "retry-after" in headers or not ran)
                self.assertLessEqual(len(ran), 1)

        check(self)

    @params("refuse", "error", "cut", "foreign", "unsigned")
    def test_what_may_run_twice_is_sent_again(self, step):
        @run
        async def check(self):
            async with Deployment(pages=("p1", "p2")) as found:
                for runner in found.pages.values():
                    runner.script = [step]
                first = await found.send("/fetch/")
                self.assertIn(first[0], (200, 500, 502, 503))
                second = await found.send("/fetch/", "a2")
                self.assertEqual((200, b"whole answer"), second[::2])

        check(self)

    @run
    async def test_a_refused_second_send_does_not_hide_that_the_first_may_have_run(self):
        """Failure guarded against: a caller gets "not run" for a request that has run.

        The first endpoint is lost with its answer; the request is sent again, and the second
        endpoint refuses it. A refusal applies to its own send only.
        """
        async with Deployment(pages=("p1", "p2")) as found:
            steps = ["cut", "refuse", "refuse", "refuse"]
            for runner in found.pages.values():
                runner.script = steps
            status, _, body = await found.send("/fetch/")
            self.assertEqual("maybe", json.loads(body)["error"]["ran"])
            self.assertEqual(502, status)

    @run
    async def test_an_endpoints_own_failure_is_passed_on_as_it_came(self):
        async with Deployment() as found:
            found.pages["p1"].script = ["error"]
            status, headers, body = await found.send("/bind/")
            self.assertEqual((500, b"failed"), (status, body))
            self.assertEqual("by p1", headers["x-response-signature"])

    @run
    async def test_a_second_answer_is_not_passed_on(self):
        """Failure guarded against: a caller gets the answer to another request.

        A runner sends its answer twice. The second one stays in the connection and is read as the
        answer to the next request.
        """
        async with Deployment() as found:
            found.pages["p1"].script = ["extra"]
            await found.send("/bind/", "a1")
            status, headers, _ = await found.send("/bind/", "a2")
            self.assertEqual((200, "a2"), (status, headers["x-attempt-id"]))


class StreamsTest(unittest.TestCase):
    @run
    async def test_a_stream_is_passed_on_whole(self):
        async with Deployment() as found:
            status, headers, body = await found.send("/recap/", model="m0")
            self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)))
            self.assertEqual("by e1", headers["x-response-signature"])

    @run
    async def test_a_cut_stream_resumes_elsewhere_after_its_last_event(self):
        """Failure guarded against: a stream breaks off when its runner is lost in mid-event.

        The stream is resumed at another runner, and each event reaches the caller once, under the
        first runner's receipt.
        """
        async with Deployment(engines=TWO_ENGINES) as found:
            for engine in found.engines.values():
                engine.script = ["cut"]
            other = await found.send("/recap/", model="m0")
            self.assertIn(other[0], (0, 502), "both cut it: it must not look complete")
            status, headers, body = await found.send("/recap/", "a2", model="m0")
            self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)))

    @run
    async def test_a_resumed_stream_keeps_the_first_head(self):
        async with Deployment(engines=TWO_ENGINES) as found:
            _, headers, _ = await found.send("/recap/", model="m0")
            receipt = headers["x-response-signature"]
            first = found.engines[receipt.removeprefix("by ")]
            first.script, first.halfway_event = ["cut"], asyncio.Event()
            asked = asyncio.create_task(found.send("/recap/", "a2", model="m0"))
            await found.until(lambda: "a2" in first.executed)
            first.halfway_event.set()
            status, headers, body = await asked
            self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)))
            self.assertEqual(receipt, headers["x-response-signature"])

    @run
    async def test_a_stream_that_may_run_once_is_not_resumed(self):
        async with Deployment(engines=TWO_ENGINES) as found:
            for engine in found.engines.values():
                engine.script = ["cut"]
            status, _, _ = await found.send("/once/", model="m0")
            ran = [attempt for engine in found.engines.values() for attempt in engine.executed]
            self.assertIn(status, (0, 502))
            self.assertEqual(["a1"], ran)

    @run
    async def test_a_disconnected_caller_stops_its_run(self):
        """Failure guarded against: runners work for disconnected callers while others wait.

        A caller closes its connection in the middle of a stream; its runner must see that within
        half a second.
        """
        async with Deployment() as found:
            engine = found.engines["e1"]
            engine.halfway_event = asyncio.Event()
            asked = asyncio.create_task(found.send("/recap/", model="m0"))
            await found.until(lambda: engine.executed)
            asked.cancel()
            await found.until(lambda: engine.disconnected == ["a1"], 1.0)

    @run
    async def test_a_caller_may_resume_by_itself(self):
        async with Deployment() as found:
            _, _, body = await found.send("/recap/", model="m0", last_event_id="4")
            self.assertEqual([5, 6], ids(body))


class LoadOnDemandTest(unittest.TestCase):
    @params(("m1", "load", None), ("m0/a2", "load", "a2"))
    def test_a_request_waits_for_the_load_of_a_missing_item(self, model, operation, adapter):
        @run
        async def check(self):
            async with Deployment() as found:
                status, _, body = await found.send("/recap/", model=model)
                self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)))
                order = next(o for o in found.engines["e1"].orders if o.get("adapter") == adapter)
                self.assertEqual(operation, order["operation"])
                self.assertGreaterEqual(order["fencing_token"], 1)

        check(self)

    @run
    async def test_one_host_orders_and_the_others_wait(self):
        async with Deployment(hosts=3) as found:
            await found.until(lambda: sum(h.leadership.holds() for h in found.hosts) == 1)
            await found.until(lambda: all(len(h.peers.membership.live()) == 3 for h in found.hosts))
            # All hosts link to one hub, which passes on what each of them publishes.
            await found.until(
                lambda: sorted(len(h.peers.mesh.peers()) for h in found.hosts) == [1, 1, 2]
            )
            answers = [await found.send("/recap/", f"a{n}", model="m1", to=n) for n in range(3)]
            self.assertEqual([200] * 3, [status for status, _, _ in answers])
            holders = {order["holder"] for order in found.engines["e1"].orders}
            self.assertEqual(1, len(holders))

    @run
    async def test_a_crashed_only_engine_is_not_retried_endlessly(self):
        """Failure guarded against: hundreds of sends a second go to a crashed runner.

        The only runner with a model has crashed and its entry is still in the store. Its requests
        must wait as for a model that no runner has, until another runner has loaded it.
        """
        async with Deployment(engines=(("e1", ("m0",)), ("e2", ("m1",)))) as found:
            await found.until(lambda: found.hosts[0].leadership.may_order())
            await found.engines["e1"].stop()
            status, _, body = await found.send("/recap/", model="m0")
            self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)))
            self.assertEqual(["a1"], found.engines["e2"].executed)


class FollowingTest(unittest.TestCase):
    @run
    async def test_a_draining_runner_gets_no_new_work(self):
        async with Deployment(pages=("p1", "p2")) as found:
            leaving = found.pages["p1"].entry("pages", state="draining")
            found.store.put("servers", "p1", leaving)
            fleet = found.hosts[0].fleet
            await found.until(lambda: fleet.states["p1"].entry.draining, 2.0)
            for number in range(6):
                self.assertEqual(200, (await found.send("/bind/", f"a{number}"))[0])
            self.assertEqual([], found.pages["p1"].requests)

    @run
    async def test_a_configuration_never_goes_back(self):
        async with Deployment() as found:
            request_handler = found.hosts[0].request_handler
            found.configure(version=5, routes=[])
            await found.until(lambda: request_handler.deployment.version == 5)
            self.assertEqual(404, (await found.send("/bind/"))[0])
            found.configure(version=4)
            found.configure(version=6)
            await found.until(lambda: request_handler.deployment.version == 6)
            self.assertEqual(200, (await found.send("/bind/", "a2"))[0])

    @run
    async def test_a_dropped_history_leads_to_a_full_read(self):
        async with Deployment() as found:
            found.store.faults["forget"] = 2
            found.configure(version=3)
            request_handler = found.hosts[0].request_handler
            await found.until(lambda: request_handler.deployment.version == 3)

    @run
    async def test_requests_are_served_during_a_store_outage(self):
        async with Deployment() as found:
            found.store.faults["down"] = True
            for number in range(3):
                self.assertEqual(200, (await found.send("/bind/", f"a{number}"))[0])

    @run
    async def test_the_directory_names_the_hosts_that_take_work(self):
        async with Deployment(hosts=2) as found:

            async def listed():
                url = f"http://{found.hosts[0].settings.listen.directory}/v1/resolve?name=x"
                async with found.session.get(url) as resp:
                    return json.loads(await resp.read())

            both = {str(host.settings.listen.callers) for host in found.hosts}
            async with asyncio.timeout(10):
                while {*(await listed())["addresses"]} != both:
                    await asyncio.sleep(0.05)
            found.hosts[1].peers.membership.set_state("leaving")
            async with asyncio.timeout(2):
                while len((await listed())["addresses"]) != 1:
                    await asyncio.sleep(0.05)
            self.assertGreater((await listed())["ttl_s"], 0)

    @run
    async def test_a_planned_stop_lets_requests_end(self):
        async with Deployment() as found:
            engine = found.engines["e1"]
            engine.halfway_event = asyncio.Event()
            asked = asyncio.create_task(found.send("/recap/", model="m0"))
            await found.until(lambda: engine.executed)
            draining = asyncio.create_task(found.hosts[0].drain())
            await found.until(lambda: found.hosts[0].leaving)
            engine.halfway_event.set()
            status, _, body = await asked
            await draining
            self.assertEqual((200, [1, 2, 3, 4, 5, 6]), (status, ids(body)))
            self.assertIsInstance(found.hosts[0].settings.listen.callers, Address)

    @run
    async def test_a_request_that_comes_as_a_host_ends_is_refused(self):
        """Guards against a request that is sent on 10 ms before its host's process ends."""
        async with Deployment() as found:
            address = str(found.hosts[0].settings.listen.callers)
            conn = await KeptConnection.open(address)
            raw = make_request("/bind/1", "late", 6000, body=b"scene")
            conn.send(raw[:-1])
            await found.hosts[0].drain()
            answer = await conn.read_answer()
            conn.send(raw[-1:])
            self.assertEqual((503, True), (answer.status, answer.closes))
            with self.assertRaises(ConnectionRefusedError):
                await KeptConnection.open(address)
            self.assertNotIn("late", found.pages["p1"].executed)
