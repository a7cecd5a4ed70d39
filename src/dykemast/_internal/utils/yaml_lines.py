"""Line numbers of the fields of a YAML document."""

from typing import Any

import yaml

#: Line of each field, by its path in the document.
LineNumbers = dict[tuple[str | int, ...], int]


def find_line_numbers(text: str) -> LineNumbers:
    """Find the line number of each field.

    :param text: a YAML document.
    :returns: line numbers from 1, by path of the field.
    """
    lines: LineNumbers = {}
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    if node is not None:
        _walk_node(node, (), lines)
    return lines


def _walk_node(
    node: yaml.Node, path: tuple[Any, ...], lines: LineNumbers
) -> None:
    lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        for name, child in node.value:
            lines[(*path, name.value)] = name.start_mark.line + 1
            _walk_node(child, (*path, name.value), lines)
    elif isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            _walk_node(child, (*path, index), lines)


def find_line(lines: LineNumbers, place: tuple[Any, ...]) -> int:
    """Find the line of a field, or of the closest field that contains it.

    :param lines: line numbers from :func:`find_line_numbers`.
    :param place: path of the field.
    :returns: its line number, 0 when unknown.
    """
    while place and place not in lines:
        place = place[:-1]
    return lines.get(place, 0)


def format_path(place: tuple[Any, ...]) -> str:
    """Format the path of a field.

    :param place: keys and indexes.
    :returns: the path, joined by dots.
    """
    return '.'.join(str(part) for part in place)
