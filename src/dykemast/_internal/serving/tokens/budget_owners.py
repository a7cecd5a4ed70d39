"""Owner of a workspace's budget in a large fleet.

In a small fleet every router writes its own row of each budget. In a large
one each router gets few requests of a workspace, so this would cost a call to
the store for most requests. There one router, the owner, obtains tokens for
all and lends them. Several routers may act as owner at once without harm,
since the store resolves their conflicts.
"""

from collections.abc import Iterable
from typing import Final

from dykemast._internal.models.fleet import PeerCard
from dykemast._internal.operations.rendezvous import choose_owner
from dykemast._internal.serving.state.board import (
    Peer,
    ServingBoard,
    list_live_peers,
    is_large_fleet,
)
from dykemast._internal.serving.tokens.accounts import Account
from dykemast._internal.utils.clock import read_clock

#: Time after the start in which a router may not know its live peers yet.
PEER_DISCOVERY_S: Final = 1.0


def is_owner(board: ServingBoard, workspace: str) -> bool:
    """Check whether this router writes its own row of a budget.

    :param board: the blackboard.
    :param workspace: workspace of the budget.
    :returns: whether it does.
    """
    return not is_large_fleet(board) or find_owner(board, workspace) is None


def find_owner(board: ServingBoard, workspace: str) -> PeerCard | None:
    """Find the other router that owns a budget.

    :param board: the blackboard.
    :param workspace: workspace of the budget.
    :returns: its card; None if this router is the owner.
    """
    cards = {peer.card.instance: peer.card for peer in _list_reachable(board)}
    names = [board.settings.name, *cards]
    return cards.get(choose_owner(workspace, names) or '')


def is_owner_cut_off(account: Account) -> bool:
    """Tell whether the owner lacks the store, as far as this router knows.

    :param account: the budget.
    :returns: whether the owner said so since this router read the budget.
    """
    return account.owner_cut_off_at > account.seen_at


def _list_reachable(board: ServingBoard) -> Iterable[Peer]:
    # Routers that start together receive gossip from each other one by one.
    # Until then each would own all budgets, so they use the list of routers,
    # which is the same for all of them.
    is_new = read_clock() - board.started_at < PEER_DISCOVERY_S
    peers = board.peers.values() if is_new else list_live_peers(board)
    # A router that is about to stop owns no budget.
    return (peer for peer in peers if not peer.card.leaving)
