"""A deployment of stand-ins and hosts on free ports, all in the event loop of the test."""

import asyncio
import contextlib
import json
import random
import time

import aiohttp

from extras.samples import digest_token
from peridotdock.context import build_context
from peridotdock.core import Daemon
from peridotdock.schema.settings import Settings
from tests.standins.engine import EngineStandin, ServiceStandin
from tests.standins.platform import PlatformStandin

DOMAINS = ("north", "south", "east", "west")
TOKEN = "test-token"
OTHER_TOKEN = "other-token"
OPERATOR_TOKEN = "operator-token"
WAIT_SECONDS = 30.0
FAST_SETTINGS = {
    "poll_seconds": 0.1,
    "watch_seconds": 0.05,
    "lease_seconds": 1.0,
    "lateness_seconds": 0.3,
    "silence_seconds": 0.3,
    "address_seconds": 0.2,
    "stop_seconds": 20.0,
}


async def wait_for(condition, what="the condition", seconds=WAIT_SECONDS):
    """Return the first true result of a condition, which is polled every 0.01 s.

    The timeout only ends a test that would hang.
    """
    deadline = time.monotonic() + seconds
    while True:
        found = condition()
        if asyncio.iscoroutine(found):
            found = await found
        if found:
            return found
        if time.monotonic() > deadline:
            raise AssertionError(f"{what}: not reached within {seconds} s")
        await asyncio.sleep(0.01)


def caller(name, token, **more):
    return {"id": name, "token_sha256": digest_token(token), "requests_per_second": 10000} | more


