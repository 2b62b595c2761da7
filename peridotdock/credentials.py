"""Bearer keys, which are replaced by their digests as soon as they are read.

A key itself is never stored, logged or forwarded, so that no log line, metric or message between
hosts can disclose one.
"""

import hashlib

NO_KEY = ""


def digest_key(key: str) -> str:
    """Return the SHA-256 of a key, in hexadecimal digits."""
    return hashlib.sha256(key.encode()).hexdigest()


def read_bearer(header: str) -> str:
    """Return the digest of the bearer key in a header, or ``NO_KEY`` when it has none."""
    scheme, _, key = header.strip().partition(" ")
    key = key.strip()
    return digest_key(key) if scheme.lower() == "bearer" and key else NO_KEY
