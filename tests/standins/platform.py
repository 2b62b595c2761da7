"""Stand-in for the platform: table, object store, host list and weight store.

Faults are set by ``POST /faults``, or through ``faults`` in the same process:

``down``  every call is answered with 503
``slow``  seconds by which every call is delayed
``hang``  calls get no answer
``lose``  number of commits that are applied and answered with 500
``lag``   seconds by which the host list lags behind

:meth:`PlatformStandin.restore` brings back an older copy of the table and of the host list.
"""

import asyncio
import json
import time
from functools import partial

from blacksheep import Request

from peridotdock.serving import Server, add_route, make_application
from tests.standins import http
from tests.standins.http import read_json


class PlatformStandin:
    def __init__(self, loads_per_second=50.0, parallel=5, port=0):
        self.rows = {}
        self.objects = {}
        self.hosts = {}
        self.host_history = []
        self.version = 0
        self.era = 0
        self.faults = {"down": False, "slow": 0.0, "lose": 0, "lag": 0.0, "hang": False}
        self.counts = {"read": 0, "write": 0, "conflict": 0}
        self.log = []
        self._load_slots = asyncio.Semaphore(parallel)
        self._load_interval = 1.0 / loads_per_second
        self._next_load = 0.0
        self.server = Server(self._build(), port=port)

    @property
    def url(self):
        return self.server.url

    async def start(self):
        await self.server.start()
        return self

    async def stop(self):
        await self.server.stop()

    def copy(self):
        return dict(self.rows), list(self.host_history), self.version

    def restore(self, copy):
        """Replace rows and host list by an older copy, and begin the next era."""
        rows, hosts, self.version = copy
        self.rows, self.host_history = dict(rows), list(hosts)
        self.era += 1

    def _reply(self, body, status=200):
        return http.reply(body, status, [(b"Table-Era", str(self.era).encode())])

    def _build(self):
        app = make_application()
        route = partial(add_route, app)
        route("POST", "/table/read", self.read)
        route("POST", "/table/scan", self.scan)
        route("POST", "/table/commit", self.commit)
        route("GET", "/objects/*", self.get_object)
        route("PUT", "/objects/*", self.put_object)
        route("GET", "/hosts", self.list_hosts)
        route("POST", "/hosts", self.add_host)
        route("GET", "/weights", self.weights)
        route("POST", "/faults", self.set_faults)
        route("GET", "/counts", self.get_counts)
        return app

    async def _apply_faults(self):
        if self.faults["hang"]:
            await asyncio.sleep(3600)
        if self.faults["slow"]:
            await asyncio.sleep(self.faults["slow"])
        return self._reply({"error": "down"}, 503) if self.faults["down"] else None

    async def read(self, request: Request):
        if refused := await self._apply_faults():
            return refused
        self.counts["read"] += 1
        keys = (await read_json(request))["keys"]
        return self._reply({key: self.rows[key] for key in keys if key in self.rows})

    async def scan(self, request: Request):
        if refused := await self._apply_faults():
            return refused
        self.counts["read"] += 1
        prefix = (await read_json(request))["prefix"]
        return self._reply({k: row for k, row in self.rows.items() if k.startswith(prefix)})

    async def commit(self, request: Request):
        if refused := await self._apply_faults():
            return refused
        body = await read_json(request)
        self.counts["write"] += 1
        for key, version in body["checks"].items():
            if self.rows.get(key, {"version": 0})["version"] != version:
                self.counts["conflict"] += 1
                return self._reply({"error": "conflict", "key": key}, 409)
        self.version += 1
        for key, value in body["writes"].items():
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = {"value": value, "version": self.version}
        if self.faults["lose"]:
            self.faults["lose"] -= 1
            return self._reply({"error": "lost"}, 500)
        return self._reply({"version": self.version})

    async def get_object(self, request: Request):
        if refused := await self._apply_faults():
            return refused
        self.counts["read"] += 1
        body = self.objects.get(request.url.path.decode())
        return self._reply(b"", 404) if body is None else self._reply(body)

    async def put_object(self, request: Request):
        if refused := await self._apply_faults():
            return refused
        self.counts["write"] += 1
        self.objects[request.url.path.decode()] = await request.read()
        return self._reply({})

    async def list_hosts(self, request: Request):
        if refused := await self._apply_faults():
            return refused
        cutoff = time.monotonic() - self.faults["lag"]
        latest = {}
        for stamp, row in self.host_history:
            if stamp <= cutoff:
                latest[row["id"]] = row
        return self._reply(list(latest.values()))

    async def add_host(self, request: Request):
        if refused := await self._apply_faults():
            return refused
        row = await read_json(request)
        self.host_history.append((time.monotonic(), row))
        return self._reply({})

    async def weights(self, request: Request):
        """Answer after ``seconds``.

        At most ``parallel`` loads run at once, and they start at least ``_load_interval`` apart.
        """
        seconds = float(request.query.get("seconds", ["0"])[0])
        async with self._load_slots:
            now = time.monotonic()
            start = max(now, self._next_load)
            self._next_load = start + self._load_interval
            await asyncio.sleep(start - now + seconds)
        return self._reply({})

    async def set_faults(self, request: Request):
        body = await read_json(request)
        self._load_interval = body.pop("load_gap", self._load_interval)
        self.faults.update(body)
        return self._reply(self.faults)

    async def get_counts(self, request: Request):
        return self._reply(json.dumps(self.counts).encode())
