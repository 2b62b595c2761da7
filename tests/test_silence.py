"""Tests of callers whose engine is silent for a while: a silence alone must not end an answer."""

import asyncio
import time
import unittest

from tests.cluster import Cluster, read_stream, wait_for

# Longer than the silence after which a probe is sent, plus the time limit of the probe.
SILENCE_SECONDS = 1.8
TOKEN_COUNT = 60


class SilenceCase(unittest.IsolatedAsyncioTestCase):
    engines = 1

    async def asyncSetUp(self):
        self.cluster = Cluster(
            engines=self.engines, hosts=1, services=0, models=1, adapters=0, step=0.01
        )
        await self.cluster.__aenter__()
        document = self.cluster.manifest()
        document["models"][0]["copies"] = self.engines
        await self.cluster.publish(document)

    async def asyncTearDown(self):
        await self.cluster.__aexit__()

    def call_count(self):
        return sum(len(engine.calls) for engine in self.cluster.engines)

    def find_busy_engine(self):
        return next((engine for engine in self.cluster.engines if engine.running), None)

    async def start(self, token_count=6, **more):
        """Send a request, and return its task and engine after some tokens were generated."""
        task = asyncio.create_task(self.cluster.chat(max_tokens=TOKEN_COUNT, **more))

        def has_tokens():
            streams = [s for engine in self.cluster.engines for s in engine.streams.values()]
            return any(len(stream.tokens) >= token_count for stream in streams)

        await wait_for(has_tokens, "a request at work")
        return task, self.find_busy_engine()

    def check_whole(self, raw):
        texts, ids, whole, errors = read_stream(raw)
        self.assertEqual((whole, errors, len(ids)), (True, [], 1))
        numbers = [text.split("-")[0] for text in texts]
        self.assertEqual(numbers, [f" t{n}" for n in range(TOKEN_COUNT)])


class OpenStreamTest(SilenceCase):
    """Silence on the connection of a stream of which the caller has some tokens."""

    async def test_a_stream_outlasts_a_silence_of_its_engine(self):
        """
        The probe of a silent stream is not answered either, and the stream is ended although the
        engine goes on with it.
        """
        task, engine = await self.start(stream=True)
        engine.fall_silent(SILENCE_SECONDS)
        status, _, raw = await task
        self.assertEqual(status, 200)
        self.check_whole(raw)
        self.assertEqual(self.call_count(), 1)

    async def test_a_stream_whose_engine_stays_silent_ends_at_its_deadline(self):
        """A stream without an answer to its probes lasts beyond its caller's deadline."""
        task, engine = await self.start(stream=True, headers={"x-deadline-ms": "2500"})
        began = time.monotonic()
        engine.fall_silent(30)
        status, _, raw = await task
        self.assertLess(time.monotonic() - began, 4)
        _, _, whole, errors = read_stream(raw)
        self.assertEqual((status, whole, errors[0]["code"]), (200, False, "deadline"))

    async def test_a_caller_that_leaves_a_silent_stream_frees_the_engine(self):
        """A caller disconnects while its stream is silent, and the engine generates the rest."""
        task, engine = await self.start(stream=True)
        engine.fall_silent(SILENCE_SECONDS)
        await asyncio.sleep(0.5)
        task.cancel()
        await wait_for(lambda: self.cluster.hosts[0].entry.in_flight == 0, "no request in work", 1)

    async def test_a_stream_ends_at_once_when_its_engine_refuses_connections(self):
        """An engine has ended, and its silent stream waits for the deadline."""
        task, engine = await self.start(stream=True)
        engine.fall_silent(30)
        engine.refuse_connections()
        began = time.monotonic()
        _, _, whole, errors = read_stream((await task)[2])
        self.assertEqual((whole, errors[0]["code"]), (False, "answer_cut"))
        self.assertLess(time.monotonic() - began, 1.0)

    async def test_a_stream_outlasts_the_listener_of_its_engine(self):
        """An engine closes its listener to drain, and its streams end although they go on."""
        task, engine = await self.start(stream=True)
        engine.refuse_connections()
        self.check_whole((await task)[2])

    async def test_a_stream_is_resumed_after_a_reset_and_a_silence(self):
        """A connection is reset as its engine falls silent, and one probe alone is sent."""
        task, engine = await self.start(stream=True)
        engine.reset_connections()
        engine.fall_silent(SILENCE_SECONDS)
        status, _, raw = await task
        self.assertEqual(status, 200)
        self.check_whole(raw)
        self.assertEqual(self.call_count(), 1)

    async def test_a_stream_that_was_reset_does_not_wait_for_good(self):
        """A machine has failed, and its caller waits for the deadline with a part of the answer."""
        task, engine = await self.start(stream=True)
        began = time.monotonic()
        engine.reset_connections()
        engine.fall_silent(30)
        _, _, whole, errors = read_stream((await task)[2])
        self.assertEqual((whole, errors[0]["code"]), (False, "answer_cut"))
        self.assertLess(time.monotonic() - began, 6)

    async def test_a_stream_is_resumed_each_time_that_it_went_on(self):
        """A long stream is resumed at each break, and the sixth break in all ends it."""
        self.cluster.engines[0].step = 0.1
        task, engine = await self.start(stream=True, token_count=1)
        for _ in range(7):
            engine.freeze()
            await asyncio.sleep(0.7)
        self.check_whole((await task)[2])

    async def test_a_stream_that_never_goes_on_is_not_resumed_for_good(self):
        """Each new connection of a stream is silent, and it is resumed until the deadline."""
        task, engine = await self.start(stream=True)
        began = time.monotonic()
        engine.frozen_connections = float("inf")
        _, _, whole, errors = read_stream((await task)[2])
        self.assertEqual((whole, errors[0]["code"]), (False, "answer_cut"))
        self.assertLess(time.monotonic() - began, 5)


