"""Commands for the fleet, budgets and bills."""

import dataclasses
import uuid
from typing import Annotated

import cappa

from dykemast._internal.cli.admin_arguments import AdminArguments
from dykemast._internal.commands import bills, budget, status


@cappa.command(name='status')
@dataclasses.dataclass
class Status(AdminArguments):
    """Show routers with the revision in force on each, and workers."""

    def __call__(self) -> None:
        """Run the command."""
        answer = status.read_status(self.find_address())
        self.show(answer, status.format_status(answer))


@cappa.command(name='bills')
@dataclasses.dataclass
class Bills(AdminArguments):
    """Show the bills in the journal."""

    workspace: Annotated[
        str, cappa.Arg(long=True, help='Only bills of this workspace.')
    ] = ''

    def __call__(self) -> None:
        """Run the command."""
        answer = bills.read_bills(self.find_address(), self.workspace)
        self.show(answer, bills.format_bills(answer))


@cappa.command(name='show')
@dataclasses.dataclass
class BudgetShow(AdminArguments):
    """Show paid, unspent, free and possibly consumed tokens of budgets."""

    def __call__(self) -> None:
        """Run the command."""
        answer = budget.read_budgets(self.find_address())
        self.show(answer, budget.format_budgets(answer))


@dataclasses.dataclass
class _TopupArguments:
    budget: Annotated[str, cappa.Arg(help='WORKSPACE/NAME.')]
    tokens: Annotated[int, cappa.Arg(help='Tokens to add.')]


@cappa.command(name='topup')
@dataclasses.dataclass
class BudgetTopup(AdminArguments, _TopupArguments):
    """Add paid tokens to a budget.

    Repeating a top-up with the same --id has no effect; set it in scripts that
    may retry.
    """

    topup: Annotated[str, cappa.Arg(long='--id', help='Id of the top-up.')] = ''

    def __call__(self) -> None:
        """Run the command."""
        topup = self.topup or uuid.uuid4().hex
        answer = budget.add_topup(
            self.find_address(), self.budget, self.tokens, topup
        )
        self.show(answer, budget.format_topup(answer))


@cappa.command(name='budget')
@dataclasses.dataclass
class Budget:
    """Show and top up prepaid budgets."""

    command: cappa.Subcommands[BudgetShow | BudgetTopup]
