"""Command line: parses arguments and maps errors to exit codes."""

import sys

import cappa

from dykemast import VERSION
from dykemast._internal.cli.commands import Dykemast
from dykemast._internal.cli.exit_codes import choose_exit_code
from dykemast._internal.exceptions import DykemastError


def main() -> None:
    """Run the command that the arguments name, and exit."""
    try:
        cappa.invoke(Dykemast, version=VERSION)
    except (DykemastError, OSError) as error:
        sys.stderr.write(f'dykemast: {error}\n')
        sys.exit(choose_exit_code(error))
    except KeyboardInterrupt:
        sys.exit(choose_exit_code(KeyboardInterrupt()))
