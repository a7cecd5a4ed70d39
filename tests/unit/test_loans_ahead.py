"""Loans in advance, so that a router has tokens in a network partition."""

import asyncio
from typing import Any

from dykemast._internal.models.fleet import LoanAnswer
from dykemast._internal.operations.allowance_terms import Identity
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.tokens.accounts import Account
from dykemast._internal.serving.tokens.accounts import NEVER
from dykemast._internal.serving.tokens.token_source import (
    LOAN_DEMAND_S,
    TokenSource,
    compute_loan_target,
    needs_loan,
)
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.packing import pack
from tests.lib.serving_boards import make_boards
from tests.unit.test_loans import find_owned_elsewhere

#: Routers of a fleet that got one request each in some seconds.
ROUTERS = 87
SECONDS = 8
PROMPT = 12_000


def make_spending_account(board: ServingBoard, rate: float) -> Account:
    """Make the account of a budget that another router owns."""
    account = Account(
        find_owned_elsewhere(board), Identity('node-0', 'node-0/1')
    )
    for second in range(20):
        account.demand.record(rate, read_clock() - 20 + second)
    return account


def test_a_router_below_half_of_its_target_borrows_in_advance() -> None:
    # In a network partition it has nothing but what it borrowed before.
    board = make_boards(30)[0]
    account = make_spending_account(board, 1000)
    reserve = compute_loan_target(account)
    account.allowance.confirm_limit(reserve)
    assert not needs_loan(board, account)
    account.allowance.confirm_limit(reserve // 3)
    assert needs_loan(board, account)
    account.borrowed_at = read_clock()
    assert not needs_loan(board, account)
    idle = make_spending_account(board, 10)
    assert not needs_loan(board, idle), 'not worth a call'
    account.borrowed_at = NEVER
    few = make_boards(6)[0]
    assert not needs_loan(few, account), 'each writes its own row there'


def test_single_requests_at_many_routers_reserve_what_they_come_to() -> None:
    # Rates estimated from one request each sum to more than the actual demand.
    now = read_clock()
    reserved = 0
    for number in range(ROUTERS):
        account = Account('joinville', Identity('node-0', 'node-0/1'))
        account.demand.record(PROMPT, now - SECONDS * number / ROUTERS)
        reserved += compute_loan_target(account)
    rate = ROUTERS * PROMPT / SECONDS
    assert reserved < LOAN_DEMAND_S * rate


class Owner:
    """Lends a given number of tokens."""

    def __init__(self, lends: int) -> None:
        self._lends = lends

    async def call(self, *_: Any, **_options: Any) -> bytes:
        return pack(LoanAnswer('owner/1', self._lends, store_away=False))


def is_next_loan_delayed(lends: int) -> bool:
    """Check whether a loan of this size delays the next one in advance."""
    board = make_boards(30)[0]
    account = make_spending_account(board, 1000)
    source = TokenSource(board, writer=None, gossip=Owner(lends))
    asyncio.run(source.borrow_ahead(account))
    return account.borrowed_at > read_clock()


def test_a_budget_near_its_end_is_not_asked_for_each_second() -> None:
    assert is_next_loan_delayed(lends=0)
    assert is_next_loan_delayed(lends=100)
    assert not is_next_loan_delayed(lends=9000)
