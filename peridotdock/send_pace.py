"""How fast the caller at the end of a connection takes what is sent."""

from collections.abc import Callable

# Bytes of an answer from which it tells how fast its caller takes them: fewer fit into the buffers
# of kernels on the way.
MIN_BYTES = 256 * 1024


class SendPace:
    """The pace of one connection: how long a byte waited to be sent, in its latest long answer.

    The time in which the server has nothing to send does not count. ``now`` returns seconds.
    """

    def __init__(self, now: Callable[[], float]):
        self._now = now
        self._blocked_at: float | None = None
        self._blocked_seconds = 0.0
        self._sent = 0
        self.seconds_per_byte = 0.0

    def block(self) -> None:
        """Record that no more bytes may be written."""
        if self._blocked_at is None:
            self._blocked_at = self._now()

    def unblock(self) -> None:
        """Record that bytes may be written again."""
        if self._blocked_at is not None:
            self._blocked_seconds += self._now() - self._blocked_at
            self._blocked_at = None

    def is_due(self, written: int) -> bool:
        """Return whether enough has been written since the last record to tell the pace."""
        return written - self._sent >= MIN_BYTES

    def record(self, sent: int) -> None:
        """Record how many bytes have left over the connection, as an answer has been written."""
        now = self._now()
        if self._blocked_at is not None:
            self._blocked_seconds += now - self._blocked_at
            self._blocked_at = now
        size = sent - self._sent
        if size > 0:
            self.seconds_per_byte = self._blocked_seconds / size
            self._sent, self._blocked_seconds = sent, 0.0
