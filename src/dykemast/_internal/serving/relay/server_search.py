"""Search for the backend server of the next send."""

import asyncio
from collections.abc import Callable, Collection, Iterable
from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.serving.admission import checks, in_progress, quarantine
from dykemast._internal.serving.choice import candidates, choices
from dykemast._internal.serving.relay.exchange import Exchange
from dykemast._internal.serving.relay.retries import compute_retry_after
from dykemast._internal.serving.requests.refusals import (
    RefusalCode,
    RefusedError,
)
from dykemast._internal.serving.parts import Parts
from dykemast._internal.serving.requests.admitted_request import AdmittedRequest
from dykemast._internal.utils.clock import read_clock

#: Maximum share of the latency objective that a request waits. A request that
#: is served after the wait is still in time, and the caller of a refused one
#: may still be in time elsewhere.
MAX_WAIT_SHARE: Final = 0.25
#: Extra wait per priority step, so that the more urgent of several requests
#: that wait for the same moment goes first.
PRIORITY_STEP_S: Final = 0.01
#: Maximum wait for the check of a server after its connection broke: the time
#: until it starts, a direct connection and one through a peer; and the interval
#: at which a request looks for the result.
MAX_CHECK_WAIT_S: Final = 1.1
CHECK_POLL_S: Final = 0.02


class ServerWait:
    """The time that one request waits while all servers are held back.

    :param parts: shared components of the process.
    :param admitted: the request.
    """

    def __init__(self, parts: Parts, admitted: AdmittedRequest) -> None:
        """Start the wait now."""
        self._parts = parts
        self._admitted = admitted
        self._until = read_clock() + MAX_WAIT_SHARE * admitted.route.objective

    def compute_wait(self, tried: Iterable[str]) -> float:
        """Compute the time until the next search.

        :param tried: servers that were tried before.
        :returns: seconds; 0 when waiting does not help.
        """
        wait = candidates.compute_min_wait(self._parts, self._admitted, tried)
        wait += PRIORITY_STEP_S * (1 + self._admitted.route.priority)
        return wait if read_clock() + wait <= self._until else 0


async def find_server(
    exchange: Exchange,
    tried: Collection[str],
) -> BackendServer:
    """Find a server; if none is free, wait as long as the objective allows.

    Each search uses the latest reports from peers.

    :param exchange: the request.
    :param tried: servers that were tried before.
    :returns: a server that can take the request now.
    :raises RefusedError: when there is none.
    """
    server_wait = ServerWait(exchange.parts, exchange.admitted)
    while True:
        server = _choose_server(exchange, tried)
        if server:
            return server
        wait = server_wait.compute_wait(tried)
        if not wait:
            raise _refuse(exchange, tried)
        await asyncio.sleep(wait)


async def find_survivor(
    exchange: Exchange, list_survivors: Callable[[], Collection[str] | None]
) -> BackendServer | None:
    """Find a server that a request may return to after its connection broke.

    :param exchange: the request.
    :param list_survivors: lists the servers that were found up since then; None
        when all were checked without finding any.
    :returns: a server that can take the request now, if there is one.
    :raises RefusedError: when the request must not be sent any more.
    """
    until = min(read_clock() + MAX_CHECK_WAIT_S, exchange.admitted.deadline)
    while read_clock() < until:
        survivors = list_survivors()
        if survivors is None:
            break
        if survivors:
            listed = exchange.parts.board.servers.keys()
            return _choose_server(exchange, listed - set(survivors))
        await asyncio.sleep(CHECK_POLL_S)
    return None


def _choose_server(
    exchange: Exchange, tried: Collection[str]
) -> BackendServer | None:
    board = exchange.parts.board
    in_progress.check_send(board, exchange.admitted)
    checks.check_evacuations(board)
    quarantine.check_quarantine(board, exchange.identity)
    suspect = quarantine.find_isolate_key(board, exchange.identity)
    return choices.choose_server(
        exchange.parts, exchange.admitted, tried, suspect
    )


def _refuse(exchange: Exchange, tried: Collection[str]) -> RefusedError:
    parts = exchange.parts
    halls = checks.describe_restrictions(parts.board, exchange.admitted)
    details = {'tried': list(tried), **halls}
    retry_after_s = compute_retry_after(exchange)
    return RefusedError(RefusalCode.no_server, details, retry_after_s)
