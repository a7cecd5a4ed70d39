"""Loopback proxy that delays, resets, silences or cuts one way."""

import asyncio
import contextlib
import random
from typing import Any

from tools.ports import find_ports

MODES = ('delay', 'reset', 'silent', 'one_way')
#: Connections that are open say nothing any more, for good; new ones work.
STALE = 'stale'
#: Requests are answered by interim responses without end.
ENDLESS = 'endless'
_INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n' * 1000
CHUNK = 65536


class Proxy:
    """Passes connections on to one port, unless told otherwise."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.port = 0
        self.mode = ''
        self._open: set[asyncio.StreamWriter] = set()
        self._stale: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self.port = find_ports(1)[0]
        await asyncio.start_server(self._serve, '127.0.0.1', self.port)

    def switch(self, mode: str) -> None:
        if mode == STALE:
            self._stale |= self._open
            return
        self.mode = mode
        if mode in {'reset', ENDLESS}:
            for writer in tuple(self._open):
                writer.transport.abort()

    async def _serve(self, reader: Any, writer: asyncio.StreamWriter) -> None:
        if self.mode == 'reset':
            writer.transport.abort()
            return
        if self.mode == ENDLESS:
            await _answer_without_end(reader, writer)
            return
        with contextlib.suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(
                '127.0.0.1', self.target
            )
            self._open |= {writer, far_writer}
            await asyncio.gather(
                self._pass_on(reader, far_writer, back=False),
                self._pass_on(far_reader, writer, back=True),
            )
        writer.close()

    async def _pass_on(self, reader: Any, writer: Any, *, back: bool) -> None:
        with contextlib.suppress(OSError):
            chunk = await reader.read(CHUNK)
            while chunk:
                await self._hold_up(writer, back=back)
                writer.write(chunk)
                await writer.drain()
                chunk = await reader.read(CHUNK)
            await self._hold_up(writer, back=back)
        self._open.discard(writer)
        writer.close()

    async def _hold_up(self, writer: Any, *, back: bool) -> None:
        if self.mode == 'delay':
            await asyncio.sleep(random.uniform(0, 0.3))
        while self._is_silent(writer, back=back):
            await asyncio.sleep(0.05)

    def _is_silent(self, writer: Any, *, back: bool) -> bool:
        if writer in self._stale:
            return not writer.transport.is_closing()
        return self.mode == 'silent' or (self.mode == 'one_way' and back)


async def _answer_without_end(reader: Any, writer: Any) -> None:
    with contextlib.suppress(OSError):
        if await reader.read(CHUNK):
            while not writer.transport.is_closing():
                writer.write(_INTERIM)
                await writer.drain()
    writer.transport.abort()
