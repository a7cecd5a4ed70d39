"""Loans of this router's tokens to other routers."""

from dykemast._internal.exceptions import InvalidDataError
from dykemast._internal.models.fleet import LoanAnswer, LoanRequest
from dykemast._internal.operations.spare_size import compute_loan
from dykemast._internal.serving.state.board import (
    ServingBoard,
    is_large_fleet,
)
from dykemast._internal.serving.tokens.accounts import Account, record_loan
from dykemast._internal.serving.tokens.budget_owners import is_owner
from dykemast._internal.serving.tokens.budgets import Budgets
from dykemast._internal.serving.tokens.token_search import TokenSearch
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger
from dykemast._internal.utils.packing import pack, unpack

_log = make_logger('loans')


class Lender:
    """Lends tokens, and takes back unused ones.

    :param board: the blackboard.
    :param budgets: accounts of the workspaces.
    :param search: searches for tokens when this router has too few.
    """

    def __init__(
        self,
        board: ServingBoard,
        budgets: Budgets,
        search: TokenSearch,
    ) -> None:
        """Create a lender."""
        self._board = board
        self._budgets = budgets
        self._search = search

    async def lend(
        self,
        workspace: str,
        tokens: int,
        borrower: str,
        spare: int | None,
    ) -> int:
        """Lend tokens to a router of the previous build.

        :param workspace: workspace of the budget.
        :param tokens: number of tokens that its requests wait for.
        :param borrower: its instance.
        :param spare: number of spare tokens requested; None from routers of
            the build before, which does not send it.
        :returns: number of tokens lent.
        """
        request = LoanRequest(
            workspace=workspace,
            missing=tokens,
            spare=spare or 0,
            borrower=borrower,
            incarnation=borrower,
            lender=self._board.incarnation,
            received=0,
            as_owner=_acts_as_owner(self._board, workspace),
        )
        return await self._grant(request, unconfirmed=0)

    async def borrow(self, body: bytes) -> bytes:
        """Lend tokens to another router.

        :param body: its packed request.
        :returns: the packed answer; empty for a request that is invalid.
        """
        try:
            request = unpack(body, LoanRequest)
        except InvalidDataError as error:
            _log('loan_not_usable', reason=str(error))
            return b''
        return pack(await self._answer(request))

    async def take_back(self, workspace: str, tokens: int, giver: str) -> int:
        """Accept unused tokens that another router returns.

        :param workspace: workspace of the budget.
        :param tokens: number of tokens returned.
        :param giver: its instance.
        :returns: number of tokens accepted; 0 if this router stops too.
        """
        if self._board.stopping or tokens < 0:
            return 0
        account = self._budgets.get_account(workspace)
        account.allowance.borrowed += tokens
        record_loan(account, giver, -tokens)
        return tokens

    async def _answer(self, request: LoanRequest) -> LoanAnswer:
        own = self._board.incarnation
        totals = self._budgets.get_account(request.workspace).totals
        received = request.received if request.lender == own else 0
        unconfirmed = totals.count_unconfirmed(request.incarnation, received)
        given = await self._grant(request, unconfirmed)
        return LoanAnswer(
            lender=own,
            total=totals.add_lent(request.incarnation, given),
            store_away=self._search.is_store_away(),
        )

    async def _grant(self, request: LoanRequest, unconfirmed: int) -> int:
        """Take the tokens of a loan out of this router's.

        :param request: the request.
        :param unconfirmed: tokens of earlier loans that the answer brings.
        :returns: number of tokens.
        """
        account = self._budgets.get_account(request.workspace)
        # While routers start, the lender may know too few of them to take the
        # fleet for a large one, as the borrower does.
        if request.as_owner and account.ledger is None:
            # The budget limits what may be lent in advance.
            await self._refill(account, max(1, request.missing))
        wanted = max(0, _count_wanted(account, request) - unconfirmed)
        if request.as_owner:
            await self._refill(account, wanted)
        given = account.allowance.lend(wanted)
        record_loan(account, request.borrower, given)
        _log(
            'tokens_lent',
            workspace=request.workspace,
            borrower=request.borrower,
            tokens=given,
            wanted=wanted,
            unconfirmed=unconfirmed,
            as_owner=request.as_owner,
            room=account.allowance.count_available(),
        )
        return given

    async def _refill(self, account: Account, wanted: int) -> None:
        account.demand.record(wanted, read_clock())
        if account.allowance.count_available() < wanted:
            # Spare tokens of a router that owns no budget are not reviewed.
            spare = is_owner(self._board, account.workspace)
            await self._search.refill(account, wanted, spare=spare)


def _acts_as_owner(board: ServingBoard, workspace: str) -> bool:
    return is_large_fleet(board) and is_owner(board, workspace)


def _count_wanted(account: Account, request: LoanRequest) -> int:
    """Count the tokens that a request should bring."""
    demand = account.demand.compute_window_average(read_clock())
    return request.missing + compute_loan(account.ledger, request.spare, demand)
