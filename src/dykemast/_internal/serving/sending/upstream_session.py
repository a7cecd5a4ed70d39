"""HTTP sessions with backend servers: direct ones, and through tunnels."""

import asyncio
import contextlib
from typing import Final

import aiohttp
import yarl

from dykemast._internal.network.sockets import make_socket
from dykemast._internal.network.tunnels import Tunnel
from dykemast._internal.platform.request_headers import encode_forwarding
from dykemast._internal.serving.sending.server_connections import (
    CheckedRequest,
    DirectConnector,
    TunnelConnector,
    is_new_connection,
    tunnel_socket,
)
from dykemast._internal.serving.sending.upstream_request import UpstreamRequest
from dykemast._internal.utils.clock import read_clock

#: Connecting takes a few milliseconds, and the system retransmits a lost packet
#: only after a second. Shorter where a peer may connect instead.
CONNECT_TIMEOUT_S: Final = 0.5
SHORT_CONNECT_TIMEOUT_S: Final = 0.2
#: Shorter than the idle timeout of servers, which would close first otherwise.
KEEP_ALIVE_S: Final = 4.0
#: Header fields that the library adds by default.
_LIBRARY_FIELDS: Final = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)


class UpstreamSessions:
    """The sessions of a router, opened when they are first used."""

    def __init__(self) -> None:
        """Start without connections."""
        self._direct: aiohttp.ClientSession | None = None
        self._tunnels: aiohttp.ClientSession | None = None

    async def request_directly(
        self, outgoing: UpstreamRequest, connect_timeout: float
    ) -> aiohttp.ClientResponse:
        """Send a request over a pooled or new connection.

        :param outgoing: the request.
        :param connect_timeout: seconds that a new connection may take.
        :returns: the response, with its body still to read.
        """
        if self._direct is None:
            self._direct = _open_session(
                DirectConnector(
                    limit=0,
                    keepalive_timeout=KEEP_ALIVE_S,
                    socket_factory=make_socket,
                )
            )
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout
        )
        return await _request(self._direct, outgoing, timeout)

    async def request_through(
        self, outgoing: UpstreamRequest, tunnel: Tunnel
    ) -> aiohttp.ClientResponse:
        """Send a request through a tunnel.

        :param outgoing: the request.
        :param tunnel: the tunnel, which is closed after the response.
        :returns: the response, with its body still to read.
        """
        if self._tunnels is None:
            self._tunnels = _open_session(
                TunnelConnector(limit=0, force_close=True)
            )
        tunnel_socket.set(tunnel)
        with contextlib.ExitStack() as at_end:
            at_end.callback(_close_unused_tunnel)
            return await _request(
                self._tunnels, outgoing, aiohttp.ClientTimeout(total=None)
            )

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._direct, self._tunnels):
            if session:
                await session.close()


async def _request(
    session: aiohttp.ClientSession,
    outgoing: UpstreamRequest,
    timeout: aiohttp.ClientTimeout,
) -> aiohttp.ClientResponse:
    request = outgoing.request
    endpoint = outgoing.server.endpoint
    is_new_connection.set(False)
    async with asyncio.timeout(outgoing.deadline - read_clock()):
        return await session.request(
            request.method,
            # The target is forwarded exactly as the caller sent it.
            yarl.URL(f'http://{endpoint}{request.target}', encoded=True),
            data=outgoing.body or None,
            headers=encode_forwarding(request, outgoing.added),
            allow_redirects=False,
            timeout=timeout,
        )


def _close_unused_tunnel() -> None:
    tunnel = tunnel_socket.get()
    if tunnel:
        tunnel_socket.set(None)
        tunnel.close()


def _open_session(connector: aiohttp.BaseConnector) -> aiohttp.ClientSession:
    """Open a session that adds nothing to requests."""
    session = aiohttp.ClientSession(
        connector=connector,
        request_class=CheckedRequest,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_LIBRARY_FIELDS,
    )
    # The library retries a GET when its connection breaks; only the router
    # decides whether a request may run twice.
    session._retry_connection = False
    return session
