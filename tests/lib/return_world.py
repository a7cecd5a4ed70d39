"""A few routers, backend servers and a store that returns from old copies."""

import asyncio
import itertools
from typing import Any, Final, NamedTuple

from dykemast._internal.platform.servers import SERVER_KIND
from dykemast._internal.serving.knowledge import (
    backends,
    server_entries,
    server_lists,
    watches,
)
from dykemast._internal.serving.members import gossip_messages, peer_fetches
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.state.loads import make_loads
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_boards
from tests.lib.store_returns import put_server, read_servers, run_until_pause
from tests.lib.store_session import StoreSession, open_store

ROUTERS: Final = 3


class Server:
    """One start of a backend server, as it knows itself."""

    def __init__(self, server_id: str, born: int | None) -> None:
        self.server_id = server_id
        self.born = born
        self.sequence = 0
        self.state = 'ready'
        #: Whether it said to any router that it leaves.
        self.has_said = False

    @property
    def name(self) -> str:
        return self.server_id if self.born is None else self._name_start()

    def make_fields(self) -> dict[str, Any]:
        fields = {'sequence': self.sequence, 'state': self.state}
        return fields if self.born is None else {**fields, 'born': self.born}

    def _name_start(self) -> str:
        return f'{self.server_id}/{self.born}'


class Seen(NamedTuple):
    """Names of starts of servers at one router, since the beginning.

    :param leaving: those that it knew to leave.
    :param listed: those that it had listed.
    :param gone: those that it had listed, and not any more when they had ended.
    """

    leaving: set[str]
    listed: set[str]
    gone: set[str]

    def update(self, board: ServingBoard, ended: set[str]) -> None:
        self.leaving.update(board.leaving)
        self.gone.update(self.listed.difference(board.servers) & ended)
        self.listed.update(board.servers)


class ReturnWorld:
    """Routers, servers and the store, with what is true of them."""

    def __init__(self) -> None:
        self.session = StoreSession()
        self.boards = make_boards(ROUTERS)
        self.servers: dict[str, Server] = {}
        self.seen = [_make_seen() for _ in self.boards]
        #: Names of starts that have ended.
        self.ended: set[str] = set()
        self._starts = 0

    def start(self, number: int, *, has_born: bool) -> None:
        """Start a server; one with a time of birth may start again."""
        self._starts += 1
        born = self._starts if has_born else None
        name = f'b-{number}' if has_born else f'i-{self._starts}'
        before = self.servers.get(name)
        if before:
            self.ended.add(before.name)
        self.servers[name] = Server(name, born)
        self.beat(self.servers[name])

    def beat(self, server: Server) -> None:
        server.sequence += 1
        put_server(self.session, server.server_id, **server.make_fields())

    def end(self, server: Server) -> None:
        self.servers.pop(server.server_id)
        self.ended.add(server.name)
        self.session.store.remove(SERVER_KIND, server.server_id)

    def settle(self) -> None:
        """Have all servers write again, and all routers learn everything."""
        for stored in tuple(self.session.store.kinds.get(SERVER_KIND, {})):
            if stored not in self.servers:
                self.session.store.remove(SERVER_KIND, stored)
        for server in self.servers.values():
            self.beat(server)
        for board in self.boards:
            read_servers(self.session, board)
            _end_grace(board)
        for asker, peer in itertools.permutations(self.boards, 2):
            exchange(asker, peer)

    def list_entries(self) -> dict[str, int]:
        """List the servers in the store, with their revisions."""
        written = self.session.store.kinds.get(SERVER_KIND, {})
        return {
            name: stored['metadata']['revision']
            for name, stored in written.items()
        }


def _make_seen() -> Seen:
    return Seen(set(), set(), set())


def _end_grace(board: ServingBoard) -> None:
    board.held_until.clear()
    for name in tuple(board.expired_until):
        backends.remove_server(board, name)


def watch(session: StoreSession, board: ServingBoard) -> None:
    """Have a router call one watch, or list anew."""
    board.peers_read.set()
    client = open_store(session, board)
    updater = server_entries.make_updater(board)
    run_until_pause(watches.watch_kind(board, client, updater))


def exchange(asker: ServingBoard, peer: ServingBoard) -> None:
    """Have two routers exchange messages, and the asker fetch a list."""

    async def call(_: Any, method: str, above: int, timeout: float) -> bytes:
        assert method == 'newer_servers'
        return server_lists.encode_newer(peer, above)

    async def run() -> None:
        asked_at = read_clock()
        sent = _speak(asker).build_message()
        _speak(peer).apply_message(sent)
        answer = _speak(peer).build_message()
        message = _speak(asker).apply_message(answer)
        await peer_fetches.fetch_newer(call, asker, message, asked_at)

    asyncio.run(run())


def _speak(board: ServingBoard) -> gossip_messages.GossipMessages:
    return gossip_messages.GossipMessages(board, make_loads())
