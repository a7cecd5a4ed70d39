"""Lend leased tokens between routers, and recall unused ones."""

import asyncio
import uuid
from collections import OrderedDict
from typing import Final

import logbook

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.exceptions import PeerError
from dykemast._internal.network.peer_client import PeerClient
from dykemast._internal.operations.lease_registry import LeaseRegistry
from dykemast._internal.operations.peers import list_peers
from dykemast._internal.utils.clock import read_clock

_log = logbook.Logger('lend')

#: Transfers that are remembered, so that a repeated call lends nothing twice.
MAX_TRANSFERS: Final = 10000
#: Borrows a multiple of the wanted tokens, for fewer calls.
BORROW_FACTOR: Final = 4


class Lending:
    """Lender and borrower of tokens.

    :param board: shared state of the router; only read.
    :param lease_registry: leases of this router.
    :param client: calls to other routers.
    """

    def __init__(
        self,
        board: Blackboard,
        lease_registry: LeaseRegistry,
        client: PeerClient,
    ) -> None:
        """Make a lender with no transfers."""
        self._board = board
        self._lease_registry = lease_registry
        self._client = client
        self._lent: OrderedDict[str, int] = OrderedDict()

    async def borrow(self, budget: str, tokens: int) -> int:
        """Borrow tokens of a budget from peers.

        :param budget: its name.
        :param tokens: tokens needed.
        :returns: tokens received; the lenders count them as spent.
        """
        got = 0
        peers = list_peers(self._board.fleet, read_clock())
        for card in peers:
            arguments = (budget, tokens * BORROW_FACTOR - got, uuid.uuid4().hex)
            try:
                got += await self._client.call(card, 'lend', arguments)
            except PeerError as error:
                # Tokens lent but not received are stranded, never doubled.
                _log.info('lend: borrowing from a peer failed: {}', error)
            if got >= tokens:
                break
        _log.info('lend: borrowed {} tokens of {}.', got, budget)
        return got

    async def recall(self, budget: str) -> None:
        """Have peers renew their leases of a budget that runs out here.

        A renewal returns what exceeds the holder's fair share, so the last
        tokens go to the routers that need them.

        :param budget: its name.
        """
        peers = list_peers(self._board.fleet, read_clock())
        await asyncio.gather(
            *(self._client.call(card, 'recall', (budget,)) for card in peers),
            return_exceptions=True,
        )

    async def lend(self, budget: str, tokens: int, transfer: str) -> int:
        """Lend tokens to a peer.

        :param budget: name of the budget.
        :param tokens: tokens wanted.
        :param transfer: id of the transfer; a repeated call gets the same
            result.
        :returns: tokens lent.
        """
        known = self._lent.get(transfer)
        if known is not None:
            return known
        holder = self._lease_registry.holders.get(budget)
        given = holder.lend(tokens, read_clock()) if holder else 0
        self._lent[transfer] = given
        if len(self._lent) > MAX_TRANSFERS:
            self._lent.popitem(last=False)
        _log.info('lend: lent {} tokens of {}.', given, budget)
        return given
