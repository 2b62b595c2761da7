"""Workspaces, which are the customers that hold keys, and their quotas."""

from collections.abc import Iterable
from dataclasses import dataclass

from peridotdock.credentials import NO_KEY


@dataclass(frozen=True, slots=True)
class Quota:
    """The cluster-wide quota of a workspace: ``rate`` units per second and a ``burst``.

    A unit is a token if ``by_tokens`` is set, otherwise a request. A request without a number of
    tokens counts as ``default_units``.
    """

    rate: float
    burst: float
    by_tokens: bool = False
    default_units: float = 1.0

    def cost(self, tokens: int) -> float:
        """Return the units of a request for ``tokens`` tokens; 0 means that it states no number."""
        if not self.by_tokens:
            return 1.0
        return float(tokens) if tokens > 0 else self.default_units


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer; ``rank``, if set, overrides the rank of its routes; rank 0 is served first."""

    name: str
    rank: int | None = None
    quota: Quota | None = None


class Workspaces:
    """The workspaces of one configuration, indexed by name and by the digests of their keys."""

    def __init__(self, rows: Iterable[tuple[Workspace, Iterable[str]]] = ()):
        self._by_key: dict[str, Workspace] = {}
        self._by_name: dict[str, Workspace] = {}
        for workspace, digests in rows:
            self._by_name[workspace.name] = workspace
            for digest in digests:
                self._by_key.setdefault(digest, workspace)

    def get(self, name: str) -> Workspace | None:
        """Return the workspace called ``name``, or None."""
        return self._by_name.get(name)

    def find(self, digest: str) -> Workspace | None:
        """Return the workspace that holds the key with this digest; None for ``NO_KEY``."""
        return None if digest == NO_KEY else self._by_key.get(digest)

    def quotas(self) -> dict[str, Quota]:
        """Return the quotas by workspace name; workspaces without one are omitted."""
        rows = self._by_name.values()
        return {row.name: row.quota for row in rows if row.quota is not None}

    def __len__(self) -> int:
        return len(self._by_name)
