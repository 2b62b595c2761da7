"""A loopback proxy that harms the connections through it."""

import asyncio
import contextlib
import socket
import struct

DELAY_SECONDS = 0.15
READ_BYTES = 65536
# Seconds that an answer may take from the target's write to here.
TRANSIT_SECONDS = 0.1
# Closing with this option and unread bytes sends a reset in place of an end.
RESET = struct.pack("ii", 1, 0)


class Proxy:
    """Listens on loopback for one address; ``mode`` is a word of :attr:`MODES`.

    ``delay`` holds each piece back, ``silence`` takes bytes and passes none on, ``one_way`` does so
    with answers alone. Silent connections stay silent when the mode ends, as if something on the
    way had lost track of them, while new ones work.
    """

    MODES = ("pass", "delay", "silence", "one_way")

    def __init__(self, target: str):
        ip, _, port = target.rpartition(":")
        self._target = ip, int(port)
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._silent_since: dict[int, float] = {}
        self.mode = "pass"

    def lost(self, port: int, at: float) -> bool:
        """Tell whether an answer that the target wrote then was not passed on.

        ``port`` is the one at this end of its connection, ``at`` a time of the loop.
        """
        since = self._silent_since.get(port)
        return since is not None and at >= since - TRANSIT_SECONDS

    async def start(self) -> "Proxy":
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        return self

    async def stop(self) -> None:
        """Close everything."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all connections that are open now."""
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        ends = [writer]
        try:
            there, back = await asyncio.open_connection(*self._target)
            ends.append(back)
            self._writers.update(ends)
            port = back.get_extra_info("sockname")[1]
            await asyncio.gather(self._copy(reader, back), self._copy(there, writer, port))
        except OSError:
            # The other end is gone or was reset: this end is told so by the close below.
            pass
        finally:
            self._tasks.discard(task)
            for end in ends:
                self._writers.discard(end)
                end.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, port: int | None = None
    ) -> None:
        """Pass bytes on; ``port`` is given where they are answers."""
        silent, answers = False, port is not None
        while part := await reader.read(READ_BYTES):
            silent = silent or self.mode == "silence" or (self.mode == "one_way" and answers)
            if silent and answers:
                self._silent_since.setdefault(port, asyncio.get_running_loop().time())
            if silent:
                continue
            if self.mode == "delay":
                await asyncio.sleep(DELAY_SECONDS)
            writer.write(part)
            await writer.drain()
        if not silent:
            writer.write_eof()
