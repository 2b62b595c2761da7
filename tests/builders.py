"""Builders of manifests and contexts for unit tests."""

import random

from peridotdock.context import build_context
from peridotdock.frames import decode, encode_update
from peridotdock.manifest import Accepted, canonical, check, digest
from peridotdock.schema.settings import Settings

TARGET = {"first_token_ms": 500, "between_tokens_ms": 76}


def make_ctx(clock, host="h0", **settings):
    base = {
        "host_id": host,
        "domain": "north",
        "platform_url": "http://127.0.0.1:1",
        "cluster_key": "0123456789abcdef",
        "lateness_seconds": 30.0,
    }
    return build_context(Settings(**(base | settings)), clock, random.Random(7))


def engine(name, capacity=(100,), domain="north", fencing=True):
    return {
        "id": name,
        "url": f"http://127.0.0.1:{sum(map(ord, name))}",
        "domain": domain,
        "kind": "engine",
        "fencing": fencing,
        "accelerators": [{"id": f"a{n}", "bytes": size} for n, size in enumerate(capacity)],
    }


def model(name, size=30, version="1", **more):
    return {"id": name, "version": version, "bytes": size, "target": TARGET} | more


def adapter(name, base, size=1, version="1"):
    return {"id": name, "base": base, "version": version, "bytes": size}


def document(engines=(), models=(), adapters=(), **more):
    return {
        "format": 1,
        "release": "r1",
        "sequence": 1,
        "based_on": 0,
        "deployment": {"name": "test", "move_price": 0.5, "parallel_loads": 4},
        "callers": [
            {"id": "one", "token_sha256": "0" * 64, "requests_per_second": 10},
        ],
        "endpoints": list(engines),
        "models": list(models),
        "adapters": list(adapters),
    } | more


def accepted(generation=1, **parts):
    result = check(canonical(document(**parts)))
    assert result.manifest is not None, result.errors
    return Accepted(generation, digest(result.document), result.document, result.manifest)


def facts_of(fact_table, slots=None):
    """Return the entries in ``slots`` (default: all), encoded and decoded as for a peer."""
    raw = fact_table.encode_entries(fact_table.slots() if slots is None else slots).values()
    return decode(encode_update(raw, 0)).entries