class BeforeFirstByteTest(SilenceCase):
    """Silence of an endpoint that has a request and has sent nothing of the answer."""

    engines = 2
    stream = False

    def silence_all(self):
        for engine in self.cluster.engines:
            engine.fall_silent(SILENCE_SECONDS)

    def check_answer(self, answer):
        status, _, body = answer
        self.assertEqual(status, 200, body)
        if self.stream:
            self.check_whole(body)
        else:
            self.assertEqual(body["usage"]["completion_tokens"], TOKEN_COUNT)

    async def test_a_request_that_may_run_once_outlasts_a_silence(self):
        """A request with a key gets 502 because its engine is silent, and may not be sent again."""
        self.silence_all()
        headers = {"idempotency-key": "scene-0001"}
        answer = await self.cluster.chat(
            stream=self.stream, max_tokens=TOKEN_COUNT, headers=headers
        )
        self.check_answer(answer)
        self.assertEqual(self.call_count(), 1)

    async def test_a_request_without_a_retry_outlasts_a_silence(self):
        """A request is cancelled on its silent engine, and the retry budget refuses the retry."""
        budget = self.cluster.hosts[0].host.dispatcher.budget
        while budget.take():
            pass
        self.silence_all()
        answer = await self.cluster.chat(stream=self.stream, max_tokens=TOKEN_COUNT)
        self.check_answer(answer)
        self.assertEqual(self.call_count(), 1)

    async def test_the_first_of_two_endpoints_answers(self):
        """Two endpoints work at a request, and its caller gets parts of both answers."""
        self.cluster.engines[1].step = 0.1
        self.silence_all()
        answer = await self.cluster.chat(stream=self.stream, max_tokens=TOKEN_COUNT)
        self.check_answer(answer)
        streams = [s for engine in self.cluster.engines for s in engine.streams.values()]
        await wait_for(lambda: all(s.done for s in streams), "the engines free", 3)
        self.assertEqual(sum(not s.cancelled for s in streams), 1)

    async def test_another_endpoint_answers_while_the_first_stays_silent(self):
        """An engine is frozen, and its requests wait for their deadlines."""
        began = time.monotonic()
        for engine in self.cluster.engines:
            engine.fall_silent(0.1)
        task = asyncio.create_task(self.cluster.chat(stream=self.stream, max_tokens=TOKEN_COUNT))
        state = await wait_for(self.find_sent, "a request sent", 1)
        next(e for e in self.cluster.engines if e.url == state.url).fall_silent(30)
        self.check_answer(await task)
        self.assertLess(time.monotonic() - began, 4)

    def find_sent(self):
        states = self.cluster.hosts[0].host.fleet.states.values()
        return next((state for state in states if state.own_requests), None)


