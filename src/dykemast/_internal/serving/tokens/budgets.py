"""Holds on workspaces' budgets for requests."""

from typing import Final

from dykemast._internal.models.routing_table import Workspace
from dykemast._internal.operations.allowance_terms import Identity
from dykemast._internal.operations.spare_size import compute_loan
from dykemast._internal.serving.tokens.accounts import (
    Account,
    record_loan,
    take_hold,
)
from dykemast._internal.serving.state.board import (
    ServingBoard,
    is_large_fleet,
)
from dykemast._internal.serving.tokens.budget_owners import is_owner
from dykemast._internal.serving.tokens.accounts import Hold
from dykemast._internal.serving.tokens.token_search import TokenSearch
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('loans')

#: Tokens of a budget that the least urgent requests leave: enough for one
#: urgent request.
URGENT_RESERVE_TOKENS: Final = 12_000
#: First priority of a route that counts as not urgent.
LATER_PRIORITY: Final = 2


class Budgets:
    """Accounts of the workspaces.

    :param board: the blackboard.
    :param identity: this router.
    :param search: searches for tokens when this router has too few.
    """

    def __init__(
        self,
        board: ServingBoard,
        identity: Identity,
        search: TokenSearch,
    ) -> None:
        """Create an empty collection of accounts."""
        self._board = board
        self._identity = identity
        self._search = search
        self.accounts: dict[str, Account] = {}

    def get_account(self, workspace: str) -> Account:
        """Get the account of a workspace, or create it.

        :param workspace: name of the workspace.
        :returns: the account.
        """
        account = self.accounts.get(workspace)
        if account is None:
            account = Account(workspace, self._identity)
            self.accounts[workspace] = account
        return account

    async def hold(
        self,
        workspace: Workspace,
        tokens: int,
        priority: int,
    ) -> Hold:
        """Reserve tokens for a request.

        :param workspace: workspace that is charged.
        :param tokens: upper bound of the request's consumption.
        :param priority: priority of the route; 0 is the most urgent.
        :returns: the hold, to be settled.
        :raises RefusedError: if too few tokens are available.
        """
        account = self.get_account(workspace.name)
        account.demand.record(tokens, read_clock())
        reserve = URGENT_RESERVE_TOKENS if priority >= LATER_PRIORITY else 0
        if not take_hold(account, tokens, reserve):
            await self._search.wait_for_tokens(account, tokens, reserve)
        return Hold(workspace.name, tokens)

    def settle(self, hold: Hold, used: int) -> None:
        """End a hold.

        :param hold: the hold.
        :param used: tokens consumed.
        """
        account = self.accounts[hold.workspace]
        account.allowance.held -= hold.tokens
        account.allowance.spent += min(used, hold.tokens)

    async def lend(
        self,
        workspace: str,
        tokens: int,
        borrower: str,
        spare: int | None,
    ) -> int:
        """Lend tokens to another router.

        :param workspace: workspace of the budget.
        :param tokens: number of tokens that its requests wait for.
        :param borrower: its instance.
        :param spare: number of spare tokens requested; None from routers of
            the previous build, which does not send it.
        :returns: number of tokens lent.
        """
        account = self.get_account(workspace)
        demand = account.demand.compute_window_average(read_clock())
        wanted = tokens + compute_loan(account.ledger, spare or 0, demand)
        owns = is_large_fleet(self._board) and is_owner(self._board, workspace)
        if owns:
            account.demand.record(wanted, read_clock())
            if account.allowance.count_available() < wanted:
                await self._search.refill(account, wanted)
        given = account.allowance.lend(wanted)
        record_loan(account, borrower, given)
        _log(
            'tokens_lent',
            workspace=workspace,
            borrower=borrower,
            tokens=given,
            wanted=wanted,
            owner=owns,
            room=account.allowance.count_available(),
        )
        return given

    async def take_back(self, workspace: str, tokens: int, giver: str) -> int:
        """Accept unused tokens that another router returns.

        :param workspace: workspace of the budget.
        :param tokens: number of tokens returned.
        :param giver: its instance.
        :returns: number of tokens accepted; 0 if this router stops too.
        """
        if self._board.stopping or tokens < 0:
            return 0
        account = self.get_account(workspace)
        account.allowance.borrowed += tokens
        record_loan(account, giver, -tokens)
        return tokens
