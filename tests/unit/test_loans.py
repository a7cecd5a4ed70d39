"""Loans of a budget's tokens between the routers of a large fleet."""

import asyncio

from dykemast._internal.models.budget_ledger import BudgetLedger, LedgerRow
from dykemast._internal.operations.ledger_eras import Knowledge
from dykemast._internal.operations.allowance_terms import Identity, Terms
from dykemast._internal.operations.spare_size import LOSS_SHARE, compute_loan
from dykemast._internal.serving.tokens.accounts import (
    EMPTY_RECHECK_S,
    Account,
    record_loan,
)
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.tokens.budget_owners import find_owner
from dykemast._internal.serving.tokens.lending import Budgets, Lender
from dykemast._internal.serving.tokens.loans import MAX_LENDERS, choose_lenders
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_boards, make_cards


def make_account(name: str = 'node-0') -> Account:
    return Account('joinville', Identity(name, f'{name}/1'))


def test_an_owner_asks_those_first_that_it_lent_most() -> None:
    peers = make_cards(29)
    account = make_account()
    record_loan(account, 'node-7', 5000)
    record_loan(account, 'node-9', 9000)
    record_loan(account, 'node-9', -7000)
    chosen = [card.instance for card in choose_lenders(peers, account)]
    assert chosen[:2] == ['node-7', 'node-9']
    assert len(chosen) == MAX_LENDERS, 'others are drawn at random'


def test_rows_with_spare_tokens_count_like_loans() -> None:
    peers = make_cards(3)
    account = make_account()
    rows = {'x': LedgerRow('node-2', 900, 0, 100, 0)}
    account.known = Knowledge(BudgetLedger(1, 1000, rows))
    record_loan(account, 'node-3', 500)
    chosen = [card.instance for card in choose_lenders(peers, account)]
    assert chosen == ['node-2', 'node-3', 'node-1']


def test_an_empty_budget_is_not_written_again_and_again() -> None:
    account = make_account()
    terms = Terms(1, 1000, 2)
    assert account.may_get_tokens(terms), 'nothing is known of it'
    account.known = Knowledge(BudgetLedger(1, 1000, {}, closed=1000))
    account.written_at = read_clock()
    assert not account.may_get_tokens(terms)
    assert account.may_get_tokens(terms._replace(version=2)), (
        'it may be topped up'
    )
    account.written_at -= EMPTY_RECHECK_S
    assert account.may_get_tokens(terms)


def make_lender() -> tuple[Lender, Account]:
    """Make a router that lends of a budget that another one owns."""
    board = make_boards(87)[0]
    budgets = Budgets(Identity('node-0', 'node-0/1'), search=None)
    account = budgets.get_account(find_owned_elsewhere(board))
    return Lender(board, budgets, search=None), account


def test_a_borrower_returns_what_no_request_holds() -> None:
    lender, account = make_lender()
    account.allowance.borrowed = 3000
    account.allowance.take_hold(1000)
    given = asyncio.run(lender.lend(account.workspace, 5000, 'node-9', 0))
    assert given == 2000
    assert account.net_lent == {'node-9': 2000}
    # Requests of the owner do not count as demand of the borrower.
    assert account.demand.compute_rate(read_clock()) == 0


def test_a_borrower_of_the_build_before_gets_what_it_asks_for() -> None:
    # The previous build does not send a number of spare tokens: while both
    # builds ran, each such loan failed at the lender.
    lender, account = make_lender()
    account.allowance.borrowed = 3000
    given = asyncio.run(lender.lend(account.workspace, 2000, 'node-9', None))
    assert given == 2000


def lend_to_all(ledger: BudgetLedger) -> int:
    """Sum the loans to 87 routers that request 9 s of 100 tokens per second."""
    loans = (compute_loan(ledger, 900, 8700) for _ in range(87))
    return sum(loans)


def test_loans_to_all_routers_stay_within_what_losses_may_cost() -> None:
    # Tokens that are lent are lost when the routers die.
    ledger = BudgetLedger(1, 300_000, {})
    assert 0 < lend_to_all(ledger) <= LOSS_SHARE * 300_000
    assert lend_to_all(ledger._replace(prepaid=3_000_000)) == 87 * 900


def test_what_is_lent_shrinks_with_what_is_left() -> None:
    rows = {'x': LedgerRow('node-2', 180_000, 0, 180_000, 0)}
    whole = BudgetLedger(1, 300_000, {})
    used = lend_to_all(whole._replace(rows=rows))
    assert 0 < used < lend_to_all(whole)
    assert lend_to_all(whole._replace(closed=300_000)) == 0
    lost = int(LOSS_SHARE * whole.prepaid)
    assert lend_to_all(whole._replace(closed_spare=lost)) == 0
    # Without a known budget the loan is not reduced.
    assert compute_loan(None, 500, 0) == 500


def find_owned_elsewhere(board: ServingBoard) -> str:
    """Find a workspace whose budget another router owns."""
    names = (f'shop-{number}' for number in range(9))
    return next(name for name in names if find_owner(board, name))
