"""Submission and comparison of configurations."""

from pathlib import Path
from typing import Any

from dykemast._internal.exceptions import Finding, InvalidFileError
from dykemast._internal.network.admin_client import AdminAddress, call_admin
from dykemast._internal.utils.tables import format_table

_PATH = '/admin/configuration'


def submit_file(
    address: AdminAddress,
    path: str,
    base: int | None,
    submission: str,
) -> Any:
    """Submit a configuration file.

    :param address: address and key of the administration API.
    :param path: path of the file.
    :param base: revision that it is based on; the newest one if None.
    :param submission: idempotency key of the submission.
    :returns: the new revision's number.
    """
    text = read_text(path)
    if base is None:
        base = call_admin(address, 'GET', _PATH)['revision']
    fields = {
        'text': text,
        'path': path,
        'base': base,
        'submission': submission,
    }
    return call_admin(address, 'POST', _PATH, fields)


def compare_file(address: AdminAddress, path: str) -> Any:
    """Compare a configuration file with the newest revision.

    :param address: address and key of the administration API.
    :param path: path of the file.
    :returns: the newest revision's number, and the differences.
    """
    fields = {'text': read_text(path), 'path': path}
    return call_admin(address, 'POST', '/admin/compare', fields)


def format_comparison(answer: Any) -> str:
    """Format the differences.

    :param answer: response of the administration API.
    :returns: the formatted text.
    """
    shown = format_table(answer['differences'], ('section', 'name', 'change'))
    return 'against revision {}:\n{}'.format(answer['revision'], shown)


def read_text(path: str) -> str:
    """Read a file to submit.

    :param path: path of the file.
    :returns: content of the file.
    :raises InvalidFileError: when it cannot be read.
    """
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidFileError([Finding(path, 0, '', str(error))]) from error


def format_submission(answer: Any) -> str:
    """Format the result of a submission.

    :param answer: response of the administration API.
    :returns: the formatted text.
    """
    return 'revision {revision} accepted'.format(**answer)
