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

#: Consecutive write conflicts after which a write is given up.
MAX_CONFLICTS: Final = 6
#: Seconds after a failed call in which no other is made: a network partition
#: or an outage lasts seconds, and each call in it costs money and time.
AWAY_PAUSE: Final = 0.4


class LedgerWriter:
    """Writes rows, one at a time per budget.

    :param board: the blackboard.
    :param store: the object store.
    """

    def __init__(self, board: ServingBoard, store: ObjectStore) -> None:
        """Create a writer that takes the store as available."""
        self._board = board
        self._store = store
        self._failed_at = -AWAY_PAUSE
        #: Whether the last call failed.
        self.is_store_unavailable = False

    def may_call_store(self) -> bool:
        """Check whether the store may be called now.

        :returns: False for :data:`AWAY_PAUSE` seconds after a failed call.
        """
        return read_clock() > self._failed_at + AWAY_PAUSE

    def read_terms(self, workspace: str) -> Terms:
        """Read the current bounds of a row.

        :param workspace: workspace of the budget.
        :returns: the bounds.
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
        :param spare: whether to keep spare tokens.
        """
        async with account.write_lock:
            await self._write_logged(account, spare=spare)
        self._board.budget_write_failed = self.is_store_unavailable

    async def _write_logged(self, account: Account, *, spare: bool) -> None:
        account.written_at = read_clock()
        try:
            await self._write(account, spare=spare)
        except ContendedError as error:
            # Seven routers that start together conflict in ten budgets. This
            # is no outage, as which it would refuse callers of all of them.
            self._note_failure(account, 'budget_contended', error)
        except InvalidBudgetError as error:
            # An invalid budget does not affect the others.
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
        """Record that a row was not written although the store answered."""
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
            # Spare tokens of a stopping router would be charged in full.
            keep = spare and not self._board.stopping
            planned = account.plan(terms, spare=keep)
            try:
                written = await self._store.write(BUDGET_KIND, planned)
            except VersionConflictError as conflict:
                account.record_stored(conflict.current)
            else:
                account.apply_written(written)
                return
        raise ContendedError(f'{MAX_CONFLICTS} consecutive write conflicts')


def describe_account(account: Account) -> dict[str, Any]:
    """Build the log fields of a budget.

    :param account: the budget.
    :returns: its cached state and revision.
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
