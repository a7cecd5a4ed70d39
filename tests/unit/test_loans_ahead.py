"""Tokens are borrowed before a router is cut off."""

from dykemast._internal.operations.allowance_terms import Identity
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.tokens.accounts import Account
from dykemast._internal.serving.tokens.token_source import (
    measure_reserve,
    needs_loan,
)
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_boards
from tests.unit.test_loans import find_kept_elsewhere


def make_spending_account(board: ServingBoard, rate: float) -> Account:
    """Make the account of a budget that another router keeps."""
    account = Account(
        find_kept_elsewhere(board), Identity('node-0', 'node-0/1')
    )
    for second in range(20):
        account.demand.note(rate, read_clock() - 20 + second)
    return account


def test_who_has_half_of_its_reserve_borrows_before_it_is_short() -> None:
    # Callers of one workspace keep to one router; a cut found it with what was
    # left of its last loan, and it refused them for the rest of the cut.
    board = make_boards(30)[0]
    account = make_spending_account(board, 1000)
    reserve = measure_reserve(account)
    account.allowance.confirm_limit(reserve)
    assert not needs_loan(board, account)
    account.allowance.confirm_limit(reserve // 3)
    assert needs_loan(board, account)
    account.borrowed_at = read_clock()
    assert not needs_loan(board, account)
    idle = make_spending_account(board, 10)
    assert not needs_loan(board, idle), 'not worth a call'
    few = make_boards(6)[0]
    assert not needs_loan(few, account), 'each writes its own row there'
