"""A budget does not hang on the one router that keeps it.

The store turned 30 of 87 routers away while the others reached it. Budgets that
a fifth was consumed of refused their callers, as their keepers were among them
and nobody else asked the store: 1,057 of 6,113 requests in 16 s.
"""

import asyncio
from typing import Any

from dykemast._internal.operations.allowance_terms import Identity, Terms
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.tokens.accounts import Account
from dykemast._internal.serving.tokens.budget_owners import find_owner
from dykemast._internal.serving.tokens.token_source import TokenSource
from tests.lib.serving_boards import make_boards

ROUTERS = 30
WANTED = 1000


class Writer:
    """Writes rows; the store gives what is wanted."""

    def __init__(self) -> None:
        self.written = 0

    def may_call_store(self) -> bool:
        return True

    def read_terms(self, _: str) -> Terms:
        return Terms(1, 100_000, ROUTERS)

    async def write(self, account: Account) -> None:
        self.written += 1
        account.allowance.confirm_limit(account.pending)


class Gossip:
    """Calls peers, whose keeper lends a given number of tokens."""

    def __init__(self, lends: int) -> None:
        self._lends = lends

    async def call(self, *_: Any) -> int:
        return self._lends


def find_owned_elsewhere(board: ServingBoard) -> Account:
    names = (f'shop-{number}' for number in range(99))
    kept = next(name for name in names if find_owner(board, name))
    account = Account(kept, Identity('node-0', 'node-0/1'))
    account.pending = WANTED
    return account


def search(lends: int, *, keeper_away: bool) -> tuple[int, int]:
    """Tell how many tokens were found, in how many writes."""
    board = make_boards(ROUTERS)[0]
    account = find_owned_elsewhere(board)
    keeper = find_owner(board, account.workspace)
    board.peers[keeper.instance].budget_write_failed = keeper_away
    writer = Writer()
    source = TokenSource(board, writer, Gossip(lends))
    asyncio.run(source.find(account))
    return account.allowance.count_available(), writer.written


def test_who_gets_too_little_of_a_keeper_without_store_asks_the_store() -> None:
    room, written = search(WANTED // 2, keeper_away=True)
    assert room >= WANTED
    assert written == 1


def test_a_keeper_that_reaches_the_store_is_believed() -> None:
    # Else each router would ask the store for each budget that is at its end.
    assert search(0, keeper_away=False) == (0, 0)


def test_nobody_asks_the_store_for_what_the_keeper_lent() -> None:
    assert search(WANTED, keeper_away=True) == (WANTED, 0)
