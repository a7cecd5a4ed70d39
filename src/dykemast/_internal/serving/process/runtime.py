"""Start of the router, and the handles of what runs in it."""

import asyncio
import socket
from functools import partial
from typing import Any, Final, NamedTuple

from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.network.listeners import watch_listeners
from dykemast._internal.network.listeners import Listener, open_on_sockets
from dykemast._internal.network.tunnel_listener import listen_for_tunnels
from dykemast._internal.serving.members import peer_calls
from dykemast._internal.serving.process import application, entry, loops
from dykemast._internal.serving.process.assembly import Assembly, assemble
from dykemast._internal.serving.sending.tunnel_targets import make_open_target
from dykemast._internal.serving.tokens.lending import Lender
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.parts import Parts
from dykemast._internal.utils.supervision import BackgroundLoop, start_loops

#: Connections that the kernel queues until they are accepted.
BACKLOG: Final = 512


class Runtime(NamedTuple):
    """A running router.

    :param assembly: its parts.
    :param peer_server: server for calls from other routers.
    :param tunnel_server: server for their tunnels to backend servers; None
        where there is no port for it.
    :param listeners: listeners for callers.
    :param tasks: tasks of the background loops.
    """

    assembly: Assembly
    peer_server: Any
    tunnel_server: asyncio.Server | None
    listeners: list[Listener]
    tasks: list[asyncio.Task[None]]


async def open_runtime(board: ServingBoard) -> Runtime:
    """Start the router.

    :param board: the blackboard.
    :returns: the running router.
    :raises OSError: when an address is in use.
    """
    assembly = assemble(board)
    peer_server = await _open_peer_server(assembly)
    tunnel_server = await _open_tunnel_server(board)
    listeners = await _open_listeners(assembly.parts)
    tasks = _start_loops(assembly, listeners)
    return Runtime(assembly, peer_server, tunnel_server, listeners, tasks)


async def _open_peer_server(assembly: Assembly) -> Any:
    board, upkeep = assembly.parts.board, assembly.upkeep
    lender = Lender(board, upkeep.budgets, upkeep.search)
    return await peer_calls.open_peer_server(
        board,
        assembly.links.messages,
        peer_calls.TokenCalls(lender.lend, lender.borrow, lender.take_back),
    )


async def _open_tunnel_server(board: ServingBoard) -> asyncio.Server | None:
    endpoint = board.settings.listeners.tunnel
    if endpoint is None:
        return None
    return await listen_for_tunnels(endpoint, make_open_target(board))


def _start_loops(
    assembly: Assembly,
    listeners: list[Listener],
) -> list[asyncio.Task[None]]:
    watch = BackgroundLoop(
        'watch_listeners', partial(watch_listeners, listeners)
    )
    running = (*loops.list_loops(assembly), watch)
    return start_loops(
        running, assembly.parts.board.loops, loops.log_loop_failure
    )


async def _open_listeners(parts: Parts) -> list[Listener]:
    addresses = parts.board.settings.listeners
    side = (addresses.readiness, addresses.entry, addresses.metrics)
    callers = application.make_application(parts)
    others = entry.make_endpoint_application(parts)
    return [
        await open_on_sockets(callers, [_listen(addresses.caller)]),
        await open_on_sockets(others, [_listen(one) for one in side]),
    ]


def _listen(endpoint: Endpoint) -> socket.socket:
    return socket.create_server(endpoint, backlog=BACKLOG)
