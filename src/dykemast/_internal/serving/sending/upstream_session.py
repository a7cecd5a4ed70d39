"""HTTP sessions with backend servers: direct ones, and through tunnels."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any, Final

import aiohttp
import yarl

from dykemast._internal.network.sockets import make_socket
from dykemast._internal.platform.request_headers import encode_forwarding
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
Check = Callable[[], None]
#: Raises if the request of the current task must not be sent any more.
pre_send_check: Final[ContextVar[Check]] = ContextVar('before_bytes')
#: Whether the request of the current task opened its connection.
is_new_connection: Final[ContextVar[bool]] = ContextVar(
    'is_new_connection', default=False
)
#: Tunnel that the request of the current task uses.
tunnel_socket: Final[ContextVar[socket.socket | None]] = ContextVar(
    'tunnel_socket', default=None
)


class _CheckedRequest(aiohttp.ClientRequest):
    """A request that is checked once its connection is open."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Check the request, then write it."""
        pre_send_check.get()()
        return await super().send(conn)


class _Connector(aiohttp.TCPConnector):
    """Pool of connections that tells which requests open one."""

    async def _create_connection(self, *options: Any) -> Any:
        is_new_connection.set(True)
        return await super()._create_connection(*options)


class _TunnelConnector(aiohttp.BaseConnector):
    """Uses the tunnel of each request; keeps none for later requests."""

    async def _create_connection(self, *_: Any) -> Any:
        is_new_connection.set(True)
        tunnel = tunnel_socket.get()
        tunnel_socket.set(None)
        loop = asyncio.get_running_loop()
        opened = await loop.create_connection(self._factory, sock=tunnel)
        return opened[1]


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
                _Connector(
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
        self, outgoing: UpstreamRequest, tunnel: socket.socket
    ) -> aiohttp.ClientResponse:
        """Send a request through a tunnel.

        :param outgoing: the request.
        :param tunnel: the tunnel, which is closed after the response.
        :returns: the response, with its body still to read.
        """
        if self._tunnels is None:
            self._tunnels = _open_session(
                _TunnelConnector(limit=0, force_close=True)
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
        request_class=_CheckedRequest,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_LIBRARY_FIELDS,
    )
    # The library retries a GET when its connection breaks; only the router
    # decides whether a request may run twice.
    session._retry_connection = False
    return session
