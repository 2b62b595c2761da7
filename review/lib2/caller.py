"""A sound caller that reads an answer byte by byte and knows whether its end arrived."""

import asyncio
from dataclasses import dataclass, field

CONNECT_SECONDS = 1.0
END_OF_CHUNKS = b"\r\n0\r\n\r\n"


@dataclass
class Answer:
    """What a caller got. ``whole`` is set if the answer ended as HTTP says that it ends.

    ``how`` is what ended the reading: ``whole``, ``closed``, ``reset``, ``gap``, ``left``, or
    ``refused`` if there was no connection.
    """

    attempt: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    how: str = "refused"

    @property
    def whole(self) -> bool:
        """Whether the end of the answer arrived."""
        return self.how == "whole"

    @property
    def ids(self) -> list[int]:
        """The ids of the events in the body."""
        rows = self.body.split(b"\n")
        return [int(row[4:]) for row in rows if row.startswith(b"id: ")]


def make_head(
    path: str, attempt: str, deadline_ms: int, headers: dict[str, str], length: int
) -> bytes:
    """Return the head of a request with a body of ``length`` bytes."""
    rows = {
        "host": "shop.example",
        "x-attempt-id": attempt,
        "x-deadline-ms": str(deadline_ms),
        "content-length": str(length),
    } | headers
    text = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
    return f"POST {path} HTTP/1.1\r\n{text}\r\n".encode()


def prompt_headers(attempt: str) -> dict[str, str]:
    """Return the headers of a prompt for the model m0."""
    return {
        "x-model": "m0",
        "x-token-counts": "900,400",
        "x-prompt-prefix": f"aa:600,{attempt.encode().hex()}:300",
    }


def read_chunks(raw: bytes) -> tuple[bytes, bool]:
    """Return the body in some chunks, and whether the last chunk is among them."""
    body = b""
    while b"\r\n" in raw:
        line, rest = raw.split(b"\r\n", 1)
        size = int(line, 16)
        if not size:
            return body, rest.startswith(b"\r\n")
        if len(rest) < size + 2:
            return body + rest[:size], False
        body, raw = body + rest[:size], rest[size + 2 :]
    return body, False


def parse(attempt: str, raw: bytes) -> Answer:
    """Return the answer in what was read so far."""
    if b"\r\n\r\n" not in raw:
        return Answer(attempt, how="closed")
    head, rest = raw.split(b"\r\n\r\n", 1)
    first, *rows = head.decode("latin-1").split("\r\n")
    headers = {k.lower(): v for k, v in (row.split(": ", 1) for row in rows)}
    if "content-length" in headers:
        length = int(headers["content-length"])
        body, whole = rest[:length], len(rest) >= length
    else:
        body, whole = read_chunks(rest)
    how = "whole" if whole else "closed"
    return Answer(attempt, int(first.split(" ")[1]), headers, body, how)


async def call(
    address: str,
    path: str,
    attempt: str,
    headers: dict[str, str],
    deadline_ms: int = 15_000,
    gap_seconds: float = 15.0,
    leaves: asyncio.Event | None = None,
    body: bytes = b"",
) -> Answer:
    """Send a request on a new connection and read its answer.

    The caller leaves after ``gap_seconds`` without a byte, or once ``leaves`` is set.
    """
    ip, port = address.split(":")
    try:
        async with asyncio.timeout(CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(ip, int(port))
    except (OSError, TimeoutError):
        return Answer(attempt)
    raw, how = b"", ""
    try:
        writer.write(make_head(path, attempt, deadline_ms, headers, len(body)) + body)
        while not how and not parse(attempt, raw).whole:
            async with asyncio.timeout(gap_seconds):
                part = await reader.read(65536)
            raw += part
            how = "closed" if not part else "left" if leaves and leaves.is_set() else ""
    except TimeoutError:
        how = "gap"
    except OSError:
        how = "reset"
    finally:
        writer.close()
    answer = parse(attempt, raw)
    if not answer.whole and how:
        answer.how = how
    return answer
