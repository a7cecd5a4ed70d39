"""Backend servers as targets of tunnels that this router opens for peers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from http import HTTPStatus
from typing import Final

from dykemast._internal.exceptions import TunnelError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.network import (
    sockets,
    tunnel_listener,
    tunnels,
)
from dykemast._internal.serving.sending import direct_links
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('links')

#: Less than a peer waits for the response.
CONNECT_TIMEOUT_S: Final = 0.3
#: Part of the file descriptors that tunnels may use; each takes two.
DESCRIPTORS_SHARE: Final = 0.25
DESCRIPTORS_PER_TUNNEL: Final = 2


def make_open_target(board: ServingBoard) -> tunnel_listener.OpenTarget:
    """Make the function that connects to the target of a tunnel.

    :param board: the blackboard.
    :returns: the function.
    """

    @contextlib.asynccontextmanager
    async def open_target(
        request: tunnels.TunnelRequest,
    ) -> AsyncIterator[tunnel_listener.Streams]:
        server = _find_server(board, request)
        with _count_tunnel(board):
            streams = await _connect(board, server)
            board.arrivals.record(1, read_clock())
            _log(
                'tunnel_opened', request=request.request_id, server=server.name
            )
            with contextlib.closing(streams[1]):
                yield streams

    return open_target


@contextlib.contextmanager
def _count_tunnel(board: ServingBoard) -> Iterator[None]:
    board.tunnels += 1
    with contextlib.ExitStack() as at_end:
        at_end.callback(_end_tunnel, board)
        yield


def _end_tunnel(board: ServingBoard) -> None:
    board.tunnels -= 1


def _find_server(
    board: ServingBoard, request: tunnels.TunnelRequest
) -> BackendServer:
    listed = {server.endpoint: server for server in board.servers.values()}
    server = listed.get(request.target)
    if server is None:
        text = f'no server is listed at {request.target}'
        raise TunnelError(text, HTTPStatus.FORBIDDEN)
    if not _may_open(board) or board.links.is_broken(server):
        raise TunnelError('no tunnels now', HTTPStatus.SERVICE_UNAVAILABLE)
    return server


def _may_open(board: ServingBoard) -> bool:
    if board.stopping or board.watch.is_overloaded(read_clock()):
        return False
    descriptors = DESCRIPTORS_SHARE * board.settings.max_connections
    return board.tunnels * DESCRIPTORS_PER_TUNNEL < descriptors


async def _connect(
    board: ServingBoard, server: BackendServer
) -> tunnel_listener.Streams:
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            streams = await asyncio.open_connection(
                *server.endpoint, limit=tunnel_listener.BUFFER_BYTES
            )
    except OSError as error:
        status = HTTPStatus.GATEWAY_TIMEOUT
        if isinstance(error, ConnectionRefusedError):
            if await direct_links.has_other_link(board, server):
                status = HTTPStatus.BAD_GATEWAY
        text = f'no connection to server {server.name}: {error}'
        raise TunnelError(text, status) from error
    sockets.set_options(streams[1].get_extra_info('socket'))
    if direct_links.has_recent_break(board) and await _is_closed(streams[0]):
        streams[1].close()
        text = f'server {server.name} closes connections of this router'
        raise TunnelError(text, HTTPStatus.GATEWAY_TIMEOUT)
    return streams


async def _is_closed(reader: asyncio.StreamReader) -> bool:
    try:
        async with asyncio.timeout(direct_links.STAY_OPEN_S):
            await reader.read(1)
    except TimeoutError:
        return False
    except OSError as error:
        _log('link_reset', reason=f'{type(error).__name__}: {error}')
    return True
