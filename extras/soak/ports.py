"""Loopback ports for processes that restart on the same port."""

import itertools
import os
import socket

# The range lies below the ephemeral ports of outgoing connections. Failure guarded against: while a
# host is down, a connection uses its port, and the host can't bind to it again.
FIRST_PORT, LAST_PORT = 10_000, 30_000
# Test processes that run at the same time start their search this many ports apart.
PORTS_PER_PROCESS = 499
PORT_OFFSETS = itertools.count(os.getpid() * PORTS_PER_PROCESS)


def free_port() -> int:
    """Return a port that nothing listens on and that the kernel gives to no outgoing connection."""
    while True:
        port = FIRST_PORT + next(PORT_OFFSETS) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) != 0:
                return port
