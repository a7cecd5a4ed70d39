"""Keep the rows of budgets in line with demand and configuration."""

import asyncio
from typing import Final

from dykemast._internal.serving.tokens.accounts import Account
from dykemast._internal.serving.tokens.holds import NEVER, Shortage
from dykemast._internal.serving.tokens.budget_owners import is_owner
from dykemast._internal.serving.state.fleet_size import is_large_fleet
from dykemast._internal.serving.tokens.token_source import needs_loan
from dykemast._internal.serving.tokens.upkeep import Upkeep, read_rows
from dykemast._internal.utils.clock import read_clock

#: Seconds between two looks at the rows.
REVIEW_INTERVAL_S: Final = 0.5
#: Seconds between two writes of a budget on nobody's behalf.
IDLE_WRITE_INTERVAL_S: Final = 3.0
#: Part of its target to which spare may fall before more is asked for, and
#: times its target to which it may grow before some is given back.
REFILL_SHARE: Final = 0.5
SURPLUS_FACTOR: Final = 2
#: Tokens by which that has to be worth a call.
MIN_CHANGE_TOKENS: Final = 4000


async def follow_table(upkeep: Upkeep) -> None:
    """Obey each new configuration at once, for ever.

    :param upkeep: what it needs.
    """
    while True:
        await upkeep.board.table_changed.wait()
        upkeep.board.table_changed.clear()
        for account in upkeep.budgets.accounts.values():
            _obey_table(upkeep, account)


async def review_rows(upkeep: Upkeep) -> None:
    """Write rows whose spare is off its target, for ever.

    :param upkeep: what it needs.
    """
    await read_rows(upkeep)
    while True:
        await asyncio.sleep(REVIEW_INTERVAL_S)
        for account in upkeep.budgets.accounts.values():
            if needs_write(upkeep, account):
                upkeep.search.start(account, upkeep.writer.write(account))
            elif needs_loan(upkeep.board, account):
                ahead = upkeep.search.source.borrow_ahead(account)
                upkeep.search.start(account, ahead)


async def return_spare(upkeep: Upkeep) -> bool:
    """Give everything back that is not consumed or held.

    :param upkeep: what it needs.
    :returns: whether the store has confirmed it of all budgets.
    """
    accounts = list(upkeep.budgets.accounts.values())
    if is_large_fleet(upkeep.board):
        returns = (upkeep.search.source.return_loans(one) for one in accounts)
        await asyncio.gather(*returns)
        # Who only borrowed has no row to write.
        accounts = [one for one in accounts if one.written_at > NEVER]
    for account in accounts:
        _drop_spare(account)
    if not upkeep.writer.may_call_store():
        return False
    # All at once: one after the other, ten budgets would take longer than a
    # stop has when a call takes 0.1 s.
    writes = (upkeep.writer.write(one, spare=False) for one in accounts)
    await asyncio.gather(*writes)
    return all(one.stored for one in accounts)


def _obey_table(upkeep: Upkeep, account: Account) -> None:
    account.shortage = Shortage()
    terms = upkeep.writer.read_terms(account.workspace)
    ledger = account.ledger
    if ledger and terms.prepaid < ledger.prepaid:
        _drop_spare(account)


def _drop_spare(account: Account) -> None:
    """Allow no more than what is consumed and held already."""
    account.allowance.lower_limit(account.allowance.count_charged())


def needs_write(upkeep: Upkeep, account: Account) -> bool:
    """Tell whether this router should write a budget on nobody's behalf.

    :param upkeep: what it needs.
    :param account: the budget.
    :returns: whether it should.
    """
    if upkeep.board.stopping or not upkeep.writer.may_call_store():
        return False
    # Who keeps a budget is looked up last: that goes through all routers, and
    # most budgets are ones that this router hardly draws on.
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
