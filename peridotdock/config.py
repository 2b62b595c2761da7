"""Settings from flags and environment variables, validated against one JSON schema."""

import json
from collections.abc import Mapping
from functools import cache
from importlib import resources
from typing import Any

from peridotdock.schema.settings import Settings

ENV_PREFIX = "PERIDOTDOCK_"
DECISIONS = frozenset(
    {
        "admission",
        "affinity",
        "correction",
        "planner_copies",
        "prediction",
        "retries",
        "spread",
    }
)
CONVERTERS = {"string": str, "integer": int, "number": float}


@cache
def load_schema(name: str) -> dict[str, Any]:
    """Return the JSON schema ``name`` of the package."""
    text = resources.files("peridotdock.schema").joinpath(f"{name}.json").read_text()
    return json.loads(text)


def list_errors(schema: dict[str, Any], document: Any) -> list[str]:
    """Return every violation of ``schema``, each with its path and what was expected.

    ``jsonschema`` is imported inside the function, so that a host that validates no document does
    not load it.
    """
    import jsonschema

    validator = jsonschema.Draft202012Validator(schema)
    errors = sorted(validator.iter_errors(document), key=lambda exc: list(map(str, exc.path)))
    return [f"{format_path(exc.absolute_path)}: {exc.message}" for exc in errors]


def format_path(path: Any) -> str:
    """Return ``$.models[3].bytes`` for a path of keys and indexes."""
    parts = (f"[{part}]" if isinstance(part, int) else f".{part}" for part in path)
    return "$" + "".join(parts)


def read_values(flags: Mapping[str, Any], environ: Mapping[str, str]) -> dict[str, Any]:
    """Merge flags and environment variables, flags first.

    A value that cannot be converted to its type stays a string, for validation to report.
    """
    values: dict[str, Any] = {}
    for name, rule in load_schema("settings")["properties"].items():
        raw = flags.get(name)
        if raw is None:
            raw = environ.get(ENV_PREFIX + name.upper())
        if raw is None:
            continue
        try:
            values[name] = CONVERTERS[rule["type"]](raw)
        except ValueError:
            values[name] = raw
    return values


def load_settings(
    flags: Mapping[str, Any], environ: Mapping[str, str]
) -> tuple[Settings | None, list[str]]:
    """Return the settings, or None and the list of all errors."""
    values = read_values(flags, environ)
    errors = list_errors(load_schema("settings"), values)
    if errors:
        return None, errors
    return Settings(**values), []


def parse_policy(text: str) -> frozenset[str]:
    """Return the decisions that are disabled; ``naive`` stands for all of them."""
    parts = frozenset(part for part in text.split(",") if part)
    return parts | DECISIONS if "naive" in parts else parts
