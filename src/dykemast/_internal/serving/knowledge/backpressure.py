"""Backpressure: pauses, limits and shutdowns that servers announce."""

import itertools
from collections.abc import Iterable
from typing import Final

from dykemast._internal.models.backend import BackendServer, Backpressure
from dykemast._internal.models.forwarding import ResponseHead
from dykemast._internal.operations.server_limits import NO_LIMIT
from dykemast._internal.serving.knowledge.backends import mark_leaving
from dykemast._internal.serving.state.board import ServingBoard
from dykemast._internal.utils.clock import read_clock
from dykemast._internal.utils.events import make_logger

_log = make_logger('backends')

#: Bounds the length of a log line.
MAX_DESCRIBED_SERVERS: Final = 8
#: Pause after a brittle server rejected a request.
REJECTED_PAUSE_S: Final = 0.3


def record_backpressure(
    board: ServingBoard,
    server: BackendServer,
    head: ResponseHead,
) -> None:
    """Record the backpressure that an answer of a server announces.

    :param board: the blackboard.
    :param server: the server that the request was sent to.
    :param head: head of the answer.
    """
    if head.misdirected:
        # Another server answers at this address now.
        return
    if head.backpressure.leaving:
        _record_leaving(board, server)
    if head.backpressure.rest:
        until = read_clock() + head.backpressure.rest
        board.backpressure.record_backoff(server.name, until)
    if head.backpressure.limit or head.signed:
        # Only the answer to a request that ran lifts a limit: a rejection may
        # come from a front end of the server that does not know the limit.
        rate = head.backpressure.limit or NO_LIMIT
        board.backpressure.limits.record(server.name, rate, read_clock())
    _record_brittle(board, server, head)
    _log_change(board, server, head)


def describe_backpressure(
    board: ServingBoard,
    servers: Iterable[BackendServer],
) -> dict[str, str]:
    """Describe the pauses and limits that keep requests from servers.

    :param board: the blackboard.
    :param servers: servers of one service.
    :returns: texts for the log by server, for some of the servers affected.
    """
    now = read_clock()
    held: dict[str, str] = {}
    for server in servers:
        rest = board.backpressure.get_backoff(server.name, now)
        limit = board.backpressure.limits.find(server.name)
        if rest:
            held[server.name] = f'paused for {rest:.1f} s'
        elif limit:
            held[server.name] = f'rate limit {limit.rate}'
    return dict(itertools.islice(held.items(), MAX_DESCRIBED_SERVERS))


def _log_change(
    board: ServingBoard,
    server: BackendServer,
    head: ResponseHead,
) -> None:
    if server.name not in board.servers:
        return
    if (
        board.backpressure.last.get(server.name, Backpressure())
        != head.backpressure
    ):
        board.backpressure.last[server.name] = head.backpressure
        _log(
            'server_asks',
            server=server.name,
            request=head.request_id,
            status=head.status,
            **head.backpressure._asdict(),
        )


def _record_brittle(
    board: ServingBoard, server: BackendServer, head: ResponseHead
) -> None:
    brittle = board.backpressure.brittle
    is_brittle = head.backpressure.brittle is not None
    if is_brittle or head.signed:
        # As with a limit, only the answer to a request that ran lifts it.
        brittle.record(server, brittle=is_brittle)
    if is_brittle and head.not_executed:
        now = read_clock()
        brittle.record_rejection(server.name, now)
        board.backpressure.record_backoff(server.name, now + REJECTED_PAUSE_S)


def _record_leaving(board: ServingBoard, server: BackendServer) -> None:
    if server.server_id in board.server_starts:
        mark_leaving(board, [server.name], 'answer')
    else:
        # Its entry may return after an outage of the store.
        board.backpressure.delisted.record(server, read_clock())
