"""The running program, its start and its planned stop."""

import asyncio
import socket
import time
from typing import Any, Final, NamedTuple

from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.network.listeners import Listener, open_on_sockets
from dykemast._internal.serving import (
    application,
    budget_upkeep,
    entry,
    gossip,
    loops,
    members,
    peer_calls,
)
from dykemast._internal.serving.assembly import Assembly, assemble
from dykemast._internal.serving.board import ServingBoard
from dykemast._internal.serving.parts import Parts
from dykemast._internal.utils.events import make_logger

_log = make_logger('router')

#: Connections that wait to be accepted.
BACKLOG: Final = 512
#: Times the length of an entry answer's life that most callers keep it for.
KEPT_FACTOR: Final = 2
#: Seconds before the kill at which requests have to be done, and for which
#: tokens are given back after that.
STOP_MARGIN: Final = 1.2
GIVE_BACK_TIMEOUT: Final = 0.9
_POLL: Final = 0.05


class Runtime(NamedTuple):
    """A router that runs.

    :param assembly: its parts.
    :param peer_server: listens for other routers.
    :param listeners: listen for callers.
    :param tasks: loops.
    """

    assembly: Assembly
    peer_server: Any
    listeners: list[Listener]
    tasks: list[asyncio.Task[None]]

    async def stop(self) -> None:
        """Stop without cutting off a request."""
        board = self.assembly.parts.board
        started = time.monotonic()
        board.stopping = True
        _log('stopping', inflight=board.inflight)
        await gossip.tell_all(board, self.assembly.links.gossip)
        await members.unlist_self(board, self.assembly.upkeep.store)
        await _wait_until_unused(board, started)
        await self._give_back()
        self._close()
        _log('stopped', inflight=board.inflight)

    async def _give_back(self) -> None:
        work = asyncio.create_task(
            budget_upkeep.give_back(self.assembly.upkeep)
        )
        _, late = await asyncio.wait((work,), timeout=GIVE_BACK_TIMEOUT)
        if late:
            work.cancel()
            _log('tokens_not_given_back', reason='the store was too slow')

    def _close(self) -> None:
        for listener in self.listeners:
            listener.should_exit = True
        for task in self.tasks:
            task.cancel()
        self.peer_server.close()
        self.assembly.links.gossip.close()


async def open_runtime(board: ServingBoard) -> Runtime:
    """Start the router.

    :param board: the blackboard.
    :returns: the running router.
    :raises OSError: when an address is in use.
    """
    assembly = assemble(board)
    parts = assembly.parts
    peer_server = await peer_calls.open_peer_server(
        board, assembly.links.desk, parts.budgets.lend
    )
    tasks = [asyncio.create_task(loop) for loop in loops.list_loops(assembly)]
    listeners = await _open_listeners(parts)
    return Runtime(assembly, peer_server, listeners, tasks)


async def _open_listeners(parts: Parts) -> list[Listener]:
    addresses = parts.board.settings.listeners
    side = (addresses.readiness, addresses.entry, addresses.metrics)
    callers = application.make_application(parts)
    others = entry.make_side_application(parts)
    return [
        await open_on_sockets(callers, [_listen(addresses.caller)]),
        await open_on_sockets(others, [_listen(one) for one in side]),
    ]


def _listen(endpoint: Endpoint) -> socket.socket:
    return socket.create_server(endpoint, backlog=BACKLOG)


async def _wait_until_unused(board: ServingBoard, started: float) -> None:
    limit = started + board.settings.bounds.stop_timeout - STOP_MARGIN
    # Callers use kept entry answers for a while yet.
    kept_until = started + entry.ENTRY_TTL * KEPT_FACTOR
    while time.monotonic() < limit:
        if time.monotonic() > kept_until and not board.inflight:
            return
        await asyncio.sleep(_POLL)
