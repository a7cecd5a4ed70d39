"""Whether the fleet is too large for all routers to contact all others."""

from typing import Final

from dykemast._internal.serving.state.board import ServingBoard

#: Peers from which on a fleet is large: beyond about 20, concurrent writes of
#: one budget mostly conflict, and gossip with all peers takes most of a small
#: instance's processor.
LARGE_FLEET_ROUTERS: Final = 20


def is_large_fleet(board: ServingBoard) -> bool:
    """Tell whether the fleet is large.

    :param board: the blackboard.
    :returns: whether it is.
    """
    return len(board.peers) >= LARGE_FLEET_ROUTERS
