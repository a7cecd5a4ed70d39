"""Answers to callers, over ASGI."""

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
    """An answer cannot be finished: the listener closes its connection."""


class Responder:
    """The answer to one request.

    :param send: ASGI's.
    :param is_closing: whether the caller should use this connection no more.
    """

    def __init__(self, send: Send, is_closing: Callable[[], bool]) -> None:
        """Send nothing yet."""
        self._send = send
        self._is_closing = is_closing
        self.begun = False

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer.

        :param status: HTTP status.
        :param headers: header fields.
        :param body: the body.
        """
        length = (b'content-length', b'%d' % len(body))
        await self.begin(status, [*headers, length])
        await self.write(body, more=False)

    async def refuse(self, error: RefusedError) -> None:
        """Send a refusal.

        An answer that has begun is cut off instead: it must not look whole.

        :param error: the refusal.
        :raises TruncatedResponseError: when an answer has begun.
        """
        if self.begun:
            raise TruncatedResponseError(str(error)) from error
        headers, body = error.encode()
        await self.answer(error.code.value.status, headers, body)

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer.

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
        :param more: whether there is more to come.
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

    :param receive: ASGI's.
    :param limit: bytes that it may have.
    :returns: the body.
    :raises RefusedError: when it is longer.
    :raises ConnectionError: when the caller has left.
    """
    body = b''
    more = True
    while more:
        message = await receive()
        if message['type'] != 'http.request':
            raise ConnectionError('the caller left before its body was whole.')
        body += message.get('body', b'')
        more = message.get('more_body', False)
        if len(body) > limit:
            raise RefusedError(RefusalCode.too_large, {'limit': limit})
    return body


async def run_until_left(
    work: Coroutine[Any, Any, None],
    receive: Receive,
) -> bool:
    """Serve a request; give up at once when its caller leaves.

    :param work: serves it.
    :param receive: ASGI's.
    :returns: whether it was served to the end.
    """
    serving = asyncio.create_task(work)
    leaving = asyncio.create_task(_wait_left(receive))
    try:
        await asyncio.wait(
            (serving, leaving), return_when=asyncio.FIRST_COMPLETED
        )
    except asyncio.CancelledError:
        leaving.cancel()
        await _give_up(serving)
        raise
    leaving.cancel()
    if serving.done():
        serving.result()
        return True
    await _give_up(serving)
    return False


async def _give_up(serving: asyncio.Task[None]) -> None:
    serving.cancel()
    await asyncio.wait((serving,))


async def _wait_left(receive: Receive) -> None:
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()
