"""Router whose links to the backend servers can be broken.

``python -m tests.lib.partitioned_router``. ``partition`` sets how they are
broken; links to the store and to callers stay. In other modes it is the links
to other routers that are broken, or slow, and those to servers stay.
"""

import asyncio
import contextlib
import os
import socket
import weakref
from collections.abc import Callable
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

from tests.lib.deployment import Deployment

MODULE: Final = 'tests.lib.partitioned_router'
#: Connections hang; they are refused; they are reset when they are opened, or
#: just after that; or those that are open live on while new ones are refused.
MODES: Final = ('hang', 'refuse', 'reset', 'reset_late', 'refuse_new')
#: What is sent to other routers is silent, or arrives late.
APART: Final = 'apart'
SLOW: Final = 'slow'
PEER_MODES: Final = (APART, SLOW)
#: Backend servers of a deployment listen on it, and routers do not.
SERVER_HOST: Final = '127.0.0.1'
CHECK_INTERVAL_S: Final = 0.02
#: Time after which the system gives up a connection that hangs.
HANG_S: Final = 3.0
#: Time that bytes take on a slow link, each way.
SLOW_S: Final = 0.5
#: Seconds from the opening of a connection until it is reset.
RESET_DELAYS_S: Final = MappingProxyType(
    {'reset_late': 0.001, 'reset_later': 0.1}
)

_Loop = asyncio.selector_events.BaseSelectorEventLoop


def partition(deployment: Deployment, router: str, mode: str = '') -> None:
    """Break the links of a router in one of the modes; empty mends them."""
    path = deployment.processes.folder / f'{router}.toml.links'
    path.with_suffix('.new').write_text(mode)
    path.with_suffix('.new').rename(path)


class _Links:
    """Connections of this process to backend servers and routers.

    :param path: file that holds the mode.
    :param store_port: port of the store, which shares the servers' host.
    """

    def __init__(self, path: Path, store_port: int) -> None:
        self.mode = ''
        self._path = path
        self._store_port = store_port
        #: Addresses of connections, by their sockets.
        self.sockets: weakref.WeakKeyDictionary[Any, Any] = (
            weakref.WeakKeyDictionary()
        )
        self._open: list[tuple[Any, Any]] = []
        self._watch: asyncio.Task[None] | None = None

    def start(self) -> None:
        if self._watch is None:
            self._watch = asyncio.get_running_loop().create_task(self._follow())

    def add(self, transport: Any, address: Any) -> None:
        self._open.append((transport, address))
        if not _is_broken(self.mode, address):
            return
        if self.mode == 'silent':
            _silence(transport)
        if self.mode == SLOW:
            _slow_down(transport)

    def is_link(self, address: Any) -> bool:
        return tuple(address[:2]) != (SERVER_HOST, self._store_port)

    async def break_new(self, sock: socket.socket, address: Any) -> None:
        """Break a connection that begins, if its link is broken."""
        if not _is_broken(self.mode, address):
            return
        if self.mode in {'hang', APART}:
            await asyncio.Event().wait()
        if self.mode == 'reset':
            raise ConnectionResetError('link broken')
        if self.mode in {'refuse', 'refuse_new'}:
            raise ConnectionRefusedError('link broken')
        if self.mode in RESET_DELAYS_S:
            loop = asyncio.get_running_loop()
            delay = RESET_DELAYS_S.get(self.mode, 0)
            loop.call_later(delay, _shut_down, sock)

    async def _follow(self) -> None:
        while True:
            mode = self._path.read_text() if self._path.exists() else ''
            if mode != self.mode:
                # Slow connections do not become fast ones.
                before = SLOW if self.mode == SLOW else mode
                self.mode = mode
                self._break_open(before)
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _break_open(self, mode: str) -> None:
        if mode in {'', 'refuse_new'}:
            return
        still_open = [one for one in self._open if not one[0].is_closing()]
        self._open = [one for one in still_open if not _is_broken(mode, one[1])]
        for transport, address in still_open:
            if _is_broken(mode, address):
                _break(mode, transport)


def _is_broken(mode: str, address: Any) -> bool:
    """Tell whether a mode concerns the link to an address."""
    is_to_router = address[0] != SERVER_HOST
    return mode != '' and is_to_router == (mode in PEER_MODES)


def _break(mode: str, transport: Any) -> None:
    if mode in {'hang', 'silent', APART}:
        _silence(transport)
        loop = asyncio.get_running_loop()
        loop.call_later(HANG_S, _reset, transport)
    else:
        _reset(transport)


def _silence(transport: Any) -> None:
    transport.pause_reading()
    transport.write = bool


def _slow_down(transport: Any) -> None:
    loop = asyncio.get_running_loop()
    write = transport.write

    def write_if_open(sent: bytes) -> None:
        if not transport.is_closing():
            write(sent)

    def write_later(sent: Any) -> None:
        loop.call_later(SLOW_S, write_if_open, bytes(sent))

    transport.write = write_later


def _reset(transport: Any) -> None:
    if not transport.is_closing():
        transport._force_close(ConnectionResetError('link broken'))


def _shut_down(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)


def _patch_connect(links: _Links, connect: Callable[..., Any]) -> Any:
    async def sock_connect(loop: Any, sock: Any, address: Any) -> None:
        links.start()
        if links.is_link(address):
            links.sockets[sock] = address
            await links.break_new(sock, address)
        await connect(loop, sock, address)

    return sock_connect


def _patch_transports(links: _Links, make: Callable[..., Any]) -> Any:
    def make_transport(loop: Any, sock: Any, *words: Any, **named: Any) -> Any:
        transport = make(loop, sock, *words, **named)
        address = links.sockets.get(sock)
        if address:
            links.add(transport, address)
        return transport

    return make_transport


if __name__ == '__main__':
    from dykemast._internal.commands.instance import run_instance
    from dykemast._internal.platform.settings import read_settings

    settings_path = Path(os.environ['DYKEMAST_SETTINGS'])
    own_links = _Links(
        settings_path.with_name(f'{settings_path.name}.links'),
        read_settings().store.port,
    )
    _Loop.sock_connect = _patch_connect(own_links, _Loop.sock_connect)
    _Loop._make_socket_transport = _patch_transports(
        own_links, _Loop._make_socket_transport
    )
    run_instance()
