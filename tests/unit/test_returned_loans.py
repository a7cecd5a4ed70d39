"""A router of a large fleet returns borrowed tokens when it stops.

It has tokens for some seconds of demand of each budget that it uses, nearly
all of them borrowed, and a rolling restart may not lose these.
"""

import asyncio
from typing import Any

from dykemast._internal.operations.allowance_terms import Identity
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.tokens import token_search, token_source
from dykemast._internal.serving.tokens.budget_owners import find_owner
from dykemast._internal.serving.tokens.budget_upkeep import return_spare
from dykemast._internal.serving.tokens.budgets import Budgets
from dykemast._internal.serving.tokens.ledger_writer import LedgerWriter
from dykemast._internal.serving.tokens.upkeep import Upkeep
from tests.lib.serving_boards import make_boards
from tests.unit import test_ledger_writer, test_loans

BORROWED = 5000
SPENT = 1000


class Peers:
    """Records the calls of peers, and accepts all returned tokens."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []

    async def call(self, card: Any, *words: Any) -> int:
        self.calls.append((card.instance, *words))
        return words[2]


def make_upkeep(
    board: ServingBoard, store: test_ledger_writer.LateStore, peers: Peers
) -> Upkeep:
    writer = LedgerWriter(board, store)
    source = token_source.TokenSource(board, writer, peers)
    search = token_search.TokenSearch(source, writer)
    budgets = Budgets(Identity('node-0', 'node-0/1'), search)
    return Upkeep(board, store, budgets, writer, search)


class Stopping:
    """A stopping router with a budget that another one owns."""

    def __init__(self) -> None:
        board = make_boards(30)[0]
        board.stopping = True
        workspace = test_loans.find_owned_elsewhere(board)
        self.owner = find_owner(board, workspace)
        self.peers = Peers()
        self.store = test_ledger_writer.LateStore()
        self.upkeep = make_upkeep(board, self.store, self.peers)
        self.account = self.upkeep.budgets.get_account(workspace)
        self.account.allowance.borrowed = BORROWED
        self.account.allowance.spent = SPENT


def test_a_router_that_stops_returns_what_it_borrowed() -> None:
    router = Stopping()
    assert asyncio.run(return_spare(router.upkeep))
    returned = [call for call in router.peers.calls if call[1] == 'take_back']
    expected = (router.owner.instance, 'take_back', router.account.workspace)
    assert [call[:3] for call in returned] == [expected]
    assert returned[0][3] == BORROWED - SPENT
    assert router.account.allowance.count_available() <= 0


def test_a_router_that_never_wrote_a_row_writes_none_to_stop() -> None:
    # 87 routers and 24 budgets would make 2,088 calls in a rolling restart.
    router = Stopping()
    assert asyncio.run(return_spare(router.upkeep))
    assert not router.store.stored.revision
