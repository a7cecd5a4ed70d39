"""Write this router's row of a budget to the store."""

import time
from typing import Final

from dykemast._internal.exceptions import PlatformError, VersionConflictError
from dykemast._internal.operations.allowance import Terms
from dykemast._internal.platform.objects import ObjectStore, StoreObject
from dykemast._internal.serving.accounts import BUDGET_KIND, Account
from dykemast._internal.serving.board import ServingBoard
from dykemast._internal.utils.events import make_logger

_log = make_logger('budgets')

#: Writes of one budget in a row that may meet another router's.
MAX_CONFLICTS: Final = 6
#: Seconds after a failed call in which no other is made: a cut or an outage
#: lasts seconds, and each call in it is priced and waited for.
AWAY_PAUSE: Final = 0.4


class LedgerWriter:
    """Writes rows, one at a time for each budget.

    :param board: the blackboard.
    :param store: the object store.
    """

    def __init__(self, board: ServingBoard, store: ObjectStore) -> None:
        """Expect the store to answer."""
        self._board = board
        self._store = store
        self._away_until = 0.0

    def is_away(self) -> bool:
        """Tell whether the store failed a moment ago.

        :returns: whether it did.
        """
        return time.monotonic() < self._away_until

    def read_terms(self, workspace: str) -> Terms:
        """Read what bounds a row now.

        :param workspace: whose budget it is.
        :returns: the terms.
        """
        table = self._board.table
        found = table.workspaces.get(workspace) if table else None
        return Terms(
            version=table.version if table else 0,
            prepaid=(found.prepaid or 0) if found else 0,
            routers=1 + len(self._board.peers),
        )

    async def write(self, account: Account) -> bool:
        """Write the row of one budget.

        :param account: the budget.
        :returns: whether the store confirmed it.
        """
        account.written_at = time.monotonic()
        try:
            await self._write(account)
        except PlatformError as error:
            account.forget()
            self._away_until = time.monotonic() + AWAY_PAUSE
            _log(
                'budget_not_written',
                workspace=account.workspace,
                reason=str(error),
            )
            return False
        return True

    async def _write(self, account: Account) -> None:
        for _ in range(MAX_CONFLICTS):
            if account.stored is None:
                account.see(
                    await self._store.read(BUDGET_KIND, account.workspace)
                )
            planned = account.plan(self.read_terms(account.workspace))
            try:
                written = await self._store.write(BUDGET_KIND, planned)
            except VersionConflictError as conflict:
                account.take_conflict(conflict.current)
            else:
                account.take_written(written)
                _log_written(account, written)
                return
        raise PlatformError('other routers write the budget all the time.')


def _log_written(account: Account, written: StoreObject) -> None:
    ledger = account.ledger
    _log(
        'budget_written',
        workspace=account.workspace,
        revision=written.revision,
        limit=account.allowance.limit,
        spent=account.allowance.spent,
        held=account.allowance.held,
        free=ledger.count_free() if ledger else None,
        prepaid=ledger.prepaid if ledger else None,
        version=ledger.version if ledger else None,
    )
