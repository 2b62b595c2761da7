"""Trials of blocked requests: over all hosts, one of them is sent again at a time.

Failure guarded against: a harmless request that many callers repeat was running on the same
endpoints as a harmful one when they ended, and both are blocked. Only an answer clears a request,
and a blocked request is never answered, so the harmless one would stay blocked. A trial costs at
most one more end of an endpoint and shows which request is the cause.

One host, the coordinator, allows the trials. The others ask it, as a caller's next attempt may come
to any of hundreds of hosts.
"""

from collections.abc import Awaitable, Callable
from typing import Any

from peridotdock.context import Context
from peridotdock.decisions.poison import describe

# Seconds after which a trial without an outcome (an answer or the end of an endpoint) is replaced
# by the next.
TRIAL_SECONDS = 5.0
# Minimum seconds between two questions of a host to the coordinator.
ASK_INTERVAL_SECONDS = 0.5
NEVER = float("-inf")


async def deny(content: str) -> bool:
    """Deny a trial, as there is no coordinator to ask."""
    return False


class Trials:
    """The trial that this host runs or, as the coordinator, has allowed another host to run.

    ``may_try`` returns whether this host is the coordinator, ``is_due`` whether by what it knows a
    content or a prompt part may be tried now. ``ask`` asks the coordinator for a
    trial of a content or a prompt part; ``on_dropped`` tells it that the trial has ended without an
    outcome.
    """

    def __init__(self, ctx: Context, may_try: Callable[[], bool]):
        self._ctx = ctx
        self._may_try = may_try
        self.is_due: Callable[[str], bool] = lambda content: True
        self.ask: Callable[[str], Awaitable[bool]] = deny
        self.on_dropped: Callable[[str], None] = lambda content: None
        self._req: Any = None
        self._content = ""
        self._started_at = NEVER
        self._until = NEVER
        self._ask_at = NEVER

    def allows(self, req: Any, cause: str = "") -> bool:
        """Return whether a request is on trial; as the coordinator, start its trial if possible.

        ``cause`` is what the trial is about: a prompt part, or the content of the request.
        """
        if self._req is req:
            return True
        if not self.reserve(cause or req.content_id):
            return False
        self._start(req)
        return True

    def reserve(self, content: str) -> bool:
        """As the coordinator, begin a trial of a content unless another one is in progress."""
        now = self._ctx.clock.monotonic()
        if now < self._until or not self._may_try() or not self.is_due(content):
            return False
        self._begin(content, now)
        return True

    async def request(self, req: Any, cause: str = "") -> bool:
        """Return whether a request may be sent as a trial, asking the coordinator if needed."""
        cause = cause or req.content_id
        if self.allows(req, cause):
            return True
        now = self._ctx.clock.monotonic()
        if self._may_try() or now < max(self._until, self._ask_at):
            return False
        self._ask_at = now + ASK_INTERVAL_SECONDS
        if not await self.ask(cause):
            return False
        self._begin(cause, self._ctx.clock.monotonic())
        self._start(req)
        return True

    def end(self, content: str, at: float) -> None:
        """End the trial of a content by an outcome that is as old as ``at``."""
        if content == self._content and at >= self._started_at:
            self._clear()

    def drop(self, req: Any) -> None:
        """End the trial of a request that has ended without an outcome."""
        if self._req is req:
            content = self._content
            self._clear()
            if not self._may_try():
                self.on_dropped(content)

    def _begin(self, content: str, now: float) -> None:
        self._req, self._content = None, content
        self._started_at, self._until = now, now + TRIAL_SECONDS

    def _start(self, req: Any) -> None:
        self._req = req
        self._ctx.timeline.add("request_tried", detail=describe(self._content))

    def _clear(self) -> None:
        self._req, self._content, self._started_at, self._until = None, "", NEVER, NEVER
