"""Submit a configuration."""

from pathlib import Path
from typing import Any

from dykemast._internal.exceptions import Finding, InvalidFileError
from dykemast._internal.network.admin_client import AdminAddress, call_admin

_PATH = '/admin/configuration'


def submit_file(
    address: AdminAddress,
    path: str,
    base: int | None,
    submission: str,
) -> Any:
    """Submit a configuration file.

    :param address: where to submit it.
    :param path: the file.
    :param base: revision that it was made from; the one in force if none.
    :param submission: id by which a repeat is known.
    :returns: the new revision's number.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidFileError([Finding(path, 0, '', str(error))]) from error
    if base is None:
        base = call_admin(address, 'GET', _PATH)['revision']
    fields = {
        'text': text,
        'path': path,
        'base': base,
        'submission': submission,
    }
    return call_admin(address, 'POST', _PATH, fields)


def format_submission(answer: Any) -> str:
    """Show what became of a submission.

    :param answer: as given.
    :returns: text.
    """
    return 'revision {revision} accepted'.format(**answer)
