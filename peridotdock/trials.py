"""Blocked requests that are tried again: by one host of all, one at a time.

Failure guarded against: a request that many callers repeat was at the same ends as the one to
blame. What is blocked is never answered, and only an answer speaks for it: it would stay blocked
though it harms nothing. A trial costs one more end at most, and shows which of them is to blame.
"""

from collections.abc import Callable
from typing import Any

from peridotdock.context import Context

# Seconds after which a trial that neither was answered nor ended an endpoint gives way to the next.
TRIAL_SECONDS = 5.0


class Trials:
    """The request that this host tries now; ``may_try`` tells whether it is the host to try any."""

    def __init__(self, ctx: Context, may_try: Callable[[], bool]):
        self._ctx = ctx
        self._may_try = may_try
        self._req: Any = None
        self._until = float("-inf")

    def allows(self, req: Any) -> bool:
        """Tell whether a blocked request may be sent as a trial, or is on trial already."""
        now = self._ctx.clock.monotonic()
        if self._req is req:
            return True
        if now < self._until or not self._may_try():
            return False
        self._req, self._until = req, now + TRIAL_SECONDS
        self._ctx.timeline.add("request_tried", detail=f"content {req.content_id}")
        return True

    def end(self, req: Any) -> None:
        """Note that a request has shown what it does: the next one may be tried."""
        if self._req is req:
            self._req, self._until = None, float("-inf")
