"""Keep the list of backend servers."""

from collections.abc import Iterable
from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.platform.store_types import StoreObject
from dykemast._internal.platform.servers import SERVER_KIND, decode_server
from dykemast._internal.serving.board import ServingBoard
from dykemast._internal.serving.follower import Follower
from dykemast._internal.utils.events import make_logger

_log = make_logger('backends')

#: Seconds in which changes of servers gather; a leaving one may get requests
#: for 2 s.
WATCH_PAUSE: Final = 0.3


def make_follower(board: ServingBoard) -> Follower:
    """Make what follows the entries of backend servers.

    :param board: the blackboard.
    :returns: the follower.
    """

    def take_object(stored: StoreObject) -> None:
        _take_server(board, decode_server(stored))

    def drop_object(name: str) -> None:
        if board.servers.pop(name, None):
            board.leaving.discard(name)
            _log('server_gone', server=name)

    def take_names(names: set[str]) -> None:
        for name in set(board.servers) - names:
            drop_object(name)

    return Follower(
        SERVER_KIND, take_object, take_names, drop_object, WATCH_PAUSE
    )


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
