"""Connections of a router with others."""

from typing import NamedTuple

from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.members.gossip import Gossip
from dykemast._internal.serving.state.loads import Loads
from dykemast._internal.serving.members.gossip_messages import GossipMessages


class PeerLinks(NamedTuple):
    """Objects that connect a router with others.

    :param messages: builds and applies gossip messages.
    :param gossip: calls other routers.
    """

    messages: GossipMessages
    gossip: Gossip


def link_peers(board: ServingBoard, loads: Loads) -> PeerLinks:
    """Make these objects; no connection is opened yet.

    :param board: the blackboard.
    :param loads: requests at backend servers.
    :returns: the objects.
    """
    messages = GossipMessages(board, loads)
    return PeerLinks(messages, Gossip(board, messages))
