"""The manifest: validation, canonical form, digest, differences and indexes."""

import hashlib
import json
from collections import Counter
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

import msgspec

from peridotdock.config import list_errors, load_schema
from peridotdock.items import Item, make_adapter, make_model
from peridotdock.schema.manifest import Caller, Endpoint, Manifest, Service

SECTIONS = ("callers", "endpoints", "models", "adapters", "services")
MAX_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True)
class CheckResult:
    """Outcome of a check: the manifest, or all errors in it."""

    manifest: Manifest | None
    document: dict[str, Any]
    errors: tuple[str, ...] = ()


def canonical(document: dict[str, Any]) -> bytes:
    """Return the canonical form of ``document``, which is digested and stored."""
    return json.dumps(document, sort_keys=True, separators=(",", ":")).encode()


def digest(document: dict[str, Any]) -> str:
    """Return the SHA-256 of the canonical form, in hex."""
    return hashlib.sha256(canonical(document)).hexdigest()


def check(raw: bytes) -> CheckResult:
    """Check the bytes of a manifest against the schema, then its unique names and references."""
    if len(raw) > MAX_BYTES:
        return CheckResult(None, {}, (f"$: larger than {MAX_BYTES} bytes",))
    try:
        document = json.loads(raw)
    except (ValueError, RecursionError) as exc:
        return CheckResult(None, {}, (f"$: not JSON: {exc}",))
    errors = list_errors(load_schema("manifest"), document)
    if errors:
        return CheckResult(None, {}, tuple(errors))
    manifest = msgspec.convert(document, Manifest)
    errors = [*find_duplicates(manifest), *find_dangling_references(manifest)]
    if errors:
        return CheckResult(None, document, tuple(errors))
    return CheckResult(manifest, document)


def find_duplicates(manifest: Manifest) -> list[str]:
    """Return an error for each duplicate of a name that must be unique."""
    names = {section: [row.id for row in getattr(manifest, section)] for section in SECTIONS}
    names["models and adapters"] = names.pop("models") + names.pop("adapters")
    names["caller tokens"] = [row.token_sha256 for row in manifest.callers]
    return [
        f"$.{section}: {name!r} stands {count} times, expected once"
        for section, found in names.items()
        for name, count in Counter(found).items()
        if count > 1
    ]


def find_dangling_references(manifest: Manifest) -> list[str]:
    """Return an error for each reference to a missing model or service endpoint.

    An engine without accelerators is an error too.
    """
    models = {row.id for row in manifest.models}
    kinds = {row.id: row.kind for row in manifest.endpoints}
    errors = [
        f"$.adapters[{place}].base: no model {row.base!r}"
        for place, row in enumerate(manifest.adapters)
        if row.base not in models
    ]
    for place, service in enumerate(manifest.services):
        for name in service.endpoints:
            if kinds.get(name) != "service":
                errors.append(
                    f"$.services[{place}].endpoints: no endpoint {name!r} of kind service"
                )
    for place, row in enumerate(manifest.endpoints):
        if row.kind == "engine" and not row.accelerators:
            errors.append(f"$.endpoints[{place}].accelerators: an engine needs at least one")
    return errors


def diff(old: dict[str, Any], new: dict[str, Any]) -> dict[str, Any]:
    """Return the changes from ``old`` to ``new``: rows set and removed by section, other fields."""
    changes: dict[str, Any] = {"set": {}, "removed": {}, "fields": {}}
    for section in SECTIONS:
        before = {row["id"]: row for row in old.get(section, [])}
        after = {row["id"]: row for row in new.get(section, [])}
        changed = [row for name, row in after.items() if before.get(name) != row]
        removed = [name for name in before if name not in after]
        if changed:
            changes["set"][section] = changed
        if removed:
            changes["removed"][section] = removed
        changes["fields"][f"order:{section}"] = list(after) if list(before) != list(after) else None
    plain = {key for key in (*old, *new) if key not in SECTIONS}
    changes["fields"] |= {key: new.get(key) for key in plain if old.get(key) != new.get(key)}
    changes["fields"] = {
        key: value for key, value in changes["fields"].items() if value is not None
    }
    return changes


def apply_diff(old: dict[str, Any], changes: dict[str, Any]) -> dict[str, Any]:
    """Apply ``changes`` to ``old``; the result's digest must be checked by the calling code."""
    new = dict(old)
    for section in SECTIONS:
        rows = {row["id"]: row for row in old.get(section, [])}
        rows |= {row["id"]: row for row in changes["set"].get(section, [])}
        for name in changes["removed"].get(section, []):
            rows.pop(name, None)
        order = changes["fields"].get(f"order:{section}", list(rows))
        if rows or section in old:
            new[section] = [rows[name] for name in order if name in rows]
    for key, value in changes["fields"].items():
        if not key.startswith("order:"):
            new[key] = value
    return new


@dataclass(frozen=True)
class Accepted:
    """A manifest in force, with its generation, digest and indexes."""

    generation: int
    digest: str
    document: dict[str, Any] = field(repr=False)
    manifest: Manifest = field(repr=False)

    @cached_property
    def items(self) -> dict[str, Item]:
        """Return the models and adapters by the name that callers use."""
        models = {row.id: make_model(row) for row in self.manifest.models}
        adapters = {row.id: make_adapter(row, models[row.base]) for row in self.manifest.adapters}
        return models | adapters

    @cached_property
    def by_key(self) -> dict[str, Item]:
        """Return the models and adapters by item key."""
        return {item.key: item for item in self.items.values()}

    @cached_property
    def endpoints(self) -> dict[str, Endpoint]:
        """Return the endpoints by name."""
        return {row.id: row for row in self.manifest.endpoints}

    @cached_property
    def engines(self) -> dict[str, Endpoint]:
        """Return the endpoints that are model engines, by name."""
        return {name: row for name, row in self.endpoints.items() if row.kind == "engine"}

    @cached_property
    def services(self) -> dict[str, Service]:
        """Return the plain services by name."""
        return {row.id: row for row in self.manifest.services}

    @cached_property
    def callers(self) -> dict[str, Caller]:
        """Return the callers by the digest of their token."""
        return {row.token_sha256: row for row in self.manifest.callers}


def accept(generation: int, raw: bytes) -> Accepted | None:
    """Build the accepted form of a stored body; None if this version cannot decode it.

    The schema was checked at publication, and the digest identifies the body. Checking it again on
    every host would delay the host's streams.
    """
    try:
        document = json.loads(raw)
        manifest = msgspec.convert(document, Manifest)
    except (ValueError, msgspec.ValidationError):
        return None
    return Accepted(generation, digest(document), document, manifest)
