"""Replaces a send whose endpoint is silent, once another endpoint has answered.

An endpoint that is silent for a second may be sound and go on. Its send is therefore kept open
while the request is sent elsewhere, as the other endpoint, the hub or the retry budget may refuse
it. The first one to answer is kept and the other send is ended. An engine begins to run a request
with the head of its answer, and one that has not refused it soon after it was sent there has taken
it: the silent send is then ended before there are events, so that two engines are not at work on
one request.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from peridotdock.context import Context
from peridotdock.errors import Failure, failed
from peridotdock.relay.attempt import CompleteAnswer, StreamSource
from peridotdock.relay.caller import Caller, SendCaller
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.progress import Progress
from peridotdock.relay.requests import RelayRequest

# Seconds without an event after which a stream is to be resumed elsewhere; callers disconnect after
# two. The silent endpoint may still go on first.
SILENCE_SECONDS = 1.2
# The same for a send through another host, which looks for another endpoint first.
FORWARDED_SILENCE_SECONDS = 1.7
# Seconds of a stream's silence after that until endpoints that failed lately are tried too.
SUSPECTS_SECONDS = 0.2
# Seconds between two checks whether the send of a silent endpoint can be replaced, and between two
# sends elsewhere.
CHECK_SECONDS = 0.25
RETRY_SECONDS = 0.5
# Seconds for which a request may be at two engines. One without room refuses it sooner.
OVERLAP_SECONDS = 0.2
# Seconds of a silence after which the request also goes to an engine that doesn't answer a call for
# its report. The silent send is then ended at once: either engine may be gone.
LONG_SILENCE_SECONDS = 1.8
# Share of the time that is left at the head of a whole answer after which the answer counts as
# silent, unless its body arrives so fast that it ends in time.
BODY_SHARE = 0.5

Answer = CompleteAnswer | StreamSource


class Sends(Protocol):
    """What makes the sends of a request."""

    ctx: Context
    # Replacements that are under way: the event loop itself refers to tasks only weakly.
    replacing: set[asyncio.Task[None]]

    def may_replace(self, silent: "SilentSend", uncounted: int, suspects: bool) -> bool:
        """Return whether the request may be sent elsewhere while a send is silent.

        ``uncounted`` is 1 if that send does not count yet as one that may run, else 0. ``suspects``
        tells whether it may go to an endpoint that failed lately.
        """

    def reserve_replacement(self, silent: "SilentSend") -> bool:
        """Reserve a retry for the send elsewhere; return False if none is left."""

    def report_silent(self, silent: "SilentSend") -> None:
        """Report that an endpoint is silent, and log what else could serve."""

    def record_silence(self, state: EndpointState) -> None:
        """Record a silence against an endpoint, so that other requests avoid it for a while."""

    async def open_answer(
        self, req: RelayRequest, caller: Caller, progress: Progress
    ) -> Answer | Failure:
        """Send until an endpoint returns a complete answer or the first events of a stream."""

    async def discard(self, req: RelayRequest, progress: Progress, found: Answer | Failure) -> None:
        """Close the connection of an answer that is not needed."""


@dataclass(frozen=True, slots=True)
class SilentSend:
    """A send whose endpoint may be silent; ``state`` may be a host that it went through.

    ``endpoint`` is the endpoint's id, empty if the host did not tell it. ``streaming`` is set once
    events have arrived, so that only a stream can go on from there.
    """

    req: RelayRequest
    caller: Caller
    progress: Progress
    state: EndpointState
    endpoint: str
    streaming: bool


class Replacement:
    """Replaces one send of a request while its endpoint is silent.

    ``end_send`` ends that send. ``began`` is set once the request was sent elsewhere, ``found`` is
    the answer to that, ``handed_over`` is set if the silent send was ended before there was one.
    """

    def __init__(self, sends: Sends, silent: SilentSend, end_send: Callable[[], None]):
        self._sends = sends
        self._silent = silent
        self._end_send = end_send
        self._next_try_at = float("-inf")
        self._silent_since: float | None = None
        self._recorded = False
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_on_time: Callable[[], bool] = lambda: False
        self._caller: SendCaller | None = None
        self._fallback: CompleteAnswer | None = None
        # When the send elsewhere was written, None while no endpoint has it.
        self._written_at: float | None = None
        self._overlap: asyncio.TimerHandle | None = None
        # Whether the silence was long as the send elsewhere began.
        self._is_long = False
        self.began = False
        self.handed_over = False
        self.found: Answer | None = None

    @property
    def took_over(self) -> bool:
        """Whether the silent send was ended, so that its outcome means nothing."""
        return self.found is not None or self.handed_over

    def start_timer(self, seconds: float) -> None:
        """Replace the send if it has no answer after ``seconds``."""
        self._timer = asyncio.get_running_loop().call_later(seconds, self._on_timer)

    def await_body(self, read_share: Callable[[], float]) -> None:
        """Replace the send only if the answer that has begun takes too long.

        ``read_share`` returns which share of the body has arrived, 0 if its length is unknown.
        Failure guarded against: a body never ends, and the request waits for it until its deadline
        while another endpoint could answer.
        """
        if self._timer is None:
            return
        self.stop_timer()
        begun_at = self._sends.ctx.clock.monotonic()
        left = max(0.0, self._silent.req.deadline - begun_at)

        def is_on_time() -> bool:
            return self._sends.ctx.clock.monotonic() <= begun_at + left * read_share()

        self._is_on_time = is_on_time
        self.start_timer(BODY_SHARE * left)

    def stop_timer(self) -> None:
        """Do not replace the send."""
        if self._timer is not None:
            self._timer.cancel()

    def _on_timer(self) -> None:
        self.start_timer(CHECK_SECONDS)
        if not self._is_on_time():
            self.try_now()

    def try_now(self) -> None:
        """Send the request elsewhere, unless that is under way or not possible at present."""
        now = self._sends.ctx.clock.monotonic()
        if self._task is not None or self.took_over or now < self._next_try_at:
            return
        if self._silent_since is None:
            self._silent_since = now
            self._silent.state.silent_sends += 1
            self._sends.report_silent(self._silent)
        suspects = not self._silent.streaming or now >= self._silent_since + SUSPECTS_SECONDS
        if not self._sends.may_replace(self._silent, self._uncounted(), suspects):
            return
        if not self._sends.reserve_replacement(self._silent):
            return
        self._begin()

    def _begin(self) -> None:
        silent = self._silent
        if not self._recorded:
            self._recorded = True
            self._sends.record_silence(silent.state)
        # The silent send may run, and counts before the next one.
        silent.progress.maybe_ran += self._uncounted()
        silent.progress.beside += 1
        self._is_long = (
            self._sends.ctx.clock.monotonic() >= self._silent_since + LONG_SILENCE_SECONDS
        )
        silent.progress.asks_reports = not self._is_long
        self.began = True
        self._set_working()
        self._caller = SendCaller(silent.caller, self)
        self._task = asyncio.ensure_future(self._send(self._caller))
        self._sends.replacing.add(self._task)
        self._task.add_done_callback(self._sends.replacing.discard)

    def _set_working(self) -> None:
        silent = self._silent
        if not silent.endpoint:
            return
        silent.progress.avoid.add(silent.endpoint)
        silent.progress.working.add(silent.endpoint)
        if silent.state.is_host:
            silent.progress.relayed.add(silent.endpoint)

    def _unset_working(self) -> None:
        self._silent.progress.working.discard(self._silent.endpoint)
        self._silent.progress.relayed.discard(self._silent.endpoint)

    def _uncounted(self) -> int:
        """Return 1 until the silent send counts as one that may run; a stream counts already."""
        return 0 if self.began or self._silent.streaming else 1

    async def _send(self, caller: SendCaller) -> None:
        req, progress = self._silent.req, self._silent.progress
        refusals, hosts = progress.refusals, set(progress.hosts)
        found: Answer | Failure | None = None
        try:
            found = await self._sends.open_answer(req, caller, progress)
        except Exception as exc:
            # The silent send goes on, so the request is not lost with this one.
            self._log("replacement_failed", "ERROR", f"{type(exc).__name__}: {exc}")
        finally:
            self._task = None
            progress.beside -= 1
            self._stop_overlap()
        if found is None or failed(found):
            caller.close()
            # What refused this send may serve a later one.
            progress.final, progress.refusals, progress.hosts = False, refusals, hosts
            self._next_try_at = self._sends.ctx.clock.monotonic() + RETRY_SECONDS
            return
        if caller.is_disconnected():
            await self._sends.discard(req, progress, found)
            return
        if not self._serves(found):
            self._fallback = None if self._silent.streaming else found
            self._next_try_at = self._sends.ctx.clock.monotonic() + RETRY_SECONDS
            self._log("replacement_failed", "INFO", f"{found.state.key}: {found.head.status}")
            return
        self.found = found
        if not self.handed_over:
            self._log("send_replaced", "INFO", f"by {found.state.key}{self._describe_overlap()}")
            self._end_send()

    def record_written(self) -> None:
        """Record that the send elsewhere is at an endpoint, beside the silent one."""
        self._written_at = self._sends.ctx.clock.monotonic()
        self._stop_overlap()
        if self._silent.req.head.inference is not None:
            seconds = 0.0 if self._is_long else OVERLAP_SECONDS
            self._overlap = asyncio.get_running_loop().call_later(seconds, self._hand_over)

    def record_answered(self) -> None:
        """Record that another endpoint has begun to answer the request."""
        if self._silent.req.head.inference is not None:
            self._hand_over()

    def record_failed(self) -> None:
        """Record that the send elsewhere is at no endpoint."""
        self._written_at = None
        self._stop_overlap()

    def _stop_overlap(self) -> None:
        if self._overlap is not None:
            self._overlap.cancel()
        self._overlap = None

    def _hand_over(self) -> None:
        """End the silent send before there are events, as another engine has the request.

        Failure guarded against: the other engine reads a long prompt or its report is late, and
        both are at work on one request all the while.
        """
        if self._task is None or self._caller.is_disconnected() or self.handed_over:
            return
        self.handed_over = True
        self._log("send_handed_over", "INFO", f"without events yet{self._describe_overlap()}")
        self._end_send()

    def _describe_overlap(self) -> str:
        """Return for how long both sends were at an endpoint, as log details."""
        if self._written_at is None:
            return ""
        seconds = self._sends.ctx.clock.monotonic() - self._written_at
        return f", both at work for {seconds:.3f} s at most"

    def _serves(self, found: Answer) -> bool:
        if isinstance(found, StreamSource):
            return True
        return not self._silent.streaming and not found.is_server_error

    def _log(self, event: str, level: str, detail: str) -> None:
        silent = self._silent
        self._sends.ctx.timeline.add(
            event, level, request=silent.req.id, endpoint=silent.state.key, detail=detail
        )

    def drop(self) -> None:
        """End the send elsewhere, as the silent endpoint has sent something."""
        if self._recorded:
            self._silent.state.health.record_success()
        self._recorded = False
        self._end_silence()
        self._end()

    def _end_silence(self) -> None:
        if self._silent_since is not None:
            self._silent.state.silent_sends -= 1
        self._silent_since = None

    def _end(self) -> None:
        self._stop_overlap()
        if self._task is not None:
            self._caller.end()

    async def take(self) -> Answer | None:
        """Return the answer from elsewhere, None if there is none; wait while it is under way.

        An endpoint's server error is returned if there is nothing better. The silent send has
        ended, so its endpoint may be chosen again.
        """
        self._unset_working()
        if self._task is not None:
            await asyncio.wait({self._task})
        found, self.found = self.found, None
        return found or self._fallback

    async def close(self) -> None:
        """End what is left of the replacement."""
        self.stop_timer()
        self._end_silence()
        self._end()
        self._unset_working()
        if self._task is not None:
            # It counts as a send that may have run, before the request is sent again.
            await asyncio.wait({self._task})
        found, self.found = self.found, None
        if found is not None:
            await self._sends.discard(self._silent.req, self._silent.progress, found)
