"""A server that said that it leaves does not come back with its entry.

Entries lapse while the store is away, and stand there again as they were.
"""

from types import MappingProxyType
from typing import Final

from dykemast._internal.models.backend import Backpressure
from dykemast._internal.models.forwarding import ResponseHead
from dykemast._internal.platform.store_types import Listing, StoreObject
from dykemast._internal.serving.knowledge.backends import list_usable
from dykemast._internal.serving.knowledge.backpressure import (
    record_backpressure,
)
from dykemast._internal.serving.knowledge.updates import apply_listing
from dykemast._internal.serving.knowledge.server_entries import make_updater
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_board

ENTRY: Final = MappingProxyType(
    {
        'service': 'lm',
        'address': '127.0.0.1:9',
        'zone': 'north',
        'slots': 4,
        'state': 'ready',
    }
)
LEAVING = ResponseHead(
    status=200,
    request_id='r-1',
    signed=True,
    not_executed=False,
    misdirected=False,
    headers=[],
    delimited=True,
    backpressure=Backpressure(leaving=True),
)


def read_entries(
    board: ServingBoard, revision: int, *sequences: int
) -> ServingBoard:
    """Read a list with one server, or with none."""
    found = [
        StoreObject('i-1', revision, {**ENTRY, 'sequence': sequence})
        for sequence in sequences
    ]
    board.last_read_at['servers'] = read_clock()
    apply_listing(make_updater(board), Listing(found, revision))
    return board


def count_usable(board: ServingBoard) -> int:
    return len(list_usable(board, 'lm'))


def test_an_entry_that_is_back_does_not_undo_a_servers_word() -> None:
    board = read_entries(make_board(), 1, 5)
    record_backpressure(board, board.servers['i-1'], LEAVING)
    read_entries(board, 2)
    read_entries(board, 3, 6)
    assert not count_usable(board)


def test_a_word_that_comes_while_the_entry_is_gone_is_kept() -> None:
    board = read_entries(make_board(), 1, 5)
    server = board.servers['i-1']
    read_entries(board, 2)
    record_backpressure(board, server, LEAVING)
    read_entries(board, 3, 6)
    assert not count_usable(board)


def test_a_start_after_one_that_left_is_used() -> None:
    board = read_entries(make_board(), 1, 5)
    record_backpressure(board, board.servers['i-1'], LEAVING)
    read_entries(board, 2)
    read_entries(board, 3, 1)
    assert count_usable(board) == 1
    # Its own entry may lapse as well.
    read_entries(board, 4)
    read_entries(board, 5, 9)
    assert count_usable(board) == 1


def test_a_word_of_an_earlier_start_is_not_taken_for_the_next() -> None:
    board = read_entries(make_board(), 1, 5)
    earlier = board.servers['i-1']
    read_entries(board, 2, 1)
    record_backpressure(board, earlier, LEAVING)
    assert count_usable(board) == 1


def test_another_server_at_the_address_does_not_speak_for_it() -> None:
    board = read_entries(make_board(), 1, 5)
    other = LEAVING._replace(misdirected=True)
    record_backpressure(board, board.servers['i-1'], other)
    assert count_usable(board) == 1
