"""``make bench-clients``: CPU time of a streamed answer in the clients of aiohttp and blacksheep.

A stand-in engine streams from another process; the CPU time is that of this process alone.
"""

import asyncio
import json
import sys
import time

import aiohttp
from blacksheep import Content, Request
from blacksheep.client import ClientSession

from extras.fleet_processes import Process

REQUESTS_PER_ROUND = 300
CONCURRENCY = 8
ROUNDS = 3
BODY = json.dumps({"model": "m", "prompt": "x", "stream": True, "max_tokens": 20}).encode()
ORDER = {"order": 1, "action": "load", "item": "m@1", "bytes": 1, "accelerators": [0]}


async def stream_with_aiohttp(session: aiohttp.ClientSession, url: str) -> int:
    """Send one streamed request with aiohttp and return the number of bytes read."""
    size = 0
    async with session.post(f"{url}/v1/completions", data=BODY) as resp:
        async for part in resp.content.iter_any():
            size += len(part)
    return size


async def stream_with_blacksheep(client: ClientSession, url: str) -> int:
    """Send one streamed request with the client of blacksheep and return the bytes read."""
    content = Content(b"application/json", BODY)
    request = Request("POST", f"{url}/v1/completions".encode(), []).with_content(content)
    resp = await client.send(request)
    size = 0
    async for part in resp.stream():
        size += len(part)
    return size


async def drive(work, client, url: str) -> tuple[float, int]:
    """Return the CPU milliseconds per request and the bytes of the largest answer."""
    left = iter(range(REQUESTS_PER_ROUND))
    sizes = set()

    async def worker() -> None:
        for _ in left:
            sizes.add(await work(client, url))

    used = time.process_time()
    await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))
    return (time.process_time() - used) / REQUESTS_PER_ROUND * 1000, max(sizes)


async def main_async(url: str) -> None:
    """Load the model, then measure the two clients in turn, ROUNDS times."""
    async with aiohttp.ClientSession() as session:
        async with session.post(f"{url}/control/orders", json=ORDER) as resp:
            await resp.read()
        other = ClientSession()
        pairs = (
            ("aiohttp", stream_with_aiohttp, session),
            ("blacksheep", stream_with_blacksheep, other),
        )
        for number in range(ROUNDS):
            for name, work, client in pairs:
                spent, size = await drive(work, client, url)
                row = {"round": number, "client": name, "cpu_ms_per_request": round(spent, 3)}
                print(json.dumps(row | {"bytes": size}), flush=True)
        await other.close()


def main() -> int:
    """Start the engine, measure the clients and stop the engine."""
    engine = Process(
        ["tests.standins", "engine", "--step", "0.001", "--batch-limit", "64", "--knee", "64"]
    ).wait_ready()
    try:
        asyncio.run(main_async(engine.url))
    finally:
        engine.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
