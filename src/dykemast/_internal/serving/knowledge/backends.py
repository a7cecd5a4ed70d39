"""Keep the list of backend servers."""

import asyncio
import time
from collections.abc import Iterable
from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.news import ListState
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.platform.servers import SERVER_KIND, decode_server
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.knowledge.follower import Follower
from dykemast._internal.utils.digests import digest_texts
from dykemast._internal.utils.events import make_logger

_log = make_logger('backends')

#: Seconds in which changes of servers gather; a leaving one may get requests
#: for 2 s.
WATCH_PAUSE: Final = 0.3
#: Seconds without a read of the list, by anyone who is heard, from which on
#: the store counts as having been away: reads are at most 1.6 s apart, and
#: entries lapse after 3.6 s without one.
AWAY_GAP: Final = 2.5
#: Seconds that an entry stays which lapsed meanwhile: users say that servers
#: that live are listed again within about two.
LAPSE_TIME: Final = 2.0
#: Seconds between two looks at these.
LAPSE_PAUSE: Final = 0.25


def make_follower(board: ServingBoard) -> Follower:
    """Make what follows the entries of backend servers.

    :param board: the blackboard.
    :returns: the follower.
    """

    def take_object(stored: StoreObject) -> None:
        _take_server(board, decode_server(stored))
        board.server_objects[stored.name] = stored

    def drop_object(name: str) -> None:
        if board.server_objects.pop(name, None):
            _drop_server(board, name)

    def take_names(names: set[str]) -> None:
        for name in set(board.server_objects) - names:
            drop_object(name)

    def note_revision(revision: int) -> None:
        board.revisions[SERVER_KIND] = revision
        entries = board.server_objects.values()
        digest = digest_texts(f'{one.name}:{one.revision}' for one in entries)
        board.server_state = ListState(revision, digest)

    return Follower(
        SERVER_KIND,
        take_object,
        take_names,
        drop_object,
        note_revision,
        WATCH_PAUSE,
    )


async def forget_lapsed(board: ServingBoard) -> None:
    """Forget servers that are not listed again in time, for ever.

    :param board: the blackboard.
    """
    while True:
        await asyncio.sleep(LAPSE_PAUSE)
        now = time.monotonic()
        late = [name for name, until in board.lapsed.items() if until < now]
        for name in late:
            _forget_server(board, name)


def note_leaving(
    board: ServingBoard,
    names: Iterable[str],
    source: str,
) -> None:
    """Send nothing new to servers that are leaving.

    :param board: the blackboard.
    :param names: their ids.
    :param source: who says so.
    """
    for name in set(names) - board.leaving:
        if name in board.servers:
            board.leaving.add(name)
            _log('server_leaving', server=name, source=source)


def list_usable(board: ServingBoard, service: str) -> list[BackendServer]:
    """List the servers of a service that take new requests.

    :param board: the blackboard.
    :param service: the service.
    :returns: the servers.
    """
    return [
        server
        for server in board.servers.values()
        if server.service == service and server.name not in board.leaving
    ]


def _take_server(board: ServingBoard, server: BackendServer) -> None:
    before = board.servers.get(server.name)
    board.servers[server.name] = server
    board.lapsed.pop(server.name, None)
    if before is None:
        _log(
            'server_new',
            server=server.name,
            service=server.service,
            endpoint=str(server.endpoint),
            hall=server.hall,
            slots=server.slots,
        )
    if server.leaving:
        note_leaving(board, [server.name], 'store')


def _drop_server(board: ServingBoard, name: str) -> None:
    """Forget a server whose entry is gone, or wait whether it comes back."""
    now = time.monotonic()
    gap = now - board.checked_at.get(SERVER_KIND, 0)
    if gap < AWAY_GAP or name in board.leaving:
        _forget_server(board, name)
        return
    board.lapsed[name] = now + LAPSE_TIME
    _log('server_lapsed', server=name, not_read_s=round(gap, 3))


def _forget_server(board: ServingBoard, name: str) -> None:
    board.lapsed.pop(name, None)
    board.leaving.discard(name)
    if board.servers.pop(name, None):
        _log('server_gone', server=name)
