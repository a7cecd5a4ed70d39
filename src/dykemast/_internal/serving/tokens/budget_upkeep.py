"""Background updates of budget rows for demand and configuration."""

import asyncio
from typing import Final

from dykemast._internal.serving.tokens.accounts import Account
from dykemast._internal.serving.tokens.accounts import NEVER, Shortage
from dykemast._internal.serving.tokens.budget_owners import is_owner
from dykemast._internal.serving.state.board import is_large_fleet
from dykemast._internal.serving.tokens.token_source import needs_loan
from dykemast._internal.serving.tokens.upkeep import (
    Upkeep,
    check_budgets,
    read_rows,
)
from dykemast._internal.utils.clock import read_clock

#: Interval between checks of the rows.
REVIEW_INTERVAL_S: Final = 0.5
#: Interval between writes of a budget that no request waits for.
IDLE_WRITE_INTERVAL_S: Final = 3.0
#: Factors of the target between which spare tokens are left as they are:
#: below more are requested, above some are returned.
REFILL_SHARE: Final = 0.5
SURPLUS_FACTOR: Final = 2
#: Difference to the target that is worth a call.
MIN_CHANGE_TOKENS: Final = 4000


async def follow_table(upkeep: Upkeep) -> None:
    """Apply each new configuration at once, as a background loop.

    :param upkeep: shared components.
    """
    while True:
        await upkeep.board.table_changed.wait()
        upkeep.board.table_changed.clear()
        for account in upkeep.budgets.accounts.values():
            _apply_table(upkeep, account)


async def review_rows(upkeep: Upkeep) -> None:
    """Write rows whose spare tokens are off target, as a background loop.

    :param upkeep: shared components.
    """
    await read_rows(upkeep)
    while True:
        await asyncio.sleep(REVIEW_INTERVAL_S)
        check_budgets(upkeep)
        for account in upkeep.budgets.accounts.values():
            if needs_write(upkeep, account):
                upkeep.search.start(account, upkeep.writer.write(account))
            elif needs_loan(upkeep.board, account):
                ahead = upkeep.search.source.borrow_ahead(account)
                upkeep.search.start(account, ahead)


async def return_spare(upkeep: Upkeep) -> bool:
    """Return all tokens that are neither consumed nor held.

    :param upkeep: shared components.
    :returns: whether the store has confirmed this for all budgets.
    """
    accounts = list(upkeep.budgets.accounts.values())
    if is_large_fleet(upkeep.board):
        returns = (upkeep.search.source.return_loans(one) for one in accounts)
        await asyncio.gather(*returns)
        # A router that only borrowed has no row to write.
        accounts = [one for one in accounts if one.written_at > NEVER]
    for account in accounts:
        _release_spare(account)
    if not upkeep.writer.may_call_store():
        return False
    # One after the other would take longer than a planned stop allows.
    writes = (upkeep.writer.write(one, spare=False) for one in accounts)
    await asyncio.gather(*writes)
    return all(one.stored for one in accounts)


def _apply_table(upkeep: Upkeep, account: Account) -> None:
    account.shortage = Shortage()
    terms = upkeep.writer.read_terms(account.workspace)
    ledger = account.ledger
    if ledger and terms.prepaid < ledger.prepaid:
        _release_spare(account)


def _release_spare(account: Account) -> None:
    """Lower the limit to the tokens already consumed, held and lent."""
    account.allowance.lower_limit(account.allowance.count_charged())


def needs_write(upkeep: Upkeep, account: Account) -> bool:
    """Check whether this router should write a budget without a request.

    :param upkeep: shared components.
    :param account: the budget.
    :returns: whether it should.
    """
    if upkeep.board.stopping or not upkeep.writer.may_call_store():
        return False
    # The owner is looked up last: that goes through all routers, and this
    # router hardly uses most budgets.
    if not _is_off_target(account, 1 + len(upkeep.board.peers)):
        return False
    return is_owner(upkeep.board, account.workspace)


def _is_off_target(account: Account, routers: int) -> bool:
    if read_clock() - account.written_at < IDLE_WRITE_INTERVAL_S:
        return False
    room = account.allowance.count_available()
    target = account.compute_spare_target(routers)
    if abs(room - target) < MIN_CHANGE_TOKENS:
        return False
    return not REFILL_SHARE * target < room < SURPLUS_FACTOR * target
