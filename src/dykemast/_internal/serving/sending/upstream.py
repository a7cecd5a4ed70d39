"""Connections to backend servers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from typing import Final

import aiohttp

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.platform.request_headers import encode_forwarding
from dykemast._internal.serving.sending.upstream_request import (
    CheckSend,
    UpstreamRequest,
)
from dykemast._internal.serving.sending.upstream_session import (
    is_new_connection,
    make_url,
    open_session,
    pre_send_check,
)
from dykemast._internal.serving.sending.upstream_response import (
    RESPONSE_ERRORS,
    UpstreamResponse,
    NoteHead,
    check_head,
    is_connection_error,
    read_head,
)
from dykemast._internal.utils.clock import read_clock

_NO_CONNECTION: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class Upstreams:
    """Pooled connections to backend servers.

    :param check_send: raises if a request must not be sent any more.
    :param note_head: records the head of each response.
    """

    def __init__(self, check_send: CheckSend, note_head: NoteHead) -> None:
        """Start without connections."""
        self._check_send = check_send
        self._note_head = note_head
        self._session: aiohttp.ClientSession | None = None

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
        if self._session:
            await self._session.close()

    def _make_response(
        self,
        outgoing: UpstreamRequest,
        response: aiohttp.ClientResponse,
    ) -> UpstreamResponse:
        head = read_head(outgoing.request.request_id, response)
        self._note_head(outgoing.server, head)
        check_head(head)
        return UpstreamResponse(head, response)

    async def _open(self, outgoing: UpstreamRequest) -> aiohttp.ClientResponse:
        try:
            return await self._request(outgoing)
        except _NO_CONNECTION as error:
            text = f'cannot connect: {describe_cause(error)}'
            raise UpstreamError(
                text,
                sent=False,
                unconnected=True,
                absent=_is_refused(error),
            ) from error
        except RESPONSE_ERRORS as error:
            connection = 'new' if is_new_connection.get() else 'reused'
            kind = type(error).__name__
            text = f'no response on a {connection} connection: {kind}'
            raise UpstreamError(
                text,
                sent=True,
                broken=is_connection_error(error),
            ) from error

    async def _request(
        self, outgoing: UpstreamRequest
    ) -> aiohttp.ClientResponse:
        if self._session is None:
            self._session = open_session()
        request = outgoing.request
        pre_send_check.set(partial(self._check_send, outgoing))
        is_new_connection.set(False)
        async with asyncio.timeout(outgoing.deadline - read_clock()):
            return await self._session.request(
                request.method,
                make_url(outgoing.server.endpoint, request.target),
                data=outgoing.body or None,
                headers=encode_forwarding(request, outgoing.added),
                allow_redirects=False,
            )


def describe_cause(error: Exception) -> str:
    """Describe why there is no connection.

    :param error: error of the client library.
    :returns: its type, and the error of the system if there is one.
    """
    cause = getattr(error, 'os_error', None)
    kind = type(error).__name__
    return f'{kind}, {type(cause).__name__} {cause.errno}' if cause else kind


def _is_refused(error: Exception) -> bool:
    """Check whether the connection was refused, not lost or timed out."""
    cause = getattr(error, 'os_error', None)
    return isinstance(cause, ConnectionRefusedError)
