"""Which router keeps the tokens of a workspace in a large fleet.

In a small fleet every router writes its own row of each budget. In a large
one, where a workspace meets each router seldom, that would be a call to the
store for most requests: there one router, its keeper, holds tokens for all
and lends them. Who it is is a hint; the store arbitrates.
"""

from collections.abc import Iterable
from typing import Final

from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.operations.rendezvous import choose_owner
from dykemast._internal.serving.state.board import (
    Peer,
    ServingBoard,
    list_live_peers,
)
from dykemast._internal.serving.state.fleet_size import is_large_fleet
from dykemast._internal.utils.clock import read_clock

#: Seconds after its start in which a router has not met the others yet.
PEER_DISCOVERY_S: Final = 1.0


def is_owner(board: ServingBoard, workspace: str) -> bool:
    """Tell whether this router writes its row of a budget by itself.

    :param board: the blackboard.
    :param workspace: whose budget it is.
    :returns: whether it does.
    """
    return not is_large_fleet(board) or find_owner(board, workspace) is None


def find_owner(board: ServingBoard, workspace: str) -> PeerCard | None:
    """Find the other router that keeps a budget.

    :param board: the blackboard.
    :param workspace: whose budget it is.
    :returns: its card; None when this router keeps it.
    """
    cards = {peer.card.instance: peer.card for peer in _list_reachable(board)}
    names = [board.settings.name, *cards]
    return cards.get(choose_owner(workspace, names) or '')


def _list_reachable(board: ServingBoard) -> Iterable[Peer]:
    # Routers that start at one moment hear of each other one by one, and each
    # would keep all budgets until then; the list is the same for all of them.
    young = read_clock() - board.started_at < PEER_DISCOVERY_S
    peers = board.peers.values() if young else list_live_peers(board)
    # Who is about to end keeps nothing for others any more.
    return (peer for peer in peers if not peer.card.leaving)
