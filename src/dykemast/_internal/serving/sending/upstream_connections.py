"""Requests over direct connections, or through tunnels where links broke."""

from typing import Final

import aiohttp

from dykemast._internal.exceptions import NoTunnelError, UpstreamError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.network.tunnels import Tunnel
from dykemast._internal.serving.sending import (
    server_connections,
    upstream_session,
)
from dykemast._internal.serving.sending.peer_tunnels import carrier
from dykemast._internal.serving.sending.server_paths import ServerPaths
from dykemast._internal.serving.sending.upstream_request import UpstreamRequest
from dykemast._internal.serving.sending.upstream_response import (
    RESPONSE_ERRORS,
    is_connection_error,
)
from dykemast._internal.utils.clock import read_clock

_NO_CONNECTION: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class UpstreamConnections:
    """Connections to backend servers.

    :param paths: chooses between direct connections and tunnels.
    """

    def __init__(self, paths: ServerPaths) -> None:
        """Start without connections."""
        self._paths = paths
        self._sessions = upstream_session.UpstreamSessions()

    async def request(
        self, outgoing: UpstreamRequest
    ) -> aiohttp.ClientResponse:
        """Send a request.

        :param outgoing: the request.
        :returns: the response, with its body still to read.
        :raises UpstreamError: if there is no connection to the server.
        """
        server = outgoing.server
        carrier.set('')
        if outgoing.avoids_link or self._paths.is_link_broken(server):
            tunnel = await self._open_tunnel(outgoing)
            if tunnel is None:
                return await self._request_without_peer(outgoing)
        else:
            try:
                return await self._request_directly(outgoing)
            except _NO_CONNECTION as error:
                tunnel = await self._replace_link(outgoing, error)
        return await self._sessions.request_through(outgoing, tunnel)

    async def close(self) -> None:
        """Close all connections."""
        await self._sessions.close()

    async def _request_directly(
        self, outgoing: UpstreamRequest
    ) -> aiohttp.ClientResponse:
        server = outgoing.server
        timeout = upstream_session.CONNECT_TIMEOUT_S
        if self._paths.tunnels.may_open(server):
            timeout = upstream_session.SHORT_CONNECT_TIMEOUT_S
        try:
            response = await self._sessions.request_directly(outgoing, timeout)
        except _NO_CONNECTION:
            raise
        except RESPONSE_ERRORS as error:
            if is_connection_error(error) and _is_connection_new():
                self._paths.record_reset(server)
            raise
        # Where the link is broken, only a check shows that it works again.
        if _is_connection_new() and not self._paths.is_link_broken(server):
            self._paths.record_connected(server)
        return response

    async def _open_tunnel(self, outgoing: UpstreamRequest) -> Tunnel | None:
        """Open a tunnel to a server, if a peer can."""
        try:
            return await self._paths.tunnels.open(
                outgoing.server,
                outgoing.request.request_id,
                outgoing.deadline - read_clock(),
            )
        except NoTunnelError:
            return None
        except ConnectionRefusedError as error:
            raise _make_unconnected(error, absent=True) from error

    async def _request_without_peer(
        self, outgoing: UpstreamRequest
    ) -> aiohttp.ClientResponse:
        """Try the direct link although it may be broken."""
        try:
            return await self._request_directly(outgoing)
        except _NO_CONNECTION as error:
            failure = await _make_failure(self._paths, outgoing.server, error)
            raise failure from error

    async def _replace_link(
        self, outgoing: UpstreamRequest, error: Exception
    ) -> Tunnel:
        """Open a tunnel in place of a direct connection that failed."""
        tunnel = await self._open_tunnel(outgoing)
        if tunnel is None:
            failure = await _make_failure(self._paths, outgoing.server, error)
            raise failure from error
        if _is_refused(error):
            # The server may have been started again since.
            times = self._paths.board.broken.times
            times.record(outgoing.server.name, read_clock())
        self._paths.record_broken(outgoing.server)
        return tunnel


async def _make_failure(
    paths: ServerPaths, server: BackendServer, error: Exception
) -> UpstreamError:
    """Make the error of a server that neither end could connect to."""
    absent = _is_refused(error)
    if absent:
        absent = await paths.confirm_refusal(server)
    return _make_unconnected(error, absent=absent)


def _is_connection_new() -> bool:
    return server_connections.is_new_connection.get()


def _make_unconnected(error: Exception, *, absent: bool) -> UpstreamError:
    return UpstreamError(
        f'cannot connect: {_describe_cause(error)}',
        sent=False,
        unconnected=True,
        absent=absent,
    )


def _describe_cause(error: Exception) -> str:
    """Describe why there is no connection, with the error of the system."""
    cause = getattr(error, 'os_error', None)
    kind = type(error).__name__
    return f'{kind}, {type(cause).__name__} {cause.errno}' if cause else kind


def _is_refused(error: Exception) -> bool:
    """Check whether the connection was refused, not lost or timed out."""
    cause = getattr(error, 'os_error', None)
    return isinstance(cause, ConnectionRefusedError)
