"""Paths to backend servers: the direct link, or a tunnel through a peer.

A router that is partitioned from the servers is still reached by its callers,
and its peers reach the servers.
"""

import asyncio
import contextlib
import enum
import random
from typing import Final

from dykemast._internal.exceptions import NoTunnelError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.serving.sending import direct_links
from dykemast._internal.serving.sending.peer_tunnels import PeerTunnels
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('links')

#: Pause between two checks, and links that are checked at a time.
CHECK_INTERVAL_S: Final = 0.5
MAX_LINKS_CHECKED: Final = 4


class ServerState(enum.Enum):
    """Result of a probe of a server."""

    #: It answers this router.
    reached = enum.auto()
    #: It answers a peer only.
    link_broken = enum.auto()
    #: It refuses connections, and not only of this router.
    absent = enum.auto()
    unknown = enum.auto()


class ServerPaths:
    """Chooses between the direct link to a server and tunnels.

    :param board: the blackboard.
    """

    def __init__(self, board: ServingBoard) -> None:
        """Start with all links intact."""
        self.board = board
        self.tunnels = PeerTunnels(board)

    def is_link_broken(self, server: BackendServer) -> bool:
        """Check whether requests to a server should use a tunnel.

        :param server: the server.
        :returns: whether its direct link is likely broken.
        """
        return self.board.links.is_broken(server)

    def record_connected(self, server: BackendServer) -> None:
        """Record a response over a new direct connection.

        :param server: the server.
        """
        now = read_clock()
        since = self.board.links.record_connected(server, now)
        if since is not None:
            _log(
                'links_back',
                service=server.service,
                server=server.name,
                lost_s=round(now - since, 3),
            )

    def record_broken(self, server: BackendServer) -> None:
        """Record that only a peer could connect to a server.

        :param server: the server.
        """
        links = self.board.links
        if not links.is_broken(server):
            _log('link_broken', server=server.name)
        listed = sum(
            one.service == server.service for one in self.board.servers.values()
        )
        if links.record_broken(server, read_clock(), listed):
            _log(
                'links_lost',
                service=server.service,
                servers=list(links.broken),
            )

    def record_reset(self, server: BackendServer) -> None:
        """Record that a new direct connection broke before its response.

        A crash of the server does that as well. If another link has just
        broken, this one is not used until a check shows that it works.

        :param server: the server.
        """
        if self.board.links.broken:
            self.record_broken(server)

    async def confirm_refusal(self, server: BackendServer) -> bool:
        """Check whether other servers accept connections of this router.

        A broken link refuses connections as well.

        :param server: a server that refuses connections.
        :returns: whether they do, or there are none.
        """
        return await direct_links.has_other_link(self.board, server)

    async def probe(
        self,
        server: BackendServer,
        stay_s: float = direct_links.STAY_OPEN_S,
    ) -> ServerState:
        """Check whether a server is absent, or the link to it is broken.

        :param server: the server.
        :param stay_s: seconds for which a connection has to stay open.
        :returns: its state; a timeout proves nothing.
        """
        refused = False
        try:
            await direct_links.check_link(self.board, server, stay_s)
        except OSError as error:
            refused = isinstance(error, ConnectionRefusedError)
        else:
            if not self.is_link_broken(server):
                self.record_connected(server)
            return ServerState.reached
        try:
            return await _check_tunnel(self, server, stay_s)
        except ConnectionRefusedError:
            return ServerState.absent
        except NoTunnelError:
            if refused and await self.confirm_refusal(server):
                return ServerState.absent
        return ServerState.unknown


async def _check_tunnel(
    paths: ServerPaths, server: BackendServer, stay_s: float
) -> ServerState:
    with await paths.tunnels.open(server) as tunnel:
        with contextlib.suppress(OSError):
            await direct_links.check_tunnel(paths.board, server, tunnel, stay_s)
            paths.record_broken(server)
            return ServerState.link_broken
    return ServerState.unknown


async def watch_links(paths: ServerPaths) -> None:
    """Check links that are broken, or may be; never returns.

    :param paths: paths to backend servers.
    """
    board = paths.board
    while True:
        await board.links.pending.wait()
        await asyncio.sleep(CHECK_INTERVAL_S)
        checks = [_check(paths, server) for server in _choose_servers(board)]
        probes = [paths.probe(server) for server in _choose_others(board)]
        await asyncio.gather(*checks, *probes)
        board.links.prune(board.servers)


def _choose_servers(board: ServingBoard) -> list[BackendServer]:
    # Of a service without links not all servers were tried, and those that
    # were may be gone.
    servers = [
        server
        for server in board.servers.values()
        if server.name in board.links.suspects or board.links.is_broken(server)
    ]
    chosen = random.sample(servers, min(MAX_LINKS_CHECKED, len(servers)))
    board.links.suspects.difference_update(one.name for one in chosen)
    return chosen


def _choose_others(board: ServingBoard) -> list[BackendServer]:
    """Choose a server of each service that may be out of reach as well."""
    if not board.links.isolated_since:
        return []
    by_service = {
        server.service: server
        for server in random.sample(
            list(board.servers.values()), len(board.servers)
        )
    }
    return [
        server
        for service, server in by_service.items()
        if service not in board.links.isolated_since
    ]


async def _check(paths: ServerPaths, server: BackendServer) -> None:
    if not paths.is_link_broken(server):
        await paths.probe(server, direct_links.LONG_STAY_S)
        return
    with contextlib.suppress(OSError):
        await direct_links.check_link(
            paths.board, server, direct_links.LONG_STAY_S
        )
        paths.record_connected(server)
