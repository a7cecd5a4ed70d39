"""Server for calls of other routers."""

import hmac
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec

from dykemast._internal.exceptions import DykemastError
from dykemast._internal.network.peer_codec import peer_thrift
from dykemast._internal.network.thrift_server import listen


class PeerCalls(NamedTuple):
    """What other routers may call; the key has been checked by then.

    :param exchange: takes news and returns this router's.
    :param commit: has intents of a ledger written by this router.
    :param lend: gives away leased tokens; returns how many.
    :param hold_bills: takes over bills while the platform is away.
    :param newer_revision: returns a revision above a number, or nothing.
    :param recall: renews the lease of a budget that runs out elsewhere.
    """

    exchange: Callable[[Any], Awaitable[Any]]
    commit: Callable[[str, bytes], Awaitable[bytes]]
    lend: Callable[[str, int, str], Awaitable[int]]
    hold_bills: Callable[[bytes], Awaitable[bool]]
    newer_revision: Callable[[int], Awaitable[bytes]]
    recall: Callable[[str], Awaitable[None]]


class _Guard:
    """Checks the key before each call."""

    def __init__(self, key: str, calls: PeerCalls) -> None:
        self._key = key.encode()
        self._calls = calls

    def __getattr__(self, name: str) -> Callable[..., Awaitable[Any]]:
        """Find a call by its name in the interface definition."""
        run = getattr(self._calls, name)

        async def guarded(key: str, *words: Any) -> Any:
            if not hmac.compare_digest(key.encode(), self._key):
                raise peer_thrift.Refused(reason='wrong key.')
            try:
                return await run(*words)
            except (DykemastError, msgspec.MsgspecError) as error:
                raise peer_thrift.Refused(reason=str(error)) from error

        return guarded


async def open_server(host: str, port: int, key: str, calls: PeerCalls) -> Any:
    """Listen for other routers.

    :param host: IP number to listen on.
    :param port: port to listen on.
    :param key: secret that all routers share.
    :param calls: what they may call.
    :returns: the listening server, to be closed by its ``close``.
    """
    return await listen(peer_thrift.Peer, _Guard(key, calls), host, port)
