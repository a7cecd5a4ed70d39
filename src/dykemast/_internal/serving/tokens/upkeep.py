"""First read of the budgets after the start of a router."""

from typing import NamedTuple

from dykemast._internal.exceptions import (
    InvalidBudgetError,
    PlatformError,
)
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.tokens.accounts import BUDGET_KIND
from dykemast._internal.serving.state.board import (
    ServingBoard,
    is_large_fleet,
)
from dykemast._internal.serving.tokens.budgets import Budgets
from dykemast._internal.serving.tokens.ledger_writer import LedgerWriter
from dykemast._internal.serving.tokens.token_search import TokenSearch
from dykemast._internal.utils.events import make_logger

_log = make_logger('budgets')


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
