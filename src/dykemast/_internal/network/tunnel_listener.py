"""Listener for tunnels of other routers to backend servers."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from http import HTTPStatus
from typing import Final

from dykemast._internal.exceptions import TunnelError
from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.network.sockets import set_options
from dykemast._internal.network.tunnels import (
    HEAD_END,
    TunnelRequest,
    decode_request,
    encode_status,
)

HEAD_TIMEOUT_S: Final = 1.0
#: Bytes that a tunnel holds in each direction at most.
BUFFER_BYTES: Final = 16_384
#: Time for the other router to close a tunnel whose target has closed it.
END_TIMEOUT_S: Final = 1.0
#: Setting of ``SO_LINGER`` with which a connection ends by a reset.
_RESET_AT_CLOSE: Final = struct.pack('ii', 1, 0)

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]
#: Connects to the target of a tunnel, and closes the connection at the end of
#: the context; raises TunnelError.
OpenTarget = Callable[
    [TunnelRequest], contextlib.AbstractAsyncContextManager[Streams]
]


async def listen_for_tunnels(
    endpoint: Endpoint, open_target: OpenTarget
) -> asyncio.Server:
    """Serve tunnels.

    :param endpoint: address to listen on.
    :param open_target: connects to the target of a tunnel.
    :returns: the listening server, closed by its ``close`` method.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        set_options(writer.get_extra_info('socket'))
        with contextlib.closing(writer):
            await _serve(open_target, (reader, writer))

    return await asyncio.start_server(
        serve, endpoint.host, endpoint.port, limit=BUFFER_BYTES
    )


async def _serve(open_target: OpenTarget, near: Streams) -> None:
    request = await _read_request(near[0])
    if request is None:
        near[1].write(encode_status(HTTPStatus.BAD_REQUEST))
        return
    try:
        async with open_target(request) as far:
            await _join(near, far)
    except TunnelError as error:
        near[1].write(encode_status(error.status))


async def _read_request(reader: asyncio.StreamReader) -> TunnelRequest | None:
    try:
        async with asyncio.timeout(HEAD_TIMEOUT_S):
            head = await reader.readuntil(HEAD_END)
    except (
        OSError,
        asyncio.IncompleteReadError,
        asyncio.LimitOverrunError,
    ):
        return None
    return decode_request(head)


async def _join(near: Streams, far: Streams) -> None:
    """Pass bytes both ways until one end closes its connection."""
    near[1].write(encode_status(HTTPStatus.OK))
    # The other router must not take a truncated response for a complete one,
    # also when this process is killed.
    near[1].get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
    )
    async with asyncio.TaskGroup() as passing:
        sending = passing.create_task(_pass_on(near[0], far[1]))
        receiving = passing.create_task(_pass_on(far[0], near[1]))
        await asyncio.wait(
            (sending, receiving), return_when=asyncio.FIRST_COMPLETED
        )
        if receiving.done() and not near[1].is_closing():
            # A reset before the other router has read all would discard bytes.
            await asyncio.wait((sending,), timeout=END_TIMEOUT_S)
        sending.cancel()
        receiving.cancel()


async def _pass_on(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    writer.transport.set_write_buffer_limits(BUFFER_BYTES)
    try:
        await _pass_all(reader, writer)
    except OSError:
        writer.transport.abort()


async def _pass_all(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while not reader.at_eof():
        writer.write(await reader.read(BUFFER_BYTES))
        await writer.drain()
    writer.write_eof()
