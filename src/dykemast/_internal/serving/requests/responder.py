"""Responses to callers, over ASGI."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Final

from dykemast._internal.exceptions import DykemastError
from dykemast._internal.serving.requests.refusals import (
    Headers,
    RefusalCode,
    RefusedError,
)

Receive = Callable[[], Awaitable[Any]]
Send = Callable[[Any], Awaitable[None]]

_CLOSE: Final = (b'connection', b'close')


class TruncatedResponseError(DykemastError):
    """A response cannot be completed: the listener closes its connection."""


class Responder:
    """The response to one request.

    :param send: ASGI send callable.
    :param is_closing: whether the caller should stop using this connection.
    """

    def __init__(self, send: Send, is_closing: Callable[[], bool]) -> None:
        """Make a responder that has not sent anything."""
        self._send = send
        self._is_closing = is_closing
        self.begun = False

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response.

        :param status: HTTP status.
        :param headers: header fields.
        :param body: the body.
        """
        length = (b'content-length', b'%d' % len(body))
        await self.begin(status, [*headers, length])
        await self.write(body, more=False)

    async def refuse(self, error: RefusedError) -> None:
        """Send a refusal.

        A response that has begun is truncated instead, so that it does not look
        complete.

        :param error: the refusal.
        :raises TruncatedResponseError: when a response has begun.
        """
        if self.begun:
            raise TruncatedResponseError(str(error)) from error
        headers, body = error.encode()
        await self.answer(error.code.value.status, headers, body)

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a response.

        :param status: HTTP status.
        :param headers: header fields.
        """
        self.begun = True
        if self._is_closing():
            headers = [*headers, _CLOSE]
        await self._send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': headers,
            }
        )

    async def write(self, body: bytes, *, more: bool) -> None:
        """Send a part of the body.

        :param body: the part.
        :param more: whether more parts follow.
        """
        await self._send(
            {
                'type': 'http.response.body',
                'body': body,
                'more_body': more,
            }
        )


async def read_body(receive: Receive, limit: int) -> bytes:
    """Read the body of a request.

    :param receive: ASGI receive callable.
    :param limit: maximum size in bytes.
    :returns: the body.
    :raises RefusedError: when it is larger.
    :raises ConnectionError: when the caller disconnects.
    """
    body = b''
    more = True
    while more:
        message = await receive()
        if message['type'] != 'http.request':
            raise ConnectionError(
                f'the caller disconnected after {len(body)} bytes of its body.'
            )
        body += message.get('body', b'')
        more = message.get('more_body', False)
        if len(body) > limit:
            raise RefusedError(RefusalCode.too_large, {'limit': limit})
    return body


async def run_until_disconnect(
    work: Coroutine[Any, Any, None],
    receive: Receive,
) -> bool:
    """Serve a request, and cancel it as soon as its caller disconnects.

    :param work: serves the request.
    :param receive: ASGI receive callable.
    :returns: whether it was completed.
    """
    serving = asyncio.create_task(work)
    disconnect = asyncio.create_task(_wait_disconnect(receive))
    try:
        await asyncio.wait(
            (serving, disconnect), return_when=asyncio.FIRST_COMPLETED
        )
    except asyncio.CancelledError:
        disconnect.cancel()
        await _cancel(serving)
        raise
    disconnect.cancel()
    if serving.done():
        serving.result()
        return True
    await _cancel(serving)
    return False


async def _cancel(serving: asyncio.Task[None]) -> None:
    serving.cancel()
    await asyncio.wait((serving,))


async def _wait_disconnect(receive: Receive) -> None:
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
