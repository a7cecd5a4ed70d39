"""First read of the budgets after the start of a router."""

from typing import Final, NamedTuple

from dykemast._internal.exceptions import (
    InvalidBudgetError,
    PlatformError,
)
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.tokens.accounts import (
    BUDGET_KIND,
    NEVER,
    Account,
)
from dykemast._internal.serving.tokens.budget_owners import find_owner
from dykemast._internal.serving.knowledge.store_answers import SETTLE_S
from dykemast._internal.serving.state.board import (
    ServingBoard,
    is_large_fleet,
)
from dykemast._internal.serving.tokens.budgets import Budgets
from dykemast._internal.serving.tokens.ledger_writer import LedgerWriter
from dykemast._internal.serving.tokens.token_search import TokenSearch
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('budgets')

#: Age of an era at which a router reads a budget again that is not settled: one
#: that had not seen the era may have written over its row.
RECHECK_S: Final = 2.0
#: Time after which others settle a budget that its owner did not settle.
OWNER_LEAD_S: Final = 1.0


class Upkeep(NamedTuple):
    """Shared components of the updates of budgets.

    :param board: the blackboard.
    :param store: the object store.
    :param budgets: the accounts.
    :param writer: writes rows.
    :param search: runs at most one task per budget.
    """

    board: ServingBoard
    store: ObjectStore
    budgets: Budgets
    writer: LedgerWriter
    search: TokenSearch


async def read_rows(upkeep: Upkeep) -> None:
    """Read all budgets, unless the fleet is large or starts the first time.

    The rows of the previous process on this instance are closed with the next
    write of a budget. A write for that alone would free no tokens, as such a
    row is charged in full. In a large fleet each router uses few budgets, and
    reads them one by one. At the first start there are no budgets.

    :param upkeep: shared components.
    """
    if upkeep.board.settings.first_start:
        return
    await upkeep.board.peers_read.wait()
    if is_large_fleet(upkeep.board):
        return
    try:
        listing = await upkeep.store.list_kind(BUDGET_KIND)
    except PlatformError as error:
        # Each budget is read before its first write.
        _log('rows_not_read', reason=str(error))
        return
    for stored in listing.found:
        try:
            upkeep.budgets.get_account(stored.name).record_stored(stored)
        except InvalidBudgetError as error:
            _log('budget_not_usable', workspace=stored.name, reason=str(error))


def check_budgets(upkeep: Upkeep) -> None:
    """Compare budgets with the store's after it returned from an older copy.

    :param upkeep: shared components.
    """
    if upkeep.board.stopping or not upkeep.writer.may_call_store():
        return
    for account in upkeep.budgets.accounts.values():
        # A router that only borrowed has no row to write.
        if account.written_at > NEVER and needs_check(upkeep.board, account):
            check = upkeep.writer.write(account, is_check=True)
            upkeep.search.start(account, check)


def needs_check(board: ServingBoard, account: Account) -> bool:
    """Check whether to compare a budget with what the store has of it.

    First as soon as this router sees the era, again when all routers have seen
    it, then to settle the budget.

    :param board: the blackboard.
    :param account: the budget.
    :returns: whether to compare it now.
    """
    if account.known.era < board.store_era:
        return True
    if account.known.is_settled():
        return False
    due = board.store_era_at + SETTLE_S
    if find_owner(board, account.workspace):
        due += OWNER_LEAD_S
    if read_clock() >= due or account.stored is None:
        return True
    recheck_at = board.store_era_at + RECHECK_S
    return account.seen_at < recheck_at <= read_clock()
