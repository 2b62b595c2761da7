"""Stand-ins for the platform: its store, runners, consumers and the supervisor of processes.

They use the standard library alone. Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
MAX_FEED_WAIT_SECONDS = 30.0
READY_SECONDS = 30.0
RESTART_SECONDS = 0.5
MEMORY_CHECK_SECONDS = 0.02
READ_BYTES = 65536
FIRST_PORT, LAST_PORT = 10_000, 30_000
USED_PORTS = set()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {
    "stable_window_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "back_ms": 250,
    "outer_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 58,
    "recover_s": 12,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "ceiling_window_s": 5,
    "ceiling_over": 1.1,
    "ttl_max_s": 5,
}
LIMITS = {
    "cpu_share": 0.537,
    "cores": 2,
    "memory_mb": 300,
    "max_fds": 4100,
    "link_mbps": 1000.0,
    "disk_mb": 0,
}


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()

    def add(self, text):
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


async def read_head(reader):
    """Return the first line and the headers of an HTTP message, None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    line, *rows = raw.decode("latin-1").split("\r\n")
    headers = {}
    for row in rows:
        if row:
            name, _, value = row.partition(":")
            headers[name.strip().lower()] = value.strip()
    return line, headers


def make_answer(status, body, headers=None):
    """Return the bytes of an answer."""
    rows = {"content-length": str(len(body))} | (headers or {})
    head = "".join(f"{name}: {value}\r\n" for name, value in rows.items())
    return f"HTTP/1.1 {status} Status\r\n{head}\r\n".encode() + body


class Listener:
    """An asyncio server on a free loopback port."""

    def __init__(self):
        self._tasks = set()

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._run, "127.0.0.1", 0, limit=READ_BYTES)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())
        return self

    async def stop(self):
        """Close the listener and all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # Python 3.11 logs the end of a handler by cancellation as an error.
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


class Store(Listener):
    """The platform's store: rows, transactions and feeds of the empty part."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self._changed = asyncio.Event()

    def put(self, table, key, value):
        """Write a row, as the operator and runners do."""
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        self.rows[table, key] = (base64.b64encode(raw).decode(), self.version)
        self._notify()

    def remove(self, table, key):
        """Remove a row."""
        self.version += 1
        self.rows[table, key] = (None, self.version)
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _now(self):
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    async def serve(self, reader, writer):
        """Serve one connection."""
        while (head := await read_head(reader)) is not None:
            line, headers = head
            method, target, _ = line.split(" ")
            body = await reader.readexactly(int(headers.get("content-length", 0)))
            parts = urlsplit(target)
            query = {name: rows[0] for name, rows in parse_qs(parts.query).items()}
            status, found = await self._answer(method, parts.path, query, body)
            raw = json.dumps(found).encode()
            writer.write(make_answer(status, raw, {"content-type": "application/json"}))
            await writer.drain()

    async def _answer(self, method, path, query, body):
        if path == "/v1/rows-tx":
            return self._transact(json.loads(body))
        if path == "/v1/rows-get":
            return 200, self._get(query)
        if path == "/v1/rows-feed":
            return 200, await self._feed(query)
        return 404, {}

    def _transact(self, body):
        entries = [*body.get("set_keys", ()), *body.get("remove", ())]
        if any(row["table"] in ("op", "servers") for row in entries):
            return 403, {}
        expected = body.get("expected", ())
        known = [self._row(row["table"], row["key"]) for row in expected]
        for row, found in zip(expected, known, strict=True):
            if (found["ver"] if found else 0) != row["ver"]:
                return 412, {"rows": [found for found in known if found]} | self._now()
        for row in body.get("set_keys", ()):
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body.get("remove", ()):
            self.remove(row["table"], row["key"])
        return 200, self._now()

    def _row(self, table, key):
        value, ver = self.rows.get((table, key), (None, 0))
        if value is None:
            return None
        return {"table": table, "part": "", "key": key, "value": value, "ver": ver}

    def _get(self, query):
        start, end = query.get("from", ""), query.get("to")
        keys = sorted(
            key
            for table, key in self.rows
            if table == query["table"] and key >= start and (end is None or key < end)
        )
        rows = [row for key in keys if (row := self._row(query["table"], key))]
        return {"rows": rows[:500], "has_more": len(rows) > 500} | self._now()

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(MAX_FEED_WAIT_SECONDS, int(query["wait_ms"]) / 1000)
        while not (rows := self._since(table, after)):
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        return {"rows": rows} | self._now()

    def _since(self, table, after):
        found = []
        for (name, key), (value, ver) in self.rows.items():
            if name == table and ver > after:
                row = {"table": table, "part": "", "key": key, "ver": ver}
                found.append(row | ({"tombstone": True} if value is None else {"value": value}))
        return sorted(found, key=lambda row: row["ver"])


