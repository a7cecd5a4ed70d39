"""Where streams began that callers take up, and may have begun."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Final

from dykemast._internal.exceptions import PlatformError
from dykemast._internal.models.streams import Origin
from dykemast._internal.platform.objects import ObjectStore
from dykemast._internal.platform.servers import SERVER_KIND
from dykemast._internal.serving.knowledge import (
    server_entries,
    server_versions,
    stream_records,
    updates,
    version_records,
)
from dykemast._internal.serving.state.board import ServingBoard, list_live_peers
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('streams')

#: Reads objects of the store; raises ``PlatformError``.
Read = Callable[[], Awaitable[None]]
#: Asks other routers for the origin of a stream; tells whether they knew it.
Ask = Callable[[str], Awaitable[bool]]
#: Asks other routers which of some servers may have been started again; None if
#: none of them answers.
BrokenServers = set[str] | None
AskBroken = Callable[[list[str]], Awaitable[BrokenServers]]

#: Seconds after which a search is repeated once: a router that has just passed
#: on the first event writes the stream within its interval of writes.
SECOND_SEARCH_S: Final = 0.3


def list_origins(board: ServingBoard, services: list[str]) -> list[Origin]:
    """List where a stream of some services may have begun.

    :param board: shared state of the router.
    :param services: the services of its route.
    :returns: each service with each of its versions.
    """
    return [
        Origin(service, version)
        for service in services
        for version in server_versions.list_versions(board, service)
    ]


def has_several_origins(board: ServingBoard) -> bool:
    """Tell whether any stream may have begun at one of several versions.

    :param board: shared state of the router.
    :returns: whether it may; also True while the versions before the start of
        this process are not known.
    """
    routes = board.table.routes.values() if board.table else ()
    shares = {
        tuple(share.service for share in route.shares)
        for route in routes
        if route.resumable
    }
    if not board.versions.is_complete:
        return True
    return any(is_ambiguous(board, list(services)) for services in shares)


def is_ambiguous(board: ServingBoard, services: list[str]) -> bool:
    """Tell whether a stream of some services may have begun at several places.

    :param board: shared state of the router.
    :param services: the services of its route.
    :returns: whether it may; also True while the versions before the start of
        this process are not known.
    """
    if not board.versions.is_complete:
        return True
    return len(list_origins(board, services)) > 1


class OriginSearch:
    """Search of other routers and of the store for where streams began.

    :param board: shared state of the router.
    :param store: the object store.
    :param ask: asks other routers for a stream.
    :param ask_broken: asks them for servers.
    """

    def __init__(
        self,
        board: ServingBoard,
        store: ObjectStore,
        ask: Ask,
        ask_broken: AskBroken,
    ) -> None:
        """Create a search; nothing is read yet."""
        self._board = board
        self._ask = ask
        self._ask_broken = ask_broken
        self._asks: dict[Origin, _SharedRead] = {}
        self._servers = _SharedRead(lambda: _read_servers(board, store))
        self._versions = _SharedRead(
            lambda: version_records.read_versions(board, store)
        )
        self._streams = _SharedRead(
            lambda: stream_records.read_streams(board, store)
        )

    async def find(
        self, key: str, services: list[str]
    ) -> tuple[Origin | None, str]:
        """Find where a stream began.

        :param key: key of the stream; empty if the caller does not name it.
        :param services: services of its route.
        :returns: its origin, None if it is not known, and how it was found.
        """
        origin = self._board.origins.find(key)
        if origin:
            return origin, 'memory'
        if not self._board.versions.is_complete:
            await self._read(self._versions)
        if not is_ambiguous(self._board, services):
            only = await self._find_only(services)
            if only:
                return only, 'only version'
        if not key:
            return None, 'nothing'
        if await self._ask(key):
            return self._board.origins.find(key), 'replica'
        return await self._find_stored(key), 'store'

    async def confirm_servers(self, origin: Origin) -> None:
        """Find out whether servers were started again, if only such are left.

        If other routers had no broken sends, the link of this one broke.

        :param origin: service and version of the servers.
        """
        if server_versions.list_of_version(self._board, *origin):
            return
        shared_ask = self._asks.setdefault(
            origin, _SharedRead(partial(self._ask_about, origin))
        )
        await shared_ask.read()

    async def _ask_about(self, origin: Origin) -> None:
        times = self._board.broken.times
        asked_at = read_clock()
        doubtful = [
            server.name
            for server in self._board.servers.values()
            if (server.service, server.version) == origin
            and times.must_ask(server.name, asked_at)
        ]
        broken = await self._ask_broken(doubtful) if doubtful else None
        if broken is None:
            return
        for name in doubtful:
            times.record_answer(name, asked_at, is_sound=name not in broken)
        _log(
            'servers_asked',
            **origin._asdict(),
            servers=doubtful,
            broken=sorted(broken),
        )

    async def _find_only(self, services: list[str]) -> Origin | None:
        """Find the only origin there may be, by the current list of servers."""
        if not await self._read(self._servers) and _is_apart(self._board):
            # Other routers may know servers of further versions.
            return None
        origins = list_origins(self._board, services)
        return origins[0] if len(origins) == 1 else None

    async def _find_stored(self, key: str) -> Origin | None:
        for pause in (0, SECOND_SEARCH_S):
            await asyncio.sleep(pause)
            if pause and await self._ask(key):
                return self._board.origins.find(key)
            if not await self._read(self._streams):
                # The caller is refused at once, and may find it elsewhere.
                return None
            origin = self._board.origins.find(key)
            if origin:
                return origin
        return None

    async def _read(self, shared_read: '_SharedRead') -> bool:
        if self._board.store_unavailable_since:
            return False
        return await shared_read.read()


class _SharedRead:
    """A read that serves all who asked before it began.

    :param read: reads; raises ``PlatformError``.
    """

    def __init__(self, read: Read) -> None:
        self._read = read
        self._lock = asyncio.Lock()
        self._began_at = float('-inf')
        self._succeeded = False

    async def read(self) -> bool:
        """Read, unless another caller's read begins after this call.

        :returns: whether the read succeeded.
        """
        asked_at = read_clock()
        async with self._lock:
            if self._began_at < asked_at:
                self._began_at = read_clock()
                self._succeeded = await self._try_read()
        return self._succeeded

    async def _try_read(self) -> bool:
        try:
            await self._read()
        except PlatformError as error:
            _log('origins_not_read', reason=str(error))
            return False
        return True


def _is_apart(board: ServingBoard) -> bool:
    return bool(board.peers) and not any(list_live_peers(board))


async def _read_servers(board: ServingBoard, store: ObjectStore) -> None:
    listing = await store.list_kind(SERVER_KIND)
    if listing.position >= board.positions.get(SERVER_KIND, 0):
        updates.apply_listing(server_entries.make_updater(board), listing)
