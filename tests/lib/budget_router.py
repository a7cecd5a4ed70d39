"""One router of a large fleet, without a process."""

import asyncio
from typing import Any

from dykemast._internal.operations.allowance_terms import Identity
from dykemast._internal.serving.members.own_entry import make_card
from dykemast._internal.serving.state.board import Peer, ServingBoard
from dykemast._internal.serving.tokens import (
    budget_owners,
    budget_upkeep,
    budgets,
    ledger_writer,
    lending,
    token_search,
    token_source,
    upkeep,
)
from dykemast._internal.utils.clock import read_clock
from tests.lib.budget_network import Network, RouterLinks
from tests.lib.serving_boards import make_board

#: Interval in which running routers hear of each other.
HEARD_S = 0.2


class BudgetRouter:
    """A router that may be killed and started again.

    :param network: what connects it.
    :param name: its instance.
    """

    def __init__(self, network: Network, name: str) -> None:
        self.name = name
        self.upkeep: upkeep.Upkeep
        self._network = network
        self._starts = 0
        self._tasks: list[asyncio.Task[Any]] = []

    def start(self) -> None:
        """Start a new process."""
        self._starts += 1
        board = make_board(self.name)
        board.incarnation = f'{self.name}/{self._starts}'
        board.started_at -= budget_owners.PEER_DISCOVERY_S
        board.peers_read.set()
        self.upkeep = self._make_upkeep(board)
        self._network.running[self.name] = lending.Lender(
            board, self.upkeep.budgets, self.upkeep.search
        )
        works = (budget_upkeep.review_rows(self.upkeep), self._keep_heard())
        self._tasks = [asyncio.create_task(work) for work in works]

    def kill(self) -> None:
        """End the process, which answers nothing any more."""
        self._network.running.pop(self.name, None)
        for task in self._tasks:
            task.cancel()

    def _make_upkeep(self, board: ServingBoard) -> upkeep.Upkeep:
        links = RouterLinks(self._network, self.name)
        writer = ledger_writer.LedgerWriter(board, links)
        writer.read_terms = self._network.payments.read_terms
        source = token_source.TokenSource(board, writer, links)
        search = token_search.TokenSearch(source, writer)
        held = budgets.Budgets(Identity(self.name, board.incarnation), search)
        return upkeep.Upkeep(board, links, held, writer, search)

    async def _keep_heard(self) -> None:
        """Hear of all running routers, as gossip tells."""
        while True:
            for name, lender in self._network.running.items():
                if name != self.name and self._network.is_linked(
                    self.name, name
                ):
                    _hear(self.upkeep.board, name, lender.board)
            await asyncio.sleep(HEARD_S)


def _hear(board: ServingBoard, name: str, other: ServingBoard) -> None:
    known = board.peers.get(name)
    if known is None or known.card.incarnation != other.incarnation:
        board.peers[name] = Peer(make_card(other))
    board.peers[name].last_heard_at = read_clock()
    board.peers[name].budget_write_failed = other.budget_write_failed