class Runner(Listener):
    """A runner of a plain service.

    ``read_bytes_per_second`` is how fast it reads the body of a request; None for no limit. It
    runs a request once it has read it whole, for ``work_seconds``, and answers ``body``.
    """

    def __init__(self, name, service, record, body=b"x" * 800):
        super().__init__()
        self.name = name
        self.service = service
        self.record = record
        self.body = body
        self.read_bytes_per_second = None
        self.work_seconds = 0.045
        self.ran = {}
        self.answered = set()

    def entry(self, slots):
        """Return the entry by which the runner registers itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "north",
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": 1,
        }

    async def _read_body(self, reader, size):
        left, began, total = size, time.monotonic(), 0
        while left:
            part = await reader.read(min(left, READ_BYTES))
            if not part:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(part)
            total += len(part)
            rate = self.read_bytes_per_second
            if rate:
                ahead = total / rate - (time.monotonic() - began)
                if ahead > 0:
                    await asyncio.sleep(ahead)

    async def serve(self, reader, writer):
        """Serve one connection."""
        while (head := await read_head(reader)) is not None:
            line, headers = head
            attempt = headers.get("x-attempt-id", "")
            signed = {"x-attempt-id": attempt}
            if headers.get("x-target-instance", self.name) != self.name:
                await self._read_body(reader, int(headers.get("content-length", 0)))
                writer.write(make_answer(421, b"", signed))
                await writer.drain()
                continue
            self.record.add(f"runner {self.name} receives {attempt}: {line}")
            await self._read_body(reader, int(headers.get("content-length", 0)))
            self.ran[attempt] = self.ran.get(attempt, 0) + 1
            self.record.add(f"runner {self.name} runs {attempt}")
            await asyncio.sleep(self.work_seconds)
            signed["x-response-signature"] = f"{self.name}.{attempt}"
            writer.write(make_answer(200, self.body, signed))
            await writer.drain()
            self.answered.add(attempt)
            self.record.add(f"runner {self.name} has answered {attempt}, {len(self.body)} bytes")


def free_port():
    """Return a free port below those that the kernel gives to outgoing connections."""
    while True:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in USED_PORTS:
            USED_PORTS.add(port)
            return port


class Host:
    """One process of the system, started with the command of the deploy file."""

    def __init__(self, name, folder, record):
        self.name = name
        self._record = record
        self._folder = Path(folder)
        names = ("front", "ready", "control", "directory")
        self.ports = {listener: free_port() for listener in names}
        self._inner = free_port()
        self._child = None
        self._watching = None
        self.memory_kills = 0
        self.peak_mb = 0.0

    def address(self, listener):
        """Return the address of a listener, IP:PORT."""
        return f"127.0.0.1:{self.ports[listener]}"

    def write_settings(self, store, seeds, bootstrap=True):
        """Write the settings file."""
        rows = [
            f'node_name = "{self.name}"',
            'role = "host"',
            'machine_class = "front"',
            'serves = ["front", "directory", "control"]',
            'ip = "127.0.0.1"',
            'zone = "north"',
            'region = "here"',
            f"inner_ports = [{self._inner}, {self._inner}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(bootstrap)}",
            'discovery = "platform"',
            "heartbeat_ms = 1200",
            "[listen]",
            *(f'{listener} = "{self.address(listener)}"' for listener in self.ports),
            "[limits]",
            *(f"{name} = {value}" for name, value in LIMITS.items()),
            "[bounds]",
            *(f"{name} = {value}" for name, value in BOUNDS.items()),
            "[platform]",
            f'address = "{store}"',
            'form = "table"',
        ]
        self._settings = self._folder / f"{self.name}.toml"
        self._settings.write_text("\n".join(rows) + "\n")

    def start(self):
        """Start the process; its output is appended to its log."""
        run = [sys.executable, "-S", "-m", "peridotdock.cli.relay"]
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PERIDOTDOCK_SETTINGS"] = str(self._settings)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._child = subprocess.Popen(run, cwd=ROOT, env=env, stdout=log, stderr=log)
        self._record.add(f"host {self.name} starts, process {self._child.pid}")

    @property
    def running(self):
        """Return whether the process runs."""
        return self._child is not None and self._child.poll() is None

    def signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.running:
            self._record.add(f"host {self.name} gets {signal.Signals(number).name}")
            self._child.send_signal(number)

    async def wait_ready(self):
        """Wait until the host says that it is ready."""
        until = time.monotonic() + READY_SECONDS
        while await self.ready_status() != 200:
            if time.monotonic() > until:
                raise TimeoutError(f"{self.name} is not ready")
            await asyncio.sleep(0.1)

    async def ready_status(self):
        """Return the status of the answer to a readiness check, 0 without one."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["ready"])
        except OSError:
            return 0
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 2.0)
            return int(head[0].split(" ")[1]) if head else 0
        except (OSError, TimeoutError):
            return 0
        finally:
            writer.close()

    def memory_mb(self):
        """Return the resident memory of the process, 0 once it has ended."""
        try:
            text = Path(f"/proc/{self._child.pid}/status").read_text()
        except OSError:
            return 0.0
        rows = [row.split() for row in text.splitlines() if row.startswith("VmRSS:")]
        return int(rows[0][1]) / 1024 if rows else 0.0

    def watch_memory(self):
        """Do as the platform does: kill a process over its memory, and start it again."""
        self._watching = asyncio.ensure_future(self._watch())

    async def _watch(self):
        while True:
            await asyncio.sleep(MEMORY_CHECK_SECONDS)
            size = self.memory_mb()
            self.peak_mb = max(self.peak_mb, size)
            if size > LIMITS["memory_mb"]:
                self._record.add(f"host {self.name} holds {size:.0f} MB, more than memory_mb")
                self.memory_kills += 1
                self.signal(signal.SIGKILL)
                self._child.wait()
                await asyncio.sleep(RESTART_SECONDS)
                self.start()

    async def stop(self):
        """End the process."""
        if self._watching is not None:
            self._watching.cancel()
        if self.running:
            self._child.kill()
        if self._child is not None:
            self._child.wait()


