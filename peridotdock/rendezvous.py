"""Rendezvous hashing: all hosts that see the same members choose the same one."""

from collections.abc import Iterable

import xxhash


def weigh(key: str, member: str) -> int:
    """Return the weight of ``member`` for ``key``."""
    return xxhash.xxh64_intdigest(f"{key}|{member}".encode())


def choose(key: str, members: Iterable[str], count: int = 1) -> list[str]:
    """Return the ``count`` heaviest members for ``key``, heaviest first."""
    return sorted(members, key=lambda member: weigh(key, member), reverse=True)[:count]


def neighbours(host: str, others: Iterable[str], degree: int) -> list[str]:
    """Return the hosts that ``host`` links to; the weight of a pair is the same at both ends."""

    def weight(other: str) -> int:
        return weigh("link", "|".join(sorted((host, other))))

    return sorted((other for other in others if other != host), key=weight, reverse=True)[:degree]


class Assignment:
    """Remembers which keys fall to a host while keys and members stay the same.

    A round hashes each key with each member; the members change rarely.
    """

    def __init__(self, host: str):
        self._host = host
        self._seen: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
        self._own_keys: frozenset[str] = frozenset()

    def own_keys(self, keys: Iterable[str], members: Iterable[str]) -> frozenset[str]:
        """Return the keys for which this host is the heaviest of ``members``."""
        seen = (tuple(keys), tuple(members))
        if seen != self._seen:
            self._seen = seen
            self._own_keys = frozenset(
                key for key in seen[0] if choose(key, seen[1]) == [self._host]
            )
        return self._own_keys
