"""Prompt prefixes as chains of block hashes, the unit in which engines cache prompts."""

import struct

import xxhash

BLOCK_CHARS = 512
MAX_BLOCKS = 256
CHARS_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_CHARS // CHARS_PER_TOKEN


def hash_blocks(seed: str, text: str) -> tuple[int, ...]:
    """Return a hash for each complete block of ``text``; each also covers all preceding text.

    ``seed`` is the item key, as different items share no cached blocks.
    """
    digest = xxhash.xxh64_intdigest(seed.encode())
    chain = []
    for start in range(0, min(len(text), MAX_BLOCKS * BLOCK_CHARS) - BLOCK_CHARS + 1, BLOCK_CHARS):
        block = text[start : start + BLOCK_CHARS].encode()
        digest = xxhash.xxh64_intdigest(struct.pack("<Q", digest) + block)
        chain.append(digest)
    return tuple(chain)


def count_tokens(text: str) -> int:
    """Return an estimate of the number of prompt tokens, from the length of the text."""
    return max(1, len(text) // CHARS_PER_TOKEN)
