"""Exit codes, as docs/operators.md lists them."""

from typing import Final

from dykemast._internal.exceptions import (
    AdminError,
    InvalidFileError,
    StaleRevisionError,
)

#: Any other error.
FAILED: Final = 1
#: A file has findings.
INVALID: Final = 3
#: The submission is not based on the newest revision.
STALE: Final = 4
#: The administration API refused the call, or did not respond.
REFUSED: Final = 5
#: Interrupted from the keyboard.
INTERRUPTED: Final = 130


def choose_exit_code(error: BaseException) -> int:
    """Choose the exit code for an error.

    :param error: the error that ended the command.
    :returns: the exit code.
    """
    for kind, code in (
        (InvalidFileError, INVALID),
        (StaleRevisionError, STALE),
        (AdminError, REFUSED),
        (KeyboardInterrupt, INTERRUPTED),
    ):
        if isinstance(error, kind):
            return code
    return FAILED
