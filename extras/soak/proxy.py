"""A loopback TCP proxy that injects network faults."""

import asyncio
import contextlib
import socket
import struct

DELAY_SECONDS = 0.15
READ_BYTES = 65536
# Kernel buffers for what goes to the target: a device on the way acknowledges nothing, and a proxy
# that takes much ahead would hide from a client that the target has not received it.
BUFFER_BYTES = 65536
# Longest time, in seconds, from the write of an answer by the target to its arrival at the proxy.
TRANSIT_SECONDS = 0.1
# Modes that drop bytes.
CUTTING_MODES = frozenset({"silence", "one_way"})
# SO_LINGER with a time of 0: closing the socket sends RST instead of FIN.
RESET = struct.pack("ii", 1, 0)


class Proxy:
    """Forwards connections to one target; ``mode`` is one of :attr:`MODES`.

    ``delay`` holds each chunk back for DELAY_SECONDS, ``silence`` reads bytes and drops them, and
    ``one_way`` drops answers alone. A connection that has dropped bytes stays silent when the mode
    ends, as if a device on the way had lost its state; new connections work. ``cuts`` are the times
    of the loop from and until which connections were cut: reset, or silent in a direction.
    """

    MODES = ("pass", "delay", "silence", "one_way")

    def __init__(self, target: str):
        ip, _, port = target.rpartition(":")
        self._target = ip, int(port)
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._silent_since: dict[int, float] = {}
        self.mode = "pass"
        self.cuts: list[tuple[float, float]] = []

    def lost(self, port: int, at: float) -> bool:
        """Return whether the proxy dropped an answer that the target wrote at a time of the loop.

        ``port`` is the proxy's port of the connection to the target.
        """
        since = self._silent_since.get(port)
        return since is not None and at >= since - TRANSIT_SECONDS

    async def start(self) -> "Proxy":
        """Listen on a free port and set ``address`` to it, as IP:PORT."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        sock.bind(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=sock)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        return self

    async def stop(self) -> None:
        """Close the listener and all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset(self) -> None:
        """Reset all open connections."""
        now = asyncio.get_running_loop().time()
        self.cuts.append((now, now))
        for writer in list(self._writers):
            reset_on_close(writer)
            writer.transport.abort()

    async def play(self, mode: str, seconds: float) -> None:
        """Take a mode for some seconds."""
        since = asyncio.get_running_loop().time()
        self.mode = mode
        await asyncio.sleep(seconds)
        self.mode = "pass"
        if mode in CUTTING_MODES:
            self.cuts.append((since, asyncio.get_running_loop().time()))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        ends = [writer]
        try:
            there, back = await asyncio.open_connection(*self._target)
            ends.append(back)
            sock = back.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
            self._writers.update(ends)
            port = back.get_extra_info("sockname")[1]
            await asyncio.gather(self._copy(reader, back), self._copy(there, writer, port))
        except ConnectionResetError:
            # A network passes a reset on, which a closed connection would hide from its peer.
            for end in ends:
                reset_on_close(end)
        except OSError:
            # The other end was closed; closing both ends below passes this on.
            pass
        finally:
            self._tasks.discard(task)
            for end in ends:
                self._writers.discard(end)
                end.transport.abort()

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, port: int | None = None
    ) -> None:
        """Copy bytes to the writer; ``port`` is given for the direction of answers alone."""
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


def reset_on_close(writer: asyncio.StreamWriter) -> None:
    """Let the close of a connection reset it."""
    with contextlib.suppress(OSError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
