"""Tunnels to backend servers through other routers.

A tunnel is opened by the CONNECT method of HTTP/1.1 and carries bytes, so
requests, responses and their errors are the same as over a direct connection.
"""

import asyncio
import contextlib
import re
import socket
from http import HTTPStatus
from typing import Final, NamedTuple

from dykemast._internal.exceptions import TunnelError
from dykemast._internal.models.deployment import Endpoint
from dykemast._internal.network.sockets import set_options

#: Bound of the head of a request or response.
MAX_HEAD_BYTES: Final = 1024
#: End of such a head.
HEAD_END: Final = b'\r\n\r\n'
#: Field of a response to CONNECT: the router resets the tunnel unless the other
#: end closed its connection in an orderly way.
ORDERLY_END: Final = b'X-Orderly-End: 1'
_REQUEST: Final = re.compile(
    rb'CONNECT ([\w.:]+):(\d{1,5}) HTTP/1\.1\r\n'
    rb'(?:X-Request-Id: ([!-~]{1,200})\r\n)?\r\n'
)
_REQUEST_ID: Final = re.compile('[!-~]{1,200}')
_RESPONSE: Final = re.compile(rb'HTTP/1\.1 (\d{3}) ')


class TunnelRequest(NamedTuple):
    """Request for a tunnel.

    :param target: address of the backend server.
    :param request_id: id of the request that it is for, for log lines; empty
        for none.
    """

    target: Endpoint
    request_id: str = ''

    def encode(self) -> bytes:
        """Encode the request.

        :returns: its head; without an id that is not printable.
        """
        head = f'CONNECT {self.target} HTTP/1.1\r\n'
        if _REQUEST_ID.fullmatch(self.request_id):
            head = f'{head}X-Request-Id: {self.request_id}\r\n'
        return f'{head}\r\n'.encode()


def decode_request(head: bytes) -> TunnelRequest | None:
    """Decode a request.

    :param head: its head.
    :returns: the request; None when it is invalid.
    """
    match = _REQUEST.fullmatch(head)
    if match is None:
        return None
    host, port, request_id = match.groups(b'')
    target = Endpoint(host.decode(), int(port))
    return TunnelRequest(target, request_id.decode())


def encode_status(status: int) -> bytes:
    """Encode a response.

    :param status: its status.
    :returns: its head.
    """
    code = HTTPStatus(status)
    head = b'HTTP/1.1 %d %b\r\n' % (code, code.phrase.encode())
    return b'%b%b%b' % (head, ORDERLY_END, HEAD_END)


class Tunnel(socket.socket):
    """A socket whose other end is the target of a tunnel."""

    #: Whether an end of the tunnel that is no reset is one of the target.
    has_orderly_end = False


async def open_tunnel(router: Endpoint, request: TunnelRequest) -> Tunnel:
    """Open a tunnel.

    :param router: address of the other router's tunnel listener.
    :param request: the target.
    :returns: the tunnel.
    :raises TunnelError: when the other router refuses; its status says why.
    :raises OSError: when the other router does not respond.
    """
    with contextlib.ExitStack() as on_failure:
        sock = Tunnel(socket.AF_INET, socket.SOCK_STREAM)
        on_failure.callback(sock.close)
        sock.setblocking(False)
        set_options(sock)
        await _request_tunnel(sock, router, request)
        on_failure.pop_all()
    return sock


async def _request_tunnel(
    sock: Tunnel, router: Endpoint, request: TunnelRequest
) -> None:
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, tuple(router))
    await loop.sock_sendall(sock, request.encode())
    head = await _read_head(sock)
    sock.has_orderly_end = ORDERLY_END in head
    response = _RESPONSE.match(head)
    if response is None:
        raise ConnectionError(
            f'router {router} sent no valid response to CONNECT'
        )
    status = int(response.group(1))
    if status != HTTPStatus.OK:
        raise TunnelError(
            f'router {router} responded {status} to CONNECT {request.target}',
            status,
        )


async def _read_head(sock: socket.socket) -> bytes:
    # The other end sends nothing after the head before it gets a request.
    loop = asyncio.get_running_loop()
    head = b''
    while not head.endswith(HEAD_END) and len(head) < MAX_HEAD_BYTES:
        received = await loop.sock_recv(sock, MAX_HEAD_BYTES)
        if not received:
            break
        head += received
    return head
