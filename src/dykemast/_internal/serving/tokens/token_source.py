"""Where a router finds tokens that it has not: peers and the store."""

from typing import Final

from dykemast._internal.serving.tokens.accounts import Account
from dykemast._internal.serving.state.board import ServingBoard, list_heard
from dykemast._internal.serving.tokens.budget_keepers import find_keeper
from dykemast._internal.serving.state.fleet_size import is_large
from dykemast._internal.serving.members.gossip import Gossip
from dykemast._internal.serving.tokens.ledger_writer import LedgerWriter
from dykemast._internal.serving.tokens.loans import ask_lender, borrow_tokens
from dykemast._internal.utils.clock import read_clock

#: Seconds of its own demand that a router borrows from a budget's keeper beyond
#: what it needs: with it two large fleets made 1,725 and 2,151 calls to the
#: store in 50 s under load; more was not tried there.
LOAN_TIME: Final = 4.0


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

    async def find(self, account: Account) -> None:
        """Find the tokens that requests wait for, and some to spare.

        :param account: the budget.
        """
        if is_large(self._board) and await self._ask_keeper(account):
            if not self._is_stranded(account):
                return
        terms = self._writer.read_terms(account.workspace)
        if self._writer.may_try() and account.may_gain(terms):
            await self._writer.write(account)
        if account.pending > account.allowance.count_room():
            peers = [peer.card for peer in list_heard(self._board)]
            await borrow_tokens(self._gossip, peers, account)

    def _is_stranded(self, account: Account) -> bool:
        """Tell whether tokens are short as their keeper cannot write.

        The store turns single routers away while others reach it; what is
        left of a budget then must not hang on one of those.
        """
        if account.pending <= account.allowance.count_room():
            return False
        keeper = find_keeper(self._board, account.workspace)
        peer = self._board.peers.get(keeper.instance) if keeper else None
        return peer is not None and peer.budgets_away

    async def _ask_keeper(self, account: Account) -> bool:
        """Ask the budget's keeper.

        :returns: whether it answered.
        """
        keeper = find_keeper(self._board, account.workspace)
        if keeper is None:
            return False
        missing = account.pending - account.allowance.count_room()
        spare = int(account.demand.measure(read_clock()) * LOAN_TIME)
        return await ask_lender(self._gossip, keeper, account, missing + spare)
