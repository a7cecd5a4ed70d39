"""Commands that take files."""

import dataclasses
import sys
import uuid
from typing import Annotated

import cappa

from dykemast._internal.cli.admin_arguments import AdminArguments
from dykemast._internal.commands import check, policy, submit


@cappa.command(name='check')
@dataclasses.dataclass
class Check:
    """Check settings and configuration files, and list all findings."""

    files: Annotated[list[str], cappa.Arg(help='YAML files.')]

    def __call__(self) -> None:
        """Run the command."""
        sys.stdout.write(f'{check.check_files(self.files)}\n')


@dataclasses.dataclass
class _FileArgument:
    path: Annotated[
        str, cappa.Arg(value_name='FILE', help='Configuration file.')
    ]


@cappa.command(name='submit')
@dataclasses.dataclass
class Submit(AdminArguments, _FileArgument):
    """Submit a configuration as the next revision.

    Pass the number of the revision that it is based on with --base; it must be
    the newest one. Without --base it replaces whichever is the newest.
    """

    base: Annotated[
        int | None, cappa.Arg(long=True, help='Revision it is based on.')
    ] = None
    submission: Annotated[
        str, cappa.Arg(long='--id', help='Idempotency key for retries.')
    ] = ''

    compare: Annotated[
        bool,
        cappa.Arg(long=True, help='Only show what would change.'),
    ] = False

    def __call__(self) -> None:
        """Run the command."""
        if self.compare:
            answer = submit.compare_file(self.find_address(), self.path)
            self.show(answer, submit.format_comparison(answer))
            return
        answer = submit.submit_file(
            self.find_address(),
            self.path,
            self.base,
            self.submission or uuid.uuid4().hex,
        )
        self.show(answer, submit.format_submission(answer))


@cappa.command(name='try')
@dataclasses.dataclass
class PolicyTry:
    """Evaluate the policies of a configuration for a request."""

    path: Annotated[
        str, cappa.Arg(value_name='FILE', help='Configuration file.')
    ]
    request: Annotated[
        str,
        cappa.Arg(long=True, help='YAML with request, budget and fleet.'),
    ]

    def __call__(self) -> None:
        """Run the command."""
        sys.stdout.write(f'{policy.try_policies(self.path, self.request)}\n')


@cappa.command(name='policy')
@dataclasses.dataclass
class Policy:
    """Try policies before they are submitted."""

    command: cappa.Subcommands[PolicyTry]
