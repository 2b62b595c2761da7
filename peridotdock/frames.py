"""Encodes and decodes frames between hosts: CBOR maps checked against generated classes."""

import hashlib
import hmac
import zlib
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

import cbor2
import msgspec

from peridotdock.errors import Failure, Kind
from peridotdock.schema.messages import (
    Body,
    Entry,
    Fetch,
    Grant,
    GrantDropped,
    GrantWanted,
    Hello,
    PermitGiven,
    PermitWanted,
    Ping,
    PlaceReturned,
    QuotaGiven,
    QuotaReturned,
    QuotaWanted,
    Rows,
    RowsWanted,
    StockGiven,
    StockWanted,
    StreamFound,
    StreamsBegun,
    StreamWanted,
    TrialDropped,
    TrialGiven,
    TrialWanted,
    Update,
)

MAX_FRAME_BYTES = 20 * 1024 * 1024
MAX_ENTRIES = 4096
# Bodies of facts from this size are deflated, at this level. Names repeat in large bodies, which
# are forwarded unchanged over all links; in smaller ones names hardly repeat.
DEFLATE_MIN_BYTES = 512
DEFLATE_LEVEL = 3
# Limit on the size of an inflated body.
MAX_BODY_BYTES = 4 * 1024 * 1024
FRAME_TYPES: dict[str, type] = {
    "hello": Hello,
    "update": Update,
    "ping": Ping,
    "fetch": Fetch,
    "body": Body,
    "rows": Rows,
    "rows_wanted": RowsWanted,
    "grant_wanted": GrantWanted,
    "grant": Grant,
    "grant_dropped": GrantDropped,
    "quota_wanted": QuotaWanted,
    "quota_given": QuotaGiven,
    "quota_returned": QuotaReturned,
    "stock_wanted": StockWanted,
    "stock_given": StockGiven,
    "permit_wanted": PermitWanted,
    "permit_given": PermitGiven,
    "place_returned": PlaceReturned,
    "trial_wanted": TrialWanted,
    "trial_given": TrialGiven,
    "trial_dropped": TrialDropped,
    "streams_begun": StreamsBegun,
    "stream_wanted": StreamWanted,
    "stream_found": StreamFound,
}
# The encoded parts of an update before its array of facts and after it, up to the stamp's value: a
# CBOR map of three pairs.
UPDATE_HEAD = b"\xa3" + b"".join(map(cbor2.dumps, ("kind", "update", "entries")))
UPDATE_STAMP = cbor2.dumps("stamp")
Frame = (
    Hello
    | Update
    | Ping
    | Fetch
    | Body
    | Rows
    | RowsWanted
    | GrantWanted
    | Grant
    | GrantDropped
    | QuotaWanted
    | QuotaGiven
    | QuotaReturned
    | StockWanted
    | StockGiven
    | PermitWanted
    | PermitGiven
    | PlaceReturned
    | TrialWanted
    | TrialGiven
    | TrialDropped
    | StreamsBegun
    | StreamWanted
    | StreamFound
)


def encode(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    return cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))


def deflate(raw: bytes) -> bytes:
    """Return bytes deflated."""
    return zlib.compress(raw, DEFLATE_LEVEL)


def inflate(raw: bytes) -> bytes:
    """Return inflated bytes; raises ValueError if they are malformed or above the size limit.

    Failure guarded against: a few bytes that inflate to more than the host's memory.
    """
    inflater = zlib.decompressobj()
    try:
        found = inflater.decompress(raw, MAX_BODY_BYTES)
    except zlib.error as exc:
        raise ValueError(f"deflated data is malformed: {exc}") from exc
    if not inflater.eof:
        raise ValueError("deflated data is truncated or above the size limit")
    return found


def make_entry(origin: str, topic: str, epoch: int, version: int, fact: Any) -> Entry:
    """Return the entry of a fact, with a large body deflated."""
    body = cbor2.dumps(msgspec.to_builtins(fact, builtin_types=(bytes,)))
    deflated = len(body) >= DEFLATE_MIN_BYTES
    if deflated:
        body = deflate(body)
    return Entry(origin, topic, epoch, version, body, deflated=deflated)


def read_body(entry: Entry) -> Any:
    """Return the decoded body of an entry; raises ValueError if it can't be inflated or decoded."""
    return cbor2.loads(inflate(entry.body) if entry.deflated else entry.body)


def encode_entry(entry: Entry, age: int) -> bytes:
    """Return an entry encoded for an update, with the age of its fact in milliseconds."""
    fields = {
        "origin": entry.origin,
        "topic": entry.topic,
        "epoch": entry.epoch,
        "version": entry.version,
        "body": entry.body,
        "age": age,
    }
    if entry.deflated:
        fields["deflated"] = True
    return cbor2.dumps(fields)


def deflate_rows(frame: Rows) -> Rows:
    """Return a frame with its large values deflated; a configuration shrinks to an eighth."""
    large = [key for key, raw in frame.values.items() if raw and len(raw) >= DEFLATE_MIN_BYTES]
    values = {key: deflate(raw) if key in large else raw for key, raw in frame.values.items()}
    return replace(frame, values=values, deflated=large)


def inflate_rows(frame: Rows) -> dict[str, bytes | None]:
    """Return the inflated values of a frame; raises ValueError if one can't be inflated."""
    large = set(frame.deflated)
    return {key: inflate(raw) if raw and key in large else raw for key, raw in frame.values.items()}


def encode_update(entries: Sequence[bytes], stamp: int) -> bytes:
    """Return the bytes of an update made of encoded entries.

    The hub sends the same facts over all its links, so each is encoded only once.
    """
    head = UPDATE_HEAD + _array_head(len(entries))
    return b"".join((head, *entries, UPDATE_STAMP, cbor2.dumps(stamp)))


def _array_head(count: int) -> bytes:
    """Return the CBOR head of an array (major type 4) of up to 65,535 elements."""
    if count < 24:
        return bytes((0x80 | count,))
    if count < 256:
        return bytes((0x98, count))
    return b"\x99" + count.to_bytes(2, "big")


def decode(raw: Any) -> Frame | Failure:
    """Decode a frame; a malformed one gives a failure with the reason, never an exception.

    Unknown fields are ignored. A frame of an unknown kind is a failure as well: it may come from a
    newer version, but can't be handled.
    """
    if not isinstance(raw, bytes):
        return Failure(Kind.BAD_REQUEST, "a text frame")
    try:
        found = cbor2.loads(raw)
        shape = FRAME_TYPES[found["kind"]]
        frame = msgspec.convert(found, shape)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as exc:
        return Failure(Kind.BAD_REQUEST, f"{type(exc).__name__}: {exc}")
    except (KeyError, TypeError, ValueError, RecursionError, OverflowError, MemoryError) as exc:
        return Failure(Kind.BAD_REQUEST, f"no frame: {type(exc).__name__}")
    if isinstance(frame, Update) and len(frame.entries) > MAX_ENTRIES:
        return Failure(Kind.BAD_REQUEST, "too many entries")
    return frame


def make_proof(key: str, nonce: bytes, host: str) -> bytes:
    """Return the HMAC-SHA-256 that proves that ``host`` knows the cluster key.

    ``nonce`` is the one sent by the other side.
    """
    return hmac.digest(key.encode(), nonce + host.encode(), hashlib.sha256)


def verify_proof(key: str, nonce: bytes, hello: Hello) -> bool:
    """Tell whether ``hello`` proves knowledge of the cluster key."""
    return hmac.compare_digest(make_proof(key, nonce, hello.host), hello.proof)
