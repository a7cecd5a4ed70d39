"""Read responses of backend servers, and the usage they report."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Final, NamedTuple

import aiohttp
import msgspec

from dykemast._internal.exceptions import UpstreamError

#: Upper bound for one event and for one complete response.
MAX_RESPONSE_BYTES: Final = 16_777_216
_EVENT_END: Final = b'\n\n'
_END_MARKER: Final = b'data: [DONE]'


class Event(NamedTuple):
    """One event of a streamed response.

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
    """Read the events of a streamed response, up to its end marker.

    :param response: the response of a backend server.
    :param deadline: time on the event loop's clock by which it must end.
    :returns: its events; the end marker comes last.
    :raises UpstreamError: when it is truncated or an event is too long.
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
    """Read a response's body as it arrives.

    :param response: the response of a backend server.
    :param deadline: time on the event loop's clock by which it must end.
    :returns: its bytes.
    :raises UpstreamError: when the connection fails or the deadline passes.
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
    """Read a complete response.

    :param response: the response of a backend server.
    :param deadline: time on the event loop's clock by which it must end.
    :returns: its body.
    :raises UpstreamError: when it is truncated or too long.
    """
    body = bytearray()
    async for chunk in read_chunks(response, deadline):
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise UpstreamError('the answer is too long.', sent=True)
    return bytes(body)


def find_usage(body: bytes) -> int | None:
    """Find the usage that a response reports.

    :param body: JSON of a response or an event.
    :returns: tokens, or ``None``.
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
