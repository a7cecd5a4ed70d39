"""What a router that starts reads of the budgets."""

from typing import NamedTuple

from dykemast._internal.exceptions import (
    InvalidBudgetError,
    PlatformError,
)
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.tokens.accounts import BUDGET_KIND
from dykemast._internal.serving.state.fleet_size import is_large_fleet
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


async def read_rows(upkeep: Upkeep) -> None:
    """Read all budgets, where this router is likely to draw on most of them.

    The rows of the process before on this instance are closed when a budget
    is next written; a write for that alone would bring nobody a token, as
    such a row is charged in full either way. In a large fleet each router
    draws on few budgets, and reads them one by one. When all start for the
    first time there are none.

    :param upkeep: what it needs.
    """
    if upkeep.board.settings.first_start:
        return
    await upkeep.board.peers_read.wait()
    if is_large_fleet(upkeep.board):
        return
    try:
        listing = await upkeep.store.list_kind(BUDGET_KIND)
    except PlatformError as error:
        # Each is read when it is first written.
        _log('rows_not_read', reason=str(error))
        return
    for stored in listing.found:
        try:
            upkeep.budgets.get_account(stored.name).record_stored(stored)
        except InvalidBudgetError as error:
            _log('budget_not_usable', workspace=stored.name, reason=str(error))
