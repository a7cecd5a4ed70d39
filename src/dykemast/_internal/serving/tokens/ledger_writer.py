"""Write this router's row of a budget to the store."""

from typing import Any, Final

from dykemast._internal.exceptions import (
    InvalidBudgetError,
    ContendedError,
    PlatformError,
    VersionConflictError,
)
from dykemast._internal.operations.allowance_terms import Terms
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.tokens.accounts import BUDGET_KIND, Account
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
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
        self._failed_at = -AWAY_PAUSE
        #: Whether the last call failed.
        self.is_store_unavailable = False

    def may_call_store(self) -> bool:
        """Tell whether a call makes sense now.

        :returns: False for a while after one has failed.
        """
        return read_clock() > self._failed_at + AWAY_PAUSE

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

    async def write(self, account: Account, *, spare: bool = True) -> None:
        """Write the row of one budget; a failure is logged.

        :param account: the budget.
        :param spare: whether to keep any tokens spare.
        """
        async with account.write_lock:
            await self._write_logged(account, spare=spare)
        self._board.budget_write_failed = self.is_store_unavailable

    async def _write_logged(self, account: Account, *, spare: bool) -> None:
        account.written_at = read_clock()
        try:
            await self._write(account, spare=spare)
        except ContendedError as error:
            # Seven routers that start at once meet each other in ten budgets;
            # to take that for an outage refused callers of all of these.
            self._note_failure(account, 'budget_contended', error)
        except InvalidBudgetError as error:
            # No other budget waits for it.
            self._note_failure(account, 'budget_not_usable', error)
        except PlatformError as error:
            self._note_failure(account, 'budget_not_written', error)
            self.is_store_unavailable = True
            self._failed_at = read_clock()
        else:
            self.is_store_unavailable = False
            _log('budget_written', **describe_account(account))

    def _note_failure(
        self,
        account: Account,
        event: str,
        error: PlatformError,
    ) -> None:
        """Take note that a row was not written though the store answers."""
        account.record_stored(None)
        self.is_store_unavailable = False
        _log(event, workspace=account.workspace, reason=str(error))

    async def _write(self, account: Account, *, spare: bool) -> None:
        for _ in range(MAX_CONFLICTS):
            if account.stored is None:
                account.record_stored(
                    await self._store.read(BUDGET_KIND, account.workspace)
                )
            terms = self.read_terms(account.workspace)
            # What a stopping router kept spare would be charged to its end.
            keep = spare and not self._board.stopping
            planned = account.plan(terms, spare=keep)
            try:
                written = await self._store.write(BUDGET_KIND, planned)
            except VersionConflictError as conflict:
                account.record_stored(conflict.current)
            else:
                account.apply_written(written)
                return
        raise ContendedError(f'{MAX_CONFLICTS} conflicts in a row')


def describe_account(account: Account) -> dict[str, Any]:
    """Describe a budget for the log.

    :param account: the budget.
    :returns: what is known of it, and of which revision.
    """
    ledger = account.ledger
    allowance = account.allowance
    described = {
        'workspace': account.workspace,
        'revision': account.stored.revision if account.stored else None,
        'room': allowance.count_available(),
        'spent': allowance.spent,
        'held': allowance.held,
        'lent': allowance.lent,
        'borrowed': allowance.borrowed,
    }
    if ledger is None:
        return described
    return {
        **described,
        'version': ledger.version,
        'prepaid': ledger.prepaid,
        'free': ledger.count_free(),
        'spare': ledger.count_spare(),
        'closed': ledger.closed,
        'closed_spent': ledger.closed_spent,
        'closed_spare': ledger.closed_spare,
    }
