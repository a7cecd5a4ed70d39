"""Find the backend server that a request is sent to next."""

import asyncio
from collections.abc import Iterable, Sequence
from typing import Final

from dykemast._internal.models.backend import BackendServer
from dykemast._internal.serving.admission import checks, quarantine
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

#: Part of its objective that a request waits at most: served after it, it is
#: still in time, and refused then, its caller may still be in time elsewhere.
MAX_WAIT_SHARE: Final = 0.25
#: Seconds that each step of urgency looks later: who is more urgent and waits
#: for the same moment goes first.
PRIORITY_STEP_S: Final = 0.01


class ServerWait:
    """How long one request waits where each server is held back for a while.

    :param parts: parts of the program.
    :param admitted: the request.
    """

    def __init__(self, parts: Parts, admitted: AdmittedRequest) -> None:
        """Wait from now on."""
        self._parts = parts
        self._admitted = admitted
        self._until = read_clock() + MAX_WAIT_SHARE * admitted.route.objective

    def measure(self, tried: Iterable[str]) -> float:
        """Measure when to look for a server again.

        :param tried: servers that had it before.
        :returns: seconds; 0 when waiting does not help.
        """
        wait = candidates.compute_min_wait(self._parts, self._admitted, tried)
        wait += PRIORITY_STEP_S * (1 + self._admitted.route.priority)
        return wait if read_clock() + wait <= self._until else 0


async def find_server(
    exchange: Exchange,
    tried: Sequence[str],
) -> BackendServer:
    """Find a server; where none is free, wait for one as long as that serves.

    Each look asks once more for what others may have told since.

    :param exchange: the request.
    :param tried: servers that had it before.
    :returns: a server that gets it now.
    :raises RefusedError: when there is none.
    """
    server_wait = ServerWait(exchange.parts, exchange.admitted)
    while True:
        server = _look(exchange, tried)
        if server:
            return server
        wait = server_wait.measure(tried)
        if not wait:
            raise _refuse(exchange, tried)
        await asyncio.sleep(wait)


def _look(exchange: Exchange, tried: Sequence[str]) -> BackendServer | None:
    board = exchange.parts.board
    checks.check_evacuations(board)
    quarantine.check_quarantine(board, exchange.identity)
    apart = quarantine.find_suspect_digest(board, exchange.identity)
    return choices.choose_server(
        exchange.parts, exchange.admitted, tried, apart
    )


def _refuse(exchange: Exchange, tried: Sequence[str]) -> RefusedError:
    parts = exchange.parts
    halls = checks.describe_restrictions(parts.board, exchange.admitted)
    details = {'tried': tried, **halls}
    return_time = compute_retry_after(exchange)
    return RefusedError(RefusalCode.no_server, details, return_time)
