"""Sessions of a router with the platform, peers and backend servers."""

from typing import NamedTuple

from dykemast._internal.models.settings import RouterSettings
from dykemast._internal.network.backends import Backends
from dykemast._internal.network.peer_client import PeerClient
from dykemast._internal.network.peer_codec import peer_thrift
from dykemast._internal.network.platform import Platform
from dykemast._internal.network.platform_session import PlatformSession


class Sessions(NamedTuple):
    """Sessions of one router.

    :param transport: connections to the platform.
    :param platform: calls of the platform.
    :param peers: calls to other routers.
    :param backends: calls to backend servers.
    """

    transport: PlatformSession
    platform: Platform
    peers: PeerClient
    backends: Backends

    async def close(self) -> None:
        """Close all connections."""
        self.peers.close()
        await self.backends.close()
        await self.transport.close()


def open_sessions(settings: RouterSettings) -> Sessions:
    """Make the sessions; connections open on first use.

    :param settings: of the router.
    :returns: the sessions.
    """
    transport = PlatformSession(settings['platform'].rstrip('/'))
    return Sessions(
        transport,
        Platform(transport),
        PeerClient(settings['peer_key'], peer_thrift.Peer),
        Backends(),
    )
