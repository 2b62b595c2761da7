"""Versions of a store's rows that are never reused and only increase.

A store that returns from an older copy of its rows loses what it has written since, and gives the
numbers of the lost versions out again. Each return begins a new era. The clients of a store put the
era above the number, so that everything that keeps, compares or passes on a version can count on
its order, and a version of the old era never equals one of the new.
"""

from collections.abc import Callable, Iterable

# Bits of a version below its era; a store that writes a million versions a second fills them in
# nine years.
NUMBER_BITS = 48
NUMBER_MASK = (1 << NUMBER_BITS) - 1
# The version of a row that does not exist, in any era.
ABSENT = 0
# The era of a store that was never restored. Some stores count from 1 instead; these are taken for
# restored ones.
FIRST_ERA = 0
# The largest era that is taken. A store begins one when it returns from an older copy of its rows.
MAX_ERA = 2**31 - 1


def make_version(era: int, number: int) -> int:
    """Return the version for the number that the store gave out in an era."""
    return era << NUMBER_BITS | number


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> NUMBER_BITS


def number_of(version: int) -> int:
    """Return the number by which the store knows a version."""
    return version & NUMBER_MASK


def describe_version(version: int | None) -> str:
    """Return a version as text for logs."""
    if version is None:
        return "none"
    return f"{number_of(version)} of era {era_of(version)}"


def all_of_era(versions: Iterable[int], era: int) -> bool:
    """Return whether all versions of existing rows are of an era."""
    return all(era_of(version) == era for version in versions if version != ABSENT)


class StoreEra:
    """The newest era that a client has seen in its store's answers.

    ``on_restored`` is called with the old and the new era when it rises. ``current`` is
    ``FIRST_ERA`` until an answer names an era.
    """

    def __init__(self) -> None:
        self.current = FIRST_ERA
        self._known = False
        self.on_restored: Callable[[int, int], None] = lambda old, new: None

    @property
    def rows_may_be_lost(self) -> bool:
        """Return whether the store may have lost rows, also before this client's first call."""
        return self.current > FIRST_ERA

    def accept(self, era: int | None) -> bool:
        """Record the era in an answer; return False if the answer is of an earlier era.

        An answer that names no era is of the current one.
        """
        if era is None or (self._known and era == self.current):
            return True
        if self._known and era < self.current:
            return False
        known, old = self._known, self.current
        self._known, self.current = True, era
        if known:
            self.on_restored(old, era)
        return True


def parse_era(text: str | None) -> int | None:
    """Return the era named in an answer, None if it names none that can be read.

    Failure guarded against: one answer names an era beyond all that are possible, and all later
    answers count as those of an earlier era.
    """
    if not text or len(text) > len(str(MAX_ERA)) or not (text.isascii() and text.isdigit()):
        return None
    era = int(text)
    return era if era <= MAX_ERA else None
