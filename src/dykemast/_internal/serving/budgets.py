"""Hold tokens of workspaces' budgets for requests."""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, Final

from dykemast._internal.exceptions import PlatformError
from dykemast._internal.models.routing_table import Workspace
from dykemast._internal.operations.allowance import Identity
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.accounts import (
    BUDGET_KIND,
    Account,
    Hold,
    Shortage,
)
from dykemast._internal.serving.board import ServingBoard
from dykemast._internal.serving.gossip import Gossip
from dykemast._internal.serving.ledger_writer import LedgerWriter, describe
from dykemast._internal.serving.loans import borrow_tokens
from dykemast._internal.serving.refusals import RefusalCode, RefusedError
from dykemast._internal.utils.events import make_logger

_log = make_logger('budgets')

#: Seconds that a request waits for tokens: a quarter of the users' shortest
#: objective for streams is 0.2 s, after which a refusal counts as late.
HOLD_PATIENCE: Final = 0.18
#: Seconds for which a lack of tokens is believed without asking again.
SHORT_TIME: Final = 0.5
#: Seconds between two looks at the rows.
REVIEW_PAUSE: Final = 0.5
#: Seconds between two writes of a budget on nobody's behalf.
IDLE_WRITE_PAUSE: Final = 3.0
#: Part of its target to which spare may fall before more is asked for, and
#: times its target to which it may grow before some is given back.
REFILL_SHARE: Final = 0.5
SURPLUS_FACTOR: Final = 2
#: Tokens by which that has to be worth a call.
MIN_CHANGE: Final = 4000
#: Seconds after which a request refused for lack of tokens may come back.
SHORT_RETRY: Final = 2.5
#: Seconds after which a request refused for lack of the store may come back.
AWAY_RETRY: Final = 4.0


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
        self._writer = LedgerWriter(board, store)
        self._accounts: dict[str, Account] = {}
        gossip.serve_loans(self._lend)

    async def hold(self, workspace: Workspace, tokens: int) -> Hold:
        """Set tokens aside for a request.

        :param workspace: who spends.
        :param tokens: what the request may consume at the most.
        :returns: the hold, to be settled.
        :raises RefusedError: when there are not as many.
        """
        account = self._open_account(workspace.name)
        account.demand.note(tokens, time.monotonic())
        if not account.allowance.take_hold(tokens):
            await self._wait_for_tokens(account, tokens)
        return Hold(workspace.name, tokens)

    def settle(self, hold: Hold, used: int) -> None:
        """End a hold.

        :param hold: the hold.
        :param used: tokens consumed.
        """
        account = self._accounts[hold.workspace]
        account.allowance.settle(hold.tokens, min(used, hold.tokens))

    async def follow_table(self) -> None:
        """Obey each new configuration at once, for ever."""
        while True:
            await self._board.table_changed.wait()
            self._board.table_changed.clear()
            for account in self._accounts.values():
                self._obey_table(account)

    async def review(self) -> None:
        """Keep the rows up to date, for ever."""
        await self._close_rows()
        while True:
            await asyncio.sleep(REVIEW_PAUSE)
            routers = 1 + len(self._board.peers)
            for account in self._accounts.values():
                if not self._writer.may_try():
                    break
                if _is_off_target(account, routers):
                    self._start(account, self._writer.write(account))

    async def close(self) -> None:
        """Give everything back that is not consumed."""
        for account in self._accounts.values():
            account.allowance.drop_spare()
            if self._writer.may_try():
                await self._writer.write(account, spare=False)

    def _open_account(self, workspace: str) -> Account:
        account = self._accounts.get(workspace)
        if account is None:
            board = self._board
            identity = Identity(board.settings.name, board.incarnation)
            account = Account(workspace, identity)
            self._accounts[workspace] = account
        return account

    async def _close_rows(self) -> None:
        """Close the rows of the process before on this instance."""
        try:
            listing = await self._store.list_kind(BUDGET_KIND)
        except PlatformError as error:
            # Each is closed when it is next written.
            _log('rows_not_closed', reason=str(error))
            return
        for stored in listing.objects:
            account = self._open_account(stored.name)
            account.see(stored)
            rows = account.ledger.rows.values() if account.ledger else ()
            if self._board.settings.name in {row.instance for row in rows}:
                self._start(account, self._writer.write(account))

    def _obey_table(self, account: Account) -> None:
        account.shortage = Shortage()
        terms = self._writer.read_terms(account.workspace)
        ledger = account.ledger
        if ledger and terms.prepaid < ledger.prepaid:
            account.allowance.drop_spare()

    async def _wait_for_tokens(self, account: Account, tokens: int) -> None:
        if account.is_short_of(tokens):
            raise self._refuse(account, tokens)
        limit = time.monotonic() + HOLD_PATIENCE
        account.pending += tokens
        try:
            # The first search may have begun before this request came.
            for _ in range(2):
                search = self._start(account, self._search(account))
                left = limit - time.monotonic()
                await asyncio.wait((search,), timeout=max(0, left))
                if account.allowance.take_hold(tokens):
                    return
        finally:
            account.pending -= tokens
        until = time.monotonic() + SHORT_TIME
        account.shortage = Shortage(tokens, until)
        raise self._refuse(account, tokens)

    def _start(
        self,
        account: Account,
        work: Coroutine[Any, Any, None],
    ) -> asyncio.Task[Any]:
        """Start to look for tokens, unless that is under way."""
        if account.search is None or account.search.done():
            account.search = asyncio.create_task(work)
        else:
            work.close()
        return account.search

    async def _search(self, account: Account) -> None:
        if self._writer.may_try():
            await self._writer.write(account)
        if account.pending > account.allowance.count_room():
            await borrow_tokens(self._gossip, account)

    async def _lend(self, workspace: str, tokens: int) -> int:
        account = self._accounts.get(workspace)
        if account is None:
            return 0
        return account.allowance.lend(tokens)

    def _refuse(self, account: Account, tokens: int) -> RefusedError:
        details = {'wanted': tokens, **describe(account)}
        if self._writer.is_away:
            return RefusedError(RefusalCode.budget_away, details, AWAY_RETRY)
        unspent = account.ledger.count_unspent() if account.ledger else tokens
        if unspent < tokens:
            return RefusedError(RefusalCode.budget_spent, details)
        return RefusedError(RefusalCode.budget_held, details, SHORT_RETRY)


def _is_off_target(account: Account, routers: int) -> bool:
    if time.monotonic() - account.written_at < IDLE_WRITE_PAUSE:
        return False
    room = account.allowance.count_room()
    target = account.measure_target(routers)
    if abs(room - target) < MIN_CHANGE:
        return False
    return not REFILL_SHARE * target < room < SURPLUS_FACTOR * target
