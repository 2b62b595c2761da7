"""Frames between hosts: CBOR maps checked against the generated classes."""

import hashlib
import hmac
from collections.abc import Sequence
from typing import Any

import cbor2
import msgspec

from peridotdock.errors import Failure, Kind
from peridotdock.schema.messages import (
    Body,
    Entry,
    Fetch,
    Hello,
    Ping,
    Rows,
    RowsWanted,
    Update,
)

MAX_FRAME_BYTES = 20 * 1024 * 1024
MAX_ENTRIES = 4096
FRAMES: dict[str, type] = {
    "hello": Hello,
    "update": Update,
    "ping": Ping,
    "fetch": Fetch,
    "body": Body,
    "rows": Rows,
    "rows_wanted": RowsWanted,
}
# An update up to the array of its facts, and from there to its stamp: a CBOR map of three pairs.
UPDATE_HEAD = b"\xa3" + b"".join(map(cbor2.dumps, ("kind", "update", "entries")))
UPDATE_STAMP = cbor2.dumps("stamp")
Frame = Hello | Update | Ping | Fetch | Body | Rows | RowsWanted


def encode(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    return cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))


def encode_entry(entry: Entry, age: int) -> bytes:
    """Return the bytes of a fact as it stands in an update, with its age in milliseconds."""
    return cbor2.dumps(
        {
            "origin": entry.origin,
            "topic": entry.topic,
            "epoch": entry.epoch,
            "version": entry.version,
            "body": entry.body,
            "age": age,
        }
    )


def encode_update(entries: Sequence[bytes], stamp: int) -> bytes:
    """Return the bytes of an update whose facts are written already.

    The hub sends the same facts over all its links, so each is written once.
    """
    head = UPDATE_HEAD + _array_head(len(entries))
    return b"".join((head, *entries, UPDATE_STAMP, cbor2.dumps(stamp)))


def _array_head(count: int) -> bytes:
    """Return how CBOR begins an array (major type 4) of up to 65,535 elements."""
    if count < 24:
        return bytes((0x80 | count,))
    if count < 256:
        return bytes((0x98, count))
    return b"\x99" + count.to_bytes(2, "big")


def decode(raw: Any) -> Frame | Failure:
    """Read a frame; a bad one is a failure with the reason, never an exception.

    Fields that this version does not know are passed over; a kind that it does not know is not
    an error of the peer's, but nothing can be done with it either.
    """
    if not isinstance(raw, bytes):
        return Failure(Kind.BAD_REQUEST, "a text frame")
    try:
        found = cbor2.loads(raw)
        shape = FRAMES[found["kind"]]
        frame = msgspec.convert(found, shape)
    except (cbor2.CBORDecodeError, msgspec.ValidationError) as exc:
        return Failure(Kind.BAD_REQUEST, f"{type(exc).__name__}: {exc}")
    except (KeyError, TypeError, ValueError, RecursionError, OverflowError, MemoryError) as exc:
        return Failure(Kind.BAD_REQUEST, f"no frame: {type(exc).__name__}")
    if isinstance(frame, Update) and len(frame.entries) > MAX_ENTRIES:
        return Failure(Kind.BAD_REQUEST, "too many entries")
    return frame


def sign(key: str, nonce: bytes, host: str) -> bytes:
    """Return the proof that ``host`` knows the cluster key, for the other side's ``nonce``."""
    return hmac.digest(key.encode(), nonce + host.encode(), hashlib.sha256)


def proves(key: str, nonce: bytes, hello: Hello) -> bool:
    """Tell whether ``hello`` proves knowledge of the cluster key."""
    return hmac.compare_digest(sign(key, nonce, hello.host), hello.proof)
