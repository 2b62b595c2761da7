"""Each host's own way to each endpoint, so that single hosts can be cut off from all of them.

A host reaches the endpoint at 127.0.0.1:PORT through a gate at an address of its own,
127.0.1.NUMBER:PORT. What it reads of an endpoint names the gate in place of the endpoint.
"""

import asyncio
import socket
from dataclasses import replace

from extras.soak.proxy import Proxy
from peridotdock.errors import Failure, failed
from peridotdock.platform.adapter import PlatformAdapter
from peridotdock.platform.endpoints import decode_endpoint
from peridotdock.relay.requests import EndpointEntry

# Pending connections that fill the accept queue of a listener that accepts none.
QUEUE_FILLERS = 4


def gate_ip(number: int) -> str:
    """Return the address at which host ``number`` finds its gates."""
    return f"127.0.1.{number + 1}"


class GatedAdapter(PlatformAdapter):
    """An adapter for one host, whose endpoints are behind its gates."""

    def __init__(self, ip: str):
        self._ip = ip

    def decode_endpoint(self, endpoint_id: str, raw: bytes) -> EndpointEntry | Failure:
        """Decode an endpoint's entry and replace its IP address."""
        entry = decode_endpoint(endpoint_id, raw)
        if failed(entry):
            return entry
        port = entry.address.rpartition(":")[2]
        return replace(entry, address=f"{self._ip}:{port}")


class Gate(Proxy):
    """One host's way to one endpoint; ``cut`` takes one of :attr:`WAYS`.

    ``hang``: open connections fall silent for good, and new ones are neither made nor refused.
    ``reset``: open connections are reset and new ones refused. ``refuse``: open connections live
    on, and new ones are refused.
    """

    WAYS = ("hang", "reset", "refuse")

    def __init__(self, target: str, ip: str):
        super().__init__(target)
        self._address = ip, self._target[1]
        self._fillers: list[socket.socket] = []

    async def start(self) -> "Gate":
        """Listen at the gate's address."""
        self._server = await asyncio.start_server(self._serve, *self._address)
        self.address = "{}:{}".format(*self._address)
        return self

    async def stop(self) -> None:
        """Close the listener, all connections and the sockets of a cut."""
        await super().stop()
        self._close_fillers()

    def cut(self, way: str) -> None:
        """Cut the host off from the endpoint, until :meth:`mend` is called."""
        self._server.close()
        if way == "reset":
            self.reset()
        elif way == "hang":
            self.mode = "silence"
            self._fill_queue()

    async def mend(self) -> None:
        """Let new connections through again."""
        self._close_fillers()
        self.mode = "pass"
        self._server = await asyncio.start_server(self._serve, *self._address)

    def _fill_queue(self) -> None:
        """Bind a listener that accepts nothing, and fill its queue."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self._address)
        listener.listen(0)
        self._fillers.append(listener)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._address)
            self._fillers.append(filler)

    def _close_fillers(self) -> None:
        while self._fillers:
            self._fillers.pop().close()
