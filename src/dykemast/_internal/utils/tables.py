"""Text tables for the command line."""

from collections.abc import Sequence
from typing import Any


def format_table(rows: Sequence[Any], columns: Sequence[str]) -> str:
    """Align rows under their column names.

    :param rows: mappings; a missing or None value is shown as ``-``.
    :param columns: keys to show, in order.
    :returns: the lines, joined.
    """
    cells = [list(columns), *(_format_cells(row, columns) for row in rows)]
    widths = [_measure_width(column) for column in zip(*cells, strict=True)]
    return '\n'.join(_join(line, widths) for line in cells)


def _measure_width(column: tuple[str, ...]) -> int:
    return max(len(cell) for cell in column)


def _format_cells(row: Any, columns: Sequence[str]) -> list[str]:
    return [_format_cell(row.get(name)) for name in columns]


def _format_cell(cell: Any) -> str:
    return '-' if cell is None else str(cell)


def _join(line: list[str], widths: list[int]) -> str:
    padded = [
        text.ljust(width) for text, width in zip(line, widths, strict=True)
    ]
    return '  '.join(padded).rstrip()
