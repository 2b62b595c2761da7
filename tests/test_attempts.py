"""Tests of attempts of one request that are open on several endpoints at once."""

import asyncio
import unittest
from types import SimpleNamespace

from peridotdock.attempts import Attempts
from peridotdock.errors import Failure, Kind, failed
from peridotdock.requests import Reply
from tests.fakes import settle


class FakeRun:
    """Runs of attempts, whose outcomes are set by endpoint."""

    def __init__(self):
        self.outcomes = {}
        self.attempts = {}
        self.failures = []
        self.silences = []
        self.closed = []

    async def __call__(self, attempt):
        name = attempt.choice.state.name
        self.attempts[name] = attempt
        self.outcomes[name] = asyncio.get_running_loop().create_future()
        return await self.outcomes[name]

    async def body(self, name):
        try:
            yield b"first"
        finally:
            self.closed.append(name)

    def answer(self, name):
        self.outcomes[name].set_result(Reply(200, (), self.body(name)))

    def fail(self, name, kind):
        self.outcomes[name].set_result(Failure(kind))

    def on_failure(self, choice, outcome):
        self.failures.append((choice.state.name, outcome.kind))

    def on_silence(self, choice):
        self.silences.append(choice.state.name)


class AttemptsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.run_ = FakeRun()
        self.attempts = Attempts(self.run_, self.run_.on_failure, self.run_.on_silence)

    async def start(self, *names):
        for name in names:
            self.attempts.start(SimpleNamespace(state=SimpleNamespace(name=name)))
        await settle()

    async def fall_silent(self, name):
        self.run_.attempts[name].record_probe(False)
        await settle()

    async def test_a_silent_attempt_is_reported_and_stays_open(self):
        await self.start("a")
        await self.fall_silent("a")
        outcome = await self.attempts.wait()
        self.assertEqual(outcome.kind, Kind.ENDPOINT_LOST)
        self.assertTrue(self.attempts.maybe_ran and self.attempts.is_open_on("a"))
        await self.fall_silent("a")
        self.assertEqual(self.run_.silences, ["a"])
        self.run_.answer("a")
        self.assertEqual((await self.attempts.wait_for_all()).status, 200)

    async def test_no_further_attempt_while_one_is_not_silent(self):
        """An attempt fails, and the request is sent a third time beside one that is answered."""
        await self.start("a")
        await self.fall_silent("a")
        await self.attempts.wait()
        await self.start("b")
        self.run_.attempts["a"].record_probe(True)
        self.run_.fail("b", Kind.ENDPOINT_REFUSED)
        waiting = asyncio.create_task(self.attempts.wait())
        await settle()
        self.assertFalse(waiting.done())
        self.assertEqual(self.run_.failures, [("b", Kind.ENDPOINT_REFUSED)])
        self.run_.answer("a")
        self.assertFalse(failed(await waiting))

    async def test_the_last_failure_is_returned_once_none_is_open(self):
        await self.start("a")
        await self.fall_silent("a")
        await self.attempts.wait()
        await self.start("b")
        self.run_.fail("b", Kind.ENDPOINT_REFUSED)
        self.assertEqual((await self.attempts.wait()).kind, Kind.ENDPOINT_REFUSED)
        self.run_.fail("a", Kind.DEADLINE)
        self.assertEqual((await self.attempts.wait_for_all()).kind, Kind.DEADLINE)

    async def test_an_answer_that_comes_second_is_closed(self):
        """Two answers come at once, and the connection of the unused one stays open."""
        await self.start("a", "b")
        self.run_.answer("a")
        self.run_.answer("b")
        reply = await self.attempts.wait()
        await self.attempts.close()
        self.assertEqual(self.run_.closed, ["b"])
        self.assertEqual([part async for part in reply.body], [b"first"])

    async def test_open_attempts_are_cancelled_at_the_end(self):
        await self.start("a", "b")
        self.run_.answer("a")
        await self.attempts.wait()
        await self.attempts.close()
        self.assertTrue(self.run_.outcomes["b"].cancelled())

    async def test_an_error_in_an_unused_attempt_is_reported(self):
        errors = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        await self.start("a")
        self.run_.outcomes["a"].set_exception(KeyError("x"))
        await settle()
        await self.attempts.close()
        self.assertEqual([str(context["exception"]) for context in errors], ["'x'"])
