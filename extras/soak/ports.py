"""Ports for processes of this machine that come back at the same port."""

import itertools
import os
import socket

# Below the ports that the kernel gives to connections that go out. Failure guarded against: a host
# is down, a connection takes its port meanwhile, and the host can't come back.
FIRST_PORT, LAST_PORT = 10_000, 30_000
# Runs of several processes begin to look this far apart.
PORTS_PER_PROCESS = 50
PORT_OFFSETS = itertools.count(os.getpid() * PORTS_PER_PROCESS)


def free_port() -> int:
    """Return a port that nothing listens on now and no connection will take."""
    while True:
        port = FIRST_PORT + next(PORT_OFFSETS) % (LAST_PORT - FIRST_PORT)
        with socket.socket() as sock:
            if sock.connect_ex(("127.0.0.1", port)) != 0:
                return port
