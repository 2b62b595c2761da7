"""A new configuration leaves out a model that runners hold, and names another one."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import engine as e  # noqa: E402
import standins as s  # noqa: E402

CAPACITY_MB = 200_000
SIZES = {"retired": 60_000, "recap": 60_000, "scene": 60_000, "fresh": 60_000}
HELD = ("retired", "recap", "scene")
LOAD_SECONDS = 1.2
DEADLINE_MS = 6000
PLAY_SECONDS = 25.0
CHANGE_AT = 5.0
REQUESTS_PER_SECOND = 15.0


def make_document(version, models):
    """Return a version of the configuration with some models."""
    rows = [
        {
            "name": name,
            "weights_mb": SIZES[name],
            "load_s": LOAD_SECONDS,
            "adapters": 0,
            "adapter_mb": 0,
        }
        for name in models
    ]
    engine = {"slots": 64, "weights_mb": CAPACITY_MB, "adapter_slots": 8, "loads_per_s": 1.1}
    engine |= {"kv_capacity_tokens": 200_000, "models": rows}
    routes = [
        s.make_route(
            "drafts", "stream", "kathak", 6000, resumable=True, gap_aim_ms=400, sticky=True
        )
    ]
    document = s.make_config(routes, [{"name": "kathak", "engine": engine}])
    return document | {"version": version}


async def consume(record, host, model, attempt):
    """Ask for a stream with a model; return how it ended."""
    head = (
        f"POST /drafts/a HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Deadline-Ms: {DEADLINE_MS}\r\nX-Model: {model}\r\nX-Token-Counts: 900,52\r\n"
        f"X-Prompt-Prefix: aa:600,{attempt}:300\r\nContent-Length: 0\r\n\r\n"
    )
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", host.ports["front"])
    except OSError:
        return "no connection"
    try:
        writer.write(head.encode())
        async with asyncio.timeout(DEADLINE_MS / 1000):
            found = await s.read_head(reader)
            status = found[0].split(" ")[1] if found else "closed"
            if status == "200":
                await reader.readuntil(b"\r\n0\r\n\r\n")
        return status
    except (OSError, asyncio.IncompleteReadError):
        return "broken off"
    except TimeoutError:
        return "deadline"
    finally:
        writer.close()


async def case(record):
    """Play the case; return whether the rule was broken."""
    deployment = s.Deployment(record, 2, make_document(1, HELD))
    store = deployment.store
    engines = [
        e.Engine(f"i-{n}", "kathak", record, store, SIZES, CAPACITY_MB, HELD, LOAD_SECONDS)
        for n in range(2)
    ]
    try:
        for row in engines:
            await row.start()
            row.spawn(row.beat())
        await deployment.start([])
        began, number, work = time.monotonic(), 0, []
        changed = False
        while (now := time.monotonic() - began) < PLAY_SECONDS:
            if now >= CHANGE_AT and not changed:
                changed = True
                kept = HELD[1:] if s.TROUBLE else HELD
                store.put("op", "config", make_document(2, [*kept, "fresh"]))
                record.add(f"operator: version 2 with {', '.join(kept)} and fresh")
            number += 1
            asked = ("recap", "scene", "fresh") if changed else ("recap", "scene")
            model, host = asked[number % len(asked)], deployment.hosts[number % 2]
            work.append(asyncio.ensure_future(consume(record, host, model, f"{number:016x}")))
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)
        results = await asyncio.gather(*work)
        counts = {name: results.count(name) for name in sorted(set(results))}
        record.add(f"results: {counts}")
        overfilled = sum(len(row.overfilled) for row in engines)
        broken = sum(row.broken_streams for row in engines)
        record.add(f"{overfilled} orders beyond weights_mb; {broken} runs ended by the crashes")
        return overfilled > 0
    finally:
        for row in engines:
            await row.stop()
        await deployment.stop()


s.run_case(case, Path(__file__).parent)
