"""Commands of the program, as the command line shows them."""

import dataclasses
from typing import Annotated

import cappa

from dykemast._internal.cli.fleet_commands import Bills, Budget, Status
from dykemast._internal.cli.file_commands import Check, Policy, Submit
from dykemast._internal.commands import instance, router, version


@cappa.command(name='router')
@dataclasses.dataclass
class Router:
    """Run a router until it gets SIGTERM; a second signal shortens the stop."""

    settings: Annotated[
        str, cappa.Arg(long=True, help='Settings file of this instance.')
    ]

    def __call__(self) -> None:
        """Run the command."""
        router.run_router(self.settings)


@cappa.command(name='instance')
@dataclasses.dataclass
class Instance:
    """Run a router with the settings of the platform."""

    def __call__(self) -> None:
        """Run the command."""
        instance.run_instance()


@cappa.command(name='version')
@dataclasses.dataclass
class Version:
    """Show the version of the program."""

    def __call__(self) -> None:
        """Run the command."""
        version.show_version()


@cappa.command(
    name='dykemast',
    help='Router fleet for prepaid token budgets.',
    description=(
        'Start with "dykemast check FILE", which lists all errors of a '
        'configuration. Exit codes: 0 success, 1 failure, 2 invalid '
        'arguments, 3 findings in a file, 4 base revision is not the newest, '
        '5 the administration API refused or did not respond.'
    ),
)
@dataclasses.dataclass
class Dykemast:
    """The program."""

    command: cappa.Subcommands[
        Router
        | Instance
        | Check
        | Submit
        | Status
        | Budget
        | Bills
        | Policy
        | Version
    ]
