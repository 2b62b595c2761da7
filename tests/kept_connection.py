"""A caller's connection, written and read byte by byte, that is kept for many requests."""

import asyncio
import socket
from dataclasses import dataclass, field

# Bytes that a slow reader takes at once.
SLOW_PART_BYTES = 8192
# Receive buffer of a slow reader, and the segments of an Ethernet link.
SLOW_BUFFER_BYTES = 65536
SEGMENT_BYTES = 1460


@dataclass(frozen=True)
class Answer:
    """What a caller got: ``whole`` if its end arrived. The status is 0 without a whole head."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False

    @property
    def closes(self):
        """Return whether the connection ends with this answer."""
        return not self.whole or self.headers.get("connection") == "close"


class KeptConnection:
    """``slow_rate`` is how many bytes a second it reads, 0 for as many as there are."""

    def __init__(self, reader, writer, slow_rate=0):
        self._reader = reader
        self._writer = writer
        self._slow_rate = slow_rate

    @classmethod
    async def open(cls, address, slow_rate=0):
        ip, port = address.split(":")
        if not slow_rate:
            return cls(*await asyncio.open_connection(ip, int(port)))
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (ip, int(port)))
        streams = await asyncio.open_connection(sock=sock, limit=SLOW_PART_BYTES)
        return cls(*streams, slow_rate)

    def send(self, raw):
        self._writer.write(raw)

    def stop_reading(self):
        """Leave what comes from now on in the kernel's buffers, until these are full."""
        self._writer.transport.pause_reading()

    def close(self):
        self._writer.close()

    async def read_answer(self):
        """Read one answer until its end, or that of the connection."""
        body = bytearray()
        status, headers = 0, {}
        try:
            status, headers = await self._read_head()
            if "content-length" in headers:
                await self._read(int(headers["content-length"]), body)
            else:
                await self._read_chunks(body)
        except (ConnectionError, asyncio.IncompleteReadError):
            return Answer(status, headers, bytes(body))
        return Answer(status, headers, bytes(body), True)

    async def _read_head(self):
        raw = await self._reader.readuntil(b"\r\n\r\n")
        first, *rows = raw.decode("latin-1").split("\r\n")
        headers = dict(row.lower().split(": ", 1) for row in rows if row)
        return int(first.split(" ")[1]), headers

    async def _read_chunks(self, body):
        size = -1
        while size:
            size = int(await self._reader.readuntil(b"\r\n"), 16)
            await self._read(size, body)
            await self._reader.readexactly(2)

    async def _read(self, size, body):
        while size:
            part = await self._reader.read(min(size, SLOW_PART_BYTES))
            if not part:
                raise asyncio.IncompleteReadError(b"", size)
            body += part
            size -= len(part)
            if self._slow_rate:
                await asyncio.sleep(len(part) / self._slow_rate)


def make_request(path, attempt, deadline_ms, model="", body=b"", **headers):
    """Return the bytes of a request; one with a model is a prompt."""
    rows = {
        "host": "shop.example",
        "x-attempt-id": attempt,
        "x-deadline-ms": str(deadline_ms),
        "content-length": str(len(body)),
    }
    if model:
        rows |= {"x-model": model, "x-token-counts": "900,20", "x-prompt-prefix": "aa:600,bb:300"}
    rows |= {name.replace("_", "-"): value for name, value in headers.items()}
    head = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
    return f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body
