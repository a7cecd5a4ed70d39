"""Cold servers, by the fields and the history of their entries."""

from dykemast._internal.models.backend import Evacuations
from dykemast._internal.platform.store_types import Listing, StoreObject
from dykemast._internal.serving.knowledge import (
    cold_servers,
    evacuations,
    server_entries,
)
from dykemast._internal.serving.knowledge.updates import apply_listing
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_board
from tests.lib.users_objects import make_server

HALL = 'south'
NAME = 'engine-0'


def take_entry(board: ServingBoard, revision: int, **fields: object) -> None:
    """Apply a list with one entry that was written at a revision."""
    _, _, spec = make_server(NAME, 1, HALL)
    stored = StoreObject(NAME, revision, {**spec, **fields})
    updater = server_entries.make_updater(board)
    apply_listing(updater, Listing([stored], revision))


def is_cold(board: ServingBoard) -> bool:
    return cold_servers.is_cold(board, NAME, read_clock())


def test_servers_of_a_hall_are_cold_after_its_evacuation() -> None:
    board = make_board()
    take_entry(board, 1)
    emptied = Evacuations(2, frozenset((HALL,)))
    evacuations.apply_evacuations(board, emptied, 'store')
    evacuations.apply_evacuations(board, Evacuations(3), 'store')
    assert is_cold(board)
    # The same entry changes nothing when it is read again; a newer one does.
    take_entry(board, 1)
    assert is_cold(board)
    take_entry(board, 5)
    assert not is_cold(board)


def test_a_server_is_cold_when_its_expired_entry_returns() -> None:
    board = make_board()
    take_entry(board, 1)
    board.expired_until[NAME] = read_clock() + 1
    take_entry(board, 2)
    assert is_cold(board)


def test_an_entry_tells_for_how_long_its_server_is_cold() -> None:
    board = make_board()
    take_entry(board, 1, coldLeftMs=3000)
    until = board.cold_until[NAME]
    take_entry(board, 1, coldLeftMs=3000)
    assert board.cold_until[NAME] == until
    take_entry(board, 2)
    assert not is_cold(board)


def test_an_invalid_entry_names_no_server() -> None:
    board = make_board()
    for number, nonsense in enumerate(('soon', -1, None, [3])):
        take_entry(board, number + 1, coldLeftMs=nonsense)
        assert NAME not in board.servers, nonsense