class Cluster:
    def __init__(
        self, engines=2, hosts=2, services=1, models=2, adapters=2, settings=None, **engine
    ):
        self.platform = PlatformStandin(loads_per_second=1000)
        options = {"load_seconds": 0.0, "step": 0.001} | engine
        self.engines = [
            EngineStandin(f"e{n}", fencing=n % 2 == 0, **options) for n in range(engines)
        ]
        self.services = [ServiceStandin() for _ in range(services)]
        self.hosts = []
        self.settings = FAST_SETTINGS | (settings or {})
        self._host_count = hosts
        self._models = models
        self._adapters = adapters
        self.sequence = 0
        self.session = None

    async def __aenter__(self):
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        for standin in (self.platform, *self.engines, *self.services):
            await standin.start()
        for _ in range(self._host_count):
            await self.add_host()
        return self

    async def __aexit__(self, *_):
        await self.session.close()
        for host in self.hosts:
            with contextlib.suppress(Exception):
                await asyncio.wait_for(host.stop(), 10)
        for standin in (*self.engines, *self.services, self.platform):
            await standin.stop()

    def make_settings(self, name, **more):
        index = len(self.hosts)
        base = {
            "host_id": name,
            "domain": DOMAINS[index % len(DOMAINS)],
            "platform_url": self.platform.url,
            "cluster_key": "0123456789abcdef",
            "operator_token": OPERATOR_TOKEN,
        }
        return Settings(**(base | self.settings | more))

    async def add_host(self, name=None, **more):
        cfg = self.make_settings(name or f"h{len(self.hosts)}", **more)
        daemon = Daemon(build_context(cfg, rng=random.Random()))
        await daemon.start()
        self.hosts.append(daemon)
        return daemon

    def manifest(self, **changes):
        self.sequence += 1
        engines = [
            {
                "id": e.name,
                "url": e.url,
                "domain": DOMAINS[n % len(DOMAINS)],
                "kind": "engine",
                "fencing": e.fencing,
                "accelerators": [{"id": f"a{i}", "bytes": c} for i, c in enumerate(e.capacity)],
            }
            for n, e in enumerate(self.engines)
        ]
        services = [
            {"id": f"s{n}", "url": s.url, "domain": DOMAINS[0], "kind": "service"}
            for n, s in enumerate(self.services)
        ]
        target = {"first_token_ms": 2000, "between_tokens_ms": 500}
        base = {
            "format": 1,
            "release": f"r{self.sequence}",
            "sequence": self.sequence,
            "based_on": self.sequence - 1,
            "deployment": {"name": "test", "move_price": 5.0, "parallel_loads": 8},
            "callers": [caller("one", TOKEN), caller("two", OTHER_TOKEN, priority=9)],
            "endpoints": engines + services,
            "models": [
                {"id": f"m{n}", "version": "1", "bytes": 30, "target": target}
                for n in range(self._models)
            ],
            "adapters": [
                {"id": f"a{n}", "base": f"m{n % self._models}", "version": "1", "bytes": 1}
                for n in range(self._adapters)
            ],
            "services": [
                {
                    "id": "broker",
                    "endpoints": [row["id"] for row in services],
                    "repeatable": [{"method": "GET", "path": "/read/*"}],
                }
            ],
        }
        if not services:
            base["services"] = []
        return base | changes

    async def call_admin(self, path, body=None, host=0, token=OPERATOR_TOKEN):
        head = {"authorization": f"Bearer {token}"}
        url = f"{self.hosts[host].server.url}/admin/{path}"
        method = "POST" if body is not None else "GET"
        data = json.dumps(body) if isinstance(body, dict) else body
        async with self.session.request(method, url, data=data, headers=head) as resp:
            return resp.status, await resp.json()

    async def publish(self, document=None, host=0, wait=True):
        status, answer = await self.call_admin("manifest", document or self.manifest(), host)
        assert status == 200, answer
        if wait:
            await self.wait_in_force(answer["generation"])
        return answer

    async def wait_in_force(self, generation=1):
        async def in_force():
            for host in range(len(self.hosts)):
                if self.hosts[host].host.membership.own.state in ("leaving", "gone"):
                    continue
                status, found = await self.call_admin("status", host=host)
                if status != 200 or not found["true"] or found["generation"] < generation:
                    return False
            return True

        await wait_for(in_force, "manifest in force and applied on all hosts")

    async def chat(self, model="m0", host=0, token=TOKEN, url=None, headers=None, **body):
        """Send a chat request; return status, headers, and JSON (raw bytes for a stream)."""
        body = {"model": model, "messages": [{"role": "user", "content": "hello"}]} | body
        head = {"authorization": f"Bearer {token}"} | (headers or {})
        base = url or self.hosts[host].server.url
        url = f"{base}/v1/chat/completions"
        async with self.session.post(url, json=body, headers=head) as resp:
            raw = await resp.read()
        return resp.status, resp.headers, raw if body.get("stream") else json.loads(raw)

    async def call(self, path, host=0, method="POST", headers=None, data=b"", token=TOKEN):
        """Call the service ``broker``; return status and body (parsed if it is a JSON object)."""
        head = {"authorization": f"Bearer {token}"} | (headers or {})
        url = f"{self.hosts[host].server.url}/services/broker{path}"
        async with self.session.request(method, url, data=data, headers=head) as resp:
            raw = await resp.read()
        return resp.status, json.loads(raw) if raw[:1] == b"{" and raw[-1:] == b"}" else raw

    async def addresses(self, host=0):
        head = {"authorization": f"Bearer {TOKEN}"}
        url = f"{self.hosts[host].server.url}/v1/addresses"
        async with self.session.get(url, headers=head) as resp:
            return await resp.json()


def read_stream(raw):
    """Return the texts, the ids, whether the end marker is present, and the errors of a stream."""
    frames = [part.removeprefix(b"data: ") for part in raw.split(b"\n\n") if part]
    whole = bool(frames) and frames[-1] == b"[DONE]"
    rows = [json.loads(frame) for frame in frames if frame != b"[DONE]"]
    errors = [row["error"] for row in rows if "error" in row]
    rows = [row for row in rows if "error" not in row]
    texts = [row["choices"][0]["delta"].get("content") for row in rows]
    return [text for text in texts if text], {row["id"] for row in rows}, whole, errors
