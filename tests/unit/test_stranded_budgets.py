"""A budget does not depend on its owner alone.

The store may reject some routers, the owners of budgets among them, while the
others reach it. These have to call it then.
"""

import asyncio
from typing import Any

from dykemast._internal.models.fleet import LoanAnswer
from dykemast._internal.operations.allowance_terms import Identity, Terms
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.tokens.accounts import Account
from dykemast._internal.serving.tokens.budget_owners import find_owner
from dykemast._internal.serving.tokens.token_source import TokenSource
from dykemast._internal.utils.packing import pack
from tests.lib.serving_boards import make_boards

ROUTERS = 30
WANTED = 1000


class Writer:
    """Writes rows; the store grants all tokens requested."""

    def __init__(self) -> None:
        self.written = 0

    def may_call_store(self) -> bool:
        return True

    def read_terms(self, _: str) -> Terms:
        return Terms(1, 100_000, ROUTERS)

    async def write(self, account: Account, *, spare: bool) -> None:
        self.written += 1
        account.allowance.confirm_limit(account.pending)


class Gossip:
    """Calls the owner, which lends a given number of tokens."""

    def __init__(self, lends: int) -> None:
        self._lends = lends

    async def call(self, *_: Any, **_options: Any) -> bytes:
        return pack(LoanAnswer('owner/1', self._lends, store_away=False))


def find_owned_elsewhere(board: ServingBoard) -> Account:
    names = (f'shop-{number}' for number in range(99))
    kept = next(name for name in names if find_owner(board, name))
    account = Account(kept, Identity('node-0', 'node-0/1'))
    account.pending = WANTED
    return account


def search(lends: int, *, owner_unavailable: bool) -> tuple[int, int]:
    """Return the number of tokens found, and of writes for it."""
    board = make_boards(ROUTERS)[0]
    account = find_owned_elsewhere(board)
    owner = find_owner(board, account.workspace)
    board.peers[owner.instance].budget_write_failed = owner_unavailable
    writer = Writer()
    source = TokenSource(board, writer, Gossip(lends))
    asyncio.run(source.find(account))
    return account.allowance.count_available(), writer.written


def test_a_router_bypasses_an_owner_that_cannot_write() -> None:
    room, written = search(WANTED // 2, owner_unavailable=True)
    assert room >= WANTED
    assert written == 1


def test_an_owner_that_reaches_the_store_is_not_bypassed() -> None:
    # Otherwise each router would call the store for each exhausted budget.
    assert search(0, owner_unavailable=False) == (0, 0)


def test_a_loan_of_the_owner_needs_no_write() -> None:
    assert search(WANTED, owner_unavailable=True) == (WANTED, 0)
