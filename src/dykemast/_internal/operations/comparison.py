"""Comparison of two configurations."""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from dykemast._internal.models.revisions import Configuration

_SECTIONS: Final = ('services', 'models', 'workspaces', 'policies')


class Difference(NamedTuple):
    """One difference between two configurations.

    :param section: section of the configuration.
    :param name: name of the entry in the section.
    :param change: ``added``, ``removed`` or ``changed``.
    """

    section: str
    name: str
    change: str


def compare_configurations(
    old: Configuration, new: Configuration
) -> list[Difference]:
    """Compare two configurations by the names in them.

    :param old: the configuration in force.
    :param new: the configuration to compare with it.
    :returns: the differences, by section and name.
    """
    before: dict[str, Any] = dict(old)
    after: dict[str, Any] = dict(new)
    found: list[Difference] = []
    for section in _SECTIONS:
        found.extend(_compare(section, before[section], after[section]))
    return found


def _compare(section: str, old: Any, new: Any) -> Iterator[Difference]:
    before = {spec['name']: spec for spec in old}
    after = {spec['name']: spec for spec in new}
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield Difference(section, name, 'added')
        elif name not in after:
            yield Difference(section, name, 'removed')
        elif before[name] != after[name]:
            yield Difference(section, name, 'changed')
