"""Owner of a budget in the first second after all routers were killed.

Then no router has live peers. Guards against each router acting as the owner of
each budget, and keeping spare tokens that it may never need.
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
    """Make routers of an age that know the list but have no live peers."""
    boards = make_boards(ROUTERS)
    for board in boards:
        board.started_at -= age
        for peer in board.peers.values():
            peer.last_heard_at = 0
    return boards


def list_owners(boards: list[ServingBoard]) -> set[str]:
    """List the owners that the routers choose, themselves included."""
    found = [(board, find_owner(board, WORKSPACE)) for board in boards]
    return {
        owner.instance if owner else board.settings.name
        for board, owner in found
    }


def test_routers_that_have_just_started_agree_on_an_owner() -> None:
    assert len(list_owners(start_all(age=0))) == 1


def test_a_router_without_live_peers_owns_all_budgets_later() -> None:
    # A call to an unreachable owner would use up the time of each search.
    assert len(list_owners(start_all(age=PEER_DISCOVERY_S + 0.1))) == ROUTERS
