"""Answers of backend servers."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Final, NamedTuple

import aiohttp

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.forwarding import ResponseHead
from dykemast._internal.platform.answer_headers import decode_answer
from dykemast._internal.utils.clock import read_clock

#: Takes note of the head of an answer of a server.
NoteHead = Callable[[BackendServer, ResponseHead], None]

#: Bytes of one answer at most.
MAX_ANSWER: Final = 16_777_216
#: What the client library raises when a connection or an answer fails.
FAILURES: Final = (aiohttp.ClientError, TimeoutError, OSError, ValueError)
_OK: Final = 200
_FIRST_FAILURE: Final = 300


class UpstreamResponse(NamedTuple):
    """An answer that has begun.

    :param head: its head.
    :param response: the rest of it.
    """

    head: ResponseHead
    response: aiohttp.ClientResponse

    async def read_chunks(self, deadline: float) -> AsyncIterator[bytes]:
        """Read the body as it comes.

        :param deadline: seconds on the steady clock by which it has to end.
        :returns: its bytes.
        :raises UpstreamError: when it breaks off, or it is too late.
        """
        while True:
            try:
                async with asyncio.timeout(deadline - read_clock()):
                    chunk = await self.response.content.readany()
            except FAILURES as error:
                text = f'the answer broke off: {type(error).__name__}'
                raise UpstreamError(
                    text, sent=True, broken=is_break(error)
                ) from error
            if not chunk:
                break
            yield chunk
        if not self.head.delimited:
            # The library does not tell an end from a reset here.
            raise UpstreamError(
                'the answer has no length.', sent=True, broken=True
            )

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


def is_break(error: Exception) -> bool:
    """Tell whether a connection ended, rather than time.

    :param error: one of ``FAILURES``.
    :returns: whether it did.
    """
    return not isinstance(error, TimeoutError)


def read_head(
    request_id: str,
    response: aiohttp.ClientResponse,
) -> ResponseHead:
    """Read the head of an answer, and check that it is one to a request.

    :param request_id: id of the request.
    :param response: the answer.
    :returns: its head.
    :raises UpstreamError: when it answers another request.
    """
    head = decode_answer(response.status, response.headers)
    if head.request_id != request_id:
        # Whatever it says, it does not say it of this request.
        raise UpstreamError('answer to another request', sent=True)
    return head


def check_head(head: ResponseHead) -> None:
    """Check that a request ran, by the head of its answer.

    :param head: the head.
    :raises UpstreamError: when it did not; tells whether it may have.
    """
    if head.not_executed:
        raise UpstreamError(
            f'not run, status {head.status}',
            sent=False,
            absent=head.misdirected,
        )
    if _OK <= head.status < _FIRST_FAILURE and not head.signed:
        raise UpstreamError('the answer is not signed', sent=True)
