"""Loopback ports for processes that restart on the same port."""

import itertools
import os
import socket
from collections.abc import Iterator

# The range lies below the ephemeral ports of outgoing connections. Failure guarded against: while a
# host is down, a connection uses its port, and the host can't bind to it again.
FIRST_PORT, LAST_PORT = 10_000, 30_000
# Test processes that run at the same time start their search this many ports apart.
PORTS_PER_PROCESS = 499
# Names one of the parts of the range for a process and those that it starts. Failure guarded
# against: two test processes find the same port free, and one of them can't bind to it.
PART_VARIABLE = "PERIDOTDOCK_TEST_PORTS"
PARTS = 8


def walk_ports(part: str | None, start: int) -> Iterator[int]:
    """Yield the ports of a part of the range, of all of it without one, again and again."""
    size = LAST_PORT - FIRST_PORT
    first = FIRST_PORT
    if part is not None:
        size //= PARTS
        first += int(part) % PARTS * size
    for offset in itertools.count(start):
        yield first + offset % size


PORTS = walk_ports(os.environ.get(PART_VARIABLE), os.getpid() * PORTS_PER_PROCESS)


def free_port() -> int:
    """Return a port that nothing listens on and that the kernel gives to no outgoing connection."""
    for port in PORTS:
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) != 0:
                return port
    raise AssertionError("the ports never end")
