"""Requests to backend servers are checked once their connection is open."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from dykemast._internal.exceptions import BackpressureError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.models.forwarding import ResponseHead, ForwardingFields
from dykemast._internal.platform.request_headers import decode_request
from dykemast._internal.serving.sending.upstream_request import UpstreamRequest
from dykemast._internal.serving.sending.upstream import Upstreams
from dykemast._internal.utils.clock import read_clock
from tests.lib.serving_boards import make_paths

HOST = '127.0.0.1'
REQUEST_ID = 'r-1'
TIMEOUT_S = 5.0
RESPONSE = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r-1\r\nX-Response-Seal: s\r\n'
    b'Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n'
)


class Listener:
    """A server that counts connections and keeps the bytes it reads."""

    def __init__(self) -> None:
        self.connections = 0
        self.read = b''

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        self.read += await reader.read(65536)
        if self.read:
            writer.write(RESPONSE)
            await writer.drain()
        writer.close()


@asynccontextmanager
async def listen() -> AsyncIterator[tuple[Listener, UpstreamRequest]]:
    """Listen, and make a request to the listener."""
    listener = Listener()
    server = await asyncio.start_server(listener.serve, HOST, 0)
    async with server:
        yield (
            listener,
            make_upstream_request(server.sockets[0].getsockname()[1]),
        )


def make_upstream_request(port: int) -> UpstreamRequest:
    scope = {
        'method': 'GET',
        'path': '/',
        'raw_path': b'/',
        'query_string': b'',
        'headers': [(b'host', b'h'), (b'x-attempt-id', REQUEST_ID.encode())],
    }
    server = BackendServer(
        'i-1', 'i-1', 'shop', Endpoint(HOST, port), 'north', 6, leaving=False
    )
    now = read_clock()
    added = ForwardingFields('i-1', '', TIMEOUT_S)
    request = decode_request(scope)
    return UpstreamRequest(server, request, b'', added, now + TIMEOUT_S, now)


async def test_a_send_that_is_held_back_writes_nothing() -> None:
    def hold_back(sending: UpstreamRequest) -> None:
        raise BackpressureError('on purpose')

    held = False
    async with listen() as (listener, sending):
        upstreams = Upstreams(
            hold_back, lambda server, head: None, make_paths()
        )
        try:
            async with upstreams.send(sending):
                raise AssertionError('the request was sent')
        except BackpressureError as error:
            held = not error.sent
        await upstreams.close()
        await asyncio.sleep(0.1)
    assert held
    assert listener.connections == 1
    assert not listener.read


async def test_the_head_of_a_response_is_recorded_for_its_server() -> None:
    noted: dict[str, ResponseHead] = {}

    def note_head(server: BackendServer, head: ResponseHead) -> None:
        noted[server.name] = head

    async with listen() as (listener, sending):
        upstreams = Upstreams(lambda made: None, note_head, make_paths())
        async with upstreams.send(sending) as response:
            assert response.head.signed
        await upstreams.close()
    assert b'x-expect-instance: i-1' in listener.read.lower()
    assert noted['i-1'].backpressure.leaving
