"""What other routers may call."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from dykemast._internal.network.fleet_calls import Fleet
from dykemast._internal.network.thrift_server import listen
from dykemast._internal.serving.knowledge import server_lists
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.members.peer_news import PeerNews

#: Takes workspace, tokens, borrower, and what that would keep besides.
Lend = Callable[..., Awaitable[int]]


class _Calls(NamedTuple):
    """Calls by the names of the interface definition."""

    exchange: Callable[[bytes], Awaitable[bytes]]
    lend: Lend
    newer_configuration: Callable[[int], Awaitable[bytes]]
    newer_servers: Callable[[int], Awaitable[bytes]]


async def open_peer_server(
    board: ServingBoard,
    peer_news: PeerNews,
    lend: Lend,
) -> Any:
    """Listen for other routers.

    :param board: the blackboard.
    :param peer_news: writes and takes news.
    :param lend: gives spare tokens away.
    :returns: the listening server, to be closed by its ``close``.
    """

    async def exchange(body: bytes) -> bytes:
        peer_news.take_news(body)
        return peer_news.write_news()

    async def newer_configuration(above: int) -> bytes:
        return board.table_raw if board.count_version() > above else b''

    async def newer_servers(above: int) -> bytes:
        return server_lists.write_newer(board, above)

    endpoint = board.settings.listeners.peer
    calls = _Calls(exchange, lend, newer_configuration, newer_servers)
    return await listen(Fleet, calls, endpoint.host, endpoint.port)
