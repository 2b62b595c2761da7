"""Which hosts this one can reach over links, by what all hosts say of theirs.

A host's end shows at the other ends of its links at once when it was killed, and a little later
when it fell silent; they tell all others. So no heartbeat has to go from each host to all others,
which grows with the square of their number.
"""

from collections.abc import Callable, Collection

from peridotdock.board import Board, Slot
from peridotdock.clock import Clock


class Reach:
    """The hosts that this one reaches, over as many links as it takes.

    A link counts when both ends tell of it: one that is gone for good tells of its links no more,
    but the last that it told of them is still known. ``peers`` gives the hosts at the other ends of
    this one's links, ``heard_at`` when the last word came from one whose link has ended.
    """

    def __init__(
        self,
        board: Board,
        clock: Clock,
        host: str,
        peers: Callable[[], set[str]],
        heard_at: Callable[[str], float],
    ):
        self._board = board
        self._clock = clock
        self._host = host
        self._peers = peers
        self._heard_at = heard_at
        self._direct: frozenset[str] = frozenset()
        self._found: frozenset[str] = frozenset()
        self._parted: dict[str, float] = {}
        self._changed_at: float | None = clock.monotonic()
        board.listen(self._changed)

    def _changed(self, slots: list[Slot]) -> None:
        if self._changed_at is None and any(topic == "links" for _, topic in slots):
            self._changed_at = self._clock.monotonic()

    def hosts(self) -> frozenset[str]:
        """Return the hosts that are reached, without this one."""
        if self._changed_at is not None:
            self._look(self._changed_at)
            self._changed_at = None
        return self._found

    def parted(self, host: str) -> float:
        """Return when a host that is not reached now last was (monotonic seconds)."""
        return self._parted.get(host, float("-inf"))

    def forget(self, host: str) -> None:
        """Forget when a host was last reached."""
        self._parted.pop(host, None)

    def _look(self, changed_at: float) -> None:
        """Search anew, and note which hosts are not reached any more.

        Failure guarded against: a machine loses its power, its link is found silent after two
        seconds, and only from then on are those counted for which a host may be out of reach. A
        host at the other end of an own link counts from its last word.
        """
        before, self._found = self._found, self._search()
        direct, self._direct = self._direct, frozenset(self._peers())
        for host in before - self._found:
            heard_at = self._heard_at(host) if host in direct else changed_at
            self._parted[host] = min(changed_at, heard_at)
        for host in self._found - before:
            self._parted.pop(host, None)

    def _search(self) -> frozenset[str]:
        found = {self._host, *self._peers()}
        ends = list(found - {self._host})
        while ends:
            host = ends.pop()
            for peer in self._told_links(host):
                if peer not in found and host in self._told_links(peer):
                    found.add(peer)
                    ends.append(peer)
        return frozenset(found - {self._host})

    def _told_links(self, host: str) -> Collection[str]:
        known = self._board.get(host, "links")
        return known.fact.peers if known is not None else ()
