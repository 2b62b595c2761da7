"""The answer that lists the addresses for callers to connect to."""

import json

# The platform accepts at most this many addresses in one answer.
MAX_ADDRESSES = 64


def write_addresses(addresses: list[str], seconds: float) -> bytes:
    """Return the answer as JSON; callers cache it for ``seconds``."""
    return json.dumps({"addresses": addresses[:MAX_ADDRESSES], "ttl_s": seconds}).encode()
