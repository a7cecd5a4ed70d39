"""Lend leased tokens to each other, and call idle ones back."""

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

#: Transfers that are remembered, so that a repeat gives nothing twice.
MAX_TRANSFERS: Final = 10000
#: Times the wanted tokens that are asked for, to ask less often.
BORROW_FACTOR: Final = 4


class Lending:
    """Both sides of lending.

    :param board: the blackboard; only read.
    :param lease_registry: leases of this router.
    :param client: calls to other routers.
    """

    def __init__(
        self,
        board: Blackboard,
        lease_registry: LeaseRegistry,
        client: PeerClient,
    ) -> None:
        """Start with nothing lent."""
        self._board = board
        self._lease_registry = lease_registry
        self._client = client
        self._lent: OrderedDict[str, int] = OrderedDict()

    async def borrow(self, budget: str, tokens: int) -> int:
        """Ask peers for tokens of a budget.

        :param budget: its name.
        :param tokens: how many are needed.
        :returns: how many were got; the lenders count them as spent.
        """
        got = 0
        peers = list_peers(self._board.fleet, read_clock())
        for card in peers:
            arguments = (budget, tokens * BORROW_FACTOR - got, uuid.uuid4().hex)
            try:
                got += await self._client.call(card, 'lend', arguments)
            except PeerError as error:
                # What was lent and not received is stranded, never doubled.
                _log.info('lend: {}', error)
            if got >= tokens:
                break
        _log.info('lend: got {} tokens of {}.', got, budget)
        return got

    async def recall(self, budget: str) -> None:
        """Have peers renew their leases of a budget that runs out here.

        A renewal gives back what is above the holder's fair share, so the
        last tokens go where they are asked for.

        :param budget: its name.
        """
        peers = list_peers(self._board.fleet, read_clock())
        await asyncio.gather(
            *(self._client.call(card, 'recall', (budget,)) for card in peers),
            return_exceptions=True,
        )

    async def lend(self, budget: str, tokens: int, transfer: str) -> int:
        """Give tokens to a peer.

        :param budget: name of the budget.
        :param tokens: how many it wants.
        :param transfer: id of the transfer; a repeat gets the same answer.
        :returns: how many it gets.
        """
        known = self._lent.get(transfer)
        if known is not None:
            return known
        holder = self._lease_registry.holders.get(budget)
        given = holder.lend(tokens, read_clock()) if holder else 0
        self._lent[transfer] = given
        if len(self._lent) > MAX_TRANSFERS:
            self._lent.popitem(last=False)
        _log.info('lend: gave {} tokens of {}.', given, budget)
        return given
