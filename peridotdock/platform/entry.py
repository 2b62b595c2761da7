"""Calls of the platform and of callers that are not requests: readiness, where to connect."""

import json

READY_PATH = "/v1/ready"
DIRECTORY_PATH = "/v1/resolve"
# The platform takes no more addresses than this in one answer.
MOST_ADDRESSES = 64


def write_addresses(addresses: list[str], seconds: float) -> bytes:
    """Return the answer to where to connect; callers keep it for ``seconds``."""
    return json.dumps({"addresses": addresses[:MOST_ADDRESSES], "ttl_s": seconds}).encode()


def read_domain(query: dict[str, list[str]]) -> str:
    """Return the failure domain in which a caller says it stands."""
    return (query.get("zone") or [""])[0]
