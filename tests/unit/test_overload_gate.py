"""An overloaded router refuses requests at once, and reports its load."""

from dykemast._internal.models.gossip import RouterLoad
from dykemast._internal.operations.admission_limit import REFUSED_S
from dykemast._internal.operations.event_loop_monitor import RECORD_INTERVAL_S
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

#: Seconds by which the event loop is late at each record.
LATE = 0.5
#: Requests that end at their deadlines.
REQUESTS = 20
FREE = RouterLoad(10, 1)
BUSY = RouterLoad(10, 20)


def make_board(router_load: RouterLoad, late: float) -> ServingBoard:
    """Make the state of a router with one peer and a late event loop."""
    board, _ = make_boards(2)
    for peer in board.peers.values():
        peer.router_load = router_load
    now = read_clock()
    for kind in ('config', 'servers'):
        board.last_read_at[kind] = now
    for past in range(10, -1, -1):
        board.watch.note(now - past * (RECORD_INTERVAL_S + late))
    return board


def refuse(board: ServingBoard) -> RefusedError | None:
    try:
        checks.check_preconditions(board)
    except RefusedError as error:
        return error
    return None


def test_a_router_without_lag_admits_requests() -> None:
    board = make_board(FREE, 0)
    assert refuse(board) is None
    assert not should_close_connections(board)


def test_an_overloaded_router_refers_callers_to_others_at_once() -> None:
    board = make_board(FREE, LATE)
    error = refuse(board)
    assert error
    assert error.code == RefusalCode.overloaded
    assert error.code.value.status == 503
    assert error.retry_after == checks.OTHER_ROUTER_RETRY_S
    assert should_close_connections(board)
    assert measure_router_load(board).exceeds_capacity()


def test_an_overloaded_router_does_not_process_requests() -> None:
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


def test_callers_are_referred_to_others_while_the_link_is_full() -> None:
    board = make_board(FREE, 0)
    now = read_clock()
    board.admission_limit.record_exchange(LATE, now)
    for _ in range(REQUESTS):
        board.admission_limit.record_end(now, now)
    assert not board.admission_limit.admits(REQUESTS, now)
    assert measure_router_load(board).exceeds_capacity()
    assert should_close_connections(board)


def test_a_router_that_refuses_nobody_any_more_is_named_again() -> None:
    board = make_board(FREE, 0)
    now = read_clock()
    board.admission_limit.record_exchange(LATE, now - REFUSED_S)
    for _ in range(REQUESTS):
        board.admission_limit.record_end(now - REFUSED_S, now - REFUSED_S)
    assert not board.admission_limit.admits(REQUESTS, now - REFUSED_S)
    assert not measure_router_load(board).exceeds_capacity()


def test_callers_wait_a_little_when_all_routers_are_overloaded() -> None:
    error = refuse(make_board(BUSY, LATE))
    assert error
    assert error.retry_after == checks.ALL_OVERLOADED_RETRY_S
