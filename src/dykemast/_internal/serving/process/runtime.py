"""Start of the router, and the handles of what runs in it."""

import asyncio
import socket
from functools import partial
from typing import Any, Final, NamedTuple

from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.network.listener_watch import watch_listeners
from dykemast._internal.network.listeners import Listener, open_on_sockets
from dykemast._internal.serving.members import peer_calls
from dykemast._internal.serving.process import application, entry, loops
from dykemast._internal.serving.process.assembly import Assembly, assemble
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.process.loop_failures import log_loop_failure
from dykemast._internal.utils.supervision import BackgroundLoop, start_loops

#: Connections that the kernel queues until they are accepted.
BACKLOG: Final = 512


class Runtime(NamedTuple):
    """A running router.

    :param assembly: its parts.
    :param peer_server: server for calls from other routers.
    :param listeners: listeners for callers.
    :param tasks: tasks of the background loops.
    """

    assembly: Assembly
    peer_server: Any
    listeners: list[Listener]
    tasks: list[asyncio.Task[None]]


async def open_runtime(board: ServingBoard) -> Runtime:
    """Start the router.

    :param board: the blackboard.
    :returns: the running router.
    :raises OSError: when an address is in use.
    """
    assembly = assemble(board)
    parts = assembly.parts
    peer_server = await peer_calls.open_peer_server(
        board,
        assembly.links.messages,
        peer_calls.TokenCalls(parts.budgets.lend, parts.budgets.take_back),
    )
    listeners = await _open_listeners(parts)
    tasks = _start_loops(assembly, listeners)
    return Runtime(assembly, peer_server, listeners, tasks)


def _start_loops(
    assembly: Assembly,
    listeners: list[Listener],
) -> list[asyncio.Task[None]]:
    watch = BackgroundLoop(
        'watch_listeners', partial(watch_listeners, listeners)
    )
    running = (*loops.list_loops(assembly), watch)
    return start_loops(running, assembly.parts.board.loops, log_loop_failure)


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
