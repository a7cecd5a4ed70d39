"""Tunnels of this router to backend servers, through peers."""

import asyncio
import random
from collections.abc import Iterable, Mapping
from contextvars import ContextVar
from http import HTTPStatus
from typing import Final

from dykemast._internal.exceptions import NoTunnelError, TunnelError
from dykemast._internal.models import backend, deployment
from dykemast._internal.network.tunnels import (
    Tunnel,
    TunnelRequest,
    open_tunnel,
)
from dykemast._internal.serving.state.board import (
    Peer,
    ServingBoard,
    list_live_peers,
)
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('links')

#: Time for all peers together to open a tunnel, and for one of them, which
#: waits for the server itself.
TUNNEL_TIMEOUT_S: Final = 0.8
PEER_TIMEOUT_S: Final = 0.4
#: Peers asked for one tunnel. Each says at once if it has no link itself.
MAX_PEERS_ASKED: Final = 5
#: Time for which a peer is asked last that opened no tunnel, or whose tunnel
#: broke.
AVOIDED_S: Final = 1.0

#: Instance of the peer that carries the last request of this task; empty for a
#: direct connection.
carrier: ContextVar[str] = ContextVar('carrier', default='')


class PeerTunnels:
    """Opens tunnels through peers.

    :param board: the blackboard.
    """

    def __init__(self, board: ServingBoard) -> None:
        """Start with all peers available."""
        self._board = board
        self._avoided_until: dict[str, float] = {}

    def may_open(
        self, server: backend.BackendServer, *, is_sound: bool = False
    ) -> bool:
        """Check whether there is a peer that may open a tunnel.

        :param server: the server.
        :param is_sound: whether no tunnel of that peer may have just failed.
        :returns: whether there is.
        """
        now = read_clock()
        return any(
            not is_sound
            or self._avoided_until.get(peer.card.instance, now) <= now
            for peer in _list_peers(self._board, server)
        )

    def avoid(self, instance: str) -> None:
        """Ask a peer last for some time.

        :param instance: the peer.
        """
        self._avoided_until[instance] = read_clock() + AVOIDED_S

    async def open(
        self,
        server: backend.BackendServer,
        request_id: str = '',
        time_left: float = TUNNEL_TIMEOUT_S,
    ) -> Tunnel:
        """Open a tunnel to a server.

        :param server: the server.
        :param request_id: id of the request that it is for.
        :param time_left: seconds that it may take, if less than usual.
        :returns: the tunnel.
        :raises ConnectionRefusedError: when no peer opened a tunnel, and the
            server refuses connections of some.
        :raises NoTunnelError: when no peer opened a tunnel.
        """
        request = TunnelRequest(server.endpoint, request_id)
        try:
            async with asyncio.timeout(min(time_left, TUNNEL_TIMEOUT_S)):
                return await self._ask_peers(server, request)
        except TimeoutError as error:
            text = f'no tunnel to server {server.name} in time'
            raise NoTunnelError(text) from error

    async def _ask_peers(
        self, server: backend.BackendServer, request: TunnelRequest
    ) -> Tunnel:
        peers = _order_peers(
            _list_peers(self._board, server), self._avoided_until
        )[:MAX_PEERS_ASKED]
        while peers:
            opened, peers = await self._ask_in_turn(peers, request)
            if opened:
                return opened
        raise NoTunnelError(f'no peer opened a tunnel to server {server.name}')

    async def _ask_in_turn(
        self, peers: Iterable[Peer], request: TunnelRequest
    ) -> tuple[Tunnel | None, list[Peer]]:
        """Ask peers one by one.

        :returns: the tunnel, if any, and the peers that did not answer in time:
            one that was paused may be the only peer whose links are sound.
        """
        refusal = None
        silent = []
        for peer in peers:
            # The link of one peer may be broken as well.
            try:
                opened = await self._ask(peer, request)
            except ConnectionRefusedError as error:
                refusal = error
            except TimeoutError:
                silent.append(peer)
            else:
                if opened:
                    return opened, []
        if refusal:
            raise refusal
        return None, silent

    async def _ask(self, peer: Peer, request: TunnelRequest) -> Tunnel | None:
        details = {
            'request': request.request_id,
            'target': str(request.target),
            'peer': peer.card.instance,
        }
        try:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                opened = await open_tunnel(
                    _find_address(self._board, peer), request
                )
        except (TunnelError, OSError) as error:
            if getattr(error, 'status', 0) == HTTPStatus.BAD_GATEWAY:
                raise ConnectionRefusedError(str(error)) from error
            self.avoid(peer.card.instance)
            reason = f'{type(error).__name__}: {error}'
            _log('tunnel_not_opened', **details, reason=reason)
            if isinstance(error, TimeoutError):
                raise
            return None
        _log('tunnel_used', **details)
        carrier.set(peer.card.instance)
        return opened


def _find_address(board: ServingBoard, peer: Peer) -> deployment.Endpoint:
    # All instances keep the same range of ports free.
    listeners = board.settings.listeners
    listener = listeners.tunnel or listeners.peer
    return listener._replace(host=peer.card.host)


def _list_peers(
    board: ServingBoard, server: backend.BackendServer
) -> list[Peer]:
    """List the peers that may open a tunnel to a server."""
    settings = board.settings
    if settings.listeners.tunnel is None:
        return []
    # Prompts must not pass through a region that neither end is in.
    halls = (settings.hall, server.hall)
    regions = {settings.regions.get(hall) for hall in halls}
    return [
        peer
        for peer in list_live_peers(board)
        if not peer.card.leaving
        and settings.regions.get(peer.card.hall) in regions
    ]


def _order_peers(
    peers: Iterable[Peer], avoided_until: Mapping[str, float]
) -> list[Peer]:
    """Draw the order of peers; much spare capacity is likely first."""
    now = read_clock()

    def rank(peer: Peer) -> tuple[bool, bool, float]:
        load = peer.router_load
        # Exponential variates draw peers in proportion to their spare capacity.
        spare = max(1, load.capacity - load.rate)
        return (
            avoided_until.get(peer.card.instance, now) > now,
            load.exceeds_capacity(),
            random.expovariate(spare),
        )

    return sorted(peers, key=rank)
