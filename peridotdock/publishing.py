"""Publishes manifests by compare-and-set and fetches their bodies.

The head row names generation and digest; the body is an object named by its digest. A host
learns of a new head from the platform or from a peer, whichever is first, and fetches the body from
the object store or from a peer. It checks the digest and accepts only a higher generation.
"""

import json
from dataclasses import dataclass
from typing import Any

from peridotdock import manifest as manifests
from peridotdock.clients.platform import Platform, Row, Transaction, commit_and_resolve
from peridotdock.clients.versions import ABSENT
from peridotdock.errors import Failure, Kind, failed
from peridotdock.manifest import Accepted, CheckResult
from peridotdock.placement import find_floor_errors

HEAD_KEY = "manifest/head"


@dataclass(frozen=True)
class Published:
    """An accepted publication; ``changed`` is False if the manifest was already in force."""

    generation: int
    digest: str
    changed: bool


def object_name(digest: str) -> str:
    """Return the name of a body in the object store."""
    return f"manifest/{digest}"


def diff_name(old: str, new: str) -> str:
    """Return the name of the difference between two bodies in the object store."""
    return f"manifest/{old}..{new}"


def check_all(raw: bytes) -> CheckResult:
    """Check a manifest, including whether its floor fits."""
    checked = manifests.check(raw)
    if checked.manifest is None:
        return checked
    accepted = Accepted(0, "", checked.document, checked.manifest)
    errors = find_floor_errors(accepted)
    return CheckResult(None, checked.document, tuple(errors)) if errors else checked


def make_head(generation: int, document: dict[str, Any], previous: str) -> dict[str, Any]:
    """Return the head that puts a document in force after the one with digest ``previous``."""
    return {
        "generation": generation,
        "digest": manifests.digest(document),
        "release": document["release"],
        "sequence": document["sequence"],
        "previous": previous,
    }


def newest_head(row: Row | None, current: Accepted | None) -> dict[str, Any] | None:
    """Return the head in the row, or that of the manifest in force here if it is newer.

    Failure guarded against: the platform returns from an older copy, and a manifest is accepted
    under a generation that hosts have in force already. They would never fetch it.
    """
    head = row.value if row else None
    if current is None or (head is not None and head["generation"] >= current.generation):
        return head
    return make_head(current.generation, current.document, "")


async def restore_head(platform: Platform, row: Row | None, current: Accepted) -> bool:
    """Write the head of the manifest in force again; return whether that was done.

    ``row`` is the older head, or None if the platform has lost it.
    """
    stored = await platform.put_object(
        object_name(current.digest), manifests.canonical(current.document)
    )
    if stored is not None:
        return False
    head = make_head(current.generation, current.document, row.value["digest"] if row else "")
    checks = {HEAD_KEY: row.version if row else ABSENT}
    outcome = await commit_and_resolve(platform, Transaction(checks, {HEAD_KEY: head}))
    return not failed(outcome)


def check_successor(
    head: dict[str, Any] | None, document: dict[str, Any], digest: str
) -> Failure | None:
    """Return the failure why a document may not follow the head, or None."""
    if head is None:
        if document["based_on"] == 0:
            return None
        return Failure(Kind.MANIFEST_CONFLICT, "no manifest is in force; expected based_on 0")
    if head["sequence"] >= document["sequence"]:
        reason = f"release {head['release']} ({head['sequence']}) is in force"
        return Failure(Kind.MANIFEST_STALE, reason)
    if head["generation"] != document["based_on"]:
        reason = (
            f"based on generation {document['based_on']}, in force is {head['generation']}"
            f" with digest {head['digest']}; offered digest {digest}"
        )
        return Failure(Kind.MANIFEST_CONFLICT, reason)
    return None


