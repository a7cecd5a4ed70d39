"""Checks of backpressure, at the choice of a server and before sending."""

from typing import Final

from dykemast._internal.exceptions import BackpressureError
from dykemast._internal.models.backend import BackendServer, Backpressure
from dykemast._internal.models.forwarding import ResponseHead
from dykemast._internal.operations.shared_rate_limiter import SharedRateLimiter
from dykemast._internal.serving.knowledge.backends import add_server
from dykemast._internal.serving.knowledge.backpressure import (
    record_backpressure,
)
from dykemast._internal.serving.sending.send_checks import (
    check_send,
    compute_wait,
)
from dykemast._internal.serving.sending.upstream_request import UpstreamRequest
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_board, make_endpoint

SERVER: Final = BackendServer(
    name='i-1',
    server_id='i-1',
    service='shop',
    endpoint=make_endpoint(9),
    hall='north',
    slots=6,
    leaving=False,
)
UNAVAILABLE: Final = ResponseHead(
    status=503,
    request_id='r-1',
    signed=False,
    not_executed=True,
    misdirected=False,
    headers=[],
    delimited=True,
)
REST = 30.0
LIMIT = 0.1


def make_one() -> ServingBoard:
    """Make a board with one server and no other router."""
    board = make_board()
    board.peers_read.set()
    add_server(board, SERVER)
    return board


def respond(board: ServingBoard, **backpressure: float) -> None:
    asked = Backpressure(**backpressure)
    record_backpressure(board, SERVER, UNAVAILABLE._replace(backpressure=asked))


def get_wait(board: ServingBoard) -> float:
    limiter = SharedRateLimiter(board.settings.name, read_clock())
    return compute_wait(board, limiter, SERVER, 0)


def is_held_back(board: ServingBoard, made_at: float) -> bool:
    """Check whether a request that was chosen at a time is held back."""
    sending = UpstreamRequest(SERVER, None, b'', None, made_at + 1, made_at)
    try:
        check_send(board, sending)
    except BackpressureError as error:
        assert not error.sent
        return True
    return False


def test_a_server_without_backpressure_may_get_a_request() -> None:
    board = make_one()
    respond(board)
    assert not get_wait(board)
    assert not is_held_back(board, read_clock())


def test_a_backoff_is_not_shortened_by_the_next_one() -> None:
    board = make_one()
    respond(board, rest=REST)
    respond(board, rest=0.5)
    assert get_wait(board) > REST - 1
    respond(board, rest=2 * REST)
    assert get_wait(board) > 2 * REST - 1


def test_a_response_without_backoff_ends_none() -> None:
    board = make_one()
    respond(board, rest=REST)
    respond(board)
    assert get_wait(board) > REST - 1


def test_the_longer_of_backoff_and_limit_applies() -> None:
    board = make_one()
    respond(board, limit=LIMIT, rest=0.5)
    assert get_wait(board) > 1 / LIMIT - 1
    respond(board, rest=REST)
    assert get_wait(board) > REST - 1


def test_a_request_is_held_back_by_backpressure_after_the_choice() -> None:
    for backpressure in ({'rest': REST}, {'limit': LIMIT}, {'leaving': True}):
        board = make_one()
        made_at = read_clock()
        assert not is_held_back(board, made_at)
        respond(board, **backpressure)
        assert is_held_back(board, made_at), backpressure


def test_a_request_that_was_chosen_under_a_limit_is_sent() -> None:
    board = make_one()
    respond(board, limit=LIMIT)
    assert not is_held_back(board, read_clock())


def test_a_refusal_that_names_no_limit_ends_none() -> None:
    board = make_one()
    respond(board, limit=LIMIT)
    respond(board)
    assert get_wait(board)


def test_backoffs_that_are_over_are_dropped() -> None:
    board = make_one()
    respond(board, rest=REST)
    board.backpressure.expire((), read_clock())
    assert board.backpressure.backoff_until
    board.backpressure.expire((), read_clock() + 2 * REST)
    assert not board.backpressure.backoff_until
