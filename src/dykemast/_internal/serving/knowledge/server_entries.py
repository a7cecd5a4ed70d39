"""Follow the entries of backend servers."""

import zlib
from collections.abc import Iterable
from typing import Final

from dykemast._internal.models.news import ListState
from dykemast._internal.operations.server_incarnations import name_incarnation
from dykemast._internal.platform.servers import SERVER_KIND, decode_server
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.knowledge.backends import (
    drop_server,
    forget_server,
    take_server,
)
from dykemast._internal.serving.knowledge.cold_servers import (
    note_back,
    note_entry,
)
from dykemast._internal.serving.knowledge.follower import Follower
from dykemast._internal.serving.state.board import ServingBoard

#: Seconds in which changes of servers gather; a leaving one may get requests
#: for 2 s.
WATCH_PAUSE: Final = 0.3


def make_follower(board: ServingBoard) -> Follower:
    """Make what follows the entries of backend servers.

    :param board: the blackboard.
    :returns: the follower.
    """

    def take_object(stored: StoreObject) -> None:
        server = decode_server(stored)
        before = board.server_starts.get(
            stored.name
        ) or board.backpressure.delisted.find(stored.name)
        name = name_incarnation(server, stored.revision, before)
        named = server._replace(name=name)
        is_back = name in board.lapsed
        take_server(board, named)
        if _is_new(board, stored):
            note_entry(board, named)
        if is_back:
            note_back(board, name)
        board.server_objects[stored.name] = stored

    def drop_object(server_id: str) -> None:
        if board.server_objects.pop(server_id, None):
            drop_server(board, board.server_starts[server_id].name)

    def drop_unusable(server_id: str) -> None:
        if board.server_objects.pop(server_id, None):
            # Something else stands where its entry was, so it did not lapse.
            forget_server(board, board.server_starts[server_id].name)

    def take_names(names: set[str]) -> None:
        for server_id in set(board.server_objects) - names:
            drop_object(server_id)

    def note_revision(revision: int) -> None:
        board.revisions[SERVER_KIND] = revision
        entries = board.server_objects.values()
        board.server_state = ListState(revision, _digest(entries))

    return Follower(
        SERVER_KIND,
        take_object,
        take_names,
        drop_object,
        drop_unusable,
        note_revision,
        WATCH_PAUSE,
        told={},
    )


def _is_new(board: ServingBoard, stored: StoreObject) -> bool:
    # An entry that is read again tells how cold its server was when it was
    # written, not now.
    known = board.server_objects.get(stored.name)
    return known is None or known.revision != stored.revision


def _digest(entries: Iterable[StoreObject]) -> int:
    """Digest names and revisions, by which two routers see that they agree."""
    texts = sorted(f'{one.name}:{one.revision}' for one in entries)
    return zlib.crc32('\n'.join(texts).encode())
