"""Holds on workspaces' budgets for requests."""

from typing import Final

from dykemast._internal.models.routing_table import Workspace
from dykemast._internal.operations.allowance_terms import Identity
from dykemast._internal.serving.tokens.accounts import (
    Account,
    Hold,
    take_hold,
)
from dykemast._internal.serving.tokens.token_search import TokenSearch
from dykemast._internal.utils.clock import read_clock

#: Tokens of a budget that the least urgent requests leave: enough for one
#: urgent request.
URGENT_RESERVE_TOKENS: Final = 12_000
#: First priority of a route that counts as not urgent.
LATER_PRIORITY: Final = 2


class Budgets:
    """Accounts of the workspaces.

    :param identity: this router.
    :param search: searches for tokens when this router has too few.
    """

    def __init__(
        self,
        identity: Identity,
        search: TokenSearch,
    ) -> None:
        """Create an empty collection of accounts."""
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
