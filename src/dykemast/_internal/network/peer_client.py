"""Calls to other routers.

A connection carries one call at a time and is closed after any failure.
Otherwise the client library would return a late response to the next call.
"""

import asyncio
from collections.abc import Sequence
from typing import Any, Final

from thriftpy2.contrib.aio.rpc import make_client
from thriftpy2.thrift import TApplicationException, TException

from dykemast._internal.exceptions import PeerError, UnknownCallError
from dykemast._internal.models.fleet import PeerCard

#: Maximum number of idle connections per peer.
MAX_IDLE_CONNECTIONS: Final = 4
_FAILURES: Final = (TException, OSError, EOFError, asyncio.TimeoutError)


class PeerClient:
    """Pooled connections to the other routers.

    :param key: secret shared by all routers; None when calls take no key.
    :param service: thrift service of the peers.
    """

    def __init__(
        self,
        key: str | None,
        service: Any,
    ) -> None:
        """Initialize the pool without opening connections."""
        self._key_arguments = () if key is None else (key,)
        self._service = service
        self._idle: dict[str, list[Any]] = {}

    async def call(
        self,
        card: PeerCard,
        method: str,
        words: Sequence[Any],
        timeout: float = 1,
    ) -> Any:
        """Call another router.

        :param card: card of the router to call.
        :param method: name of the call in the interface definition.
        :param words: arguments after the key.
        :param timeout: seconds to wait for the response.
        :returns: result of the call.
        :raises PeerError: when the call fails, times out or is refused.
        :raises UnknownCallError: when the router does not know it.
        """
        try:
            async with asyncio.timeout(timeout):
                return await self._exchange(card, method, words)
        except _FAILURES as error:
            kind = type(error).__name__
            text = f'{card.instance}: {method} failed: {kind} {error}.'
            failure = UnknownCallError if _is_unknown(error) else PeerError
            raise failure(text) from error

    def close(self) -> None:
        """Close all idle connections."""
        for clients in self._idle.values():
            for client in clients:
                client.close()
        self._idle.clear()

    async def _exchange(
        self,
        card: PeerCard,
        method: str,
        words: Sequence[Any],
    ) -> Any:
        client = await self._acquire(card)
        try:
            answer = await getattr(client, method)(*self._key_arguments, *words)
        except BaseException:
            client.close()
            raise
        self._release(card, client)
        return answer

    async def _acquire(self, card: PeerCard) -> Any:
        idle = self._idle.setdefault(card.incarnation, [])
        if idle:
            return idle.pop()
        return await make_client(
            self._service, card.host, card.peer_port, timeout=None
        )

    def _release(self, card: PeerCard, client: Any) -> None:
        idle = self._idle.setdefault(card.incarnation, [])
        if len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(client)
        else:
            client.close()


def _is_unknown(error: BaseException) -> bool:
    if not isinstance(error, TApplicationException):
        return False
    return bool(error.type == TApplicationException.UNKNOWN_METHOD)
