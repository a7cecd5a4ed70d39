"""Checks whether a server may get a request, by its backpressure."""

import math
from typing import Final

from dykemast._internal.exceptions import BackpressureError
from dykemast._internal.models.backend import BackendServer
from dykemast._internal.operations.server_limits import KnownLimit
from dykemast._internal.operations.shared_rate_limiter import SharedRateLimiter
from dykemast._internal.serving.knowledge.cold_servers import is_cold
from dykemast._internal.serving.knowledge.server_versions import (
    is_still_serving,
    may_resume_at,
)
from dykemast._internal.serving.sending.upstream_request import UpstreamRequest
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.serving.state.loads import Loads, compute_load
from dykemast._internal.utils.clock import read_clock

#: Part of a brittle server's slots up to which a router may exceed its share.
FREE_SHARE: Final = 0.5
#: Pause between two looks for a free slot of a brittle server.
SLOT_WAIT_S: Final = 0.05


def compute_wait(
    board: ServingBoard,
    limiter: SharedRateLimiter,
    server: BackendServer,
    cold_rate: float,
) -> float:
    """Compute the time until this router may send to a server.

    :param board: the blackboard.
    :param limiter: limiter for servers with a rate limit.
    :param server: the server.
    :param cold_rate: limit in requests per second while the server is cold; 0
        for no limit.
    :returns: seconds; infinite while only other routers may send.
    """
    name = server.name
    if (
        name not in board.cold_until
        and not board.backpressure.may_be_restricted(name)
    ):
        # The common case: each request checks each server.
        return 0
    now = read_clock()
    backoff = board.backpressure.get_backoff(name, now)
    limit = _find_rate(board, name, cold_rate, now)
    if limit is None:
        return backoff
    if not board.peers_read.is_set():
        # The routers that share the limit are not known yet.
        return math.inf
    routers = frozenset((board.settings.name, *board.peers))
    return max(
        backoff,
        limiter.compute_wait(name, routers, limit.rate, now, limit.answered_at),
    )


def has_share(
    board: ServingBoard,
    limiter: SharedRateLimiter,
    loads: Loads,
    server: BackendServer,
) -> bool:
    """Check whether this router's share of a server's slots has a free one.

    :param board: the blackboard.
    :param limiter: knows the share of this router.
    :param loads: requests at servers.
    :param server: the server.
    :returns: whether it has; True for a server that is not brittle.
    """
    if not board.backpressure.brittle.is_brittle(server):
        return True
    routers = frozenset((board.settings.name, *board.peers))
    share = limiter.count_share(server.name, routers, server.slots)
    return loads.own.get_load(server.name).running < share


def compute_slot_wait(
    board: ServingBoard,
    server: BackendServer,
    loads: Loads,
) -> float:
    """Compute the time until a brittle server may have a slot beyond the share.

    Peers report their requests some time later, so most slots have to be free.

    :param board: the blackboard.
    :param server: the server.
    :param loads: requests at servers.
    :returns: seconds; 0 if it may get a request.
    """
    now = read_clock()
    running = compute_load(loads, server.name, now).running
    if running < FREE_SHARE * server.slots:
        if not board.backpressure.brittle.has_rejected(server.name, now):
            return 0
    return SLOT_WAIT_S


def check_send(
    board: ServingBoard,
    outgoing: UpstreamRequest,
) -> None:
    """Check again that a server may get a request, before its first byte.

    Responses of the server may have arrived while its connection was opened.

    :param board: the blackboard.
    :param outgoing: the request to the server.
    :raises BackpressureError: if the server is leaving, has a backoff, has set
        a limit since it was chosen, or may be of another version than a stream.
    """
    name = outgoing.server.name
    delisted = board.backpressure.delisted
    is_leaving = name in board.leaving or delisted.is_leaving(name)
    if is_leaving and not _may_go_on(board, outgoing):
        raise BackpressureError(f'server {name} is leaving')
    _check_restart(board, outgoing)
    if board.backpressure.get_backoff(name, read_clock()):
        raise BackpressureError(f'server {name} requested a backoff')
    limit = board.backpressure.limits.find(name)
    if limit and limit.since > outgoing.made_at:
        raise BackpressureError(f'server {name} set a limit of {limit.rate}/s')


def _may_go_on(board: ServingBoard, outgoing: UpstreamRequest) -> bool:
    """Check whether a stream may go on at a server that is leaving."""
    still_serving = is_still_serving(board, outgoing.server.name)
    return still_serving and outgoing.resumes_stream()


def _check_restart(board: ServingBoard, outgoing: UpstreamRequest) -> None:
    if may_resume_at(board, outgoing.server):
        return
    if outgoing.resumes_stream():
        name = outgoing.server.name
        raise BackpressureError(f'server {name} may have been started again')


def _find_rate(
    board: ServingBoard,
    name: str,
    cold_rate: float,
    now: float,
) -> KnownLimit | None:
    """Find the lowest active limit of a server, set by it or while cold."""
    limits = []
    if cold_rate and is_cold(board, name, now):
        # This limit ends without a response, so no router has to probe.
        limits.append(KnownLimit(cold_rate, math.inf, now))
    named = board.backpressure.limits.find(name)
    if named:
        limits.append(named)
    return min(limits, default=None)
