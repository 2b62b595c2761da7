"""Rendezvous hashing: hosts that know the same members choose the same one for a key."""

from collections.abc import Iterable

import xxhash


def weigh(key: str, member: str) -> int:
    """Return the weight of ``member`` for ``key``."""
    return xxhash.xxh64_intdigest(f"{key}|{member}".encode())


def choose(key: str, members: Iterable[str], count: int = 1) -> list[str]:
    """Return the ``count`` heaviest members for ``key``, heaviest first."""
    return sorted(members, key=lambda member: weigh(key, member), reverse=True)[:count]


def neighbours(host: str, others: Iterable[str], degree: int) -> list[str]:
    """Return the ``degree`` hosts that ``host`` links to; both ends weigh a pair the same."""

    def weight(other: str) -> int:
        return weigh("link", "|".join(sorted((host, other))))

    return sorted((other for other in others if other != host), key=weight, reverse=True)[:degree]


class Assignment:
    """Caches which keys are assigned to a host while keys and members stay the same.

    Computing it hashes each key with each member, and the members change rarely.
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
