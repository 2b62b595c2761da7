"""The addresses that callers should use: the hosts that accept work, spread over all callers."""

import random
from typing import Any

from peridotdock.membership import Member


def order_addresses(members: list[Member], domain: str, rng: random.Random) -> list[Member]:
    """Return the members in the order in which a caller should try them.

    The first address is in the caller's own failure domain. Within a domain the order is random for
    each answer, so that callers do not all use one host. After the first address the other domains
    alternate, so that the next one does not share the failure domain of the one that failed.
    """
    shuffled = rng.sample(members, len(members))
    near = [member for member in shuffled if member.fact.domain == domain]
    far = [member for member in shuffled if member.fact.domain != domain]
    seen: dict[str, int] = {}
    ranked = []
    for member in far:
        rank = seen.get(member.fact.domain, 0)
        seen[member.fact.domain] = rank + 1
        ranked.append((rank, member))
    return near[:1] + [m for _, m in sorted(ranked, key=lambda pair: pair[0])] + near[1:]


def describe_addresses(
    members: list[Member], domain: str, ttl: float, rng: random.Random
) -> dict[str, Any]:
    """Return the body of the answer to ``/v1/addresses``; ``ttl`` is in seconds."""
    rows = [
        {
            "url": f"http://{member.fact.entry}",
            "host": member.fact.host,
            "incarnation": member.fact.incarnation,
            "domain": member.fact.domain,
        }
        for member in order_addresses(members, domain, rng)
    ]
    return {"ttl_seconds": ttl, "addresses": rows}
