"""Sources of tokens outside of this router: peers and the store."""

from typing import Final

from dykemast._internal.serving.tokens.accounts import (
    HOLD_TIMEOUT_S,
    Account,
)
from dykemast._internal.serving.state.board import (
    ServingBoard,
    list_live_peers,
    is_large_fleet,
)
from dykemast._internal.serving.tokens.budget_owners import (
    find_owner,
    is_owner,
    is_owner_cut_off,
)
from dykemast._internal.serving.members.gossip import Gossip
from dykemast._internal.serving.tokens.ledger_writer import LedgerWriter
from dykemast._internal.serving.tokens.loans import (
    Needed,
    ask_lender,
    borrow_tokens,
    return_tokens,
)
from dykemast._internal.utils.clock import read_clock

#: Demand that a router borrows in advance from a budget's owner: about the
#: duration of a network partition.
LOAN_DEMAND_S: Final = 9.0
#: Share of that below which more is borrowed in advance.
LOAN_REFILL_SHARE: Final = 0.5
#: Interval between loans in advance, and the smallest loan worth a call.
LOAN_INTERVAL_S: Final = 1.0
MIN_LOAN_TOKENS: Final = 4000
#: Interval at most, as budgets are reviewed twice a second.
MAX_LOAN_INTERVAL_S: Final = 1.5
#: Additional delay after a smaller loan.
SCARCE_DELAY_S: Final = 3.0


def compute_loan_target(account: Account) -> int:
    """Compute how many tokens a borrower should have for the next requests.

    :param account: the budget.
    :returns: tokens.
    """
    return int(
        account.demand.compute_window_average(read_clock()) * LOAN_DEMAND_S
    )


def compute_needed(account: Account) -> Needed:
    """Compute how many tokens to ask a budget's owner for.

    While answers take longer than requests wait, a loan has to be for those
    that arrive until the next one, or it always comes too late.

    :param account: the budget.
    :returns: tokens.
    """
    left = account.allowance.count_available() - account.pending
    arriving = 0
    if account.answer_s > HOLD_TIMEOUT_S:
        demand = account.demand.compute_rate(read_clock())
        arriving = int(demand * (account.answer_s + MAX_LOAN_INTERVAL_S))
    return Needed(
        missing=max(0, arriving - left),
        spare=max(0, compute_loan_target(account) - max(arriving, left)),
        as_owner=True,
    )


def needs_loan(board: ServingBoard, account: Account) -> bool:
    """Check whether this router should borrow before a request is short.

    In a network partition a router has only its own tokens. If it borrowed
    for waiting requests only, it would have half of its target on average,
    and refuse a workspace whose callers use one router for the rest of the
    partition.

    :param board: the blackboard.
    :param account: the budget.
    :returns: whether it should.
    """
    if board.stopping or not is_large_fleet(board):
        return False
    if read_clock() - account.borrowed_at < LOAN_INTERVAL_S:
        return False
    reserve = compute_loan_target(account)
    if reserve < MIN_LOAN_TOKENS:
        return False
    if account.allowance.count_available() > LOAN_REFILL_SHARE * reserve:
        return False
    return not is_owner(board, account.workspace)


class TokenSource:
    """Obtains tokens from the owner, the store and peers, in this order.

    :param board: the blackboard.
    :param writer: writes rows to the store.
    :param gossip: calls other routers.
    """

    def __init__(
        self,
        board: ServingBoard,
        writer: LedgerWriter,
        gossip: Gossip,
    ) -> None:
        """Create a source; nothing is requested yet."""
        self._board = board
        self._writer = writer
        self._gossip = gossip

    async def borrow_ahead(self, account: Account) -> None:
        """Borrow from the owner before a request is short of tokens.

        :param account: the budget.
        """
        account.borrowed_at = read_clock()
        before = account.allowance.count_available()
        is_answered = await self._ask_owner(account)
        gained = account.allowance.count_available() - before
        if is_answered and gained < MIN_LOAN_TOKENS:
            # Near the end of a budget loans are almost 0, and the owner would
            # be busy with the calls of all routers each second.
            account.borrowed_at += SCARCE_DELAY_S

    async def return_loans(self, account: Account) -> None:
        """Return the tokens that no request holds to the owner.

        :param account: the budget.
        """
        owner = find_owner(self._board, account.workspace)
        if is_large_fleet(self._board) and owner:
            room = account.allowance.count_available()
            await return_tokens(self._gossip, owner, account, max(0, room))

    async def find(self, account: Account) -> None:
        """Obtain the tokens that requests wait for, and spare ones.

        :param account: the budget.
        """
        if is_large_fleet(self._board) and await self._ask_owner(account):
            if not self._must_bypass_owner(account):
                return
        await self.find_elsewhere(account, spare=True)

    async def find_elsewhere(self, account: Account, *, spare: bool) -> None:
        """Obtain the tokens that requests wait for from the store and peers.

        :param account: the budget.
        :param spare: whether to keep spare ones.
        """
        terms = self._writer.read_terms(account.workspace)
        if self._writer.may_call_store() and account.may_get_tokens(terms):
            await self._writer.write(account, spare=spare)
        if account.pending > account.allowance.count_available():
            peers = [peer.card for peer in list_live_peers(self._board)]
            await borrow_tokens(self._gossip, peers, account)

    def _must_bypass_owner(self, account: Account) -> bool:
        """Check whether tokens are short because the owner cannot write.

        The store may reject some routers while others reach it; a budget must
        not depend on one of the rejected.
        """
        if account.pending <= account.allowance.count_available():
            return False
        if is_owner_cut_off(account):
            return True
        owner = find_owner(self._board, account.workspace)
        peer = self._board.peers.get(owner.instance) if owner else None
        return peer is not None and peer.budget_write_failed

    async def _ask_owner(self, account: Account) -> bool:
        """Request tokens from the budget's owner.

        :returns: whether it answered.
        """
        owner = find_owner(self._board, account.workspace)
        if owner is None:
            return False
        account.asked = owner.instance
        account.asked_at = read_clock()
        needed = compute_needed(account)
        return await ask_lender(self._gossip, owner, account, needed)