class WholeAnswerTest(SilenceCase):
    """The connection of a whole answer goes silent for good within the body."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.cluster.engines[0].faults["half"] = True

    async def test_the_answer_is_fetched_over_a_new_connection(self):
        """The head has arrived, and nothing looks at the silence of the body."""
        headers = {"idempotency-key": "scene-0001", "x-deadline-ms": "6000"}
        async with asyncio.timeout(5):
            status, _, body = await self.cluster.chat(max_tokens=TOKEN_COUNT, headers=headers)
        self.assertEqual((status, body["usage"]["completion_tokens"]), (200, TOKEN_COUNT))
        self.assertEqual(self.call_count(), 1)

    async def test_the_deadline_holds_within_the_body(self):
        """The head has arrived, and a caller waits for the rest beyond its deadline."""
        async with asyncio.timeout(5):
            status, _, body = await self.cluster.chat(headers={"x-deadline-ms": "450"})
        self.assertEqual((status, body["error"]["code"]), (504, "deadline"))


class StreamBeforeFirstByteTest(BeforeFirstByteTest):
    """The same for requests whose answer is streamed."""

    stream = True


class UnknownRequestTest(SilenceCase):
    """A probe overtakes the request that it asks for."""

    async def ask(self, delay):
        self.cluster.engines[0].request_delay = delay
        headers = {"idempotency-key": "scene-0001"}
        return await self.cluster.chat(headers=headers)

    async def test_a_request_that_its_probe_overtakes_is_answered(self):
        """
        After a silence an engine answers a probe before it takes in the request that was sent
        earlier. The request is given up as unknown, and the engine runs it for nobody.
        """
        status, _, body = await self.ask(0.7)
        self.assertEqual(status, 200, body)
        self.assertEqual(self.call_count(), 1)

    async def test_a_request_that_stays_unknown_is_lost(self):
        """A request never reached its engine, and its caller waits for the deadline."""
        began = time.monotonic()
        status, _, body = await self.ask(30)
        self.assertEqual((status, body["error"]["code"]), (502, "endpoint_lost"))
        self.assertLess(time.monotonic() - began, 2)


class LateCancelTest(SilenceCase):
    """The cancel of a send that was lost reaches the engine after the retry."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.cluster.engines[0].cancel_delay = 0.05

    async def get_body(self, task):
        status, _, body = await task
        self.assertEqual((status, self.call_count()), (200, 2), body)
        return body

    async def test_a_retry_on_the_same_engine_runs_to_its_end(self):
        """The cancel stops the retry, and its caller gets the tokens so far as the whole answer."""
        task, engine = await self.start()
        lost = next(iter(engine.streams.values()))
        engine.reset_connections()
        body = await self.get_body(task)
        self.assertEqual(body["usage"]["completion_tokens"], TOKEN_COUNT)
        self.assertTrue(lost.cancelled)

    async def test_a_stream_that_is_sent_again_runs_to_its_end(self):
        """The same for a stream whose first frame was of another request."""
        engine = self.cluster.engines[0]
        engine.step = 0.1
        engine.faults["cross_frames"] = True
        task, _ = await self.start(token_count=0, stream=True)
        await wait_for(lambda: self.call_count() == 2, "the retry")
        engine.step = 0.01
        engine.faults["cross_frames"] = False
        self.check_whole(await self.get_body(task))
