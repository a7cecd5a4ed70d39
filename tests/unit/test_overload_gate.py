"""A router without processor time refuses at once, and says so to others."""

from dykemast._internal.models.gossip import RouterLoad
from dykemast._internal.operations.event_loop_monitor import WATCH_PAUSE
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.admission import checks, lookups
from dykemast._internal.serving.knowledge.configuration import (
    apply_configuration,
)
from dykemast._internal.serving.members.load_measurement import (
    measure_router_load,
    should_close_connections,
)
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_boards
from tests.lib.users_objects import make_configuration

#: Seconds by which the loop is late at each note.
LATE = 0.5
FREE = RouterLoad(10, 1)
BUSY = RouterLoad(10, 20)


def make_board(router_load: RouterLoad, late: float) -> ServingBoard:
    """Make the blackboard of a router with one peer, and a late loop."""
    board, _ = make_boards(2)
    for peer in board.peers.values():
        peer.router_load = router_load
    now = read_clock()
    for kind in ('config', 'servers'):
        board.last_read_at[kind] = now
    for past in range(10, -1, -1):
        board.watch.note(now - past * (WATCH_PAUSE + late))
    return board


def refuse(board: ServingBoard) -> RefusedError | None:
    try:
        checks.check_preconditions(board)
    except RefusedError as error:
        return error
    return None


def test_a_router_in_time_takes_requests() -> None:
    board = make_board(FREE, 0)
    assert refuse(board) is None
    assert not should_close_connections(board)


def test_a_router_without_time_sends_callers_elsewhere_at_once() -> None:
    board = make_board(FREE, LATE)
    error = refuse(board)
    assert error
    assert error.code == RefusalCode.overloaded
    assert error.code.value.status == 503
    assert error.retry_after == checks.ELSEWHERE_RETRY
    assert should_close_connections(board)
    assert measure_router_load(board).exceeds_capacity()


def test_no_request_is_looked_at_without_time_for_it() -> None:
    board = make_board(FREE, LATE)
    apply_configuration(
        board, StoreObject('main', 9, make_configuration()), 'store'
    )
    try:
        lookups.find_table(board)
    except RefusedError as error:
        assert error.code == RefusalCode.overloaded
    else:
        raise AssertionError


def test_callers_wait_a_little_when_all_routers_get_too_much() -> None:
    error = refuse(make_board(BUSY, LATE))
    assert error
    assert error.retry_after == checks.CROWDED_RETRY
