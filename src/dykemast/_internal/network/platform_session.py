"""Transport to the platform: one HTTP call, one answer or none.

A connection that was kept may have gone silent without a reset, and the next
one that is kept as well. So a read that is late is made once more over a new
connection; whichever answers first counts. Without that a change was known
3.2 s after it was confirmed, where 2 s are promised.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, NamedTuple

import aiohttp

from dykemast._internal.exceptions import PlatformUnavailableError
from dykemast._internal.network.late_reads import read_again_if_late
from dykemast._internal.network.sockets import make_socket
from dykemast._internal.operations.freshness import LATE_READ_S

#: Seconds to wait for an answer.
CALL_TIMEOUT_S: Final = 2.0
_FAILURES: Final = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class Answer(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: bytes


class PlatformSession:
    """Pooled connections to the platform.

    :param base: URL of the API, without a slash at its end.
    """

    def __init__(self, base: str) -> None:
        """Open no connection yet."""
        self._base = base
        self._session: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        wait: float = 0,
    ) -> Answer:
        """Make one call.

        :param method: HTTP method.
        :param path: path and query.
        :param body: what to send.
        :param wait: seconds that the platform may hold the call back.
        :returns: the answer.
        :raises PlatformAwayError: when there was none.
        """
        try:
            return await self._choose_call(method, path, body, wait)
        except _FAILURES as error:
            text = f'{method} {path}: no answer ({type(error).__name__}).'
            raise PlatformUnavailableError(text) from error

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._session, self._fresh):
            if session:
                await session.close()

    def _choose_call(
        self,
        method: str,
        path: str,
        body: bytes,
        wait: float,
    ) -> Coroutine[Any, Any, Answer]:
        if method != 'GET' or wait:
            # A write is not made twice, and a watch is meant to wait.
            return self._fetch(method, path, body, wait)
        return read_again_if_late(
            lambda: self._fetch(method, path, body, wait),
            lambda: self._fetch_over_new_connection(path),
            LATE_READ_S,
        )

    async def _fetch_over_new_connection(self, path: str) -> Answer:
        if self._fresh is None:
            connector = aiohttp.TCPConnector(
                socket_factory=make_socket, force_close=True
            )
            self._fresh = aiohttp.ClientSession(connector=connector)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S - LATE_READ_S)
        call = self._fresh.get(self._base + path, timeout=timeout)
        async with call as response:
            return Answer(response.status, await response.read())

    async def _fetch(
        self,
        method: str,
        path: str,
        body: bytes,
        wait: float,
    ) -> Answer:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(socket_factory=make_socket)
            )
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S + wait)
        call = self._session.request(
            method, self._base + path, data=body or None, timeout=timeout
        )
        async with call as response:
            return Answer(response.status, await response.read())
