"""Apply the entries of backend servers."""

import zlib
from collections.abc import Iterable
from typing import Final

from dykemast._internal.models.gossip import ListState
from dykemast._internal.operations.server_incarnations import name_incarnation
from dykemast._internal.platform.servers import SERVER_KIND, decode_server
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.serving.knowledge.backends import (
    handle_removed_entry,
    remove_server,
    add_server,
)
from dykemast._internal.serving.knowledge.cold_servers import (
    hold_copied,
    mark_returned,
    record_cold_time,
)
from dykemast._internal.serving.knowledge.updates import Updater
from dykemast._internal.serving.state.board import ServingBoard

#: Batches changes into one call; a leaving server may get requests for 2 s.
WATCH_PAUSE_S: Final = 0.3


def make_updater(board: ServingBoard) -> Updater:
    """Make the updater for entries of backend servers.

    :param board: the blackboard.
    :returns: the updater.
    """

    def apply_object(stored: StoreObject) -> None:
        server = decode_server(stored)
        before = board.server_starts.get(
            stored.name
        ) or board.backpressure.delisted.find(stored.name)
        named = server._replace(name=name_incarnation(server, before))
        is_back = named.name in board.expired_until
        is_new = _is_new(board, stored, named.name)
        hold_copied(board, named)
        add_server(board, named)
        if is_new:
            record_cold_time(board, named)
        if is_back:
            mark_returned(board, named.name)
        board.server_objects[stored.name] = stored

    def remove_object(server_id: str) -> None:
        if board.server_objects.pop(server_id, None):
            handle_removed_entry(board, board.server_starts[server_id].name)

    def remove_invalid(server_id: str) -> None:
        if board.server_objects.pop(server_id, None):
            # Another object has replaced the entry, so it did not expire.
            remove_server(board, board.server_starts[server_id].name)

    def remove_missing(names: set[str]) -> None:
        for server_id in set(board.server_objects) - names:
            remove_object(server_id)

    def record_position(position: int) -> None:
        board.positions[SERVER_KIND] = position
        entries = board.server_objects.values()
        board.server_state = ListState(position, _digest(entries))

    return Updater(
        SERVER_KIND,
        apply_object,
        remove_missing,
        remove_object,
        remove_invalid,
        record_position,
        WATCH_PAUSE_S,
        logged={},
    )


def _is_new(board: ServingBoard, stored: StoreObject, name: str) -> bool:
    # An unchanged entry tells how cold its server was when it was written,
    # not now.
    known = board.server_objects.get(stored.name)
    if known is None or name not in board.servers:
        return True
    if known.era == stored.era:
        return known.revision != stored.revision
    # Otherwise it may come from the older copy that the store returned from.
    return known.revision < stored.revision


def _digest(entries: Iterable[StoreObject]) -> int:
    """Compute a digest by which two routers compare their lists."""
    texts = sorted(f'{one.name}:{one.position}' for one in entries)
    return zlib.crc32('\n'.join(texts).encode())
