"""The progress of one relayed request over its sends."""

from dataclasses import dataclass, field
from typing import NamedTuple

from peridotdock.decisions.stream_versions import UNKNOWN_SOFTWARE
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.events import StreamEvent


class Origin(NamedTuple):
    """The endpoint that began a stream, and the connection that its first events came over."""

    state: EndpointState
    connection: object


@dataclass
class Progress:
    """Counts of a request's sends, with the endpoints already tried in ``avoid``.

    ``maybe_ran`` counts the sends that may have run, ``refusals`` those that were refused.
    ``last_id`` is the highest id of the events that were passed on to the caller, ``unnumbered`` is
    set while a later event has none or no higher one. ``last_event_at`` is the monotonic time of
    the last event, None before the first one. ``software`` the version of the endpoints'
    software that began the stream, None until one has, UNKNOWN_SOFTWARE if its version is not
    known. ``origin`` is where it began, as long as that is to be checked. ``hosts`` are those that
    the request was forwarded to; ``forwarded`` is set on a host that it was forwarded to.
    ``arrived`` is set once a send may have reached an endpoint: the next ones are retries.
    ``reserved`` is set while a retry is reserved in the budget of the service, ``taken_at`` is the
    monotonic time at which one was taken for a send that has no outcome yet. ``charged`` counts the
    sends that were charged to the workspace as repeats and not given back. ``final`` is set once
    another host has answered that it can't serve the request. ``working`` are the endpoints that
    may still work on a send of the request while it is sent to another one, ``relayed`` those of
    them that another host sent it to. ``beside`` counts the sends under way beside a silent one;
    ``asks_reports`` tells whether they go only to engines that answer a call for their report.
    ``endpoint`` is the one that a stream comes from.
    """

    service: str
    avoid: set[str] = field(default_factory=set)
    maybe_ran: int = 0
    refusals: int = 0
    sends: int = 0
    last_id: int | None = None
    unnumbered: bool = False
    last_event_at: float | None = None
    software: str | None = None
    origin: Origin | None = None
    hosts: set[str] = field(default_factory=set)
    forwarded: bool = False
    arrived: bool = False
    reserved: bool = False
    taken_at: float | None = None
    charged: int = 0
    final: bool = False
    working: set[str] = field(default_factory=set)
    relayed: set[str] = field(default_factory=set)
    beside: int = 0
    asks_reports: bool = True
    endpoint: str = ""

    @property
    def works_elsewhere(self) -> bool:
        """Whether an endpoint may be at work on the request, on this host or the one before it."""
        return self.beside > 0 or (self.forwarded and bool(self.working))

    def record_event(self, event: StreamEvent, now: float) -> None:
        """Record an event that is passed on to the caller."""
        self.last_event_at = now
        if event.id is not None and (self.last_id is None or event.id > self.last_id):
            self.last_id, self.unnumbered = event.id, False
        elif event.has_content:
            self.unnumbered = True

    def unbind(self) -> None:
        """Note that the version of the software that began the stream is not known."""
        self.software, self.origin = UNKNOWN_SOFTWARE, None
