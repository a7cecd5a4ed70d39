"""Plain tables for people."""

from collections.abc import Sequence
from typing import Any


def format_table(rows: Sequence[Any], columns: Sequence[str]) -> str:
    """Align rows under their column names.

    :param rows: mappings.
    :param columns: keys to show, in order.
    :returns: lines.
    """
    cells = [list(columns), *(_pick(row, columns) for row in rows)]
    widths = [_widen(column) for column in zip(*cells, strict=True)]
    return '\n'.join(_join(line, widths) for line in cells)


def _widen(column: tuple[str, ...]) -> int:
    return max(len(cell) for cell in column)


def _pick(row: Any, columns: Sequence[str]) -> list[str]:
    return [_show(row.get(name)) for name in columns]


def _show(cell: Any) -> str:
    return '-' if cell is None else str(cell)


def _join(line: list[str], widths: list[int]) -> str:
    padded = [
        text.ljust(width) for text, width in zip(line, widths, strict=True)
    ]
    return '  '.join(padded).rstrip()
