"""Whether a server gets a request now, by what it bears and asks for."""

import math

from dykemast._internal.exceptions import BackpressureError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.operations.server_limits import KnownLimit
from dykemast._internal.operations.shared_rate_limiter import SharedRateLimiter
from dykemast._internal.serving.knowledge.cold_servers import is_cold
from dykemast._internal.serving.sending.upstream_request import UpstreamRequest
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock


def compute_wait(
    board: ServingBoard,
    turns: SharedRateLimiter,
    server: BackendServer,
    cold_rate: float,
) -> float:
    """Measure for how long a server gets nothing from this router.

    :param board: the blackboard.
    :param turns: what this router sends to servers that bear a rate.
    :param server: the server.
    :param cold_rate: requests a second that it bears while it is cold; 0 where
        it bears what others do.
    :returns: seconds; infinite while only other routers may send to it.
    """
    name = server.name
    if name not in board.cold_until and not board.backpressure.is_bound(name):
        # Nearly always, and each request looks at each server.
        return 0
    now = read_clock()
    rest = board.backpressure.get_backoff(name, now)
    bound = _find_rate(board, name, cold_rate, now)
    if bound is None:
        return rest
    if not board.peers_read.is_set():
        # Who else sends there is not known.
        return math.inf
    routers = frozenset((board.settings.name, *board.peers))
    return max(
        rest,
        turns.compute_wait(name, routers, bound.rate, now, bound.answered_at),
    )


def check_send(
    board: ServingBoard,
    sending: UpstreamRequest,
) -> None:
    """Check once more that a server gets a request, when its bytes go out.

    Since it was chosen, it took a connection, and other answers came.

    :param board: the blackboard.
    :param sending: what is sent.
    :raises HeldBackError: when the server does not get it now.
    """
    name = sending.server.name
    if name in board.leaving or board.backpressure.delisted.find(
        sending.server.server_id
    ):
        raise BackpressureError('it leaves')
    if board.backpressure.get_backoff(name, read_clock()):
        raise BackpressureError('it rests')
    limit = board.backpressure.limits.find(name)
    if limit and limit.since > sending.made_at:
        raise BackpressureError('it has named a limit')


def _find_rate(
    board: ServingBoard,
    name: str,
    cold_rate: float,
    now: float,
) -> KnownLimit | None:
    """Find the lowest rate that binds a server, cold or by its own word."""
    bounds = []
    if cold_rate and is_cold(board, name, now):
        # It warms up by itself, so that nobody has to ask.
        bounds.append(KnownLimit(cold_rate, math.inf, now))
    named = board.backpressure.limits.find(name)
    if named:
        bounds.append(named)
    return min(bounds, default=None)
