"""Owners of budgets that do not reach the store say so."""

import asyncio

from dykemast._internal.serving.requests.refusals import RefusalCode
from dykemast._internal.serving.tokens.budget_owners import find_owner
from tests.lib.lending_fleet import NAME, LendingFleet
from tests.lib.reached_store import STORE_TIMEOUT_S

PREPAID = 4_000_000
TOKENS = 2000


def find_owner_of(fleet: LendingFleet, borrower: str) -> str:
    owner = find_owner(fleet.upkeeps[borrower].board, NAME)
    assert owner is not None
    return owner.instance


async def test_callers_are_let_in_though_the_owner_reaches_no_store() -> None:
    fleet = LendingFleet(PREPAID)
    borrower = fleet.choose_borrower()
    fleet.without_store.add(find_owner_of(fleet, borrower))
    async with fleet.run():
        await fleet.count_refused(borrower, 20, TOKENS)
        await asyncio.sleep(STORE_TIMEOUT_S)
        assert await fleet.count_refused(borrower, 40, TOKENS) == 0


async def test_an_outage_of_the_store_is_not_told_as_tokens_in_use() -> None:
    fleet = LendingFleet(PREPAID)
    fleet.without_store.update(fleet.upkeeps)
    borrower = fleet.choose_borrower()
    async with fleet.run():
        await fleet.count_refused(borrower, 20, TOKENS)
        await asyncio.sleep(STORE_TIMEOUT_S)
        fleet.refusals.clear()
        await fleet.count_refused(borrower, 40, TOKENS)
    assert set(fleet.refusals) == {RefusalCode.budget_away}
