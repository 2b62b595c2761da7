"""Workspaces: who sends a request, by its key, and how much each may send."""

from collections.abc import Iterable
from dataclasses import dataclass

from peridotdock.credentials import NO_KEY


@dataclass(frozen=True, slots=True)
class Quota:
    """What all hosts together may serve of one workspace: ``rate`` units a second and a ``burst``.

    A unit is a token where ``by_tokens`` is set, else a request. A request that doesn't say how
    many tokens it asks for counts as ``plain_units``.
    """

    rate: float
    burst: float
    by_tokens: bool = False
    default_units: float = 1.0

    def cost(self, tokens: int) -> float:
        """Return the units of a request that asks for so many tokens, 0 where it doesn't say."""
        if not self.by_tokens:
            return 1.0
        return float(tokens) if tokens > 0 else self.default_units


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer. ``rank`` goes before its routes' own where it is set; 0 comes first."""

    name: str
    rank: int | None = None
    quota: Quota | None = None


class Workspaces:
    """The workspaces of one configuration, by the digests of their keys."""

    def __init__(self, rows: Iterable[tuple[Workspace, Iterable[str]]] = ()):
        self._by_key: dict[str, Workspace] = {}
        self._by_name: dict[str, Workspace] = {}
        for workspace, digests in rows:
            self._by_name[workspace.name] = workspace
            for digest in digests:
                self._by_key.setdefault(digest, workspace)

    def get(self, name: str) -> Workspace | None:
        """Return the workspace of a name."""
        return self._by_name.get(name)

    def find(self, digest: str) -> Workspace | None:
        """Return the workspace that holds a key; none holds ``NO_KEY``."""
        return None if digest == NO_KEY else self._by_key.get(digest)

    def quotas(self) -> dict[str, Quota]:
        """Return the quotas of those workspaces that have one, by name."""
        rows = self._by_name.values()
        return {row.name: row.quota for row in rows if row.quota is not None}

    def __len__(self) -> int:
        return len(self._by_name)
