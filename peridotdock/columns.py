"""Columns of unsigned numbers, packed for frames between hosts."""

from array import array
from collections.abc import Iterable, Sequence


def pack(code: str, values: Iterable[float]) -> bytes:
    """Pack a column of unsigned numbers; a value that does not fit is the largest that does."""
    top = {"H": 0xFFFF, "I": 0xFFFFFFFF}[code]
    return array(code, [min(top, max(0, int(value))) for value in values]).tobytes()


def unpack(code: str, raw: bytes) -> Sequence[int]:
    """Read a packed column."""
    column = array(code)
    column.frombytes(raw)
    return column
