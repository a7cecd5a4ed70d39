"""Show the version."""

import sys

from dykemast import VERSION


def show_version() -> None:
    """Print the version of the program."""
    sys.stdout.write(f'dykemast {VERSION}\n')
