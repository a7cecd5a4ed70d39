"""Lines on which the fields of a YAML document stand."""

from typing import Any

import yaml

#: Line of each field, by its path in the document.
Lines = dict[tuple[str | int, ...], int]


def find_lines(text: str) -> Lines:
    """Find the line on which each field stands.

    :param text: a YAML document.
    :returns: lines, counted from 1.
    """
    lines: Lines = {}
    node = yaml.compose(text, Loader=yaml.SafeLoader)
    if node is not None:
        _walk_node(node, (), lines)
    return lines


def _walk_node(node: yaml.Node, path: tuple[Any, ...], lines: Lines) -> None:
    lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        for name, child in node.value:
            lines[(*path, name.value)] = name.start_mark.line + 1
            _walk_node(child, (*path, name.value), lines)
    elif isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            _walk_node(child, (*path, index), lines)


def locate(lines: Lines, place: tuple[Any, ...]) -> int:
    """Find the line of a field, or of the nearest field around it.

    :param lines: as found by :func:`find_lines`.
    :param place: path of the field.
    :returns: its line, 0 when unknown.
    """
    while place and place not in lines:
        place = place[:-1]
    return lines.get(place, 0)


def name_field(place: tuple[Any, ...]) -> str:
    """Show the path of a field.

    :param place: its parts.
    :returns: the parts with dots between them.
    """
    return '.'.join(str(part) for part in place)
