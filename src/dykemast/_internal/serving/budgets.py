"""Hold tokens of workspaces' budgets for requests."""

import asyncio
import time
from typing import Final

from dykemast._internal.exceptions import PlatformError, VersionConflictError
from dykemast._internal.models.routing_table import Workspace
from dykemast._internal.operations.allowance import Allowance, Identity, Terms
from dykemast._internal.platform.objects import ObjectStore, StoreObject
from dykemast._internal.serving.accounts import BUDGET_KIND, Account, Hold
from dykemast._internal.serving.board import ServingBoard
from dykemast._internal.serving.gossip import Gossip
from dykemast._internal.serving.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.utils.events import make_logger

_log = make_logger('budgets')

#: Writes of one budget in a row that may meet another router's.
MAX_CONFLICTS: Final = 6
#: Seconds for which a refusal for lack of tokens is repeated without a call
#: to the store: requests end, and give back, about as often.
SHORT_TIME: Final = 0.4
#: Seconds between two looks at spare tokens.
REVIEW_PAUSE: Final = 0.5
#: Seconds between two writes of a budget on nobody's behalf.
IDLE_WRITE_PAUSE: Final = 1.5
#: Times its target to which spare may grow before it is given back.
SURPLUS_FACTOR: Final = 2
#: Part of its target to which spare may fall before more is asked for.
REFILL_SHARE: Final = 0.4
#: Seconds after which a request refused for lack of tokens may come back.
SHORT_RETRY: Final = 0.6
#: Seconds after which a request refused for lack of the store may come back.
AWAY_RETRY: Final = 0.8


