"""The timeline: a ring buffer of events with timestamps of a hybrid logical clock.

A timestamp is ``milliseconds << 16 | counter``. It follows the wall clock but never decreases.
Messages between hosts carry it, so that an event caused by a message sorts after its sending.
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
    """The hybrid logical clock of one process."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._last = 0

    def tick(self) -> int:
        """Return a timestamp greater than every one issued or received so far."""
        wall = int(self._clock.now().timestamp() * 1000) << COUNTER_BITS
        self._last = max(self._last + 1, wall)
        return self._last

    def witness(self, stamp: int) -> None:
        """Advance to the timestamp of a received message.

        A timestamp more than a minute ahead is ignored: a peer with a wrong clock would advance
        this clock permanently and make the order useless.
        """
        wall = int(self._clock.now().timestamp() * 1000) + MAX_SKEW_MS
        if stamp <= wall << COUNTER_BITS:
            self._last = max(self._last, stamp)


@dataclass(frozen=True)
class Event:
    """An event on one host; the field names appear in logs and in ``/admin/events``."""

    stamp: int
    host: str
    name: str
    request: str = ""
    endpoint: str = ""
    item: str = ""
    detail: str = ""


@dataclass(frozen=True)
class Filter:
    """Criteria for selecting events; an empty field matches every event."""

    request: str = ""
    endpoint: str = ""
    item: str = ""
    since: int = 0

    def matches(self, event: Event) -> bool:
        """Return whether ``event`` matches all criteria."""
        wanted = ((self.request, event.request), (self.endpoint, event.endpoint))
        wanted += ((self.item, event.item),)
        return event.stamp >= self.since and all(not want or want == has for want, has in wanted)


class Timeline:
    """Stores the newest ``size`` events of this process, logs each and notifies listeners."""

    def __init__(self, host: str, clock: Clock, size: int):
        self.clock = HybridClock(clock)
        self._host = host
        self._ring: deque[Event] = deque(maxlen=size)
        self.listeners: list[Callable[[Event], None]] = []

    def add(self, name: str, level: str = "INFO", **fields: Any) -> Event:
        """Record an event; ``fields`` are the optional ones of :class:`Event`."""
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
        """Return the newest ``limit`` matching events, oldest first."""
        found = [event for event in self._ring if wanted.matches(event)]
        return found[-limit:]
