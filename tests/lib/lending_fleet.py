"""Routers of a large fleet that share one budget, without processes.

The parts that hold and lend tokens are the product's; calls between routers
take as long as the test says, and the store is an object in memory.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

from dykemast._internal.models.budget_ledger import BudgetLedger
from dykemast._internal.models.routing_table import Workspace
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.tokens import (
    budget_owners,
    budget_upkeep,
    ledger_objects,
    lending,
)
from tests.lib import reached_store, slow_links
from tests.lib.lending_router import ROUTERS, keep_heard, make_upkeep
from tests.lib.serving_boards import make_boards
from tests.unit.test_ledger_writer import LateStore

NAME = 'joinville'


class LendingFleet:
    """All routers, their links and the budget.

    :param prepaid: tokens of the budget.
    :param ledger: the budget as the store has it; None if it has none.
    """

    def __init__(
        self, prepaid: int, ledger: BudgetLedger | None = None
    ) -> None:
        self.links = slow_links.SlowLinks(self._answer)
        #: Instances whose calls of the store fail, late.
        self.without_store: set[str] = set()
        self.refusals: list[RefusalCode] = []
        self._workspace = Workspace(NAME, 0, prepaid)
        store = LateStore()
        if ledger:
            store.stored = ledger_objects.encode_ledger(NAME, 1, ledger)
        self.upkeeps = {
            board.settings.name: make_upkeep(
                board,
                reached_store.ReachedStore(
                    store, board.settings.name, self.without_store
                ),
                self.links,
                prepaid,
            )
            for board in make_boards(ROUTERS)
        }

    def choose_borrower(self) -> str:
        """Choose a router that does not own the budget."""
        boards = [one.board for one in self.upkeeps.values()]
        return next(
            board.settings.name
            for board in boards
            if budget_owners.find_owner(board, NAME)
        )

    def get_account(self, router: str) -> lending.Account:
        """Get the budget's account at a router."""
        return self.upkeeps[router].budgets.get_account(NAME)

    async def ask(self, router: str, tokens: int) -> bool:
        """Send a request that uses tokens; returns whether it was let in."""
        held = self.upkeeps[router].budgets
        try:
            hold = await held.hold(self._workspace, tokens, priority=0)
        except RefusedError as error:
            self.refusals.append(error.code)
            return False
        held.settle(hold, tokens)
        return True

    async def count_refused(
        self, router: str, requests: int, tokens: int
    ) -> int:
        """Send 40 requests a second; returns how many were refused."""
        asked = []
        for _ in range(requests):
            asked.append(asyncio.create_task(self.ask(router, tokens)))
            await asyncio.sleep(1 / 40)
        return (await asyncio.gather(*asked)).count(False)

    @contextlib.asynccontextmanager
    async def run(self) -> AsyncIterator[None]:
        """Run the background work of all routers."""
        works = [keep_heard(one.board) for one in self.upkeeps.values()]
        works += map(budget_upkeep.review_rows, self.upkeeps.values())
        tasks = [asyncio.create_task(one) for one in works]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _answer(self, router: str, method: str, words: Any) -> Any:
        one = self.upkeeps[router]
        lender = lending.Lender(one.board, one.budgets, one.search)
        return await getattr(lender, method)(*words)


def count_unarrived(fleet: LendingFleet) -> int:
    """Count the tokens that were lent and have not arrived."""
    accounts_of_all = map(fleet.get_account, fleet.upkeeps)
    allowances = [one.allowance for one in accounts_of_all]
    return sum(one.lent - one.borrowed for one in allowances)
