"""Evacuated halls and allowed regions, without a running router."""

from dykemast._internal.models.backend import BackendServer, Evacuations
from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.platform.servers import EVACUATION_KIND
from dykemast._internal.platform.store_types import (
    Changes,
    Event,
    Listing,
    StoreObject,
)
from dykemast._internal.serving.admission.checks import check_evacuations
from dykemast._internal.serving.knowledge import (
    backends,
    evacuations,
)
from dykemast._internal.serving.knowledge.updates import (
    apply_changes,
    apply_listing,
)
from dykemast._internal.serving.process.entry import is_ready
from dykemast._internal.serving.requests.refusals import RefusedError
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_board

EVACUATE_S = 5.0


def make_board_with_bound() -> ServingBoard:
    board = make_board()
    settings = board.settings
    bounds = settings.bounds._replace(evacuate_time=EVACUATE_S)
    regions = {'north': 'home', 'south': 'abroad'}
    board.settings = settings._replace(bounds=bounds, regions=regions)
    return board


def make_backend(name: str, hall: str) -> BackendServer:
    return BackendServer(name, name, 'llm', Endpoint('h', 1), hall, 8, False)


def list_names(
    board: ServingBoard, *allowed_regions: frozenset[str]
) -> list[str]:
    return [
        one.name for one in backends.list_allowed(board, 'llm', allowed_regions)
    ]


def is_refused(board: ServingBoard) -> bool:
    try:
        check_evacuations(board)
    except RefusedError:
        return True
    return False


def test_requests_are_refused_without_a_list_of_evacuated_halls() -> None:
    board = make_board_with_bound()
    board.store_unavailable_since = read_clock()
    # Also while the store is unavailable, as there is no earlier list to use.
    assert is_refused(board)
    assert not is_ready(board)
    evacuations.apply_evacuations(board, Evacuations(7), 'store')
    assert not is_refused(board)
    board.store_unavailable_since = 0
    board.last_read_at[EVACUATION_KIND] = read_clock() - EVACUATE_S
    assert is_refused(board)
    board.last_read_at[EVACUATION_KIND] = read_clock() - EVACUATE_S / 2
    assert not is_refused(board)


def test_an_older_list_of_halls_changes_nothing() -> None:
    board = make_board_with_bound()
    for server in (make_backend('a', 'north'), make_backend('b', 'south')):
        backends.add_server(board, server)
    evacuated = Evacuations(9, frozenset(('south',)))
    evacuations.apply_evacuations(board, evacuated, 'store')
    evacuations.apply_evacuations(board, Evacuations(8), 'node-1')
    assert list_names(board) == ['a']
    evacuations.apply_evacuations(board, Evacuations(10), 'node-1')
    assert list_names(board) == ['a', 'b']


def test_an_evacuation_that_is_requested_again_within_one_watch() -> None:
    board = make_board_with_bound()
    updater = evacuations.make_updater(board)
    evacuation = StoreObject('south', 1, {})
    apply_listing(updater, Listing([evacuation], 1))
    events = [Event(evacuation, removed=True), Event(evacuation, removed=False)]
    apply_changes(updater, Changes(events, 3))
    assert board.evacuations.halls == {'south'}
    apply_changes(updater, Changes([Event(evacuation, removed=True)], 4))
    assert not board.evacuations.halls


def test_allowed_regions_apply_together() -> None:
    board = make_board_with_bound()
    for server in (make_backend('a', 'north'), make_backend('b', 'south')):
        backends.add_server(board, server)
    home, abroad = frozenset(('home',)), frozenset(('abroad',))
    assert list_names(board, home) == ['a']
    assert not list_names(board, home, abroad)
    board.settings = board.settings._replace(regions={})
    assert not list_names(board, home)


def test_names_that_are_no_halls_are_not_sent_to_peers() -> None:
    # Each name is part of every gossip message, so a thousand unknown names
    # would enlarge all of them permanently.
    board = make_board_with_bound()
    updater = evacuations.make_updater(board)
    names = [f'{number}'.rjust(100, 'x') for number in range(1000)]
    found = [StoreObject(name, 1, {}) for name in (*names, 'south')]
    apply_listing(updater, Listing(found, 1))
    assert board.evacuations.halls == {'south'}
