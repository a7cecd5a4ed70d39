"""Transport to the platform: one HTTP call, one answer or none."""

import asyncio
from typing import Final, NamedTuple

import aiohttp

from dykemast._internal.exceptions import PlatformAwayError
from dykemast._internal.network.sockets import make_socket

#: Seconds to wait for an answer.
CALL_TIMEOUT: Final = 2.0


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
            return await self._fetch(method, path, body, wait)
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            text = f'{method} {path}: no answer ({type(error).__name__}).'
            raise PlatformAwayError(text) from error

    async def close(self) -> None:
        """Close all connections."""
        if self._session:
            await self._session.close()

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
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT + wait)
        call = self._session.request(
            method, self._base + path, data=body or None, timeout=timeout
        )
        async with call as response:
            return Answer(response.status, await response.read())
