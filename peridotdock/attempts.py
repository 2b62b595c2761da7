"""Attempts of one request on several endpoints; the first answer is used.

An attempt on a silent endpoint stays open while the request is tried on another one, as the
endpoint may still be working on it and the other may refuse it.
"""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from peridotdock.errors import Failure, Kind, failed
from peridotdock.requests import Loss, Reply, RequestState, loss_failure
from peridotdock.routing import Choice


class Attempt:
    """One attempt; it is silent while the last probe of its endpoint was not answered.

    ``number`` counts the attempts of a request, from one.
    """

    def __init__(self, choice: Choice, number: int, on_silence: Callable[["Attempt"], None]):
        self.choice = choice
        self.number = number
        self.is_silent = False
        self._on_silence = on_silence

    def record_probe(self, answered: bool) -> None:
        """Record the result of a probe."""
        began = not answered and not self.is_silent
        self.is_silent = not answered
        if began:
            self._on_silence(self)


Run = Callable[[Attempt], Coroutine[Any, Any, Reply | Failure]]


class Attempts:
    """The attempts of one request.

    ``on_failure`` is called for each attempt that fails, ``on_silence`` for each that falls silent.
    """

    def __init__(
        self,
        run: Run,
        on_failure: Callable[[Choice, Failure], None],
        on_silence: Callable[[Choice], None],
    ):
        self._run = run
        self._on_failure = on_failure
        self._on_silence = on_silence
        self._open: dict[asyncio.Task[Reply | Failure], Attempt] = {}
        self._changed = asyncio.Event()
        self._last: Failure = Failure(Kind.NO_ENDPOINT)
        self._numbers = itertools.count(1)
        self.tried: set[str] = set()
        self.maybe_ran = False

    def is_open_on(self, endpoint: str) -> bool:
        """Return whether an attempt on an endpoint is open."""
        return any(attempt.choice.state.name == endpoint for attempt in self._open.values())

    def start(self, choice: Choice) -> None:
        """Start an attempt."""
        self.tried.add(choice.state.name)
        attempt = Attempt(choice, next(self._numbers), self._record_silence)
        task = asyncio.create_task(self._run(attempt))
        self._open[task] = attempt
        task.add_done_callback(lambda _: self._changed.set())

    async def wait(self) -> Reply | Failure:
        """Return the first answer, or the last failure once every open attempt is silent."""
        return await self._wait_until(
            lambda: all(attempt.is_silent for attempt in self._open.values())
        )

    async def wait_for_all(self) -> Reply | Failure:
        """Return the first answer, or the last failure once no attempt is open."""
        return await self._wait_until(lambda: not self._open)

    async def _wait_until(self, is_over: Callable[[], bool]) -> Reply | Failure:
        while True:
            self._changed.clear()
            reply = self._take_reply()
            if reply is not None:
                return reply
            if is_over():
                return self._last
            await self._changed.wait()

    def _take_reply(self) -> Reply | None:
        """Remove the attempts that have failed, up to one that was answered."""
        for task in [task for task in self._open if task.done()]:
            choice = self._open.pop(task).choice
            outcome = task.result()
            if not failed(outcome):
                return outcome
            self._last = outcome
            self.maybe_ran = self.maybe_ran or outcome.may_have_run
            self._on_failure(choice, outcome)
        return None

    def _record_silence(self, attempt: Attempt) -> None:
        self._last = loss_failure(RequestState.SENT, Loss.SILENCE)
        self.maybe_ran = True
        self._on_silence(attempt.choice)
        self._changed.set()

    async def close(self) -> None:
        """Cancel the attempts that are still open."""
        tasks, self._open = list(self._open), {}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for task in tasks:
            if not task.cancelled():
                await _drop_outcome(task)


async def _drop_outcome(task: asyncio.Task[Reply | Failure]) -> None:
    """Close an answer that came too late, and report an error in its attempt."""
    error = task.exception()
    if error is not None:
        context = {"message": "error in a cancelled attempt", "exception": error, "task": task}
        asyncio.get_running_loop().call_exception_handler(context)
        return
    outcome = task.result()
    if not failed(outcome) and not isinstance(outcome.body, bytes):
        await _close_unread(outcome.body)


async def _close_unread(body: AsyncIterator[bytes]) -> None:
    """Close an answer that nobody reads; only an iterator that has begun runs its clean-up."""
    await anext(body)
    await body.aclose()
