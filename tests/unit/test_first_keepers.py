"""Who keeps a budget in the first second after all routers were killed.

Then nobody has heard of anybody: each of 87 routers took itself for the keeper
of each budget, and within half a second 15 of them had written rows of one,
each with tokens spare that it may never need.
"""

from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.tokens.budget_owners import (
    PEER_DISCOVERY_S,
    find_owner,
)
from tests.lib.serving_boards import make_boards

ROUTERS = 30
WORKSPACE = 'joinville'


def start_all(age: float) -> list[ServingBoard]:
    """Make routers that know the list, have heard of nobody, and are so old."""
    boards = make_boards(ROUTERS)
    for board in boards:
        board.started_at -= age
        for peer in board.peers.values():
            peer.last_heard_at = 0
    return boards


def list_owners(boards: list[ServingBoard]) -> set[str]:
    """List whom the routers would ask, themselves included."""
    found = [(board, find_owner(board, WORKSPACE)) for board in boards]
    return {
        keeper.instance if keeper else board.settings.name
        for board, keeper in found
    }


def test_all_that_have_just_started_agree_on_a_keeper() -> None:
    assert len(list_owners(start_all(age=0))) == 1


def test_who_hears_of_nobody_later_on_is_cut_off_and_keeps_all() -> None:
    # To ask a keeper that cannot be reached would cost each search its time.
    assert len(list_owners(start_all(age=PEER_DISCOVERY_S + 0.1))) == ROUTERS
