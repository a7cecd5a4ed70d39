"""How long callers may cache an entry answer."""

from typing import Final

from dykemast._internal.serving.state.board import ServingBoard

#: Long enough that callers ask rarely, short enough that they leave a router
#: that stops in time.
ENTRY_TTL_S: Final = 1.5


def compute_entry_ttl(board: ServingBoard) -> float:
    """Compute how long callers may cache an entry answer.

    :param board: the blackboard.
    :returns: seconds.
    """
    return min(ENTRY_TTL_S, board.settings.bounds.max_entry_ttl)
