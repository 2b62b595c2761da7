"""Tests of what callers receive when endpoints fail: complete answers to their own requests, or
errors that report correctly whether the request ran. The endpoints count their calls for it."""

import asyncio
import unittest
from types import SimpleNamespace

from peridotdock.blocklist import EndpointStart
from peridotdock.errors import Kind
from tests.cluster import TOKEN, Cluster, read_stream, wait_for


class EndpointFailures(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = Cluster(engines=2, hosts=1, models=1, adapters=0, step=0.01)
        await self.cluster.__aenter__()
        models = [
            {
                "id": "m0",
                "version": "1",
                "bytes": 30,
                "target": {"first_token_ms": 2000},
                "copies": 2,
            }
        ]
        await self.cluster.publish(self.cluster.manifest(models=models))

    async def asyncTearDown(self):
        await self.cluster.__aexit__()

    def busy_engine(self):
        return next(e for e in self.cluster.engines if e.running)

    async def start_stream(self, **more):
        ask = self.cluster.chat(stream=True, max_tokens=60, **more)
        task = asyncio.create_task(ask)
        await wait_for(
            lambda: any(
                len(s.tokens) > 5 for e in self.cluster.engines for s in e.streams.values()
            ),
            "a stream under way",
        )
        return task

    async def test_a_frozen_connection_is_found_and_the_stream_goes_on_elsewhere(self):
        """
        Halfway through a stream no byte arrives any more, although the engine continues and new
        connections work: a device on the path lost the state of open connections. The host probes
        over a new connection and resumes the stream where the caller's copy ends.
        """
        task = await self.start_stream()
        self.busy_engine().freeze()
        status, _, raw = await task
        texts, ids, whole, errors = read_stream(raw)
        self.assertEqual((status, whole, errors, len(ids)), (200, True, [], 1))
        self.assertEqual([text.split("-")[0] for text in texts], [f" t{n}" for n in range(60)])

    async def test_a_whole_answer_behind_a_frozen_connection_is_fetched_not_run_again(self):
        """
        A request with an idempotency key is finished on the engine, but its connection is dead.
        The host fetches the answer over a new connection, and the request runs once.
        """
        head = {"idempotency-key": "scene-0001"}
        task = asyncio.create_task(self.cluster.chat(max_tokens=30, headers=head))
        await wait_for(lambda: any(e.running for e in self.cluster.engines), "a request at work")
        self.busy_engine().freeze()
        status, _, body = await task
        self.assertEqual(status, 200)
        self.assertEqual(body["usage"]["completion_tokens"], 30)
        self.assertEqual(sum(len(e.calls) for e in self.cluster.engines), 1)

    async def test_a_cut_stream_can_be_told_from_a_whole_one(self):
        """
        The engine closes the stream after some tokens and no longer knows it. The caller must be
        able to tell the partial answer from a complete one.
        """
        for engine in self.cluster.engines:
            engine.faults["cut"] = 20
        status, _, raw = await self.cluster.chat(stream=True, max_tokens=60)
        texts, _, whole, errors = read_stream(raw)
        self.assertEqual((status, whole), (200, False))
        self.assertEqual(len(texts), 20)
        self.assertEqual((errors[0]["code"], errors[0]["ran"]), ("answer_cut", "maybe"))

    async def test_another_callers_answer_is_never_passed_on(self):
        """
        An engine mixes up answers and sends the frames of another request. The host detects the
        wrong request ID and retries at the other endpoint; no foreign token reaches the caller.
        """
        for fault in ("cross", "cross_frames"):
            self.cluster.engines[0].faults[fault] = True
            for stream in (True, False, True, False, True, True):
                status, _, raw = await self.cluster.chat(stream=stream)
                self.assertEqual(status, 200)
                self.assertNotIn("foreign", str(raw))
                self.assertTrue(not stream or read_stream(raw)[2])
            self.cluster.engines[0].faults[fault] = False
            self.cluster.hosts[0].host.fleet.states["e0"].record_success()

    async def test_a_dead_engine_costs_a_retry_not_an_answer(self):
        await self.cluster.engines[0].server.stop()
        for _ in range(6):
            status, _, _ = await self.cluster.chat()
            self.assertEqual(status, 200)

    async def test_a_disconnected_caller_frees_the_engine(self):
        """
        A caller closes its connection in the middle of a long answer. The engine must stop
        generating it.
        """
        task = await self.start_stream()
        engine = self.busy_engine()
        task.cancel()
        await wait_for(lambda: engine.running == 0, "the engine free", 5)
        await wait_for(lambda: self.cluster.hosts[0].entry.in_flight == 0, "no request in work")

    async def test_a_deadline_ends_a_request_at_once(self):
        ask = self.cluster.chat(max_tokens=5000, headers={"x-deadline-ms": "200"})
        status, _, body = await ask
        self.assertEqual((status, body["error"]["code"]), (504, "deadline"))
        engines = self.cluster.engines
        await wait_for(lambda: not any(e.running for e in engines), "the engine free", 3)

    async def test_an_engine_backoff_is_respected(self):
        """An engine rejects requests with a retry delay, and the host keeps sending to it."""
        resting, other = self.cluster.engines
        resting.faults["refuse"], resting.retry_after = True, "30"
        for _ in range(20):
            status, _, _ = await self.cluster.chat()
            self.assertEqual(200, status)
        self.assertLessEqual(resting.refusal_count, 1)
        other.faults["refuse"], other.retry_after = True, "30"
        status, headers, _ = await self.cluster.chat()
        self.assertEqual(503, status)
        status, headers, _ = await self.cluster.chat()
        self.assertEqual(503, status)
        self.assertGreater(float(headers["retry-after"]), 20)
        self.assertLessEqual(other.refusal_count, 1)

    async def test_retries_stay_within_their_budget(self):
        """
        Every endpoint fails each request while callers keep sending. Retries must not multiply the
        load: the endpoints get at most a tenth more requests, plus a burst of 10.
        """
        for engine in self.cluster.engines:
            engine.faults["cut"] = 1
            engine.faults["down"] = False
        asks = 100
        sends = self.cluster.hosts[0].ctx.metrics.sends
        for _ in range(asks):
            for engine in self.cluster.engines:
                engine.faults["cross"] = True
            await self.cluster.chat(max_tokens=1)
        total = sum(s.value for m in sends.collect() for s in m.samples if s.name.endswith("total"))
        self.assertGreater(total, asks)
        self.assertLessEqual(total, asks * 1.1 + 10)


class NotRunIsTrue(unittest.IsolatedAsyncioTestCase):
    """What the caller is told for each point at which a call to a service can fail.

    A call that may not be repeated is sent at most once; "not run" is reported only when the
    service's own count of calls is unchanged.
    """

    async def asyncSetUp(self):
        self.cluster = Cluster(engines=1, hosts=1, services=1, models=1, adapters=0)
        await self.cluster.__aenter__()
        await self.cluster.publish()
        self.service = self.cluster.services[0]

    async def asyncTearDown(self):
        await self.cluster.__aexit__()

    async def ask(self, **more):
        before = len(self.service.calls)
        status, body = await self.cluster.call("/bind", **more)
        ran = body["error"]["ran"] if status >= 400 and isinstance(body, dict) else "yes"
        return status, ran, len(self.service.calls) - before

    async def test_died_before_the_connection(self):
        await self.service.server.stop()
        status, ran, count = await self.ask()
        self.assertEqual((status, ran, count), (503, "no", 0))

    async def test_died_while_it_ran(self):
        self.service.abort_calls = True
        status, ran, count = await self.ask()
        self.assertEqual((status, ran, count), (502, "maybe", 1))

    async def test_a_put_on_a_dead_kept_connection_is_not_sent_twice(self):
        """
        HTTP libraries automatically repeat a PUT or DELETE when a kept-alive connection turns out
        to be dead. The service has already counted the first call, so it would run twice.
        """
        await self.cluster.call("/warm", method="PUT")
        self.service.abort_calls = True
        for method in ("PUT", "DELETE"):
            status, ran, count = await self.ask(method=method)
            self.assertEqual((status, ran, count), (502, "maybe", 1), method)

    async def test_deadline_while_it_ran(self):
        self.service.delay = 5.0
        status, ran, count = await self.ask(headers={"x-deadline-ms": "200"})
        self.assertEqual((status, ran, count), (504, "maybe", 1))

    async def test_a_call_that_may_be_repeated_is(self):
        self.service.abort_calls = True
        before = len(self.service.calls)
        await self.cluster.call("/read/x", method="GET")
        self.assertGreaterEqual(len(self.service.calls) - before, 1)

    async def test_unknown_caller_and_unknown_service(self):
        status, ran, count = await self.ask(token="wrong")
        self.assertEqual((status, ran, count), (401, "no", 0))
        head = {"authorization": f"Bearer {TOKEN}"}
        url = f"{self.cluster.hosts[0].server.url}/services/none/x"
        async with self.cluster.session.post(url, headers=head) as resp:
            self.assertEqual(resp.status, 404)


class AtMostOnce(unittest.IsolatedAsyncioTestCase):
    """A request with a key runs at most once, across hosts, crashes and outages."""

    async def asyncSetUp(self):
        self.cluster = Cluster(engines=1, hosts=2, services=1, models=1, adapters=0)
        await self.cluster.__aenter__()
        await self.cluster.publish()
        self.service = self.cluster.services[0]

    async def asyncTearDown(self):
        await self.cluster.__aexit__()

    async def bind(self, key, host=0, data=b"policy"):
        head = {"idempotency-key": key}
        return await self.cluster.call("/bind", host=host, headers=head, data=data)

    async def prefix(self, host=0):
        return (await self.cluster.addresses(host))["key_prefix"]

    async def test_both_hosts_at_once(self):
        """Two hosts get the same call at the same moment, with a key without a prefix."""
        for round_ in range(5):
            key = f"own-key-{round_}"
            self.service.delay = 0.02
            await asyncio.gather(*(self.bind(key, host) for host in (0, 1, 0, 1)))
            keys = [row[2] for row in self.service.calls]
            self.assertEqual(keys.count(key), 1)

    async def test_a_retry_gets_the_kept_answer(self):
        for key in (await self.prefix() + "abcdefgh", "own-key"):
            answers = [await self.bind(key, host) for host in (0, 1, 0)]
            self.assertEqual(len({str(answer) for answer in answers}), 1)
        self.assertEqual(len(self.service.calls), 2)

    async def test_a_key_stands_for_one_request(self):
        key = await self.prefix() + "abcdefgh"
        await self.bind(key)
        status, body = await self.bind(key, data=b"another policy")
        self.assertEqual((status, body["error"]["code"]), (422, "key_reused"))

    async def test_bindings_go_on_while_the_platform_is_down(self):
        """
        During a long outage of the platform, keys with the prefix of a host still work on every
        host, and still run at most once. A key without a prefix needs the platform: its call is
        refused at once, is not run, and gets a retry delay.
        """
        prefix = await self.prefix()
        self.cluster.platform.faults["down"] = True
        for host in (0, 1, 1):
            status, _ = await self.bind(prefix + "abcdefgh", host)
            self.assertEqual(status, 200)
        self.assertEqual(len(self.service.calls), 1)
        status, body = await self.bind("own-key")
        self.assertEqual((status, body["error"]["ran"]), (503, "no"))
        self.assertGreater(body["error"]["retry_after"], 0)
        self.assertEqual(len(self.service.calls), 1)

    async def test_the_owner_dies_after_the_send(self):
        """
        The host that ran a call crashes before it answers. The caller retries at another host,
        which cannot know the outcome; it reports "maybe" and does not run the call again.
        """
        key = await self.prefix(0) + "abcdefgh"
        self.service.delay = 0.5
        first = asyncio.create_task(self.bind(key, 0))
        await wait_for(lambda: self.service.calls, "the binding at work")
        daemon = self.cluster.hosts[0]
        await daemon.host.jobs.stop()
        await daemon.host.mesh.stop()
        for transport in list(daemon.server._server.server_state.connections):
            transport.transport.abort()
        await daemon.server.stop()
        await asyncio.gather(first, return_exceptions=True)
        status, body = await self.bind(key, 1)
        self.assertEqual((status, body["error"]["ran"]), (409, "maybe"))
        self.assertEqual(len(self.service.calls), 1)

    async def test_the_answer_of_the_claim_is_lost(self):
        self.cluster.platform.faults["lose"] = 1
        status, _ = await self.bind("own-key")
        self.assertEqual(status, 200)
        await self.bind("own-key", 1)
        self.assertEqual(len(self.service.calls), 1)

    async def test_a_key_that_was_not_run_may_be_tried_again(self):
        """A service is unreachable, so the call is not run. Once it is back, the key runs once."""
        key = await self.prefix() + "abcdefgh"
        port = int(self.service.server.address.split(":")[1])
        await self.service.server.stop()
        status, body = await self.bind(key)
        self.assertEqual((status, body["error"]["ran"]), (503, "no"))
        self.service.server = type(self.service.server)(self.service._build(), port=port)
        await self.service.server.start()

        async def bound():
            return (await self.bind(key))[0] == 200

        await wait_for(bound, "the binding done")
        self.assertEqual(len(self.service.calls), 1)

    async def test_a_caller_cannot_pass_its_limit_as_if_forwarded(self):
        """
        A request that another host forwarded has been counted there. A caller that sets the
        header itself must not evade its limit.
        """
        document = self.cluster.manifest()
        document["callers"][0]["requests_per_second"] = 2
        await self.cluster.publish(document)
        head = {"x-peridotdock-forwarded": "1"}
        statuses = [(await self.cluster.call("/bind", headers=head))[0] for _ in range(6)]
        self.assertIn(429, statuses)


class PoisonTest(unittest.IsolatedAsyncioTestCase):
    """One prompt crashes each engine that starts it, and with it the answers of all callers.

    Its caller retries at any host, each time under another request ID. The failure comes about when
    no host records that earlier attempts ended engines.
    """

    async def test_a_prompt_that_ends_engines_is_not_sent_on(self):
        async with Cluster(engines=6, hosts=2, models=1, adapters=0) as cluster:
            document = cluster.manifest()
            document["models"][0]["copies"] = 6
            await cluster.publish(document)
            for engine in cluster.engines:
                engine.fatal_text = "fatal"
            messages = [{"role": "user", "content": "a fatal prompt"}]
            for number in range(12):
                await cluster.chat(host=number % 2, messages=messages)
                await asyncio.sleep(0.5)
            ends = [engine.crash_count for engine in cluster.engines]
            # Three ends, and two sends for each of three attempts until the third end is known.
            self.assertLessEqual(sum(ends), 3 + 3, ends)
            status, headers, answer = await cluster.chat(messages=messages)
            self.assertEqual((503, "blocked"), (status, answer["error"]["code"]))
            self.assertEqual("false", headers["x-should-retry"])
            status, _, _ = await cluster.chat(host=1)
            self.assertEqual(200, status)

    async def test_the_last_host_to_drain_refuses_blocked_requests(self):
        """A caller gets 500: the last host drains, and no live host is left to run trials."""
        async with Cluster(engines=1, hosts=1, services=0, models=1, adapters=0) as cluster:
            host = cluster.hosts[0].host
            host.membership.set_state("leaving")
            asks = [SimpleNamespace(content_id=content, part_ids=()) for content in ("p", "x")]
            for number in range(3):
                for ask in asks:
                    host.blocklist.record_end(ask, EndpointStart(f"gone{number}", ""))
            self.assertIs(Kind.BLOCKED, host.blocklist.refusal(asks[0]).kind)
