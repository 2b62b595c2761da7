"""Replaces a send whose endpoint is silent, once another endpoint has answered.

An endpoint that is silent for a second may be sound and go on. Its send is therefore kept open
while the request is sent elsewhere, as the other endpoint, the hub or the retry budget may refuse
it. The first one to answer is kept and the other send is ended.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from peridotdock.context import Context
from peridotdock.errors import Failure, failed
from peridotdock.relay.attempt import CompleteAnswer, StreamSource
from peridotdock.relay.caller import Caller, SendCaller
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.progress import Progress
from peridotdock.relay.requests import RelayRequest

# Seconds between two checks whether the send of a silent endpoint can be replaced.
CHECK_SECONDS = 0.25

Answer = CompleteAnswer | StreamSource


class Sends(Protocol):
    """What makes the sends of a request."""

    ctx: Context
    # Replacements that are under way: the event loop itself refers to tasks only weakly.
    replacing: set[asyncio.Task[None]]

    def reserve_replacement(
        self, req: RelayRequest, caller: Caller, progress: Progress, state: EndpointState
    ) -> bool:
        """Return whether a send at a silent endpoint may be replaced; reserve its retry."""

    def log_silent(self, req: RelayRequest, progress: Progress, state: EndpointState) -> None:
        """Log that an endpoint is silent, and what else could serve."""

    async def open_answer(
        self, req: RelayRequest, caller: Caller, progress: Progress
    ) -> Answer | Failure:
        """Send until an endpoint returns a complete answer or the first events of a stream."""

    async def discard(self, req: RelayRequest, progress: Progress, found: Answer | Failure) -> None:
        """Close the connection of an answer that is not needed."""


class Replacement:
    """Replaces one send of a request while its endpoint is silent.

    ``end_first`` ends that send. ``counted`` tells whether it counts in ``progress`` as one that
    may have run. ``began`` is set once the request was sent elsewhere, ``found`` is the answer to
    that. An answer to a stream that has begun can only be a stream.
    """

    def __init__(
        self,
        sends: Sends,
        req: RelayRequest,
        caller: Caller,
        progress: Progress,
        state: EndpointState,
        end_first: Callable[[], None],
        counted: bool,
    ):
        self._sends = sends
        self._req = req
        self._caller = caller
        self._progress = progress
        self._state = state
        self._end_first = end_first
        self._counted = counted
        self._streaming = counted
        self._logged = False
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._send_caller: SendCaller | None = None
        self.began = False
        self.found: Answer | None = None

    def start_timer(self, seconds: float) -> None:
        """Replace the send if it has no answer after ``seconds``."""
        self._timer = asyncio.get_running_loop().call_later(seconds, self._on_timer)

    def _on_timer(self) -> None:
        self.try_now()
        self.start_timer(CHECK_SECONDS)

    def try_now(self) -> None:
        """Send the request elsewhere, unless that is under way or not possible at present."""
        if self._task is not None or self.found is not None:
            return
        if not self._logged:
            self._logged = True
            self._sends.log_silent(self._req, self._progress, self._state)
        # The first send may run: it counts before the next one is allowed.
        self._count_first(1)
        if not self._sends.reserve_replacement(
            self._req, self._caller, self._progress, self._state
        ):
            self._count_first(-1)
            return
        self.began = self._counted = True
        self._progress.working.add(self._state.key)
        self._send_caller = SendCaller(self._caller)
        self._task = asyncio.ensure_future(self._send(self._send_caller))
        self._sends.replacing.add(self._task)
        self._task.add_done_callback(self._sends.replacing.discard)

    def _count_first(self, number: int) -> None:
        if not self._counted:
            self._progress.maybe_ran += number

    async def _send(self, caller: SendCaller) -> None:
        found: Answer | Failure | None = None
        try:
            found = await self._sends.open_answer(self._req, caller, self._progress)
        except Exception as exc:
            # The first send goes on, so the request is not lost with this one.
            self._log("replacement_failed", "ERROR", f"{type(exc).__name__}: {exc}")
        finally:
            self._task = None
        if found is None or failed(found):
            # What another host could not serve may still be retried when the first send is lost.
            self._progress.final = False
            return
        if caller.is_disconnected() or not self._serves(found):
            await self._sends.discard(self._req, self._progress, found)
            return
        self.found = found
        self._log("send_replaced", "INFO", f"by {found.state.key}")
        self._end_first()

    def _serves(self, found: Answer) -> bool:
        if isinstance(found, StreamSource):
            return True
        return not self._streaming and not found.is_server_error

    def _log(self, event: str, level: str, detail: str) -> None:
        self._sends.ctx.timeline.add(
            event, level, request=self._req.id, endpoint=self._state.key, detail=detail
        )

    def drop(self) -> None:
        """End the send elsewhere, as the first endpoint has sent something."""
        self._logged = False
        if self._task is not None:
            self._send_caller.end()

    async def take(self) -> Answer | None:
        """Return the answer from elsewhere, None if there is none; wait while it is under way."""
        if self._task is not None:
            await asyncio.wait({self._task})
        found, self.found = self.found, None
        return found

    async def close(self) -> None:
        """End what is left of the replacement."""
        if self._timer is not None:
            self._timer.cancel()
        self.drop()
        self._progress.working.discard(self._state.key)
        found, self.found = self.found, None
        if found is not None:
            await self._sends.discard(self._req, self._progress, found)
