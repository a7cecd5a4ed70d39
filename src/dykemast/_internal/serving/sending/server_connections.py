"""Connections to backend servers, as the HTTP library opens and ends them."""

import asyncio
from collections.abc import Callable
from contextvars import ContextVar
from functools import partial
from typing import Any, Final

import aiohttp
from aiohttp.client_proto import ResponseHandler

from dykemast._internal.network.tunnels import Tunnel

Check = Callable[[], None]
#: Raises if the request of the current task must not be sent any more.
pre_send_check: Final[ContextVar[Check]] = ContextVar('before_bytes')
#: Whether the request of the current task opened its connection.
is_new_connection: Final[ContextVar[bool]] = ContextVar(
    'is_new_connection', default=False
)
#: Tunnel that the request of the current task uses.
tunnel_socket: Final[ContextVar[Tunnel | None]] = ContextVar(
    'tunnel_socket', default=None
)
#: Bytes that may arrive between two parts of a body, or before the head: those
#: of heads, interim responses and the framing of chunks.
MAX_FRAMING_BYTES: Final = 131_072


class EndlessResponseError(aiohttp.ClientPayloadError):
    """A server sends without end what is no part of a body."""


class CheckedRequest(aiohttp.ClientRequest):
    """A request that is checked once its connection is open."""

    async def send(self, conn: Any) -> aiohttp.ClientResponse:
        """Check the request, then write it."""
        pre_send_check.get()()
        return await super().send(conn)


class _ResponseHandler(ResponseHandler):
    """Tells a response that ends from one that is cut off, or has no end.

    The library takes any end of a connection for the end of a response that has
    neither a length nor chunks, and reads interim responses and extensions of
    chunks for as long as they arrive.
    """

    #: Whether the connection ends in an orderly way only with the response.
    has_orderly_end = True

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without bytes.

        :param loop: the event loop.
        """
        super().__init__(loop)
        self._framing_bytes = 0
        self._body_bytes = 0

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the response to another request.

        :param options: as the library defines them.
        """
        self._framing_bytes = 0
        self._body_bytes = 0
        super().set_response_params(**options)

    def data_received(
        self,
        data: bytes,  # noqa: WPS110 (name of the library)
    ) -> None:
        """Read bytes; close the connection if they have no end.

        :param data: the bytes.
        """
        super().data_received(data)
        body_bytes = self._payload.total_bytes if self._payload else 0
        if body_bytes == self._body_bytes:
            self._framing_bytes += len(data)
        else:
            self._framing_bytes = 0
        self._body_bytes = body_bytes
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._end_response()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Break the response, unless it is complete.

        :param exc: error of the connection; None for an orderly end.
        """
        is_broken = exc is not None or not self.has_orderly_end
        if is_broken and self._payload and not self._payload.is_eof():
            self._payload.set_exception(
                aiohttp.ClientPayloadError(f'connection broken: {exc}')
            )
        super().connection_lost(exc)

    def _end_response(self) -> None:
        text = f'{self._framing_bytes} bytes without a part of a body'
        error = EndlessResponseError(text)
        self.set_exception(error)
        if self._payload:
            self._payload.set_exception(error)
        if self.transport:
            self.transport.abort()


class DirectConnector(aiohttp.TCPConnector):
    """Pool of connections that tells which requests open one."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory: Any = partial(_ResponseHandler, loop=self._loop)

    async def _create_connection(self, *options: Any) -> Any:
        is_new_connection.set(True)
        return await super()._create_connection(*options)


class TunnelConnector(aiohttp.BaseConnector):
    """Uses the tunnel of each request; keeps none for later requests."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self._factory: Any = partial(_ResponseHandler, loop=self._loop)

    async def _create_connection(self, *_: Any) -> Any:
        is_new_connection.set(True)
        tunnel = tunnel_socket.get()
        tunnel_socket.set(None)
        loop = asyncio.get_running_loop()
        opened = await loop.create_connection(self._factory, sock=tunnel)
        has_orderly_end = tunnel is not None and tunnel.has_orderly_end
        opened[1].has_orderly_end = has_orderly_end
        return opened[1]
