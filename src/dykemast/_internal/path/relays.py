"""Pass an answer on, and learn from it what was consumed."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Final, NamedTuple

import aiohttp
import msgspec

from dykemast._internal.exceptions import UpstreamError

#: Bytes of one event, or of one whole answer, at most.
MAX_RESPONSE_BYTES: Final = 16_777_216
#: What ends an event of a stream.
_EVENT_END: Final = b'\n\n'
_END_MARKER: Final = b'data: [DONE]'


class Event(NamedTuple):
    """One event of a streamed answer.

    :param body: its bytes, with the blank line that ends it.
    :param usage: tokens consumed, where the event reports them.
    :param last: whether it is the end marker.
    """

    body: bytes
    usage: int | None = None
    last: bool = False


async def read_events(
    response: aiohttp.ClientResponse,
    deadline: float,
) -> AsyncIterator[Event]:
    """Read the events of a streamed answer, up to its end marker.

    :param response: the answer of a backend server.
    :param deadline: seconds on the loop's clock by which it has to end.
    :returns: its events; the end marker comes last.
    :raises UpstreamError: when the answer breaks off before.
    """
    rest = b''
    async for chunk in read_chunks(response, deadline):
        *bodies, rest = (rest + chunk).split(_EVENT_END)
        for body in bodies:
            event = _read_event(body)
            yield event
            if event.last:
                return
        if len(rest) > MAX_RESPONSE_BYTES:
            raise UpstreamError('an event is too long.', sent=True)
    raise UpstreamError('the stream ended without its end marker.', sent=True)


async def read_chunks(
    response: aiohttp.ClientResponse,
    deadline: float,
) -> AsyncIterator[bytes]:
    """Read an answer's body as it comes.

    :param response: the answer of a backend server.
    :param deadline: seconds on the loop's clock by which it has to end.
    :returns: its bytes.
    :raises UpstreamError: when the connection breaks, or it is too late.
    """
    chunks = response.content.iter_any()
    while True:
        try:
            chunk = await _read_chunk(chunks, deadline)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            text = f'the answer broke off: {type(error).__name__}.'
            raise UpstreamError(text, sent=True) from error
        if not chunk:
            return
        yield chunk


async def _read_chunk(chunks: AsyncIterator[bytes], deadline: float) -> bytes:
    async with asyncio.timeout_at(deadline):
        return await anext(chunks, b'')


async def read_whole(
    response: aiohttp.ClientResponse,
    deadline: float,
) -> bytes:
    """Read a whole answer.

    :param response: the answer of a backend server.
    :param deadline: seconds on the loop's clock by which it has to end.
    :returns: its body.
    :raises UpstreamError: when it breaks off or is too long.
    """
    body = bytearray()
    async for chunk in read_chunks(response, deadline):
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise UpstreamError('the answer is too long.', sent=True)
    return bytes(body)


def find_usage(body: bytes) -> int | None:
    """Find what an answer says was consumed.

    :param body: JSON of an answer or an event.
    :returns: tokens, or nothing.
    """
    try:
        fields = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.MsgspecError:
        return None
    usage = fields.get('usage') or {}
    total = usage.get('total_tokens') if isinstance(usage, dict) else None
    return total if isinstance(total, int) and total >= 0 else None


def _read_event(body: bytes) -> Event:
    whole = body + _EVENT_END
    if body.strip() == _END_MARKER:
        return Event(whole, last=True)
    if b'"usage"' not in body:
        return Event(whole)
    return Event(whole, usage=find_usage(body.strip().removeprefix(b'data: ')))
