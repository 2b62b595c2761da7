"""The time line: a bounded ring of events stamped with a hybrid logical clock.

The stamp is ``milliseconds << 16 | counter``. It follows the wall clock but never goes back,
and a message carries it, so that an event caused by a message sorts after the sending.
"""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from peridotdock.clock import Clock

COUNTER_BITS = 16
MAX_SKEW_MS = 60_000

log = logging.getLogger("peridotdock")


class HybridClock:
    """Hybrid logical clock of one process."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._last = 0

    def tick(self) -> int:
        """Return a stamp above every stamp given or seen so far."""
        wall = int(self._clock.now().timestamp() * 1000) << COUNTER_BITS
        self._last = max(self._last + 1, wall)
        return self._last

    def witness(self, stamp: int) -> None:
        """Take in the stamp of a message.

        A peer whose clock is far ahead would drag ours along for good and make the order
        useless; a stamp more than a minute ahead is passed over.
        """
        wall = int(self._clock.now().timestamp() * 1000) + MAX_SKEW_MS
        if stamp <= wall << COUNTER_BITS:
            self._last = max(self._last, stamp)


@dataclass(frozen=True)
class Event:
    """One thing that happened on one host."""

    stamp: int
    host: str
    name: str
    request: str = ""
    endpoint: str = ""
    item: str = ""
    detail: str = ""


@dataclass(frozen=True)
class Filter:
    """Which events are wanted; empty fields match all."""

    request: str = ""
    endpoint: str = ""
    item: str = ""
    since: int = 0

    def matches(self, event: Event) -> bool:
        """Tell whether ``event`` is wanted."""
        wanted = ((self.request, event.request), (self.endpoint, event.endpoint))
        wanted += ((self.item, event.item),)
        return event.stamp >= self.since and all(not want or want == has for want, has in wanted)


class Timeline:
    """Keeps the newest events of this process and logs each."""

    def __init__(self, host: str, clock: Clock, size: int):
        self.clock = HybridClock(clock)
        self._host = host
        self._ring: deque[Event] = deque(maxlen=size)
        self.listeners: list[Callable[[Event], None]] = []

    def add(self, name: str, level: str = "INFO", **fields: Any) -> Event:
        """Record an event called ``name``; ``fields`` are those of :class:`Event`."""
        event = Event(self.clock.tick(), self._host, name, **fields)
        self._ring.append(event)
        levelno = logging.getLevelName(level)
        if log.isEnabledFor(levelno):
            log.log(
                levelno, name, extra={k: v for k, v in vars(event).items() if v and k != "name"}
            )
        for listener in self.listeners:
            listener(event)
        return event

    def select(self, wanted: Filter, limit: int = 1000) -> list[Event]:
        """Return the newest ``most`` events that match, oldest first."""
        found = [event for event in self._ring if wanted.matches(event)]
        return found[-limit:]
