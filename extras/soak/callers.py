"""Simulated callers: they resolve addresses, keep connections open and retry within the rules."""

import asyncio
import itertools
import random
import time
from collections.abc import Mapping, Sequence
from dataclasses import replace

import aiohttp

from extras.soak.checks import FATAL_ROUTE, MODEL_ROUTES, NOT_RUN, Attempt, Record
from extras.soak.deployment import POISON_BODY, SoakDeployment
from tests.relay.deployment import ROUTES

# Seconds for which a caller caches resolved addresses; every fourth caller uses three times this.
ADDRESS_TTL_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0
REQUEST_TIMEOUT_SECONDS = 7.0
MEAN_PAUSE_SECONDS = 0.05
# Mean seconds between two attempts of a request that crashes endpoints, and the model it names.
MEAN_POISON_PAUSE_SECONDS = 0.3
POISON_MODEL = "m0"
# Tokens by part of a sound prompt, and tokens of an answer.
PARTS = {"aa": 600, "bb": 300}
OUTPUT_TOKENS = 20
# A body that is longer than what endpoints, the proxies before them and kernels take unread.
UPLOAD = bytes(3_000_000)
REPEATABLE_ROUTES = {"recap": True, "once": False, "bind": False, "fetch": True}
DEADLINE_SECONDS = 6.0
DEADLINE_MS = str(round(1000 * DEADLINE_SECONDS))
# Seconds that the routes allow; a route that is added is a copy of the last one.
ROUTE_SECONDS = {route["name"]: route["timeout_ms"] / 1000 for route in ROUTES}
EXTRA_ROUTE_SECONDS = ROUTES[-1]["timeout_ms"] / 1000
CONNECT_ERRORS = (aiohttp.ClientConnectorError,)