async def publish(
    platform: Platform, document: dict[str, Any], current: Accepted | None
) -> Published | Failure:
    """Publish a checked document; ``current`` is the manifest in force at this host.

    A ``Published`` result means that the head is committed. If the commit's outcome is unknown,
    the failure is of kind ``OUTCOME_UNKNOWN``.
    """
    digest = manifests.digest(document)
    rows = await platform.read([HEAD_KEY])
    if failed(rows):
        return Failure(Kind.PLATFORM_DOWN, "not accepted: the head could not be read")
    row = rows.get(HEAD_KEY)
    head = newest_head(row, current)
    if head is not None and head["digest"] == digest:
        return Published(head["generation"], digest, changed=False)
    refusal = check_successor(head, document, digest)
    if refusal is not None:
        return refusal
    stored = await store_bodies(platform, document, digest, head, current)
    if stored is not None:
        return Failure(Kind.PLATFORM_DOWN, "not accepted: the body could not be stored")
    return await commit_head(platform, document, digest, row, head)


async def store_bodies(
    platform: Platform,
    document: dict[str, Any],
    digest: str,
    head: dict[str, Any] | None,
    current: Accepted | None,
) -> Failure | None:
    """Store the body, and its difference to the body in force for hosts that have that one."""
    if current is not None and head is not None and current.digest == head["digest"]:
        changes = manifests.diff(current.document, document)
        raw = json.dumps(changes, separators=(",", ":")).encode()
        # A failed write is ignored: without the difference, hosts fetch the whole body.
        await platform.put_object(diff_name(current.digest, digest), raw)
    return await platform.put_object(object_name(digest), manifests.canonical(document))


async def commit_head(
    platform: Platform,
    document: dict[str, Any],
    digest: str,
    row: Row | None,
    before: dict[str, Any] | None,
) -> Published | Failure:
    """Replace the row of the head if it is still the one that was read.

    ``before`` is the head that the document was checked against.
    """
    generation = (before["generation"] if before else 0) + 1
    head = make_head(generation, document, before["digest"] if before else "")
    tx = Transaction({HEAD_KEY: row.version if row else ABSENT}, {HEAD_KEY: head})
    outcome = await commit_and_resolve(platform, tx)
    if not failed(outcome):
        return Published(generation, digest, changed=True)
    if outcome.kind is Kind.CONFLICT:
        restored = await find_restored(platform, row, before)
        if restored is not None:
            return await commit_head(platform, document, digest, restored, before)
        return await explain_conflict(platform, document, digest)
    if outcome.kind is Kind.PLATFORM_DOWN:
        return Failure(Kind.PLATFORM_DOWN, "not accepted")
    return Failure(Kind.OUTCOME_UNKNOWN, outcome.reason)


async def find_restored(
    platform: Platform, row: Row | None, before: dict[str, Any] | None
) -> Row | None:
    """Return the row of the head if a host has written ``before`` again since ``row`` was read.

    Failure guarded against: the platform has returned from an older copy, a host writes the head in
    force again, and a publication that follows that head is refused as slower than another one.
    """
    rows = await platform.read([HEAD_KEY])
    found = None if failed(rows) else rows.get(HEAD_KEY)
    if found is None or before is None or (row is not None and found.version == row.version):
        return None
    same = all(found.value[name] == before[name] for name in ("generation", "digest"))
    return found if same else None


async def explain_conflict(
    platform: Platform, document: dict[str, Any], digest: str
) -> Published | Failure:
    """Return why the head changed meanwhile, or success if the same document is in force."""
    rows = await platform.read([HEAD_KEY])
    lost = Failure(Kind.MANIFEST_CONFLICT, "another publication was faster")
    if failed(rows) or HEAD_KEY not in rows:
        return lost
    head = rows[HEAD_KEY].value
    if head["digest"] == digest:
        return Published(head["generation"], digest, changed=False)
    return check_successor(head, document, digest) or lost


async def fetch_from_store(
    platform: Platform, digest: str, current: Accepted | None
) -> bytes | None:
    """Fetch a body from the object store, by its difference to ``current`` where possible.

    Return None if it can't be fetched.
    """
    if current is not None:
        raw = await platform.get_object(diff_name(current.digest, digest))
        document = read_difference(raw, current) if isinstance(raw, bytes) else None
        if document is not None and manifests.digest(document) == digest:
            return manifests.canonical(document)
    raw = await platform.get_object(object_name(digest))
    return raw if isinstance(raw, bytes) else None


def read_difference(raw: bytes, current: Accepted) -> dict[str, Any] | None:
    """Apply a stored difference to ``current``; return None if it cannot be decoded."""
    try:
        return manifests.apply_diff(current.document, json.loads(raw))
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
