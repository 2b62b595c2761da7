"""``make bench-capacity``: the figures that docs/CAPACITY.md is computed from, as JSON lines."""

import asyncio
import json
import os
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable

import cbor2
import msgspec
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve

from extras.samples import HANEUL, make_manifest
from peridotdock import manifest as manifests
from peridotdock.clients.endpoint import EngineLoad
from peridotdock.clock import SystemClock
from peridotdock.columns import pack
from peridotdock.drafts import Copy, EngineView
from peridotdock.fact_table import FactTable
from peridotdock.fleet import EndpointState, Fleet
from peridotdock.frames import decode, encode
from peridotdock.ledger import Ledger, Reservation, State, observe, read_ledger
from peridotdock.membership import Membership
from peridotdock.placement import make_plan
from peridotdock.prefix import hash_blocks
from peridotdock.publishing import check_all
from peridotdock.rendezvous import Assignment
from peridotdock.requests import RoutingProfile
from peridotdock.routing import choose
from peridotdock.schema.messages import Entry, HeldFact, HostFact, LoadFact, Ping, Update
from tests.fakes import FakeEngine

CANDIDATE_COUNTS = (9, 100, 350, 940)


def print_measurement(name: str, **figures: object) -> None:
    """Print one measurement as a JSON line."""
    print(json.dumps({"measure": name} | figures), flush=True)


def time_call_us(work: Callable[[], object], repeats: int = 200) -> dict[str, float]:
    """Return the median and 99th percentile of the time of a call, in microseconds."""
    times = []
    for _ in range(repeats):
        started_at = time.perf_counter()
        work()
        times.append((time.perf_counter() - started_at) * 1e6)
    times.sort()
    return {
        "p50_us": round(statistics.median(times), 1),
        "p99_us": round(times[int(repeats * 0.99) - 1], 1),
    }


def rss_mb() -> float:
    """Return the resident memory of this process in megabytes."""
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def make_load_fact(count: int) -> LoadFact:
    """Return the load fact of a watcher with ``count`` endpoints."""
    names = [f"runner-{n:04}" for n in range(count)]
    small, large = pack("H", [7] * count), pack("I", [8000] * count)
    return LoadFact(names, small, small, small, small, small, large, large)


def measure_frames() -> None:
    """Measure size, encoding and decoding of the facts that change every second."""
    for count in (1, 3, 27, 940):
        fact = make_load_fact(count)
        body = cbor2.dumps(msgspec.to_builtins(fact, builtin_types=(bytes,)))
        entry = Entry("host-000", "load", 1, 1, body)
        raw = encode(Update("update", [entry], 1))
        print_measurement(
            "load fact",
            endpoints=count,
            bytes=len(raw),
            **time_call_us(lambda raw=raw: decode(raw)),
        )
    incarnation = "host-000-" + "0" * 16
    host = HostFact("host-000", incarnation, "zone", "10.0.0.1:1", "10.0.0.1:2", "live", 9)
    body = cbor2.dumps(msgspec.to_builtins(host))
    for count in (1, 9, 350):
        entries = [Entry(f"host-{n:03}", "host", 1, 1, body) for n in range(count)]
        frame = Update("update", entries, 1)
        raw = encode(frame)
        print_measurement(
            "heartbeats", hosts=count, bytes=len(raw), **time_call_us(lambda raw=raw: decode(raw))
        )
        print_measurement(
            "heartbeats sent", hosts=count, **time_call_us(lambda frame=frame: encode(frame))
        )
    raw = encode(Ping("ping", 1, 1))
    print_measurement("ping", bytes=len(raw), **time_call_us(lambda: decode(raw)))


