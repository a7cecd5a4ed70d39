"""Tokens that the least urgent requests leave for urgent ones."""

import asyncio
import contextlib

from dykemast._internal.models.budget_ledger import BudgetLedger
from dykemast._internal.models.routing_table import Workspace
from dykemast._internal.operations.ledger_eras import Knowledge
from dykemast._internal.operations.allowance_terms import Identity
from dykemast._internal.serving.requests.refusals import RefusedError
from dykemast._internal.serving.tokens.accounts import Account
from dykemast._internal.serving.tokens.budgets import (
    LATER_PRIORITY,
    URGENT_RESERVE_TOKENS,
    Budgets,
)
from dykemast._internal.serving.tokens.ledger_writer import LedgerWriter
from dykemast._internal.serving.tokens.token_search import TokenSearch
from tests.lib.serving_boards import make_boards


class NoSearch:
    """Finds no tokens, and records how many were requested."""

    def __init__(self) -> None:
        self.pending = 0

    async def find(self, account: Account) -> None:
        self.pending = account.pending


def make_budgets(source: NoSearch) -> Budgets:
    board = make_boards(6)[0]
    search = TokenSearch(source, LedgerWriter(board, store=None))
    return Budgets(Identity('node-0', 'node-0/1'), search)


def hold_late_request(unused: int | None, room: int) -> tuple[bool, int]:
    """Check whether one of the least urgent requests gets a hold."""
    source = NoSearch()
    budgets = make_budgets(source)
    account = budgets.get_account('joinville')
    account.allowance.borrowed = room
    if unused is not None:
        account.known = Knowledge(BudgetLedger(1, unused, {}))
    workspace = Workspace('joinville', 0, 1_000_000)
    with contextlib.suppress(RefusedError):
        asyncio.run(budgets.hold(workspace, 1000, LATER_PRIORITY))
    return account.allowance.held == 1000, source.pending


def test_the_least_urgent_leave_a_reserve_of_the_budget() -> None:
    enough = 1000 + URGENT_RESERVE_TOKENS
    assert hold_late_request(enough, room=1000) == (True, 0)
    assert hold_late_request(enough - 1, room=1000) == (False, 1000)
    # A router that only borrows does not know the budget.
    assert hold_late_request(None, room=1000) == (True, 0)


def test_no_router_asks_for_a_reserve_of_its_own() -> None:
    # A reserve at each router was most of a small budget, and lost with them.
    assert hold_late_request(1_000_000, room=0) == (False, 1000)
