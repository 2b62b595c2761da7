"""Trials of blocked requests: a single host sends them again, one at a time.

Failure guarded against: a harmless request that many callers repeat was running on the same
endpoints as a harmful one when they ended, and both are blocked. Only an answer clears a request,
and a blocked request is never answered, so the harmless one would stay blocked. A trial costs at
most one more end of an endpoint and shows which request is the cause.
"""

from collections.abc import Callable
from typing import Any

from peridotdock.context import Context

# Seconds after which a trial without an outcome (an answer or the end of an endpoint) is replaced
# by the next.
TRIAL_SECONDS = 5.0


class Trials:
    """The current trial of this host; ``may_try`` returns whether this host runs the trials."""

    def __init__(self, ctx: Context, may_try: Callable[[], bool]):
        self._ctx = ctx
        self._may_try = may_try
        self._req: Any = None
        self._until = float("-inf")

    def allows(self, req: Any) -> bool:
        """Return whether a blocked request is on trial, starting its trial if that is possible."""
        now = self._ctx.clock.monotonic()
        if self._req is req:
            return True
        if now < self._until or not self._may_try():
            return False
        self._req, self._until = req, now + TRIAL_SECONDS
        self._ctx.timeline.add("request_tried", detail=f"content {req.content_id}")
        return True

    def end(self, req: Any) -> None:
        """End the trial of a request, so that the next one can start."""
        if self._req is req:
            self._req, self._until = None, float("-inf")
