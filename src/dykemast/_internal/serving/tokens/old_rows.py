"""Rows of budgets that earlier processes on this instance left."""

from typing import NamedTuple

from dykemast._internal.exceptions import (
    BudgetNotUsableError,
    PlatformError,
)
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.tokens.accounts import BUDGET_KIND
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.tokens.budgets import Budgets
from dykemast._internal.serving.tokens.ledger_writer import LedgerWriter
from dykemast._internal.serving.tokens.token_search import TokenSearch
from dykemast._internal.utils.events import make_logger

_log = make_logger('budgets')


class Upkeep(NamedTuple):
    """What the upkeep of budgets needs.

    :param board: the blackboard.
    :param store: the object store.
    :param budgets: the accounts.
    :param writer: writes rows.
    :param search: knows which rows are being written.
    """

    board: ServingBoard
    store: ObjectStore
    budgets: Budgets
    writer: LedgerWriter
    search: TokenSearch


async def close_old_rows(upkeep: Upkeep) -> None:
    """Close the rows of the process before on this instance.

    :param upkeep: what it needs.
    """
    try:
        listing = await upkeep.store.list_kind(BUDGET_KIND)
    except PlatformError as error:
        # Each is closed when it is next written.
        _log('rows_not_closed', reason=str(error))
        return
    for stored in listing.found:
        try:
            _close_row(upkeep, stored)
        except BudgetNotUsableError as error:
            _log('budget_not_usable', workspace=stored.name, reason=str(error))


def _close_row(upkeep: Upkeep, stored: StoreObject) -> None:
    account = upkeep.budgets.open_account(stored.name)
    account.see(stored)
    rows = account.ledger.rows.values() if account.ledger else ()
    if upkeep.board.settings.name in {row.instance for row in rows}:
        upkeep.search.start(account, upkeep.writer.write(account))
