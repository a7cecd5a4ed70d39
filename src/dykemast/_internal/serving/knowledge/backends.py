"""Keep the list of backend servers."""

import asyncio
from collections.abc import Iterable
from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.platform.servers import SERVER_KIND
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('backends')

#: Seconds without a read of the list, by anyone who is heard, from which on
#: the store counts as having been away: reads are at most 1.6 s apart, and
#: entries lapse after 3.6 s without one.
STORE_OUTAGE_GAP_S: Final = 2.5
#: Seconds that an entry stays which lapsed meanwhile: users say that servers
#: that live are listed again within about two.
EXPIRED_GRACE_S: Final = 2.0
#: Seconds between two looks at these.
EXPIRED_CHECK_INTERVAL_S: Final = 0.25


async def remove_expired(board: ServingBoard) -> None:
    """Forget servers that are not listed again in time, for ever.

    :param board: the blackboard.
    """
    while True:
        await asyncio.sleep(EXPIRED_CHECK_INTERVAL_S)
        now = read_clock()
        late = [
            name for name, until in board.expired_until.items() if until < now
        ]
        for name in late:
            remove_server(board, name)


def mark_leaving(
    board: ServingBoard,
    names: Iterable[str],
    source: str,
) -> None:
    """Send nothing new to servers that are leaving.

    :param board: the blackboard.
    :param names: the names of their starts.
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


def list_allowed(
    board: ServingBoard,
    service: str,
    allowed_regions: Iterable[frozenset[str]],
) -> list[BackendServer]:
    """List the servers that may get a new request.

    :param board: the blackboard.
    :param service: the service.
    :param allowed_regions: regions that the request may be sent to; each
        set applies.
    :returns: usable servers of halls that are not emptied and lie in them.
    """
    regions = board.settings.regions
    return [
        server
        for server in list_usable(board, service)
        if server.hall not in board.evacuations.halls
        and all(regions.get(server.hall) in home for home in allowed_regions)
    ]


def add_server(board: ServingBoard, server: BackendServer) -> None:
    """Take a server that is listed.

    What was known of an earlier start under its id is forgotten: it holds and
    knows nothing of that any more, and may have said that it leaves.

    :param board: the blackboard.
    :param server: the server.
    """
    earlier = board.server_starts.get(server.server_id)
    if earlier and earlier.name != server.name:
        _log('server_started_again', server=server.name, before=earlier.name)
        remove_server(board, earlier.name)
    before = board.servers.get(server.name)
    board.servers[server.name] = server
    board.server_starts[server.server_id] = server
    board.expired_until.pop(server.name, None)
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
        mark_leaving(board, [server.name], 'store')
    if board.backpressure.delisted.relist(server):
        mark_leaving(board, [server.name], 'earlier word')


def handle_removed_entry(board: ServingBoard, name: str) -> None:
    """Forget a server whose entry is gone, or wait whether it comes back.

    :param board: the blackboard.
    :param name: the name of its start.
    """
    now = read_clock()
    gap = now - board.last_read_at.get(SERVER_KIND, 0)
    if gap < STORE_OUTAGE_GAP_S or name in board.leaving:
        remove_server(board, name)
        return
    board.expired_until[name] = now + EXPIRED_GRACE_S
    _log('server_lapsed', server=name, not_read_s=round(gap, 3))


def remove_server(board: ServingBoard, name: str) -> None:
    """Forget a server.

    :param board: the blackboard.
    :param name: the name of its start.
    """
    board.expired_until.pop(name, None)
    board.cold_until.pop(name, None)
    board.backpressure.last.pop(name, None)
    gone = board.servers.pop(name, None)
    if gone:
        board.server_starts.pop(gone.server_id)
        if name in board.leaving:
            board.leaving.discard(name)
            board.backpressure.delisted.record(gone, read_clock())
        _log('server_gone', server=name)
