"""Columns of unsigned numbers, packed for frames between hosts."""

from array import array
from collections.abc import Iterable, Sequence


def pack(code: str, values: Iterable[float]) -> bytes:
    """Pack unsigned numbers under an array code, "H" or "I"; values are clamped to its range."""
    top = {"H": 0xFFFF, "I": 0xFFFFFFFF}[code]
    return array(code, [min(top, max(0, int(value))) for value in values]).tobytes()


def unpack(code: str, raw: bytes) -> Sequence[int]:
    """Return the numbers of a packed column of an array code."""
    column = array(code)
    column.frombytes(raw)
    return column
