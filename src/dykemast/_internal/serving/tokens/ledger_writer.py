"""Write this router's row of a budget to the store."""

from typing import Any, Final

from dykemast._internal.exceptions import (
    InvalidBudgetError,
    ContendedError,
    MissingObjectError,
    PlatformError,
    VersionConflictError,
)
from dykemast._internal.models.budget_ledger import BudgetLedger
from dykemast._internal.operations.allowance_terms import Terms
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.tokens.accounts import (
    BUDGET_KIND,
    Account,
    is_restated,
    may_grant,
)
from dykemast._internal.serving.knowledge.store_answers import read_era
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
            era=read_era(self._board),
        )

    async def write(
        self, account: Account, *, spare: bool = True, is_check: bool = False
    ) -> None:
        """Write the row of one budget; a failure is logged.

        :param account: the budget.
        :param spare: whether to keep spare tokens.
        :param is_check: whether to read the budget first, and write only what
            the store lacks.
        """
        async with account.write_lock:
            if is_check:
                account.record_stored(None)
            await self._write_logged(account, spare=spare, is_check=is_check)
        self._board.budget_write_failed = self.is_store_unavailable

    async def _write_logged(
        self, account: Account, *, spare: bool, is_check: bool
    ) -> None:
        account.written_at = read_clock()
        try:
            await self._write(account, spare=spare, is_check=is_check)
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

    async def _write(
        self, account: Account, *, spare: bool, is_check: bool
    ) -> None:
        for _ in range(MAX_CONFLICTS):
            await _read(
                self._store, account, self.read_terms(account.workspace)
            )
            # The answer may be of a new era.
            terms = self.read_terms(account.workspace)
            # Spare tokens of a stopping router would be charged in full.
            keep = spare and not self._board.stopping
            may_skip = is_check or (keep and not may_grant(account, terms))
            if may_skip and is_restated(account, terms):
                return
            if await _try_write(self._store, account, terms, keep=keep):
                return
        raise ContendedError(f'{MAX_CONFLICTS} consecutive write conflicts')


async def _read(store: ObjectStore, account: Account, terms: Terms) -> None:
    """Read a budget unless its revision in the store's era is known."""
    stored = account.stored
    # A revision of an earlier era may have been given out again.
    if stored is None or stored.era < terms.era.number:
        found = await store.read(BUDGET_KIND, account.workspace)
        _record(account, found, terms)


async def _try_write(
    store: ObjectStore, account: Account, terms: Terms, *, keep: bool
) -> bool:
    """Write a row, unless the object is another one than the cached.

    :returns: whether the row was written.
    """
    before = account.ledger
    planned = account.plan(_add_unseen(terms, account), spare=keep)
    try:
        written = await store.write(BUDGET_KIND, planned)
    except VersionConflictError as conflict:
        _record(account, conflict.current, terms)
        return False
    except MissingObjectError:
        # The store returned from a copy that is older than the budget.
        _record(account, None, terms)
        return False
    if written.era > terms.era.number:
        # Planned before the return; the revision happens to be the same.
        _record(account, written, terms)
        return False
    account.apply_written(written, terms.era.latest)
    _log_written(account, before)
    return True


def _add_unseen(terms: Terms, account: Account) -> Terms:
    unseen_s = terms.era.began_at - account.earlier_at
    return terms._replace(era=terms.era._replace(unseen_s=unseen_s))


def _record(account: Account, stored: StoreObject | None, terms: Terms) -> None:
    account.record_stored(stored, terms.era.latest)
    if account.known.is_newer:
        _log('budget_merged', **describe_account(account))


def _log_written(account: Account, before: BudgetLedger | None) -> None:
    described = describe_account(account)
    _log('budget_written', **described)
    if before and account.ledger and account.ledger.era > before.era:
        charged = before.count_free() - account.ledger.count_free()
        _log('budget_settled', charged=charged, **described)


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
        'era': ledger.era,
        'version': ledger.version,
        'prepaid': ledger.prepaid,
        'free': ledger.count_free(),
        'spare': ledger.count_spare(),
        'closed': ledger.closed,
        'closed_spent': ledger.closed_spent,
        'closed_spare': ledger.closed_spare,
    }
