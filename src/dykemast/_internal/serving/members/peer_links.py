"""Parts that connect a router with others."""

from typing import NamedTuple

from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.members.gossip import Gossip
from dykemast._internal.serving.state.loads import Loads
from dykemast._internal.serving.members.peer_news import PeerNews


class PeerLinks(NamedTuple):
    """Parts that connect a router with others.

    :param peer_news: news of this router.
    :param gossip: calls to other routers.
    """

    peer_news: PeerNews
    gossip: Gossip


def link_peers(board: ServingBoard, loads: Loads) -> PeerLinks:
    """Make the parts; nothing is connected yet.

    :param board: the blackboard.
    :param loads: requests at backend servers.
    :returns: the parts.
    """
    peer_news = PeerNews(board, loads)
    return PeerLinks(peer_news, Gossip(board, peer_news))
