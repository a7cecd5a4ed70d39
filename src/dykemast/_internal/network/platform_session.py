"""HTTP transport to the platform.

Pooled connections may stop responding without a reset, several at once. A late
read is therefore repeated over a new connection, and the first response is
used. Otherwise a change may become visible after its bound of 2 s.
"""

import asyncio
import re
from collections.abc import Coroutine, Mapping
from typing import Any, Final, NamedTuple

import aiohttp

from dykemast._internal.exceptions import PlatformUnavailableError
from dykemast._internal.network.late_reads import read_again_if_late
from dykemast._internal.network.sockets import make_socket
from dykemast._internal.operations.freshness import LATE_READ_S
from dykemast._internal.platform.names import STORE_ERA

#: Time limit for a response, in addition to the wait of a watch.
CALL_TIMEOUT_S: Final = 2.0
#: Digits of the highest era that is accepted, far above real ones.
MAX_ERA_DIGITS: Final = 6
_ERA: Final = re.compile('[0-9]{1,%d}' % MAX_ERA_DIGITS)
_FAILURES: Final = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class Answer(NamedTuple):
    """An HTTP response.

    :param status: its status.
    :param body: its body.
    :param era: era of the store that it tells; 0 for none.
    """

    status: int
    body: bytes
    era: int = 0


class PlatformSession:
    """Pooled connections to the platform.

    :param base: URL of the API, without a trailing slash.
    """

    def __init__(self, base: str) -> None:
        """Initialize the session without opening connections."""
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
        :param body: request body.
        :param wait: seconds for which the platform may delay its response.
        :returns: the response.
        :raises PlatformUnavailableError: when no response arrives.
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
            # Writes must not be repeated, and watches wait by design.
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
            return await _read_answer(response)

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
            return await _read_answer(response)


async def _read_answer(response: aiohttp.ClientResponse) -> Answer:
    era = decode_era(response.headers)
    return Answer(response.status, await response.read(), era)


def decode_era(fields: Mapping[str, str]) -> int:
    """Decode the era of the store in the header fields of an answer.

    :param fields: the header fields.
    :returns: the era; 0 for a store that has none.
    :raises PlatformUnavailableError: when it is no whole number.
    """
    text = fields.get(STORE_ERA, '0')
    if not _ERA.fullmatch(text):
        raise PlatformUnavailableError(
            f'era {text!r} of the store is not 1 to {MAX_ERA_DIGITS} digits.'
        )
    return int(text)
