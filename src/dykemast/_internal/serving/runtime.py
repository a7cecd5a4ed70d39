"""All parts of the program put together, and its planned stop."""

import asyncio
import socket
import time
from collections.abc import Coroutine
from typing import Any, Final, NamedTuple

from dykemast._internal.exceptions import PlatformError
from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.network.listeners import Listener, open_on_sockets
from dykemast._internal.network.platform_session import PlatformSession
from dykemast._internal.operations.server_trust import ServerTrust
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.serving import backends, configuration, members
from dykemast._internal.serving.application import make_application
from dykemast._internal.serving.board import ServingBoard
from dykemast._internal.serving.budgets import Budgets
from dykemast._internal.serving.entry import (
    ENTRY_TTL,
    describe_state,
    make_side_application,
)
from dykemast._internal.serving.followers import follow_kind
from dykemast._internal.serving.freshness import Checked, keep_fresh
from dykemast._internal.serving.gossip import Gossip
from dykemast._internal.serving.loads import Loads
from dykemast._internal.serving.meters import make_meters
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.upstream import Upstreams
from dykemast._internal.utils.events import make_logger

_log = make_logger('router')

#: Seconds that the configuration may be old; users allow 2 s.
CONFIGURATION_AGE: Final = 1.4
#: Seconds that the list of backend servers may be old; users allow 2 s.
SERVERS_AGE: Final = 1.6
#: Connections that wait to be accepted.
BACKLOG: Final = 512
#: Times the length of an entry answer's life that some callers keep it for.
KEPT_FACTOR: Final = 2
#: Seconds before the kill at which a stop has to be done.
STOP_MARGIN: Final = 0.7
#: Seconds between two lines on the state of the router.
STATE_PAUSE: Final = 10.0
#: Seconds between two tries to list this router in the store.
LIST_PAUSE: Final = 0.5
_POLL: Final = 0.05


class Runtime(NamedTuple):
    """A router that runs.

    :param parts: parts that requests need.
    :param store: the object store.
    :param gossip: news between routers.
    :param peer_server: listens for other routers.
    :param listeners: listen for callers.
    :param tasks: loops.
    """

    parts: Parts
    store: ObjectStore
    gossip: Gossip
    peer_server: Any
    listeners: list[Listener]
    tasks: list[asyncio.Task[None]]

    async def stop(self) -> None:
        """Stop without cutting off a request."""
        board = self.parts.board
        started = time.monotonic()
        board.stopping = True
        _log('stopping', inflight=board.inflight)
        await self.gossip.tell_all()
        unlisting = asyncio.create_task(members.unlist_self(board, self.store))
        limit = started + board.settings.bounds.stop_timeout - STOP_MARGIN
        await _wait_until_unused(board, started, limit)
        await asyncio.wait_for(self._give_back(unlisting), 1)
        self._close()
        _log('stopped', inflight=board.inflight)

    async def _give_back(self, unlisting: asyncio.Task[None]) -> None:
        await self.parts.budgets.close()
        await unlisting

    def _close(self) -> None:
        for listener in self.listeners:
            listener.should_exit = True
        for task in self.tasks:
            task.cancel()
        self.peer_server.close()
        self.gossip.close()


async def open_runtime(board: ServingBoard) -> Runtime:
    """Start the router.

    :param board: the blackboard.
    :returns: the running router.
    :raises OSError: when an address is in use.
    """
    store = ObjectStore(PlatformSession(f'http://{board.settings.store}'))
    loads = Loads()
    gossip = Gossip(board, loads)
    parts = Parts(
        board=board,
        budgets=Budgets(board, store, gossip),
        loads=loads,
        trust=ServerTrust(),
        retries={},
        upstreams=Upstreams(),
        meters=make_meters(),
    )
    peer_server = await gossip.open_server()
    tasks = [
        asyncio.create_task(loop) for loop in _list_loops(parts, store, gossip)
    ]
    listeners = await _open_listeners(parts)
    return Runtime(parts, store, gossip, peer_server, listeners, tasks)


def _list_loops(
    parts: Parts,
    store: ObjectStore,
    gossip: Gossip,
) -> list[Coroutine[Any, Any, None]]:
    board = parts.board
    tables = configuration.make_follower(board)
    servers = backends.make_follower(board)
    followers = (tables, servers, members.make_follower(board))
    return [
        keep_fresh(board, store, Checked(tables, CONFIGURATION_AGE)),
        keep_fresh(board, store, Checked(servers, SERVERS_AGE)),
        *(follow_kind(board, store, follower) for follower in followers),
        _list_self(board, store),
        gossip.spread(),
        parts.budgets.follow_table(),
        _log_state(parts, store),
        parts.budgets.review(),
    ]


async def _log_state(parts: Parts, store: ObjectStore) -> None:
    while True:
        await asyncio.sleep(STATE_PAUSE)
        _log('state', **describe_state(parts), store_calls=store.calls)


async def _list_self(board: ServingBoard, store: ObjectStore) -> None:
    while True:
        try:
            await members.list_self(board, store)
        except PlatformError as error:
            _log('entry_not_written', reason=str(error))
            await asyncio.sleep(LIST_PAUSE)
        else:
            return


async def _open_listeners(parts: Parts) -> list[Listener]:
    addresses = parts.board.settings.listeners
    side = (addresses.readiness, addresses.entry, addresses.metrics)
    caller_sockets = [_listen(addresses.caller)]
    return [
        await open_on_sockets(make_application(parts), caller_sockets),
        await open_on_sockets(
            make_side_application(parts), [_listen(one) for one in side]
        ),
    ]


def _listen(endpoint: Endpoint) -> socket.socket:
    return socket.create_server(endpoint, backlog=BACKLOG)


async def _wait_until_unused(
    board: ServingBoard,
    started: float,
    limit: float,
) -> None:
    # Callers use kept entry answers for a while yet.
    kept_until = started + ENTRY_TTL * KEPT_FACTOR
    while time.monotonic() < limit:
        if time.monotonic() > kept_until and not board.inflight:
            return
        await asyncio.sleep(_POLL)
