"""This host's views of the store's tables, read from the store or fed by the reader's frames."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from peridotdock.clients.tables import TableChanges, Tables, TableView
from peridotdock.clients.versions import ABSENT
from peridotdock.context import Context
from peridotdock.decisions.freshness import divide_bound
from peridotdock.frames import deflate_rows
from peridotdock.relay.following import NEVER, ApplyRows, Follower
from peridotdock.relay.peers import Peers
from peridotdock.schema.messages import Rows, RowsWanted

# Seconds between two frames of the reader on an unchanged table: a third of the shortest time for
# which it may be silent.
UNCHANGED_INTERVAL_SECONDS = 0.3
HideKeys = Callable[[str, dict[str, bytes | None]], dict[str, bytes | None]]
# Maximum bytes of a change, deflated, that is sent to all hosts over links, in place of a call of
# the store by each of them: a larger one would saturate the link of the host that forwards it.
MAX_PUBLISHED_BYTES = 64 * 1024


def count_bytes(frame: Rows) -> int:
    """Return the bytes of the values in a frame."""
    return sum(len(raw) for raw in frame.values.values() if raw)


@dataclass
class FollowedTable:
    """One followed table. ``bound`` is how soon a change must be seen, in seconds.

    ``max_published_bytes`` is the maximum size of a published change, deflated; for a larger one,
    other hosts are only notified and read it themselves. ``beat`` and ``published_at`` are those of
    this host's last frame on it.
    """

    follower: Follower
    bound: float
    max_published_bytes: int
    beat: int = 0
    published_at: float = NEVER


class Views:
    """All tables that this host follows."""

    def __init__(
        self, ctx: Context, tables: Tables, peers: Peers, is_lease_holder: Callable[[], bool]
    ):
        self._ctx = ctx
        self._tables = tables
        self._peers = peers
        self._is_lease_holder = is_lease_holder
        self._followed: dict[str, FollowedTable] = {}
        self.hide_keys: HideKeys = lambda table, rows: rows
        peers.mesh.on_rows = self._receive
        peers.mesh.on_rows_wanted = self._answer_rows_wanted

    def follow(
        self,
        table: str,
        apply_rows: ApplyRows,
        bound: float,
        max_published_bytes: int = MAX_PUBLISHED_BYTES,
        pause: float | None = None,
    ) -> Follower:
        """Return the follower of a table, to be run; ``pause`` overrides the bound's share."""
        limits = divide_bound(bound)
        rest = limits.pause if pause is None else pause
        follower = Follower(self._ctx, self._tables, table, apply_rows, lambda: rest, limits)
        follower.must_read = self._must_read
        follower.publish = lambda found, after: self._publish(table, found, after)
        follower.request_rows = lambda after: self._peers.mesh.request_rows(table, after)
        follower.on_call_lost = lambda: self._send_unchanged(table)
        self._followed[table] = FollowedTable(follower, bound, max_published_bytes)
        return follower

    def _must_read(self) -> bool:
        """Return whether this host must read the store: as lease holder, or where none is known."""
        return self._is_lease_holder() or not self._peers.has_lease_holder()

    def _publish(self, table: str, found: TableChanges | TableView, after: int) -> None:
        """On the reader, publish what the store returned to the other hosts."""
        whole = isinstance(found, TableView)
        self._send_rows(table, after, found.version, found.values, whole)

    def _send_rows(
        self,
        table: str,
        after: int,
        version: int,
        values: Mapping[str, bytes | None],
        whole: bool = False,
    ) -> None:
        if not self._is_lease_holder():
            return
        row = self._followed[table]
        row.beat += 1
        row.published_at = self._ctx.clock.monotonic()
        frame = self._frame(row, after, version, values)
        frame = replace(frame, whole=whole, lost=row.follower.last_call_failed())
        if count_bytes(frame) > row.max_published_bytes:
            frame = replace(frame, values={}, deflated=[], whole=False, changed=True)
        self._peers.mesh.send_rows(frame)

    def _frame(
        self, row: FollowedTable, after: int, version: int, values: Mapping[str, bytes | None]
    ) -> Rows:
        age = round(row.follower.age() * 1000)
        origin = self._ctx.incarnation
        table = row.follower.table
        hidden = self.hide_keys(table, dict(values))
        return deflate_rows(Rows("rows", table, origin, row.beat, after, version, hidden, age=age))

    def publish_unchanged(self) -> None:
        """Publish that nothing has changed, and how long ago that was known.

        The age is that of answers on the same table. Failure guarded against: the call on a table
        is lost while the lease is renewed over another connection; other hosts then treat an old
        view as current, and none of them calls the store.
        """
        now = self._ctx.clock.monotonic()
        for table, row in self._followed.items():
            if now - row.published_at >= UNCHANGED_INTERVAL_SECONDS:
                self._send_unchanged(table)

    def _send_unchanged(self, table: str) -> None:
        known = self._followed[table].follower.version
        if known is not None:
            self._send_rows(table, known, known, {})

    def _receive(self, frame: Rows) -> bool:
        row = self._followed.get(frame.table)
        return row is not None and row.follower.receive(frame)

    def _answer_rows_wanted(self, wanted: RowsWanted) -> Rows | None:
        """Return a whole table for a host that the store refuses, if the local one is newer."""
        row = self._followed.get(wanted.table)
        version = row.follower.version if row is not None else None
        if row is None or version is None or version <= wanted.after:
            return None
        frame = self._frame(row, wanted.after, version, row.follower.rows)
        return replace(frame, whole=True, direct=True)

    def request_unread(self) -> None:
        """Request the tables that this host has not read from the store so far from other hosts."""
        for table, row in self._followed.items():
            if row.follower.version is None:
                self._peers.mesh.request_rows(table, ABSENT)

    def refresh(self) -> None:
        """Call the store again for all tables: after a possible outage, it may have lost calls."""
        for row in self._followed.values():
            row.follower.refresh()

    def age(self, table: str) -> float:
        """Return the seconds since a table was last known to match the store."""
        return self._followed[table].follower.age()

    def record_ages(self) -> None:
        """Log and export the ages of the views."""
        for row in self._followed.values():
            row.follower.record_age(row.bound)
