"""Responses of backend servers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator
from typing import Final, NamedTuple

import aiohttp

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.forwarding import ResponseHead
from dykemast._internal.platform.answer_headers import decode_answer
from dykemast._internal.serving.sending.server_connections import (
    EndlessResponseError,
)
from dykemast._internal.utils.clock import read_clock

#: Records the head of a response of a server.
NoteHead = Callable[[BackendServer, ResponseHead], None]

MAX_RESPONSE_BYTES: Final = 16_777_216
#: Limit for all responses that are read as a whole at the same time.
MAX_BUFFERED_BYTES: Final = 4 * MAX_RESPONSE_BYTES
#: Exceptions of the client library for a failed connection or response.
RESPONSE_ERRORS: Final = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    ValueError,
)
_OK: Final = 200
_FIRST_FAILURE: Final = 300


class BufferedBodies:
    """Counts the bytes of bodies that are being read as a whole."""

    def __init__(self) -> None:
        """Start with none."""
        self.held = 0

    def add(self, size: int) -> None:
        """Count more bytes of a body.

        :param size: number of bytes.
        :raises UpstreamError: if all bodies together are too long.
        """
        if self.held + size > MAX_BUFFERED_BYTES:
            raise UpstreamError(
                f'responses in progress exceed {MAX_BUFFERED_BYTES} bytes',
                sent=True,
            )
        self.held += size

    @contextlib.contextmanager
    def count(self, body: bytearray) -> Iterator[None]:
        """Count a body while it is read.

        :param body: what has arrived, each part of which was added.
        """
        with contextlib.ExitStack() as at_end:
            at_end.callback(lambda: self._remove(len(body)))
            yield

    def _remove(self, size: int) -> None:
        self.held -= size


class UpstreamResponse(NamedTuple):
    """A response whose head has arrived.

    :param head: its head.
    :param response: the response, with its body still to read.
    :param bodies: counts the bytes of all bodies.
    """

    head: ResponseHead
    response: aiohttp.ClientResponse
    bodies: BufferedBodies

    async def read_chunks(self, deadline: float) -> AsyncIterator[bytes]:
        """Read the body in chunks as they arrive.

        :param deadline: seconds on the monotonic clock by which it has to end.
        :returns: the chunks.
        :raises UpstreamError: if the body is truncated or late.
        """
        while True:
            try:
                async with asyncio.timeout(deadline - read_clock()):
                    chunk = await self.response.content.readany()
            except RESPONSE_ERRORS as error:
                text = f'response truncated: {type(error).__name__}'
                raise UpstreamError(
                    text, sent=True, broken=is_connection_error(error)
                ) from error
            if not chunk:
                break
            yield chunk

    async def read_whole(self, deadline: float) -> bytes:
        """Read the whole body.

        :param deadline: seconds on the monotonic clock by which it has to end.
        :returns: the body.
        :raises UpstreamError: if it is truncated, late or too long.
        """
        body = bytearray()
        with self.bodies.count(body):
            async for chunk in self.read_chunks(deadline):
                self.bodies.add(len(chunk))
                body += chunk
                _check_length(body)
        return bytes(body)


def is_connection_error(error: Exception) -> bool:
    """Check whether a connection failed, as opposed to a timeout.

    :param error: one of ``RESPONSE_ERRORS``.
    :returns: whether the connection failed, and not because of this router.
    """
    return not isinstance(error, (TimeoutError, EndlessResponseError))


def read_head(
    request_id: str,
    response: aiohttp.ClientResponse,
) -> ResponseHead:
    """Read the head of a response, and check which request it belongs to.

    :param request_id: id of the request.
    :param response: the response.
    :returns: its head.
    :raises UpstreamError: if it belongs to another request.
    """
    head = decode_answer(response.status, response.headers)
    if head.request_id != request_id:
        # Its status says nothing about this request.
        raise UpstreamError('response to another request', sent=True)
    return head


def check_head(head: ResponseHead) -> None:
    """Check by the head of its response that a request ran.

    :param head: the head.
    :raises UpstreamError: if it did not run, or the response is unsigned; says
        whether it may have run.
    """
    if head.not_executed:
        raise UpstreamError(
            f'not executed, status {head.status}',
            sent=False,
            absent=head.misdirected,
        )
    if _OK <= head.status < _FIRST_FAILURE and not head.signed:
        raise UpstreamError('response is not signed', sent=True)


def _check_length(body: bytearray) -> None:
    if len(body) > MAX_RESPONSE_BYTES:
        text = f'response exceeds {MAX_RESPONSE_BYTES} bytes'
        raise UpstreamError(text, sent=True)