def measure_merge() -> None:
    """Measure merging a fact into the fact table and the fleet, and the memory of both."""
    for endpoints, hosts in ((9, 9), (940, 350)):
        before = rss_mb()
        facts = FactTable("me", 1, SystemClock())
        fleet = Fleet(facts, SystemClock())
        fleet.states = {
            f"runner-{n:04}": EndpointState(f"runner-{n:04}", "", "") for n in range(endpoints)
        }
        held = {f"runner-{n:04}": [f"m{i}@1" for i in range(4)] for n in range(endpoints)}
        share = max(1, endpoints // hosts)
        names = sorted(held)
        for n in range(hosts):
            part = {name: held[name] for name in names[n * share : (n + 1) * share]}
            fact = HeldFact(part, [], [])
            facts.merge([make_entry(f"h{n}", "held", 1, fact)])
        fact = make_load_fact(share)
        version = iter(range(2, 10**9))
        print_measurement(
            "merge load fact",
            endpoints=endpoints,
            hosts=hosts,
            **time_call_us(
                lambda facts=facts, fact=fact, version=version: facts.merge(
                    [make_entry("h1", "load", next(version), fact)]
                )
            ),
        )
        print_measurement("index holders", endpoints=endpoints, **time_call_us(fleet._index, 50))
        print_measurement(
            "board and fleet", endpoints=endpoints, hosts=hosts, mb=round(rss_mb() - before, 2)
        )


def make_entry(origin: str, topic: str, version: int, fact: object) -> Entry:
    """Return a fact in the encoding that hosts send."""
    return Entry(
        origin, topic, 1, version, cbor2.dumps(msgspec.to_builtins(fact, builtin_types=(bytes,)))
    )


def measure_membership() -> None:
    """Measure listing the live hosts and assigning the endpoints to them."""
    for hosts in (9, 350):
        facts = FactTable("h0", 1, SystemClock())
        own = HostFact("h0", "h0-1", "zone", "", "", "live", 0)
        membership = Membership(facts, own, SystemClock())
        host_facts = [HostFact(f"h{n}", f"h{n}-1", "zone", "", "", "live", 0) for n in range(hosts)]
        facts.merge([make_entry(f.host, "host", 1, f) for f in host_facts])
        print_measurement("look at all hosts", hosts=hosts, **time_call_us(membership.live, 50))
        live = membership.live()
        assignment = Assignment("h0")
        count = 9 if hosts == 9 else 940
        names = [f"runner-{n:04}" for n in range(count)]
        started_at = time.perf_counter()
        assignment.own_keys(names, live)
        first = round((time.perf_counter() - started_at) * 1e3, 2)

        def again(assignment=assignment, names=names, live=live) -> None:
            assignment.own_keys(names, live)

        spent = time_call_us(again, 50)
        print_measurement("assign endpoints", hosts=hosts, endpoints=count, first_ms=first, **spent)


def measure_routing() -> None:
    """Measure the routing of a request by the number of endpoints that hold its model."""
    rng = random.Random(1)
    text = "lorem ipsum " * 700
    blocks = hash_blocks("m@1", text)
    print_measurement(
        "hash a prompt", chars=len(text), **time_call_us(lambda: hash_blocks("m@1", text))
    )
    for count in CANDIDATE_COUNTS:
        states = [EndpointState(f"e{n}", "", f"d{n % 4}") for n in range(count)]
        now = time.monotonic()
        for state in states:
            state.load, state.load_at = EngineLoad(3, 1, 900, 8, 8000, 10000), now
            state.add_cached_blocks(blocks[:5], now)
            for n in range(20):
                state.record_sent(f"r{n}", now, 500)
        profile = RoutingProfile("m@1", 2000, blocks, 5, 0.49, "d0")
        print_measurement(
            "routing decision",
            candidates=count,
            **time_call_us(lambda s=states, w=profile, n=now: choose(s, w, n, rng), 2000),
        )


def make_views(engines: int, models: int, per_engine: int) -> tuple[list[EngineView], list[str]]:
    """Return engines that hold ``per_engine`` models each, and the models' keys."""
    names = [f"m{n}@1" for n in range(models)]
    views = []
    for n in range(engines):
        copies = tuple(
            Copy(names[(n * per_engine + i) % models], State.HELD, 30, (i % 8,))
            for i in range(per_engine)
        )
        views.append(EngineView(f"runner-{n:04}", f"d{n % 4}", (100,) * 8, True, copies))
    return views, names


def measure_planning() -> None:
    """Measure a plan by engines and models; the floors are met and the demand has shifted."""
    for engines, models in ((5, 13), (100, 50), (400, 200), (940, 440)):
        views, names = make_views(engines, models, 4)
        document = make_manifest(HANEUL, [(v.name, "http://127.0.0.1:1") for v in views], [])
        document["models"] = [
            document["models"][0] | {"id": name.split("@")[0], "bytes": 30} for name in names
        ]
        document["adapters"], document["services"] = [], []
        manifest = manifests.check(manifests.canonical(document)).manifest
        accepted = manifests.Accepted(1, "", document, manifest)
        rng = random.Random(3)
        demand = {name: rng.expovariate(0.4) for name in names}
        tracemalloc.start()
        make_plan(accepted, views, demand)
        peak = tracemalloc.get_traced_memory()[1] / 1e6
        tracemalloc.stop()
        started_at = time.perf_counter()
        plan = make_plan(accepted, views, demand)
        spent = (time.perf_counter() - started_at) * 1e3
        print_measurement(
            "plan",
            engines=engines,
            models=models,
            ms=round(spent, 1),
            peak_mb=round(peak, 2),
            moves=len(plan.moves),
        )


def measure_ledger() -> None:
    """Measure one reconciliation of a controller with one engine, without the network."""
    for count in (5, 20, 80):
        rows = tuple(Reservation(f"m{n}@1", State.HELD, 1, (n % 8,), n) for n in range(count))
        ledger = Ledger("e0", "h0-1", 1, count, "1", rows)
        value = ledger.to_value()
        report = FakeEngine((100,) * 8, True).report()
        print_measurement(
            "ledger round",
            items=count,
            bytes=len(json.dumps(value)),
            **time_call_us(lambda v=value, r=report: observe(read_ledger(v), r)),
        )


def measure_manifest() -> None:
    """Measure checking a manifest, and the size and application of a diff."""
    for engines, models, adapters in ((9, 13, 55), (940, 440, 2000)):
        ends = [(f"runner-{n:04}", f"http://10.0.{n // 250}.{n % 250}:80") for n in range(engines)]
        document = make_manifest(HANEUL, ends, [])
        document["services"] = []
        base = document["models"][0]
        document["models"] = [base | {"id": f"m{n}"} for n in range(models)]
        document["adapters"] = [
            {"id": f"a{n}", "base": f"m{n % models}", "version": "1", "bytes": 1}
            for n in range(adapters)
        ]
        raw = manifests.canonical(document)
        changed = json.loads(raw)
        changed["models"][1]["version"] = "2"
        changed["sequence"] += 1
        changes = manifests.diff(document, changed)
        started_at = time.perf_counter()
        checked = check_all(raw) if engines < 100 else manifests.check(raw)
        spent = (time.perf_counter() - started_at) * 1e3
        started_at = time.perf_counter()
        manifests.digest(manifests.apply_diff(document, changes))
        applied = (time.perf_counter() - started_at) * 1e3
        print_measurement(
            "manifest",
            engines=engines,
            models=models,
            adapters=adapters,
            bytes=len(raw),
            check_ms=round(spent, 1),
            valid=checked.manifest is not None,
            diff_bytes=len(json.dumps(changes)),
            apply_ms=round(applied, 2),
        )


async def measure_link() -> None:
    """Measure messages and memory of websocket links on loopback."""

    async def echo(conn) -> None:
        async for raw in conn:
            await conn.send(raw)

    async with serve(echo, "127.0.0.1", 0, compression=None) as server:
        port = next(iter(server.sockets)).getsockname()[1]
        url = f"ws://127.0.0.1:{port}"
        before = rss_mb()
        conns = [await connect(url, compression=None, proxy=None) for _ in range(100)]
        print_measurement(
            "idle links", links=100, kb_each_end=round((rss_mb() - before) * 1000 / 200, 1)
        )
        raw = encode(Ping("ping", 1, 1))
        count = 3000
        started_at, used = time.perf_counter(), time.process_time()
        for _ in range(count):
            await conns[0].send(raw)
            decode(await conns[0].recv())
        spent = (time.process_time() - used) / count / 2 * 1e6
        wall = (time.perf_counter() - started_at) / count * 1e6
        print_measurement(
            "small message, both ends", cpu_us=round(spent, 1), round_trip_us=round(wall, 1)
        )
        for conn in conns:
            await conn.close()


def main() -> int:
    """Run all measurements."""
    print_measurement("memory at import", mb=round(rss_mb(), 1))
    measure_frames()
    measure_merge()
    measure_membership()
    measure_routing()
    measure_planning()
    measure_ledger()
    measure_manifest()
    asyncio.run(measure_link())
    return 0


if __name__ == "__main__":
    sys.exit(main())
