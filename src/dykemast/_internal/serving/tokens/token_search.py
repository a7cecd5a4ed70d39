"""Searches for tokens that requests at this router wait for."""

import asyncio
import contextlib
from collections.abc import Coroutine, Iterator
from typing import Any, Final

from dykemast._internal.operations.retry_after import compute_retry_after
from dykemast._internal.serving.tokens.accounts import (
    HOLD_TIMEOUT_S,
    NEVER,
    Account,
    Shortage,
    take_hold,
)
from dykemast._internal.serving.tokens.budget_owners import is_owner_cut_off
from dykemast._internal.serving.tokens.ledger_writer import (
    LedgerWriter,
    describe_account,
)
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.tokens.token_source import TokenSource
from dykemast._internal.utils.clock import read_clock

#: Time for which a shortage is cached.
SHORTAGE_VALID_S: Final = 0.5
#: Time that a peer's request waits while the store is unavailable, so that the
#: peer has time to ask the store itself.
AWAY_REFILL_TIMEOUT_S: Final = HOLD_TIMEOUT_S / 3
#: Retry-After of a request refused for lack of tokens, in which others end and
#: free some.
SHORTAGE_RETRY_AFTER_S: Final = 2.5


@contextlib.contextmanager
def _pending(account: Account, tokens: int) -> Iterator[None]:
    with contextlib.ExitStack() as ending:
        account.pending += tokens
        ending.callback(_end_waiting, account, tokens)
        yield


def _end_waiting(account: Account, tokens: int) -> None:
    account.pending -= tokens


def _note_shortage(account: Account, tokens: int) -> None:
    if account.is_short_of(tokens):
        # A smaller hold was refused recently, which covers this one.
        return
    account.shortage = Shortage(tokens, read_clock() + SHORTAGE_VALID_S)


def _describe_loans(account: Account) -> dict[str, Any]:
    """Build the log fields of a router's last attempts to borrow.

    :param account: the budget.
    :returns: the router that it asked as the owner, and the seconds since
        then, since the owner said that the store does not answer, and since
        a loan brought tokens; None for never.
    """
    return {
        'asked': account.asked or None,
        'asked_s': _count_seconds_since(account.asked_at),
        'owner_cut_off_s': _count_seconds_since(account.owner_cut_off_at),
        'received_s': _count_seconds_since(account.received_at),
    }


def _count_seconds_since(at: float) -> float | None:
    return None if at == NEVER else round(read_clock() - at, 3)


class TokenSearch:
    """Searches for tokens, one at a time per budget.

    :param source: obtains tokens from peers and the store.
    :param writer: shows whether the store is available.
    """

    def __init__(self, source: TokenSource, writer: LedgerWriter) -> None:
        """Create a search that has not started."""
        self.source = source
        self._writer = writer

    async def wait_for_tokens(
        self,
        account: Account,
        tokens: int,
        reserve: int,
    ) -> None:
        """Reserve tokens as soon as enough are available.

        :param account: the budget.
        :param tokens: number of tokens.
        :param reserve: tokens of the budget to leave for others.
        :raises RefusedError: if too few are available in time.
        """
        if account.is_short_of(tokens + reserve):
            raise self._refuse(account, tokens)
        with _pending(account, tokens):
            found = await self._try_twice(account, tokens, reserve)
        if not found:
            _note_shortage(account, tokens + reserve)
            raise self._refuse(account, tokens)

    def start(
        self,
        account: Account,
        work: Coroutine[Any, Any, None],
    ) -> asyncio.Task[Any]:
        """Start a task for a budget, unless one is running.

        :param account: the budget.
        :param work: coroutine to run; closed if a task is running.
        :returns: the running task.
        """
        if account.search is None or account.search.done():
            account.search = asyncio.create_task(work)
        else:
            work.close()
        return account.search

    async def refill(
        self, account: Account, tokens: int, *, spare: bool
    ) -> None:
        """Search for tokens that a peer requests.

        :param account: the budget, of which the peer takes this router for the
            owner.
        :param tokens: number of tokens.
        :param spare: whether to keep spare ones.
        """
        if account.is_short_of(tokens):
            return
        with _pending(account, tokens):
            found = self.source.find_elsewhere(account, spare=spare)
            search = self.start(account, found)
            away = self.is_store_away()
            limit = AWAY_REFILL_TIMEOUT_S if away else HOLD_TIMEOUT_S
            await asyncio.wait((search,), timeout=limit)
        if account.allowance.count_available() < tokens:
            _note_shortage(account, tokens)

    def is_store_away(self) -> bool:
        """Tell whether the last call to the store failed.

        :returns: whether it did.
        """
        return self._writer.is_store_unavailable

    async def _try_twice(
        self,
        account: Account,
        tokens: int,
        reserve: int,
    ) -> bool:
        limit = read_clock() + HOLD_TIMEOUT_S
        # The first search may have started before this request.
        for _ in range(2):
            search = self.start(account, self.source.find(account))
            left = limit - read_clock()
            await asyncio.wait((search,), timeout=max(0, left))
            if take_hold(account, tokens, reserve):
                return True
        return False

    def _refuse(self, account: Account, tokens: int) -> RefusedError:
        details = {
            'wanted': tokens,
            **describe_account(account),
            **_describe_loans(account),
        }
        if self.is_store_away() or is_owner_cut_off(account):
            away = read_clock() - account.seen_at
            pause = compute_retry_after(
                account.ledger, account.identity, tokens, away
            )
            return RefusedError(RefusalCode.budget_away, details, pause)
        unspent = account.ledger.count_unspent() if account.ledger else tokens
        if unspent < tokens and account.known.is_settled():
            return RefusedError(RefusalCode.budget_spent, details)
        return RefusedError(
            RefusalCode.budget_held, details, SHORTAGE_RETRY_AFTER_S
        )
