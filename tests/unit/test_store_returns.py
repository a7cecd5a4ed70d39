"""Order of what routers know when the store returned from an older copy.

Revisions go back, and are given out again for other changes.
"""

import asyncio
from typing import Any

from dykemast._internal.exceptions import PlatformUnavailableError
from dykemast._internal.platform.servers import SERVER_KIND
from dykemast._internal.serving.knowledge import (
    server_entries,
    server_lists,
    watches,
)
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.packing import unpack
from tests.lib.serving_boards import make_board, make_boards
from tests.lib.store_returns import (
    LOST_CHANGES,
    change,
    make_session,
    put_server,
    read_servers,
    run_until_pause,
)
from tests.lib.store_session import open_store


def meet(receiver: ServingBoard, sender: ServingBoard) -> None:
    """Have a router fetch a peer's list if it counts as newer."""
    if server_lists.is_behind(receiver, sender.server_state):
        known = receiver.server_state[0]
        body = server_lists.encode_newer(sender, known)
        server_lists.apply_peer_copy(receiver, body, sender.settings.name)


def test_a_list_is_applied_though_revisions_went_back() -> None:
    session, board = make_session('a'), make_board()
    change(session)
    read_servers(session, board)
    session.store.restore()
    put_server(session, 'b')
    assert read_servers(session, board) == ['a', 'b']


def test_a_peer_with_the_list_before_the_return_does_not_win() -> None:
    session, (first, second) = make_session('a'), make_boards(2)
    change(session)
    read_servers(session, first)
    read_servers(session, second)
    session.store.restore()
    put_server(session, 'b')
    read_servers(session, first)
    meet(first, second)
    assert set(first.servers) == {'a', 'b'}
    meet(second, first)
    assert set(second.servers) == {'a', 'b'}


def test_a_watch_from_before_the_return_does_not_skip_changes() -> None:
    # Revisions passed that of the watch, so that the store answered it, without
    # the changes in between.
    session, board = make_session('a'), make_board()
    change(session)
    read_servers(session, board)
    session.store.restore()
    put_server(session, 'b')
    change(session, 2 * LOST_CHANGES)
    board.peers_read.set()
    client = open_store(session, board)
    updater = server_entries.make_updater(board)
    run_until_pause(watches.watch_kind(board, client, updater))
    assert set(board.servers) == {'a', 'b'}


def test_pages_of_two_eras_are_no_listing() -> None:
    session = make_session('a', 'b', 'c', 'd')
    client = open_store(session, make_board())
    session.after_page = session.store.restore
    try:
        asyncio.run(client.list_kind(SERVER_KIND))
    except PlatformUnavailableError as error:
        assert 'era' in str(error)
    else:
        raise AssertionError('the pages were taken as one listing')


#: Name, revision and content of each object, and the store's revision.
Sent = tuple[list[tuple[str, int, Any]], int]


def test_objects_are_sent_to_peers_in_three_fields() -> None:
    # Builds that know no era refuse any more.
    board = make_board()
    read_servers(make_session('a'), board)
    body = server_lists.encode_newer(board, 0)
    found = unpack(body, Sent)[0]
    assert [sent[0] for sent in found] == ['a']


def test_a_peer_without_eras_does_not_win() -> None:
    session, (board, older) = make_session('a', 'b'), make_boards(2)
    read_servers(session, board)
    session.store.era = 0
    change(session)
    session.store.remove(SERVER_KIND, 'b')
    read_servers(session, older)
    meet(board, older)
    assert set(board.servers) == {'a', 'b'}
