"""Checks of files without submitting them."""

from pathlib import Path

from dykemast._internal.exceptions import Finding, InvalidFileError
from dykemast._internal.models.settings import RouterSettings
from dykemast._internal.operations.findings import check_configuration
from dykemast._internal.utils.yaml_files import check_yaml


def check_files(paths: list[str]) -> str:
    """Check settings and configuration files.

    Files with a top-level field ``platform`` are settings files.

    :param paths: paths of the files.
    :returns: the message to print when there are no findings.
    :raises InvalidFileError: with the findings of all files.
    """
    found: list[Finding] = []
    for path in paths:
        found.extend(_check_file(path))
    if found:
        raise InvalidFileError(found)
    return 'no findings'


def _check_file(path: str) -> list[Finding]:
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return [Finding(path, 0, '', str(error))]
    try:
        _check_text(path, text)
    except InvalidFileError as error:
        return error.findings
    return []


def _check_text(path: str, text: str) -> None:
    if any(line.startswith('platform:') for line in text.splitlines()):
        check_yaml(path, text, RouterSettings)
    else:
        check_configuration(path, text)
