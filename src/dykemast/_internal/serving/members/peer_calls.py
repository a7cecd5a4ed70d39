"""Calls that this router answers to other routers."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from dykemast._internal.network.fleet_calls import Fleet
from dykemast._internal.network.thrift_server import listen
from dykemast._internal.serving.knowledge import (
    server_lists,
    stream_records,
    stream_replicas,
)
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.members.gossip_messages import GossipMessages


class TokenCalls(NamedTuple):
    """Calls that transfer tokens of budgets.

    :param lend: lends tokens; takes workspace, tokens, borrower, and what the
        borrower would keep besides.
    :param borrow: lends tokens; takes a packed request, returns the answer.
    :param take_back: accepts returned tokens; takes workspace, tokens and
        giver.
    """

    lend: Callable[..., Awaitable[int]]
    borrow: Callable[[bytes], Awaitable[bytes]]
    take_back: Callable[[str, int, str], Awaitable[int]]


class _Calls(NamedTuple):
    """Calls by their names in the interface definition."""

    exchange: Callable[[bytes], Awaitable[bytes]]
    lend: Callable[..., Awaitable[int]]
    borrow: Callable[[bytes], Awaitable[bytes]]
    take_back: Callable[[str, int, str], Awaitable[int]]
    newer_configuration: Callable[[int], Awaitable[bytes]]
    newer_servers: Callable[[int], Awaitable[bytes]]
    add_streams: Callable[[bytes], Awaitable[int]]
    keep_streams: Callable[[bytes], Awaitable[int]]
    find_stream: Callable[[str], Awaitable[bytes]]
    list_broken: Callable[[bytes], Awaitable[bytes]]


async def open_peer_server(
    board: ServingBoard,
    messages: GossipMessages,
    token_calls: TokenCalls,
) -> Any:
    """Listen for other routers.

    :param board: the blackboard.
    :param messages: builds and applies gossip messages.
    :param token_calls: lend and take back tokens.
    :returns: the listening server, which the caller closes by its ``close``.
    """

    async def exchange(body: bytes) -> bytes:
        messages.apply_message(body)
        return messages.build_message()

    async def newer_configuration(above: int) -> bytes:
        return board.encoded_table if board.get_version() > above else b''

    async def newer_servers(above: int) -> bytes:
        return server_lists.encode_newer(board, above)

    async def add_streams(body: bytes) -> int:
        # Older builds send them while the store is unavailable.
        return stream_records.apply_records(board, body, is_exported=True)

    async def keep_streams(body: bytes) -> int:
        return stream_replicas.keep_replicas(board, body)

    async def find_stream(key: str) -> bytes:
        return stream_replicas.encode_stream(board, key)

    async def list_broken(servers: bytes) -> bytes:
        return server_lists.encode_broken(board, servers)

    endpoint = board.settings.listeners.peer
    calls = _Calls(
        exchange,
        *token_calls,
        newer_configuration,
        newer_servers,
        add_streams,
        keep_streams,
        find_stream,
        list_broken,
    )
    return await listen(Fleet, calls, endpoint.host, endpoint.port)
