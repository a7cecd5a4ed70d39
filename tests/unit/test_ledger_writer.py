"""Concurrent writes of one budget's row."""

import asyncio
from typing import Any

from dykemast._internal.exceptions import VersionConflictError
from dykemast._internal.operations.allowance_terms import Identity, Terms
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.tokens.accounts import Account
from dykemast._internal.serving.tokens.budget_upkeep import return_spare
from dykemast._internal.serving.tokens.budgets import Budgets
from dykemast._internal.serving.tokens.ledger_writer import LedgerWriter
from dykemast._internal.serving.tokens.upkeep import Upkeep
from tests.lib.serving_boards import make_board

ASKED = 4000


class ContendedStore:
    """One object; each write conflicts with another router's."""

    def __init__(self) -> None:
        self.stored = StoreObject('w', 0, {})

    async def read(self, *_: Any) -> StoreObject:
        return self.stored

    async def write(self, *_: Any) -> StoreObject:
        raise VersionConflictError('another version', self.stored)


class LateStore:
    """One object; the answer to a write may come late."""

    def __init__(self) -> None:
        self.stored = StoreObject('w', 0, {})
        self.answer_delays: list[float] = []

    async def read(self, *_: Any) -> StoreObject:
        return self.stored

    async def write(self, _: str, planned: StoreObject) -> StoreObject:
        await asyncio.sleep(0)
        if planned.revision != self.stored.revision:
            raise VersionConflictError('another version', self.stored)
        self.stored = planned._replace(
            revision=self.stored.revision + 1, era=self.stored.era
        )
        written = self.stored
        if self.answer_delays:
            await asyncio.sleep(self.answer_delays.pop())
        return written


async def test_tokens_go_back_though_a_budget_is_opened_meanwhile() -> None:
    # A late request may add an account while the first rows are written.
    store, board = LateStore(), make_board()
    writer = LedgerWriter(board, store)
    budgets = Budgets(Identity('node-0', 'node-0/1'), None)
    budgets.get_account('w')
    store.answer_delays = [0.05]
    returning = asyncio.create_task(
        return_spare(Upkeep(board, store, budgets, writer, None))
    )
    await asyncio.sleep(0.01)
    budgets.get_account('another')
    assert await returning


async def test_a_late_answer_does_not_restore_returned_tokens() -> None:
    # The late answer holds a row with tokens that are free for others by now.
    store = LateStore()
    writer = LedgerWriter(make_board(), store)
    writer.read_terms = lambda _: Terms(1, 10_000, 2)
    account = Account('w', Identity('node-0', 'node-0/1'), pending=ASKED)
    store.answer_delays = [0.05]
    search = asyncio.create_task(writer.write(account, spare=False))
    await asyncio.sleep(0.01)
    account.pending = 0
    await writer.write(account, spare=False)
    await search
    assert account.ledger is not None
    assert account.ledger.rows['node-0/1'].limit == 0
    assert account.allowance.lend(ASKED) == 0


async def test_a_contended_budget_is_no_outage() -> None:
    # The store has answered each call, so other budgets go on.
    writer = LedgerWriter(make_board(), ContendedStore())
    await writer.write(Account('w', Identity('node-0', 'node-0/1')))
    assert not writer.is_store_unavailable
    assert writer.may_call_store()


async def test_a_contended_budget_does_not_count_as_returned() -> None:
    # The spare tokens of a row that is not returned are charged in full.
    store, board = ContendedStore(), make_board()
    writer = LedgerWriter(board, store)
    budgets = Budgets(Identity('node-0', 'node-0/1'), None)
    budgets.get_account('w')
    assert not await return_spare(Upkeep(board, store, budgets, writer, None))
