"""Parts that connect a router with others."""

from typing import NamedTuple

from dykemast._internal.serving.board import ServingBoard
from dykemast._internal.serving.gossip import Gossip
from dykemast._internal.serving.loads import Loads
from dykemast._internal.serving.peer_news import NewsDesk


class PeerLinks(NamedTuple):
    """Parts that connect a router with others.

    :param desk: news of this router.
    :param gossip: calls to other routers.
    """

    desk: NewsDesk
    gossip: Gossip


def link_peers(board: ServingBoard, loads: Loads) -> PeerLinks:
    """Make the parts; nothing is connected yet.

    :param board: the blackboard.
    :param loads: requests at backend servers.
    :returns: the parts.
    """
    desk = NewsDesk(board, loads)
    return PeerLinks(desk, Gossip(board, desk))
