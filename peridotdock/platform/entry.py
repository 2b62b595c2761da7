"""The answer to callers that ask where to connect."""

import json

# The platform takes no more addresses than this in one answer.
MAX_ADDRESSES = 64


def write_addresses(addresses: list[str], seconds: float) -> bytes:
    """Return the answer to where to connect; callers keep it for ``seconds``."""
    return json.dumps({"addresses": addresses[:MAX_ADDRESSES], "ttl_s": seconds}).encode()
