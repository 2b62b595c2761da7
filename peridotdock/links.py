"""One link to another host, and what waits to be sent over it."""

import asyncio
import math
from dataclasses import replace

from websockets.asyncio.connection import Connection

from peridotdock.board import Slot
from peridotdock.frames import encode
from peridotdock.schema.messages import Hello, Rows

# Seconds for which rows that were written for one link are sent over others as they are. Their age
# is overstated by as much, so that nobody takes an old view for a new one.
WRITTEN_SECONDS = 0.02


class WaitingRows:
    """Rows of the store that wait on links, written once for all links that are written to now.

    The host that reads the store tells of two tables each 0.3 s: over 82 links that is 550 frames a
    second.
    """

    def __init__(self, frame: Rows, since: float):
        self._frame = frame
        self._since = since
        self._raw = b""
        self._until = float("-inf")

    def write(self, now: float) -> bytes:
        """Return the frame; what the rows waited here counts to their age."""
        if now > self._until:
            self._until = now + WRITTEN_SECONDS
            waited = math.ceil((self._until - self._since) * 1000)
            self._raw = encode(replace(self._frame, age=self._frame.age + waited))
        return self._raw


class Link:
    """One connection to a peer that has proved who it is.

    ``direct`` are the hosts that the peer says it has links to: it hears of them without this host.
    ``dialled`` tells which side asked for the link, ``address`` which one this side dialled,
    ``released`` that it is not wanted any more. ``echo`` is set until the peer was told what is
    known of an earlier life of its name. ``sending_at`` is when a send began that is not done yet.
    """

    def __init__(self, conn: Connection, peer: Hello, dialled: bool, address: str = ""):
        self.conn = conn
        self.peer = peer
        self.dialled = dialled
        self.address = address
        self.direct: frozenset[str] = frozenset()
        self.dirty: set[Slot] = set()
        self.wake = asyncio.Event()
        self.heard_at = 0.0
        self.sent_at = 0.0
        self.sending_at: float | None = None
        self.up_at = 0.0
        self.rows: list[WaitingRows] = []
        self.released = False
        self.echo = True

    def concerns(self, slot: Slot) -> bool:
        """Tell whether to send a fact: not the peer's own, but for its name's earlier life."""
        origin, topic = slot
        return origin != self.peer.host or (self.echo and topic == "host")
