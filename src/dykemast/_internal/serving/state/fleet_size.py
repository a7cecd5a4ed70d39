"""Whether a fleet is too large for every router to deal with every other."""

from typing import Final

from dykemast._internal.serving.state.board import ServingBoard

#: Routers from which on a fleet is large: beyond some twenty, writes of one
#: budget by all of them would mostly meet each other, and exchanges of news
#: with all would take most of a small instance's processor.
LARGE_FLEET_ROUTERS: Final = 20


def is_large_fleet(board: ServingBoard) -> bool:
    """Tell whether this is a large fleet.

    :param board: the blackboard.
    :returns: whether it is.
    """
    return len(board.peers) >= LARGE_FLEET_ROUTERS
