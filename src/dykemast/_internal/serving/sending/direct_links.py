"""Checks of the direct links to backend servers."""

import asyncio
import contextlib
import random
import socket
from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.network.sockets import make_socket
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock

#: Connecting takes a few milliseconds, and the host of a crashed server refuses
#: at once.
CHECK_TIMEOUT_S: Final = 0.2
#: Time for the answer to a health check. A busy server may take longer, which
#: proves nothing.
ANSWER_TIMEOUT_S: Final = 0.25
_HEAD_END: Final = b'\r\n\r\n'
#: Field of an answer after which the server closes the connection.
_CLOSE: Final = b'connection: close'
#: Time for which a new connection has to stay open: some broken links accept
#: it, and reset it a round trip later.
STAY_OPEN_S: Final = 0.05
#: The same where a link is suspected: others reset it some time later.
LONG_STAY_S: Final = 0.5
#: Number of other servers that are tried when one refuses connections.
MAX_CHECKED: Final = 3
#: Time after a broken connection for which new ones are checked: a broken link
#: may accept connections and reset them.
RECENT_BREAK_S: Final = 1.0


async def check_link(
    board: ServingBoard, server: BackendServer, stay_s: float = STAY_OPEN_S
) -> None:
    """Get an answer of a server over a new connection.

    A link may be broken and accept connections.

    :param board: the blackboard.
    :param server: the server.
    :param stay_s: seconds for which the connection has to stay open then.
    :raises OSError: when there is no answer in time.
    """
    async with asyncio.timeout(CHECK_TIMEOUT_S):
        opened = await asyncio.open_connection(*server.endpoint)
    await _get_answer(board, server, *opened, stay_s)


async def check_tunnel(
    board: ServingBoard,
    server: BackendServer,
    tunnel: socket.socket,
    stay_s: float,
) -> None:
    """Get an answer of a server through a tunnel, and close the tunnel.

    :param board: the blackboard.
    :param server: the server.
    :param tunnel: the tunnel.
    :param stay_s: seconds for which the connection has to stay open then.
    :raises OSError: when there is no answer in time.
    """
    opened = await asyncio.open_connection(sock=tunnel)
    await _get_answer(board, server, *opened, stay_s)


async def _get_answer(
    board: ServingBoard,
    server: BackendServer,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    stay_s: float,
) -> None:
    table = board.table
    path = table.find_health_path(server.service) if table else '/'
    head = f'GET {path} HTTP/1.1\r\nHost: {server.endpoint}\r\n\r\n'
    with contextlib.closing(writer):
        writer.write(head.encode())
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await reader.readuntil(_HEAD_END)
        except asyncio.IncompleteReadError as error:
            text = f'server {server.name} closed without an answer'
            raise ConnectionError(text) from error
        if _CLOSE not in answer.lower():
            await _check_open(reader, stay_s)


async def _check_open(reader: asyncio.StreamReader, stay_s: float) -> None:
    """Check that a connection stays open without a request."""
    try:
        async with asyncio.timeout(stay_s):
            await reader.read()
    except TimeoutError:
        return
    raise ConnectionError('closed without a request')


async def has_other_link(board: ServingBoard, server: BackendServer) -> bool:
    """Check whether this router can connect to another server.

    :param board: the blackboard.
    :param server: a server that refuses connections.
    :returns: whether it can, so that the refusal is one of the server; True
        also where there is no other server.
    """
    if board.links.count_recent(server.service):
        return False
    others = [one for one in board.servers.values() if one.name != server.name]
    for other in random.sample(others, min(MAX_CHECKED, len(others))):
        with make_socket((socket.AF_INET, socket.SOCK_STREAM, 0)) as sock:
            with contextlib.suppress(OSError):
                await _connect(sock, other)
                return True
    return not others


def has_recent_break(board: ServingBoard) -> bool:
    """Check whether connections of this router broke a moment ago.

    :param board: the blackboard.
    :returns: whether its links may be broken.
    """
    since = read_clock() - RECENT_BREAK_S
    return any(at > since for at in board.broken.list_last_breaks().values())


async def _connect(sock: socket.socket, server: BackendServer) -> None:
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CHECK_TIMEOUT_S):
        await loop.sock_connect(sock, tuple(server.endpoint))
