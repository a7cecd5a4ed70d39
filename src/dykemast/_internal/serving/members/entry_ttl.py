"""For how long callers may keep an entry answer."""

from typing import Final

from dykemast._internal.serving.state.board import ServingBoard

#: Seconds for which callers may keep an entry answer: long enough that they
#: ask seldom, short enough that a stopped router is left in time.
ENTRY_TTL: Final = 1.5


def compute_entry_ttl(board: ServingBoard) -> float:
    """Tell for how long callers may keep an entry answer.

    :param board: the blackboard.
    :returns: seconds.
    """
    return min(ENTRY_TTL, board.settings.bounds.max_entry_ttl)
