"""Bytes of servers that never end: the router closes the connection."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from dykemast._internal.exceptions import UpstreamError
from dykemast._internal.serving.sending.upstream import Upstreams
from dykemast._internal.serving.sending.upstream_response import (
    MAX_BUFFERED_BYTES,
    MAX_RESPONSE_BYTES,
)
from dykemast._internal.utils.clock import read_clock
from tests.lib import endless_server
from tests.lib.serving_boards import make_paths
from tests.unit.test_upstreams import TIMEOUT_S, make_upstream_request

#: Bytes that may be on their way in the buffers of both ends.
IN_FLIGHT_BYTES = 16_777_216
#: Responses that would hold more than the limit together.
MANY = 12
CLOSED_S = 2.0
PAUSE_S = 0.002
BODIES = 3


async def fetch(
    upstreams: Upstreams, server: endless_server.EndlessServer
) -> UpstreamError:
    """Read a response that can only fail, and return its error."""
    outgoing = make_upstream_request(server.port)
    deadline = read_clock() + TIMEOUT_S
    try:
        async with upstreams.send(outgoing) as response:
            await response.read_whole(deadline)
    except UpstreamError as error:
        return error
    raise AssertionError('a response without an end ended')


async def fetch_endless(answer: endless_server.Answer) -> UpstreamError:
    """Read an answer without an end; check that its connection is closed."""
    upstreams = Upstreams(lambda _: None, lambda *_: None, make_paths())
    async with endless_server.listen(answer) as server:
        error = await fetch(upstreams, server)
        async with asyncio.timeout(CLOSED_S):
            while server.open:
                await asyncio.sleep(0)
    await upstreams.close()
    assert server.sent_bytes <= IN_FLIGHT_BYTES, server.sent_bytes
    return error


async def test_interim_responses_without_end_are_not_read_on() -> None:
    error = await fetch_endless(endless_server.INTERIM_RESPONSES)
    assert 'EndlessResponseError' in str(error)
    assert error.sent
    assert not error.broken


async def test_a_chunk_extension_without_end_is_not_read_on() -> None:
    error = await fetch_endless(endless_server.CHUNK_EXTENSION)
    assert 'EndlessResponseError' in str(error)
    assert not error.broken


async def test_a_later_chunk_extension_without_end_is_not_read_on() -> None:
    error = await fetch_endless(endless_server.LATE_EXTENSION)
    assert 'EndlessResponseError' in str(error)
    assert not error.broken


@asynccontextmanager
async def watch_held(upstreams: Upstreams) -> AsyncIterator[list[int]]:
    """Note the bytes of bodies in progress, again and again."""
    held: list[int] = []

    async def watch() -> None:
        while True:
            held.append(upstreams.bodies.held)
            await asyncio.sleep(0)

    watching = asyncio.create_task(watch())
    yield held
    watching.cancel()


async def test_many_bodies_without_end_do_not_fill_the_memory() -> None:
    upstreams = Upstreams(lambda _: None, lambda *_: None, make_paths())
    async with (
        endless_server.listen(endless_server.BODY) as server,
        watch_held(upstreams) as held,
    ):
        calls = [fetch(upstreams, server) for _ in range(MANY)]
        errors = [str(error) for error in await asyncio.gather(*calls)]
    assert MAX_RESPONSE_BYTES < max(held) <= MAX_BUFFERED_BYTES, max(held)
    assert upstreams.bodies.held == 0
    assert any(str(MAX_BUFFERED_BYTES) in text for text in errors), errors
    await upstreams.close()


async def read_slowly(
    upstreams: Upstreams, server: endless_server.FiniteServer
) -> int:
    """Read a body that arrives faster than it is read; return its length."""
    outgoing = make_upstream_request(server.port)
    length = 0
    async with upstreams.send(outgoing) as response:
        async for chunk in response.read_chunks(read_clock() + TIMEOUT_S):
            length += len(chunk)
            await asyncio.sleep(PAUSE_S)
    return length


async def test_long_bodies_that_are_read_slowly_are_whole() -> None:
    upstreams = Upstreams(lambda _: None, lambda *_: None, make_paths())
    async with endless_server.listen_finite() as server:
        lengths = [await read_slowly(upstreams, server) for _ in range(BODIES)]
    await upstreams.close()
    assert lengths == [endless_server.BODY_BYTES for _ in range(BODIES)]
    assert server.connections == 1
