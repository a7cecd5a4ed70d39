"""Where a router finds tokens that it has not: peers and the store."""

from typing import Final

from dykemast._internal.serving.tokens.accounts import Account
from dykemast._internal.serving.state.board import ServingBoard, list_live_peers
from dykemast._internal.serving.tokens.budget_owners import (
    find_owner,
    is_owner,
)
from dykemast._internal.serving.state.fleet_size import is_large_fleet
from dykemast._internal.serving.members.gossip import Gossip
from dykemast._internal.serving.tokens.ledger_writer import LedgerWriter
from dykemast._internal.serving.tokens.loans import (
    ask_lender,
    borrow_tokens,
    return_tokens,
)
from dykemast._internal.utils.clock import read_clock

#: Seconds of its own demand that a router borrows from a budget's keeper beyond
#: what it needs: about as long as a cut lasts.
LOAN_DEMAND_S: Final = 9.0
#: Part of that to which it may fall before more is borrowed ahead.
LOAN_REFILL_SHARE: Final = 0.5
#: Seconds between two loans of a budget on nobody's behalf, and tokens from
#: which on one is worth a call.
LOAN_INTERVAL_S: Final = 1.0
MIN_LOAN_TOKENS: Final = 4000
#: Seconds longer after one that brought less.
SCARCE_DELAY_S: Final = 3.0


def compute_loan_target(account: Account) -> int:
    """Measure how many tokens a borrower would keep for the next requests.

    :param account: the budget.
    :returns: tokens.
    """
    return int(
        account.demand.compute_window_average(read_clock()) * LOAN_DEMAND_S
    )


def needs_loan(board: ServingBoard, account: Account) -> bool:
    """Tell whether this router should borrow before it is short.

    A cut finds each router with what it has then. Who borrows only when a
    request is short has half of what it would keep, on average; a workspace
    whose callers keep to one router is refused there for the rest of the cut.

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
    """Asks the keeper, the store and peers, in this order.

    :param board: the blackboard.
    :param writer: writes rows to the store.
    :param gossip: asks other routers.
    """

    def __init__(
        self,
        board: ServingBoard,
        writer: LedgerWriter,
        gossip: Gossip,
    ) -> None:
        """Ask nobody yet."""
        self._board = board
        self._writer = writer
        self._gossip = gossip

    async def borrow_ahead(self, account: Account) -> None:
        """Borrow before a request is short of tokens.

        :param account: the budget.
        """
        account.borrowed_at = read_clock()
        before = account.allowance.count_available()
        await self._ask_keeper(account)
        if account.allowance.count_available() < before + MIN_LOAN_TOKENS:
            # A budget near its end lends next to nothing; asked each second
            # by all, its keeper would do little else.
            account.borrowed_at += SCARCE_DELAY_S

    async def return_loans(self, account: Account) -> None:
        """Give the keeper what no request of this router holds.

        :param account: the budget.
        """
        keeper = find_owner(self._board, account.workspace)
        if is_large_fleet(self._board) and keeper:
            room = account.allowance.count_available()
            await return_tokens(self._gossip, keeper, account, max(0, room))

    async def find(self, account: Account) -> None:
        """Find the tokens that requests wait for, and some to spare.

        :param account: the budget.
        """
        if is_large_fleet(self._board) and await self._ask_keeper(account):
            if not self._is_stranded(account):
                return
        terms = self._writer.read_terms(account.workspace)
        if self._writer.may_call_store() and account.may_get_tokens(terms):
            await self._writer.write(account)
        if account.pending > account.allowance.count_available():
            peers = [peer.card for peer in list_live_peers(self._board)]
            await borrow_tokens(self._gossip, peers, account)

    def _is_stranded(self, account: Account) -> bool:
        """Tell whether tokens are short as their keeper cannot write.

        The store turns single routers away while others reach it; what is
        left of a budget then must not hang on one of those.
        """
        if account.pending <= account.allowance.count_available():
            return False
        keeper = find_owner(self._board, account.workspace)
        peer = self._board.peers.get(keeper.instance) if keeper else None
        return peer is not None and peer.budget_write_failed

    async def _ask_keeper(self, account: Account) -> bool:
        """Ask the budget's keeper.

        :returns: whether it answered.
        """
        keeper = find_owner(self._board, account.workspace)
        if keeper is None:
            return False
        left = account.allowance.count_available() - account.pending
        wanted = compute_loan_target(account) - max(0, left)
        return await ask_lender(
            self._gossip, keeper, account, max(0, -left), max(0, wanted)
        )