class Budgets:
    """Accounts of the workspaces.

    :param board: the blackboard.
    :param store: the object store.
    :param gossip: asks other routers for spare tokens.
    """

    def __init__(
        self,
        board: ServingBoard,
        store: ObjectStore,
        gossip: Gossip,
    ) -> None:
        """Open no account yet."""
        self._board = board
        self._store = store
        self._gossip = gossip
        self._identity = Identity(board.settings.name, board.incarnation)
        self._accounts: dict[str, Account] = {}
        self._refills: set[asyncio.Task[None]] = set()
        gossip.serve_loans(self._lend)

    async def hold(self, workspace: Workspace, tokens: int) -> Hold:
        """Set tokens aside for a request.

        :param workspace: who spends.
        :param tokens: what the request may consume at the most.
        :returns: the hold, to be settled.
        :raises RefusedError: when there are not as many.
        """
        account = self._open_account(workspace.name)
        account.note_demand(tokens)
        hold = Hold(workspace.name, tokens)
        if account.allowance.take_hold(tokens):
            self._refill_early(account)
            return hold
        account.pending += tokens
        try:
            await self._find_tokens(account, tokens)
        finally:
            account.pending -= tokens
        return hold

    def settle(self, hold: Hold, used: int) -> None:
        """End a hold.

        :param hold: the hold.
        :param used: tokens consumed.
        """
        account = self._accounts[hold.workspace]
        account.allowance.settle(hold.tokens, min(used, hold.tokens))

    def obey_table(self) -> None:
        """Drop spare tokens of budgets that the configuration lowered."""
        for account in self._accounts.values():
            terms = self._read_terms(account.workspace)
            ledger = account.ledger
            if ledger and terms.version > ledger.version:
                if terms.prepaid < ledger.prepaid:
                    account.allowance.drop_spare()
                account.short_until = 0

    async def review(self) -> None:
        """Give back what is not needed, and refill, for ever."""
        while True:
            await asyncio.sleep(REVIEW_PAUSE)
            for account in tuple(self._accounts.values()):
                if _has_surplus(account):
                    await self._write_idle(account)

    async def close(self) -> None:
        """Give everything back that is not consumed."""
        for account in self._accounts.values():
            account.allowance.drop_spare()
            account.note_demand(0)
            await self._write_idle(account)

    def _open_account(self, workspace: str) -> Account:
        account = self._accounts.get(workspace)
        if account is None:
            account = Account(workspace, Allowance(self._identity))
            self._accounts[workspace] = account
        return account

    async def _find_tokens(self, account: Account, tokens: int) -> None:
        async with account.lock:
            if account.allowance.take_hold(tokens):
                return
            if time.monotonic() < account.short_until:
                if tokens >= account.short_of:
                    raise _refuse_short(account, tokens)
            away = await self._try_store(account)
            if account.allowance.take_hold(tokens):
                return
            await self._borrow(account, tokens)
        if account.allowance.take_hold(tokens):
            return
        if away:
            raise _refuse_away(away)
        account.short_of = tokens
        account.short_until = time.monotonic() + SHORT_TIME
        raise _refuse_short(account, tokens)

    async def _try_store(self, account: Account) -> PlatformError | None:
        try:
            await self._write(account)
        except PlatformError as error:
            _log(
                'budget_not_written',
                workspace=account.workspace,
                reason=str(error),
            )
            return error
        return None

    async def _borrow(self, account: Account, tokens: int) -> None:
        missing = tokens - account.allowance.count_room()
        for peer in self._gossip.list_lenders(account.ledger):
            given = await self._gossip.borrow(peer, account.workspace, missing)
            account.allowance.borrowed += given
            missing -= given
            if given:
                _log(
                    'tokens_borrowed',
                    workspace=account.workspace,
                    peer=peer.instance,
                    tokens=given,
                    missing=missing,
                )
            if missing <= 0:
                return

    async def _lend(self, workspace: str, tokens: int) -> int:
        account = self._accounts.get(workspace)
        return account.allowance.lend(tokens) if account else 0

    async def _write(self, account: Account) -> None:
        """Write this router's row; the caller holds the account's lock."""
        for _ in range(MAX_CONFLICTS):
            if account.stored is None:
                account.see(
                    await self._store.read(BUDGET_KIND, account.workspace)
                )
            planned = account.plan(self._read_terms(account.workspace))
            try:
                written = await self._store.write(BUDGET_KIND, planned)
            except VersionConflictError as conflict:
                account.take_conflict(conflict.current)
                continue
            except PlatformError:
                account.forget()
                raise
            self._take_written(account, written)
            return
        raise PlatformError('other routers write the budget all the time.')

    def _take_written(self, account: Account, written: StoreObject) -> None:
        account.see(written)
        account.written_at = time.monotonic()
        ledger = account.ledger
        if ledger is None:
            raise PlatformError('the store lost the budget that it took.')
        account.allowance.take_written(ledger)
        _log(
            'budget_written',
            workspace=account.workspace,
            revision=written.revision,
            limit=account.allowance.limit,
            spent=account.allowance.spent,
            held=account.allowance.held,
            free=ledger.count_free(),
            prepaid=ledger.prepaid,
            version=ledger.version,
        )

    def _read_terms(self, workspace: str) -> Terms:
        table = self._board.table
        found = table.workspaces.get(workspace) if table else None
        return Terms(
            version=table.version if table else 0,
            prepaid=(found.prepaid or 0) if found else 0,
            routers=1 + len(self._board.peers),
        )

    def _refill_early(self, account: Account) -> None:
        room = account.allowance.count_room()
        if room > REFILL_SHARE * account.measure_spare():
            return
        if time.monotonic() - account.written_at < IDLE_WRITE_PAUSE:
            return
        task = asyncio.create_task(self._write_idle(account))
        self._refills.add(task)
        task.add_done_callback(self._refills.discard)

    async def _write_idle(self, account: Account) -> None:
        if account.lock.locked():
            return
        async with account.lock:
            account.written_at = time.monotonic()
            await self._try_store(account)


def _has_surplus(account: Account) -> bool:
    if time.monotonic() - account.written_at < IDLE_WRITE_PAUSE:
        return False
    ledger = account.ledger
    room = account.allowance.count_room()
    if ledger is None or not room:
        return False
    share = max(0, ledger.count_free()) // 2
    target = min(account.measure_spare(), share)
    return room > SURPLUS_FACTOR * target and room > ledger.prepaid // 200


def _refuse_short(account: Account, tokens: int) -> RefusedError:
    ledger = account.ledger
    unspent = ledger.count_unspent() if ledger else 0
    details = {
        'workspace': account.workspace,
        'wanted': tokens,
        'room': account.allowance.count_room(),
        'free': ledger.count_free() if ledger else None,
        'unspent': unspent,
    }
    if unspent < tokens:
        return RefusedError(RefusalCode.budget_spent, details)
    return RefusedError(RefusalCode.budget_held, details, SHORT_RETRY)


def _refuse_away(error: PlatformError) -> RefusedError:
    details = {'reason': str(error)}
    return RefusedError(RefusalCode.budget_away, details, AWAY_RETRY)
