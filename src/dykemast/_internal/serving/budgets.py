"""Hold tokens of workspaces' budgets for requests."""

import asyncio
import time
from typing import Any, Final

from dykemast._internal.models.routing_table import Workspace
from dykemast._internal.operations.allowance import Allowance, Identity
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving.accounts import Account, Hold
from dykemast._internal.serving.board import ServingBoard
from dykemast._internal.serving.gossip import Gossip
from dykemast._internal.serving.ledger_writer import LedgerWriter
from dykemast._internal.serving.loans import borrow_tokens
from dykemast._internal.serving.refusals import RefusalCode, RefusedError

#: Seconds that a request waits for tokens: a quarter of the users' shortest
#: objective for streams is 0.2 s, after which a refusal counts as late.
HOLD_PATIENCE: Final = 0.18
#: Seconds for which a lack of tokens is believed without asking again.
SHORT_TIME: Final = 0.3
#: Seconds between two looks at spare tokens.
REVIEW_PAUSE: Final = 0.5
#: Seconds between two writes of a budget on nobody's behalf.
IDLE_WRITE_PAUSE: Final = 2.0
#: Times its target to which spare may grow before it is given back.
SURPLUS_FACTOR: Final = 2
#: Part of its target to which spare may fall before more is asked for.
REFILL_SHARE: Final = 0.5
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
        self._gossip = gossip
        self._writer = LedgerWriter(board, store)
        self._identity = Identity(board.settings.name, board.incarnation)
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
        account.note_demand(tokens)
        if not account.allowance.take_hold(tokens):
            await self._wait_for_tokens(account, tokens)
        elif _is_low(account):
            self._start(account, refill=True)
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
            self._obey_table()

    async def review(self) -> None:
        """Give back what is not needed, for ever."""
        while True:
            await asyncio.sleep(REVIEW_PAUSE)
            for account in self._accounts.values():
                if _has_surplus(account):
                    self._start(account, refill=True)

    async def close(self) -> None:
        """Give everything back that is not consumed."""
        for account in self._accounts.values():
            account.allowance.drop_spare()
            account.is_closing = True
            await self._writer.write(account)

    def _obey_table(self) -> None:
        """Drop spare tokens of budgets that the configuration lowered."""
        for account in self._accounts.values():
            account.short_until = 0
            terms = self._writer.read_terms(account.workspace)
            ledger = account.ledger
            if ledger and terms.prepaid < ledger.prepaid:
                account.allowance.drop_spare()

    def _open_account(self, workspace: str) -> Account:
        account = self._accounts.get(workspace)
        if account is None:
            account = Account(workspace, Allowance(self._identity))
            self._accounts[workspace] = account
        return account

    async def _wait_for_tokens(self, account: Account, tokens: int) -> None:
        if account.is_short_of(tokens):
            raise _refuse(account, tokens)
        limit = time.monotonic() + HOLD_PATIENCE
        account.pending += tokens
        try:
            # The first search may have begun before this request came.
            for _ in range(2):
                search = self._start(account, refill=False)
                left = limit - time.monotonic()
                await asyncio.wait((search,), timeout=max(0, left))
                if account.allowance.take_hold(tokens):
                    return
        finally:
            account.pending -= tokens
        account.note_short(tokens, time.monotonic() + SHORT_TIME)
        raise _refuse(account, tokens)

    def _start(self, account: Account, *, refill: bool) -> asyncio.Task[Any]:
        """Start to look for tokens, unless that is under way."""
        if account.search is None or account.search.done():
            work = self._refill(account) if refill else self._search(account)
            account.search = asyncio.create_task(work)
        return account.search

    async def _search(self, account: Account) -> None:
        if not self._writer.is_away():
            await self._refill(account)
        if account.pending > account.allowance.count_room():
            await borrow_tokens(self._gossip, account)

    async def _refill(self, account: Account) -> None:
        account.is_away = not await self._writer.write(account)

    async def _lend(self, workspace: str, tokens: int) -> int:
        account = self._accounts.get(workspace)
        return account.allowance.lend(tokens) if account else 0


def _is_low(account: Account) -> bool:
    if time.monotonic() - account.written_at < IDLE_WRITE_PAUSE:
        return False
    target = account.measure_target()
    return account.allowance.count_room() < REFILL_SHARE * target


def _has_surplus(account: Account) -> bool:
    if time.monotonic() - account.written_at < IDLE_WRITE_PAUSE:
        return False
    room = account.allowance.count_room()
    return room > SURPLUS_FACTOR * max(1, account.measure_target())


def _refuse(account: Account, tokens: int) -> RefusedError:
    ledger = account.ledger
    unspent = ledger.count_unspent() if ledger else None
    details = {
        'workspace': account.workspace,
        'wanted': tokens,
        'room': account.allowance.count_room(),
        'free': ledger.count_free() if ledger else None,
        'unspent': unspent,
        'ledger_revision': account.revision,
    }
    if account.is_away:
        return RefusedError(RefusalCode.budget_away, details, AWAY_RETRY)
    if unspent is not None and unspent < tokens:
        return RefusedError(RefusalCode.budget_spent, details)
    return RefusedError(RefusalCode.budget_held, details, SHORT_RETRY)
