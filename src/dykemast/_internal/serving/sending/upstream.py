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
    before_bytes,
    make_url,
    open_session,
)
from dykemast._internal.serving.sending.upstream_response import (
    FAILURES,
    UpstreamResponse,
    NoteHead,
    check_head,
    is_break,
    read_head,
)
from dykemast._internal.utils.clock import read_clock

_NO_CONNECTION: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)


class Upstreams:
    """Pooled connections to backend servers.

    :param check_send: raises when a send must not go out after all.
    :param note_head: takes note of the head of each answer.
    """

    def __init__(self, check_send: CheckSend, note_head: NoteHead) -> None:
        """Open no connection yet."""
        self._check_send = check_send
        self._note_head = note_head
        self._session: aiohttp.ClientSession | None = None

    @asynccontextmanager
    async def send(
        self, sending: UpstreamRequest
    ) -> AsyncIterator[UpstreamResponse]:
        """Send a request; its connection is kept if the answer is whole.

        Else it is closed, so that the server stops its work.

        :param sending: what to send.
        :yields: the answer that has begun.
        :raises UpstreamError: when there is none, or not to this request;
            it tells whether the request may have run.
        """
        response = await self._open(sending)
        try:
            yield self._begin_answer(sending, response)
        except BaseException:
            response.close()
            raise
        response.release()

    async def close(self) -> None:
        """Close all connections."""
        if self._session:
            await self._session.close()

    def _begin_answer(
        self,
        sending: UpstreamRequest,
        response: aiohttp.ClientResponse,
    ) -> UpstreamResponse:
        head = read_head(sending.request.request_id, response)
        self._note_head(sending.server, head)
        check_head(head)
        return UpstreamResponse(head, response)

    async def _open(self, sending: UpstreamRequest) -> aiohttp.ClientResponse:
        try:
            return await self._request(sending)
        except _NO_CONNECTION as error:
            text = f'no connection: {type(error).__name__}'
            raise UpstreamError(
                text,
                sent=False,
                unconnected=True,
                absent=_is_refused(error),
            ) from error
        except FAILURES as error:
            text = f'no answer: {type(error).__name__}'
            raise UpstreamError(
                text, sent=True, broken=is_break(error)
            ) from error

    async def _request(
        self, sending: UpstreamRequest
    ) -> aiohttp.ClientResponse:
        if self._session is None:
            self._session = open_session()
        request = sending.request
        before_bytes.set(partial(self._check_send, sending))
        async with asyncio.timeout(sending.deadline - read_clock()):
            return await self._session.request(
                request.method,
                make_url(sending.server.endpoint, request.target),
                data=sending.body or None,
                headers=encode_forwarding(request, sending.added),
                allow_redirects=False,
            )


def _is_refused(error: Exception) -> bool:
    """Tell whether nobody listens at the address, rather than silence."""
    cause = getattr(error, 'os_error', None)
    return isinstance(cause, ConnectionRefusedError)
