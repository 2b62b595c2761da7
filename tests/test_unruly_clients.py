"""Clients that keep to no limit, against the system's own processes.

Small crowds send and never read. Checked is what doesn't depend on the machine's speed: the process
lives, its memory and open descriptors stay under a bound, and an ordinary request is served.
"""

import asyncio
import json
import socket
import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path

import aiohttp
from nose2.tools import params

from extras.fleet_processes import Deployment
from extras.samples import HANEUL
from extras.soak.deployment import HostProcess
from tests.relay.deployment import CONFIG
from tests.standins.runner import RunnerStandin
from tests.standins.tables import TableStandin
from tests.test_processes import HOST_OPTIONS, request_completion

# The memory of a host's machine, which its process may not pass, in MB.
MEMORY_MB = 150
# Descriptors that a process may have open beside the crowd's connections.
OTHER_DESCRIPTORS = 100
# The descriptors that a host's machine has.
MAX_DESCRIPTORS = 200
CONNECTIONS = 8
MANY_CONNECTIONS = 300
MB = 1_000_000
# Bytes that a client sends at a time, and seconds without one taken after which it sends no more.
BLOCK_BYTES = 65536
STALL_SECONDS = 1.0
# Seconds within which a request must be answered at all.
ANSWER_SECONDS = 30.0
HOST = b"host: shop.example\r\n"
POST = b"POST /fetch/a HTTP/1.1\r\n" + HOST
CHUNKED = POST + b"x-attempt-id: a1\r\nx-deadline-ms: 6000\r\ntransfer-encoding: chunked\r\n\r\n"
NO_ID = b"GET /fetch/a HTTP/1.1\r\n" + HOST + b"\r\n"
NO_ROUTE = b"GET / HTTP/1.1\r\n" + HOST + b"\r\n"
WITH_ID = POST + b"x-attempt-id: a1\r\nx-deadline-ms: 6000\r\n\r\n"
WITH_BODY = POST + b"x-attempt-id: a1\r\ncontent-length: 200000\r\n\r\n" + b"x" * 200_000
EXPECTS = POST + b"x-attempt-id: a1\r\nexpect: 100-continue\r\ncontent-length: 0\r\n\r\n"
LINK_HEAD = (
    b"GET / HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\nconnection: upgrade\r\n"
    b"sec-websocket-version: 13\r\nsec-websocket-key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
)
# The head of a binary frame of 19 MB with a mask of zeros.
LONG_FRAME = b"\x82\xff" + (19 * MB).to_bytes(8, "big") + bytes(4)


@dataclass(frozen=True)
class Crowd:
    """Clients that send ``begin`` and then ``unit`` over and over, ``sent_bytes`` each at most."""

    begin: bytes
    unit: bytes
    sent_bytes: int
    connections: int = CONNECTIONS


