"""Start and planned stop of a router."""

import asyncio
import random
from typing import Any, Final, NamedTuple

import logbook

from dykemast._internal.blackboard import Blackboard
from dykemast._internal.controllers.assembly import Assembly, assemble
from dykemast._internal.controllers import loops, stopping
from dykemast._internal.controllers.http_apis import open_listeners
from dykemast._internal.exceptions import DykemastError
from dykemast._internal.network.listeners import Listener, close_listeners
from dykemast._internal.network.peer_server import open_server
from dykemast._internal.path.background import wait_for_background

_log = logbook.Logger('router')

#: For listeners to send pending responses and to close idle connections.
CLOSE_TIMEOUT_S: Final = 1.0
#: Attempts to return all leases at a planned stop.
CLOSE_ATTEMPTS: Final = 5


class Runtime(NamedTuple):
    """A running router.

    :param assembly: its components.
    :param listeners: for callers and operators.
    :param peers: server for other routers.
    :param tasks: background loops of the controllers.
    """

    assembly: Assembly
    listeners: list[Listener]
    peers: Any
    tasks: list[asyncio.Task[None]]

    async def stop(self, hasten: asyncio.Event) -> None:
        """Drain the requests in progress, then stop.

        :param hasten: set when requests in progress may be cancelled.
        """
        board = self.assembly.parts.board
        plan = stopping.begin_stop(board)
        await self.assembly.news.spread()
        await stopping.wait_until_unused(board, plan, hasten)
        # A request admitted from here on would not be waited for.
        stopping.close_admission(board, plan)
        await close_listeners(self.listeners, CLOSE_TIMEOUT_S)
        await self._return_leases()
        await self._close()

    async def _return_leases(self) -> None:
        await wait_for_background()
        for attempt in range(CLOSE_ATTEMPTS):
            try:
                await self._write_remaining()
            except DykemastError as error:
                _log.warning('router: leases not returned yet: {}', error)
                await asyncio.sleep(attempt)
            else:
                return

    async def _write_remaining(self) -> None:
        await self.assembly.parts.bills.flush()
        await self.assembly.parts.leases.close_all()

    async def _close(self) -> None:
        self.peers.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.assembly.keepers.close()
        await self.assembly.sessions.close()


async def open_runtime(board: Blackboard, chance: random.Random) -> Runtime:
    """Start a router.

    The address for other routers is bound first, which confirms that the
    previous process of this instance has ended.

    :param board: shared state of the router.
    :param chance: source of randomness.
    :returns: the running router.
    """
    settings = board.settings
    assembly = assemble(board, chance)
    peers = await open_server(
        settings['host'],
        settings['peer_port'],
        settings['peer_key'],
        assembly.list_peer_calls(),
    )
    listeners = await open_listeners(assembly)
    tasks = loops.run_loops(assembly, listeners)
    return Runtime(assembly, listeners, peers, tasks)
