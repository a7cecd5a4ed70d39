"""Connections to backend servers."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

import aiohttp

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.serving.sending.server_paths import ServerPaths
from dykemast._internal.serving.sending.upstream_connections import (
    UpstreamConnections,
)
from dykemast._internal.serving.sending.upstream_request import (
    CheckSend,
    UpstreamRequest,
)
from dykemast._internal.serving.sending import server_connections
from dykemast._internal.serving.sending.upstream_response import (
    RESPONSE_ERRORS,
    BufferedBodies,
    NoteHead,
    UpstreamResponse,
    check_head,
    is_connection_error,
    read_head,
)


class Upstreams:
    """Pooled connections to backend servers.

    :param check_send: raises if a request must not be sent any more.
    :param note_head: records the head of each response.
    :param paths: chooses between direct connections and tunnels.
    """

    def __init__(
        self, check_send: CheckSend, note_head: NoteHead, paths: ServerPaths
    ) -> None:
        """Start without connections."""
        self._check_send = check_send
        self._note_head = note_head
        self._connections = UpstreamConnections(paths)
        self.bodies = BufferedBodies()

    @asynccontextmanager
    async def send(
        self, outgoing: UpstreamRequest
    ) -> AsyncIterator[UpstreamResponse]:
        """Send a request, and keep its connection if the response is complete.

        Otherwise close the connection, so that the server stops its work.

        :param outgoing: the request to the server.
        :yields: the response, after its head was checked.
        :raises UpstreamError: if there is no response to this request; says
            whether the request may have run.
        """
        response = await self._open(outgoing)
        try:
            yield self._make_response(outgoing, response)
        except BaseException:
            response.close()
            raise
        response.release()

    async def close(self) -> None:
        """Close all connections."""
        await self._connections.close()

    def _make_response(
        self,
        outgoing: UpstreamRequest,
        response: aiohttp.ClientResponse,
    ) -> UpstreamResponse:
        head = read_head(outgoing.request.request_id, response)
        self._note_head(outgoing.server, head)
        check_head(head)
        return UpstreamResponse(head, response, self.bodies)

    async def _open(self, outgoing: UpstreamRequest) -> aiohttp.ClientResponse:
        check = partial(self._check_send, outgoing)
        server_connections.pre_send_check.set(check)
        try:
            return await self._connections.request(outgoing)
        except RESPONSE_ERRORS as error:
            is_new = server_connections.is_new_connection.get()
            connection = 'new' if is_new else 'reused'
            kind = type(error).__name__
            text = f'no response on a {connection} connection: {kind}'
            raise UpstreamError(
                text, sent=True, broken=is_connection_error(error)
            ) from error
