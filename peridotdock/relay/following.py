"""Keeps tables of the store up to date on a host, by own calls or by frames of the reader host.

A view knows its age: the time since it was last known to match the store. A host acts on that age
by itself; it waits neither for a call that may never be answered nor for a notice that one was
lost.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Protocol

from peridotdock.clients.tables import TableChanges, Tables, TableView
from peridotdock.clients.versions import describe_version, era_of
from peridotdock.context import Context
from peridotdock.decisions.freshness import (
    MAX_RETRY_SECONDS,
    MIN_BOUND_SECONDS,
    ViewLimits,
    divide_bound,
    retry_delay,
)
from peridotdock.errors import Failure, Kind, failed
from peridotdock.frames import inflate_rows
from peridotdock.schema.messages import Rows

NEVER = float("-inf")
# Minimum seconds between two calls on an unchanged table. The store holds a call for longer; the
# pause prevents a busy loop where it does not.
MIN_PAUSE_SECONDS = 0.05
# Checks of a view's age during the time for which the reader may be silent.
AGE_CHECKS = 4
ApplyRows = Callable[[Mapping[str, bytes | None], bool], None]


class PublishRows(Protocol):
    """Passes on to other hosts what this one has read."""

    def __call__(self, found: TableChanges | TableView, after: int) -> None:
        """Publish what changed after a version, or the whole table."""


class Follower:
    """Keeps a local view of one table of the store.

    ``apply_rows`` gets the rows, and whether they are the whole table. ``pause`` returns the
    seconds between a change and the next call. ``must_read`` tells whether this host reads the
    store regardless of other hosts' frames; ``publish`` then gets what it read. ``rows`` are the
    known rows of the table. ``on_restored`` is called before rows of a new era of the store are
    applied, which may be older than those before. ``request_rows`` requests rows newer than a
    version from other hosts; ``on_call_lost`` is called at the first of several failed calls in a
    row.
    """

    def __init__(
        self,
        ctx: Context,
        tables: Tables,
        table: str,
        apply_rows: ApplyRows,
        pause: Callable[[], float],
        limits: ViewLimits | None = None,
    ):
        self._ctx = ctx
        self._tables = tables
        self.table = table
        self._apply_rows = apply_rows
        self._pause = pause
        self.limits = limits or divide_bound(MIN_BOUND_SECONDS)
        self._version: int | None = None
        self._whole_due = True
        self._interruptible_work: asyncio.Future | None = None
        self._call_in_flight = False
        self._last_beats: dict[str, int] = {}
        self._as_of = NEVER
        self._last_frame_at = NEVER
        self._wanted_version = 0
        self._failed_calls = 0
        self._logged_as_old = False
        self._logged_as_behind = False
        self._logged_refusal = ""
        self.connected = False
        self.rows: dict[str, bytes] = {}
        self.must_read = lambda: True
        self.publish: PublishRows | None = None
        self.request_rows: Callable[[int], None] = lambda after: None
        self.on_call_lost: Callable[[], None] = lambda: None
        self.on_restored: Callable[[], None] = lambda: None

    @property
    def version(self) -> int | None:
        """Return the store's version up to which the table is known, None before it was read."""
        return self._version

    def age(self) -> float:
        """Return the seconds since this view was last known to match the store."""
        return self._ctx.clock.monotonic() - self._as_of

    def last_call_failed(self) -> bool:
        """Return whether the last call on the table failed."""
        return self._failed_calls > 0

    async def run(self) -> None:
        """Follow the table for as long as the process lives.

        Failure guarded against: a row of another writer has an unexpected shape, and applying it
        raises. The task would end, and this host would use its last view for good.
        """
        while True:
            try:
                await self.step()
                self._logged_refusal = ""
            except Exception as exc:
                self._log_refused_rows(exc)
                await self._sleep(MAX_RETRY_SECONDS)

    async def step(self) -> None:
        """Read the table whole, or wait for its next change; pause while another host reads it."""
        after = self._version
        if after is not None and self._fed_by_reader():
            await self._sleep(self.limits.silence / AGE_CHECKS)
            return
        began = self._ctx.clock.monotonic()
        self._call_in_flight = True
        found = await self._interruptible(self._call_store(after))
        self._call_in_flight = False
        if found is None:
            return
        if failed(found):
            await self._handle_failure(found, began)
            return
        whole = isinstance(found, TableView)
        if self._is_outdated(found.version, after, whole):
            return
        changed = whole or bool(found.values)
        if changed:
            self._apply(found.values, whole, found.version)
        self._version = found.version
        self._whole_due = False
        first = self._as_of == NEVER
        self._record_answer(began, changed)
        if self.publish is not None and not first:
            self.publish(found, after or 0)
        await self._sleep(self._pause() if changed else MIN_PAUSE_SECONDS)

    def _is_outdated(self, version: int, after: int | None, whole: bool) -> bool:
        """Return whether an answer is older than what is known now.

        Newer rows may have arrived from another host during the call. A whole table that is older
        than the version that was known before the call replaces it if both are of one era: the
        store has lost versions without naming a new era.
        """
        known = self._version
        if known is None or version >= known:
            return False
        return not (whole and after == known and era_of(version) == era_of(known))

    def _apply(self, values: Mapping[str, bytes | None], whole: bool, version: int) -> None:
        if self._version is not None and era_of(version) > era_of(self._version):
            self.on_restored()
        rows = {} if whole else self.rows
        rows.update(values)
        self.rows = {key: value for key, value in rows.items() if value is not None}
        self._apply_rows(values, whole)

    def _fed_by_reader(self) -> bool:
        """Return whether another host keeps this view up to date."""
        if self.must_read() or self._whole_due or self._behind_reader():
            return False
        reader_active = self._ctx.clock.monotonic() - self._last_frame_at < self.limits.silence
        return reader_active and self.age() < self.limits.age

    def _behind_reader(self) -> bool:
        """Return whether another host has named a version that this one does not have."""
        return self._version is not None and self._wanted_version > self._version

    async def _call_store(self, after: int | None) -> TableView | TableChanges | Failure:
        if after is None or self._whole_due:
            return await self._tables.read_table(self.table)
        limits = self.limits
        return await self._tables.follow(self.table, after, limits.hold, limits.answer)

    async def _interruptible(self, work):
        """Wait for some work; return None when :meth:`refresh` cancelled it."""
        self._interruptible_work = asyncio.ensure_future(work)
        try:
            await asyncio.wait({self._interruptible_work})
            return (
                None if self._interruptible_work.cancelled() else self._interruptible_work.result()
            )
        finally:
            self._interruptible_work.cancel()

    async def _sleep(self, seconds: float) -> None:
        await self._interruptible(self._ctx.clock.sleep(seconds))

    def refresh(self) -> None:
        """Call the store again at once; over a new connection if a call is in flight.

        Failure guarded against: the store stops answering and recovers, and never answers the calls
        that it held, nor any on their connections. The view then remains as old as the outage:
        requests are sent to endpoints that have left, by a configuration that is no longer in
        force.
        """
        if self._call_in_flight:
            self._tables.renew_connections()
        self._interrupt()

    # Frames of the reader

    def receive(self, frame: Rows) -> bool:
        """Apply a frame of another host; return whether the frame is new to this host.

        One host reads the store for all hosts, since each call of the store has a cost.
        """
        if not frame.direct:
            if frame.beat <= self._last_beats.get(frame.origin, -1):
                return False
            self._last_beats[frame.origin] = frame.beat
        known = self._version
        if known is None:
            if frame.direct and frame.whole:
                self._begin_with(frame)
            return True
        self._log_frame_behind(frame.version < known, frame, known)
        if era_of(frame.version) < era_of(known):
            # Its origin does not know yet that the store has lost what it read.
            return True
        if frame.version > known and (frame.changed or not (frame.whole or frame.after <= known)):
            self._fetch_missing(frame.version)
            return True
        if frame.version > known and (frame.values or frame.whole):
            try:
                self._apply(inflate_rows(frame), frame.whole, frame.version)
                self._whole_due = self._whole_due and not frame.whole
            except Exception as exc:
                self._log_refused_rows(exc)
                self._fetch_missing(frame.version)
                return True
        self._version = max(known, frame.version)
        now = self._ctx.clock.monotonic()
        if not frame.direct:
            self._last_frame_at = NEVER if frame.lost else now
        self._as_of = max(self._as_of, now - frame.age / 1000)
        if not self._call_in_flight and not self._fed_by_reader():
            self._interrupt()
        return True

    def _begin_with(self, frame: Rows) -> None:
        """Begin with another host's table, as this one has not read it from the store so far.

        Failure guarded against: a host that starts refuses all requests for as long as the store
        takes to be read, while the hosts beside it know what it lacks. An old table is only used
        where the store does not answer.
        """
        if frame.age / 1000 >= self.limits.age and not self._failed_calls:
            return
        try:
            self._apply(inflate_rows(frame), True, frame.version)
        except Exception as exc:
            self._log_refused_rows(exc)
            return
        self._version, self._whole_due = frame.version, False
        self._as_of = self._ctx.clock.monotonic() - frame.age / 1000
        detail = f"{self.table}: version {describe_version(frame.version)} from {frame.origin}"
        self._ctx.timeline.add("rows_told", detail=detail)
        self._interrupt()

    def _interrupt(self) -> None:
        if self._interruptible_work is not None:
            self._interruptible_work.cancel()

    def _fetch_missing(self, version: int) -> None:
        """Read changes from the store that the reader has but did not include in its frame.

        Its next frames name the same version: they must neither count as proof that nothing is
        missing nor cancel the call in flight for it. Nor does one that names a newer version.
        Failure guarded against: changes come faster than the store's answers, and each starts the
        call anew, so that this host gets none of them.
        """
        self._last_frame_at = NEVER
        if version > self._wanted_version:
            fetching = self._behind_reader() and self._call_in_flight
            self._wanted_version = version
            if not fetching:
                self.refresh()

    # Lost and restored contact with the store

    def _log_refused_rows(self, exc: Exception) -> None:
        """Log rows that can't be applied once, however often they are read."""
        detail = f"{self.table}: {type(exc).__name__}: {exc}"
        if detail == self._logged_refusal:
            return
        self._logged_refusal = detail
        self._ctx.timeline.add("rows_refused", "ERROR", detail=detail)

    def _log_frame_behind(self, behind: bool, frame: Rows, known: int) -> None:
        """Log the first of several frames that name an older version than this host knows."""
        if behind and not self._logged_as_behind:
            newest, found = describe_version(known), describe_version(frame.version)
            detail = f"{self.table}: {found} from {frame.origin}, known is {newest}"
            self._ctx.timeline.add("frame_behind", "WARNING", detail=detail)
        self._logged_as_behind = behind

    async def _handle_failure(self, found: Failure, began: float) -> None:
        if found.kind is Kind.HISTORY_GONE:
            detail = f"{self.table}: known up to {describe_version(self._version)}"
            self._ctx.timeline.add("history_gone", "WARNING", detail=detail)
            self._whole_due = True
            return
        self._failed_calls += 1
        if self._failed_calls == 1:
            self.on_call_lost()
        if self.connected:
            self.connected = False
            self._ctx.timeline.add("store_lost", "WARNING", detail=f"{self.table}: {found.reason}")
        if self._behind_reader():
            # Failure guarded against: the store refuses this host's calls while it serves others,
            # and this host alone never gets the change. It requests the rows from the hosts that it
            # is linked to.
            self.request_rows(self._version)
        # Jitter keeps hosts that waited out the same outage from calling the store at the same
        # time.
        lost = self._ctx.clock.monotonic() - began >= self.limits.hold
        await self._sleep(retry_delay(self._failed_calls, lost) * (0.5 + self._ctx.rng.random()))

    def _record_answer(self, began: float, changed: bool) -> None:
        """Set the view's age and log restored contact with the store.

        An answer without changes may date from the end of its hold. One with changes is current,
        and another call follows it.
        """
        self._failed_calls = 0
        now = self._ctx.clock.monotonic()
        self._as_of = now if changed else min(now, began + self.limits.hold)
        if not self.connected:
            self.connected = True
            detail = f"{self.table}: version {describe_version(self._version)}"
            self._ctx.timeline.add("store_in_touch", detail=detail)

    def record_age(self, bound: float) -> None:
        """Export the view's age; log when it passes the bound, and when it is current again.

        Nothing else shows why a request that was sent by an outdated view went to its endpoint.
        """
        if self._as_of == NEVER:
            return
        age = self.age()
        self._ctx.metrics.view_age.labels(self.table).set(age)
        old = age > bound
        if old == self._logged_as_old:
            return
        self._logged_as_old = old
        detail = f"{self.table}: {age:.2f} s old, bound {bound:.2f} s"
        if old:
            self._ctx.timeline.add("view_old", "WARNING", detail=detail)
        else:
            self._ctx.timeline.add("view_current", detail=detail)
