"""Parts that connect a router with others."""

from typing import NamedTuple

from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.members.gossip import Gossip
from dykemast._internal.serving.state.loads import Loads
from dykemast._internal.serving.members.gossip_messages import GossipMessages


class PeerLinks(NamedTuple):
    """Parts that connect a router with others.

    :param messages: news of this router.
    :param gossip: calls to other routers.
    """

    messages: GossipMessages
    gossip: Gossip


def link_peers(board: ServingBoard, loads: Loads) -> PeerLinks:
    """Make the parts; nothing is connected yet.

    :param board: the blackboard.
    :param loads: requests at backend servers.
    :returns: the parts.
    """
    messages = GossipMessages(board, loads)
    return PeerLinks(messages, Gossip(board, messages))
