"""Connections to backend servers."""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from typing import Final, NamedTuple

import aiohttp
import yarl

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.caller_request import CallerRequest
from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.models.forwarding import AnswerHead, Forwarding
from dykemast._internal.network.sockets import make_socket
from dykemast._internal.platform.answer_headers import decode_answer
from dykemast._internal.platform.request_headers import encode_forwarding

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
#: Fields that the library would add by itself.
_LIBRARY_FIELDS: Final = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
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


class Upstreams:
    """Pooled connections to backend servers."""

    def __init__(self) -> None:
        """Open no connection yet."""
        self._session: aiohttp.ClientSession | None = None

    @contextlib.asynccontextmanager
    async def send(self, sending: Sending) -> AsyncIterator[Answer]:
        """Send a request; its connection is kept if the answer is whole.

        Else it is closed, so that the server stops its work.

        :param sending: what to send.
        :yields: the answer that has begun.
        :raises UpstreamError: when there is none, or not to this request;
            it tells whether the request may have run.
        """
        response = await self._open(sending)
        try:
            yield Answer(_check_head(sending, response), response)
        except BaseException:
            response.close()
            raise
        response.release()

    async def close(self) -> None:
        """Close all connections."""
        if self._session:
            await self._session.close()

    async def _open(self, sending: Sending) -> aiohttp.ClientResponse:
        try:
            return await self._request(sending)
        except _NO_CONNECTION as error:
            text = f'no connection: {type(error).__name__}'
            raise UpstreamError(text, sent=False, unconnected=True) from error
        except _FAILURES as error:
            text = f'no answer: {type(error).__name__}'
            raise UpstreamError(text, sent=True) from error

    async def _request(self, sending: Sending) -> aiohttp.ClientResponse:
        if self._session is None:
            self._session = _open_session()
        request = sending.request
        async with asyncio.timeout(sending.deadline - time.monotonic()):
            return await self._session.request(
                request.method,
                _make_url(sending.server.endpoint, request.target),
                data=sending.body or None,
                headers=encode_forwarding(request, sending.added),
                allow_redirects=False,
            )


def _check_head(
    sending: Sending,
    response: aiohttp.ClientResponse,
) -> AnswerHead:
    head = decode_answer(response.status, response.headers)
    if head.request_id != sending.request.request_id:
        # Whatever it says, it does not say it of this request.
        raise UpstreamError('answer to another request', sent=True)
    if head.not_run:
        raise UpstreamError(f'not run, status {head.status}', sent=False)
    if _OK <= head.status < _FIRST_FAILURE and not head.signed:
        raise UpstreamError('the answer is not signed', sent=True)
    return head


def _make_url(endpoint: Endpoint, target: str) -> yarl.URL:
    # The path goes on as the caller sent it.
    return yarl.URL(f'http://{endpoint}{target}', encoded=True)


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
        skip_auto_headers=_LIBRARY_FIELDS,
    )
    # The library would repeat a GET by itself on a connection that broke;
    # whether a request may run twice is for this router to say.
    session._retry_connection = False
    return session