class Caller:
    """One caller; ``started_at`` is the start of the run in monotonic seconds.

    A ``direct`` one keeps to the addresses of all hosts, whatever the directory says. One with
    ``routes`` sends requests of these alone. ``workspace`` is the one whose key it sends, and
    ``upload_share`` the share of its requests that have a long body.
    """

    def __init__(
        self,
        number: int,
        deployment: SoakDeployment,
        record: Record,
        started_at: float,
        seed: int,
        direct: bool = False,
        routes: Sequence[str] = (),
        workspace: str = "",
    ):
        self._workspace = workspace or deployment.open_workspace
        self._routes = routes
        self._direct = direct
        self._deployment = deployment
        self._record = record
        self._started_at = started_at
        self._rng = random.Random(seed * 1000 + number)
        self._ids = (f"{number:02}-{count:05}" for count in itertools.count())
        self._address_ttl = ADDRESS_TTL_SECONDS * (3 if number % 4 == 0 else 1)
        self._addresses: list[str] = []
        self._resolved_at = float("-inf")
        self.upload_share = 0.0

    def open_session(self) -> aiohttp.ClientSession:
        """Return a session that keeps connections open."""
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=5)
        return aiohttp.ClientSession(connector=connector, auto_decompress=False)

    async def run(self, until: float) -> None:
        """Send requests until ``until``, in seconds since the start of the run."""
        async with self.open_session() as session:
            while self._now() < until:
                await self.send(session, self._record.attempts)
                await asyncio.sleep(MEAN_PAUSE_SECONDS * self._rng.random() * 2)

    async def run_poison(self, until: float) -> None:
        """Repeat one request that crashes each endpoint that runs it, until ``until``.

        The attempts are not recorded.
        """
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            while self._now() < until:
                await self._attempt(session, "recap", POISON_BODY)
                await asyncio.sleep(MEAN_POISON_PAUSE_SECONDS * self._rng.random() * 2)

    def _now(self) -> float:
        return time.monotonic() - self._started_at

    async def send(self, session: aiohttp.ClientSession, attempts: list[Attempt]) -> None:
        """Send one request, with one retry if it is allowed, and append the attempts to a list."""
        route, earlier = self._choose_route(), None
        body = UPLOAD if self.upload_share and self._rng.random() < self.upload_share else b""
        for number in (1, 2):
            attempt = await self._attempt(session, route, body, earlier)
            if attempt is None:
                return
            attempts.append(replace(attempt, number=number))
            repeatable = attempt.repeatable and not (attempt.status == 200 and attempt.complete)
            if not repeatable and attempt.status not in NOT_RUN:
                return
            resumable = self._deployment.versions and route in MODEL_ROUTES and attempt.last_event
            earlier = attempt if resumable else None

    async def send_once(self, session: aiohttp.ClientSession) -> None:
        """Send one request without a retry, and record the attempt."""
        attempt = await self._attempt(session, self._choose_route())
        if attempt is not None:
            self._record.attempts.append(attempt)

    async def send_prompt(
        self,
        session: aiohttp.ClientSession,
        parts: Mapping[str, int],
        body: bytes,
        attempts: list[Attempt],
    ) -> None:
        """Send a prompt with these parts without a retry, and append the attempt to a list."""
        attempt = await self._attempt(session, FATAL_ROUTE, body, parts=parts)
        if attempt is not None:
            attempts.append(attempt)

    def _choose_route(self) -> str:
        return self._rng.choice(self._routes or [*REPEATABLE_ROUTES, *self._extra_routes()])

    def _extra_routes(self) -> list[str]:
        return [route["name"] for route in self._deployment.routes[len(REPEATABLE_ROUTES) :]]

    async def _attempt(
        self,
        session: aiohttp.ClientSession,
        route: str,
        body: bytes = b"",
        earlier: Attempt | None = None,
        parts: Mapping[str, int] = PARTS,
    ) -> Attempt | None:
        """Send one attempt, which resumes the stream of an earlier one if that is given."""
        address = await self._choose_address(session)
        if address is None:
            return None
        attempt_id, started_at = next(self._ids), self._now()
        seconds = min(ROUTE_SECONDS.get(route, EXTRA_ROUTE_SECONDS), DEADLINE_SECONDS)
        headers = {"host": "shop.example", "x-attempt-id": attempt_id, "x-deadline-ms": DEADLINE_MS}
        resumes, after = (earlier.id, earlier.last_event) if earlier is not None else ("", 0)
        if resumes:
            headers |= {"resumes": resumes, "last-event-id": str(after)}
        if self._workspace:
            headers["authorization"] = f"Bearer {self._workspace}"
        if route in MODEL_ROUTES:
            model = POISON_MODEL if body == POISON_BODY else self._rng.choice(["m0", "m1"])
            tokens = f"{sum(parts.values())},{OUTPUT_TOKENS}"
            prefix = ",".join(f"{name}:{count}" for name, count in parts.items())
            headers |= {"x-model": model, "x-token-counts": tokens, "x-prompt-prefix": prefix}
        method = "GET" if route == "fetch" or route.startswith("extra") else "POST"
        incarnation = next(
            (h.incarnation for h in self._deployment.hosts if h.address("front") == address), ""
        )
        status, answer, complete, signature = 0, b"", False, ""
        try:
            async with session.request(
                method,
                f"http://{address}/{route}/1",
                headers=headers,
                data=body,
                timeout=aiohttp.ClientTimeout(
                    total=REQUEST_TIMEOUT_SECONDS, sock_connect=CONNECT_TIMEOUT_SECONDS
                ),
            ) as resp:
                status, signature = resp.status, resp.headers.get("x-response-signature", "")
                async for part in resp.content.iter_any():
                    answer += part
                complete = True
        except CONNECT_ERRORS:
            self._discard_address(address)
        except (aiohttp.ClientError, TimeoutError, OSError):
            self._discard_address(address)
        return Attempt(
            attempt_id,
            route,
            REPEATABLE_ROUTES.get(route, True),
            incarnation,
            started_at,
            self._now(),
            status,
            answer,
            complete,
            signature,
            started_at + seconds,
            self._workspace,
            resumes,
            after,
        )

    def _discard_address(self, address: str) -> None:
        self._addresses = [row for row in self._addresses if row != address]

    async def _choose_address(self, session: aiohttp.ClientSession) -> str | None:
        if self._direct:
            return self._rng.choice(self._deployment.hosts).address("front")
        if not self._addresses or self._now() - self._resolved_at > self._address_ttl:
            await self._resolve(session)
        return self._rng.choice(self._addresses) if self._addresses else None

    async def _resolve(self, session: aiohttp.ClientSession) -> None:
        for host in self._rng.sample(self._deployment.hosts, min(3, len(self._deployment.hosts))):
            url = f"http://{host.address('directory')}/v1/resolve?name=shop.example&zone=north"
            try:
                limit = aiohttp.ClientTimeout(total=CONNECT_TIMEOUT_SECONDS)
                async with session.get(url, timeout=limit) as resp:
                    found = (await resp.json()).get("addresses")
            except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
                continue
            if found:
                self._addresses, self._resolved_at = found, self._now()
                return
