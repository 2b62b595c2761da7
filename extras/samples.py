"""Sample manifests in the sizes of the first two deployments, for given endpoints."""

import hashlib
from dataclasses import dataclass

GIB = 2**30
TOKEN = "sample-caller-token"
INTERACTIVE_TOKEN = "sample-live-token"


@dataclass(frozen=True)
class Shape:
    """The shape of a deployment: failure domains, model and adapter counts, price of a move."""

    name: str
    domains: tuple[str, ...]
    models: int
    adapters: int
    move_price: float
    parallel_loads: int
    service: str
    first_token_ms: int


KAHINI_GHAR = Shape(
    "kahini-ghar", ("salt-lake", "new-town", "howrah", "behala"), 13, 60, 2.0, 5, "notes", 490
)
HANEUL = Shape("haneul", ("gasan", "mokdong", "pangyo", "sangam"), 13, 55, 0.5, 2, "broker", 490)
SHAPES = {shape.name: shape for shape in (KAHINI_GHAR, HANEUL)}
ACCELERATORS = 2
ACCELERATOR_BYTES = 160 * GIB
MODEL_BYTES = tuple(GIB * size for size in (30, 16, 44, 28, 16, 30, 24, 40, 16, 28, 20, 30, 16))


def digest_token(token: str) -> str:
    """Return the SHA-256 digest of a token, as manifests hold it."""
    return hashlib.sha256(token.encode()).hexdigest()


def make_manifest(
    shape: Shape, engines: list[tuple[str, str]], services: list[tuple[str, str]]
) -> dict:
    """Return the manifest of ``shape`` for endpoints given as (name, URL)."""
    endpoints = [
        {
            "id": name,
            "url": url,
            "domain": shape.domains[index % len(shape.domains)],
            "kind": "engine",
            "fencing": index % 2 == 0,
            "accelerators": [
                {"id": f"a{number}", "bytes": ACCELERATOR_BYTES} for number in range(ACCELERATORS)
            ],
        }
        for index, (name, url) in enumerate(engines)
    ]
    endpoints += [
        {
            "id": name,
            "url": url,
            "domain": shape.domains[index % len(shape.domains)],
            "kind": "service",
        }
        for index, (name, url) in enumerate(services)
    ]
    target = {"first_token_ms": shape.first_token_ms, "between_tokens_ms": 76}
    return {
        "format": 1,
        "release": f"{shape.name}-1",
        "sequence": 1,
        "based_on": 0,
        "deployment": {
            "name": shape.name,
            "move_price": shape.move_price,
            "parallel_loads": shape.parallel_loads,
        },
        "callers": [
            {
                "id": "sample",
                "token_sha256": digest_token(TOKEN),
                "requests_per_second": 5000,
                "streams": 2000,
            },
            {
                "id": "live",
                "token_sha256": digest_token(INTERACTIVE_TOKEN),
                "requests_per_second": 5000,
                "streams": 2000,
                "priority": 8,
            },
        ],
        "endpoints": endpoints,
        "models": [
            {
                "id": f"{shape.name}-model-{number}",
                "version": "1",
                "bytes": MODEL_BYTES[number % len(MODEL_BYTES)],
                "target": target,
            }
            for number in range(shape.models)
        ],
        "adapters": [
            {
                "id": f"{shape.name}-adapter-{number}",
                "base": f"{shape.name}-model-{number % shape.models}",
                "version": "1",
                "bytes": GIB // 4,
            }
            for number in range(shape.adapters)
        ],
        "services": [
            {
                "id": shape.service,
                "endpoints": [name for name, _ in services],
                "repeatable": [{"method": "GET", "path": "*"}],
            }
        ],
    }
