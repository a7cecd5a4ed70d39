"""State of a server is kept by incarnation, not by id.

If it were kept by id, a server that restarts after ``draining``, with ``ready``
and a later ``born``, would count as leaving and stay unused for as long as it
is listed.
"""

from types import MappingProxyType
from typing import Any, Final

from dykemast._internal.models.gossip import AbsentServer, ServerLoad
from dykemast._internal.platform.store_types import Listing, StoreObject
from dykemast._internal.serving.knowledge import server_lists
from dykemast._internal.serving.knowledge.backends import (
    list_usable,
    mark_leaving,
)
from dykemast._internal.serving.knowledge.updates import apply_listing
from dykemast._internal.serving.knowledge.server_entries import make_updater
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.state.loads import make_loads, compute_load
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_board, make_boards

ENTRY: Final = MappingProxyType(
    {
        'service': 'lm',
        'address': '127.0.0.1:9',
        'zone': 'north',
        'slots': 4,
        'state': 'ready',
    }
)


def read_entry(board: ServingBoard, revision: int, **fields: Any) -> None:
    """Apply a list with one server, written at a revision."""
    stored = StoreObject('i-1', revision, {**ENTRY, **fields})
    apply_listing(make_updater(board), Listing([stored], revision))


def uses(board: ServingBoard, *names: str) -> bool:
    """Check whether exactly these incarnations are usable."""
    return [one.name for one in list_usable(board, 'lm')] == list(names)


def test_a_server_born_later_is_used_though_the_earlier_one_was_leaving() -> (
    None
):
    board = make_board()
    read_entry(board, 1, born=1000, sequence=7, state='draining')
    assert uses(board)
    read_entry(board, 2, born=2000, sequence=1)
    assert uses(board, 'i-1/2000')
    assert not board.leaving
    assert set(board.servers) == {'i-1/2000'}


def test_a_later_incarnation_may_have_an_earlier_born() -> None:
    # The order of the store decides, not the clock of the server.
    board = make_board()
    read_entry(board, 1, born=9000, sequence=7, state='draining')
    read_entry(board, 2, born=2000, sequence=1)
    assert uses(board, 'i-1/2000')


def test_two_restarts_within_a_second_are_three_incarnations() -> None:
    board = make_board()
    for revision, born in enumerate((1000, 1400, 1900), start=1):
        read_entry(board, revision, born=born, sequence=1)
        assert uses(board, f'i-1/{born}')
    assert len(board.servers) == 1


def test_state_is_kept_within_one_incarnation() -> None:
    board = make_board()
    read_entry(board, 1, born=1000, sequence=1)
    read_entry(board, 2, born=1000, sequence=2, state='draining')
    read_entry(board, 3, born=1000, sequence=3)
    assert uses(board), 'a leaving incarnation stays unused'


def test_a_lower_sequence_shows_a_restart_without_born() -> None:
    board = make_board()
    read_entry(board, 1, sequence=5, state='draining')
    read_entry(board, 2, sequence=6, state='draining')
    assert uses(board)
    read_entry(board, 3, sequence=1)
    assert uses(board, 'i-1/r3')
    read_entry(board, 4, sequence=2)
    assert uses(board, 'i-1/r3')


def test_reports_about_an_earlier_incarnation_change_nothing() -> None:
    board = make_board()
    loads = make_loads()
    read_entry(board, 1, born=1000)
    now = read_clock()
    read_entry(board, 2, born=2000)
    mark_leaving(board, ['i-1/1000'], 'node-1')
    loads.absent.merge([AbsentServer('i-1/1000', 4)], now)
    loads.peers.merge('node-1', (ServerLoad('i-1/1000', 9, 5000),), now)
    assert uses(board, 'i-1/2000')
    assert not loads.absent.is_absent('i-1/2000', now)
    assert not compute_load(loads, 'i-1/2000', now).running


def test_routers_that_list_at_other_times_name_incarnations_alike() -> None:
    first, second = make_boards(2)
    read_entry(first, 1, born=1000, state='draining')
    read_entry(first, 5, born=2000)
    server_lists.apply_peer_copy(
        second, server_lists.encode_newer(first, 0), 'node-0'
    )
    assert uses(first, 'i-1/2000')
    assert uses(second, 'i-1/2000')


def test_an_expired_incarnation_is_not_kept_beside_the_next() -> None:
    board = make_board()
    read_entry(board, 1, born=1000)
    apply_listing(make_updater(board), Listing([], 2))
    assert set(board.expired_until) == {'i-1/1000'}
    read_entry(board, 3, born=2000)
    assert uses(board, 'i-1/2000')
    assert not board.expired_until
