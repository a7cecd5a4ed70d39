"""Connections to backend servers."""

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Final, NamedTuple

import aiohttp
import yarl

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.caller_request import CallerRequest
from dykemast._internal.network.sockets import make_socket
from dykemast._internal.platform.headers import (
    AnswerHead,
    Forwarding,
    decode_answer,
    encode_forwarding,
)

#: Seconds to wait for a connection: links take some milliseconds, and one
#: that is lost is only tried again by the system after a second.
CONNECT_TIMEOUT: Final = 0.5
#: Seconds that an idle connection is kept; servers close theirs later.
KEEP_ALIVE: Final = 4.0
#: Bytes of one answer at most.
MAX_ANSWER: Final = 16_777_216
_FAILURES: Final = (aiohttp.ClientError, TimeoutError, OSError, ValueError)
_NO_CONNECTION: Final = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
_OK: Final = 200
_FIRST_FAILURE: Final = 300


class Sending(NamedTuple):
    """What is sent to a backend server.

    :param server: the server.
    :param request: the caller's request.
    :param body: its body.
    :param added: what this router adds.
    :param deadline: seconds on the steady clock by which the answer has to
        have begun.
    """

    server: BackendServer
    request: CallerRequest
    body: bytes
    added: Forwarding
    deadline: float


class Answer(NamedTuple):
    """An answer that has begun.

    :param head: its head.
    :param response: the rest of it.
    """

    head: AnswerHead
    response: aiohttp.ClientResponse

    async def read_chunks(self, deadline: float) -> AsyncIterator[bytes]:
        """Read the body as it comes.

        :param deadline: seconds on the steady clock by which it has to end.
        :returns: its bytes.
        :raises UpstreamError: when it breaks off, or it is too late.
        """
        while True:
            try:
                async with asyncio.timeout(deadline - time.monotonic()):
                    chunk = await self.response.content.readany()
            except _FAILURES as error:
                text = f'the answer broke off: {type(error).__name__}'
                raise UpstreamError(text, sent=True) from error
            if not chunk:
                break
            yield chunk
        if not self.head.delimited:
            # The library does not tell an end from a reset here.
            raise UpstreamError('the answer has no length.', sent=True)

    async def read_whole(self, deadline: float) -> bytes:
        """Read the whole body.

        :param deadline: seconds on the steady clock by which it has to end.
        :returns: the body.
        :raises UpstreamError: when it breaks off or is too long.
        """
        body = bytearray()
        async for chunk in self.read_chunks(deadline):
            body += chunk
            if len(body) > MAX_ANSWER:
                raise UpstreamError('the answer is too long.', sent=True)
        return bytes(body)

    def release(self) -> None:
        """Keep the connection for another request if the body was read."""
        self.response.release()

    def close(self) -> None:
        """Close the connection, so that the server stops its work."""
        self.response.close()


class Upstreams:
    """Pooled connections to backend servers."""

    def __init__(self) -> None:
        """Open no connection yet."""
        self._session: aiohttp.ClientSession | None = None

    async def send(self, sending: Sending) -> Answer:
        """Send a request and wait for the head of the answer.

        :param sending: what to send.
        :returns: the answer.
        :raises UpstreamError: when there is none, or not to this request;
            it tells whether the request may have run.
        """
        try:
            response = await self._request(sending)
        except _NO_CONNECTION as error:
            text = f'no connection: {type(error).__name__}'
            raise UpstreamError(text, sent=False, unconnected=True) from error
        except _FAILURES as error:
            text = f'no answer: {type(error).__name__}'
            raise UpstreamError(text, sent=True) from error
        head = decode_answer(response.status, response.headers)
        problem = _find_problem(sending, head)
        if problem:
            response.close()
            raise problem
        return Answer(head, response)

    async def close(self) -> None:
        """Close all connections."""
        if self._session:
            await self._session.close()

    async def _request(self, sending: Sending) -> aiohttp.ClientResponse:
        if self._session is None:
            self._session = _open_session()
        host, port = sending.server.endpoint
        url = _make_url(f'http://{host}:{port}{sending.request.target}')
        async with asyncio.timeout(sending.deadline - time.monotonic()):
            return await self._session.request(
                sending.request.method,
                url,
                data=sending.body or None,
                headers=encode_forwarding(sending.request, sending.added),
                allow_redirects=False,
            )


def _find_problem(sending: Sending, head: AnswerHead) -> UpstreamError | None:
    if head.request_id != sending.request.request_id:
        # Whatever it says, it does not say it of this request.
        return UpstreamError('answer to another request', sent=True)
    if head.not_run:
        text = f'not run, status {head.status}'
        return UpstreamError(text, sent=False)
    if _OK <= head.status < _FIRST_FAILURE and not head.sealed:
        return UpstreamError('the answer is not signed', sent=True)
    return None


def _make_url(text: str) -> yarl.URL:
    # The path goes on as the caller sent it.
    return yarl.URL(text, encoded=True)


def _open_session() -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            limit=0,
            keepalive_timeout=KEEP_ALIVE,
            socket_factory=make_socket,
        ),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=(
            'User-Agent',
            'Accept',
            'Accept-Encoding',
            'Content-Type',
        ),
    )
    # The library would repeat a GET by itself on a connection that broke;
    # whether a request may run twice is for this router to say.
    session._retry_connection = False
    return session
