"""The answer to callers that ask where to connect."""

import json

# The platform takes no more addresses than this in one answer.
MOST_ADDRESSES = 64


def write_addresses(addresses: list[str], seconds: float) -> bytes:
    """Return the answer to where to connect; callers keep it for ``seconds``."""
    return json.dumps({"addresses": addresses[:MOST_ADDRESSES], "ttl_s": seconds}).encode()
