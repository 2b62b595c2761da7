"""How two hosts prove to each other that they know the cluster key, when a link begins."""

import os

from websockets.asyncio.connection import Connection

from peridotdock.context import Context
from peridotdock.errors import Failure, Kind, failed
from peridotdock.frames import Frame, decode, encode, make_proof, verify_proof
from peridotdock.schema.messages import Hello

NONCE_BYTES = 16


async def perform_handshake(ctx: Context, conn: Connection, dialled: bool) -> Hello | Failure:
    """Prove the cluster key to each other: nonce, nonce with proof, proof."""
    nonce = os.urandom(NONCE_BYTES)
    if not dialled:
        await conn.send(encode(_hello(ctx, nonce, b"")))
    hello = decode(await conn.recv())
    if not isinstance(hello, Hello):
        return _refuse(ctx, "no hello", hello)
    key, host = ctx.cfg.cluster_key, ctx.cfg.host_id
    await conn.send(encode(_hello(ctx, nonce, make_proof(key, hello.nonce, host))))
    if dialled:
        hello = decode(await conn.recv())
    if not isinstance(hello, Hello) or not verify_proof(key, nonce, hello):
        return _refuse(ctx, "proof refused", hello)
    return hello


def _hello(ctx: Context, nonce: bytes, proof: bytes) -> Hello:
    return Hello("hello", ctx.cfg.host_id, ctx.incarnation, nonce, proof)


def _refuse(ctx: Context, why: str, found: Frame | Failure) -> Failure:
    reason = found.reason if failed(found) else type(found).__name__
    ctx.timeline.add("peer_refused", "WARNING", detail=f"{why}: {reason}")
    return found if failed(found) else Failure(Kind.NOT_ALLOWED, why)
