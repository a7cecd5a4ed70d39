"""Parts of one router that hold and lend tokens, without a process."""

import asyncio

from dykemast._internal.operations.allowance_terms import Identity, Terms
from dykemast._internal.serving.tokens import (
    budget_owners,
    budgets,
    ledger_writer,
    token_search,
    token_source,
    upkeep,
)
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import ServingBoard
from tests.lib.slow_links import LINK_S, RouterLink, SlowLinks
from tests.lib.reached_store import ReachedStore

#: Routers of the fleet.
ROUTERS = 30


async def keep_heard(board: ServingBoard) -> None:
    """Have a router hear all peers that it does not hold for silent."""
    board.peers_read.set()
    while True:
        heard = [one for one in board.peers.values() if one.last_heard_at]
        for peer in heard:
            peer.last_heard_at = read_clock()
        await asyncio.sleep(50 * LINK_S)


def make_upkeep(
    board: ServingBoard, store: ReachedStore, links: SlowLinks, prepaid: int
) -> upkeep.Upkeep:
    """Make the parts of one router that hold and lend tokens."""
    board.started_at -= budget_owners.PEER_DISCOVERY_S
    name = board.settings.name
    writer = ledger_writer.LedgerWriter(board, store)
    writer.read_terms = lambda _: Terms(1, prepaid, ROUTERS)
    source = token_source.TokenSource(board, writer, RouterLink(links, name))
    search = token_search.TokenSearch(source, writer)
    held = budgets.Budgets(Identity(name, board.incarnation), search)
    return upkeep.Upkeep(board, store, held, writer, search)
