"""Stand-ins for servers whose answers never end, or are long.

The first sends until the connection is closed, so the bytes that it has sent
tell when the router closed it.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import NamedTuple

HOST = '127.0.0.1'
REQUEST_ID = 'r-1'
HEAD = (
    b'HTTP/1.1 200 OK\r\nX-Attempt-Id: r-1\r\nX-Response-Seal: s\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
)
BLOCK_BYTES = 65_536


class Answer(NamedTuple):
    """Bytes of an answer without an end.

    :param start: those sent once.
    :param block: those sent again and again.
    """

    start: bytes
    block: bytes


INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'
CHUNK = b'%x\r\n%s\r\n' % (BLOCK_BYTES, b'x' * BLOCK_BYTES)
INTERIM_RESPONSES = Answer(b'', INTERIM * (BLOCK_BYTES // len(INTERIM)))
CHUNK_EXTENSION = Answer(b'%s1;' % HEAD, b'x' * BLOCK_BYTES)
LATE_EXTENSION = Answer(b'%s%s1;' % (HEAD, CHUNK), b'x' * BLOCK_BYTES)
BODY = Answer(HEAD, CHUNK)


#: A long answer whose chunks are as small as the framing allows, then large.
SMALL_CHUNK: bytes = b'1\r\nx\r\n'
SMALL_CHUNKS = 1_000_000
LARGE_CHUNKS = 64
BODY_BYTES = SMALL_CHUNKS + LARGE_CHUNKS * BLOCK_BYTES
LONG_BODY = b'%s%s%s0\r\n\r\n' % (
    HEAD,
    SMALL_CHUNK * SMALL_CHUNKS,
    CHUNK * LARGE_CHUNKS,
)


class EndlessServer:
    """Sends an answer until the connection is closed.

    :param answer: the answer.
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        #: Bytes sent over all connections, and connections that are open.
        self.sent_bytes = 0
        self.open = 0
        self.port = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open += 1
        await reader.readuntil(b'\r\n\r\n')
        block = self._answer.start
        with suppress(OSError):
            while not writer.transport.is_closing():
                writer.write(block)
                await writer.drain()
                self.sent_bytes += len(block)
                block = self._answer.block
        writer.transport.abort()
        self.open -= 1


@asynccontextmanager
async def listen(answer: Answer) -> AsyncIterator[EndlessServer]:
    """Listen for connections."""
    endless = EndlessServer(answer)
    server = await asyncio.start_server(endless.serve, HOST, 0)
    endless.port = server.sockets[0].getsockname()[1]
    async with server:
        yield endless


class FiniteServer:
    """Answers each request with a long body, and keeps the connection."""

    def __init__(self) -> None:
        self.connections = 0
        self.port = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        with suppress(OSError, asyncio.IncompleteReadError):
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(LONG_BODY)
                await writer.drain()
        writer.close()


@asynccontextmanager
async def listen_finite() -> AsyncIterator[FiniteServer]:
    """Listen for connections."""
    finite = FiniteServer()
    server = await asyncio.start_server(finite.serve, HOST, 0)
    finite.port = server.sockets[0].getsockname()[1]
    async with server:
        yield finite
