"""Callers of a run: they ask where to connect, keep connections, and repeat as callers may."""

import asyncio
import itertools
import random
import time

import aiohttp

from extras.soak.checks import NOT_RUN, Attempt, Record
from extras.soak.world import POISON, World

# Seconds for which callers keep an answer to where to connect; some keep it three times as long.
KEEP_SECONDS = 1.0
ASK_SECONDS = 1.0
PATIENCE_SECONDS = 7.0
PAUSE_SECONDS = 0.05
# Mean seconds between two attempts of a caller whose request ends endpoints, and its model.
POISON_PAUSE_SECONDS = 0.3
POISON_MODEL = "m0"
KINDS = {"recap": True, "once": False, "bind": False, "fetch": True}
MODELLED = frozenset({"recap", "once"})
UNREACHED = (aiohttp.ClientConnectorError,)


class Caller:
    """One caller; ``began`` is the run's start in monotonic seconds."""

    def __init__(self, number: int, world: World, record: Record, began: float, seed: int):
        self._world = world
        self._record = record
        self._began = began
        self._rng = random.Random(seed * 1000 + number)
        self._ids = (f"{number:02}-{count:05}" for count in itertools.count())
        self._keep = KEEP_SECONDS * (3 if number % 4 == 0 else 1)
        self._addresses: list[str] = []
        self._asked = float("-inf")

    async def run(self, until: float) -> None:
        """Send requests until a moment of the run."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
        async with aiohttp.ClientSession(connector=connector, auto_decompress=False) as session:
            while self._now() < until:
                await self.send(session, self._record.attempts)
                await asyncio.sleep(PAUSE_SECONDS * self._rng.random() * 2)

    async def run_poison(self, until: float) -> None:
        """Send the same request, which ends endpoints, again and again."""
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while self._now() < until:
                await self._attempt(session, "recap", POISON)
                await asyncio.sleep(POISON_PAUSE_SECONDS * self._rng.random() * 2)

    def _now(self) -> float:
        return time.monotonic() - self._began

    async def send(self, session: aiohttp.ClientSession, into: list[Attempt]) -> None:
        """Send one request, and once more where callers may."""
        route = self._rng.choice([*KINDS, *self._extra_routes()])
        for _ in range(2):
            attempt = await self._attempt(session, route)
            if attempt is None:
                return
            into.append(attempt)
            repeatable = attempt.repeatable and not (attempt.status == 200 and attempt.whole)
            if not repeatable and attempt.status not in NOT_RUN:
                return

    def _extra_routes(self) -> list[str]:
        return [route["name"] for route in self._world.routes[len(KINDS) :]]

    async def _attempt(
        self, session: aiohttp.ClientSession, route: str, body: bytes = b""
    ) -> Attempt | None:
        address = await self._choose(session)
        if address is None:
            return None
        attempt_id, began = next(self._ids), self._now()
        headers = {"host": "shop.example", "x-attempt-id": attempt_id, "x-deadline-ms": "6000"}
        if route in MODELLED:
            model = POISON_MODEL if body else self._rng.choice(["m0", "m1"])
            headers |= {"x-model": model, "x-token-counts": "900,20"}
            headers |= {"x-prompt-prefix": "aa:600,bb:300"}
        method = "GET" if route == "fetch" or route.startswith("extra") else "POST"
        life = next((h.life for h in self._world.hosts if h.address("front") == address), "")
        status, answer, whole, receipt = 0, b"", False, ""
        try:
            async with session.request(
                method,
                f"http://{address}/{route}/1",
                headers=headers,
                data=body,
                timeout=aiohttp.ClientTimeout(total=PATIENCE_SECONDS, sock_connect=ASK_SECONDS),
            ) as resp:
                status, receipt = resp.status, resp.headers.get("x-response-signature", "")
                async for part in resp.content.iter_any():
                    answer += part
                whole = True
        except UNREACHED:
            self._forget(address)
        except (aiohttp.ClientError, TimeoutError, OSError):
            self._forget(address)
        return Attempt(
            attempt_id,
            route,
            KINDS.get(route, True),
            life,
            began,
            self._now(),
            status,
            answer,
            whole,
            receipt,
        )

    def _forget(self, address: str) -> None:
        self._addresses = [row for row in self._addresses if row != address]

    async def _choose(self, session: aiohttp.ClientSession) -> str | None:
        if not self._addresses or self._now() - self._asked > self._keep:
            await self._ask_where(session)
        return self._rng.choice(self._addresses) if self._addresses else None

    async def _ask_where(self, session: aiohttp.ClientSession) -> None:
        for host in self._rng.sample(self._world.hosts, min(3, len(self._world.hosts))):
            url = f"http://{host.address('directory')}/v1/resolve?name=shop.example&zone=north"
            try:
                limit = aiohttp.ClientTimeout(total=ASK_SECONDS)
                async with session.get(url, timeout=limit) as resp:
                    found = (await resp.json()).get("addresses")
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                continue
            if found:
                self._addresses, self._asked = found, self._now()
                return
