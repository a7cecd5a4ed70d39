"""Readiness of a router that has just started."""

from types import SimpleNamespace

from dykemast._internal.platform.configuration import CONFIGURATION_KIND
from dykemast._internal.platform.servers import SERVER_KIND
from dykemast._internal.serving.admission.checks import check_preconditions
from dykemast._internal.serving.process.entry import is_ready
from dykemast._internal.serving.requests.refusals import RefusedError
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_board


def admits(board: ServingBoard) -> bool:
    try:
        check_preconditions(board)
    except RefusedError:
        return False
    return True


def test_a_router_that_has_not_read_the_servers_is_not_ready() -> None:
    board = make_board()
    board.table = SimpleNamespace(version=1)
    board.last_read_at[CONFIGURATION_KIND] = read_clock()
    assert not admits(board)
    assert not is_ready(board)
    board.last_read_at[SERVER_KIND] = read_clock()
    assert admits(board)
    assert is_ready(board)
