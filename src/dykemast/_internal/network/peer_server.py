"""Server for calls of other routers."""

import hmac
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec

from dykemast._internal.exceptions import DykemastError
from dykemast._internal.network.peer_codec import peer_thrift
from dykemast._internal.network.thrift_server import listen


class PeerCalls(NamedTuple):
    """Handlers for calls of other routers, run after the key check.

    :param exchange: merges a gossip message and returns this router's.
    :param commit: commits intents to a ledger that this router writes.
    :param lend: lends leased tokens; returns the number lent.
    :param hold_bills: stores bills while the platform is unavailable.
    :param newer_revision: returns a revision above a number, or nothing.
    :param recall: renews the lease of a budget that is running out on another
        router.
    """

    exchange: Callable[[Any], Awaitable[Any]]
    commit: Callable[[str, bytes], Awaitable[bytes]]
    lend: Callable[[str, int, str], Awaitable[int]]
    hold_bills: Callable[[bytes], Awaitable[bool]]
    newer_revision: Callable[[int], Awaitable[bytes]]
    recall: Callable[[str], Awaitable[None]]


class _Guard:
    """Checks the shared key before each call."""

    def __init__(self, key: str, calls: PeerCalls) -> None:
        self._key = key.encode()
        self._calls = calls

    def __getattr__(self, name: str) -> Callable[..., Awaitable[Any]]:
        """Find a call by its name in the interface definition."""
        run = getattr(self._calls, name)

        async def guarded(key: str, *words: Any) -> Any:
            if not hmac.compare_digest(key.encode(), self._key):
                raise peer_thrift.Refused(reason='wrong peer key.')
            try:
                return await run(*words)
            except (DykemastError, msgspec.MsgspecError) as error:
                raise peer_thrift.Refused(reason=str(error)) from error

        return guarded


async def open_server(host: str, port: int, key: str, calls: PeerCalls) -> Any:
    """Listen for other routers.

    :param host: IP number to listen on.
    :param port: port to listen on.
    :param key: secret shared by all routers.
    :param calls: handlers of the calls.
    :returns: the listening server, closed by its ``close`` method.
    """
    return await listen(peer_thrift.Peer, _Guard(key, calls), host, port)
