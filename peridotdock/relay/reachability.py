"""Computes which hosts this one can reach over links, from the links that all hosts publish.

The end of a host shows at the other ends of its links, at once when it was killed and a little
later when it stopped responding; these hosts notify all others. Therefore no heartbeat has to go
from each host to all others, which would grow with the square of the number of hosts.
"""

from collections.abc import Callable, Collection

from peridotdock.clock import Clock
from peridotdock.fact_table import FactTable, Slot


class Reachability:
    """The hosts that this one reaches, over any number of links.

    A link counts when both ends publish it: a host that is gone for good publishes no more, but its
    last published links remain known. ``peers`` returns the hosts at the other ends of this host's
    links, ``last_received`` when the last frame came from a host whose link has ended,
    ``incarnation`` the one of a linked host.
    """

    def __init__(
        self,
        facts: FactTable,
        clock: Clock,
        host: str,
        peers: Callable[[], set[str]],
        last_received: Callable[[str], float],
        incarnation: Callable[[str], str],
    ):
        self._facts = facts
        self._clock = clock
        self._host = host
        self._peers = peers
        self._last_received = last_received
        self._incarnation = incarnation
        self._direct: frozenset[str] = frozenset()
        self._found: frozenset[str] = frozenset()
        self._unreachable_since: dict[str, float] = {}
        self._changed_at: float | None = clock.monotonic()
        facts.listen(self._on_changed)

    def _on_changed(self, slots: list[Slot]) -> None:
        if self._changed_at is None and any(topic == "links" for _, topic in slots):
            self._changed_at = self._clock.monotonic()

    def hosts(self) -> frozenset[str]:
        """Return the reachable hosts, without this one."""
        if self._changed_at is not None:
            self._refresh(self._changed_at)
            self._changed_at = None
        return self._found

    def last_reachable_at(self, host: str) -> float:
        """Return when a host that is unreachable now was last reachable (monotonic seconds)."""
        return self._unreachable_since.get(host, float("-inf"))

    def forget(self, host: str) -> None:
        """Forget when a host was last reachable."""
        self._unreachable_since.pop(host, None)

    def _refresh(self, changed_at: float) -> None:
        """Search again, and record which hosts are no longer reachable.

        Failure guarded against: a machine loses its power, its link is detected as dead after two
        seconds, and the time for which a host may be unreachable would only start then. A host at
        the other end of an own link counts from its last frame.
        """
        before, self._found = self._found, self._search()
        direct, self._direct = self._direct, frozenset(self._peers())
        for host in before - self._found:
            heard_at = self._last_received(host) if host in direct else changed_at
            self._unreachable_since[host] = min(changed_at, heard_at)
        for host in self._found - before:
            self._unreachable_since.pop(host, None)

    def _search(self) -> frozenset[str]:
        found = {self._host, *self._peers()}
        ends = list(found - {self._host})
        while ends:
            host = ends.pop()
            for peer in self._published_links(host):
                if peer not in found and host in self._published_links(peer):
                    found.add(peer)
                    ends.append(peer)
        return frozenset(found - {self._host})

    def _published_links(self, host: str) -> Collection[str]:
        """Return the links that the present process of a host has published, as far as known.

        Failure guarded against: a host that has started again is linked before its links are known
        anew, and those of the process before make a host reachable that is off.
        """
        links, fact = self._facts.get(host, "links"), self._facts.get(host, "host")
        if links is None:
            return ()
        if fact is not None and fact.entry.epoch > links.entry.epoch:
            return ()
        linked = fact is not None and host in self._peers()
        if linked and self._incarnation(host) != fact.fact.incarnation:
            return ()
        return links.fact.peers