def read_log(folder, name):
    """Return the log of a host."""
    return (Path(folder) / f"{name}.log").read_text(errors="replace")


class Deployment:
    """Store, runners and hosts of one case, in a temporary folder."""

    def __init__(self, record, hosts, config):
        self.record = record
        self.config = config
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = self._temporary.name
        self.hosts = [Host(f"front-{n}", self.folder, record) for n in range(hosts)]
        self.runners = []
        self.store = Store()

    async def start(self, runners, slots=64):
        """Start the stand-ins and the hosts, and wait until these are ready."""
        await self.store.start()
        self.store.put("op", "config", self.config)
        self.runners = runners
        for runner in runners:
            await runner.start()
            self.store.put("servers", runner.name, runner.entry(slots))
        seeds = [host.address("control") for host in self.hosts[:3]]
        for host in self.hosts:
            host.write_settings(self.store.address, seeds)
            host.start()
        for host in self.hosts:
            await host.wait_ready()
        await asyncio.sleep(3.0)

    async def stop(self):
        """End all that was started."""
        for host in self.hosts:
            await host.stop()
        for runner in self.runners:
            await runner.stop()
        await self.store.stop()
        self._temporary.cleanup()


def make_route(name, kind, service, timeout_ms, **more):
    """Return a route of the configuration."""
    route = {
        "name": name,
        "host": "shop.example",
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 1000,
        "max_attempts": 2,
        "priority": 0,
    }
    return route | more


def make_config(routes, services):
    """Return a configuration."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 10000,
        "idle_timeout_ms": 20000,
    }
    return {"version": 1, "routes": routes, "services": services, "limits": limits}


def make_request(path, attempt, deadline_ms, body=b"", method="POST"):
    """Return the bytes of a request."""
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def run_case(case, folder):
    """Run a case and exit with its status: 1 if the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(folder)
    # Stopping the script ends what it has started.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 115))
    except Exception as exc:
        record.add(f"the case could not run: {type(exc).__name__}: {exc}")
        print(f"could not run: {type(exc).__name__}: {exc}", file=sys.stderr)
        sys.exit(2)
    record.add("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)
