"""A transport that reads on for a while after it was closed, so that no answer is lost to a reset.

A socket that is closed with bytes unread, or that gets bytes after its close, resets its
connection. Callers that are still writing then give up, and never read the answer before it
(RFC 9112, section 9.6).
"""

import asyncio
from collections.abc import Callable
from typing import Any

# Seconds without a byte after which a closed connection ends though its peer has not ended it, and
# the seconds and bytes for which it is read on at most.
IDLE_SECONDS = 2.0
MAX_SECONDS = 5.0
MAX_BYTES = 16 * 1024 * 1024


class LingeringTransport:
    """A transport whose close sends what is unsent, then ends only its sending side.

    What arrives after that is dropped. The transport ends with its peer's side, or at one of the
    limits, and is closing for its users all the while. ``on_close`` is called as it is closed.
    ``written`` is the number of bytes that were written to it.
    """

    def __init__(self, transport: asyncio.Transport, on_close: Callable[[], None]):
        self._transport = transport
        self._on_close = on_close
        self._loop = asyncio.get_running_loop()
        self._closed_at: float | None = None
        self._last_byte_at = 0.0
        self._dropped_bytes = 0
        self.written = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    @property
    def lingers(self) -> bool:
        """Whether this transport was closed and still reads."""
        return self._closed_at is not None and not self._transport.is_closing()

    def is_closing(self) -> bool:
        """Return whether this transport was closed or has ended."""
        return self._closed_at is not None or self._transport.is_closing()

    def write(self, data: bytes) -> None:
        """Send bytes; after a close they are dropped, as by any closed transport."""
        if self._closed_at is None:
            self.written += len(data)
            self._transport.write(data)

    def close(self) -> None:
        """Send what is unsent and end the sending side; read on and drop what arrives."""
        if self.is_closing():
            return
        self._closed_at = self._last_byte_at = self._loop.time()
        self._transport.write_eof()
        self._transport.resume_reading()
        self._loop.call_later(IDLE_SECONDS, self._check)
        self._on_close()

    def end(self) -> None:
        """End the connection once what is unsent has been sent."""
        self._transport.close()

    def drop(self, data: bytes) -> None:
        """Drop what has arrived after the close; end the connection at the limit of bytes."""
        self._last_byte_at = self._loop.time()
        self._dropped_bytes += len(data)
        if self._dropped_bytes > MAX_BYTES:
            self._transport.close()

    def _check(self) -> None:
        """End the connection at a limit of time, or check again at the next one.

        The time during which answers are sent does not count.
        """
        if not self.lingers or self._closed_at is None:
            return
        now = self._loop.time()
        if self._transport.get_write_buffer_size():
            self._closed_at = self._last_byte_at = now
        ends_at = min(self._last_byte_at + IDLE_SECONDS, self._closed_at + MAX_SECONDS)
        if now >= ends_at:
            self._transport.close()
        else:
            self._loop.call_later(ends_at - now, self._check)
