"""The configuration in force on the users' platform never goes back."""

from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.knowledge.configuration import (
    take_configuration,
    take_from_peer,
)
from dykemast._internal.utils.packing import pack
from tests.lib.serving_boards import make_board
from tests.lib.users_objects import make_configuration


def make_stored(version: int) -> StoreObject:
    spec = make_configuration(version=version)
    return StoreObject('main', 10 * version, spec)


def test_an_older_configuration_changes_nothing() -> None:
    board = make_board()
    take_configuration(board, make_stored(5), 'store')
    take_configuration(board, make_stored(4), 'store')
    take_from_peer(board, pack(make_stored(3)), 'node-1')
    assert board.count_version() == 5
    take_from_peer(board, pack(make_stored(7)), 'node-1')
    assert board.count_version() == 7


def test_what_makes_no_sense_leaves_the_configuration_in_force() -> None:
    board = make_board()
    take_configuration(board, make_stored(5), 'store')
    take_from_peer(board, b'no configuration', 'node-1')
    take_from_peer(board, pack(StoreObject('main', 9, {})), 'node-1')
    assert board.count_version() == 5


def test_a_peer_passes_on_what_it_has_in_force() -> None:
    first, second = make_board('node-0'), make_board('node-1')
    take_configuration(first, make_stored(5), 'store')
    take_from_peer(second, first.table_raw, 'node-0')
    assert second.count_version() == 5
