"""Validation of a configuration beyond its types."""

from collections.abc import Iterator
from typing import Any, Final, NamedTuple

from dykemast._internal.exceptions import Finding, InvalidFileError
from dykemast._internal.models.revisions import Configuration
from dykemast._internal.operations.policy_check import check_policy
from dykemast._internal.utils.yaml_files import check_yaml
from dykemast._internal.utils.yaml_lines import (
    find_line_numbers,
    find_line,
    format_path,
)

_SECTIONS: Final = ('services', 'models', 'workspaces', 'policies')


class Problem(NamedTuple):
    """An error in one field of a document.

    :param place: path of the field.
    :param text: what is wrong.
    """

    place: tuple[Any, ...]
    text: str


def check_configuration(path: str, text: str) -> Configuration:
    """Validate a configuration file.

    :param path: file name to show in findings.
    :param text: the YAML document.
    :returns: the configuration.
    :raises InvalidFileError: with all findings together.
    """
    configuration: Configuration = check_yaml(path, text, Configuration)
    lines = find_line_numbers(text)
    found = [
        Finding(path, find_line(lines, place), format_path(place), problem)
        for place, problem in _find_problems(configuration)
    ]
    if found:
        raise InvalidFileError(found)
    return configuration


def _find_problems(configuration: Configuration) -> Iterator[Problem]:
    document: dict[str, Any] = dict(configuration)
    for section in _SECTIONS:
        yield from _find_duplicates(document, section)
    yield from _find_unknown(
        document, _Reference('models', 'service', 'services')
    )
    yield from _find_unknown(
        document, _Reference('workspaces', 'policy', 'policies')
    )
    yield from _find_policy_errors(configuration)


def _find_policy_errors(configuration: Configuration) -> Iterator[Problem]:
    for index, policy in enumerate(configuration['policies']):
        for failure in check_policy(policy, configuration):
            place = ('policies', index, failure.field)
            yield Problem(place, str(failure))


def _find_duplicates(
    document: dict[str, Any], section: str
) -> Iterator[Problem]:
    seen: set[str] = set()
    for index, spec in enumerate(document[section]):
        if spec['name'] in seen:
            text = 'duplicate name "{}" in {}.'.format(spec['name'], section)
            yield Problem((section, index, 'name'), text)
        seen.add(spec['name'])


class _Reference(NamedTuple):
    section: str
    field: str
    target: str


def _find_unknown(
    document: dict[str, Any],
    reference: _Reference,
) -> Iterator[Problem]:
    known = [spec['name'] for spec in document[reference.target]]
    text = f'is not one of the {reference.target}: {known}.'
    section = document[reference.section]
    yield from (
        Problem(
            (reference.section, index, reference.field),
            '"{}" {}'.format(one[reference.field], text),
        )
        for index, one in enumerate(section)
        if one[reference.field] not in known
    )