HEADER_LINE = Crowd(POST + b"x: ", b"a", 24 * MB)
HEADER_LINES = Crowd(POST, b"x: a\r\n", 6 * MB)
AHEAD = Crowd(b"", NO_ID, MB // 2)
CROWDS = (
    ("a header line without end", "front", HEADER_LINE),
    ("header lines without end", "front", HEADER_LINES),
    (
        "many heads of short lines, not ended",
        "front",
        Crowd(POST, b"a:\r\n", 16_000, MANY_CONNECTIONS),
    ),
    ("a path without end", "front", Crowd(b"GET /", b"a", 24 * MB)),
    ("a trailer line without end", "front", Crowd(CHUNKED + b"0\r\nx: ", b"a", 24 * MB)),
    ("trailer lines without end", "front", Crowd(CHUNKED + b"0\r\n", b"x: a\r\n", 6 * MB)),
    ("requests ahead without an id", "front", AHEAD),
    ("requests ahead for no route", "front", Crowd(b"", NO_ROUTE, MB // 2)),
    ("requests ahead with id and deadline", "front", Crowd(b"", WITH_ID, MB)),
    ("requests ahead that expect a 100", "front", Crowd(b"", EXPECTS, MB)),
    ("requests ahead with long bodies", "front", Crowd(b"", WITH_BODY, 24 * MB)),
    ("requests ahead on many connections", "front", Crowd(b"", NO_ID, 8000, MANY_CONNECTIONS)),
    ("bodies in chunks of one byte", "front", Crowd(CHUNKED, b"1\r\nx\r\n", 6 * MB)),
    ("a header line without end", "ready", HEADER_LINE),
    ("requests ahead", "ready", Crowd(b"", b"GET /v1/ready HTTP/1.1\r\nhost: a\r\n\r\n", MB // 2)),
    ("a header line without end", "directory", HEADER_LINE),
    ("requests ahead", "directory", Crowd(b"", b"GET /v1/resolve HTTP/1.1\r\n\r\n", MB // 2)),
    ("a header line without end", "relay", HEADER_LINE),
    ("requests ahead", "relay", AHEAD),
    ("a header line without end", "control", HEADER_LINE),
    ("requests ahead", "control", AHEAD),
    ("long frames before the handshake", "control", Crowd(LINK_HEAD + LONG_FRAME, b"x", 18 * MB)),
)
# What takes no memory, but is read for as long as it comes.
ENDLESS = (
    ("empty lines before a request", Crowd(b"", b"\r\n", 40 * MB)),
    ("empty lines behind a request", Crowd(WITH_ID, b"\n", 40 * MB)),
    ("a chunk extension", Crowd(CHUNKED + b"1;", b"a", 40 * MB)),
    ("zeros of a chunk's size", Crowd(CHUNKED, b"0", 40 * MB)),
)
# More connections than a host may have descriptors.
IDLE = Crowd(b"", b"x", 0, MANY_CONNECTIONS)
CONNECTED = (
    ("that send nothing", "front", IDLE),
    ("with half a head", "front", Crowd(POST, b"x", 0, MANY_CONNECTIONS)),
    ("that are kept after an answer", "front", Crowd(WITH_ID, b"x", 0, MANY_CONNECTIONS)),
    ("that send nothing", "ready", IDLE),
    ("that send nothing", "directory", IDLE),
    ("that send nothing", "relay", IDLE),
    ("that send nothing", "control", IDLE),
    ("without a handshake", "control", Crowd(LINK_HEAD, b"x", 0, MANY_CONNECTIONS)),
)
OWN_CROWDS = (
    ("a header line without end", Crowd(b"GET / HTTP/1.1\r\nx: ", b"a", 24 * MB)),
    ("trailer lines without end", Crowd(CHUNKED + b"0\r\n", b"x: a\r\n", 6 * MB)),
    ("requests ahead", Crowd(b"", b"GET /v1/models HTTP/1.1\r\n\r\n", MB // 2)),
)


class Client:
    """One client of a crowd."""

    def __init__(self, address):
        self._address = address
        self._sock = socket.socket()
        self._sock.setblocking(False)
        self.sent_all = False

    async def send(self, crowd):
        """Send until all is sent, the connection is closed, or nothing is taken any more."""
        loop = asyncio.get_running_loop()
        block = crowd.unit * max(1, BLOCK_BYTES // len(crowd.unit))
        left = crowd.sent_bytes
        try:
            await loop.sock_connect(self._sock, self._address)
            await loop.sock_sendall(self._sock, crowd.begin)
            while left > 0:
                part = block[:left] if left < len(block) else block
                await asyncio.wait_for(loop.sock_sendall(self._sock, part), STALL_SECONDS)
                left -= len(part)
            self.sent_all = True
        except (OSError, TimeoutError):
            return

    def close(self):
        self._sock.close()


async def play(crowd, address):
    """Let a crowd send, and return its clients, which keep their connections."""
    ip, port = address.split(":")
    clients = [Client((ip, int(port))) for _ in range(crowd.connections)]
    await asyncio.gather(*(client.send(crowd) for client in clients))
    return clients


def read_peak_mb(pid):
    """Return the most memory that a process has had, in MB."""
    rows = Path(f"/proc/{pid}/status").read_text().splitlines()
    [row] = [row for row in rows if row.startswith("VmHWM:")]
    return int(row.split()[1]) * 1024 / MB


def count_descriptors(pid):
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


class HostTest(unittest.TestCase):
    """Guards against hosts that end, or serve nobody, by what clients send."""

    @params(*CROWDS)
    def test_a_host_bears_a_crowd(self, name, listener, crowd):
        asyncio.run(self._play(listener, crowd))

    @params(*ENDLESS)
    def test_a_host_does_not_read_without_end(self, name, crowd):
        clients = asyncio.run(self._play("front", crowd))
        self.assertFalse(any(client.sent_all for client in clients))

    @params(*CONNECTED)
    def test_a_host_has_descriptors_left_under_connections(self, name, listener, crowd):
        asyncio.run(self._play(listener, crowd, MAX_DESCRIPTORS))

    async def _play(self, listener, crowd, descriptors=0):
        with tempfile.TemporaryDirectory() as folder:
            store = await TableStandin().start()
            page = await RunnerStandin("p1").start()
            store.put("servers", "p1", page.entry("pages"))
            store.put("op", "config", json.dumps(CONFIG).encode())
            host = HostProcess("h0", Path(folder))
            limits = {"memory_mb": MEMORY_MB, "max_fds": descriptors or 4100}
            host.write_settings(store.address, [], limits)
            host.start()
            try:
                await self._send_ordinary(host, "before")
                address = f"127.0.0.1:{host.relay_port}"
                address = address if listener == "relay" else host.address(listener)
                clients = await play(crowd, address)
                descriptors = descriptors or crowd.connections + OTHER_DESCRIPTORS
                await self._check(host, descriptors)
                for client in clients:
                    client.close()
                await self._send_ordinary(host, "after")
                self.assertTrue(host.is_running)
                return clients
            finally:
                host.signal(9)
                await host.wait(1.0)
                await page.stop()
                await store.stop()

    async def _check(self, host, descriptors):
        """Check a host while the crowd keeps its connections."""
        self.assertTrue(host.is_running)
        await self._send_ordinary(host, "amid")
        self.assertLess(read_peak_mb(host.pid), MEMORY_MB)
        self.assertLess(count_descriptors(host.pid), descriptors)

    async def _send_ordinary(self, host, attempt):
        """Send a request until it is answered with success."""
        headers = {"host": "shop.example", "x-attempt-id": attempt, "x-deadline-ms": "6000"}
        url = f"http://{host.address('front')}/fetch/x"
        async with asyncio.timeout(ANSWER_SECONDS), aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.post(url, headers=headers) as resp:
                        if resp.status == 200:
                            return
                except aiohttp.ClientError:
                    self.assertTrue(host.is_running)
                await asyncio.sleep(0.1)


class OwnInterfaceTest(unittest.TestCase):
    """Guards against daemons that end, or serve nobody, by what clients send."""

    def setUp(self):
        self.deployment = Deployment(HANEUL, 2, 1, 1, host_options=HOST_OPTIONS)
        self.addCleanup(self.deployment.stop)
        self.deployment.start()
        document = self.deployment.manifest()
        document |= {"models": [document["models"][0] | {"copies": 1}], "adapters": []}
        self.deployment.wait_converged(self.deployment.publish(document)["generation"])

    @params(*OWN_CROWDS)
    def test_a_daemon_bears_a_crowd(self, name, crowd):
        host = self.deployment.hosts["host-0"]
        self.assertEqual(200, request_completion(host.url)[0])
        clients = asyncio.run(play(crowd, host.url.removeprefix("http://")))
        self.assertEqual(200, request_completion(host.url)[0])
        self.assertLess(read_peak_mb(host.child.pid), MEMORY_MB)
        descriptors = count_descriptors(host.child.pid)
        self.assertLess(descriptors, crowd.connections + OTHER_DESCRIPTORS)
        for client in clients:
            client.close()
        self.assertEqual(200, request_completion(host.url)[0])
        self.assertIsNone(host.child.poll())
